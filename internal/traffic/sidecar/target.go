package sidecar

import (
	"context"
	"errors"
	"syscall"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/link"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// closeAfter is the time between the acknowledgement that a target leaves and its last
// new request.
func (s *Sidecar) closeAfter() clock.Millis {
	bound := s.o.Settings.Bounds.DrainMillis
	if bound <= 0 {
		bound = defaultDrain
	}
	return clock.Millis(float64(bound) * closePart)
}

// Heartbeat is what the target beside the sidecar says of itself.
type Heartbeat struct {
	Incarnation message.Incarnation
	Service     message.ServiceName
	Address     message.Address
	Slots       int
	Draining    bool
	Sequence    int
	Grants      []message.RangeGrant
	Released    []message.RangeGrant
}

// Errors of CheckIn and Leave.
var (
	// ErrWrongTarget means that the target is not the one beside this sidecar.
	ErrWrongTarget = errors.New("the check-in names another service or address than the settings")
	// ErrCoreUnavailable means that the core could not take note.
	ErrCoreUnavailable = errors.New("the core did not answer")
)

// HandleHeartbeat takes in a check-in and returns what the target is to hold. An error
// means that the check-in is not acknowledged.
func (s *Sidecar) HandleHeartbeat(ctx context.Context, c Heartbeat) (message.HeartbeatReply, error) {
	sent := s.o.Clock.Now()
	if string(c.Service) != s.o.Settings.Target.Service || string(c.Address) != s.o.Settings.Target.Address || c.Slots <= 0 {
		return message.HeartbeatReply{}, ErrWrongTarget
	}
	if !s.isNew(c.Incarnation, c.Sequence) {
		// It is late: a later one of the target, or of the next target here, was heard.
		return message.HeartbeatReply{}, nil
	}
	keyed := false
	left := false
	if v := s.book.Current(); v != nil {
		spec, _ := v.Service(c.Service)
		keyed = spec.Keyed
		i, ok := v.Instance(c.Incarnation.ID)
		left = ok && i.Incarnation == c.Incarnation && i.Draining
	}
	s.gate.SetTarget(gate.Target{Incarnation: c.Incarnation, Service: c.Service, Address: string(c.Address), Slots: c.Slots, Keyed: keyed})
	if left {
		s.gate.RejectFrom(c.Incarnation, sent+s.closeAfter())
	}
	ctx, cancel := context.WithTimeout(ctx, checkInTimeout.Duration())
	defer cancel()
	load := s.gate.Load()
	reply, err := call[message.HeartbeatReply](ctx, s.core, message.MethodHeartbeat, message.Heartbeat{
		Instance: message.Instance{
			Incarnation: c.Incarnation, Service: c.Service, Target: c.Address, Peer: s.address(), Host: message.HostName(s.o.Settings.Name),
			Domain: message.FailureDomain(s.o.Settings.FailureDomain), Slots: c.Slots, Draining: c.Draining, Stopping: s.stopping.Load(),
		},
		Sequence: c.Sequence, Grants: list(c.Grants), Released: list(c.Released), Loads: s.gate.TakeKeyLoads(), ServiceMillis: message.Millis(load.ServiceMillis),
	}, checkInTimeout)
	if err != nil {
		if keyed || c.Draining {
			return message.HeartbeatReply{}, errors.Join(ErrCoreUnavailable, err)
		}
		return message.HeartbeatReply{}, nil
	}
	if c.Draining {
		s.gate.RejectFrom(c.Incarnation, s.o.Clock.Now()+s.closeAfter())
	}
	if reply.Renewed {
		s.gate.SetGrants(c.Incarnation, reply.Grants, sent+clock.Millis(reply.LeaseDurationMillis))
	}
	return reply, nil
}

func list(h []message.RangeGrant) []message.RangeGrant {
	if h == nil {
		return []message.RangeGrant{}
	}
	return h
}

// isNew orders check-ins by lifetime and sequence.
func (s *Sidecar) isNew(l message.Incarnation, sequence int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.StartTime < s.lifetime.StartTime || l == s.lifetime && sequence < s.sequence {
		return false
	}
	if l != s.lifetime {
		s.log.Info().Str("Event", "target-begins").Str("Target", string(l.ID)).Int("Born", int(l.StartTime)).Str("Before", string(s.lifetime.ID)).Msg("another lifetime of the target")
	}
	s.lifetime, s.sequence = l, sequence
	return true
}

// Deregister notes that a target will check in no more and takes no new work.
func (s *Sidecar) Deregister(ctx context.Context, id message.InstanceID, born message.StartTime) error {
	s.mu.Lock()
	l := s.lifetime
	s.mu.Unlock()
	if l.ID != id {
		l = message.Incarnation{ID: id, StartTime: born}
	}
	ctx, cancel := context.WithTimeout(ctx, checkInTimeout.Duration())
	defer cancel()
	if _, err := call[struct{}](ctx, s.core, message.MethodLeave, message.Leave{Incarnation: l, Final: true}, checkInTimeout); err != nil {
		return errors.Join(ErrCoreUnavailable, err)
	}
	s.gate.RejectFrom(l, s.o.Clock.Now()+s.closeAfter())
	return nil
}

// suspectCrash looks whether the target is gone after a connection was lost. Only a
// refused connection shows that: nothing listens at its address.
func (s *Sidecar) suspectCrash(l message.Incarnation, prints []string) {
	if !s.checking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.checking.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), checkInTimeout.Duration())
		defer cancel()
		c, err := link.Dial(ctx, s.o.Settings.Target.Address)
		if err == nil {
			_ = c.Close()
			return
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		s.log.Warn().Str("Event", "target-down").Str("Target", string(l.ID)).Int("InFlight", len(prints)).Msg("nothing listens at the target's address")
		if _, err := call[struct{}](ctx, s.core, message.MethodCrash, message.Crash{Incarnation: l, Fingerprints: prints}, checkInTimeout); err != nil {
			s.log.Warn().Err(err).Str("Event", "crash-untold").Msg("the core was not told of the crash")
		}
	}()
}
