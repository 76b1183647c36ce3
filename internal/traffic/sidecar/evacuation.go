package sidecar

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Parts of the deployment's bound for evacuations after which the gate of a target in the
// evacuated failure domain rejects requests. The time counts from before the evacuation was
// committed, and thus from before it was acknowledged.
const (
	// evacuateShare leaves other hosts the time to learn of the evacuation, so that few
	// requests are sent in vain.
	evacuateShare = 0.2
	// evacuateKeyedShare leaves a target the time to give up its keys: it learns of the move in
	// the response to a heartbeat, and the next owner gets the keys with one of its own, up to
	// 3.8 s after the commit if heartbeats are 1.5 s apart. The rest is for requests that are
	// already on their way.
	evacuateKeyedShare = 0.8
	// defaultEvacuateBound applies if the deployment sets no bound.
	defaultEvacuateBound clock.Millis = 5000
)

// evacuateDelay returns the time from an evacuation until the gate rejects requests.
func (s *Sidecar) evacuateDelay(keyed bool) clock.Millis {
	bound := s.options.Settings.Bounds.EvacuateMillis
	if bound <= 0 {
		bound = defaultEvacuateBound
	}
	if keyed {
		return clock.Millis(float64(bound) * evacuateKeyedShare)
	}
	return clock.Millis(float64(bound) * evacuateShare)
}

// observeEvacuation tells the gate whether the current view has the failure domain of this
// host as evacuated. It is the only place where the end of an evacuation is seen.
//
// A view that has it for the first time is a response to a watch that was sent after an
// earlier one was answered. The evacuation was committed after that earlier watch was sent,
// since its response would have had it. Without an earlier one, its age is not known, and the
// gate rejects requests at once.
func (s *Sidecar) observeEvacuation() {
	// The view that is read last is also the last one that the gate is told of.
	s.evacuationMu.Lock()
	defer s.evacuationMu.Unlock()
	defer signal(s.evacuationObserved)
	v := s.views.Current()
	if v == nil {
		return
	}
	if !v.Evacuated(message.FailureDomain(s.options.Settings.FailureDomain)) {
		if s.gate.EndEvacuation() {
			s.log.Info().Str("Event", "evacuation-ended").Str("Domain", s.options.Settings.FailureDomain).Int("Version", int(v.Version)).Msg("target may get requests again")
		}
		return
	}
	spec, _ := v.Service(message.ServiceName(s.options.Settings.Target.Service))
	now, rejectFrom := s.options.Clock.Now(), clock.Millis(0)
	if known := clock.Millis(s.viewConfirmed.Load()); known > 0 {
		rejectFrom = known + s.evacuateDelay(spec.Keyed)
	}
	if s.gate.BeginEvacuation(rejectFrom) {
		s.log.Info().Str("Event", "evacuation").Str("Domain", s.options.Settings.FailureDomain).Int("Version", int(v.Version)).Bool("Keyed", spec.Keyed).
			Int64("RejectInMillis", int64(max(rejectFrom-now, 0))).Msg("failure domain of this host is evacuated")
	}
}

// runEvacuations rejects the queued requests of the target once an evacuation makes the gate
// reject new ones.
func (s *Sidecar) runEvacuations(ctx context.Context) error {
	for ctx.Err() == nil {
		var wait clock.Millis
		if begun, rejectFrom := s.gate.Evacuation(); begun {
			s.gate.RejectEvacuated()
			wait = rejectFrom - s.options.Clock.Now()
		}
		if wait <= 0 {
			select {
			case <-s.evacuationObserved:
			case <-ctx.Done():
			}
			continue
		}
		waitCtx, cancel := context.WithTimeout(ctx, wait.Duration())
		select {
		case <-s.evacuationObserved:
		case <-waitCtx.Done():
		}
		cancel()
	}
	return nil
}
