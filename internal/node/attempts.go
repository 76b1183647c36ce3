package node

import (
	"context"
	"net/http"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// moveTimeout is how long a request waits for the new owner while its partition
	// is being moved.
	moveTimeout clock.Millis = 500
	// ownerTimeout is how long a request waits for an owner after the previous one
	// was lost. Keys are to be served again within 2 s.
	ownerTimeout clock.Millis = 2000
	// maxWaitingRequests is the maximum number of requests that wait for a change of
	// the routing table at one ingress node.
	maxWaitingRequests = 1024
	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 16
)

// sendWithRetries sends a request and returns the final reply. It retries only a
// request that provably did not run, or one that may run again and of whose response
// no byte has reached the caller.
func (n *node) sendWithRetries(ctx context.Context, q *routedRequest) *nodeReply {
	n.retryBudget.Deposit()
	if q.keyed {
		n.hotKeys.observe(q.route.Service, q.key)
	}
	tried := make(map[wire.Incarnation]bool)
	ownerDeadline := min(n.clock.Now()+ownerTimeout, q.deadline)
	mayHaveRun := false
	for q.attempt = 1; ; q.attempt++ {
		chosen, reply := n.chooseMember(ctx, q, tried)
		if reply != nil {
			return withEarlierAttempts(reply, mayHaveRun)
		}
		start := n.clock.Now()
		reply = n.sendToMember(ctx, q, chosen)
		ownerDeadline = min(extendDeadline(ownerDeadline, n.clock.Now()-start, reply.reason), q.deadline)
		if !n.prepareRetry(ctx, q, reply, ownerDeadline) {
			return withEarlierAttempts(reply, mayHaveRun)
		}
		reply.close()
		mayHaveRun = mayHaveRun || !reply.notRun()
		n.metrics.retries.Inc()
		tried[chosen.Incarnation] = true
	}
}

// withEarlierAttempts returns the reply to the whole request, given the reply to its
// last attempt. If the last attempt did not run but an earlier one may have, the
// outcome is unknown.
func withEarlierAttempts(reply *nodeReply, mayHaveRun bool) *nodeReply {
	if !mayHaveRun || !reply.notRun() {
		return reply
	}
	reply.close()
	return unknownOutcome(http.StatusBadGateway, reasonNoResponse)
}

// prepareRetry reports whether to make another attempt, after waiting for the
// backoff or for a change of the routing table.
func (n *node) prepareRetry(ctx context.Context, q *routedRequest, reply *nodeReply, ownerDeadline clock.Millis) bool {
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

// safeToRetry reports whether another attempt has a chance to succeed and cannot run
// a request twice unless its route is repeatable.
func safeToRetry(q *routedRequest, reply *nodeReply) bool {
	if reply.notRun() {
		return isTransient(q, reply.reason)
	}
	if reply.outcome != wire.OutcomeUnknown {
		return false
	}
	// A request that must run at most once has an idempotency key. If only the
	// connection to the owning node failed, another attempt with the same key
	// returns the result of the first one instead of running the request again.
	return q.route.Repeatable || reply.connectionLost
}

// isTransient reports whether a request that was rejected for this reason may be
// accepted in another attempt. reasonDeadline is transient only for services that are
// not keyed: another target may be faster, but a key has only one owner.
func isTransient(q *routedRequest, reason reasonCode) bool {
	switch reason {
	case reasonOverload, reasonTargetFailed, reasonQueueFull:
		return true
	case reasonDeadline:
		return !q.keyed
	}
	return false
}

// isRoutingRejection reports whether a request was rejected because it was sent to
// the wrong node, or to one that can't serve it now. The next attempt then waits for
// a newer routing table. It does not use the retry budget, because no target has run
// the request.
func isRoutingRejection(reason reasonCode) bool {
	switch reason {
	case reasonNotOwner, reasonMoving, reasonStopping, reasonGrant, reasonUnreachable:
		return true
	}
	return false
}

// extendDeadline extends the deadline for finding an owner by the duration of an
// attempt that the owner's node rejected. Such a request may have waited in the queue
// of a slow target for longer than ownerTimeout before a planned move returned it to
// the ingress node. maxAttempts and the request's deadline bound the extensions. An
// attempt that did not reach the owner extends nothing, because the owner may be lost.
func extendDeadline(deadline, attemptDuration clock.Millis, reason reasonCode) clock.Millis {
	switch reason {
	case reasonMoving, reasonStopping, reasonNotOwner:
		return deadline + attemptDuration
	}
	return deadline
}

// awaitRoutingChange waits before the next attempt after a routing rejection, and
// reports whether to make it. For a keyed service it waits for a change of the table,
// but only for a short time, because the outdated table may be the owner's.
func (n *node) awaitRoutingChange(ctx context.Context, q *routedRequest, ownerDeadline clock.Millis) bool {
	remaining := ownerDeadline - n.clock.Now()
	if remaining <= 0 {
		return false
	}
	if !q.keyed {
		// Another member is chosen. The first retry follows without a delay.
		return q.attempt == 1 || n.clock.Sleep(ctx, min(remaining, n.backoff.Delay(q.attempt))) == nil
	}
	changed := n.routing.changed()
	if p, ok := n.routing.snapshot().PartitionOfHash(q.route.Service, q.key); ok && p.FencingToken != q.fencingToken {
		return true // the table has changed already
	}
	n.routing.waitForChange(ctx, changed, min(remaining, routingRetryDelay(q.attempt)))
	return ctx.Err() == nil
}

// routingRetryDelay grows from 10 ms, so that maxAttempts attempts take at least
// ownerTimeout.
func routingRetryDelay(attempt int) clock.Millis {
	return min(clock.Millis(10*attempt*attempt), 300)
}

// chooseMember chooses the member to send the request to, or returns a rejection.
func (n *node) chooseMember(ctx context.Context, q *routedRequest, tried map[wire.Incarnation]bool) (wire.Member, *nodeReply) {
	if q.keyed {
		return n.chooseOwner(ctx, q)
	}
	return n.chooseAnyMember(ctx, q, tried)
}

// chooseOwner returns the owner of the request's key. While there is none, or the
// partition is being moved, it waits for a change of the table.
func (n *node) chooseOwner(ctx context.Context, q *routedRequest) (wire.Member, *nodeReply) {
	start := n.clock.Now()
	for {
		changed := n.routing.changed()
		snapshot := n.routing.snapshot()
		p, ok := snapshot.PartitionOfHash(q.route.Service, q.key)
		owner, live := snapshot.Member(p.Owner)
		if ok && live && p.MovingTo == "" {
			q.incarnation, q.partition, q.fencingToken = owner.Incarnation, p.Partition, p.FencingToken
			return owner, nil
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

// chooseAnyMember returns a member of a service that is not keyed.
func (n *node) chooseAnyMember(ctx context.Context, q *routedRequest, tried map[wire.Incarnation]bool) (wire.Member, *nodeReply) {
	start := n.clock.Now()
	for {
		changed := n.routing.changed()
		if chosen, ok := n.pickMember(q, tried); ok {
			q.incarnation = chosen.Incarnation
			return chosen, nil
		}
		if len(tried) > 0 {
			clear(tried) // all members have been tried; prepareRetry delays the next round
			if chosen, ok := n.pickMember(q, tried); ok && q.attempt <= maxAttempts/2 {
				q.incarnation = chosen.Incarnation
				return chosen, nil
			}
			return wire.Member{}, unavailable(reasonNoOwner)
		}
		if rejection := n.awaitTableChange(ctx, changed, min(start+ownerTimeout, q.deadline), reasonNoOwner); rejection != nil {
			return wire.Member{}, rejection
		}
	}
}

func (n *node) pickMember(q *routedRequest, tried map[wire.Incarnation]bool) (wire.Member, bool) {
	snapshot := n.routing.snapshot()
	id, ok := n.pickers.forService(q.route.Service, snapshot).Pick(func(id string) bool {
		m, live := snapshot.Member(wire.Incarnation(id))
		return !live || m.Draining || tried[wire.Incarnation(id)]
	})
	if !ok {
		return wire.Member{}, false
	}
	return snapshot.Member(wire.Incarnation(id))
}

// awaitTableChange waits for a change of the routing table. It returns a rejection
// if too many requests are waiting already, or at the deadline.
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
