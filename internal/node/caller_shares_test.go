package node

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

// Guards against callers that stay limited to the least share under a leader
// that gives none, and against equal shares while other nodes may hold shares of
// a leader that does.
func TestEqualShareUnderLeaderWithoutShares(t *testing.T) {
	m := clock.NewManual(0)
	b := limit.NewCallerBudget(limit.BudgetOptions{Clock: m.Clock(), PerSecond: limit.PerClass{100, 100, 100}})
	c := &callerShares{budget: b}
	c.setNodes(2)
	use := func() *wire.CallerReport {
		m.Advance(limit.ShareLife / 3)
		for range 60 {
			b.Allow("k", limit.Normal)
		}
		return c.report(true)
	}
	for range 4 {
		r := use()
		qt.Assert(t, r.Demands, qt.HasLen, 1)
		qt.Assert(t, b.Share("k", limit.Normal), qt.Equals, limit.LeastShare(2))
		c.apply(r, nil, m.Clock().Now())
	}
	c.apply(use(), nil, m.Clock().Now())
	qt.Assert(t, b.Share("k", limit.Normal), qt.Equals, 0.5)
	r := use()
	c.apply(r, &wire.CallerShares{Shares: []float64{0.2}}, m.Clock().Now())
	qt.Assert(t, b.Share("k", limit.Normal), qt.Equals, 0.2+limit.LeastShare(2))
	c.apply(use(), nil, m.Clock().Now())
	qt.Assert(t, b.Share("k", limit.Normal), qt.Equals, 0.2+limit.LeastShare(2))
}

// Guards against heartbeats that grow with the number of callers.
func TestCallerReportsAreBounded(t *testing.T) {
	b := limit.NewCallerBudget(limit.BudgetOptions{Clock: clock.NewManual(0).Clock(), PerSecond: limit.PerClass{1, 1, 1}})
	c := &callerShares{budget: b}
	qt.Assert(t, c.report(true), qt.IsNil)
	for n := range 100 {
		b.Allow(fmt.Sprint("k", n), limit.Browse)
	}
	r := c.report(false)
	qt.Assert(t, r.Demands, qt.HasLen, maxUrgentCallers)
	qt.Assert(t, c.report(true).Demands, qt.HasLen, wire.MaxReportedCallers)
	// A caller whose report was lost need not wait for the next regular one.
	for c.report(true) != nil {
	}
	lost := string(r.Demands[0].Caller)
	b.Allow(lost, limit.Browse)
	qt.Assert(t, c.report(false), qt.IsNil)
	c.lost(r)
	b.Allow(lost, limit.Browse)
	qt.Assert(t, c.report(false).Demands, qt.HasLen, 1)
}

// BenchmarkCallerReport reports the bytes that a regular report of the most
// callers adds to a heartbeat, its answer, and the memory of a full budget.
func BenchmarkCallerReport(b *testing.B) {
	for name, format := range map[string]string{"12 bytes": "caller-%05d", "36 bytes": "0198f2c4-7d1e-7a3b-9c55-%012d"} {
		b.Run(name, func(b *testing.B) {
			m := clock.NewManual(0)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			budget := limit.NewCallerBudget(limit.BudgetOptions{Clock: m.Clock(), PerSecond: limit.PerClass{1, 500, 500}})
			c := &callerShares{budget: budget}
			c.setNodes(3000)
			for range 2 * trackedCallers {
				budget.Allow(fmt.Sprintf(format, m.Clock().Now()), limit.Browse)
				m.Advance(1)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			var report, answer []byte
			for b.Loop() {
				m.Advance(2000)
				r := c.report(true)
				for i := range r.Demands {
					answered := r.Number
					r.Demands[i].Answered, r.Demands[i].RequestsPerSecond = &answered, 123
				}
				report, _ = json.Marshal(wire.HeartbeatRequest{Callers: r})
				answer, _ = json.Marshal(wire.CallerShares{Shares: slices.Repeat([]float64{0.26666}, len(r.Demands))})
			}
			empty, _ := json.Marshal(wire.HeartbeatRequest{})
			b.ReportMetric(float64(len(report)-len(empty)), "B/report")
			b.ReportMetric(float64(len(answer)), "B/answer")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B/budget")
			runtime.KeepAlive(budget)
		})
	}
}

// trackedCallers is the number that a budget tracks by default.
const trackedCallers = 8192
