package core

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// parkHolder holds back the answer to an overloaded target while another one that has
// room is about to check in: the answer lets the former release keys, and then the
// latter is waiting for them.
func (c *Core) parkHolder(ctx context.Context, i message.Instance, until clock.Millis) {
	if !c.shouldWait(i) {
		return
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.parked, i.Incarnation)
	}()
	c.waitWhile(ctx, until, func() bool { return !releases(c.machine.Assignments(i.Service).List, i.Incarnation) })
}

// shouldWait notes a target as parked if it is the overloaded one and another that
// has room checks in soon.
func (c *Core) shouldWait(i message.Instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows, loads, servers := c.machine.Assignments(i.Service).List, c.book.Loads(i.Service), c.servers(i.Service)
	from, ok := keyrange.MostOverloaded(rows, loads, servers)
	if !ok || from != i.Incarnation || releases(rows, i.Incarnation) {
		return false
	}
	now := c.o.Clock.Now()
	for _, s := range servers {
		if in, known := c.book.UntilNextHeartbeat(s.Incarnation, now); !known || in < 0 || in > handOverWindow {
			continue
		}
		if _, room := keyrange.RebalanceTo(rows, loads, servers, from, s.Incarnation); room {
			c.parked[i.Incarnation] = true
			return true
		}
	}
	return false
}

func releases(list []message.Assignment, l message.Incarnation) bool {
	for _, r := range list {
		if r.Owner == l && r.NextOwner.ID != "" {
			return true
		}
	}
	return false
}

func (c *Core) soon(l message.Incarnation, now clock.Millis) bool {
	in, ok := c.book.UntilNextHeartbeat(l, now)
	return ok && in < handOverWindow
}

// park waits until no keys are on their way to a target, or until a time: their
// callers would otherwise wait for its next check-in.
func (c *Core) park(ctx context.Context, i message.Instance, until clock.Millis) {
	c.waitWhile(ctx, until, func() bool { return expects(c.machine.Assignments(i.Service).List, i.Incarnation) })
}

// waitWhile waits until a condition on the state ends, or until a time.
func (c *Core) waitWhile(ctx context.Context, until clock.Millis, holds func() bool) {
	for {
		changed := c.machine.Changed()
		left := until - c.o.Clock.Now()
		if !holds() || left <= 0 || ctx.Err() != nil {
			return
		}
		timed, cancel := context.WithTimeout(ctx, left.Duration())
		select {
		case <-changed:
		case <-timed.Done():
		}
		cancel()
	}
}

func expects(list []message.Assignment, l message.Incarnation) bool {
	for _, r := range list {
		if r.NextOwner == l {
			return true
		}
	}
	return false
}
