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
func (l *leadership) delayOverloadedOwner(ctx context.Context, i message.Instance, until clock.Millis) {
	if !l.shouldDelay(i) {
		return
	}
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.delayedOwners, i.Incarnation)
	}()
	l.waitWhile(ctx, until, func() bool { return !mustReleaseKeys(l.machine.Assignments(i.Service).List, i.Incarnation) })
}

// shouldDelay reports whether a target is the most overloaded one and another target with
// spare capacity is about to send a heartbeat. If so, it adds the target to delayedOwners.
func (l *leadership) shouldDelay(i message.Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	list, loads, targets := l.machine.Assignments(i.Service).List, l.leases.Loads(i.Service), l.targets(i.Service)
	from, ok := keyrange.MostRelievable(list, loads, targets)
	if !ok || from != i.Incarnation || mustReleaseKeys(list, i.Incarnation) {
		return false
	}
	now := l.options.Clock.Now()
	for _, t := range targets {
		if wait, known := l.leases.UntilNextHeartbeat(t.Incarnation, now); !known || wait < 0 || wait > heartbeatWindow {
			continue
		}
		if _, hasCapacity := keyrange.RebalanceTo(list, loads, targets, from, t.Incarnation); hasCapacity {
			l.delayedOwners[i.Incarnation] = true
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
func (l *leadership) heartbeatDueSoon(i message.Incarnation, now clock.Millis) bool {
	wait, ok := l.leases.UntilNextHeartbeat(i, now)
	return ok && wait < heartbeatWindow
}

// awaitIncomingKeys waits until no move of keys to a target is scheduled any more, or until
// the given time. Without it, requests for these keys would wait for the next heartbeat of
// the target.
func (l *leadership) awaitIncomingKeys(ctx context.Context, i message.Instance, until clock.Millis) {
	l.waitWhile(ctx, until, func() bool { return expectsKeys(l.machine.Assignments(i.Service).List, i.Incarnation) })
}

// waitWhile waits while a condition on the state is true, at most until the given time or
// the end of the leadership.
func (l *leadership) waitWhile(ctx context.Context, until clock.Millis, condition func() bool) {
	for {
		changed := l.machine.Changed()
		remaining := until - l.options.Clock.Now()
		if !condition() || remaining <= 0 || ctx.Err() != nil || l.Err() != nil {
			return
		}
		waitCtx, cancel := context.WithTimeout(ctx, remaining.Duration())
		select {
		case <-changed:
		case <-l.Ended():
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
