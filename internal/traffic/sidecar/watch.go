package sidecar

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/coordination/delta"
	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// watch keeps the view up to date with the state that the core publishes.
func (s *Sidecar) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		knownVersion := message.Version(0)
		if v := s.views.Current(); v != nil {
			knownVersion = v.Version
		}
		waitMillis, sent := message.Millis(maxWatchWait), s.options.Clock.Now()
		reply, err := call[message.WatchReply](ctx, s.core, message.MethodWatch, message.WatchRequest{
			Host: message.HostName(s.options.Settings.Name), KnownVersion: knownVersion, WaitMillis: waitMillis,
			Service: message.ServiceName(s.options.Settings.Target.Service), Loads: s.gate.TakeKeyLoads(), RejectedLoads: s.ingress.TakeRejectedLoads(),
		}, watchTimeout)
		if err != nil {
			continue
		}
		s.core.setReplicas(reply.CoreAddresses)
		if reply, err = delta.Unpack(reply); err != nil {
			s.log.Error().Err(err).Str("Event", "view-refused").Int("Version", int(reply.Version)).Msg("reply of the core cannot be unpacked")
			_ = s.options.Clock.Sleep(ctx, retryPause*4)
			continue
		}
		if reply.Version == 0 || knownVersion == 0 && !hasRevision(reply) {
			// There is no configuration yet.
			_ = s.options.Clock.Sleep(ctx, retryPause*4)
			continue
		}
		s.presumeColdAfterEvacuation(reply)
		if err := s.views.Apply(reply); err != nil {
			s.log.Error().Err(err).Str("Event", "view-refused").Int("Version", int(reply.Version)).Msg("reply of the core cannot be applied")
			_ = s.options.Clock.Sleep(ctx, retryPause*4)
			continue
		}
		s.observeEvacuation()
		s.viewConfirmed.Store(int64(sent))
		if len(reply.Items)+len(reply.Removed) > 0 {
			v := s.views.Current()
			s.ingress.Prune(v)
			s.log.Info().Str("Event", "view").Int("Version", int(v.Version)).Int("From", int(knownVersion)).Int("Configuration", v.Revision).Int("Changed", len(reply.Items)).Int("Removed", len(reply.Removed)).Msg("changes from the core applied")
			_ = s.options.Clock.Sleep(ctx, watchPause)
		}
	}
	return nil
}

// hasRevision reports whether a reply contains the version of the configuration.
func hasRevision(reply message.WatchReply) bool {
	for _, item := range reply.Items {
		if item.Name == message.ItemRevision {
			return true
		}
	}
	return false
}
