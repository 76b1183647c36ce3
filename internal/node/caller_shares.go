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
	unanswered unanswered
}

// unanswered is how long reports have had no answer.
type unanswered struct {
	some        bool
	first, last clock.Millis
}

// next takes in a response to the report that was sent at the given time.
func (u unanswered) next(sent clock.Millis, answered bool) unanswered {
	switch {
	case answered:
		return unanswered{}
	case !u.some || sent-u.last > limit.ShareLife:
		return unanswered{some: true, first: sent, last: sent}
	}
	u.last = max(u.last, sent)
	return u
}

// forLong reports whether shares of other leaders have ended.
func (u unanswered) forLong() bool { return u.some && u.last-u.first > limit.ShareLife }

// setNodes sets the number of nodes that share rates, with this one.
func (c *callerShares) setNodes(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = n
	c.budget.SetNodes(n)
}

// report returns the callers to report with a heartbeat, nil if there are none.
func (c *callerShares) report(regular bool) *wire.CallerReport {
	most := maxUrgentCallers
	if regular {
		most = wire.MaxReportedCallers
	}
	r := c.budget.TakeReport(regular, most)
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
func (c *callerShares) apply(r *wire.CallerReport, answer *wire.CallerShares, sent clock.Millis) {
	if r == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = c.unanswered.next(sent, answer != nil)
	if answer == nil && c.unanswered.forLong() {
		answer = c.equal(r)
	}
	if answer == nil {
		return
	}
	for i, share := range answer.Shares[:min(len(answer.Shares), len(r.Demands))] {
		if share >= 0 {
			d := r.Demands[i]
			c.budget.SetShare(string(d.Caller), classOf(d.Class), share, r.Number, sent+limit.ShareLife)
		}
	}
}

// lost lets the callers of a report that was not answered be reported again.
func (c *callerShares) lost(r *wire.CallerReport) {
	if r == nil {
		return
	}
	for _, d := range r.Demands {
		c.budget.ReportAgain(string(d.Caller), classOf(d.Class))
	}
}

// equal returns what is missing to an equal part of each reported caller's rate.
func (c *callerShares) equal(r *wire.CallerReport) *wire.CallerShares {
	var out wire.CallerShares
	share := 1/float64(max(c.nodes, 1)) - limit.LeastShare(c.nodes)
	for _, d := range r.Demands {
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
func nodesOf(s *table.Snapshot, self wire.NodeID) int {
	nodes := map[wire.NodeID]bool{self: true}
	for _, v := range s.Configuration().Services {
		for _, m := range s.Members(v.Name) {
			nodes[m.Node] = true
		}
	}
	return len(nodes)
}
