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
	// leavingWork is how long a request takes that a leaving target has: longer
	// than the bound on new work.
	leavingWork = "&work=4000"
	// leavingBound is the promised bound on new work for a leaving target.
	leavingBound clock.UnixMillis = 3000
)

// Guards against planned stops that cut or lose requests, let them run twice, or
// leave a leaving target at work: every process of the system is stopped and
// started again, one after the other, under load.
func TestFaultsRollingRestart(t *testing.T) {
	f := startFaults(t, map[wire.ServiceName]cluster.Service{"catalogue": {Targets: 2, ChecksGrants: true}, "pledges": {Targets: 2}})
	f.leave(f.of("catalogue")[0], f.of("catalogue")[0].Target)
	f.leave(f.of("pledges")[0], f.of("pledges")[0].Node)
	rest := []*cluster.Process{
		f.of("catalogue")[0].Node, f.of("catalogue")[1].Target, f.of("catalogue")[1].Node,
		f.of("pledges")[0].Target, f.of("pledges")[1].Node, f.of("pledges")[1].Target,
	}
	for _, r := range f.Replicas {
		rest = append(rest, r.Process)
	}
	for _, p := range rest {
		held := f.hold("&work=300&delay=200", "catalogue", "pledges")
		f.begin("stop of " + p.Name)
		f.restart(p)
		f.whole(held, p.Name)
	}
	f.finish(nil)
	qt.Check(t, f.cut, qt.HasLen, 0)
	qt.Check(t, f.broken, qt.HasLen, 0)
	qt.Check(t, f.unknown, qt.HasLen, 0)
}

// restart stops a process as planned and starts it again.
func (f *faults) restart(p *cluster.Process) {
	f.t.Helper()
	qt.Assert(f.t, p.Stop(f.ctx), qt.IsNil)
	f.begin("start of " + p.Name)
	qt.Assert(f.t, p.Start(f.ctx), qt.IsNil)
	f.ready()
}

// whole checks that each held request got its complete response.
func (f *faults) whole(hs []held, stopped string) {
	f.t.Helper()
	for _, h := range hs {
		r := <-h.response
		qt.Check(f.t, r.Outcome, qt.Equals, wire.OutcomeComplete, qt.Commentf("%s during the stop of %s: %d %s", h.request.path, stopped, r.Status, r.Reason))
		qt.Check(f.t, r.BodyErr, qt.IsNil, qt.Commentf("%s during the stop of %s", h.request.path, stopped))
	}
}

// leave stops a target, or the node beside it, while the target has requests
// that take longer than the bound on new work.
func (f *faults) leave(h *cluster.Host, p *cluster.Process) {
	f.t.Helper()
	instance := f.instance(h)
	f.begin("stop of " + p.Name)
	requests := f.hold(leavingWork, string(h.Service))
	began := clock.System().Wall()
	qt.Assert(f.t, p.Stop(f.ctx), qt.IsNil)
	f.whole(requests, p.Name)
	last := began
	for _, r := range f.runsOf(h) {
		if r.Instance == instance {
			last = max(last, r.Start)
		}
	}
	f.t.Logf("%s: last new work %d ms after the stop began", p.Name, last-began)
	qt.Check(f.t, last-began <= leavingBound, qt.IsTrue, qt.Commentf("%s got new work %d ms after its stop began", p.Name, last-began))
	qt.Assert(f.t, p.Start(f.ctx), qt.IsNil)
	f.ready()
}

// runsOf returns the runs of a host's targets.
func (f *faults) runsOf(h *cluster.Host) []target.Run {
	f.t.Helper()
	name := "runs-" + string(h.Name) + ".jsonl"
	folder := f.t.TempDir()
	qt.Assert(f.t, os.Link(filepath.Join(f.records, name), filepath.Join(folder, name)), qt.IsNil)
	runs, err := history.ReadRuns(folder)
	qt.Assert(f.t, err, qt.IsNil)
	return runs
}

// instance returns the target process that a host has now, once it has run a
// request.
func (f *faults) instance(h *cluster.Host) string {
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
