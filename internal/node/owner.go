package node

import (
	"context"
	"io"
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// catchUpWait is how long the owner's side waits for its own table when the
// ingress node knows a later grant.
const catchUpWait clock.Millis = 300

// own handles a request on the node that the ingress node chose, which may be
// the same node. The caller must close the body of the reply.
func (n *node) own(ctx context.Context, q *request) *reply {
	m := n.targets.now()
	if m == nil || m.incarnation != q.member {
		return unavailable(reasonNotOwner)
	}
	entry, ok := m.inFlight.enter(q.partition, q.epoch, q.key)
	if !ok {
		return unavailable(reasonMoving)
	}
	q.entry = entry
	p := n.ownEntered(ctx, m, q)
	p.body = &endingBody{ReadCloser: p.body, end: func() { m.inFlight.leave(entry) }}
	return p
}

func (n *node) ownEntered(ctx context.Context, m *member, q *request) *reply {
	n.catchUp(ctx, q)
	if why := n.underLease(m, func() reason { return n.owns(m, q) }); why != "" {
		return unavailable(why)
	}
	if q.route.Repeatable {
		return n.forward(ctx, m, q)
	}
	return n.once(ctx, m, q)
}

// underLease evaluates a condition on the routing table while the lease holds.
// The end of the lease is read first: the table is applied before the lease
// counts as renewed, so the table that the condition reads is at least as new as
// this lease implies. A lease read last could be one that was renewed, together
// with a newer table, while the process was paused in between.
func (n *node) underLease(m *member, condition func() reason) reason {
	now := n.clock.Now()
	until := now + m.lease.Remaining()
	why := condition()
	if !m.alive() || n.clock.Now()+leaseReserve > until {
		return reasonNotOwner
	}
	return why
}

// owns is the owner's condition for forwarding a request to its target.
func (n *node) owns(m *member, q *request) reason {
	if m.refusing.Load() {
		return reasonStopping
	}
	if q.partition == "" {
		return n.ownsNotKeyed(m, q)
	}
	p, ok := n.routing.snapshot().PartitionOfHash(q.route.Service, q.key)
	switch {
	case !ok || p.Partition != q.partition || p.Owner != m.incarnation || p.FencingToken != q.epoch:
		return reasonNotOwner
	case p.MovingTo != "":
		return reasonMoving
	}
	return ""
}

// ownsNotKeyed refuses new work for a draining member at once, because any
// other member can take it.
func (n *node) ownsNotKeyed(m *member, q *request) reason {
	snapshot := n.routing.snapshot()
	if known, _ := snapshot.Member(m.incarnation); known.Draining || m.draining.Load() {
		return reasonStopping
	}
	s, ok := snapshot.Service(q.route.Service)
	if !ok || s.Keyed || m.target.Service != q.route.Service {
		return reasonNotOwner
	}
	return ""
}

// catchUp waits until the table holds the grant that the ingress node knows.
func (n *node) catchUp(ctx context.Context, q *request) {
	end := n.clock.Now() + min(catchUpWait, q.deadline-n.clock.Now())
	for q.partition != "" {
		changed := n.routing.changed()
		p, ok := n.routing.snapshot().PartitionByID(q.partition)
		if ok && p.FencingToken >= q.epoch {
			return
		}
		if !n.routing.wait(ctx, changed, end-n.clock.Now()) {
			return
		}
	}
}

// endingBody calls end once, when the body is closed.
type endingBody struct {
	io.ReadCloser
	end  func()
	once sync.Once
}

// Close implements io.Closer.
func (b *endingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}
