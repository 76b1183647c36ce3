package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// rig is a service over a log that commits at once.
type rig struct {
	*Service
	t      *testing.T
	clock  *clock.Manual
	rounds chan chan error

	mu       sync.Mutex
	index    wire.Version
	sessions int
}

// newRig returns a leader that has waited out earlier leases. Confirmation
// rounds succeed unless the test takes them over through rounds.
func newRig(t *testing.T) *rig {
	r := &rig{t: t, clock: clock.NewManual(1000)}
	m := state.New("tz")
	r.Service = New(Options{
		Group: "tz", Replica: "control-a", Clock: r.clock.Clock(), Machine: m,
		Propose: r.commit, Confirm: r.confirmRound,
		Status:   func() Status { return Status{Leader: "10.0.0.9:7100"} },
		Validate: func(_, _ wire.Configuration) error { return nil },
		NewID:    r.newSession, Log: zerolog.Nop(), Registry: prometheus.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.RunConfirmations(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	r.SetLeading(true)
	r.clock.Advance(lease.DefaultTerms.Longest())
	r.Tick(t.Context())
	return r
}

func (r *rig) newSession() string {
	r.sessions++
	return fmt.Sprint("session-", r.sessions)
}

func (r *rig) commit(_ context.Context, data []byte) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	return r.Machine.Apply(r.index, data), nil
}

func (r *rig) confirmRound(ctx context.Context) (wire.Version, error) {
	if r.rounds == nil {
		return r.Machine.Version(), nil
	}
	end := make(chan error)
	select {
	case r.rounds <- end:
		return r.Machine.Version(), <-end
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (r *rig) configure(partitions, budget int) {
	c := wire.Configuration{Services: []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: partitions, MoveBudget: budget}}}
	revision, _ := r.Machine.Config()
	a, err := r.apply(r.t.Context(), wire.ApplyRequest{Group: "tz", RequestID: wire.RequestID(fmt.Sprint("r", r.index)), BaseRevision: revision, Configuration: c})
	qt.Assert(r.t, err, qt.IsNil)
	qt.Assert(r.t, a.Accepted, qt.IsTrue)
}

func beat(node, process, incarnation string, sequence int) wire.HeartbeatRequest {
	return wire.HeartbeatRequest{
		Group: "tz", Node: wire.NodeID(node), Process: wire.ProcessID(process),
		Member: &wire.Announcement{Incarnation: wire.Incarnation(incarnation), Service: "catalogue", Slots: 10, Sequence: sequence},
	}
}

// heartbeat returns the response as a node decodes it.
func (r *rig) heartbeat(ctx context.Context, h wire.HeartbeatRequest) (wire.HeartbeatResponse, error) {
	out, err := r.serveHeartbeat(ctx, h)
	if err != nil {
		return wire.HeartbeatResponse{}, err
	}
	return decoded[wire.HeartbeatResponse](out), nil
}

// decoded returns a response as its receiver decodes it.
func decoded[Response any](encoded any) (out Response) {
	data, err := json.Marshal(encoded)
	if err == nil {
		err = json.Unmarshal(data, &out)
	}
	if err != nil {
		panic(err)
	}
	return out
}

func (r *rig) beat(h wire.HeartbeatRequest) wire.HeartbeatResponse {
	out, err := r.heartbeat(r.t.Context(), h)
	qt.Assert(r.t, err, qt.IsNil)
	return out
}

// pass lets time pass in heartbeat steps, with the given nodes alive.
func (r *rig) pass(d clock.Millis, alive ...wire.HeartbeatRequest) {
	for ; d > 0; d -= 200 {
		for _, h := range alive {
			r.beat(h)
		}
		r.clock.Advance(200)
		r.Tick(r.t.Context())
	}
}

func (r *rig) owned(i wire.Incarnation) (out []wire.Partition) {
	for _, p := range r.Machine.PartitionList() {
		if p.Owner == i {
			out = append(out, p)
		}
	}
	return out
}

func (r *rig) isLive(i wire.Incarnation) bool {
	_, live := r.Machine.Member(i)
	return live
}

// releasing returns the heartbeat with a release of everything that moves away.
func (r *rig) releasing(h wire.HeartbeatRequest) wire.HeartbeatRequest {
	for _, p := range r.owned(h.Member.Incarnation) {
		if p.MovingTo != "" {
			h.Released = append(h.Released, wire.Grant{Partition: p.Partition, FencingToken: p.FencingToken})
		}
	}
	return h
}

// Guards against answers of a replica that does not lead, that another replica
// has replaced during the call, or that belongs to another group.
func TestOnlyConfirmedLeaderAnswers(t *testing.T) {
	r := newRig(t)
	_, err := r.heartbeat(t.Context(), wire.HeartbeatRequest{Group: "other"})
	qt.Assert(t, rpc.IsCode(err, rpc.CodeRefused), qt.IsTrue)
	r.rounds = make(chan chan error)
	result := make(chan error)
	go func() {
		_, err := r.heartbeat(context.Background(), beat("n1", "p", "i1", 1))
		result <- err
	}()
	end := <-r.rounds
	r.SetLeading(false)
	r.SetLeading(true)
	end <- nil
	qt.Assert(t, rpc.IsCode(<-result, rpc.CodeNotLeader), qt.IsTrue)
	r.SetLeading(false)
	_, err = r.heartbeat(t.Context(), beat("n1", "p", "i1", 1))
	var e *rpc.Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Leader, qt.Equals, "10.0.0.9:7100")
}

// Guards against one round for each heartbeat, and against a heartbeat that is
// answered by a round that began before it.
func TestHeartbeatsShareTheNextRound(t *testing.T) {
	r := newRig(t)
	r.rounds = make(chan chan error)
	first := make(chan error, 1)
	go func() { first <- r.confirmer.wait(context.Background()) }()
	end := <-r.rounds
	const waiting = 5
	later := make(chan error, waiting)
	joined := r.confirmer.join()
	for range waiting {
		go func() { later <- r.confirmer.wait(context.Background()) }()
	}
	end <- nil
	qt.Assert(t, <-first, qt.IsNil)
	end = <-r.rounds
	select {
	case <-joined.done:
		t.Fatal("answered by the round that began before the call")
	default:
	}
	end <- nil
	<-joined.done
	for answered := 0; answered < waiting; {
		select {
		case err := <-later:
			qt.Assert(t, err, qt.IsNil)
			answered++
		case end = <-r.rounds:
			end <- nil
		}
	}
}

// Guards against a new leader that expires members whose lease its predecessor
// renewed, and against one that refuses renewals meanwhile.
func TestNewLeaderWaitsOutLeasesBeforeItExpires(t *testing.T) {
	r := newRig(t)
	r.beat(beat("n1", "p1", "i1", 1))
	r.beat(beat("n2", "p2", "i2", 1))
	r.SetLeading(false)
	r.clock.Advance(10000)
	r.SetLeading(true)
	r.Tick(t.Context())
	qt.Assert(t, r.beat(beat("n1", "p1", "i1", 1)).Granted, qt.IsTrue)
	r.clock.Advance(lease.DefaultTerms.Longest() - 1)
	r.Tick(t.Context())
	qt.Assert(t, r.isLive("i2"), qt.IsTrue)
	qt.Assert(t, r.beat(beat("n1", "p1", "i1", 1)).Granted, qt.IsTrue)
	r.clock.Advance(1)
	r.Tick(t.Context())
	qt.Assert(t, r.isLive("i1"), qt.IsTrue)
	qt.Assert(t, r.isLive("i2"), qt.IsFalse)
	qt.Assert(t, r.beat(beat("n2", "p2", "i2", 1)).Granted, qt.IsFalse)
}

// Guards against partitions of a restarted node process being reassigned while
// an old target may still run work, and against a needless wait where the same
// process vouches for the end of its earlier incarnations.
func TestReplacedIncarnationByItsOwnProcessOrByAnother(t *testing.T) {
	cases := map[string]struct {
		process  string
		sequence int
		vouches  bool
		granted  bool
		freedNow bool
	}{
		"same process that vouches":          {"p1", 2, true, true, true},
		"same process, target may run":       {"p1", 2, false, true, false},
		"same process, earlier announcement": {"p1", 0, true, false, false},
		"restarted process":                  {"p2", 2, true, true, false},
		"unknown process":                    {"", 2, true, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(4, 1)
			r.pass(1400, beat("n1", "p1", "old", 1))
			qt.Assert(t, r.owned("old"), qt.HasLen, 4)
			r.beat(beat("n1", "p1", "old", 1))
			later := beat("n1", c.process, "new", c.sequence)
			later.Member.EarlierEnded = c.vouches
			got := r.beat(later)
			qt.Assert(t, got.Granted, qt.Equals, c.granted, qt.Commentf("%s", got.Refusal))
			qt.Assert(t, len(r.owned("old")) == 0, qt.Equals, c.freedNow)
			if c.granted {
				qt.Assert(t, r.beat(beat("n1", "p1", "old", 1)).Granted, qt.IsFalse)
			}
			r.clock.Advance(lease.DefaultTerms.Longest() - 1)
			r.Tick(t.Context())
			qt.Assert(t, r.isLive("old"), qt.Equals, !c.freedNow)
			r.clock.Advance(1)
			r.Tick(t.Context())
			qt.Assert(t, r.isLive("old"), qt.IsFalse)
		})
	}
}

// Guards against a lone first member that takes every partition, against uneven
// first assignments, and against partitions that stay unowned after a loss.
func TestAssignmentAtStartAndAfterLoss(t *testing.T) {
	r := newRig(t)
	r.configure(12, 2)
	a, b, c := beat("n1", "p1", "i1", 1), beat("n2", "p2", "i2", 1), beat("n3", "p3", "i3", 1)
	r.beat(a)
	r.Tick(t.Context())
	qt.Assert(t, r.owned("i1"), qt.HasLen, 0)
	r.pass(1200, a, b, c)
	for _, i := range []wire.Incarnation{"i1", "i2", "i3"} {
		qt.Assert(t, r.owned(i), qt.HasLen, 4)
	}
	r.pass(1000, a, b)
	qt.Assert(t, r.isLive("i3"), qt.IsFalse)
	qt.Assert(t, r.owned("i1"), qt.HasLen, 6)
	qt.Assert(t, r.owned("i2"), qt.HasLen, 6)
}

// Guards against moves past the budget, moves that never finish, and a joining
// member that stays without work.
func TestPlannedMovesKeepToTheBudget(t *testing.T) {
	r := newRig(t)
	r.configure(12, 2)
	a, b := beat("n1", "p1", "i1", 1), beat("n2", "p2", "i2", 1)
	r.pass(1400, a)
	qt.Assert(t, r.owned("i1"), qt.HasLen, 12)
	for range 40 {
		r.pass(200, r.releasing(a), b)
		moving := 0
		for _, p := range r.owned("i1") {
			if p.MovingTo != "" {
				moving++
			}
		}
		qt.Assert(t, moving <= 2, qt.IsTrue)
	}
	qt.Assert(t, len(r.owned("i2")) >= 5, qt.IsTrue)
}

// Guards against a leaving target that keeps work: both an operator's drain and
// a planned stop move all partitions away, beyond the budget for load.
func TestLeavingMemberLosesItsPartitions(t *testing.T) {
	cases := map[string]func(r *rig, h *wire.HeartbeatRequest){
		"planned stop": func(_ *rig, h *wire.HeartbeatRequest) { h.Stopping = true },
		"drain": func(r *rig, _ *wire.HeartbeatRequest) {
			_, err := r.drain(r.t.Context(), wire.DrainRequest{Group: "tz", Node: "n1", Drain: true})
			qt.Assert(r.t, err, qt.IsNil)
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(64, 1)
			a, b := beat("n1", "p1", "i1", 1), beat("n2", "p2", "i2", 1)
			r.pass(1400, a, b)
			qt.Assert(t, r.owned("i1"), qt.HasLen, 32)
			leave(r, &a)
			for range 4 {
				r.pass(200, r.releasing(a), b)
			}
			qt.Assert(t, r.owned("i2"), qt.HasLen, 64)
			qt.Assert(t, r.beat(a).Granted, qt.IsTrue)
		})
	}
}

// Guards against a re-created service whose partitions are assigned while
// owners of the removed ones may still serve under their old table.
func TestRecreatedServiceWaitsForOldLeases(t *testing.T) {
	r := newRig(t)
	a := beat("n1", "p1", "i1", 1)
	r.configure(4, 1)
	r.pass(1400, a)
	revision, _ := r.Machine.Config()
	_, err := r.apply(t.Context(), wire.ApplyRequest{Group: "tz", RequestID: "remove", BaseRevision: revision})
	qt.Assert(t, err, qt.IsNil)
	r.configure(8, 1)
	r.pass(800, a)
	qt.Assert(t, r.owned("i1"), qt.HasLen, 0)
	r.pass(400, a)
	qt.Assert(t, r.owned("i1"), qt.HasLen, 8)
}

// Guards against hot keys that share a partition for good, against overrides
// that come and go with every swing of the rate, and that never end.
func TestHotKeyIsIsolatedWithHysteresis(t *testing.T) {
	r := newRig(t)
	r.configure(4, 4)
	a, b := beat("n1", "p1", "i1", 1), beat("n2", "p2", "i2", 1)
	r.pass(1400, a, b)
	hash := partition.Hash("clinic-17")
	id := state.OverrideID("catalogue", partition.FormatHash(hash))
	rate := func(v float64) wire.HeartbeatRequest {
		h := r.releasing(a)
		h.HotKeys = []wire.HotKey{{Service: "catalogue", KeyHash: partition.FormatHash(hash), RequestsPerSecond: v}}
		return h
	}
	isolated := func() bool {
		_, ok := r.Machine.Partition(id)
		return ok
	}
	run := func(v float64, seconds int) {
		for i := range seconds * 5 {
			h := rate(v)
			// Nodes report every two seconds, not with each heartbeat.
			if i%10 > 0 {
				h.HotKeys = nil
			}
			r.pass(200, h, r.releasing(b))
		}
	}
	run(100, 1)
	r.pass(6000, a, b)
	qt.Assert(t, isolated(), qt.IsFalse)
	run(100, 8)
	qt.Assert(t, isolated(), qt.IsTrue)
	run(15, 40)
	qt.Assert(t, isolated(), qt.IsTrue)
	run(0, 20)
	qt.Assert(t, isolated(), qt.IsTrue)
	run(0, 15)
	qt.Assert(t, isolated(), qt.IsFalse)
}

// Guards against keys that change owner because of chance alone: with steady
// traffic nothing moves, however few requests the figures rest on.
func TestSteadyLoadMovesNothing(t *testing.T) {
	cases := map[string]struct{ every, requests int }{"none": {1, 0}, "sparse": {50, 2}, "some": {1, 1}, "many": {1, 20}}
	for name, c := range cases {
		r := newRig(t)
		r.configure(64, 4)
		nodes := []wire.HeartbeatRequest{beat("n1", "p1", "i1", 1), beat("n2", "p2", "i2", 1), beat("n3", "p3", "i3", 1), beat("n4", "p4", "i4", 1)}
		r.pass(1400, nodes...)
		random := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			for i, h := range nodes {
				nodes[i].Loads = nil
				for _, p := range r.owned(h.Member.Incarnation) {
					requests := 0
					if random.IntN(c.every) == 0 {
						requests = random.IntN(2*c.requests + 1)
					}
					nodes[i].Loads = append(nodes[i].Loads, wire.PartitionLoad{Partition: p.Partition, RequestsPerSecond: 5 * float64(requests)})
				}
			}
			r.pass(200, nodes...)
			for _, p := range r.Machine.PartitionList() {
				qt.Assert(t, p.MovingTo, qt.Equals, wire.Incarnation(""), qt.Commentf("%s", name))
			}
		}
	}
}

// Guards against a hot partition that keeps its owner overloaded.
func TestUnevenLoadIsEvenedOut(t *testing.T) {
	r := newRig(t)
	r.configure(8, 2)
	nodes := []wire.HeartbeatRequest{beat("n1", "p1", "i1", 1), beat("n2", "p2", "i2", 1)}
	r.pass(1400, nodes...)
	busy := map[wire.PartitionID]bool{}
	for _, p := range r.owned("i1") {
		busy[p.Partition] = true
	}
	for round := range 100 {
		for i, h := range nodes {
			nodes[i] = r.releasing(beat(string(h.Node), string(h.Process), string(h.Member.Incarnation), 1))
			for _, p := range r.owned(h.Member.Incarnation) {
				if busy[p.Partition] && round%10 == 0 {
					nodes[i].Loads = append(nodes[i].Loads, wire.PartitionLoad{Partition: p.Partition, RequestsPerSecond: 50})
				}
			}
		}
		r.pass(200, nodes...)
	}
	left := 0
	for _, p := range r.owned("i1") {
		if busy[p.Partition] {
			left++
		}
	}
	qt.Assert(t, left, qt.Equals, 2)
}

// Guards against lost reports of crashed targets, reports in another node's
// name, and a frozen target whose partitions are given away while it may run.
func TestDownEndsMemberWithSuspects(t *testing.T) {
	r := newRig(t)
	r.beat(beat("n1", "p1", "i1", 1))
	r.beat(beat("n2", "p2", "i2", 1))
	request := wire.DownRequest{Group: "tz", Node: "n1", Incarnation: "i1", Crashed: true, InFlight: []wire.InFlight{{Fingerprint: "f"}}}
	foreign := request
	foreign.Node = "n2"
	_, err := r.down(t.Context(), foreign)
	qt.Assert(t, rpc.IsCode(err, rpc.CodeRefused), qt.IsTrue)
	got, err := r.down(t.Context(), request)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Version, qt.Equals, r.Machine.Version())
	suspects, _ := r.quarantine(t.Context(), wire.QuarantineRequest{Group: "tz"})
	qt.Assert(t, suspects.Suspects, qt.HasLen, 1)
	frozen := make(chan error)
	go func() {
		_, err := r.down(context.Background(), wire.DownRequest{Group: "tz", Node: "n2", Incarnation: "i2", MayStillRun: true})
		frozen <- err
	}()
	for r.beat(beat("n2", "p2", "i2", 1)).Granted {
		// The report refuses renewals from its arrival on.
	}
	qt.Assert(t, r.isLive("i2"), qt.IsTrue)
	r.clock.Advance(lease.DefaultTerms.Longest())
	qt.Assert(t, <-frozen, qt.IsNil)
	qt.Assert(t, r.isLive("i2"), qt.IsFalse)
}

// Guards against an operation that runs again after its member was lost.
func TestOperationOfLostMemberIsLost(t *testing.T) {
	r := newRig(t)
	r.beat(beat("n1", "p1", "i1", 1))
	r.beat(beat("n2", "p2", "i2", 1))
	begin := wire.BeginRequest{Group: "tz", Service: "catalogue", Key: "00000000-07d0-7000-8000-000000000001", Fingerprint: "f", Execution: "e1", Incarnation: "i1"}
	first, err := r.begin(t.Context(), begin)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.Decision, qt.Equals, wire.DecisionRun)
	begin.Execution, begin.Incarnation = "e2", "i2"
	second, _ := r.begin(t.Context(), begin)
	qt.Assert(t, second.Decision, qt.Equals, wire.DecisionRunning)
	r.clock.Advance(lease.DefaultTerms.Longest())
	r.beat(beat("n2", "p2", "i2", 1))
	r.Tick(t.Context())
	third, _ := r.begin(t.Context(), begin)
	qt.Assert(t, third.Decision, qt.Equals, wire.DecisionLost)
}

// Guards against long polls that miss a change, outlive their leader, or delay a
// planned stop.
func TestWatchEndsByChangeByLossOfOfficeAndByStop(t *testing.T) {
	cases := map[string]struct {
		cause func(r *rig)
		code  rpc.Code
	}{
		"change":         {func(r *rig) { r.beat(beat("n1", "p1", "i1", 1)) }, 0},
		"timeout":        {func(r *rig) { r.clock.Advance(maxWatch) }, 0},
		"loss of office": {func(r *rig) { r.SetLeading(false) }, rpc.CodeNotLeader},
		"planned stop":   {func(r *rig) { r.Stop() }, rpc.CodeUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(1, 1)
			known := r.Machine.Version()
			result := make(chan error, 1)
			var got wire.WatchResponse
			go func() {
				out, err := r.serveWatch(context.Background(), wire.WatchRequest{Group: "tz", KnownVersion: known, WaitMillis: wire.Millis(maxWatch)})
				if err == nil {
					got = decoded[wire.WatchResponse](out)
				}
				result <- err
			}()
			var err error
			for waiting := true; waiting; {
				c.cause(r)
				r.clock.Advance(watchSettle)
				select {
				case err = <-result:
					waiting = false
				default:
				}
			}
			qt.Assert(t, rpc.IsCode(err, c.code), qt.Equals, c.code != 0, qt.Commentf("%v", err))
			if name == "change" {
				qt.Assert(t, got.Delta.Members, qt.HasLen, 1)
			}
		})
	}
}

// Guards against configurations that the state machine cannot hold, and against
// an accepted request that is refused when it is sent again.
func TestApplyChecksAndRepeatsItsAnswer(t *testing.T) {
	r := newRig(t)
	r.configure(4, 1)
	request := func(id string, s ...wire.ServiceConfig) wire.ApplyRequest {
		return wire.ApplyRequest{Group: "tz", RequestID: wire.RequestID(id), BaseRevision: 1, Configuration: wire.Configuration{Services: s}}
	}
	refused := map[string]wire.ApplyRequest{
		"changed number of partitions": request("a", wire.ServiceConfig{Name: "catalogue", Keyed: true, Partitions: 5}),
		"slash in a name":              request("b", wire.ServiceConfig{Name: "a/b"}),
		"same service twice":           request("c", wire.ServiceConfig{Name: "a"}, wire.ServiceConfig{Name: "a"}),
		"no partitions":                request("d", wire.ServiceConfig{Name: "a", Keyed: true}),
	}
	for name, q := range refused {
		got, err := r.apply(t.Context(), q)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Accepted, qt.IsFalse, qt.Commentf("%s", name))
	}
	good := request("e")
	first, _ := r.apply(t.Context(), good)
	again, _ := r.apply(t.Context(), good)
	first.Replayed = true
	qt.Assert(t, again, qt.Equals, first)
	qt.Assert(t, again.Accepted, qt.IsTrue)
	status, err := r.status(t.Context(), wire.StatusRequest{Group: "tz"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.Revision, qt.Equals, wire.Revision(2))
	_, err = json.Marshal(status)
	qt.Assert(t, err, qt.IsNil)
}

// Guards against a status just after an election that leaves out a node without
// a target, on which a wait for every node would end too early.
func TestStatusAfterElectionWaitsForNodes(t *testing.T) {
	r := newRig(t)
	r.SetLeading(false)
	r.SetLeading(true)
	r.Clock.Sleep = func(_ context.Context, d clock.Millis) error {
		r.clock.Advance(d)
		r.beat(wire.HeartbeatRequest{Group: "tz", Node: "n1", Process: "p1"})
		return nil
	}
	status, err := r.status(t.Context(), wire.StatusRequest{Group: "tz"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.Nodes, qt.HasLen, 1)
	qt.Assert(t, r.clock.Clock().Now() >= 1000+2*lease.DefaultTerms.Longest(), qt.IsTrue)
}

// Guards against planned moves from an owner whose end is pending. It cannot
// release anything, so each move would hold the partition's requests back until
// they are refused; the end of its lease gives the partitions to others.
func TestNoPlannedMovesFromAnOwnerThatIsGone(t *testing.T) {
	cases := map[string]func(r *rig, h wire.HeartbeatRequest) wire.HeartbeatRequest{
		"node has no target": func(_ *rig, h wire.HeartbeatRequest) wire.HeartbeatRequest {
			h.Member = nil
			return h
		},
		"node process restarted": func(_ *rig, _ wire.HeartbeatRequest) wire.HeartbeatRequest {
			return beat("n1", "p9", "i9", 1)
		},
		"renewals refused": func(r *rig, h wire.HeartbeatRequest) wire.HeartbeatRequest {
			r.currentOffice().granter.Refuse(h.Member.Incarnation)
			_, err := r.drain(r.t.Context(), wire.DrainRequest{Group: "tz", Node: "n1", Drain: true})
			qt.Assert(r.t, err, qt.IsNil)
			return h
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(12, 2)
			a, b := beat("n1", "p1", "i1", 1), beat("n2", "p2", "i2", 1)
			r.pass(1400, a, b)
			qt.Assert(t, r.owned("i1"), qt.HasLen, 6)
			a = lose(r, a)
			for n := 0; r.isLive("i1"); n++ {
				qt.Assert(t, n < 20, qt.IsTrue, qt.Commentf("i1 never expired"))
				for _, p := range r.owned("i1") {
					qt.Assert(t, p.MovingTo, qt.Equals, wire.Incarnation(""), qt.Commentf("%s", p.Partition))
				}
				r.pass(200, a, b)
			}
			r.pass(200, a, b)
			qt.Assert(t, r.owned("i1"), qt.HasLen, 0)
			qt.Assert(t, unowned(r.Machine), qt.Equals, 0)
		})
	}
}

// Guards against a member that never expires because its node keeps sending
// renewals that are refused: two processes run under one name.
func TestSupersededMemberExpiresWhileItIsHeard(t *testing.T) {
	r := newRig(t)
	r.configure(12, 2)
	old, other := beat("n1", "p1", "i1", 1), beat("n2", "p2", "i2", 1)
	r.pass(1400, old, other)
	later := beat("n1", "p9", "i9", 1)
	for n := 0; r.isLive("i1"); n++ {
		qt.Assert(t, n < 20, qt.IsTrue, qt.Commentf("i1 never expired"))
		r.pass(200, later, other, old)
	}
}

// Guards against a planned move that waits for a request in flight until its
// deadline, while the partition's other requests are refused. The partition must
// not be moved again at once, and a leaving owner's moves must go on.
func TestStuckMovesAreCancelled(t *testing.T) {
	for name, leaves := range map[string]bool{"owner stays": false, "owner leaves": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure(12, 2)
			a, b := beat("n1", "p1", "i1", 1), beat("n2", "p2", "i2", 1)
			r.pass(1400, a, b)
			p := r.owned("i1")[0]
			a.Stopping = leaves
			r.beat(a)
			move := wire.Move{Partition: p.Partition, FencingToken: p.FencingToken, To: "i2"}
			_, err := r.propose(t.Context(), wire.Command{MoveStart: &wire.MoveStart{Moves: []wire.Move{move}}})
			qt.Assert(t, err, qt.IsNil)
			r.pass(clock.Millis(200+maxMove), a, b)
			now, _ := r.Machine.Partition(p.Partition)
			qt.Assert(t, now.MovingTo == "i2", qt.Equals, leaves)
			qt.Assert(t, now.Owner, qt.Equals, wire.Incarnation("i1"))
			qt.Assert(t, now.FencingToken, qt.Equals, p.FencingToken)
			_, paused := r.currentOffice().paused[p.Partition]
			qt.Assert(t, paused, qt.Equals, !leaves)
		})
	}
}

// Guards against waits that read the status of every node several times a
// second, and against a wait that ends while a node is left out by the limit.
// Prints the bytes at 3,000 nodes.
func TestStatusForAWaitListsFewNodes(t *testing.T) {
	var all []wire.NodeStatus
	for i := range 3000 {
		n := wire.NodeID(fmt.Sprintf("dsm-a-%d", i))
		all = append(all, wire.NodeStatus{
			Node: n, Address: "192.0.2.5:7101", FailureDomain: "dsm-a", RevisionInForce: wire.Revision(7 + i%2), KnownVersion: 1000000, Owned: 16,
			Member: &wire.Member{Node: n, Incarnation: "01234567-89ab-7def-8123-456789abcdef", Process: "01234567-89ab-7def-8123-456789abcdef", Service: "catalogue", Address: "192.0.2.5:7201", FailureDomain: "dsm-a", Slots: 10, Connections: 130},
		})
	}
	cases := map[string]struct {
		request         wire.StatusRequest
		listed, omitted int
	}{
		"all nodes":             {wire.StatusRequest{}, 3000, 0},
		"half of them behind":   {wire.StatusRequest{BelowRevision: 8, MaxNodes: 20}, 20, 1480},
		"all of them behind":    {wire.StatusRequest{BelowRevision: 9, MaxNodes: 20}, 20, 2980},
		"none behind":           {wire.StatusRequest{BelowRevision: 7, MaxNodes: 20}, 0, 0},
		"behind without limit":  {wire.StatusRequest{BelowRevision: 8}, 1500, 0},
		"one node":              {wire.StatusRequest{Node: "dsm-a-17"}, 1, 0},
		"one node that is gone": {wire.StatusRequest{Node: "dsm-b-17"}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			nodes, omitted := selectNodes(all, c.request)
			data, err := json.Marshal(wire.StatusResponse{Nodes: nodes, NodesOmitted: omitted})
			qt.Assert(t, err, qt.IsNil)
			t.Logf("%d B", len(data))
			qt.Assert(t, nodes, qt.HasLen, c.listed)
			qt.Assert(t, omitted, qt.Equals, c.omitted)
		})
	}
}
