package sidecar

import (
	"slices"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/coldstart"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// coldSilencePercent is the share of the heartbeat interval after which a target that was not
// heard from may be cold: it may have started again, or this process may have been frozen.
const coldSilencePercent = 250

// coldBounds returns what a cold target of a service takes.
func (s *Sidecar) coldBounds(spec message.ServiceSpec) coldstart.Bounds {
	bounds := s.options.Settings.Bounds
	return coldstart.Bounds{
		PerSecond: spec.ColdPerSecond, Overage: bounds.ColdOverage, Slack: bounds.ColdSlack,
		Lasts: clock.Millis(spec.ColdMillis) + s.incarnations.interval, Silence: s.incarnations.interval * coldSilencePercent / 100,
	}
}

// presumeColdAfterEvacuation is called before a newer view is in force. Requests that the end
// of an evacuation allows must find a target that counts as cold. As long as the evacuation
// lasts, the target may still serve its keys and is not limited.
func (s *Sidecar) presumeColdAfterEvacuation(reply message.WatchReply) {
	domain := s.options.Settings.FailureDomain
	if v := s.views.Current(); v != nil && v.Evacuated(message.FailureDomain(domain)) && removesItem(reply, message.ItemEvacuation+domain) {
		s.gate.PresumeCold(gate.ColdEvacuated)
	}
}

// removesItem reports whether an item is not in the state after a reply.
func removesItem(reply message.WatchReply, name string) bool {
	if slices.ContainsFunc(reply.Items, func(i message.Item) bool { return i.Name == name }) {
		return false
	}
	return reply.Full || slices.Contains(reply.Removed, name)
}

// logCold logs that the target turns cold, or is cold no longer.
func (s *Sidecar) logCold(incarnation message.Incarnation, cold bool, cause gate.ColdCause) {
	skipped, ok := s.logBudget.Allow("target-cold")
	if !ok {
		return
	}
	s.log.Info().Str("Event", "target-cold").Str("Target", string(incarnation.ID)).Int("Born", int(incarnation.StartTime)).Bool("Cold", cold).Str("Cause", string(cause)).
		Int("ColdMillis", int(s.gate.Load().ColdMillis)).Int("Skipped", skipped).Msg("the target has turned cold or is cold no longer")
}
