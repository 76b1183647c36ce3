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
	// leaderStops is the number of times the leader is stopped. Without a handover,
	// a single stop can pass by chance if another replica campaigns early.
	leaderStops = 3
	// gapWatchTime is the time for which gaps are measured after a stop: longer
	// than an election without a handover may take.
	gapWatchTime     clock.Millis = 1000
	termMetric                    = "gentiansail_control_term"
	heartbeatsMetric              = `gentiansail_node_heartbeats_total{result="ok"}`
)

// Guards against a planned stop of the control leader that interrupts the control
// group: the leader must hand over before it exits, so that the group is without a
// leader for neither an election timeout nor a lease duration. The first check is on
// the order of events, not on time.
func TestFaultsLeaderStop(t *testing.T) {
	f := startFaults(t, map[wire.ServiceName]cluster.Service{"catalogue": {Targets: 2, ChecksGrants: true}})
	for range leaderStops {
		f.stopLeader()
	}
	f.finish(nil)
	qt.Check(t, f.truncated, qt.HasLen, 0)
	qt.Check(t, f.lostResponses, qt.HasLen, 0)
	qt.Check(t, f.unknownOutcomes, qt.HasLen, 0)
}

// stopLeader stops the leader, checks the handover and restarts the old leader.
func (f *faults) stopLeader() {
	f.t.Helper()
	old := f.leader()
	f.setCurrentFault("stop of the leader " + string(old.Name))
	gaps := f.measureGaps()
	term := metricOf(f.ctx, old.Metrics, termMetric)
	qt.Assert(f.t, term > 0, qt.IsTrue)
	qt.Assert(f.t, old.Stop(f.ctx), qt.IsNil)
	newestTerm := 0
	for _, r := range f.Replicas {
		newestTerm = max(newestTerm, metricOf(f.ctx, r.Metrics, termMetric))
	}
	qt.Check(f.t, newestTerm > term, qt.IsTrue, qt.Commentf("%s stopped in term %d without a successor: the newest term is %d", string(old.Name), term, newestTerm))
	qt.Assert(f.t, clock.System().Sleep(f.ctx, gapWatchTime), qt.IsNil)
	changeGap, renewalGap := gaps()
	f.t.Logf("%s stopped: longest gap between committed changes %d ms, between lease renewals of a node %d ms", string(old.Name), changeGap, renewalGap)
	qt.Check(f.t, renewalGap < lease.DefaultTerms.Duration, qt.IsTrue, qt.Commentf("no lease renewal for %d ms, which exceeds the lease duration", renewalGap))
	qt.Assert(f.t, old.Start(f.ctx), qt.IsNil)
	f.awaitReady()
}

// measureGaps measures the longest time between two changes that the control group
// commits, and between two lease renewals of a node. Each operation needs a
// committed change. The returned function stops the measurement and returns the
// results.
func (f *faults) measureGaps() func() (changeGap, renewalGap clock.Millis) {
	ctx, stop := context.WithCancel(f.ctx)
	var group sync.WaitGroup
	operations := newGapRecorder()
	const workers = 4
	for range workers {
		group.Go(func() {
			for ctx.Err() == nil {
				if r := f.sendUntilFinal(ctx, f.request(http.MethodPost, "catalogue", "")); r.Outcome == wire.OutcomeComplete {
					operations.record()
				}
			}
		})
	}
	var renewalGaps []*gapRecorder
	for _, h := range f.Hosts {
		g := newGapRecorder()
		renewalGaps = append(renewalGaps, g)
		group.Go(func() {
			last := metricOf(ctx, h.Metrics, heartbeatsMetric)
			for clock.System().Sleep(ctx, poll) == nil {
				if now := metricOf(ctx, h.Metrics, heartbeatsMetric); now > last {
					g.record()
					last = now
				}
			}
		})
	}
	return func() (changeGap, renewalGap clock.Millis) {
		stop()
		group.Wait()
		for _, g := range renewalGaps {
			renewalGap = max(renewalGap, g.longest())
		}
		return operations.longest(), renewalGap
	}
}

// gapRecorder measures the longest time between two events.
type gapRecorder struct {
	mu      sync.Mutex
	last    clock.Millis
	maximum clock.Millis
}

func newGapRecorder() *gapRecorder { return &gapRecorder{last: clock.System().Now()} }

func (g *gapRecorder) record() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.System().Now()
	g.maximum = max(g.maximum, now-g.last)
	g.last = now
}

// longest returns the longest gap, including the one since the last event.
func (g *gapRecorder) longest() clock.Millis {
	g.record()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.maximum
}
