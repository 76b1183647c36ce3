package core

import (
	"context"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// ErrTooFewReplicas means that the group cannot yet tolerate the loss of as many hosts as
// the settings require, so a change must not be acknowledged.
var ErrTooFewReplicas = merry.Sentinel("too few replicas to tolerate the required loss of hosts")

// maxReplicaWait is how long a leader without a configuration waits for the other replicas
// before it accepts changes without them, since a host of the core may never start.
const maxReplicaWait clock.Millis = 6000

// ApplyChange accepts or rejects an operator's change. If it returns an error, the change
// may still take effect.
func (c *Core) ApplyChange(ctx context.Context, change message.ConfigurationChange) (registry.Outcome, error) {
	start := c.options.Clock.Now()
	out, err := serve(ctx, c, change, (*leadership).applyChange)
	c.metrics.changes.WithLabelValues(outcomeName(out, err)).Inc()
	c.log.Info().Err(err).Str("Event", "change").Int("Version", change.Version).Int("Base", change.BaseVersion).Str("Digest", change.Digest).
		Int("Status", int(out.Status)).Str("Reason", out.Reason).Int("Routes", len(change.Routes)).Int64("TookMillis", int64(c.options.Clock.Now()-start)).
		Msg("configuration change from operator")
	return out, err
}

func (l *leadership) applyChange(ctx context.Context, change message.ConfigurationChange) (registry.Outcome, error) {
	if l.machine.Configuration().Revision.Version == 0 && l.tooFewReplicas() {
		return registry.Outcome{}, merry.Wrap(ErrTooFewReplicas)
	}
	return l.commitChange(ctx, change)
}

// commitTimeout bounds the commit of a change, which goes on after its sender has given up.
// It ends earlier if the leadership does.
const commitTimeout clock.Millis = 10_000

// pendingChange is an operator's change or order that is being committed. The other fields are valid after done
// is closed.
type pendingChange struct {
	done    chan struct{}
	outcome registry.Outcome
	err     error
}

// commitChange commits a change, or waits for the commit of the same change if an operator
// has sent it before. Each copy in the log would delay the first one.
func (l *leadership) commitChange(ctx context.Context, change message.ConfigurationChange) (registry.Outcome, error) {
	return l.commitOnce(ctx, change.Digest, message.Command{Change: &change}, func() (registry.Outcome, bool) {
		return registry.Outcome{Status: registry.Done}, l.machine.Accepted(change.Digest)
	})
}

// commitOnce commits a command, or waits for the one with the same key that is being
// committed. It returns the outcome of the function decided without a commit if that says so.
// The function must not block.
func (l *leadership) commitOnce(ctx context.Context, key string, command message.Command, decided func() (registry.Outcome, bool)) (registry.Outcome, error) {
	l.changesMu.Lock()
	p := l.pendingChanges[key]
	if p == nil {
		if out, ok := decided(); ok {
			l.changesMu.Unlock()
			return out, nil
		}
		p = &pendingChange{done: make(chan struct{})}
		l.pendingChanges[key] = p
		go func() {
			defer close(p.done)
			p.outcome, p.err = l.proposeWithin(context.WithoutCancel(ctx), command, commitTimeout)
			l.changesMu.Lock()
			defer l.changesMu.Unlock()
			delete(l.pendingChanges, key)
		}()
	}
	l.changesMu.Unlock()
	select {
	case <-p.done:
		return p.outcome, p.err
	case <-ctx.Done():
		return registry.Outcome{}, &rpc.Error{Code: rpc.CodeUnknown, Message: "the change is still being committed: " + ctx.Err().Error()}
	}
}

// tooFewReplicas reports whether a first configuration has to wait for more replicas.
func (l *leadership) tooFewReplicas() bool {
	return l.core.TolerableLosses() < l.options.Settings.TolerateHosts && l.options.Clock.Now()-l.leases.TermStart() < maxReplicaWait
}

// TolerableLosses returns how many replicas the group can lose at once and still have a
// majority with all committed entries; -1 if this replica does not lead.
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

// IsVoter reports whether this replica is a voter of the group as far as it knows.
func (c *Core) IsVoter() bool { return c.quorum.IsVoter() }

// ReadConfiguration returns the latest configuration. It returns an error if this replica
// cannot confirm that its configuration is the latest.
func (c *Core) ReadConfiguration(ctx context.Context) (registry.Configuration, error) {
	return serve(ctx, c, struct{}{}, (*leadership).readConfiguration)
}

func (l *leadership) readConfiguration(ctx context.Context, _ struct{}) (registry.Configuration, error) {
	if _, err := l.Confirm(ctx); err != nil {
		return registry.Configuration{}, err
	}
	return l.machine.Configuration(), nil
}

// LeaderControlAddress returns the address on which the leader listens for operators. The
// port is the same on all hosts. The address is empty if this replica leads or knows no
// leader.
func (c *Core) LeaderControlAddress() string {
	if c.isLeader() {
		return ""
	}
	leader, err := netip.ParseAddrPort(c.quorum.Leader())
	if err != nil {
		return ""
	}
	control, err := netip.ParseAddrPort(c.options.Settings.Listen.Control)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(leader.Addr(), control.Port()).String()
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
