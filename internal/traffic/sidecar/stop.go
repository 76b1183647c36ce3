package sidecar

import (
	"context"
	"time"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Times of a planned stop, counted from its start.
const (
	// callerNoticeTime is how long callers need to notice that the host is not ready.
	callerNoticeTime clock.Millis = 2600
	// maxDrainTime bounds the wait for requests that the target is processing.
	maxDrainTime clock.Millis = 4200
	// killMargin is the time to spare before the platform kills the process.
	killMargin clock.Millis = 500
	// defaultGracePeriod applies if the deployment sets no grace period.
	defaultGracePeriod clock.Millis = 6000
)

// gracePeriod returns the time between SIGTERM and SIGKILL.
func (s *Sidecar) gracePeriod() clock.Millis {
	if t := clock.Millis(s.options.Settings.Bounds.StopSeconds * 1000); t > 0 {
		return t
	}
	return defaultGracePeriod
}

// remainingStopTime returns how long requests in flight may still take in a planned stop.
// An idle target does not mean that there are none: requests of callers on this host may
// be processed by targets on other hosts.
func (s *Sidecar) remainingStopTime() time.Duration {
	return max(s.stopEnd()-s.options.Clock.Now(), killMargin).Duration()
}

// stopEnd returns when this process ends in a planned stop that has started.
func (s *Sidecar) stopEnd() clock.Millis {
	return clock.Millis(s.stopStarted.Load()) + s.gracePeriod() - killMargin
}

// drain prepares a planned stop: callers move to other hosts, the target finishes its
// requests, and then the listener for callers is closed.
func (s *Sidecar) drain(stopCallers func()) {
	clk, started := s.options.Clock, s.options.Clock.Now()
	background := context.Background()
	s.stopStarted.Store(int64(started))
	s.stopping.Store(true)
	s.ingress.CloseConnections()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		s.announceStop()
	}()
	_ = clk.Sleep(background, callerNoticeTime)
	s.ingress.RejectAfter(s.stopEnd())
	s.gate.Stop()
	for clk.Now()-started < maxDrainTime && s.gate.Load().Running > 0 {
		_ = clk.Sleep(background, 20)
	}
	<-announced
	s.RejectCallers()
	stopCallers()
	s.log.Info().Str("Event", "stopped").Int64("TookMillis", int64(clk.Now()-started)).Int("Running", s.gate.Load().Running).Msg("host drained for the planned stop")
}

// RejectCallers rejects all further requests of callers. Connections without a request may
// be closed after that.
func (s *Sidecar) RejectCallers() { s.ingress.RejectRequests() }

// announceStop tells the core that this host is about to stop.
func (s *Sidecar) announceStop() {
	target, ok := s.gate.Target()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerNoticeTime.Duration())
	defer cancel()
	if _, err := call[struct{}](ctx, s.core, message.MethodHostStop, message.HostStop{Incarnation: target.Incarnation, Stopping: true}, coreCallTimeout); err != nil {
		s.log.Warn().Err(err).Str("Event", "stop-untold").Msg("could not announce the stop to the core")
	}
}
