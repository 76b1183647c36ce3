package node

import (
	"fmt"
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
	c.apply(r, &wire.CallerShares{Shares: []wire.CallerShare{{Caller: "k", Class: wire.RouteClassNormal, Share: 0.2}}}, m.Clock().Now())
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
	qt.Assert(t, c.report(false).Demands, qt.HasLen, maxUrgentCallers)
	qt.Assert(t, c.report(true).Demands, qt.HasLen, maxReportedCallers)
}
