package control

import (
	"math"
	"sync"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

const (
	// maxCallerNameBytes is the longest name of a caller that gets a share.
	maxCallerNameBytes = 256
	// maxShareRecords bounds the memory to about 30 MB with names of usual length.
	// It is enough for 150 callers at each of 430 nodes. Callers without a record
	// keep the least share.
	maxShareRecords = 1 << 16
	// unchangedShare in a response leaves the share of a node unchanged.
	unchangedShare = -1
	// shareResolution is the number of steps in a share of 1. Shares are rounded
	// down to a step, which keeps messages short and sums below the limit.
	shareResolution = 1e5
)

// shareTerms are the lease terms of a share that is granted to a node. Like a
// lease, it expires by the node's clock.
var shareTerms = lease.Terms{Duration: limit.ShareDuration, MaxDrift: lease.DefaultTerms.MaxDrift}

// callerShares divides the rate of each caller among the nodes in proportion to
// the demand that they report. It is soft state of a leader.
//
// For one caller and class, the shares that may be in force at any moment add
// up to at most the pool. A response may be lost or reordered, so a granted
// share counts until it has certainly expired on its node, or until the node
// has confirmed a later one. A share is raised only by the part of the pool
// that the outstanding shares of the other nodes leave available. A new leader
// does not know the shares that its predecessor granted, so it grants none
// until they have expired. As for leases, the leader must respond to a report
// only after a round that confirms leadership and began after the report was
// received.
type callerShares struct {
	// grantsFrom is the time from which no earlier leader's share is in force.
	grantsFrom clock.Millis

	mu          sync.Mutex
	pool        float64
	recordCount int
	records     map[callerClass]map[nodeProcess]shareRecord
}

type callerClass struct {
	caller wire.CallerID
	class  wire.RouteClass
}

// nodeProcess identifies a process of a node. After a restart, the new process
// has no shares, while the earlier process may still run with its shares.
type nodeProcess struct {
	node    wire.NodeID
	process wire.ProcessID
}

// shareRecord is the last report of a node for one caller, and the shares
// granted to the node for that caller.
type shareRecord struct {
	reportNumber int
	demand       float64 // requests per second
	reportedAt   clock.Millis
	// latest is the share granted in response to the report answeredReport.
	// earlier is an upper bound of all shares granted before it that may still be
	// in force.
	latest, earlier grantedShare
	answeredReport  int
}

// grantedShare is a share that may be in force until validUntil.
type grantedShare struct {
	share      float64
	validUntil clock.Millis
}

func newCallerShares(now clock.Millis) *callerShares {
	return &callerShares{
		grantsFrom: now + shareTerms.MaxDuration(),
		pool:       limit.SharePool(1, 1),
		records:    make(map[callerClass]map[nodeProcess]shareRecord),
	}
}

// setNodes sets the number of nodes with a member, on which the nodes base
// their least shares, and the number of nodes that serve callers.
func (c *callerShares) setNodes(counted, serving int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool = limit.SharePool(counted, serving)
}

// respond records the report in a heartbeat, received at the stated time, and
// returns the shares to respond with. It returns nil for a heartbeat without a
// report.
func (c *callerShares) respond(r wire.HeartbeatRequest, received, now clock.Millis) *wire.CallerShares {
	if r.Callers == nil {
		return nil
	}
	out := &wire.CallerShares{Shares: []float64{}}
	process := nodeProcess{node: r.Node, process: r.Process}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, demand := range r.Callers.Demands[:min(len(r.Callers.Demands), wire.MaxReportedCallers)] {
		out.Shares = append(out.Shares, c.shareFor(process, r.Callers.Number, demand, received, now))
	}
	return out
}

// shareFor records the demand for one caller and returns its new share. It
// returns unchangedShare for a report without demand, a report that is not
// newer than the recorded one, and a caller that gets no record, and also while
// shares of an earlier leader may be in force.
func (c *callerShares) shareFor(process nodeProcess, reportNumber int, demand wire.CallerDemand, received, now clock.Millis) float64 {
	key := callerClass{demand.Caller, demand.Class}
	previous, known := c.records[key][process]
	outdated := known && reportNumber <= previous.reportNumber
	if len(demand.Caller) > maxCallerNameBytes || outdated || (!known && c.recordCount >= maxShareRecords) {
		return unchangedShare
	}
	record := previous.withReport(demand, reportNumber, received)
	share := float64(unchangedShare)
	if record.demand > 0 && now >= c.grantsFrom {
		share = shareForDemand(c.records[key], process, record.demand, c.pool, now)
		record = record.withGrant(share, reportNumber, received+shareTerms.MaxDuration(), now)
	}
	c.store(key, process, record, known)
	return share
}

func (c *callerShares) store(key callerClass, process nodeProcess, record shareRecord, known bool) {
	if c.records[key] == nil {
		c.records[key] = make(map[nodeProcess]shareRecord)
	}
	if !known {
		c.recordCount++
	}
	c.records[key][process] = record
}

// removeExpired removes records without a report in the lifetime of a share
// whose granted shares have expired.
func (c *callerShares) removeExpired(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, byProcess := range c.records {
		for process, record := range byProcess {
			if !record.isCurrent(now) && record.outstanding(now) == 0 {
				delete(byProcess, process)
				c.recordCount--
			}
		}
		if len(byProcess) == 0 {
			delete(c.records, key)
		}
	}
}

// withReport returns the record after a report. A report without demand returns
// the node's share: the node ignores all responses to earlier reports from then
// on. A node that has applied the latest response ignores the responses before
// it.
func (r shareRecord) withReport(demand wire.CallerDemand, reportNumber int, received clock.Millis) shareRecord {
	if !(demand.RequestsPerSecond > 0) {
		return shareRecord{reportNumber: reportNumber, reportedAt: received}
	}
	r.reportNumber, r.demand, r.reportedAt = reportNumber, demand.RequestsPerSecond, received
	if demand.AnsweredReport != nil && *demand.AnsweredReport == r.answeredReport {
		r.earlier = grantedShare{}
	}
	return r
}

// withGrant returns the record after a share is granted in response to a
// report.
func (r shareRecord) withGrant(share float64, reportNumber int, validUntil, now clock.Millis) shareRecord {
	previous := grantedShare{share: r.outstanding(now), validUntil: max(r.latest.validUntil, r.earlier.validUntil)}
	r.earlier = previous
	r.latest, r.answeredReport = grantedShare{share: share, validUntil: validUntil}, reportNumber
	return r
}

// outstanding returns the largest share that may be in force at the node.
func (r shareRecord) outstanding(now clock.Millis) float64 {
	return max(r.latest.shareAt(now), r.earlier.shareAt(now))
}

// isCurrent reports whether the last reported demand is still used.
func (r shareRecord) isCurrent(now clock.Millis) bool { return now-r.reportedAt < limit.ShareDuration }

func (g grantedShare) shareAt(now clock.Millis) float64 {
	if now >= g.validUntil {
		return 0
	}
	return g.share
}

// shareForDemand returns the share for a process with the given demand. It is
// proportional to the demand, but at most the part of the pool that the
// outstanding shares of the other processes leave available.
func shareForDemand(records map[nodeProcess]shareRecord, process nodeProcess, demand, pool float64, now clock.Millis) float64 {
	demands := []float64{demand}
	available := pool
	for otherProcess, record := range records {
		if otherProcess == process {
			continue
		}
		available -= record.outstanding(now)
		if record.isCurrent(now) {
			demands = append(demands, record.demand)
		}
	}
	share := min(limit.SharesByDemand(demands)[0], available)
	return max(0, math.Floor(share*shareResolution)/shareResolution)
}

// updateNodeCounts updates the number of nodes with a member and the number of
// nodes that have sent a heartbeat within the lifetime of a share.
func (s *Service) updateNodeCounts(ls *leaderState, now clock.Millis) {
	withMember := make(map[wire.NodeID]bool)
	for _, m := range s.Machine.MemberList() {
		withMember[m.Node] = true
	}
	ls.callerShares.setNodes(len(withMember), ls.countNodesSince(now-limit.ShareDuration))
	ls.callerShares.removeExpired(now)
}

// countNodesSince returns the number of nodes whose last heartbeat is not
// before a time.
func (ls *leaderState) countNodesSince(since clock.Millis) int {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	count := 0
	for _, record := range ls.nodes {
		if record.lastHeartbeat >= since {
			count++
		}
	}
	return count
}
