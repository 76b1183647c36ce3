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
type grantState struct {
	mu sync.Mutex
	// known are the grants that the target has confirmed.
	confirmed map[wire.PartitionID]wire.FencingToken
	// deadline is the end of the lease in the target's clock; told is the one
	// that the target has confirmed.
	deadline, confirmedDeadline clock.Millis
	changed                     chan struct{}
	wake                        chan struct{}
}

func newGrants() *grantState {
	return &grantState{
		confirmed: make(map[wire.PartitionID]wire.FencingToken),
		changed:   make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// extend moves the deadline.
func (g *grantState) extendDeadline(deadline clock.Millis) {
	g.mu.Lock()
	g.deadline = max(g.deadline, deadline)
	g.mu.Unlock()
	g.wakeUp()
}

// rouse makes the ownership loop look again.
func (g *grantState) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// pending returns what the target must be told, given the grants that it should
// know, and forgets those that it should no longer know.
func (g *grantState) pending(owned map[wire.PartitionID]wire.FencingToken) (grantRequest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.confirmed, func(p wire.PartitionID, e wire.FencingToken) bool { return owned[p] != e })
	r := grantRequest{Partitions: []wire.Grant{}, DeadlineMillis: g.deadline}
	for p, e := range owned {
		if g.confirmed[p] != e {
			r.Partitions = append(r.Partitions, wire.Grant{Partition: p, FencingToken: e})
		}
	}
	return r, g.deadline > 0 && (len(r.Partitions) > 0 || g.deadline > g.confirmedDeadline)
}

// confirmed records that the target knows what r says.
func (g *grantState) confirm(r grantRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range r.Partitions {
		g.confirmed[p.Partition] = p.FencingToken
	}
	g.confirmedDeadline = max(g.confirmedDeadline, r.DeadlineMillis)
	close(g.changed)
	g.changed = make(chan struct{})
}

// wait returns once the target knows the grant, or false when ctx ends first.
// An empty partition needs only a deadline.
func (g *grantState) awaitConfirmed(ctx context.Context, p wire.PartitionID, e wire.FencingToken) bool {
	for {
		g.mu.Lock()
		confirmed := g.confirmedDeadline > 0 && (p == "" || g.confirmed[p] == e)
		changed := g.changed
		g.mu.Unlock()
		if confirmed {
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
func (m *member) postToTarget(ctx context.Context, path string, body any) bool {
	timed, cancel := context.WithTimeout(ctx, grantTimeout.Duration())
	defer cancel()
	return m.callTarget(timed, http.MethodPost, path, body, nil) == nil
}
