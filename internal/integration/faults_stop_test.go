package integration

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/integration/history"
	target "github.com/gentiansail/gentiansail/internal/standin"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// leavingWork makes a request run for 4000 ms at a target that is being stopped:
	// longer than leavingBound.
	leavingWork = "&work=4000"
	// leavingBound is the promised bound on the time from the start of a planned
	// stop until the target gets no new requests.
	leavingBound clock.UnixMillis = 3000
)

// Guards against planned stops that truncate or lose responses, run requests twice,
// or keep sending new requests to a stopping target: every process of the system is
// stopped and restarted, one after the other, under load.
func TestFaultsRollingRestart(t *testing.T) {
	f := startFaults(t, map[wire.ServiceName]cluster.Service{"catalogue": {Targets: 2, ChecksGrants: true}, "pledges": {Targets: 2}})
	f.stopWithWork(f.hostsOf("catalogue")[0], f.hostsOf("catalogue")[0].Target)
	f.stopWithWork(f.hostsOf("pledges")[0], f.hostsOf("pledges")[0].Node)
	others := []*cluster.Process{
		f.hostsOf("catalogue")[0].Node, f.hostsOf("catalogue")[1].Target, f.hostsOf("catalogue")[1].Node,
		f.hostsOf("pledges")[0].Target, f.hostsOf("pledges")[1].Node, f.hostsOf("pledges")[1].Target,
	}
	for _, r := range f.Replicas {
		others = append(others, r.Process)
	}
	for _, p := range others {
		inFlight := f.startInFlight("&work=300&delay=200", "catalogue", "pledges")
		f.setCurrentFault("stop of " + p.Name)
		f.restart(p)
		f.checkComplete(inFlight, p.Name)
	}
	f.finish(nil)
	qt.Check(t, f.truncated, qt.HasLen, 0)
	qt.Check(t, f.lostResponses, qt.HasLen, 0)
	qt.Check(t, f.unknownOutcomes, qt.HasLen, 0)
}

// restart stops a process as planned and starts it again.
func (f *faults) restart(p *cluster.Process) {
	f.t.Helper()
	qt.Assert(f.t, p.Stop(f.ctx), qt.IsNil)
	f.setCurrentFault("start of " + p.Name)
	qt.Assert(f.t, p.Start(f.ctx), qt.IsNil)
	f.awaitReady()
}

// checkComplete checks that each request in flight gets its complete response.
func (f *faults) checkComplete(requests []inFlightRequest, stopped string) {
	f.t.Helper()
	for _, h := range requests {
		r := <-h.response
		qt.Check(f.t, r.Outcome, qt.Equals, wire.OutcomeComplete, qt.Commentf("%s during the stop of %s: %d %s", h.request.path, stopped, r.Status, r.Reason))
		qt.Check(f.t, r.BodyErr, qt.IsNil, qt.Commentf("%s during the stop of %s", h.request.path, stopped))
	}
}

// stopWithWork stops and restarts a target, or the node on its host, while the
// target runs requests that take longer than leavingBound.
func (f *faults) stopWithWork(h *cluster.Host, p *cluster.Process) {
	f.t.Helper()
	instance := f.currentInstance(h)
	f.setCurrentFault("stop of " + p.Name)
	requests := f.startInFlight(leavingWork, string(h.Service))
	stopBegan := clock.System().Wall()
	qt.Assert(f.t, p.Stop(f.ctx), qt.IsNil)
	f.checkComplete(requests, p.Name)
	lastStart := stopBegan
	for _, r := range f.runsOf(h) {
		if r.Instance == instance {
			lastStart = max(lastStart, r.Start)
		}
	}
	f.t.Logf("%s: last new request %d ms after the stop began", p.Name, lastStart-stopBegan)
	qt.Check(f.t, lastStart-stopBegan <= leavingBound, qt.IsTrue, qt.Commentf("%s got a new request %d ms after its stop began", p.Name, lastStart-stopBegan))
	qt.Assert(f.t, p.Start(f.ctx), qt.IsNil)
	f.awaitReady()
}

// runsOf returns the runs of a host's targets.
func (f *faults) runsOf(h *cluster.Host) []target.Run {
	f.t.Helper()
	name := "runs-" + string(h.Name) + ".jsonl"
	folder := f.t.TempDir()
	qt.Assert(f.t, os.Link(filepath.Join(f.recordsFolder, name), filepath.Join(folder, name)), qt.IsNil)
	runs, err := history.ReadRuns(folder)
	qt.Assert(f.t, err, qt.IsNil)
	return runs
}

// currentInstance waits until the current target process of a host has run a
// request, and returns its instance ID.
func (f *faults) currentInstance(h *cluster.Host) string {
	f.t.Helper()
	for {
		runs, err := h.Runs(f.ctx)
		qt.Assert(f.t, err, qt.IsNil)
		if len(runs) > 0 {
			return runs[0].Instance
		}
		qt.Assert(f.t, clock.System().Sleep(f.ctx, 20), qt.IsNil)
	}
}
