package node

import (
	"context"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// newWorkBound is when a leaving target gets no more new work; the promise is
// 3 s.
const newWorkTimeout clock.Millis = 2500

// downWait bounds how long a planned stop waits until its end is recorded.
const plannedEndTimeout clock.Millis = 3000

// drain ends an incarnation as planned: its partitions are moved away, new work
// ends within newWorkBound, requests in flight are finished, and the control
// group is told.
func (n *node) drain(ctx context.Context, m *member, reason string) {
	if m.draining.CompareAndSwap(false, true) {
		n.log.Info().Str("Incarnation", string(m.incarnation)).Str("Reason", reason).Msg("target drains")
		n.returnWaiting(m)
		n.requestHeartbeat()
	}
	n.awaitMoves(ctx, m)
	n.rejectNewWork(m)
	n.awaitIdle(ctx, m)
	n.targets.end(m, endCause{reason: reason})
	// Without the control group the lease runs out by itself.
	timed, cancel := context.WithTimeout(ctx, plannedEndTimeout.Duration())
	defer cancel()
	select {
	case <-m.endRecorded:
	case <-timed.Done():
	}
}

// refuse ends new work: waiting requests are handed back, and the partitions that
// have not been moved yet are released.
func (n *node) rejectNewWork(m *member) {
	m.rejecting.Store(true)
	n.returnWaiting(m)
	m.grants.wakeUp()
}

// awaitMoves waits until the member owns nothing, or newWorkBound has passed.
func (n *node) awaitMoves(ctx context.Context, m *member) {
	deadline := n.clock.Now() + newWorkTimeout
	for m.alive() {
		changed := n.routing.changed()
		if len(n.routing.snapshot().Owned(m.incarnation)) == 0 {
			return
		}
		remaining := deadline - n.clock.Now()
		if remaining <= 0 || (!n.routing.waitForChange(ctx, changed, remaining) && ctx.Err() != nil) {
			return
		}
	}
}

// awaitIdle waits for the requests in flight, which end by their deadlines.
func (n *node) awaitIdle(ctx context.Context, m *member) {
	for m.alive() {
		count, changed := m.inFlight.count()
		if count == 0 {
			return
		}
		select {
		case <-changed:
		case <-m.ended:
		case <-ctx.Done():
			return
		}
	}
}

// followDrain keeps the bound on new work when an operator drains the node: the
// member then gives up its partitions, and takes work again after an undrain.
func (n *node) followOperatorDrain(ctx context.Context, m *member) error {
	for {
		changed := n.routing.changed()
		registered, _ := n.routing.snapshot().Member(m.incarnation)
		switch {
		case registered.Draining && !m.rejecting.Load():
			n.awaitMoves(ctx, m)
			n.rejectNewWork(m)
		case !registered.Draining && !m.draining.Load():
			m.rejecting.Store(false)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
