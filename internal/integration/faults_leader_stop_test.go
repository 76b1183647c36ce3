package integration

import (
	"context"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

const (
	// leaderStops is how often the leader is stopped: without a handover a single
	// stop can pass by chance, when another replica campaigns early.
	leaderStops = 3
	// afterStop is how long gaps are looked for after a stop: longer than an
	// election without a handover may take.
	afterStop clock.Millis = 1000
	termName               = "gentiansail_control_term"
	beatName               = `gentiansail_node_heartbeats_total{result="ok"}`
)

// Guards P7 for the control group: a leader that is stopped as planned hands over
// before it is gone, so that neither an election timeout nor a lease passes
// without a leader. The first check is on the order, not on time.
func TestFaultsLeaderStop(t *testing.T) {
	f := startFaults(t, map[wire.ServiceName]cluster.Service{"catalogue": {Targets: 2, ChecksGrants: true}})
	for range leaderStops {
		f.stopLeader()
	}
	f.finish(nil)
	qt.Check(t, f.cut, qt.HasLen, 0)
	qt.Check(t, f.broken, qt.HasLen, 0)
	qt.Check(t, f.unknown, qt.HasLen, 0)
}

// stopLeader stops the leader and starts it again.
func (f *faults) stopLeader() {
	f.t.Helper()
	old := f.leader()
	f.begin("stop of the leader " + string(old.Name))
	gaps := f.watchGaps()
	term := metricOf(f.ctx, old.Metrics, termName)
	qt.Assert(f.t, term > 0, qt.IsTrue)
	qt.Assert(f.t, old.Stop(f.ctx), qt.IsNil)
	newest := 0
	for _, r := range f.Replicas {
		newest = max(newest, metricOf(f.ctx, r.Metrics, termName))
	}
	qt.Check(f.t, newest > term, qt.IsTrue, qt.Commentf("%s has ended in term %d, and nobody has taken over: the term is %d", string(old.Name), term, newest))
	qt.Assert(f.t, clock.System().Sleep(f.ctx, afterStop), qt.IsNil)
	changes, renewals := gaps()
	f.t.Logf("%s stopped: longest gap between changes %d ms, between renewals of a node %d ms", string(old.Name), changes, renewals)
	qt.Check(f.t, renewals < lease.DefaultTerms.Duration, qt.IsTrue, qt.Commentf("no renewal for %d ms, longer than a lease", renewals))
	qt.Assert(f.t, old.Start(f.ctx), qt.IsNil)
	f.ready()
}

// watchGaps looks for the longest times without a change that the control group
// acknowledged, which every operation needs, and without a renewal of a node's
// lease. The returned function ends that.
func (f *faults) watchGaps() func() (changes, renewals clock.Millis) {
	ctx, stop := context.WithCancel(f.ctx)
	var group sync.WaitGroup
	operations := newGap()
	const workers = 4
	for range workers {
		group.Go(func() {
			for ctx.Err() == nil {
				if r := f.settle(ctx, f.request(http.MethodPost, "catalogue", "")); r.Outcome == wire.OutcomeComplete {
					operations.seen()
				}
			}
		})
	}
	var beats []*gap
	for _, h := range f.Hosts {
		g := newGap()
		beats = append(beats, g)
		group.Go(func() {
			last := metricOf(ctx, h.Metrics, beatName)
			for clock.System().Sleep(ctx, poll) == nil {
				if now := metricOf(ctx, h.Metrics, beatName); now > last {
					g.seen()
					last = now
				}
			}
		})
	}
	return func() (changes, renewals clock.Millis) {
		stop()
		group.Wait()
		for _, g := range beats {
			renewals = max(renewals, g.longest())
		}
		return operations.longest(), renewals
	}
}

// gap holds the longest time between two events.
type gap struct {
	mu      sync.Mutex
	last    clock.Millis
	maximum clock.Millis
}

func newGap() *gap { return &gap{last: clock.System().Now()} }

func (g *gap) seen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.System().Now()
	g.maximum = max(g.maximum, now-g.last)
	g.last = now
}

func (g *gap) longest() clock.Millis {
	g.seen()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.maximum
}
