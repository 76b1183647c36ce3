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

// testReplica is a Service with a log that commits at once.
type testReplica struct {
	*Service
	t     *testing.T
	clock *clock.Manual
	// confirmRounds, if set, gets a channel at the start of each confirmation
	// round. The round ends with the error that the test sends to that channel.
	confirmRounds chan chan error

	mu       sync.Mutex
	index    wire.Version
	sessions int
}

// newTestReplica returns a leader for which all earlier leases have ended.
// Confirmation rounds succeed unless the test sets confirmRounds.
func newTestReplica(t *testing.T) *testReplica {
	r := &testReplica{t: t, clock: clock.NewManual(1000)}
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
	r.clock.Advance(lease.DefaultTerms.MaxDuration())
	r.Tick(t.Context())
	return r
}

func (r *testReplica) newSession() string {
	r.sessions++
	return fmt.Sprint("session-", r.sessions)
}

func (r *testReplica) commit(_ context.Context, data []byte) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	return r.Machine.Apply(r.index, data), nil
}

func (r *testReplica) confirmRound(ctx context.Context) (wire.Version, error) {
	if r.confirmRounds == nil {
		return r.Machine.Version(), nil
	}
	result := make(chan error)
	select {
	case r.confirmRounds <- result:
		return r.Machine.Version(), <-result
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// configure applies a configuration with one keyed service.
func (r *testReplica) configure(partitions, budget int) {
	config := wire.Configuration{Services: []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: partitions, MoveBudget: budget}}}
	revision, _ := r.Machine.Config()
	response, err := r.apply(r.t.Context(), wire.ApplyRequest{Group: "tz", RequestID: wire.RequestID(fmt.Sprint("r", r.index)), BaseRevision: revision, Configuration: config})
	qt.Assert(r.t, err, qt.IsNil)
	qt.Assert(r.t, response.Accepted, qt.IsTrue)
}

func newHeartbeat(node, process, incarnation string, sequence int) wire.HeartbeatRequest {
	return wire.HeartbeatRequest{
		Group: "tz", Node: wire.NodeID(node), Process: wire.ProcessID(process),
		Member: &wire.Announcement{Incarnation: wire.Incarnation(incarnation), Service: "catalogue", Slots: 10, Sequence: sequence},
	}
}

// heartbeat returns the response as a node decodes it.
func (r *testReplica) heartbeat(ctx context.Context, h wire.HeartbeatRequest) (wire.HeartbeatResponse, error) {
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

func (r *testReplica) mustHeartbeat(h wire.HeartbeatRequest) wire.HeartbeatResponse {
	out, err := r.heartbeat(r.t.Context(), h)
	qt.Assert(r.t, err, qt.IsNil)
	return out
}

// runFor advances the clock in steps of the heartbeat interval. The given
// heartbeats are sent before each step.
func (r *testReplica) runFor(d clock.Millis, heartbeats ...wire.HeartbeatRequest) {
	for ; d > 0; d -= 200 {
		for _, h := range heartbeats {
			r.mustHeartbeat(h)
		}
		r.clock.Advance(200)
		r.Tick(r.t.Context())
	}
}

func (r *testReplica) owned(i wire.Incarnation) (out []wire.Partition) {
	for _, p := range r.Machine.PartitionList() {
		if p.Owner == i {
			out = append(out, p)
		}
	}
	return out
}

func (r *testReplica) isLive(i wire.Incarnation) bool {
	_, live := r.Machine.Member(i)
	return live
}

// withReleases returns the heartbeat with a release of each partition that is
// moving away from its member.
func (r *testReplica) withReleases(h wire.HeartbeatRequest) wire.HeartbeatRequest {
	for _, p := range r.owned(h.Member.Incarnation) {
		if p.MovingTo != "" {
			h.Released = append(h.Released, wire.Grant{Partition: p.Partition, FencingToken: p.FencingToken})
		}
	}
	return h
}

// Guards against responses of a replica that does not lead, that lost
// leadership during the call, or that belongs to another group.
func TestOnlyConfirmedLeaderAnswers(t *testing.T) {
	r := newTestReplica(t)
	_, err := r.heartbeat(t.Context(), wire.HeartbeatRequest{Group: "other"})
	qt.Assert(t, rpc.IsCode(err, rpc.CodeRejected), qt.IsTrue)
	r.confirmRounds = make(chan chan error)
	result := make(chan error)
	go func() {
		_, err := r.heartbeat(context.Background(), newHeartbeat("n1", "p", "i1", 1))
		result <- err
	}()
	roundResult := <-r.confirmRounds
	r.SetLeading(false)
	r.SetLeading(true)
	roundResult <- nil
	qt.Assert(t, rpc.IsCode(<-result, rpc.CodeNotLeader), qt.IsTrue)
	r.SetLeading(false)
	_, err = r.heartbeat(t.Context(), newHeartbeat("n1", "p", "i1", 1))
	var e *rpc.Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Leader, qt.Equals, "10.0.0.9:7100")
}

// Guards against a separate round for each heartbeat, and against a heartbeat
// that is confirmed by a round that began before it.
func TestHeartbeatsShareTheNextRound(t *testing.T) {
	r := newTestReplica(t)
	r.confirmRounds = make(chan chan error)
	first := make(chan error, 1)
	go func() { first <- r.confirmer.wait(context.Background()) }()
	roundResult := <-r.confirmRounds
	const waiting = 5
	later := make(chan error, waiting)
	nextRound := r.confirmer.join()
	for range waiting {
		go func() { later <- r.confirmer.wait(context.Background()) }()
	}
	roundResult <- nil
	qt.Assert(t, <-first, qt.IsNil)
	roundResult = <-r.confirmRounds
	select {
	case <-nextRound.done:
		t.Fatal("call completed by a round that began before it")
	default:
	}
	roundResult <- nil
	<-nextRound.done
	for completed := 0; completed < waiting; {
		select {
		case err := <-later:
			qt.Assert(t, err, qt.IsNil)
			completed++
		case roundResult = <-r.confirmRounds:
			roundResult <- nil
		}
	}
}

// Guards against a new leader that expires members while a lease renewed by its
// predecessor may last, and against one that rejects renewals in that time.
func TestNewLeaderWaitsOutLeasesBeforeItExpires(t *testing.T) {
	r := newTestReplica(t)
	r.mustHeartbeat(newHeartbeat("n1", "p1", "i1", 1))
	r.mustHeartbeat(newHeartbeat("n2", "p2", "i2", 1))
	r.SetLeading(false)
	r.clock.Advance(10000)
	r.SetLeading(true)
	r.Tick(t.Context())
	qt.Assert(t, r.mustHeartbeat(newHeartbeat("n1", "p1", "i1", 1)).Granted, qt.IsTrue)
	r.clock.Advance(lease.DefaultTerms.MaxDuration() - 1)
	r.Tick(t.Context())
	qt.Assert(t, r.isLive("i2"), qt.IsTrue)
	qt.Assert(t, r.mustHeartbeat(newHeartbeat("n1", "p1", "i1", 1)).Granted, qt.IsTrue)
	r.clock.Advance(1)
	r.Tick(t.Context())
	qt.Assert(t, r.isLive("i1"), qt.IsTrue)
	qt.Assert(t, r.isLive("i2"), qt.IsFalse)
	qt.Assert(t, r.mustHeartbeat(newHeartbeat("n2", "p2", "i2", 1)).Granted, qt.IsFalse)
}

// Guards against partitions that are reassigned after a restart of the node
// process while an old target may still run work. Also guards against a
// needless wait when the same process states that its earlier incarnations have
// ended.
func TestReplacedIncarnationByItsOwnProcessOrByAnother(t *testing.T) {
	cases := map[string]struct {
		process      string
		sequence     int
		earlierEnded bool
		granted      bool
		endedAtOnce  bool
	}{
		"same process, target has ended":     {"p1", 2, true, true, true},
		"same process, target may run":       {"p1", 2, false, true, false},
		"same process, earlier announcement": {"p1", 0, true, false, false},
		"restarted process":                  {"p2", 2, true, true, false},
		"unknown process":                    {"", 2, true, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestReplica(t)
			r.configure(4, 1)
			r.runFor(1400, newHeartbeat("n1", "p1", "old", 1))
			qt.Assert(t, r.owned("old"), qt.HasLen, 4)
			r.mustHeartbeat(newHeartbeat("n1", "p1", "old", 1))
			replacement := newHeartbeat("n1", c.process, "new", c.sequence)
			replacement.Member.EarlierIncarnationsEnded = c.earlierEnded
			got := r.mustHeartbeat(replacement)
			qt.Assert(t, got.Granted, qt.Equals, c.granted, qt.Commentf("%s", got.RejectReason))
			qt.Assert(t, len(r.owned("old")) == 0, qt.Equals, c.endedAtOnce)
			if c.granted {
				qt.Assert(t, r.mustHeartbeat(newHeartbeat("n1", "p1", "old", 1)).Granted, qt.IsFalse)
			}
			r.clock.Advance(lease.DefaultTerms.MaxDuration() - 1)
			r.Tick(t.Context())
			qt.Assert(t, r.isLive("old"), qt.Equals, !c.endedAtOnce)
			r.clock.Advance(1)
			r.Tick(t.Context())
			qt.Assert(t, r.isLive("old"), qt.IsFalse)
		})
	}
}

// Guards against a first member that gets every partition, against uneven first
// assignments, and against partitions that stay unowned after the loss of a
// member.
func TestAssignmentAtStartAndAfterLoss(t *testing.T) {
	r := newTestReplica(t)
	r.configure(12, 2)
	a, b, c := newHeartbeat("n1", "p1", "i1", 1), newHeartbeat("n2", "p2", "i2", 1), newHeartbeat("n3", "p3", "i3", 1)
	r.mustHeartbeat(a)
	r.Tick(t.Context())
	qt.Assert(t, r.owned("i1"), qt.HasLen, 0)
	r.runFor(1200, a, b, c)
	for _, i := range []wire.Incarnation{"i1", "i2", "i3"} {
		qt.Assert(t, r.owned(i), qt.HasLen, 4)
	}
	r.runFor(1000, a, b)
	qt.Assert(t, r.isLive("i3"), qt.IsFalse)
	qt.Assert(t, r.owned("i1"), qt.HasLen, 6)
	qt.Assert(t, r.owned("i2"), qt.HasLen, 6)
}

// Guards against more concurrent moves than the budget allows, moves that never
// finish, and a new member that gets no partitions.
func TestPlannedMovesKeepToTheBudget(t *testing.T) {
	r := newTestReplica(t)
	r.configure(12, 2)
	a, b := newHeartbeat("n1", "p1", "i1", 1), newHeartbeat("n2", "p2", "i2", 1)
	r.runFor(1400, a)
	qt.Assert(t, r.owned("i1"), qt.HasLen, 12)
	for range 40 {
		r.runFor(200, r.withReleases(a), b)
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

// Guards against a leaving target that keeps partitions. Both an operator's
// drain and a planned stop must move all of them away, regardless of the budget
// for balancing.
func TestLeavingMemberLosesItsPartitions(t *testing.T) {
	cases := map[string]func(r *testReplica, h *wire.HeartbeatRequest){
		"planned stop": func(_ *testReplica, h *wire.HeartbeatRequest) { h.Stopping = true },
		"drain": func(r *testReplica, _ *wire.HeartbeatRequest) {
			_, err := r.drain(r.t.Context(), wire.DrainRequest{Group: "tz", Node: "n1", Drain: true})
			qt.Assert(r.t, err, qt.IsNil)
		},
	}
	for name, startLeaving := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestReplica(t)
			r.configure(64, 1)
			a, b := newHeartbeat("n1", "p1", "i1", 1), newHeartbeat("n2", "p2", "i2", 1)
			r.runFor(1400, a, b)
			qt.Assert(t, r.owned("i1"), qt.HasLen, 32)
			startLeaving(r, &a)
			for range 4 {
				r.runFor(200, r.withReleases(a), b)
			}
			qt.Assert(t, r.owned("i2"), qt.HasLen, 64)
			qt.Assert(t, r.mustHeartbeat(a).Granted, qt.IsTrue)
		})
	}
}

// Guards against a service that is created again and whose partitions are
// assigned while the owners of the removed partitions may still serve under an
// old table.
func TestRecreatedServiceWaitsForOldLeases(t *testing.T) {
	r := newTestReplica(t)
	a := newHeartbeat("n1", "p1", "i1", 1)
	r.configure(4, 1)
	r.runFor(1400, a)
	revision, _ := r.Machine.Config()
	_, err := r.apply(t.Context(), wire.ApplyRequest{Group: "tz", RequestID: "remove", BaseRevision: revision})
	qt.Assert(t, err, qt.IsNil)
	r.configure(8, 1)
	r.runFor(800, a)
	qt.Assert(t, r.owned("i1"), qt.HasLen, 0)
	r.runFor(400, a)
	qt.Assert(t, r.owned("i1"), qt.HasLen, 8)
}

// Guards against hot keys that are never isolated from their partition, against
// overrides that are set and ended with each variation of the rate, and against
// overrides that never end.
func TestHotKeyIsIsolatedWithHysteresis(t *testing.T) {
	r := newTestReplica(t)
	r.configure(4, 4)
	a, b := newHeartbeat("n1", "p1", "i1", 1), newHeartbeat("n2", "p2", "i2", 1)
	r.runFor(1400, a, b)
	hash := partition.Hash("clinic-17")
	id := state.OverrideID("catalogue", partition.FormatHash(hash))
	withRate := func(v float64) wire.HeartbeatRequest {
		h := r.withReleases(a)
		h.HotKeys = []wire.HotKey{{Service: "catalogue", KeyHash: partition.FormatHash(hash), RequestsPerSecond: v}}
		return h
	}
	isolated := func() bool {
		_, ok := r.Machine.Partition(id)
		return ok
	}
	report := func(v float64, seconds int) {
		for i := range seconds * 5 {
			h := withRate(v)
			// Nodes report every two seconds, not in each heartbeat.
			if i%10 > 0 {
				h.HotKeys = nil
			}
			r.runFor(200, h, r.withReleases(b))
		}
	}
	report(100, 1)
	r.runFor(6000, a, b)
	qt.Assert(t, isolated(), qt.IsFalse)
	report(100, 8)
	qt.Assert(t, isolated(), qt.IsTrue)
	report(15, 40)
	qt.Assert(t, isolated(), qt.IsTrue)
	report(0, 20)
	qt.Assert(t, isolated(), qt.IsTrue)
	report(0, 15)
	qt.Assert(t, isolated(), qt.IsFalse)
}

// Guards against partitions that move because of random variation of the load.
// With a constant mean rate no partition may move, however few requests are
// measured.
func TestSteadyLoadMovesNothing(t *testing.T) {
	cases := map[string]struct{ every, requests int }{"none": {1, 0}, "sparse": {50, 2}, "some": {1, 1}, "many": {1, 20}}
	for name, tc := range cases {
		r := newTestReplica(t)
		r.configure(64, 4)
		heartbeats := []wire.HeartbeatRequest{newHeartbeat("n1", "p1", "i1", 1), newHeartbeat("n2", "p2", "i2", 1), newHeartbeat("n3", "p3", "i3", 1), newHeartbeat("n4", "p4", "i4", 1)}
		r.runFor(1400, heartbeats...)
		random := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			for i, h := range heartbeats {
				heartbeats[i].Loads = nil
				for _, p := range r.owned(h.Member.Incarnation) {
					requests := 0
					if random.IntN(tc.every) == 0 {
						requests = random.IntN(2*tc.requests + 1)
					}
					heartbeats[i].Loads = append(heartbeats[i].Loads, wire.PartitionLoad{Partition: p.Partition, RequestsPerSecond: 5 * float64(requests)})
				}
			}
			r.runFor(200, heartbeats...)
			for _, p := range r.Machine.PartitionList() {
				qt.Assert(t, p.MovingTo, qt.Equals, wire.Incarnation(""), qt.Commentf("%s", name))
			}
		}
	}
}

// Guards against busy partitions that stay on one overloaded owner.
func TestUnevenLoadIsEvenedOut(t *testing.T) {
	r := newTestReplica(t)
	r.configure(8, 2)
	heartbeats := []wire.HeartbeatRequest{newHeartbeat("n1", "p1", "i1", 1), newHeartbeat("n2", "p2", "i2", 1)}
	r.runFor(1400, heartbeats...)
	hot := map[wire.PartitionID]bool{}
	for _, p := range r.owned("i1") {
		hot[p.Partition] = true
	}
	for round := range 100 {
		for i, h := range heartbeats {
			heartbeats[i] = r.withReleases(newHeartbeat(string(h.Node), string(h.Process), string(h.Member.Incarnation), 1))
			for _, p := range r.owned(h.Member.Incarnation) {
				if hot[p.Partition] && round%10 == 0 {
					heartbeats[i].Loads = append(heartbeats[i].Loads, wire.PartitionLoad{Partition: p.Partition, RequestsPerSecond: 50})
				}
			}
		}
		r.runFor(200, heartbeats...)
	}
	remaining := 0
	for _, p := range r.owned("i1") {
		if hot[p.Partition] {
			remaining++
		}
	}
	qt.Assert(t, remaining, qt.Equals, 2)
}

// Guards against reports of crashed targets that are ignored, reports for
// another node's member, and a frozen target whose partitions are reassigned
// while it may still run work.
func TestDownEndsMemberWithSuspects(t *testing.T) {
	r := newTestReplica(t)
	r.mustHeartbeat(newHeartbeat("n1", "p1", "i1", 1))
	r.mustHeartbeat(newHeartbeat("n2", "p2", "i2", 1))
	request := wire.DownRequest{Group: "tz", Node: "n1", Incarnation: "i1", Crashed: true, InFlight: []wire.InFlight{{Fingerprint: "f"}}}
	foreign := request
	foreign.Node = "n2"
	_, err := r.endMember(t.Context(), foreign)
	qt.Assert(t, rpc.IsCode(err, rpc.CodeRejected), qt.IsTrue)
	got, err := r.endMember(t.Context(), request)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Version, qt.Equals, r.Machine.Version())
	suspects, _ := r.quarantine(t.Context(), wire.QuarantineRequest{Group: "tz"})
	qt.Assert(t, suspects.Suspects, qt.HasLen, 1)
	frozenResult := make(chan error)
	go func() {
		_, err := r.endMember(context.Background(), wire.DownRequest{Group: "tz", Node: "n2", Incarnation: "i2", MayStillRun: true})
		frozenResult <- err
	}()
	for r.mustHeartbeat(newHeartbeat("n2", "p2", "i2", 1)).Granted {
		// Renewals are rejected as soon as the report has arrived.
	}
	qt.Assert(t, r.isLive("i2"), qt.IsTrue)
	r.clock.Advance(lease.DefaultTerms.MaxDuration())
	qt.Assert(t, <-frozenResult, qt.IsNil)
	qt.Assert(t, r.isLive("i2"), qt.IsFalse)
}

// Guards against an operation that runs again after the member that began it
// was lost.
func TestOperationOfLostMemberIsLost(t *testing.T) {
	r := newTestReplica(t)
	r.mustHeartbeat(newHeartbeat("n1", "p1", "i1", 1))
	r.mustHeartbeat(newHeartbeat("n2", "p2", "i2", 1))
	begin := wire.BeginRequest{Group: "tz", Service: "catalogue", Key: "00000000-07d0-7000-8000-000000000001", Fingerprint: "f", Execution: "e1", Incarnation: "i1"}
	first, err := r.begin(t.Context(), begin)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.Decision, qt.Equals, wire.DecisionRun)
	begin.Execution, begin.Incarnation = "e2", "i2"
	second, _ := r.begin(t.Context(), begin)
	qt.Assert(t, second.Decision, qt.Equals, wire.DecisionRunning)
	r.clock.Advance(lease.DefaultTerms.MaxDuration())
	r.mustHeartbeat(newHeartbeat("n2", "p2", "i2", 1))
	r.Tick(t.Context())
	third, _ := r.begin(t.Context(), begin)
	qt.Assert(t, third.Decision, qt.Equals, wire.DecisionLost)
}

// Guards against long polls that miss a change, continue after the replica has
// lost leadership, or delay a planned stop.
func TestWatchEndsOnChangeLossOfLeadershipAndStop(t *testing.T) {
	cases := map[string]struct {
		cause func(r *testReplica)
		code  rpc.Code
	}{
		"change":             {func(r *testReplica) { r.mustHeartbeat(newHeartbeat("n1", "p1", "i1", 1)) }, 0},
		"timeout":            {func(r *testReplica) { r.clock.Advance(maxWatchWait) }, 0},
		"loss of leadership": {func(r *testReplica) { r.SetLeading(false) }, rpc.CodeNotLeader},
		"planned stop":       {func(r *testReplica) { r.Stop() }, rpc.CodeUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestReplica(t)
			r.configure(1, 1)
			known := r.Machine.Version()
			result := make(chan error, 1)
			var got wire.WatchResponse
			go func() {
				out, err := r.serveWatch(context.Background(), wire.WatchRequest{Group: "tz", KnownVersion: known, WaitMillis: wire.Millis(maxWatchWait)})
				if err == nil {
					got = decoded[wire.WatchResponse](out)
				}
				result <- err
			}()
			var err error
			for waiting := true; waiting; {
				c.cause(r)
				r.clock.Advance(changeBatchDelay)
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

// Guards against configurations that the state machine cannot represent, and
// against an accepted request that is rejected when it is sent again.
func TestApplyChecksAndRepeatsItsAnswer(t *testing.T) {
	r := newTestReplica(t)
	r.configure(4, 1)
	request := func(id string, s ...wire.ServiceConfig) wire.ApplyRequest {
		return wire.ApplyRequest{Group: "tz", RequestID: wire.RequestID(id), BaseRevision: 1, Configuration: wire.Configuration{Services: s}}
	}
	rejected := map[string]wire.ApplyRequest{
		"changed number of partitions": request("a", wire.ServiceConfig{Name: "catalogue", Keyed: true, Partitions: 5}),
		"slash in a name":              request("b", wire.ServiceConfig{Name: "a/b"}),
		"same service twice":           request("c", wire.ServiceConfig{Name: "a"}, wire.ServiceConfig{Name: "a"}),
		"no partitions":                request("d", wire.ServiceConfig{Name: "a", Keyed: true}),
	}
	for name, invalid := range rejected {
		got, err := r.apply(t.Context(), invalid)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Accepted, qt.IsFalse, qt.Commentf("%s", name))
	}
	valid := request("e")
	first, _ := r.apply(t.Context(), valid)
	repeated, _ := r.apply(t.Context(), valid)
	first.Replayed = true
	qt.Assert(t, repeated, qt.Equals, first)
	qt.Assert(t, repeated.Accepted, qt.IsTrue)
	status, err := r.status(t.Context(), wire.StatusRequest{Group: "tz"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.Revision, qt.Equals, wire.Revision(2))
	_, err = json.Marshal(status)
	qt.Assert(t, err, qt.IsNil)
}

// Guards against a status just after an election that omits a node without a
// target. A command that waits for all nodes would end too early.
func TestStatusAfterElectionWaitsForNodes(t *testing.T) {
	r := newTestReplica(t)
	r.SetLeading(false)
	r.SetLeading(true)
	r.Clock.Sleep = func(_ context.Context, d clock.Millis) error {
		r.clock.Advance(d)
		r.mustHeartbeat(wire.HeartbeatRequest{Group: "tz", Node: "n1", Process: "p1"})
		return nil
	}
	status, err := r.status(t.Context(), wire.StatusRequest{Group: "tz"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.Nodes, qt.HasLen, 1)
	qt.Assert(t, r.clock.Clock().Now() >= 1000+2*lease.DefaultTerms.MaxDuration(), qt.IsTrue)
}

// Guards against planned moves from an owner that is lost but has not expired
// yet. Such an owner cannot release partitions, so a move would only delay the partition's
// requests until they are rejected. The partitions are assigned to others when
// its lease ends.
func TestNoPlannedMovesFromAnOwnerThatIsGone(t *testing.T) {
	cases := map[string]func(r *testReplica, h wire.HeartbeatRequest) wire.HeartbeatRequest{
		"node has no target": func(_ *testReplica, h wire.HeartbeatRequest) wire.HeartbeatRequest {
			h.Member = nil
			return h
		},
		"node process restarted": func(_ *testReplica, _ wire.HeartbeatRequest) wire.HeartbeatRequest {
			return newHeartbeat("n1", "p9", "i9", 1)
		},
		"renewals rejected": func(r *testReplica, h wire.HeartbeatRequest) wire.HeartbeatRequest {
			r.currentLeaderState().granter.Reject(h.Member.Incarnation)
			_, err := r.drain(r.t.Context(), wire.DrainRequest{Group: "tz", Node: "n1", Drain: true})
			qt.Assert(r.t, err, qt.IsNil)
			return h
		},
	}
	for name, loseTarget := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestReplica(t)
			r.configure(12, 2)
			a, b := newHeartbeat("n1", "p1", "i1", 1), newHeartbeat("n2", "p2", "i2", 1)
			r.runFor(1400, a, b)
			qt.Assert(t, r.owned("i1"), qt.HasLen, 6)
			a = loseTarget(r, a)
			for n := 0; r.isLive("i1"); n++ {
				qt.Assert(t, n < 20, qt.IsTrue, qt.Commentf("i1 never expired"))
				for _, p := range r.owned("i1") {
					qt.Assert(t, p.MovingTo, qt.Equals, wire.Incarnation(""), qt.Commentf("%s", p.Partition))
				}
				r.runFor(200, a, b)
			}
			r.runFor(200, a, b)
			qt.Assert(t, r.owned("i1"), qt.HasLen, 0)
			qt.Assert(t, countUnowned(r.Machine), qt.Equals, 0)
		})
	}
}

// Guards against a member that never expires because its node keeps sending
// renewals, although they are rejected. This happens when two processes run
// under the name of one node.
func TestSupersededMemberExpiresDespiteHeartbeats(t *testing.T) {
	r := newTestReplica(t)
	r.configure(12, 2)
	old, other := newHeartbeat("n1", "p1", "i1", 1), newHeartbeat("n2", "p2", "i2", 1)
	r.runFor(1400, old, other)
	restarted := newHeartbeat("n1", "p9", "i9", 1)
	for n := 0; r.isLive("i1"); n++ {
		qt.Assert(t, n < 20, qt.IsTrue, qt.Commentf("i1 never expired"))
		r.runFor(200, restarted, other, old)
	}
}

// Guards against a planned move that waits for a request in flight until the
// deadline of that request, while the partition's other requests are rejected.
// The partition must not be moved again at once, and the moves of a leaving
// owner must continue.
func TestStalledMovesAreCancelled(t *testing.T) {
	for name, ownerLeaves := range map[string]bool{"owner stays": false, "owner leaves": true} {
		t.Run(name, func(t *testing.T) {
			r := newTestReplica(t)
			r.configure(12, 2)
			a, b := newHeartbeat("n1", "p1", "i1", 1), newHeartbeat("n2", "p2", "i2", 1)
			r.runFor(1400, a, b)
			p := r.owned("i1")[0]
			a.Stopping = ownerLeaves
			r.mustHeartbeat(a)
			move := wire.Move{Partition: p.Partition, FencingToken: p.FencingToken, To: "i2"}
			_, err := r.propose(t.Context(), wire.Command{MoveStart: &wire.MoveStart{Moves: []wire.Move{move}}})
			qt.Assert(t, err, qt.IsNil)
			r.runFor(clock.Millis(200+maxMoveWait), a, b)
			current, _ := r.Machine.Partition(p.Partition)
			qt.Assert(t, current.MovingTo == "i2", qt.Equals, ownerLeaves)
			qt.Assert(t, current.Owner, qt.Equals, wire.Incarnation("i1"))
			qt.Assert(t, current.FencingToken, qt.Equals, p.FencingToken)
			_, paused := r.currentLeaderState().movePausedUntil[p.Partition]
			qt.Assert(t, paused, qt.Equals, !ownerLeaves)
		})
	}
}

// Guards against waiting commands that read the status of every node several
// times a second, and against a command that stops waiting while the limit of
// the request omits a node. Logs the size of the status of 3,000 nodes in
// bytes.
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
		"all nodes":            {wire.StatusRequest{}, 3000, 0},
		"half of them behind":  {wire.StatusRequest{BelowRevision: 8, MaxNodes: 20}, 20, 1480},
		"all of them behind":   {wire.StatusRequest{BelowRevision: 9, MaxNodes: 20}, 20, 2980},
		"none behind":          {wire.StatusRequest{BelowRevision: 7, MaxNodes: 20}, 0, 0},
		"behind without limit": {wire.StatusRequest{BelowRevision: 8}, 1500, 0},
		"one node":             {wire.StatusRequest{Node: "dsm-a-17"}, 1, 0},
		"unknown node":         {wire.StatusRequest{Node: "dsm-b-17"}, 0, 0},
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
