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
	// clockTimeout is the timeout for reading the target's clock before a heartbeat.
	// It is short because the read delays the renewal of the lease.
	clockTimeout clock.Millis = 100
	// grantCallTimeout is the timeout of a call that sends or releases grants.
	grantCallTimeout clock.Millis = 300
	// grantWaitTimeout is how long a request waits until its target has confirmed the
	// grant.
	grantWaitTimeout clock.Millis = 300
)

// grantState holds the grants and the lease deadline that were sent to a target that
// checks grants.
type grantState struct {
	mu sync.Mutex
	// confirmed are the grants that the target has confirmed.
	confirmed map[wire.PartitionID]wire.FencingToken
	// deadline is the end of the lease on the target's clock, and confirmedDeadline
	// the latest one that the target has confirmed.
	deadline, confirmedDeadline clock.Millis
	// changed is closed and replaced when the target confirms an update.
	changed chan struct{}
	// wake triggers syncOwnership.
	wake chan struct{}
}

func newGrantState() *grantState {
	return &grantState{
		confirmed: make(map[wire.PartitionID]wire.FencingToken),
		changed:   make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// extendDeadline extends the lease deadline to the given time of the target's clock.
func (g *grantState) extendDeadline(deadline clock.Millis) {
	g.mu.Lock()
	g.deadline = max(g.deadline, deadline)
	g.mu.Unlock()
	g.wakeUp()
}

// wakeUp makes syncOwnership check releases and grants again.
func (g *grantState) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// pending returns the update to send to the target, given the grants that it should
// have, and whether there is anything to send. It removes confirmed grants that the
// target should no longer have.
func (g *grantState) pending(serving map[wire.PartitionID]wire.FencingToken) (grantRequest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.confirmed, func(partitionID wire.PartitionID, token wire.FencingToken) bool { return serving[partitionID] != token })
	update := grantRequest{Partitions: []wire.Grant{}, DeadlineMillis: g.deadline}
	for partitionID, token := range serving {
		if g.confirmed[partitionID] != token {
			update.Partitions = append(update.Partitions, wire.Grant{Partition: partitionID, FencingToken: token})
		}
	}
	return update, g.deadline > 0 && (len(update.Partitions) > 0 || g.deadline > g.confirmedDeadline)
}

// confirm records that the target has confirmed an update.
func (g *grantState) confirm(update grantRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range update.Partitions {
		g.confirmed[p.Partition] = p.FencingToken
	}
	g.confirmedDeadline = max(g.confirmedDeadline, update.DeadlineMillis)
	close(g.changed)
	g.changed = make(chan struct{})
}

// awaitConfirmed waits until the target has confirmed the grant, and returns false if
// ctx ends first. A request without a partition needs only a confirmed deadline.
func (g *grantState) awaitConfirmed(ctx context.Context, partitionID wire.PartitionID, token wire.FencingToken) bool {
	for {
		g.mu.Lock()
		confirmed := g.confirmedDeadline > 0 && (partitionID == "" || g.confirmed[partitionID] == token)
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

// readClock returns the time of the target's clock, and whether it could be read.
func (m *member) readClock(ctx context.Context) (clock.Millis, bool) {
	timed, cancel := context.WithTimeout(ctx, clockTimeout.Duration())
	defer cancel()
	var c clockResponse
	err := m.callTarget(timed, http.MethodGet, "/gentiansail/clock", nil, &c)
	return c.ClockMillis, err == nil
}

// postToTarget makes one POST call of the target protocol and reports whether it
// succeeded.
func (m *member) postToTarget(ctx context.Context, path string, body any) bool {
	timed, cancel := context.WithTimeout(ctx, grantCallTimeout.Duration())
	defer cancel()
	return m.callTarget(timed, http.MethodPost, path, body, nil) == nil
}
