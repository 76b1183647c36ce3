package core

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// delayOverloadedOwner delays the response to an overloaded target until the heartbeat of
// a target with spare capacity has scheduled a move of keys between them, or until the
// given time. The response then makes the overloaded target release these keys, and the
// next owner, whose heartbeat is still waiting for its response, gets them at once.
func (c *Core) delayOverloadedOwner(ctx context.Context, i message.Instance, until clock.Millis) {
	if !c.shouldDelay(i) {
		return
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.delayedOwners, i.Incarnation)
	}()
	c.waitWhile(ctx, until, func() bool { return !mustReleaseKeys(c.machine.Assignments(i.Service).List, i.Incarnation) })
}

// shouldDelay reports whether a target is the most overloaded one and another target with
// spare capacity is about to send a heartbeat. If so, it adds the target to delayedOwners.
func (c *Core) shouldDelay(i message.Instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	list, loads, targets := c.machine.Assignments(i.Service).List, c.leases.Loads(i.Service), c.targets(i.Service)
	from, ok := keyrange.MostOverloaded(list, loads, targets)
	if !ok || from != i.Incarnation || mustReleaseKeys(list, i.Incarnation) {
		return false
	}
	now := c.options.Clock.Now()
	for _, t := range targets {
		if wait, known := c.leases.UntilNextHeartbeat(t.Incarnation, now); !known || wait < 0 || wait > heartbeatWindow {
			continue
		}
		if _, hasCapacity := keyrange.RebalanceTo(list, loads, targets, from, t.Incarnation); hasCapacity {
			c.delayedOwners[i.Incarnation] = true
			return true
		}
	}
	return false
}

// mustReleaseKeys reports whether a move of keys of an owner is scheduled.
func mustReleaseKeys(list []message.Assignment, owner message.Incarnation) bool {
	for _, a := range list {
		if a.Owner == owner && a.NextOwner.ID != "" {
			return true
		}
	}
	return false
}

// heartbeatDueSoon reports whether the next heartbeat of a target is expected within
// heartbeatWindow, or is overdue.
func (c *Core) heartbeatDueSoon(i message.Incarnation, now clock.Millis) bool {
	wait, ok := c.leases.UntilNextHeartbeat(i, now)
	return ok && wait < heartbeatWindow
}

// awaitIncomingKeys waits until no move of keys to a target is scheduled any more, or until
// the given time. Without it, requests for these keys would wait for the next heartbeat of
// the target.
func (c *Core) awaitIncomingKeys(ctx context.Context, i message.Instance, until clock.Millis) {
	c.waitWhile(ctx, until, func() bool { return expectsKeys(c.machine.Assignments(i.Service).List, i.Incarnation) })
}

// waitWhile waits while a condition on the state is true, at most until the given time.
func (c *Core) waitWhile(ctx context.Context, until clock.Millis, condition func() bool) {
	for {
		changed := c.machine.Changed()
		remaining := until - c.options.Clock.Now()
		if !condition() || remaining <= 0 || ctx.Err() != nil {
			return
		}
		waitCtx, cancel := context.WithTimeout(ctx, remaining.Duration())
		select {
		case <-changed:
		case <-waitCtx.Done():
		}
		cancel()
	}
}

// expectsKeys reports whether a move of keys to a target is scheduled.
func expectsKeys(list []message.Assignment, target message.Incarnation) bool {
	for _, a := range list {
		if a.NextOwner == target {
			return true
		}
	}
	return false
}
