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
	// crashSends is the number of attempts of the request that crashes targets.
	crashSends = 4
	// maxCrashedTargets is the number of targets that one request may crash.
	maxCrashedTargets = 2
	// slowRequestCount is the number of slow requests that are in flight at the
	// same time.
	slowRequestCount = 4
)

// Guards against a request that crashes one target after the other because its
// caller resends it, and against the quarantine of other requests that were in
// flight at the crashed targets.
func TestFaultsCrashingRequest(t *testing.T) {
	t.Parallel() // checks no time limits
	f := startFaults(t, map[wire.ServiceName]cluster.Service{"catalogue": {Targets: 3, ChecksGrants: true}, "pledges": {Targets: 3}})
	for _, service := range []string{"catalogue", "pledges"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			f.testCrash(method, service)
		}
	}
	f.finish(nil)
}

// testCrash resends a request that crashes each target that runs it through
// different nodes, each time as a new operation.
func (f *faults) testCrash(method, service string) {
	f.t.Helper()
	crashing := f.request(method, service, "")
	slowResponses := f.startSlowRequests(service)
	done := make(chan cluster.Response, 1)
	go func() {
		var r cluster.Response
		for n := range crashSends {
			q := &faultRequest{method: method, path: crashing.path, caller: crashing.caller, content: "crash", header: http.Header{"Standin-Crash": {"yes"}}}
			if method == http.MethodPost {
				q.key = wire.OperationKey(uuid.Must(uuid.NewV7()).String())
			}
			r = f.send(f.Hosts[n%len(f.Hosts)], q)
		}
		done <- r
	}()
	last, crashed := f.restartTargets(done)
	label := method + " " + service
	f.t.Logf("%s: %d targets crashed, last response %d %s %s", label, crashed, last.Status, last.Outcome, last.Reason)
	qt.Check(f.t, crashed > 0 && crashed <= maxCrashedTargets, qt.IsTrue, qt.Commentf("%s: %d targets crashed", label, crashed))
	qt.Check(f.t, last.Reason, qt.Equals, "quarantined", qt.Commentf("%s", label))
	for range slowRequestCount {
		r := <-slowResponses
		qt.Check(f.t, r.Outcome, qt.Equals, wire.OutcomeComplete, qt.Commentf("%s: a concurrent request: %d %s", label, r.Status, r.Reason))
	}
	f.awaitReady()
	f.releaseFromQuarantine(crashing)
}

// startSlowRequests sends slow requests to a service, and returns the channel of
// their responses.
func (f *faults) startSlowRequests(service string) <-chan cluster.Response {
	out := make(chan cluster.Response, slowRequestCount)
	for range slowRequestCount {
		q := f.request(http.MethodGet, service, "&work=300&delay=1")
		go func() { out <- f.sendUntilFinal(f.ctx, q) }()
	}
	return out
}

// restartTargets restarts crashed targets until a response arrives on done. It
// returns that response and the number of crashes.
func (f *faults) restartTargets(done <-chan cluster.Response) (cluster.Response, int) {
	f.t.Helper()
	crashed := 0
	restart := func() {
		for _, h := range f.Hosts {
			if !h.Target.Running() {
				crashed++
				qt.Assert(f.t, h.Target.Start(f.ctx), qt.IsNil)
			}
		}
	}
	for {
		restart()
		select {
		case last := <-done:
			restart()
			return last, crashed
		default:
			qt.Assert(f.t, clock.System().Sleep(f.ctx, 20), qt.IsNil)
		}
	}
}

// releaseFromQuarantine checks that the request is the only one in quarantine,
// releases it, and checks that it then runs.
func (f *faults) releaseFromQuarantine(q *faultRequest) {
	f.t.Helper()
	r := runCommand(f.t, f.Cluster, "quarantine", "list", "--output", "json")
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
	runCommand(f.t, f.Cluster, "quarantine", "release", string(quarantined[0].Fingerprint)).assert(f.t, operator.ExitOK, "released")
	harmless := &faultRequest{method: q.method, path: q.path, caller: q.caller, key: q.key, content: "crash"}
	// Each node receives the release with its next table change, by the lease
	// rule at the latest after one lease duration.
	ctx, cancel := context.WithTimeout(f.ctx, lease.DefaultTerms.MaxDuration().Duration())
	defer cancel()
	out := f.sendUntilFinal(f.ctx, harmless)
	for out.Reason == "quarantined" && clock.System().Sleep(ctx, 20) == nil {
		out = f.sendUntilFinal(f.ctx, harmless)
	}
	qt.Assert(f.t, out.Outcome, qt.Equals, wire.OutcomeComplete)
}
