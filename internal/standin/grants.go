package standin

import (
	"sync"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// GrantRequest is the body of POST /gentiansail/grant. It adds partitions to those
// already granted to the same incarnation, and its deadline applies to all of them.
// A request with another incarnation revokes all earlier grants.
type GrantRequest struct {
	Incarnation    wire.Incarnation
	Partitions     []wire.Grant
	DeadlineMillis clock.Millis
}

// ReleaseRequest is the body of POST /gentiansail/release.
type ReleaseRequest struct {
	Incarnation wire.Incarnation
	Partitions  []wire.Grant
}

// grantTable holds the partitions that a target with Options.ChecksGrants may work
// on.
type grantTable struct {
	mu            sync.Mutex
	incarnation   wire.Incarnation
	fencingTokens map[wire.PartitionID]wire.FencingToken
	deadline      clock.Millis
}

// add stores the grants of a request. It never shortens the deadline or lowers a
// fencing token, because requests may arrive out of order.
func (g *grantTable) add(r GrantRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.incarnation != r.Incarnation || g.fencingTokens == nil {
		g.incarnation = r.Incarnation
		g.fencingTokens = make(map[wire.PartitionID]wire.FencingToken)
		g.deadline = 0
	}
	for _, p := range r.Partitions {
		g.fencingTokens[p.Partition] = max(p.FencingToken, g.fencingTokens[p.Partition])
	}
	g.deadline = max(g.deadline, r.DeadlineMillis)
}

// release removes the grants of a request that are still current.
func (g *grantTable) release(r ReleaseRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range r.Partitions {
		if g.incarnation == r.Incarnation && g.fencingTokens[p.Partition] == p.FencingToken {
			delete(g.fencingTokens, p.Partition)
		}
	}
}

// allow reports whether a request for partition p with the given fencing token may run now.
// A request without a partition needs only a deadline that has not passed.
func (g *grantTable) allow(p wire.PartitionID, token wire.FencingToken, now clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now >= g.deadline {
		return false
	}
	return p == "" || (token != 0 && g.fencingTokens[p] == token)
}
