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
	moveWait clock.Millis = 500
	// ownerWait is how long a request waits for an owner after a loss; a key is
	// served again within 2 s.
	ownerWait clock.Millis = 2000
	// maxWaiting bounds the requests that wait at one ingress node.
	maxWaiting = 1024
	// maxAttempts bounds the attempts of one request, whatever the reason.
	maxAttempts = 16
)

// attempts sends a request until it has a final reply. A second attempt follows
// only where the request provably did not run, or where it may run again and no
// byte has reached the caller.
func (n *node) attempts(ctx context.Context, q *request) *reply {
	n.budget.Deposit()
	if q.keyed {
		n.hotKeys.observe(q.route.Service, q.key)
	}
	tried := make(map[wire.Incarnation]bool)
	until := min(n.clock.Now()+ownerWait, q.deadline)
	mayHaveRun := false
	for q.attempt = 1; ; q.attempt++ {
		m, p := n.place(ctx, q, tried)
		if p != nil {
			return truthful(p, mayHaveRun)
		}
		sent := n.clock.Now()
		p = n.send(ctx, q, m)
		until = min(extended(until, n.clock.Now()-sent, p.reason), q.deadline)
		if !n.again(ctx, q, p, until) {
			return truthful(p, mayHaveRun)
		}
		p.close()
		mayHaveRun = mayHaveRun || !p.notRun()
		n.metrics.retries.Inc()
		tried[m.Incarnation] = true
	}
}

// truthful turns the refusal of a late attempt into an unknown outcome when an
// earlier attempt of the same request may have run.
func truthful(p *reply, mayHaveRun bool) *reply {
	if !mayHaveRun || !p.notRun() {
		return p
	}
	p.close()
	return unknown(http.StatusBadGateway, reasonNoResponse)
}

// again decides whether another attempt follows, and waits until it is due.
func (n *node) again(ctx context.Context, q *request, p *reply, until clock.Millis) bool {
	if p.reason == "" || !q.body.whole() || q.attempt >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if corrects(p.reason) && p.notRun() {
		return n.awaitCorrection(ctx, q, until)
	}
	if !mayRepeat(q, p) || !n.budget.Withdraw() {
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
func mayRepeat(q *request, p *reply) bool {
	if p.notRun() {
		return loaded(q, p.reason)
	}
	if p.outcome != wire.OutcomeUnknown {
		return false
	}
	// A request that must not repeat has an idempotency key: when only the
	// connection to the owning node failed, another attempt finds out what
	// became of the first, and cannot run it again.
	return q.route.Repeatable || p.lostHop
}

// loaded reports whether a refusal may pass. Another target may be faster, but
// the owner of a key will not be.
func loaded(q *request, why reason) bool {
	switch why {
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
func corrects(why reason) bool {
	switch why {
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
func extended(until, took clock.Millis, why reason) clock.Millis {
	switch why {
	case reasonMoving, reasonStopping, reasonNotOwner:
		return until + took
	}
	return until
}

// awaitCorrection waits for a change of the table, but not for long: the owner
// may be the one whose table is behind.
func (n *node) awaitCorrection(ctx context.Context, q *request, until clock.Millis) bool {
	left := until - n.clock.Now()
	if left <= 0 {
		return false
	}
	if !q.keyed {
		// Another member is chosen, the first time at once.
		return q.attempt == 1 || n.clock.Sleep(ctx, min(left, n.backoff.Delay(q.attempt))) == nil
	}
	changed := n.routing.changed()
	if p, ok := n.routing.snapshot().PartitionOfHash(q.route.Service, q.key); ok && p.FencingToken != q.epoch {
		return true // the table has changed already
	}
	n.routing.wait(ctx, changed, min(left, correctionPause(q.attempt)))
	return ctx.Err() == nil
}

// correctionPause grows from 10 ms so that maxAttempts cover ownerWait.
func correctionPause(attempt int) clock.Millis {
	return min(clock.Millis(10*attempt*attempt), 300)
}

// place chooses the member that gets the request.
func (n *node) place(ctx context.Context, q *request, tried map[wire.Incarnation]bool) (wire.Member, *reply) {
	if q.keyed {
		return n.placeKeyed(ctx, q)
	}
	return n.placeAny(ctx, q, tried)
}

// placeKeyed waits for the key's owner, in a bounded queue.
func (n *node) placeKeyed(ctx context.Context, q *request) (wire.Member, *reply) {
	began := n.clock.Now()
	for {
		changed := n.routing.changed()
		s := n.routing.snapshot()
		p, ok := s.PartitionOfHash(q.route.Service, q.key)
		m, live := s.Member(p.Owner)
		if ok && live && p.MovingTo == "" {
			q.member, q.partition, q.epoch = m.Incarnation, p.Partition, p.FencingToken
			return m, nil
		}
		wait, why := ownerWait, reasonNoOwner
		if live {
			wait, why = moveWait, reasonMoving
		}
		if refusal := n.queue(ctx, changed, min(began+wait, q.deadline), why); refusal != nil {
			return wire.Member{}, refusal
		}
	}
}

// placeAny chooses among the members of a service that is not keyed.
func (n *node) placeAny(ctx context.Context, q *request, tried map[wire.Incarnation]bool) (wire.Member, *reply) {
	began := n.clock.Now()
	for {
		changed := n.routing.changed()
		if m, ok := n.pick(q, tried); ok {
			q.member = m.Incarnation
			return m, nil
		}
		if len(tried) > 0 {
			clear(tried) // all members have been tried; the pause of again applies
			if m, ok := n.pick(q, tried); ok && q.attempt <= maxAttempts/2 {
				q.member = m.Incarnation
				return m, nil
			}
			return wire.Member{}, unavailable(reasonNoOwner)
		}
		if refusal := n.queue(ctx, changed, min(began+ownerWait, q.deadline), reasonNoOwner); refusal != nil {
			return wire.Member{}, refusal
		}
	}
}

func (n *node) pick(q *request, tried map[wire.Incarnation]bool) (wire.Member, bool) {
	s := n.routing.snapshot()
	id, ok := n.pickers.of(q.route.Service, s).Pick(func(id string) bool {
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
func (n *node) queue(ctx context.Context, changed <-chan struct{}, until clock.Millis, why reason) *reply {
	if n.waiting.Add(1) > maxWaiting {
		n.waiting.Add(-1)
		return unavailable(reasonQueueFull)
	}
	defer n.waiting.Add(-1)
	if n.routing.wait(ctx, changed, until-n.clock.Now()) {
		return nil
	}
	return unavailable(why)
}
