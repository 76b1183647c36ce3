package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a router that trusts the health reports of targets, reports a shed
// request as run or a stalled one as not run, and against keys that a slow cold
// start leaves without service.
func TestFaultsMisleadingTargets(t *testing.T) {
	t.Parallel() // checks no time limits
	f := startFaults(t, map[wire.ServiceName]cluster.Service{
		"catalogue": {Targets: 2, ChecksGrants: true, Arguments: []string{"--cold-factor", "4", "--cold-millis", "1500"}},
		"pledges":   {Targets: 2, Slots: slots, Arguments: []string{"--sheds"}},
	})
	f.testShedding()
	f.testStalledOwner()
	f.testStalledTarget()
	f.testUnhealthyReport()
	f.testColdStart()
	f.finish(nil)
}

// slots is the number of slots of a target that sheds load.
const slots = 2

// testShedding fills all slots of the targets of a service with direct requests that
// bypass the nodes, until a request through a node is shed.
func (f *faults) testShedding() {
	f.t.Helper()
	ctx, stop := context.WithCancel(f.ctx)
	var directRequests sync.WaitGroup
	for _, h := range f.hostsOf("pledges") {
		direct := &cluster.Host{Caller: h.Target.Addr()}
		for range 2 * slots {
			directRequests.Go(func() {
				for ctx.Err() == nil {
					_, _ = direct.Do(ctx, cluster.Request{Method: http.MethodGet, Path: "/other?work=300"})
				}
			})
		}
	}
	for n := 0; ; n++ {
		q := f.request(http.MethodGet, "pledges", "")
		q.deadline = 300
		r := f.send(f.Hosts[n%len(f.Hosts)], q)
		if r.Reason == "overload" {
			qt.Check(f.t, r.Outcome, qt.Equals, wire.OutcomeNotRun)
			break
		}
		qt.Assert(f.t, f.ctx.Err(), qt.IsNil, qt.Commentf("no request was shed"))
	}
	stop()
	directRequests.Wait()
	f.awaitComplete(f.request(http.MethodPost, "pledges", ""))
}

// awaitComplete resends a request until its response is complete.
func (f *faults) awaitComplete(q *faultRequest) {
	f.t.Helper()
	for {
		r := f.sendUntilFinal(f.ctx, q)
		if r.Outcome == wire.OutcomeComplete && r.BodyErr == nil {
			return
		}
		qt.Assert(f.t, f.ctx.Err(), qt.IsNil, qt.Commentf("%s: %d %s", q.path, r.Status, r.Reason))
	}
}

// testStalledOwner stalls an owner that keeps reporting that it is healthy. Its
// requests must end as unknown at their deadlines, and keys of other owners must be
// served.
func (f *faults) testStalledOwner() {
	f.t.Helper()
	owner, through := f.owner("catalogue")
	qt.Assert(f.t, owner.Set(f.ctx, "stuck=true"), qt.IsNil)
	outcomes := make(map[wire.Outcome]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	for range faultKeys {
		q := f.request(http.MethodGet, "catalogue", "")
		q.deadline = 700
		group.Go(func() {
			r := f.send(through, q)
			mu.Lock()
			defer mu.Unlock()
			outcomes[r.Outcome]++
		})
	}
	group.Wait()
	f.t.Logf("stalled owner: %v", outcomes)
	qt.Check(f.t, outcomes[wire.OutcomeComplete] > 0, qt.IsTrue)
	qt.Check(f.t, outcomes[wire.OutcomeUnknown] > 0, qt.IsTrue)
	qt.Assert(f.t, owner.Set(f.ctx, "stuck=false"), qt.IsNil)
	for k := range faultKeys {
		qt.Assert(f.t, f.awaitKey(f.ctx, through, fmt.Sprintf("/catalogue/%s", faultKey(k))), qt.IsNil)
	}
}

// testStalledTarget stalls one of several targets of a service without keys. Callers
// must be served by another one.
func (f *faults) testStalledTarget() {
	f.t.Helper()
	h := f.hostsOf("pledges")[0]
	qt.Assert(f.t, h.Set(f.ctx, "stuck=true"), qt.IsNil)
	for range 10 {
		q := f.request(http.MethodGet, "pledges", "")
		q.deadline = 500
		f.awaitComplete(q)
	}
	qt.Assert(f.t, h.Set(f.ctx, "stuck=false"), qt.IsNil)
}

// unhealthyMillis is twice the time in which failed probes end an incarnation.
const unhealthyMillis clock.Millis = 900

// testUnhealthyReport lets a working owner report that it is unhealthy. It must keep
// its keys, because health endpoints can be wrong.
func (f *faults) testUnhealthyReport() {
	f.t.Helper()
	owner, through := f.owner("catalogue")
	before := f.incarnation(owner)
	qt.Assert(f.t, owner.Set(f.ctx, "sick=true"), qt.IsNil)
	// All keys must be served for longer than failed probes take to end an
	// incarnation.
	for end := clock.System().Now() + unhealthyMillis; clock.System().Now() < end; {
		for k := range faultKeys {
			qt.Assert(f.t, f.awaitKey(f.ctx, through, fmt.Sprintf("/catalogue/%s", faultKey(k))), qt.IsNil)
		}
	}
	qt.Check(f.t, f.incarnation(owner), qt.Equals, before)
	qt.Assert(f.t, owner.Set(f.ctx, "sick=false"), qt.IsNil)
}

// incarnation waits until a host's target is registered, and returns its incarnation.
func (f *faults) incarnation(h *cluster.Host) wire.Incarnation {
	f.t.Helper()
	var out wire.Incarnation
	f.await("the target of the host is registered", func(s wire.StatusResponse) bool {
		for _, n := range s.Nodes {
			if n.Node == h.Name && n.Member != nil {
				out = n.Member.Incarnation
			}
		}
		return out != ""
	})
	return out
}

// testColdStart kills and restarts the target of an owner. After its start the
// target is four times slower than usual.
func (f *faults) testColdStart() {
	f.t.Helper()
	owner, through := f.owner("catalogue")
	owner.Target.Kill()
	qt.Assert(f.t, owner.Target.Start(f.ctx), qt.IsNil)
	for k := range faultKeys {
		qt.Assert(f.t, f.awaitKey(f.ctx, through, fmt.Sprintf("/catalogue/%s", faultKey(k))), qt.IsNil)
	}
	f.awaitReady()
}
