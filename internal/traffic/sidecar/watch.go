package sidecar

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/coordination/delta"
	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// watch keeps the copy of the core's state current.
func (s *Sidecar) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		known := message.Version(0)
		if v := s.book.Current(); v != nil {
			known = v.Version
		}
		wait := message.Millis(watchWait)
		r, err := call[message.WatchReply](ctx, s.core, message.MethodWatch, message.WatchRequest{
			Host: message.HostName(s.o.Settings.Name), KnownVersion: known, WaitMillis: wait,
			Service: message.ServiceName(s.o.Settings.Target.Service), Loads: s.gate.TakeKeyLoads(), RejectedLoads: s.ingress.TakeRejectedLoads(),
		}, watchTimeout)
		if err != nil {
			continue
		}
		s.core.setKnown(r.CoreAddresses)
		if r, err = delta.Unpack(r); err != nil {
			s.log.Error().Err(err).Str("Event", "view-refused").Int("Version", int(r.Version)).Msg("published state cannot be read")
			_ = s.o.Clock.Sleep(ctx, retryPause*4)
			continue
		}
		if r.Version == 0 || known == 0 && !hasRevision(r) {
			// There is no configuration yet.
			_ = s.o.Clock.Sleep(ctx, retryPause*4)
			continue
		}
		if err := s.book.Apply(r); err != nil {
			s.log.Error().Err(err).Str("Event", "view-refused").Int("Version", int(r.Version)).Msg("published state cannot be used")
			_ = s.o.Clock.Sleep(ctx, retryPause*4)
			continue
		}
		if len(r.Items)+len(r.Removed) > 0 {
			v := s.book.Current()
			s.ingress.Prune(v)
			s.log.Info().Str("Event", "view").Int("Version", int(v.Version)).Int("From", int(known)).Int("Configuration", v.Revision).Int("Changed", len(r.Items)).Int("Removed", len(r.Removed)).Msg("newer state is in force")
			_ = s.o.Clock.Sleep(ctx, newsPause)
		}
	}
	return nil
}

func hasRevision(r message.WatchReply) bool {
	for _, i := range r.Items {
		if i.Name == message.ItemRevision {
			return true
		}
	}
	return false
}
