package state_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// key returns an operation key with the given time.
func key(at wire.UnixMillis, n int) wire.OperationKey {
	hex := fmt.Sprintf("%012x", int64(at))
	return wire.OperationKey(fmt.Sprintf("%s-%s-7000-8000-%012x", hex[:8], hex[8:], n))
}

const day = wire.UnixMillis(24 * 60 * 60 * 1000)

func config(partitions int) wire.Configuration {
	return wire.Configuration{Services: []wire.ServiceConfig{
		{Name: "catalogue", Keyed: true, Partitions: partitions, MoveBudget: 4},
		{Name: "pledges"},
	}}
}

// group applies commands to a machine with consecutive indexes.
type group struct {
	machine *state.Machine
	log     [][]byte
}

func newGroup() *group { return &group{machine: state.New("tz")} }

func (g *group) apply(c wire.Command) state.Result {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	g.log = append(g.log, data)
	return g.machine.Apply(wire.Version(len(g.log)), data)
}

func member(node, incarnation string, service wire.ServiceName) *wire.RegisterMember {
	return &wire.RegisterMember{Member: wire.Member{Node: wire.NodeID(node), Incarnation: wire.Incarnation(incarnation), Service: service, Slots: 10}}
}

func applyConfig(base int, id string, c wire.Configuration) *wire.ApplyRequest {
	return &wire.ApplyRequest{Operator: "uzi", RequestID: wire.RequestID(id), BaseRevision: wire.Revision(base), Configuration: c}
}

// draw returns any command; most of them name the epoch that is current.
func draw(t *rapid.T, m *state.Machine) wire.Command {
	pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	incarnation := func() wire.Incarnation { return wire.Incarnation(fmt.Sprint("i", pick("incarnation", 5))) }
	services := []wire.ServiceName{"catalogue", "pledges"}
	fingerprint := func() wire.Fingerprint { return wire.Fingerprint(fmt.Sprint("f", pick("fingerprint", 3))) }
	hash := func() string { return partition.FormatHash(uint64(pick("hash", 3))) }
	partitionID := func() wire.PartitionID {
		if pick("kind", 4) == 0 {
			return state.OverrideID("catalogue", hash())
		}
		return state.PartitionID("catalogue", partition.Number(pick("partition", 4)))
	}
	c := wire.Command{ProposedAt: wire.UnixMillis(pick("time", 5)) * day / 2}
	operation := key(wire.UnixMillis(pick("key time", 5))*day/2, pick("key", 2))
	execution := wire.ExecutionID(fmt.Sprint("e", pick("execution", 3)))
	id := partitionID()
	current, _ := m.Partition(id)
	epoch := current.FencingToken + wire.FencingToken(pick("epoch", 5)/4)
	move := wire.Move{Partition: id, FencingToken: epoch, To: incarnation()}
	switch pick("command", 15) {
	case 0, 1:
		i := incarnation()
		c.RegisterMember = member("n"+string(i), string(i), services[pick("service", 3)/2])
	case 2:
		c.MemberDown = &wire.MemberDown{Incarnation: incarnation(), Crashed: pick("crashed", 2) == 0, InFlight: []wire.InFlight{{Fingerprint: fingerprint()}}}
	case 3:
		if pick("cancel", 3) == 0 {
			c.MoveCancel = &wire.MoveCancel{Moves: []wire.Move{{Partition: id, FencingToken: epoch, To: current.MovingTo}}}
			break
		}
		c.MoveStart = &wire.MoveStart{Moves: []wire.Move{move}}
	case 4:
		c.MoveRelease = &wire.MoveRelease{Incarnation: incarnation(), Grants: []wire.Grant{{Partition: move.Partition, FencingToken: epoch}}}
	case 5, 6:
		c.Assign = &wire.Assign{Moves: []wire.Move{move}}
	case 7:
		c.Override = &wire.Override{Service: "catalogue", KeyHash: hash(), Isolated: pick("present", 2) == 0}
	case 8:
		c.Drain = &wire.DrainRequest{Node: wire.NodeID("n" + string(incarnation())), Drain: pick("drain", 2) == 0}
	case 9:
		c.Apply = applyConfig(pick("base", 4), fmt.Sprint("r", pick("request", 6)), config(2+2*pick("partitions", 2)))
	case 10, 11:
		c.Begin = &wire.BeginRequest{Service: "pledges", Key: operation, Fingerprint: fingerprint(), Execution: execution, Incarnation: incarnation()}
	case 12:
		outcome := []wire.Outcome{wire.OutcomeComplete, wire.OutcomeNotRun}[pick("outcome", 2)]
		c.Finish = &wire.FinishRequest{Service: "pledges", Key: operation, Execution: execution, Result: wire.OperationResult{Outcome: outcome}}
	case 13:
		c.ClearSuspect = &wire.ClearSuspectRequest{Fingerprint: fingerprint(), Incarnation: incarnation()}
	default:
		c.Release = &wire.ReleaseRequest{Fingerprint: fingerprint()}
	}
	return c
}

// Guards against two owners in a row without a release or an end in between,
// epochs that go back, operations that run twice, replicas that differ, and
// routing tables that miss a change.
func TestMachineKeepsItsRulesForAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup()
		g.apply(wire.Command{Apply: applyConfig(0, "first", config(4))})
		follower := state.New("tz")
		follower.Apply(1, g.log[0])
		routes := table.New()
		epochs := map[wire.PartitionID]wire.FencingToken{}
		running := map[wire.OperationKey]wire.ExecutionID{}
		var answers []state.Result
		var requests []wire.Command
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := draw(t, g.machine)
			before := owners(g.machine)
			r := g.apply(c)
			requireSingleOwner(t, c, before, owners(g.machine))
			requireSameKeyOwners(t, c, before, owners(g.machine))
			requireGrowingEpochs(t, g.machine, epochs)
			requireOneRun(t, c, r, running)
			requests, answers = append(requests, c), append(answers, r)
			if rapid.Bool().Draw(t, "restart follower") {
				follower = restored(t, follower)
			}
			follower.Apply(wire.Version(len(g.log)), g.log[len(g.log)-1])
			require(t, string(snapshot(t, follower)) == string(snapshot(t, g.machine)), "replicas differ")
			if rapid.Bool().Draw(t, "fetch delta") {
				requireSameTable(t, g.machine, routes)
			}
		}
		for i, c := range requests {
			if c.Apply == nil {
				continue
			}
			a, first := *g.apply(c).Apply, *answers[i].Apply
			require(t, a.Revision == first.Revision && a.Accepted == first.Accepted, "replay got %+v, first %+v", a, first)
		}
	})
}

func owners(m *state.Machine) map[wire.PartitionID]wire.Partition {
	out := map[wire.PartitionID]wire.Partition{}
	for _, p := range m.PartitionList() {
		out[p.Partition] = p
	}
	return out
}

func requireSingleOwner(t *rapid.T, c wire.Command, before, after map[wire.PartitionID]wire.Partition) {
	for id, p := range after {
		old, existed := before[id]
		if !existed || old.Owner == p.Owner || old.Owner == "" || c.Apply != nil {
			continue
		}
		ended := c.MemberDown != nil && c.MemberDown.Incarnation == old.Owner && p.Owner == ""
		released := c.MoveRelease != nil && c.MoveRelease.Incarnation == old.Owner
		require(t, ended || released, "%s went from %+v to %+v by %+v", id, old, p, c)
	}
}

// requireSameKeyOwners checks that an override itself moves no key.
func requireSameKeyOwners(t *rapid.T, c wire.Command, before, after map[wire.PartitionID]wire.Partition) {
	if c.Override == nil {
		return
	}
	old, now := before[baseOf(c, before)], after[baseOf(c, after)]
	id := state.OverrideID("catalogue", c.Override.KeyHash)
	if own, ok := before[id]; ok {
		old = own
	}
	if own, ok := after[id]; ok {
		now = own
	}
	require(t, old.Owner == now.Owner, "key goes from %+v to %+v by %+v", old, now, c.Override)
}

func baseOf(c wire.Command, all map[wire.PartitionID]wire.Partition) wire.PartitionID {
	count := 0
	for _, p := range all {
		if !state.IsOverride(p) {
			count++
		}
	}
	hash, _ := partition.ParseHash(c.Override.KeyHash)
	return state.PartitionID("catalogue", partition.OfHash(hash, count))
}

func requireGrowingEpochs(t *rapid.T, m *state.Machine, epochs map[wire.PartitionID]wire.FencingToken) {
	for _, p := range m.PartitionList() {
		if p.Owner == "" {
			continue
		}
		require(t, p.FencingToken >= epochs[p.Partition], "epoch of %s went from %d to %d", p.Partition, epochs[p.Partition], p.FencingToken)
		epochs[p.Partition] = p.FencingToken
		_, alive := m.Member(p.Owner)
		require(t, alive, "%s belongs to a member that is gone", p.Partition)
	}
}

func requireOneRun(t *rapid.T, c wire.Command, r state.Result, running map[wire.OperationKey]wire.ExecutionID) {
	switch {
	case c.Finish != nil && c.Finish.Result.Outcome == wire.OutcomeNotRun && r.Err == nil:
		if running[c.Finish.Key] == c.Finish.Execution {
			delete(running, c.Finish.Key)
		}
	case r.Begin != nil && r.Begin.Decision == wire.DecisionRun:
		other, taken := running[c.Begin.Key]
		require(t, !taken || other == c.Begin.Execution, "%s runs as %s and as %s", c.Begin.Key, other, c.Begin.Execution)
		running[c.Begin.Key] = c.Begin.Execution
	}
}

func snapshot(t *rapid.T, m *state.Machine) []byte {
	data, err := m.Snapshot()
	require(t, err == nil, "%v", err)
	return data
}

func restored(t *rapid.T, m *state.Machine) *state.Machine {
	out := state.New("tz")
	err := out.Restore(snapshot(t, m))
	require(t, err == nil, "%v", err)
	return out
}

func requireSameTable(t *rapid.T, m *state.Machine, routes *table.Table) {
	err := routes.Apply(m.Delta(routes.Snapshot().Version()))
	require(t, err == nil, "%v", err)
	full := table.New()
	err = full.Apply(m.Delta(0))
	require(t, err == nil, "%v", err)
	require(t, render(routes) == render(full), "delta gives\n%s\nfull table gives\n%s", render(routes), render(full))
}

// render shows all that a table answers for the names that draw uses.
func render(x *table.Table) string {
	s := x.Snapshot()
	out := fmt.Sprint(s.Version(), s.Revision(), s.MembersOfService("catalogue"), s.MembersOfService("pledges"))
	for i := range 5 {
		out += fmt.Sprint(s.PartitionsOwnedBy(wire.Incarnation(fmt.Sprint("i", i))))
		p, ok := s.PartitionOfHash("catalogue", uint64(i))
		out += fmt.Sprint(p, ok)
		f, ok := s.Suspect(wire.Fingerprint(fmt.Sprint("f", i)))
		out += fmt.Sprint(f, ok)
	}
	return out
}

func require(t *rapid.T, ok bool, format string, args ...any) {
	if !ok {
		t.Fatalf(format, args...)
	}
}

// Guards against lost updates and against a resend that is applied twice.
func TestApplyConfigRefusesOldBaseAndRepeatsAnswers(t *testing.T) {
	g := newGroup()
	won := g.apply(wire.Command{Apply: applyConfig(0, "a", config(4))})
	lost := g.apply(wire.Command{Apply: applyConfig(0, "b", config(8))})
	qt.Assert(t, won.Apply.Accepted, qt.IsTrue)
	qt.Assert(t, lost.Apply.Accepted, qt.IsFalse)
	qt.Assert(t, lost.Apply.Revision, qt.Equals, wire.Revision(1))
	again := g.apply(wire.Command{Apply: applyConfig(0, "a", config(4))})
	qt.Assert(t, *again.Apply, qt.Equals, wire.ApplyResponse{Accepted: true, Revision: 1, Replayed: true})
}

// Guards against a second run of an operation in each situation of a resend.
func TestBeginDecisions(t *testing.T) {
	const now = 3 * day
	k := key(now, 1)
	begin := func(execution string) wire.Command {
		return wire.Command{Begin: &wire.BeginRequest{Service: "pledges", Caller: "c", Key: k, Fingerprint: "f", Execution: wire.ExecutionID(execution), Incarnation: "i1"}}
	}
	finish := func(execution string, o wire.Outcome) wire.Command {
		return wire.Command{Finish: &wire.FinishRequest{Service: "pledges", Key: k, Execution: wire.ExecutionID(execution), Result: wire.OperationResult{Outcome: o}}}
	}
	withKey := func(c wire.Command, k wire.OperationKey, caller wire.CallerID) wire.Command {
		b := *c.Begin
		b.Key, b.Caller = k, caller
		return wire.Command{Begin: &b}
	}
	down := wire.Command{MemberDown: &wire.MemberDown{Incarnation: "i1"}}
	cases := map[string]struct {
		before []wire.Command
		ask    wire.Command
		want   wire.Decision
	}{
		"first":              {nil, begin("e1"), wire.DecisionRun},
		"resent command":     {[]wire.Command{begin("e1")}, begin("e1"), wire.DecisionRun},
		"running":            {[]wire.Command{begin("e1")}, begin("e2"), wire.DecisionRunning},
		"member gone":        {[]wire.Command{begin("e1"), down}, begin("e2"), wire.DecisionLost},
		"finished":           {[]wire.Command{begin("e1"), finish("e1", "complete")}, begin("e2"), wire.DecisionFinished},
		"not run":            {[]wire.Command{begin("e1"), finish("e1", "not-run")}, begin("e2"), wire.DecisionRun},
		"other's not run":    {[]wire.Command{begin("e1"), finish("e2", "not-run")}, begin("e3"), wire.DecisionRunning},
		"late not run":       {[]wire.Command{begin("e1"), finish("e1", "complete"), finish("e1", "not-run")}, begin("e2"), wire.DecisionFinished},
		"other caller":       {[]wire.Command{begin("e1")}, withKey(begin("e2"), k, "d"), wire.DecisionMismatch},
		"expired":            {nil, withKey(begin("e1"), key(now-day-1, 1), "c"), wire.DecisionExpired},
		"from the future":    {nil, withKey(begin("e1"), key(now+600001, 1), "c"), wire.DecisionFuture},
		"release came first": {[]wire.Command{finish("e1", "not-run")}, begin("e1"), ""},
		"not version 7":      {nil, withKey(begin("e1"), "6f1c7b52-2f0e-4c55-9a52-000000000000", "c"), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGroup()
			g.apply(wire.Command{ProposedAt: now, RegisterMember: member("n", "i1", "pledges")})
			for _, b := range c.before {
				g.apply(b)
			}
			r := g.apply(c.ask)
			if c.want == "" {
				qt.Assert(t, r.Err, qt.IsNotNil)
				return
			}
			qt.Assert(t, r.Err, qt.IsNil)
			qt.Assert(t, r.Begin.Decision, qt.Equals, c.want)
		})
	}
}

// Guards against quarantine of innocent requests, and against a resent report
// counting as a second death.
func TestSuspectsAndQuarantine(t *testing.T) {
	g := newGroup()
	for _, i := range []string{"i1", "i2", "i3"} {
		g.apply(wire.Command{RegisterMember: member("n"+i, i, "pledges")})
	}
	crash := func(i wire.Incarnation, fs ...wire.Fingerprint) {
		d := &wire.MemberDown{Incarnation: i, Crashed: true}
		for _, f := range fs {
			d.InFlight = append(d.InFlight, wire.InFlight{Fingerprint: f})
		}
		g.apply(wire.Command{MemberDown: d})
	}
	crash("i1", "bad", "good")
	crash("i1", "bad")
	qt.Assert(t, g.machine.SuspectList(), qt.HasLen, 2)
	g.apply(wire.Command{ClearSuspect: &wire.ClearSuspectRequest{Fingerprint: "good", Incarnation: "i2"}})
	crash("i2", "bad")
	list := g.machine.SuspectList()
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Fingerprint, qt.Equals, wire.Fingerprint("bad"))
	qt.Assert(t, list[0].Quarantined, qt.IsTrue)
	r := g.apply(wire.Command{ClearSuspect: &wire.ClearSuspectRequest{Fingerprint: "bad", Incarnation: "i3"}})
	qt.Assert(t, errors.Is(r.Err, state.ErrStale), qt.IsTrue)
	g.apply(wire.Command{Release: &wire.ReleaseRequest{Fingerprint: "bad", Operator: "uzi"}})
	qt.Assert(t, g.machine.SuspectList(), qt.HasLen, 0)
}

// Guards against decisions of an earlier leader session taking effect later.
func TestCommandsOfEndedSessionHaveNoEffect(t *testing.T) {
	g := newGroup()
	g.apply(wire.Command{RegisterMember: member("n", "i1", "pledges")})
	g.apply(wire.Command{LeaderStart: &wire.LeaderStart{Replica: "a", Session: "s1"}})
	g.apply(wire.Command{LeaderStart: &wire.LeaderStart{Replica: "b", Session: "s2"}})
	r := g.apply(wire.Command{Session: "s1", MemberDown: &wire.MemberDown{Incarnation: "i1"}})
	qt.Assert(t, errors.Is(r.Err, state.ErrSessionEnded), qt.IsTrue)
	_, alive := g.machine.Member("i1")
	qt.Assert(t, alive, qt.IsTrue)
}

// Guards against a key that changes owner when its override ends, although
// neither owner was asked to stop.
func TestOverrideEndsOnlyWithTheOwnerOfItsPartition(t *testing.T) {
	g := newGroup()
	g.apply(wire.Command{Apply: applyConfig(0, "a", config(1))})
	for _, i := range []string{"i1", "i2"} {
		g.apply(wire.Command{RegisterMember: member("n"+i, i, "catalogue")})
	}
	g.apply(wire.Command{Assign: &wire.Assign{Moves: []wire.Move{{Partition: "catalogue/0", To: "i1"}}}})
	hash := partition.FormatHash(5)
	id := state.OverrideID("catalogue", hash)
	set := wire.Command{Override: &wire.Override{Service: "catalogue", KeyHash: hash, Isolated: true}}
	end := wire.Command{Override: &wire.Override{Service: "catalogue", KeyHash: hash}}
	moveTo := func(from, to wire.Incarnation) {
		p, _ := g.machine.Partition(id)
		g.apply(wire.Command{MoveStart: &wire.MoveStart{Moves: []wire.Move{{Partition: id, FencingToken: p.FencingToken, To: to}}}})
		qt.Assert(t, errors.Is(g.apply(end).Err, state.ErrStale), qt.IsTrue)
		r := g.apply(wire.Command{MoveRelease: &wire.MoveRelease{Incarnation: from, Grants: []wire.Grant{{Partition: id, FencingToken: p.FencingToken}}}})
		qt.Assert(t, r.Err, qt.IsNil)
	}
	qt.Assert(t, g.apply(set).Err, qt.IsNil)
	moveTo("i1", "i2")
	qt.Assert(t, errors.Is(g.apply(end).Err, state.ErrStale), qt.IsTrue)
	moveTo("i2", "i1")
	qt.Assert(t, g.apply(end).Err, qt.IsNil)
	_, exists := g.machine.Partition(id)
	qt.Assert(t, exists, qt.IsFalse)
}

// Guards against a damaged snapshot that replaces part of the state.
func TestRestoreRefusesDamagedSnapshot(t *testing.T) {
	g := newGroup()
	g.apply(wire.Command{RegisterMember: member("n", "i1", "pledges")})
	g.apply(wire.Command{Begin: &wire.BeginRequest{Service: "pledges", Key: key(5, 1), Execution: "e", Incarnation: "i1"}})
	good, err := g.machine.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	damaged := map[string][]byte{
		"empty":            {},
		"half a head":      good[:20],
		"cut operation":    good[:len(good)-3],
		"not a record":     append(good[:len(good):len(good)], "key record\n"...),
		"record twice":     append(good[:len(good):len(good)], good[bytes.IndexByte(good, '\n')+1:]...),
		"unknown format":   bytes.Replace(good, []byte(`"Format":1`), []byte(`"Format":2`), 1),
		"of another group": []byte("{\"Group\":\"ch\"}\n"),
	}
	for name, data := range damaged {
		qt.Assert(t, errors.Is(g.machine.Restore(data), state.ErrInvalidSnapshot), qt.IsTrue, qt.Commentf("%s", name))
		now, _ := g.machine.Snapshot()
		qt.Assert(t, string(now), qt.Equals, string(good), qt.Commentf("%s", name))
	}
}
