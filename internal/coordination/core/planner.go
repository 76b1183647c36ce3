package core

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
)

// plan looks for leases that have ended and for moves that cannot wait.
func (c *Core) plan(ctx context.Context) error {
	for c.o.Clock.Sleep(ctx, planEvery) == nil {
		if !c.leads() {
			c.mu.Lock()
			c.reset()
			c.mu.Unlock()
			continue
		}
		for _, i := range c.machine.Instances() {
			if err := c.expire(ctx, i); err != nil {
				c.log.Warn().Err(err).Str("Event", "expiry-failed").Str("Target", string(i.Incarnation.ID)).Msg("lost target stays registered")
			}
		}
		if err := c.vacateLate(ctx); err != nil {
			c.log.Warn().Err(err).Str("Event", "vacate-failed").Msg("keys of a leaving target stay")
		}
	}
	return nil
}

// expire removes a target whose lease has ended without a renewal. One that holds
// no keys is kept for longer: the sidecars see better than the core whether it
// answers.
func (c *Core) expire(ctx context.Context, i message.Instance) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	silent := c.book.SinceLastHeartbeat(i.Incarnation, now)
	holds := false
	for _, r := range c.machine.Assignments(i.Service).List {
		holds = holds || r.Owner == i.Incarnation || r.NextOwner == i.Incarnation
	}
	if silent < forgetAfter && !(holds && c.book.Expired(i.Incarnation, now)) {
		return nil
	}
	c.log.Info().Str("Event", "target-expired").Str("Service", string(i.Service)).Str("Target", string(i.Incarnation.ID)).Int64("SilentMillis", int64(silent)).Bool("HeldKeys", holds).Msg("target has no lease any more")
	c.metrics.keys.WithLabelValues("expired").Inc()
	l := i.Incarnation
	_, err := c.propose(ctx, message.Command{Expire: &l})
	return err
}

// vacateLate moves the keys of leaving targets that did not find a good moment.
func (c *Core) vacateLate(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	for l, since := range c.leaving {
		i, ok := c.machine.Instance(l.ID)
		if !ok || i.Incarnation != l {
			delete(c.leaving, l)
			continue
		}
		if now-since < vacateUnaligned {
			continue
		}
		rows := c.machine.Assignments(i.Service)
		list, marked := keyrange.Vacate(rows.List, c.book.Loads(i.Service), c.servers(i.Service), l)
		if !marked {
			continue
		}
		if err := c.setRows(ctx, i.Service, rows, registry.ChangedAssignments(rows.List, list)); err != nil {
			return err
		}
	}
	return nil
}
