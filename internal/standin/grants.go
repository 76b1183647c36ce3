package standin

import (
	"sync"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// GrantRequest is the body of POST /gentiansail/grant: the partitions are added
// to those granted before to the same incarnation, and the deadline holds for
// all of them. Another incarnation voids all earlier grants.
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

// grants are the partitions that a checking target may work on.
type grants struct {
	mu          sync.Mutex
	incarnation wire.Incarnation
	epochs      map[wire.PartitionID]wire.FencingToken
	deadline    clock.Millis
}

// add never shortens the deadline: grants may arrive out of order.
func (g *grants) add(r GrantRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.incarnation != r.Incarnation || g.epochs == nil {
		g.incarnation = r.Incarnation
		g.epochs = make(map[wire.PartitionID]wire.FencingToken)
		g.deadline = 0
	}
	for _, p := range r.Partitions {
		g.epochs[p.Partition] = max(p.FencingToken, g.epochs[p.Partition])
	}
	g.deadline = max(g.deadline, r.DeadlineMillis)
}

func (g *grants) release(r ReleaseRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range r.Partitions {
		if g.incarnation == r.Incarnation && g.epochs[p.Partition] == p.FencingToken {
			delete(g.epochs, p.Partition)
		}
	}
}

// allow reports whether a request may run now. A request without a partition
// needs only a lease that has not ended.
func (g *grants) allow(p wire.PartitionID, e wire.FencingToken, now clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now >= g.deadline {
		return false
	}
	return p == "" || (e != 0 && g.epochs[p] == e)
}
