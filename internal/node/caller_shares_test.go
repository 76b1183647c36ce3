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

// Guards against callers that stay limited to the minimum share under a leader of an
// earlier version, which returns no shares, and against equal shares while other nodes may
// still have shares from a leader that returned some.
func TestEqualShareUnderLeaderWithoutShares(t *testing.T) {
	manual := clock.NewManual(0)
	callerBudget := limit.NewCallerBudget(limit.BudgetOptions{Clock: manual.Clock(), RequestsPerSecond: limit.PerClass{100, 100, 100}})
	shares := &callerShares{budget: callerBudget}
	shares.setNodes(2)
	sendAndReport := func() *wire.CallerReport {
		manual.Advance(limit.ShareDuration / 3)
		for range 60 {
			callerBudget.Allow("k", limit.Normal)
		}
		return shares.nextReport(true)
	}
	for range 4 {
		report := sendAndReport()
		qt.Assert(t, report.Demands, qt.HasLen, 1)
		qt.Assert(t, callerBudget.Share("k", limit.Normal), qt.Equals, limit.MinShare(2))
		shares.apply(report, nil, manual.Clock().Now())
	}
	shares.apply(sendAndReport(), nil, manual.Clock().Now())
	qt.Assert(t, callerBudget.Share("k", limit.Normal), qt.Equals, 0.5)
	report := sendAndReport()
	shares.apply(report, &wire.CallerShares{Shares: []float64{0.2}}, manual.Clock().Now())
	qt.Assert(t, callerBudget.Share("k", limit.Normal), qt.Equals, 0.2+limit.MinShare(2))
	shares.apply(sendAndReport(), nil, manual.Clock().Now())
	qt.Assert(t, callerBudget.Share("k", limit.Normal), qt.Equals, 0.2+limit.MinShare(2))
}

// Guards against heartbeats that grow with the number of callers.
func TestCallerReportsAreBounded(t *testing.T) {
	callerBudget := limit.NewCallerBudget(limit.BudgetOptions{Clock: clock.NewManual(0).Clock(), RequestsPerSecond: limit.PerClass{1, 1, 1}})
	shares := &callerShares{budget: callerBudget}
	qt.Assert(t, shares.nextReport(true), qt.IsNil)
	for n := range 100 {
		callerBudget.Allow(fmt.Sprint("k", n), limit.Browse)
	}
	report := shares.nextReport(false)
	qt.Assert(t, report.Demands, qt.HasLen, maxUrgentCallers)
	qt.Assert(t, shares.nextReport(true).Demands, qt.HasLen, wire.MaxReportedCallers)
	// A caller in a lost report is reported again before the next regular report.
	for shares.nextReport(true) != nil {
	}
	caller := string(report.Demands[0].Caller)
	callerBudget.Allow(caller, limit.Browse)
	qt.Assert(t, shares.nextReport(false), qt.IsNil)
	shares.reportLost(report)
	callerBudget.Allow(caller, limit.Browse)
	qt.Assert(t, shares.nextReport(false).Demands, qt.HasLen, 1)
}

// BenchmarkCallerReport reports how many bytes a regular report with the maximum number of
// callers adds to a heartbeat, the size of the response to it, and the memory of a full
// budget.
func BenchmarkCallerReport(b *testing.B) {
	for name, format := range map[string]string{"12 bytes": "caller-%05d", "36 bytes": "0198f2c4-7d1e-7a3b-9c55-%012d"} {
		b.Run(name, func(b *testing.B) {
			manual := clock.NewManual(0)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			budget := limit.NewCallerBudget(limit.BudgetOptions{Clock: manual.Clock(), RequestsPerSecond: limit.PerClass{1, 500, 500}})
			shares := &callerShares{budget: budget}
			shares.setNodes(3000)
			for range 2 * trackedCallers {
				budget.Allow(fmt.Sprintf(format, manual.Clock().Now()), limit.Browse)
				manual.Advance(1)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			var report, response []byte
			for b.Loop() {
				manual.Advance(2000)
				callerReport := shares.nextReport(true)
				for i := range callerReport.Demands {
					answered := callerReport.Number
					callerReport.Demands[i].AnsweredReport, callerReport.Demands[i].RequestsPerSecond = &answered, 123
				}
				report, _ = json.Marshal(wire.HeartbeatRequest{Callers: callerReport})
				response, _ = json.Marshal(wire.CallerShares{Shares: slices.Repeat([]float64{0.26666}, len(callerReport.Demands))})
			}
			empty, _ := json.Marshal(wire.HeartbeatRequest{})
			b.ReportMetric(float64(len(report)-len(empty)), "B/report")
			b.ReportMetric(float64(len(response)), "B/answer")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B/budget")
			runtime.KeepAlive(budget)
		})
	}
}

// trackedCallers is the number of callers that a budget tracks by default.
const trackedCallers = 8192
