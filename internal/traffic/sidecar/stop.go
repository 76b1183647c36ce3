package sidecar

import (
	"context"
	"time"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Times of a planned stop, from its beginning.
const (
	// leaveAfter is when callers have noticed that the host is not ready.
	leaveAfter clock.Millis = 2600
	// idleBy is the longest wait for requests at the target.
	idleBy clock.Millis = 4200
	// stopMargin is left before the process would be killed.
	stopMargin clock.Millis = 500
	// defaultStop is the time for a stop where the deployment states none.
	defaultStop clock.Millis = 6000
)

// stopTime is the time between SIGTERM and SIGKILL.
func (s *Sidecar) stopTime() clock.Millis {
	if t := clock.Millis(s.o.Settings.Bounds.StopSeconds * 1000); t > 0 {
		return t
	}
	return defaultStop
}

// stopLeft is the time that requests in flight still have in a planned stop. Requests of
// the host's own callers may run at targets of other hosts, so an idle target says
// nothing of them.
func (s *Sidecar) stopLeft() time.Duration {
	end := clock.Millis(s.stopBegan.Load()) + s.stopTime() - stopMargin
	return max(end-s.o.Clock.Now(), stopMargin).Duration()
}

// leave empties the host before a planned stop.
func (s *Sidecar) leave(stopCallers func()) {
	k, begun := s.o.Clock, s.o.Clock.Now()
	background := context.Background()
	s.stopBegan.Store(int64(begun))
	s.stopping.Store(true)
	s.ingress.CloseConnections()
	told := make(chan struct{})
	go func() {
		defer close(told)
		s.tellStop()
	}()
	_ = k.Sleep(background, leaveAfter)
	s.gate.Stop()
	for k.Now()-begun < idleBy && s.gate.Load().Running > 0 {
		_ = k.Sleep(background, 20)
	}
	<-told
	s.RejectCallers()
	stopCallers()
	s.log.Info().Str("Event", "stopped").Int64("TookMillis", int64(k.Now()-begun)).Int("Running", s.gate.Load().Running).Msg("host is empty")
}

// RejectCallers refuses requests of callers from now on. Connections without a
// request may then be closed.
func (s *Sidecar) RejectCallers() { s.ingress.RejectRequests() }

func (s *Sidecar) tellStop() {
	t, ok := s.gate.Target()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter.Duration())
	defer cancel()
	if _, err := call[struct{}](ctx, s.core, message.MethodHostStop, message.HostStop{Incarnation: t.Incarnation, Stopping: true}, checkInTimeout); err != nil {
		s.log.Warn().Err(err).Str("Event", "stop-untold").Msg("the core was not told of the stop")
	}
}
