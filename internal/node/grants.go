package node

import (
	"context"
	"maps"
	"net/http"
	"sync"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// clockTimeout bounds reading a checking target's clock before a heartbeat,
	// so that a slow target delays the renewal by little.
	clockTimeout clock.Millis = 100
	// grantTimeout bounds telling a checking target.
	grantTimeout clock.Millis = 300
	// grantWait bounds how long a request waits until its target knows a grant.
	grantWait clock.Millis = 300
)

// grants is what a checking target has been told.
type grants struct {
	mu sync.Mutex
	// known are the grants that the target has confirmed.
	known map[wire.PartitionID]wire.FencingToken
	// deadline is the end of the lease in the target's clock; told is the one
	// that the target has confirmed.
	deadline, told clock.Millis
	changed        chan struct{}
	wake           chan struct{}
}

func newGrants() *grants {
	return &grants{
		known:   make(map[wire.PartitionID]wire.FencingToken),
		changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// extend moves the deadline.
func (g *grants) extend(deadline clock.Millis) {
	g.mu.Lock()
	g.deadline = max(g.deadline, deadline)
	g.mu.Unlock()
	g.rouse()
}

// rouse makes the ownership loop look again.
func (g *grants) rouse() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// pending returns what the target must be told, given the grants that it should
// know, and forgets those that it should no longer know.
func (g *grants) pending(owned map[wire.PartitionID]wire.FencingToken) (grantRequest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.known, func(p wire.PartitionID, e wire.FencingToken) bool { return owned[p] != e })
	r := grantRequest{Partitions: []wire.Grant{}, DeadlineMillis: g.deadline}
	for p, e := range owned {
		if g.known[p] != e {
			r.Partitions = append(r.Partitions, wire.Grant{Partition: p, FencingToken: e})
		}
	}
	return r, g.deadline > 0 && (len(r.Partitions) > 0 || g.deadline > g.told)
}

// confirmed records that the target knows what r says.
func (g *grants) confirmed(r grantRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range r.Partitions {
		g.known[p.Partition] = p.FencingToken
	}
	g.told = max(g.told, r.DeadlineMillis)
	close(g.changed)
	g.changed = make(chan struct{})
}

// wait returns once the target knows the grant, or false when ctx ends first.
// An empty partition needs only a deadline.
func (g *grants) wait(ctx context.Context, p wire.PartitionID, e wire.FencingToken) bool {
	for {
		g.mu.Lock()
		known := g.told > 0 && (p == "" || g.known[p] == e)
		changed := g.changed
		g.mu.Unlock()
		if known {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// readClock returns the reading of a checking target's clock.
func (m *member) readClock(ctx context.Context) (clock.Millis, bool) {
	timed, cancel := context.WithTimeout(ctx, clockTimeout.Duration())
	defer cancel()
	var c clockResponse
	err := m.callTarget(timed, http.MethodGet, "/gentiansail/clock", nil, &c)
	return c.ClockMillis, err == nil
}

// tell makes one call of the target protocol with a bound on its time.
func (m *member) tell(ctx context.Context, path string, v any) bool {
	timed, cancel := context.WithTimeout(ctx, grantTimeout.Duration())
	defer cancel()
	return m.callTarget(timed, http.MethodPost, path, v, nil) == nil
}
