package core

import (
	"context"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// ErrTooFew means that the group could not bear the stated loss yet, so that an
// acknowledgement would promise too much.
var ErrTooFewReplicas = merry.Sentinel("too few replicas to bear the stated loss")

// patience is how long a leader that has no configuration yet waits for the rest
// of the group. A host of the core may never start.
const patience clock.Millis = 6000

// Change accepts or refuses an operator's change. After an error it may or may not
// take effect.
func (c *Core) ApplyChange(ctx context.Context, change message.ConfigurationChange) (registry.Outcome, error) {
	if err := c.requireLeader(); err != nil {
		return registry.Outcome{}, err
	}
	if c.machine.Configuration().Revision.Version == 0 && c.tooFew() {
		return registry.Outcome{}, merry.Wrap(ErrTooFewReplicas)
	}
	out, err := c.propose(ctx, message.Command{Change: &change})
	c.metrics.changes.WithLabelValues(outcomeName(out, err)).Inc()
	c.log.Info().Err(err).Str("Event", "change").Int("Version", change.Version).Int("Base", change.BaseVersion).Str("Digest", change.Digest).
		Int("Status", int(out.Status)).Str("Reason", out.Reason).Msg("operator's change")
	return out, err
}

func (c *Core) tooFew() bool {
	return c.TolerableLosses() < c.o.Settings.TolerateHosts && c.o.Clock.Now()-c.book.TermStart() < patience
}

// CanLose returns how many replicas the group could lose at once and keep a majority
// that holds all; -1 on a replica that does not lead.
func (c *Core) TolerableLosses() int {
	s, ok := c.quorum.Status()
	if !ok || s.Role != replog.Leader {
		return -1
	}
	caughtUp := 0
	for _, m := range s.Voters {
		if m.CaughtUp {
			caughtUp++
		}
	}
	return caughtUp - (len(s.Voters)/2 + 1)
}

// Votes reports whether this replica is a voter of the group as far as it knows.
func (c *Core) IsVoter() bool { return c.quorum.IsVoter() }

// Read returns the newest configuration; an error means that this replica cannot
// be sure which one that is.
func (c *Core) ReadConfiguration(ctx context.Context) (registry.Configuration, error) {
	if err := c.requireLeader(); err != nil {
		return registry.Configuration{}, err
	}
	if err := c.quorum.Confirm(ctx); err != nil {
		return registry.Configuration{}, err
	}
	return c.machine.Configuration(), nil
}

// LeaderControl returns where the leader listens for operators, which is the same
// port on all hosts; empty if this replica leads or knows no leader.
func (c *Core) LeaderControlAddress() string {
	if c.leads() {
		return ""
	}
	leader, err := netip.ParseAddrPort(c.quorum.Leader())
	if err != nil {
		return ""
	}
	own, err := netip.ParseAddrPort(c.o.Settings.Listen.Control)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(leader.Addr(), own.Port()).String()
}

func outcomeName(out registry.Outcome, err error) string {
	switch {
	case err != nil:
		return "unknown"
	case out.Status == registry.Done:
		return "accepted"
	case out.Status == registry.Conflict:
		return "conflict"
	}
	return "invalid"
}
