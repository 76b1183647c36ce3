package core

import (
	"context"
	"errors"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// maxWatchWait bounds how long a watch stays open without a change. The sidecar needs the
// response to know that its copy of the state is still current.
const maxWatchWait clock.Millis = 1000

// watch returns the changes after the known version, or waits for them.
func (l *leadership) watch(ctx context.Context, r message.WatchRequest) (message.WatchReply, error) {
	end := l.options.Clock.Now() + min(clock.Millis(r.WaitMillis), maxWatchWait)
	for _, reported := range append(r.RejectedLoads, message.ServiceLoads{Service: r.Service, Loads: r.Loads}) {
		if len(reported.Loads) > 0 {
			l.leases.SeedLoads(reported.Service, l.machine.Assignments(reported.Service).Loads)
			l.leases.RecordLoads(reported.Service, reported.Loads)
		}
	}
	if _, err := l.Confirm(ctx); err != nil {
		return message.WatchReply{}, err
	}
	for {
		changed := l.machine.Changed()
		out := l.machine.ChangesSince(r.KnownVersion)
		if len(out.Items)+len(out.Removed) > 0 || out.Packed != nil || out.Full || l.options.Clock.Now() >= end {
			out.CoreAddresses = l.voterAddresses()
			return out, nil
		}
		waitCtx, cancel := context.WithTimeout(ctx, (end - l.options.Clock.Now()).Duration())
		select {
		case <-changed:
		case <-l.Ended():
		case <-waitCtx.Done():
		}
		cancel()
		if err := errors.Join(ctx.Err(), l.Err()); err != nil {
			return message.WatchReply{}, err
		}
	}
}

func (l *leadership) voterAddresses() []message.Address {
	out := []message.Address{}
	if s, ok := l.core.quorum.Status(); ok {
		for _, m := range s.Voters {
			out = append(out, message.Address(m.Address))
		}
	}
	return out
}
