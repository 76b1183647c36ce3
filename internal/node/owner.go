package node

import (
	"context"
	"io"
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// catchUpWait is how long the owner's side waits for its own table when the
// ingress node knows a later grant.
const tableCatchUpTimeout clock.Millis = 300

// own handles a request on the node that the ingress node chose, which may be
// the same node. The caller must close the body of the reply.
func (n *node) handleAsOwner(ctx context.Context, q *request) *nodeReply {
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

func (n *node) runAsOwner(ctx context.Context, m *member, q *request) *nodeReply {
	n.awaitFencingToken(ctx, q)
	if reason := n.checkUnderLease(m, func() reasonCode { return n.checkOwnership(m, q) }); reason != "" {
		return unavailable(reason)
	}
	if q.route.Repeatable {
		return n.forward(ctx, m, q)
	}
	return n.runOnce(ctx, m, q)
}

// underLease evaluates a condition on the routing table while the lease holds.
// The end of the lease is read first: the table is applied before the lease
// counts as renewed, so the table that the condition reads is at least as new as
// this lease implies. A lease read last could be one that was renewed, together
// with a newer table, while the process was paused in between.
func (n *node) checkUnderLease(m *member, condition func() reasonCode) reasonCode {
	now := n.clock.Now()
	leaseEnd := now + m.lease.Remaining()
	reason := condition()
	if !m.alive() || n.clock.Now()+leaseReserve > leaseEnd {
		return reasonNotOwner
	}
	return reason
}

// owns is the owner's condition for forwarding a request to its target.
func (n *node) checkOwnership(m *member, q *request) reasonCode {
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

// ownsNotKeyed refuses new work for a draining member at once, because any
// other member can take it.
func (n *node) checkUnkeyedOwnership(m *member, q *request) reasonCode {
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

// catchUp waits until the table holds the grant that the ingress node knows.
func (n *node) awaitFencingToken(ctx context.Context, q *request) {
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

// endingBody calls end once, when the body is closed.
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
