package node

import (
	"context"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// newWorkBound is when a leaving target gets no more new work; the promise is
// 3 s.
const newWorkBound clock.Millis = 2500

// downWait bounds how long a planned stop waits until its end is recorded.
const downWait clock.Millis = 3000

// drain ends an incarnation as planned: its partitions are moved away, new work
// ends within newWorkBound, requests in flight are finished, and the control
// group is told.
func (n *node) drain(ctx context.Context, m *member, why string) {
	if m.draining.CompareAndSwap(false, true) {
		n.log.Info().Str("Incarnation", string(m.incarnation)).Str("Reason", why).Msg("target drains")
		n.handBack(m)
		n.hurry()
	}
	n.awaitMoves(ctx, m)
	n.refuse(m)
	n.awaitIdle(ctx, m)
	n.targets.end(m, ending{why: why})
	// Without the control group the lease runs out by itself.
	timed, cancel := context.WithTimeout(ctx, downWait.Duration())
	defer cancel()
	select {
	case <-m.verdict:
	case <-timed.Done():
	}
}

// refuse ends new work: waiting requests are handed back, and the partitions that
// have not been moved yet are released.
func (n *node) refuse(m *member) {
	m.refusing.Store(true)
	n.handBack(m)
	m.grants.rouse()
}

// awaitMoves waits until the member owns nothing, or newWorkBound has passed.
func (n *node) awaitMoves(ctx context.Context, m *member) {
	end := n.clock.Now() + newWorkBound
	for m.alive() {
		changed := n.routing.changed()
		if len(n.routing.snapshot().Owned(m.incarnation)) == 0 {
			return
		}
		left := end - n.clock.Now()
		if left <= 0 || (!n.routing.wait(ctx, changed, left) && ctx.Err() != nil) {
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
func (n *node) followDrain(ctx context.Context, m *member) error {
	for {
		changed := n.routing.changed()
		known, _ := n.routing.snapshot().Member(m.incarnation)
		switch {
		case known.Draining && !m.refusing.Load():
			n.awaitMoves(ctx, m)
			n.refuse(m)
		case !known.Draining && !m.draining.Load():
			m.refusing.Store(false)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
