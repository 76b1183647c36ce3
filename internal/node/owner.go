package node

import (
	"context"
	"io"
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// tableCatchUpTimeout is how long the owner's side waits for a newer routing table if
// the ingress node's table has a later grant than its own.
const tableCatchUpTimeout clock.Millis = 300

// handleAsOwner handles a request on the node that the ingress node chose, which may
// be the ingress node itself. The caller must close the body of the reply.
func (n *node) handleAsOwner(ctx context.Context, q *routedRequest) *nodeReply {
	m := n.targets.current()
	if m == nil || m.incarnation != q.incarnation {
		return unavailable(reasonNotOwner)
	}
	id, ok := m.inFlight.add(q.partition, q.fencingToken, q.key)
	if !ok {
		return unavailable(reasonMoving)
	}
	q.inFlightID = id
	reply := n.runAsOwner(ctx, m, q)
	reply.body = &closeHookBody{ReadCloser: reply.body, onClose: func() { m.inFlight.remove(id) }}
	return reply
}

func (n *node) runAsOwner(ctx context.Context, m *member, q *routedRequest) *nodeReply {
	n.awaitFencingToken(ctx, q)
	if reason := n.checkUnderLease(m, func() reasonCode { return n.checkOwnership(m, q) }); reason != "" {
		return unavailable(reason)
	}
	if q.route.Repeatable {
		return n.forward(ctx, m, q)
	}
	return n.runOnce(ctx, m, q)
}

// checkUnderLease evaluates a condition on the routing table and returns its result,
// or reasonNotOwner if the lease ends too soon. The end of the lease is read before the
// table: since a heartbeat applies the table before it renews the lease, the condition
// then sees a table at least as new as the lease. In the other order, with a pause of the
// process in between, the condition could see an old table and the check a lease that was
// renewed together with a newer table.
func (n *node) checkUnderLease(m *member, condition func() reasonCode) reasonCode {
	now := n.clock.Now()
	leaseEnd := now + m.lease.Remaining()
	reason := condition()
	if !m.alive() || n.clock.Now()+leaseReserve > leaseEnd {
		return reasonNotOwner
	}
	return reason
}

// checkOwnership returns why a request must not be forwarded to the member's target,
// or an empty reason if it may.
func (n *node) checkOwnership(m *member, q *routedRequest) reasonCode {
	if m.rejecting.Load() {
		return reasonStopping
	}
	if q.partition == "" {
		return n.checkUnkeyedOwnership(m, q)
	}
	p, ok := n.routing.snapshot().PartitionOfHash(q.route.Service, q.key)
	switch {
	case !ok || p.Partition != q.partition || p.Owner != m.incarnation || p.FencingToken != q.fencingToken:
		return reasonNotOwner
	case p.MovingTo != "":
		return reasonMoving
	}
	return ""
}

// checkUnkeyedOwnership is checkOwnership for a service that is not keyed. It rejects
// requests as soon as the member is draining, because any other member can serve them.
func (n *node) checkUnkeyedOwnership(m *member, q *routedRequest) reasonCode {
	snapshot := n.routing.snapshot()
	if registered, _ := snapshot.Member(m.incarnation); registered.Draining || m.draining.Load() {
		return reasonStopping
	}
	s, ok := snapshot.Service(q.route.Service)
	if !ok || s.Keyed || m.target.Service != q.route.Service {
		return reasonNotOwner
	}
	return ""
}

// awaitFencingToken waits until the routing table is at least as new as the grant
// that the ingress node used.
func (n *node) awaitFencingToken(ctx context.Context, q *routedRequest) {
	deadline := n.clock.Now() + min(tableCatchUpTimeout, q.deadline-n.clock.Now())
	for q.partition != "" {
		changed := n.routing.changed()
		p, ok := n.routing.snapshot().PartitionByID(q.partition)
		if ok && p.FencingToken >= q.fencingToken {
			return
		}
		if !n.routing.waitForChange(ctx, changed, deadline-n.clock.Now()) {
			return
		}
	}
}

// closeHookBody calls onClose when the body is closed for the first time.
type closeHookBody struct {
	io.ReadCloser
	onClose func()
	once    sync.Once
}

// Close implements io.Closer.
func (b *closeHookBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}
