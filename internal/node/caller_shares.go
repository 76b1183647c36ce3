package node

import (
	"sync"

	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

// maxUrgentCallers bounds the report of callers in heartbeats between the regular
// reports, every 2 s. With many new callers a node then sends at most 40 of them a
// second.
const maxUrgentCallers = 8

// callerShares reports the demand of callers and applies the shares of their
// rates that the leader returns.
//
// A leader of an earlier version returns none. Once it has left every report
// without an answer for the life of a share, no node can have a share from
// another leader any more, and the callers that this node reports get an equal
// part of their rate, as they did before rates were divided by demand. A leader
// that divides rates gives nothing for the life of a share after its election,
// and these equal parts end within that time.
type callerShares struct {
	budget *limit.CallerBudget

	mu         sync.Mutex
	nodes      int
	unanswered unansweredPeriod
}

// unanswered is how long reports have had no answer.
type unansweredPeriod struct {
	pending     bool
	first, last clock.Millis
}

// next takes in a response to the report that was sent at the given time.
func (u unansweredPeriod) afterResponse(sent clock.Millis, hasShares bool) unansweredPeriod {
	switch {
	case hasShares:
		return unansweredPeriod{}
	case !u.pending || sent-u.last > limit.ShareLife:
		return unansweredPeriod{pending: true, first: sent, last: sent}
	}
	u.last = max(u.last, sent)
	return u
}

// forLong reports whether shares of other leaders have ended.
func (u unansweredPeriod) sharesExpired() bool { return u.pending && u.last-u.first > limit.ShareLife }

// setNodes sets the number of nodes that share rates, with this one.
func (c *callerShares) setNodes(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = n
	c.budget.SetNodes(n)
}

// report returns the callers to report with a heartbeat, nil if there are none.
func (c *callerShares) nextReport(regular bool) *wire.CallerReport {
	maxCallers := maxUrgentCallers
	if regular {
		maxCallers = wire.MaxReportedCallers
	}
	r := c.budget.TakeReport(regular, maxCallers)
	if len(r.Demands) == 0 {
		return nil
	}
	out := &wire.CallerReport{Number: r.Number}
	for _, d := range r.Demands {
		v := wire.CallerDemand{Caller: wire.CallerID(d.Caller), Class: wireClass(d.Class), RequestsPerSecond: d.PerSecond}
		if d.Answered > 0 {
			v.Answered = &d.Answered
		}
		out.Demands = append(out.Demands, v)
	}
	return out
}

// apply takes in the response to a heartbeat that was sent at the given time.
func (c *callerShares) apply(report *wire.CallerReport, shares *wire.CallerShares, sent clock.Millis) {
	if report == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = c.unanswered.afterResponse(sent, shares != nil)
	if shares == nil && c.unanswered.sharesExpired() {
		shares = c.equalShares(report)
	}
	if shares == nil {
		return
	}
	for i, share := range shares.Shares[:min(len(shares.Shares), len(report.Demands))] {
		if share >= 0 {
			d := report.Demands[i]
			c.budget.SetShare(string(d.Caller), classOf(d.Class), share, report.Number, sent+limit.ShareLife)
		}
	}
}

// lost lets the callers of a report that was not answered be reported again.
func (c *callerShares) reportLost(report *wire.CallerReport) {
	if report == nil {
		return
	}
	for _, d := range report.Demands {
		c.budget.ReportAgain(string(d.Caller), classOf(d.Class))
	}
}

// equal returns what is missing to an equal part of each reported caller's rate.
func (c *callerShares) equalShares(report *wire.CallerReport) *wire.CallerShares {
	var out wire.CallerShares
	share := 1/float64(max(c.nodes, 1)) - limit.LeastShare(c.nodes)
	for _, d := range report.Demands {
		if d.RequestsPerSecond > 0 {
			out.Shares = append(out.Shares, share)
		} else {
			out.Shares = append(out.Shares, 0)
		}
	}
	return &out
}

// wireClass is the reverse of classOf.
func wireClass(c limit.Class) wire.RouteClass {
	switch c {
	case limit.Critical:
		return wire.RouteClassCritical
	case limit.Browse:
		return wire.RouteClassBrowse
	}
	return wire.RouteClassNormal
}

// nodesOf counts the nodes that have a member, and the given one.
func countNodes(s *table.Snapshot, self wire.NodeID) int {
	nodes := map[wire.NodeID]bool{self: true}
	for _, service := range s.Configuration().Services {
		for _, m := range s.Members(service.Name) {
			nodes[m.Node] = true
		}
	}
	return len(nodes)
}
