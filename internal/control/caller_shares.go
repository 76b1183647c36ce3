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
	// maxReportedName is the longest name of a caller that is read, in bytes.
	maxReportedName = 256
	// maxHoldings bounds the memory to about 30 MB with names of usual length: 150
	// callers at each of 430 nodes. Callers beyond it keep the least share.
	maxHoldings = 1 << 16
	// sameShare leaves the share of a node as it is.
	sameShare = -1
	// shareSteps are the smallest differences between shares. Rounding down keeps
	// messages short and sums below the limit.
	shareSteps = 1e5
)

// shareTerms are those of a share that is given to a node. It ends on the node's
// clock as a lease does.
var shareTerms = lease.Terms{Duration: limit.ShareLife, RateBound: lease.DefaultTerms.RateBound}

// callerShares divides the rate of each caller among the nodes by the demand that
// they report. It is soft state of a leader.
//
// The shares that may be in force at any moment for one caller and class add up
// to at most the pool. A response may be lost or overtaken, so a share that was
// given counts until it has certainly ended on its node, or until the node has
// confirmed a later one. A share is raised only by what the outstanding shares of
// the other nodes leave free. What an earlier leader gave is not known: a new one
// gives nothing until that has ended. As for leases, this needs that a report is
// answered only after a round that confirms leadership and began after the report
// was received.
type callerShares struct {
	// from is the time before which earlier leaders' shares may be in force.
	from clock.Millis

	mu       sync.Mutex
	pool     float64
	holdings int
	rows     map[callerClass]map[shareHolder]holding
}

type callerClass struct {
	caller wire.CallerID
	class  wire.RouteClass
}

// shareHolder is a process of a node. A restarted node holds nothing, and its
// earlier process may still run.
type shareHolder struct {
	node    wire.NodeID
	process wire.ProcessID
}

// holding is what is known of one caller at one node.
type holding struct {
	number   int // of the last report
	demand   float64
	reported clock.Millis
	// latest answers the report answered. earlier covers all shares given before
	// that may still be in force.
	latest, earlier given
	answered        int
}

// given is a share that may be in force until a time.
type given struct {
	share float64
	until clock.Millis
}

func newCallerShares(now clock.Millis) *callerShares {
	return &callerShares{
		from: now + shareTerms.Longest(),
		pool: limit.SharePool(1, 1),
		rows: make(map[callerClass]map[shareHolder]holding),
	}
}

// setNodes sets how many nodes count each other, and how many serve callers.
func (c *callerShares) setNodes(counted, serving int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool = limit.SharePool(counted, serving)
}

// answer takes in the report of a heartbeat, received at the stated time, and
// returns its answer. It is nil for a heartbeat without a report.
func (c *callerShares) answer(r wire.HeartbeatRequest, received, now clock.Millis) *wire.CallerShares {
	if r.Callers == nil {
		return nil
	}
	out := &wire.CallerShares{Shares: []float64{}}
	h := shareHolder{node: r.Node, process: r.Process}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range r.Callers.Demands[:min(len(r.Callers.Demands), wire.MaxReportedCallers)] {
		out.Shares = append(out.Shares, c.answerOne(h, r.Callers.Number, d, received, now))
	}
	return out
}

// answerOne returns the share of one caller, or sameShare.
func (c *callerShares) answerOne(h shareHolder, number int, d wire.CallerDemand, received, now clock.Millis) float64 {
	k := callerClass{d.Caller, d.Class}
	old, known := c.rows[k][h]
	overtaken := known && number <= old.number
	if len(d.Caller) > maxReportedName || overtaken || (!known && c.holdings >= maxHoldings) {
		return sameShare
	}
	v := old.report(d, number, received)
	share := float64(sameShare)
	if v.demand > 0 && now >= c.from {
		share = divide(c.rows[k], h, v.demand, c.pool, now)
		v = v.give(share, number, received+shareTerms.Longest(), now)
	}
	c.keep(k, h, v, known)
	return share
}

func (c *callerShares) keep(k callerClass, h shareHolder, v holding, known bool) {
	if c.rows[k] == nil {
		c.rows[k] = make(map[shareHolder]holding)
	}
	if !known {
		c.holdings++
	}
	c.rows[k][h] = v
}

// sweep forgets callers that were not reported for the life of a share.
func (c *callerShares) sweep(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, row := range c.rows {
		for h, v := range row {
			if !v.current(now) && v.outstanding(now) == 0 {
				delete(row, h)
				c.holdings--
			}
		}
		if len(row) == 0 {
			delete(c.rows, k)
		}
	}
}

// report takes in what a node says of a caller. A node that gives its share back
// ignores all answers to earlier reports; one that applied the latest answer
// ignores all earlier ones.
func (v holding) report(d wire.CallerDemand, number int, received clock.Millis) holding {
	if !(d.RequestsPerSecond > 0) {
		return holding{number: number, reported: received}
	}
	v.number, v.demand, v.reported = number, d.RequestsPerSecond, received
	if d.Answered != nil && *d.Answered == v.answered {
		v.earlier = given{}
	}
	return v
}

// give adds a share that answers a report.
func (v holding) give(share float64, number int, until, now clock.Millis) holding {
	before := given{share: v.outstanding(now), until: max(v.latest.until, v.earlier.until)}
	v.earlier = before
	v.latest, v.answered = given{share: share, until: until}, number
	return v
}

// outstanding returns the largest share that may be in force at the node.
func (v holding) outstanding(now clock.Millis) float64 {
	return max(v.latest.at(now), v.earlier.at(now))
}

// current reports whether the demand still counts.
func (v holding) current(now clock.Millis) bool { return now-v.reported < limit.ShareLife }

func (g given) at(now clock.Millis) float64 {
	if now >= g.until {
		return 0
	}
	return g.share
}

// divide returns the share for a node with the given demand: its part by demand,
// but no more than what the shares of the other nodes leave free.
func divide(row map[shareHolder]holding, h shareHolder, demand, pool float64, now clock.Millis) float64 {
	demands := []float64{demand}
	free := pool
	for other, v := range row {
		if other == h {
			continue
		}
		free -= v.outstanding(now)
		if v.current(now) {
			demands = append(demands, v.demand)
		}
	}
	share := min(limit.Shares(demands)[0], free)
	return max(0, math.Floor(share*shareSteps)/shareSteps)
}

// countNodes tells the shares how many nodes have a member, and how many were
// heard within the life of a share.
func (s *Service) countNodes(o *office, now clock.Millis) {
	counted := make(map[wire.NodeID]bool)
	for _, m := range s.Machine.MemberList() {
		counted[m.Node] = true
	}
	o.callers.setNodes(len(counted), o.heardSince(now-limit.ShareLife))
	o.callers.sweep(now)
}

// heardSince counts the nodes that were heard since a time.
func (o *office) heardSince(since clock.Millis) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, v := range o.nodes {
		if v.heard >= since {
			n++
		}
	}
	return n
}
