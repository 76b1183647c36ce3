package node

import (
	"context"
	"net/http"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// moveWait is how long a request waits for the new owner of a moving
	// partition.
	moveTimeout clock.Millis = 500
	// ownerWait is how long a request waits for an owner after a loss; a key is
	// served again within 2 s.
	ownerTimeout clock.Millis = 2000
	// maxWaiting bounds the requests that wait at one ingress node.
	maxWaitingRequests = 1024
	// maxAttempts bounds the attempts of one request, whatever the reason.
	maxAttempts = 16
)

// attempts sends a request until it has a final reply. A second attempt follows
// only where the request provably did not run, or where it may run again and no
// byte has reached the caller.
func (n *node) sendWithRetries(ctx context.Context, q *request) *nodeReply {
	n.retryBudget.Deposit()
	if q.keyed {
		n.hotKeys.observe(q.route.Service, q.key)
	}
	tried := make(map[wire.Incarnation]bool)
	ownerDeadline := min(n.clock.Now()+ownerTimeout, q.deadline)
	mayHaveRun := false
	for q.attempt = 1; ; q.attempt++ {
		m, reply := n.chooseMember(ctx, q, tried)
		if reply != nil {
			return withEarlierAttempts(reply, mayHaveRun)
		}
		start := n.clock.Now()
		reply = n.sendToMember(ctx, q, m)
		ownerDeadline = min(extendDeadline(ownerDeadline, n.clock.Now()-start, reply.reason), q.deadline)
		if !n.prepareRetry(ctx, q, reply, ownerDeadline) {
			return withEarlierAttempts(reply, mayHaveRun)
		}
		reply.close()
		mayHaveRun = mayHaveRun || !reply.notRun()
		n.metrics.retries.Inc()
		tried[m.Incarnation] = true
	}
}

// truthful turns the refusal of a late attempt into an unknown outcome when an
// earlier attempt of the same request may have run.
func withEarlierAttempts(reply *nodeReply, mayHaveRun bool) *nodeReply {
	if !mayHaveRun || !reply.notRun() {
		return reply
	}
	reply.close()
	return unknownOutcome(http.StatusBadGateway, reasonNoResponse)
}

// again decides whether another attempt follows, and waits until it is due.
func (n *node) prepareRetry(ctx context.Context, q *request, reply *nodeReply, ownerDeadline clock.Millis) bool {
	if reply.reason == "" || !q.body.buffered() || q.attempt >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if isRoutingRejection(reply.reason) && reply.notRun() {
		return n.awaitRoutingChange(ctx, q, ownerDeadline)
	}
	if !safeToRetry(q, reply) || !n.retryBudget.Withdraw() {
		return false
	}
	delay := n.backoff.Delay(q.attempt)
	if n.clock.Now()+delay >= q.deadline {
		return false
	}
	return n.clock.Sleep(ctx, delay) == nil
}

// mayRepeat reports whether another attempt cannot make a request run twice
// against its route's will.
func safeToRetry(q *request, reply *nodeReply) bool {
	if reply.notRun() {
		return isTransient(q, reply.reason)
	}
	if reply.outcome != wire.OutcomeUnknown {
		return false
	}
	// A request that must not repeat has an idempotency key: when only the
	// connection to the owning node failed, another attempt finds out what
	// became of the first, and cannot run it again.
	return q.route.Repeatable || reply.connectionLost
}

// loaded reports whether a refusal may pass. Another target may be faster, but
// the owner of a key will not be.
func isTransient(q *request, reason reasonCode) bool {
	switch reason {
	case reasonOverload, reasonTargetFailed, reasonQueueFull:
		return true
	case reasonDeadline:
		return !q.keyed
	}
	return false
}

// corrects reports whether a refusal is about the choice of the owner, so that
// the next attempt goes by a newer table. Such attempts do not count against
// the retry budget: no target saw the request.
func isRoutingRejection(reason reasonCode) bool {
	switch reason {
	case reasonNotOwner, reasonMoving, reasonStopping, reasonGrant, reasonUnreachable:
		return true
	}
	return false
}

// extended moves the end of the wait for an owner by the time that an attempt
// took, when the owner's side refused it late: a request may wait longer than
// ownerWait in the queue of a slow target before a planned move hands it back.
// Together with maxAttempts and the deadline this bounds how often that happens.
// An attempt that did not reach the owner counts, because its owner may be lost.
func extendDeadline(deadline, attemptDuration clock.Millis, reason reasonCode) clock.Millis {
	switch reason {
	case reasonMoving, reasonStopping, reasonNotOwner:
		return deadline + attemptDuration
	}
	return deadline
}

// awaitCorrection waits for a change of the table, but not for long: the owner
// may be the one whose table is behind.
func (n *node) awaitRoutingChange(ctx context.Context, q *request, ownerDeadline clock.Millis) bool {
	remaining := ownerDeadline - n.clock.Now()
	if remaining <= 0 {
		return false
	}
	if !q.keyed {
		// Another member is chosen, the first time at once.
		return q.attempt == 1 || n.clock.Sleep(ctx, min(remaining, n.backoff.Delay(q.attempt))) == nil
	}
	changed := n.routing.changed()
	if p, ok := n.routing.snapshot().PartitionOfHash(q.route.Service, q.key); ok && p.FencingToken != q.fencingToken {
		return true // the table has changed already
	}
	n.routing.waitForChange(ctx, changed, min(remaining, routingRetryDelay(q.attempt)))
	return ctx.Err() == nil
}

// correctionPause grows from 10 ms so that maxAttempts cover ownerWait.
func routingRetryDelay(attempt int) clock.Millis {
	return min(clock.Millis(10*attempt*attempt), 300)
}

// place chooses the member that gets the request.
func (n *node) chooseMember(ctx context.Context, q *request, tried map[wire.Incarnation]bool) (wire.Member, *nodeReply) {
	if q.keyed {
		return n.chooseOwner(ctx, q)
	}
	return n.chooseAnyMember(ctx, q, tried)
}

// placeKeyed waits for the key's owner, in a bounded queue.
func (n *node) chooseOwner(ctx context.Context, q *request) (wire.Member, *nodeReply) {
	start := n.clock.Now()
	for {
		changed := n.routing.changed()
		s := n.routing.snapshot()
		p, ok := s.PartitionOfHash(q.route.Service, q.key)
		m, live := s.Member(p.Owner)
		if ok && live && p.MovingTo == "" {
			q.incarnation, q.partition, q.fencingToken = m.Incarnation, p.Partition, p.FencingToken
			return m, nil
		}
		timeout, reason := ownerTimeout, reasonNoOwner
		if live {
			timeout, reason = moveTimeout, reasonMoving
		}
		if rejection := n.awaitTableChange(ctx, changed, min(start+timeout, q.deadline), reason); rejection != nil {
			return wire.Member{}, rejection
		}
	}
}

// placeAny chooses among the members of a service that is not keyed.
func (n *node) chooseAnyMember(ctx context.Context, q *request, tried map[wire.Incarnation]bool) (wire.Member, *nodeReply) {
	start := n.clock.Now()
	for {
		changed := n.routing.changed()
		if m, ok := n.pickMember(q, tried); ok {
			q.incarnation = m.Incarnation
			return m, nil
		}
		if len(tried) > 0 {
			clear(tried) // all members have been tried; the pause of again applies
			if m, ok := n.pickMember(q, tried); ok && q.attempt <= maxAttempts/2 {
				q.incarnation = m.Incarnation
				return m, nil
			}
			return wire.Member{}, unavailable(reasonNoOwner)
		}
		if rejection := n.awaitTableChange(ctx, changed, min(start+ownerTimeout, q.deadline), reasonNoOwner); rejection != nil {
			return wire.Member{}, rejection
		}
	}
}

func (n *node) pickMember(q *request, tried map[wire.Incarnation]bool) (wire.Member, bool) {
	s := n.routing.snapshot()
	id, ok := n.pickers.forService(q.route.Service, s).Pick(func(id string) bool {
		m, live := s.Member(wire.Incarnation(id))
		return !live || m.Draining || tried[wire.Incarnation(id)]
	})
	if !ok {
		return wire.Member{}, false
	}
	return s.Member(wire.Incarnation(id))
}

// queue waits for a change of the table. It returns a refusal when the queue is
// full or the time is over.
func (n *node) awaitTableChange(ctx context.Context, changed <-chan struct{}, deadline clock.Millis, reason reasonCode) *nodeReply {
	if n.waitingRequests.Add(1) > maxWaitingRequests {
		n.waitingRequests.Add(-1)
		return unavailable(reasonQueueFull)
	}
	defer n.waitingRequests.Add(-1)
	if n.routing.waitForChange(ctx, changed, deadline-n.clock.Now()) {
		return nil
	}
	return unavailable(reason)
}
