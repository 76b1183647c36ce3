package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/operator"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

const (
	// crashSends is how often the caller sends the request that crashes targets.
	crashSends = 4
	// maxLostTargets is how many targets one request may cost.
	maxLostTargets = 2
	// besides is the number of slow requests in flight beside it.
	besides = 4
)

// Guards against one request that costs target after target while its caller
// sends it again, and against innocent requests that are blamed for it.
func TestFaultsCrashingRequest(t *testing.T) {
	t.Parallel() // no bound on time
	f := startFaults(t, map[wire.ServiceName]cluster.Service{"catalogue": {Targets: 3, ChecksGrants: true}, "pledges": {Targets: 3}})
	for _, service := range []string{"catalogue", "pledges"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			f.crash(method, service)
		}
	}
	f.finish(nil)
}

// crash sends a request that ends each target that runs it, again and again
// through different nodes, each time as a new operation.
func (f *faults) crash(method, service string) {
	f.t.Helper()
	first := f.request(method, service, "")
	beside := f.beside(service)
	done := make(chan cluster.Response, 1)
	go func() {
		var r cluster.Response
		for n := range crashSends {
			q := &faultRequest{method: method, path: first.path, caller: first.caller, content: "crash", header: http.Header{"Standin-Crash": {"yes"}}}
			if method == http.MethodPost {
				q.key = wire.OperationKey(uuid.Must(uuid.NewV7()).String())
			}
			r = f.send(f.Hosts[n%len(f.Hosts)], q)
		}
		done <- r
	}()
	last, lost := f.restartTargets(done)
	what := method + " " + service
	f.t.Logf("%s: %d targets lost, last response %d %s %s", what, lost, last.Status, last.Outcome, last.Reason)
	qt.Check(f.t, lost > 0 && lost <= maxLostTargets, qt.IsTrue, qt.Commentf("%s: %d targets lost", what, lost))
	qt.Check(f.t, last.Reason, qt.Equals, "quarantined", qt.Commentf("%s", what))
	for range besides {
		r := <-beside
		qt.Check(f.t, r.Outcome, qt.Equals, wire.OutcomeComplete, qt.Commentf("%s: a request beside it: %d %s", what, r.Status, r.Reason))
	}
	f.ready()
	f.release(first)
}

// beside keeps slow requests in flight at the targets of a service.
func (f *faults) beside(service string) <-chan cluster.Response {
	out := make(chan cluster.Response, besides)
	for range besides {
		q := f.request(http.MethodGet, service, "&work=300&delay=1")
		go func() { out <- f.settle(f.ctx, q) }()
	}
	return out
}

// restartTargets starts targets that have ended again until the caller is done,
// and counts them.
func (f *faults) restartTargets(done <-chan cluster.Response) (cluster.Response, int) {
	f.t.Helper()
	lost := 0
	restart := func() {
		for _, h := range f.Hosts {
			if !h.Target.Running() {
				lost++
				qt.Assert(f.t, h.Target.Start(f.ctx), qt.IsNil)
			}
		}
	}
	for {
		restart()
		select {
		case last := <-done:
			restart()
			return last, lost
		default:
			qt.Assert(f.t, clock.System().Sleep(f.ctx, 20), qt.IsNil)
		}
	}
}

// release checks that exactly the request is in quarantine, and that it runs
// after its release.
func (f *faults) release(q *faultRequest) {
	f.t.Helper()
	r := command(f.t, f.Cluster, "quarantine", "list", "--output", "json")
	r.assert(f.t, operator.ExitOK, "")
	var list wire.QuarantineResponse
	qt.Assert(f.t, json.Unmarshal([]byte(r.out), &list), qt.IsNil)
	var quarantined []wire.Suspect
	for _, s := range list.Suspects {
		if s.Quarantined {
			quarantined = append(quarantined, s)
		}
	}
	qt.Assert(f.t, quarantined, qt.HasLen, 1)
	qt.Assert(f.t, quarantined[0].Path, qt.Equals, strings.SplitN(q.path, "?", 2)[0])
	command(f.t, f.Cluster, "quarantine", "release", string(quarantined[0].Fingerprint)).assert(f.t, operator.ExitOK, "released")
	well := &faultRequest{method: q.method, path: q.path, caller: q.caller, key: q.key, content: "crash"}
	// Each node learns of the release with its next change of the table, by the
	// lease rule at the latest after one lease duration.
	ctx, cancel := context.WithTimeout(f.ctx, lease.DefaultTerms.MaxDuration().Duration())
	defer cancel()
	out := f.settle(f.ctx, well)
	for out.Reason == "quarantined" && clock.System().Sleep(ctx, 20) == nil {
		out = f.settle(f.ctx, well)
	}
	qt.Assert(f.t, out.Outcome, qt.Equals, wire.OutcomeComplete)
}
