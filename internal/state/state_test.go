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

// group applies commands to a machine with consecutive log indexes.
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

// drawCommand returns a random command. Most commands about a partition have its current fencing
// token.
func drawCommand(t *rapid.T, m *state.Machine) wire.Command {
	drawInt := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	incarnation := func() wire.Incarnation { return wire.Incarnation(fmt.Sprint("i", drawInt("incarnation", 5))) }
	services := []wire.ServiceName{"catalogue", "pledges"}
	fingerprint := func() wire.Fingerprint { return wire.Fingerprint(fmt.Sprint("f", drawInt("fingerprint", 3))) }
	hash := func() string { return partition.FormatHash(uint64(drawInt("hash", 3))) }
	partitionID := func() wire.PartitionID {
		if drawInt("kind", 4) == 0 {
			return state.OverrideID("catalogue", hash())
		}
		return state.PartitionID("catalogue", partition.Number(drawInt("partition", 4)))
	}
	c := wire.Command{ProposedAt: wire.UnixMillis(drawInt("time", 5)) * day / 2}
	operation := key(wire.UnixMillis(drawInt("key time", 5))*day/2, drawInt("key", 2))
	execution := wire.ExecutionID(fmt.Sprint("e", drawInt("execution", 3)))
	id := partitionID()
	current, _ := m.Partition(id)
	token := current.FencingToken + wire.FencingToken(drawInt("fencing token", 5)/4)
	move := wire.Move{Partition: id, FencingToken: token, To: incarnation()}
	switch drawInt("command", 15) {
	case 0, 1:
		i := incarnation()
		c.RegisterMember = member("n"+string(i), string(i), services[drawInt("service", 3)/2])
	case 2:
		c.MemberDown = &wire.MemberDown{Incarnation: incarnation(), Crashed: drawInt("crashed", 2) == 0, InFlight: []wire.InFlight{{Fingerprint: fingerprint()}}}
	case 3:
		if drawInt("cancel", 3) == 0 {
			c.MoveCancel = &wire.MoveCancel{Moves: []wire.Move{{Partition: id, FencingToken: token, To: current.MovingTo}}}
			break
		}
		c.MoveStart = &wire.MoveStart{Moves: []wire.Move{move}}
	case 4:
		c.MoveRelease = &wire.MoveRelease{Incarnation: incarnation(), Grants: []wire.Grant{{Partition: move.Partition, FencingToken: token}}}
	case 5, 6:
		c.Assign = &wire.Assign{Moves: []wire.Move{move}}
	case 7:
		c.Override = &wire.Override{Service: "catalogue", KeyHash: hash(), Isolated: drawInt("isolated", 2) == 0}
	case 8:
		c.Drain = &wire.DrainRequest{Node: wire.NodeID("n" + string(incarnation())), Drain: drawInt("drain", 2) == 0}
	case 9:
		c.Apply = applyConfig(drawInt("base", 4), fmt.Sprint("r", drawInt("request", 6)), config(2+2*drawInt("partitions", 2)))
	case 10, 11:
		c.Begin = &wire.BeginRequest{Service: "pledges", Key: operation, Fingerprint: fingerprint(), Execution: execution, Incarnation: incarnation()}
	case 12:
		outcome := []wire.Outcome{wire.OutcomeComplete, wire.OutcomeNotRun}[drawInt("outcome", 2)]
		c.Finish = &wire.FinishRequest{Service: "pledges", Key: operation, Execution: execution, Result: wire.OperationResult{Outcome: outcome}}
	case 13:
		c.ClearSuspect = &wire.ClearSuspectRequest{Fingerprint: fingerprint(), Incarnation: incarnation()}
	default:
		c.Release = &wire.ReleaseRequest{Fingerprint: fingerprint()}
	}
	return c
}

// Guards against an owner that changes before the previous owner has ended or released the
// partition, a fencing token that decreases, an operation that runs twice, replicas that
// differ, and routing tables that miss a change.
func TestRandomCommandsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup()
		g.apply(wire.Command{Apply: applyConfig(0, "first", config(4))})
		follower := state.New("tz")
		follower.Apply(1, g.log[0])
		routes := table.New()
		tokens := map[wire.PartitionID]wire.FencingToken{}
		running := map[wire.OperationKey]wire.ExecutionID{}
		var results []state.Result
		var commands []wire.Command
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawCommand(t, g.machine)
			before := owners(g.machine)
			r := g.apply(c)
			requireSingleOwner(t, c, before, owners(g.machine))
			requireSameKeyOwners(t, c, before, owners(g.machine))
			requireLiveOwnersAndNoLowerToken(t, g.machine, tokens)
			requireSingleRun(t, c, r, running)
			commands, results = append(commands, c), append(results, r)
			if rapid.Bool().Draw(t, "restart follower") {
				follower = restoredCopy(t, follower)
			}
			follower.Apply(wire.Version(len(g.log)), g.log[len(g.log)-1])
			require(t, string(snapshot(t, follower)) == string(snapshot(t, g.machine)), "replicas differ")
			if rapid.Bool().Draw(t, "fetch delta") {
				requireSameTable(t, g.machine, routes)
			}
		}
		for i, c := range commands {
			if c.Apply == nil {
				continue
			}
			replayed, first := *g.apply(c).Apply, *results[i].Apply
			require(t, replayed.Revision == first.Revision && replayed.Accepted == first.Accepted, "replayed response is %+v, the first was %+v", replayed, first)
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

// requireSingleOwner checks that a partition changed its owner only after the previous
// owner ended or released the partition.
func requireSingleOwner(t *rapid.T, c wire.Command, before, after map[wire.PartitionID]wire.Partition) {
	for id, p := range after {
		old, existed := before[id]
		if !existed || old.Owner == p.Owner || old.Owner == "" || c.Apply != nil {
			continue
		}
		ended := c.MemberDown != nil && c.MemberDown.Incarnation == old.Owner && p.Owner == ""
		released := c.MoveRelease != nil && c.MoveRelease.Incarnation == old.Owner
		require(t, ended || released, "%s changed from %+v to %+v by %+v", id, old, p, c)
	}
}

// requireSameKeyOwners checks that setting or clearing an override does not change the
// owner of its key.
func requireSameKeyOwners(t *rapid.T, c wire.Command, before, after map[wire.PartitionID]wire.Partition) {
	if c.Override == nil {
		return
	}
	old, current := before[baseOf(c, before)], after[baseOf(c, after)]
	id := state.OverrideID("catalogue", c.Override.KeyHash)
	if override, ok := before[id]; ok {
		old = override
	}
	if override, ok := after[id]; ok {
		current = override
	}
	require(t, old.Owner == current.Owner, "partition of the key changed from %+v to %+v by %+v", old, current, c.Override)
}

// baseOf returns the ID of the numbered partition of an override's key.
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

// requireLiveOwnersAndNoLowerToken checks that no fencing token decreased since the last
// call, and that all owners are live. A token may stay the same.
func requireLiveOwnersAndNoLowerToken(t *rapid.T, m *state.Machine, tokens map[wire.PartitionID]wire.FencingToken) {
	for _, p := range m.PartitionList() {
		if p.Owner == "" {
			continue
		}
		require(t, p.FencingToken >= tokens[p.Partition], "fencing token of %s changed from %d to %d", p.Partition, tokens[p.Partition], p.FencingToken)
		tokens[p.Partition] = p.FencingToken
		_, live := m.Member(p.Owner)
		require(t, live, "the owner of %s is not a live member", p.Partition)
	}
}

// requireSingleRun checks that an operation runs as one execution only, unless the earlier
// one ended as not run.
func requireSingleRun(t *rapid.T, c wire.Command, r state.Result, running map[wire.OperationKey]wire.ExecutionID) {
	switch {
	case c.Finish != nil && c.Finish.Result.Outcome == wire.OutcomeNotRun && r.Err == nil:
		if running[c.Finish.Key] == c.Finish.Execution {
			delete(running, c.Finish.Key)
		}
	case r.Begin != nil && r.Begin.Decision == wire.DecisionRun:
		other, exists := running[c.Begin.Key]
		require(t, !exists || other == c.Begin.Execution, "operation %s runs as execution %s and as %s", c.Begin.Key, other, c.Begin.Execution)
		running[c.Begin.Key] = c.Begin.Execution
	}
}

func snapshot(t *rapid.T, m *state.Machine) []byte {
	data, err := m.Snapshot()
	require(t, err == nil, "%v", err)
	return data
}

// restoredCopy returns a new machine that was restored from a snapshot of m.
func restoredCopy(t *rapid.T, m *state.Machine) *state.Machine {
	out := state.New("tz")
	err := out.Restore(snapshot(t, m))
	require(t, err == nil, "%v", err)
	return out
}

// requireSameTable checks that a table updated by deltas equals one built from the full
// table.
func requireSameTable(t *rapid.T, m *state.Machine, routes *table.Table) {
	err := routes.Apply(m.Delta(routes.Snapshot().Version()))
	require(t, err == nil, "%v", err)
	full := table.New()
	err = full.Apply(m.Delta(0))
	require(t, err == nil, "%v", err)
	require(t, render(routes) == render(full), "table after the delta:\n%s\nfull table:\n%s", render(routes), render(full))
}

// render returns the results of lookups in a table for all names that drawCommand uses.
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

// Guards against lost updates of the configuration and against a resent request that is
// applied twice.
func TestApplyConfigRejectsOldBaseAndReplaysResponses(t *testing.T) {
	g := newGroup()
	accepted := g.apply(wire.Command{Apply: applyConfig(0, "a", config(4))})
	rejected := g.apply(wire.Command{Apply: applyConfig(0, "b", config(8))})
	qt.Assert(t, accepted.Apply.Accepted, qt.IsTrue)
	qt.Assert(t, rejected.Apply.Accepted, qt.IsFalse)
	qt.Assert(t, rejected.Apply.Revision, qt.Equals, wire.Revision(1))
	replayed := g.apply(wire.Command{Apply: applyConfig(0, "a", config(4))})
	qt.Assert(t, *replayed.Apply, qt.Equals, wire.ApplyResponse{Accepted: true, Revision: 1, Replayed: true})
}

// Guards against a second run of an operation, for each state in which a Begin can arrive.
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
		before  []wire.Command
		command wire.Command
		want    wire.Decision
	}{
		"first":                        {nil, begin("e1"), wire.DecisionRun},
		"resent command":               {[]wire.Command{begin("e1")}, begin("e1"), wire.DecisionRun},
		"running":                      {[]wire.Command{begin("e1")}, begin("e2"), wire.DecisionRunning},
		"member ended":                 {[]wire.Command{begin("e1"), down}, begin("e2"), wire.DecisionLost},
		"finished":                     {[]wire.Command{begin("e1"), finish("e1", "complete")}, begin("e2"), wire.DecisionFinished},
		"not run":                      {[]wire.Command{begin("e1"), finish("e1", "not-run")}, begin("e2"), wire.DecisionRun},
		"not run of another execution": {[]wire.Command{begin("e1"), finish("e2", "not-run")}, begin("e3"), wire.DecisionRunning},
		"not run after result":         {[]wire.Command{begin("e1"), finish("e1", "complete"), finish("e1", "not-run")}, begin("e2"), wire.DecisionFinished},
		"another caller":               {[]wire.Command{begin("e1")}, withKey(begin("e2"), k, "d"), wire.DecisionMismatch},
		"expired":                      {nil, withKey(begin("e1"), key(now-day-1, 1), "c"), wire.DecisionExpired},
		"key time too far ahead":       {nil, withKey(begin("e1"), key(now+600001, 1), "c"), wire.DecisionFuture},
		"release before Begin":         {[]wire.Command{finish("e1", "not-run")}, begin("e1"), ""},
		"not version 7":                {nil, withKey(begin("e1"), "6f1c7b52-2f0e-4c55-9a52-000000000000", "c"), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGroup()
			g.apply(wire.Command{ProposedAt: now, RegisterMember: member("n", "i1", "pledges")})
			for _, b := range c.before {
				g.apply(b)
			}
			r := g.apply(c.command)
			if c.want == "" {
				qt.Assert(t, r.Err, qt.IsNotNil)
				return
			}
			qt.Assert(t, r.Err, qt.IsNil)
			qt.Assert(t, r.Begin.Decision, qt.Equals, c.want)
		})
	}
}

// Guards against quarantine of requests that did not cause a crash, and against counting a
// resent report as a second crash.
func TestSuspectsAndQuarantine(t *testing.T) {
	g := newGroup()
	for _, i := range []string{"i1", "i2", "i3"} {
		g.apply(wire.Command{RegisterMember: member("n"+i, i, "pledges")})
	}
	crash := func(i wire.Incarnation, inFlight ...wire.Fingerprint) {
		d := &wire.MemberDown{Incarnation: i, Crashed: true}
		for _, f := range inFlight {
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

// Guards against delayed commands of an earlier leader session taking effect.
func TestCommandsOfEndedSessionHaveNoEffect(t *testing.T) {
	g := newGroup()
	g.apply(wire.Command{RegisterMember: member("n", "i1", "pledges")})
	g.apply(wire.Command{LeaderStart: &wire.LeaderStart{Replica: "a", Session: "s1"}})
	g.apply(wire.Command{LeaderStart: &wire.LeaderStart{Replica: "b", Session: "s2"}})
	r := g.apply(wire.Command{Session: "s1", MemberDown: &wire.MemberDown{Incarnation: "i1"}})
	qt.Assert(t, errors.Is(r.Err, state.ErrSessionEnded), qt.IsTrue)
	_, live := g.machine.Member("i1")
	qt.Assert(t, live, qt.IsTrue)
}

// Guards against clearing an override while its partition and the numbered partition of the
// key have different owners. The key would change owner without the previous one having
// released it.
func TestOverrideEndsOnlyWithOwnerOfNumberedPartition(t *testing.T) {
	g := newGroup()
	g.apply(wire.Command{Apply: applyConfig(0, "a", config(1))})
	for _, i := range []string{"i1", "i2"} {
		g.apply(wire.Command{RegisterMember: member("n"+i, i, "catalogue")})
	}
	g.apply(wire.Command{Assign: &wire.Assign{Moves: []wire.Move{{Partition: "catalogue/0", To: "i1"}}}})
	hash := partition.FormatHash(5)
	id := state.OverrideID("catalogue", hash)
	set := wire.Command{Override: &wire.Override{Service: "catalogue", KeyHash: hash, Isolated: true}}
	clearing := wire.Command{Override: &wire.Override{Service: "catalogue", KeyHash: hash}}
	moveTo := func(from, to wire.Incarnation) {
		p, _ := g.machine.Partition(id)
		g.apply(wire.Command{MoveStart: &wire.MoveStart{Moves: []wire.Move{{Partition: id, FencingToken: p.FencingToken, To: to}}}})
		qt.Assert(t, errors.Is(g.apply(clearing).Err, state.ErrStale), qt.IsTrue)
		r := g.apply(wire.Command{MoveRelease: &wire.MoveRelease{Incarnation: from, Grants: []wire.Grant{{Partition: id, FencingToken: p.FencingToken}}}})
		qt.Assert(t, r.Err, qt.IsNil)
	}
	qt.Assert(t, g.apply(set).Err, qt.IsNil)
	moveTo("i1", "i2")
	qt.Assert(t, errors.Is(g.apply(clearing).Err, state.ErrStale), qt.IsTrue)
	moveTo("i2", "i1")
	qt.Assert(t, g.apply(clearing).Err, qt.IsNil)
	_, exists := g.machine.Partition(id)
	qt.Assert(t, exists, qt.IsFalse)
}

// Guards against a corrupt snapshot that replaces part of the state.
func TestRestoreRejectsCorruptSnapshot(t *testing.T) {
	g := newGroup()
	g.apply(wire.Command{RegisterMember: member("n", "i1", "pledges")})
	g.apply(wire.Command{Begin: &wire.BeginRequest{Service: "pledges", Key: key(5, 1), Execution: "e", Incarnation: "i1"}})
	valid, err := g.machine.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	corrupt := map[string][]byte{
		"empty":               {},
		"truncated header":    valid[:20],
		"truncated operation": valid[:len(valid)-3],
		"invalid record":      append(valid[:len(valid):len(valid)], "key record\n"...),
		"duplicate record":    append(valid[:len(valid):len(valid)], valid[bytes.IndexByte(valid, '\n')+1:]...),
		"unknown format":      bytes.Replace(valid, []byte(`"Format":1`), []byte(`"Format":2`), 1),
		"another group":       []byte("{\"Group\":\"ch\"}\n"),
	}
	for name, data := range corrupt {
		qt.Assert(t, errors.Is(g.machine.Restore(data), state.ErrInvalidSnapshot), qt.IsTrue, qt.Commentf("%s", name))
		after, _ := g.machine.Snapshot()
		qt.Assert(t, string(after), qt.Equals, string(valid), qt.Commentf("%s", name))
	}
}
