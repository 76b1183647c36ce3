package node

import (
	"sync"

	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

// maxUrgentCallers is the maximum number of callers in a heartbeat between the regular
// reports, which are sent every 2 s. It limits a node with many new callers to 40 of
// them per second.
const maxUrgentCallers = 8

// callerShares reports the demand of callers to the leader and applies the shares of
// their rates that the leader returns.
//
// A leader of an earlier version returns no shares. After limit.ShareDuration without any
// shares, those from earlier leaders have expired on all nodes. This node then gives the
// callers that it reports an equal share of their rate, as earlier versions did. A newly
// elected leader that does return shares assigns none for limit.ShareDuration, in which time
// the equal shares expire.
type callerShares struct {
	budget *limit.CallerBudget

	mu            sync.Mutex
	nodes         int
	withoutShares periodWithoutShares
}

// periodWithoutShares is the period in which reports got responses without shares.
type periodWithoutShares struct {
	pending     bool
	first, last clock.Millis // send times of reports
}

// afterResponse returns the period after a response to a report that was sent at the
// given time.
func (u periodWithoutShares) afterResponse(sent clock.Millis, hasShares bool) periodWithoutShares {
	switch {
	case hasShares:
		return periodWithoutShares{}
	case !u.pending || sent-u.last > limit.ShareDuration:
		return periodWithoutShares{pending: true, first: sent, last: sent}
	}
	u.last = max(u.last, sent)
	return u
}

// sharesExpired reports whether all shares from earlier leaders have expired.
func (u periodWithoutShares) sharesExpired() bool {
	return u.pending && u.last-u.first > limit.ShareDuration
}

// setNodes sets the number of nodes that share rates, including this one.
func (c *callerShares) setNodes(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = n
	c.budget.SetNodes(n)
}

// nextReport returns the callers to report in a heartbeat, nil if there are none. A
// regular report has more callers than the urgent ones in between.
func (c *callerShares) nextReport(regular bool) *wire.CallerReport {
	maxCallers := maxUrgentCallers
	if regular {
		maxCallers = wire.MaxReportedCallers
	}
	report := c.budget.NextReport(regular, maxCallers)
	if len(report.Demands) == 0 {
		return nil
	}
	message := &wire.CallerReport{Number: report.Number}
	for _, demand := range report.Demands {
		reported := wire.CallerDemand{Caller: wire.CallerID(demand.Caller), Class: wireClass(demand.Class), RequestsPerSecond: demand.RequestsPerSecond}
		if demand.AnsweredReport > 0 {
			reported.AnsweredReport = &demand.AnsweredReport
		}
		message.Demands = append(message.Demands, reported)
	}
	return message
}

// apply applies the shares in the response to a heartbeat that was sent at the given
// time. shares is nil if the leader returned none.
func (c *callerShares) apply(report *wire.CallerReport, shares *wire.CallerShares, sent clock.Millis) {
	if report == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withoutShares = c.withoutShares.afterResponse(sent, shares != nil)
	if shares == nil && c.withoutShares.sharesExpired() {
		shares = c.equalShares(report)
	}
	if shares == nil {
		return
	}
	for i, share := range shares.Shares[:min(len(shares.Shares), len(report.Demands))] {
		if share >= 0 {
			demand := report.Demands[i]
			c.budget.SetShare(string(demand.Caller), classOf(demand.Class), share, report.Number, sent+limit.ShareDuration)
		}
	}
}

// reportLost makes the callers of a report that got no response be reported again.
func (c *callerShares) reportLost(report *wire.CallerReport) {
	if report == nil {
		return
	}
	for _, demand := range report.Demands {
		c.budget.RetryReport(string(demand.Caller), classOf(demand.Class))
	}
}

// equalShares returns, for each reported caller, the share on top of the minimum one that
// adds up to an equal share of its rate.
func (c *callerShares) equalShares(report *wire.CallerReport) *wire.CallerShares {
	var out wire.CallerShares
	share := 1/float64(max(c.nodes, 1)) - limit.MinShare(c.nodes)
	for _, demand := range report.Demands {
		if demand.RequestsPerSecond > 0 {
			out.Shares = append(out.Shares, share)
		} else {
			out.Shares = append(out.Shares, 0)
		}
	}
	return &out
}

// wireClass is the inverse of classOf.
func wireClass(c limit.Class) wire.RouteClass {
	switch c {
	case limit.Critical:
		return wire.RouteClassCritical
	case limit.Browse:
		return wire.RouteClassBrowse
	}
	return wire.RouteClassNormal
}

// countNodes returns the number of nodes that have a member, including self in any case.
func countNodes(snapshot *table.Snapshot, self wire.NodeID) int {
	nodes := map[wire.NodeID]bool{self: true}
	for _, service := range snapshot.Configuration().Services {
		for _, member := range snapshot.MembersOfService(service.Name) {
			nodes[member.Node] = true
		}
	}
	return len(nodes)
}
