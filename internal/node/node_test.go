package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/revision"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// Guards against a request that reaches a target that does not own its key. The request is
// sent to each of two ingress nodes.
func TestRoutesToOwner(t *testing.T) {
	c := qt.New(t)
	control := startControl(t)
	a, _ := startNode(t, control, "a")
	b, _ := startNode(t, control, "b")
	startTarget(t, a, "catalogue", true)
	startTarget(t, b, "catalogue", false)
	awaitServing(control, a, b)
	for n := range 20 {
		for _, ingress := range []*node{a, b} {
			path := fmt.Sprintf("/catalogue/key%d?chunks=2", n)
			status, h, body := sendRequest(t, http.MethodGet, string(ingress.settings.CallerListen), path, map[string]string{header.RequestID: "r1"}, "")
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
			c.Assert(h.Get(header.Outcome), qt.Equals, "complete")
			c.Assert(h.Get(header.RequestID), qt.Equals, "r1")
			p, _ := control.machine.PartitionOfKey("catalogue", fmt.Sprintf("key%d", n))
			c.Assert(body, qt.Contains, fmt.Sprintf(`"Partition":%q,"Epoch":%d`, p.Partition, p.FencingToken))
			c.Assert(h.Get(header.Member), qt.Equals, string(p.Owner))
			c.Assert(body, qt.Contains, "chunk 2 of 2 of r1\n")
		}
	}
}

// Guards against a target that is taken for dead although it responds to probes, and against
// a dead one that is taken for alive.
func TestJudgesProbes(t *testing.T) {
	timedOut := &exchange.Error{Cause: exchange.ErrIdleTimeout}
	reset := errors.New("connection reset")
	refused := &exchange.Error{Cause: exchange.ErrConnectionRefused}
	dead := endCause{reason: "no response to probes", crashed: true, mayStillRun: true}
	// The results are in the order in which the probes end.
	tests := map[string]struct {
		results []probeResult
		want    endCause
	}{
		"healthy":            {results: []probeResult{{0, 5, 5, nil}, {150, 155, 5, nil}, {300, 305, 9, nil}}},
		"no clock":           {results: []probeResult{{0, 5, 5, nil}, {150, 155, 0, nil}, {300, 305, 6, nil}}},
		"two errors":         {results: []probeResult{{0, 1, 0, reset}, {150, 151, 0, reset}, {300, 305, 5, nil}, {450, 451, 0, reset}, {600, 601, 0, reset}}},
		"three errors":       {results: []probeResult{{0, 1, 0, reset}, {150, 151, 0, reset}, {300, 301, 0, reset}}, want: dead},
		"frozen":             {results: []probeResult{{0, 5, 5, nil}, {150, 600, 0, timedOut}}, want: dead},
		"refused connection": {results: []probeResult{{0, 5, 5, nil}, {150, 151, 0, refused}}, want: endCause{reason: "connection refused", crashed: true}},
		"restarted at once":  {results: []probeResult{{0, 5, 500, nil}, {150, 155, 3, nil}}, want: endCause{reason: "clock of the target went back", crashed: true}},
		// On a busy host each response takes longer than probeInterval.
		"slow": {results: []probeResult{{0, 400, 5, nil}, {150, 550, 9, nil}, {300, 700, 13, nil}, {450, 860, 17, nil}}},
		// One connection is dead, but the target responds over others.
		"one timeout":       {results: []probeResult{{150, 160, 7, nil}, {300, 310, 9, nil}, {0, 450, 0, timedOut}}},
		"frozen afterwards": {results: []probeResult{{150, 160, 7, nil}, {0, 450, 0, timedOut}, {300, 750, 0, timedOut}}, want: dead},
		"out of order":      {results: []probeResult{{150, 160, 9, nil}, {0, 170, 5, nil}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var history probeHistory
			var got endCause
			for _, result := range tt.results {
				got = history.evaluate(result)
			}
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

// Guards against an incarnation that ends because the host is busy, so that each probe gets a
// response, but none within probeInterval.
func TestSlowProbesKeepTarget(t *testing.T) {
	manual := clock.NewManual(1000)
	m := newMember(manual.Clock(), announcement{Slots: 1, Connections: 10}, lease.DefaultTerms)
	started, respond := make(chan struct{}), make(chan struct{})
	sendProbe := func(context.Context) (clock.Millis, error) {
		started <- struct{}{}
		<-respond
		return 0, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	deaths, ended := make(chan endCause, 1), make(chan error, 1)
	go func() { ended <- m.runProbes(ctx, sendProbe, func(cause endCause) { deaths <- cause }) }()
	awaitNextProbe := func() {
		for {
			select {
			case <-started:
				return
			case <-time.After(time.Millisecond):
				manual.Advance(probeInterval)
			}
		}
	}
	awaitNextProbe()
	for range 10 {
		for range maxConcurrentProbes - 1 {
			awaitNextProbe() // the earlier probes still wait for a response
		}
		for range maxConcurrentProbes - 1 {
			respond <- struct{}{}
		}
	}
	cancel()
	respond <- struct{}{}
	qt.Assert(t, <-ended, qt.IsNil)
	qt.Assert(t, deaths, qt.HasLen, 0)
}

// Guards against a request that is forwarded under an outdated grant, or too shortly before
// the end of the lease.
func TestOwnsUnderLease(t *testing.T) {
	manual := clock.NewManual(1000)
	grant := wire.Partition{Partition: "catalogue/0", Service: "catalogue", Owner: "i1", FencingToken: 7}
	tests := map[string]struct {
		table   wire.Partition
		prepare func(q *routedRequest, owner *member)
		want    reasonCode
	}{
		"owner":         {table: grant},
		"short lease":   {table: grant, prepare: func(*routedRequest, *member) { manual.Advance(801) }, want: reasonNotOwner},
		"ended":         {table: grant, prepare: func(_ *routedRequest, owner *member) { owner.end() }, want: reasonNotOwner},
		"older token":   {table: grant, prepare: func(q *routedRequest, _ *member) { q.fencingToken = 6 }, want: reasonNotOwner},
		"other owner":   {table: wire.Partition{Partition: "catalogue/0", Service: "catalogue", Owner: "i2", FencingToken: 7}, want: reasonNotOwner},
		"moving":        {table: wire.Partition{Partition: "catalogue/0", Service: "catalogue", Owner: "i1", FencingToken: 7, MovingTo: "i2"}, want: reasonMoving},
		"key elsewhere": {table: grant, prepare: func(q *routedRequest, _ *member) { q.partition = "catalogue/k0000000000000000" }, want: reasonNotOwner},
		"rejecting":     {table: grant, prepare: func(_ *routedRequest, owner *member) { owner.rejecting.Store(true) }, want: reasonStopping},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := &node{clock: manual.Clock(), routing: newRoutingTable(manual.Clock())}
			services := []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: 1}}
			d := wire.Delta{Full: true, ToVersion: 9, Revision: 1, Configuration: &wire.Configuration{Services: services}, Partitions: []wire.Partition{tt.table}}
			qt.Assert(t, n.routing.apply(d, 0), qt.IsNil)
			owner := newMember(manual.Clock(), announcement{Service: "catalogue", Slots: 1, Connections: 9}, lease.DefaultTerms)
			owner.incarnation = "i1"
			owner.lease.Renewed(manual.Clock().Now())
			q := &routedRequest{route: wire.RouteConfig{Service: "catalogue"}, partition: "catalogue/0", fencingToken: 7}
			if tt.prepare != nil {
				tt.prepare(q, owner)
			}
			qt.Assert(t, n.checkUnderLease(owner, func() reasonCode { return n.checkOwnership(owner, q) }), qt.Equals, tt.want)
		})
	}
}

// Guards against the outcome not-run for a request of which an earlier attempt may have run.
func TestLateRefusalIsUnknown(t *testing.T) {
	c := qt.New(t)
	c.Assert(withEarlierAttempts(unavailable(reasonMoving), true).outcome, qt.Equals, wire.OutcomeUnknown)
	c.Assert(withEarlierAttempts(unavailable(reasonMoving), false).outcome, qt.Equals, wire.OutcomeNotRun)
	c.Assert(withEarlierAttempts(&nodeReply{outcome: wire.OutcomeComplete}, true).outcome, qt.Equals, wire.OutcomeComplete)
}

// Guards against a node that reports a revision that it could not apply, and against one that
// requests changes since the same version forever after a delta that cannot be applied.
func TestNodeAsksForTheFullTableAfterADeltaThatDoesNotFit(t *testing.T) {
	configuration := wire.Configuration{Services: []wire.ServiceConfig{{Name: "courier"}, {Name: "pledges"}}}
	tests := map[string]wire.Delta{
		"revision without its configuration": {FromVersion: 9, ToVersion: 10, Revision: 2},
		"change from a later revision":       {FromVersion: 9, ToVersion: 10, Revision: 3, ConfigurationChange: revision.NewChange(revision.ChangeSet{}, 2, configuration)},
		"change of another history":          {FromVersion: 9, ToVersion: 10, Revision: 2, ConfigurationChange: revision.NewChange(revision.ChangeSet{}, 1, wire.Configuration{})},
	}
	for name, delta := range tests {
		t.Run(name, func(t *testing.T) {
			table := newRoutingTable(clock.NewManual(0).Clock())
			qt.Assert(t, table.apply(wire.Delta{Full: true, ToVersion: 9, Revision: 1, Configuration: &configuration}, 0), qt.IsNil)
			qt.Assert(t, table.knownVersion(), qt.Equals, wire.Version(9))
			qt.Assert(t, table.apply(delta, 9), qt.IsNotNil)
			qt.Assert(t, table.snapshot().Revision(), qt.Equals, wire.Revision(1))
			qt.Assert(t, table.knownVersion(), qt.Equals, wire.Version(0))
			qt.Assert(t, table.apply(wire.Delta{Full: true, ToVersion: 10, Revision: 2, Configuration: &configuration}, 0), qt.IsNil)
			qt.Assert(t, table.knownVersion(), qt.Equals, wire.Version(10))
		})
	}
}

// Guards against a node that does not send its delta format with each request and therefore
// gets the full configuration with each change.
func TestNodeFollowsChangesOfTheConfiguration(t *testing.T) {
	control := startControl(t)
	n, _ := startNode(t, control, "a")
	eventually(n.routing.fresh)
	for range 5 {
		base, c := control.machine.Config()
		c.Routes = append([]wire.RouteConfig{}, c.Routes...)
		c.Routes[1].DeadlineMillis++
		id := wire.RequestID(fmt.Sprint("change ", base))
		control.commit(wire.Command{Apply: &wire.ApplyRequest{RequestID: id, BaseRevision: base, Configuration: c}})
		eventually(func() bool { return n.routing.snapshot().Revision() == base+1 })
		route, _ := n.routing.snapshot().RouteByName("pledge")
		qt.Assert(t, route.DeadlineMillis, qt.Equals, c.Routes[1].DeadlineMillis)
	}
	control.mu.Lock()
	defer control.mu.Unlock()
	qt.Assert(t, control.fullConfigurations, qt.Equals, 0)
}
