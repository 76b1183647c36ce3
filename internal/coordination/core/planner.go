package core

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// runPlanner removes lost targets and schedules overdue moves, periodically and only while
// this replica leads.
func (c *Core) runPlanner(ctx context.Context) error {
	for c.awaitPlan(ctx) == nil {
		if l, err := c.lead(); err == nil {
			l.plan(ctx)
		}
	}
	return nil
}

// plan makes the changes that are due now.
func (l *leadership) plan(ctx context.Context) {
	l.observeEvacuations()
	for _, i := range l.machine.Instances() {
		if err := l.expireIfLost(ctx, i); err != nil {
			l.log.Warn().Err(err).Str("Event", "expiry-failed").Str("Target", string(i.Incarnation.ID)).Msg("cannot remove lost target")
		}
	}
	if err := l.vacateOverdue(ctx); err != nil {
		l.log.Warn().Err(err).Str("Event", "vacate-failed").Msg("cannot move keys of leaving target")
	}
	for _, spec := range l.machine.Services() {
		if !l.grantsByCall(spec.Name) {
			continue
		}
		if err := l.planByCall(ctx, spec.Name); err != nil {
			l.log.Warn().Err(err).Str("Event", "plan-failed").Str("Service", string(spec.Name)).Msg("cannot change key assignments")
		}
	}
}

// awaitPlan waits for planInterval, or until wakePlanner is called.
func (c *Core) awaitPlan(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, planInterval.Duration())
	defer cancel()
	select {
	case <-c.planNow:
	case <-waitCtx.Done():
	}
	return ctx.Err()
}

// wakePlanner makes the planner run without delay.
func (c *Core) wakePlanner() {
	select {
	case c.planNow <- struct{}{}:
	default:
	}
}

// expireIfLost removes a target that owns keys, or is about to get some, and whose lease
// has expired. A target without keys stays registered for longer, because sidecars can
// tell better than the core whether it responds.
func (l *leadership) expireIfLost(ctx context.Context, i message.Instance) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	hasKeys := false
	for _, a := range l.machine.Assignments(i.Service).List {
		hasKeys = hasKeys || a.Owner == i.Incarnation || a.NextOwner == i.Incarnation
	}
	sinceHeartbeat, lost := l.beginExpiryIfLost(i, hasKeys)
	if !lost {
		return nil
	}
	l.log.Info().Str("Event", "target-expired").Str("Service", string(i.Service)).Str("Target", string(i.Incarnation.ID)).Int64("SilentMillis", int64(sinceHeartbeat)).Bool("HeldKeys", hasKeys).Msg("removing target that sends no heartbeats")
	l.metrics.keyDecisions.WithLabelValues("expired").Inc()
	return l.expire(ctx, i.Incarnation)
}

// beginExpiryIfLost reports whether a target is lost and for how long it has been silent. If it is
// lost, it gets no lease from now on.
func (l *leadership) beginExpiryIfLost(i message.Instance, hasKeys bool) (sinceHeartbeat clock.Millis, lost bool) {
	l.leaseMu.Lock()
	defer l.leaseMu.Unlock()
	now := l.options.Clock.Now()
	sinceHeartbeat = l.leases.SinceLastHeartbeat(i.Incarnation, now)
	lost = l.expiring[i.Incarnation] != nil || sinceHeartbeat >= deregisterAfter || hasKeys && l.leases.Expired(i.Incarnation, now, l.leaseDuration(i.Service))
	if lost {
		l.beginExpiry(i.Incarnation)
	}
	return sinceHeartbeat, lost
}

// expire removes a target. If the outcome is not known, the removal may still be committed.
// The target then gets no lease until a later command was applied: commands are applied in
// the order in which they were proposed. The caller must hold l.mu.
func (l *leadership) expire(ctx context.Context, i message.Incarnation) error {
	l.leaseMu.Lock()
	e := l.beginExpiry(i)
	l.leaseMu.Unlock()
	_, err := l.propose(ctx, message.Command{Expire: &i})
	if err == nil {
		l.endExpiry(i, e)
		return nil
	}
	l.leaseMu.Lock()
	defer l.leaseMu.Unlock()
	e.unknown = true
	return err
}

// beginExpiry records that a removal of a target is about to be proposed. The caller must hold
// l.leaseMu.
func (l *leadership) beginExpiry(i message.Incarnation) *expiry {
	e := &expiry{}
	l.expiring[i] = e
	return e
}

// unknownExpiry returns the last removal of a target if its proposal has ended without a known
// outcome, or nil. Only then is a command that is proposed from now on applied after it.
func (l *leadership) unknownExpiry(i message.Incarnation) *expiry {
	l.leaseMu.Lock()
	defer l.leaseMu.Unlock()
	if e := l.expiring[i]; e != nil && e.unknown {
		return e
	}
	return nil
}

// endExpiry records that a removal of a target, or a command that was proposed after it, was
// applied. It does nothing if another removal has begun since.
func (l *leadership) endExpiry(i message.Incarnation, e *expiry) {
	l.leaseMu.Lock()
	defer l.leaseMu.Unlock()
	if l.expiring[i] == e {
		delete(l.expiring, i)
	}
}

func errExpiring() error {
	return &rpc.Error{Code: rpc.CodeUnavailable, Message: "the target is being removed because its lease has expired"}
}

// vacateOverdue schedules moves of the remaining keys of targets that have been leaving
// for maxVacateDelay, without regard to heartbeats.
func (l *leadership) vacateOverdue(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	for incarnation, since := range l.leavingSince {
		i, ok := l.machine.Instance(incarnation.ID)
		if !ok || i.Incarnation != incarnation {
			delete(l.leavingSince, incarnation)
			continue
		}
		if now-since < maxVacateDelay {
			continue
		}
		current := l.machine.Assignments(i.Service)
		list, scheduled := keyrange.Vacate(current.List, l.leases.Loads(i.Service), l.targets(i.Service), incarnation)
		if !scheduled {
			continue
		}
		if err := l.commitAssignments(ctx, i.Service, current, registry.ChangedAssignments(current.List, list)); err != nil {
			return err
		}
	}
	return nil
}
