package node

import (
	"context"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// newWorkTimeout is the time after which a draining target gets no new requests. The
// guaranteed maximum is 3 s.
const newWorkTimeout clock.Millis = 2500

// plannedEndTimeout is how long a planned stop waits until the end of the incarnation is
// recorded.
const plannedEndTimeout clock.Millis = 3000

// drain ends an incarnation as planned: its partitions are moved away, new requests are
// rejected after newWorkTimeout at the latest, requests in flight are finished, and the
// end is reported to the control group.
func (n *node) drain(ctx context.Context, m *member, reason string) {
	if m.draining.CompareAndSwap(false, true) {
		n.log.Info().Str("Incarnation", string(m.incarnation)).Str("Reason", reason).Msg("draining target")
		n.returnWaiting(m)
		n.requestHeartbeat()
	}
	n.awaitMoves(ctx, m)
	n.rejectNewWork(m)
	n.awaitIdle(ctx, m)
	n.targets.end(m, endCause{reason: reason})
	// If the control group is unreachable, the lease expires.
	timed, cancel := context.WithTimeout(ctx, plannedEndTimeout.Duration())
	defer cancel()
	select {
	case <-m.endRecorded:
	case <-timed.Done():
	}
}

// rejectNewWork makes the member reject new requests, returns waiting requests to the
// ingress nodes, and releases the partitions that have not been moved yet.
func (n *node) rejectNewWork(m *member) {
	m.rejecting.Store(true)
	n.returnWaiting(m)
	m.grants.wakeUp()
}

// awaitMoves waits until the member owns no partitions, or for newWorkTimeout.
func (n *node) awaitMoves(ctx context.Context, m *member) {
	deadline := n.clock.Now() + newWorkTimeout
	for m.alive() {
		changed := n.routing.changed()
		if len(n.routing.snapshot().PartitionsOwnedBy(m.incarnation)) == 0 {
			return
		}
		remaining := deadline - n.clock.Now()
		if remaining <= 0 || (!n.routing.waitForChange(ctx, changed, remaining) && ctx.Err() != nil) {
			return
		}
	}
}

// awaitIdle waits until no requests are in flight. Each ends by its deadline.
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

// followOperatorDrain applies newWorkTimeout when an operator drains the node: the member
// then rejects new requests and releases its partitions. It accepts requests again after
// an undrain.
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
