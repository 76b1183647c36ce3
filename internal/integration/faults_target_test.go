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

// Guards against a router that believes what targets say of themselves, takes a
// shed request for run or a stuck one for not run, and against a cold start that
// costs keys.
func TestFaultsMisleadingTargets(t *testing.T) {
	t.Parallel() // no bound on time
	f := startFaults(t, map[wire.ServiceName]cluster.Service{
		"catalogue": {Targets: 2, ChecksGrants: true, Arguments: []string{"--cold-factor", "4", "--cold-millis", "1500"}},
		"pledges":   {Targets: 2, Slots: slots, Arguments: []string{"--sheds"}},
	})
	f.shed()
	f.stuckOwner()
	f.stuckAny()
	f.sick()
	f.coldStart()
	f.finish(nil)
}

// slots is the number of slots of a target that sheds.
const slots = 2

// shed takes all slots of the targets of a service by requests past the nodes,
// until requests through the nodes are shed.
func (f *faults) shed() {
	f.t.Helper()
	ctx, stop := context.WithCancel(f.ctx)
	var others sync.WaitGroup
	for _, h := range f.of("pledges") {
		direct := &cluster.Host{Caller: h.Target.Addr()}
		for range 2 * slots {
			others.Go(func() {
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
	others.Wait()
	f.served(f.request(http.MethodPost, "pledges", ""))
}

// served sends a request until it is complete.
func (f *faults) served(q *faultRequest) {
	f.t.Helper()
	for {
		r := f.settle(f.ctx, q)
		if r.Outcome == wire.OutcomeComplete && r.BodyErr == nil {
			return
		}
		qt.Assert(f.t, f.ctx.Err(), qt.IsNil, qt.Commentf("%s: %d %s", q.path, r.Status, r.Reason))
	}
}

// stuckOwner lets an owner report that it is well while no request ends. Its
// requests end as unknown by their deadline; the keys of others are served.
func (f *faults) stuckOwner() {
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
	f.t.Logf("stuck owner: %v", outcomes)
	qt.Check(f.t, outcomes[wire.OutcomeComplete] > 0, qt.IsTrue)
	qt.Check(f.t, outcomes[wire.OutcomeUnknown] > 0, qt.IsTrue)
	qt.Assert(f.t, owner.Set(f.ctx, "stuck=false"), qt.IsNil)
	for k := range faultKeys {
		qt.Assert(f.t, f.awaitKey(f.ctx, through, fmt.Sprintf("/catalogue/%s", faultKey(k))), qt.IsNil)
	}
}

// stuckAny lets one of several targets be stuck; callers are served by another.
func (f *faults) stuckAny() {
	f.t.Helper()
	h := f.of("pledges")[0]
	qt.Assert(f.t, h.Set(f.ctx, "stuck=true"), qt.IsNil)
	for range 10 {
		q := f.request(http.MethodGet, "pledges", "")
		q.deadline = 500
		f.served(q)
	}
	qt.Assert(f.t, h.Set(f.ctx, "stuck=false"), qt.IsNil)
}

// sickMillis is twice the time of the probes that end an incarnation.
const sickMillis clock.Millis = 900

// sick lets an owner report that it is sick while it works: it must keep its
// keys, because health endpoints mislead.
func (f *faults) sick() {
	f.t.Helper()
	owner, through := f.owner("catalogue")
	before := f.member(owner)
	qt.Assert(f.t, owner.Set(f.ctx, "sick=true"), qt.IsNil)
	// All keys are served for longer than the probes take that end an
	// incarnation.
	for end := clock.System().Now() + sickMillis; clock.System().Now() < end; {
		for k := range faultKeys {
			qt.Assert(f.t, f.awaitKey(f.ctx, through, fmt.Sprintf("/catalogue/%s", faultKey(k))), qt.IsNil)
		}
	}
	qt.Check(f.t, f.member(owner), qt.Equals, before)
	qt.Assert(f.t, owner.Set(f.ctx, "sick=false"), qt.IsNil)
}

// member returns the incarnation of a host's target.
func (f *faults) member(h *cluster.Host) wire.Incarnation {
	f.t.Helper()
	var out wire.Incarnation
	f.await("the host has a member", func(s wire.StatusResponse) bool {
		for _, n := range s.Nodes {
			if n.Node == h.Name && n.Member != nil {
				out = n.Member.Incarnation
			}
		}
		return out != ""
	})
	return out
}

// coldStart loses an owner, whose target returns four times slower than usual.
func (f *faults) coldStart() {
	f.t.Helper()
	owner, through := f.owner("catalogue")
	owner.Target.Kill()
	qt.Assert(f.t, owner.Target.Start(f.ctx), qt.IsNil)
	for k := range faultKeys {
		qt.Assert(f.t, f.awaitKey(f.ctx, through, fmt.Sprintf("/catalogue/%s", faultKey(k))), qt.IsNil)
	}
	f.ready()
}
