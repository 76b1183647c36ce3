package sidecar

import (
	"context"
	"errors"
	"syscall"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/traffic/coldstart"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/link"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// rejectDelay returns the time from the acknowledgement that a target is draining until
// the gate rejects new requests for it.
func (s *Sidecar) rejectDelay() clock.Millis {
	drainBound := s.options.Settings.Bounds.DrainMillis
	if drainBound <= 0 {
		drainBound = defaultDrainBound
	}
	return clock.Millis(float64(drainBound) * rejectDelayShare)
}

// Heartbeat is the periodic report of the target on this host.
type Heartbeat struct {
	Incarnation message.Incarnation
	Service     message.ServiceName
	Address     message.Address
	// Slots is the number of requests that the target processes concurrently.
	Slots    int
	Draining bool
	// ColdMillis is how much longer the target is cold; 0 if it is not.
	ColdMillis clock.Millis
	// Sequence increases with each heartbeat of an incarnation.
	Sequence int
	// Grants are the key ranges that the target owns. Released are those that it has
	// released since its last acknowledged heartbeat.
	Grants   []message.RangeGrant
	Released []message.RangeGrant
}

// Errors of HandleHeartbeat and Deregister.
var (
	// ErrInvalidHeartbeat means that the heartbeat is not from the target in the settings, or
	// that one of its fields, or of a departure, is out of range.
	ErrInvalidHeartbeat = errors.New("invalid heartbeat or departure")
	// ErrCoreUnavailable means that the core did not acknowledge the call.
	ErrCoreUnavailable = errors.New("the core did not respond")
)

// HandleHeartbeat passes a heartbeat to the gate and the core, and returns the key ranges
// that are granted to the target. An error means that the heartbeat is not acknowledged.
func (s *Sidecar) HandleHeartbeat(ctx context.Context, h Heartbeat) (message.HeartbeatReply, error) {
	received := s.options.Clock.Now()
	if err := errors.Join(s.checkTarget(h), h.validate()); err != nil {
		s.logRefused(h, err)
		return message.HeartbeatReply{}, errors.Join(ErrInvalidHeartbeat, err)
	}
	if err := s.awaitView(ctx); err != nil {
		return message.HeartbeatReply{}, errors.Join(ErrCoreUnavailable, err)
	}
	if err := s.admitHeartbeat(h, received); err != nil {
		if errors.Is(err, errUnproven) {
			// It may run at the address already, under the id that the gate names to it.
			s.gate.PresumeCold(gate.ColdUnproven)
		}
		return message.HeartbeatReply{}, err
	}
	keyed, byCall := false, s.leaser.applies()
	if byCall {
		if err := s.leaser.heard(h.Incarnation, received); err != nil {
			s.gate.PresumeCold(gate.ColdUnproven)
			return message.HeartbeatReply{}, errors.Join(ErrCoreUnavailable, err)
		}
	}
	alreadyDraining := false // whether the core has published this incarnation as draining
	var cold coldstart.Bounds
	if v := s.views.Current(); v != nil {
		spec, _ := v.Service(h.Service)
		keyed, cold = spec.Keyed, s.coldBounds(spec)
		instance, ok := v.Instance(h.Incarnation.ID)
		alreadyDraining = ok && instance.Incarnation == h.Incarnation && instance.Draining
	}
	// The view may be newer than what the gate was told.
	s.observeEvacuation()
	_, seenBefore := s.gate.Target()
	s.gate.SetTarget(gate.Target{Incarnation: h.Incarnation, Service: h.Service, Address: string(h.Address), Slots: h.Slots, Keyed: keyed, ColdMillis: h.ColdMillis, Cold: cold})
	switch {
	case alreadyDraining && !seenBefore:
		// A previous process of this host may have acknowledged the drain long ago.
		s.gate.RejectFrom(h.Incarnation, received)
	case alreadyDraining:
		s.gate.RejectFrom(h.Incarnation, received+s.rejectDelay())
	}
	ctx, cancel := context.WithTimeout(ctx, coreCallTimeout.Duration())
	defer cancel()
	load, capacity, answered := s.gate.Load(), s.gate.Capacity(), s.incarnations.lastAnswer(h.Incarnation, h.Sequence)
	reply, err := call[message.HeartbeatReply](ctx, s.core, message.MethodHeartbeat, message.Heartbeat{
		Instance: message.Instance{
			Incarnation: h.Incarnation, Service: h.Service, Target: h.Address, Peer: s.peerAddress(), Host: message.HostName(s.options.Settings.Name),
			Domain: message.FailureDomain(s.options.Settings.FailureDomain), Slots: h.Slots, Draining: h.Draining || s.isLeaving(h.Incarnation), Stopping: s.stopping.Load(),
		},
		Sequence: h.Sequence, Grants: emptyIfNil(h.Grants), Released: emptyIfNil(h.Released), Loads: s.gate.TakeKeyLoads(), ServiceMillis: message.Millis(load.ServiceMillis), Capacity: &capacity,
		Before: s.incarnations.predecessor(h.Incarnation), Answered: &answered,
	}, coreCallTimeout)
	if rpc.IsCode(err, rpc.CodeRejected) {
		s.incarnations.withdraw(h.Incarnation)
		return message.HeartbeatReply{}, errors.Join(errFollowed, err)
	}
	if err != nil {
		if keyed && !byCall || h.Draining {
			return message.HeartbeatReply{}, errors.Join(ErrCoreUnavailable, err)
		}
		// There is no lease to renew and no drain to report, so the target may continue.
		return message.HeartbeatReply{}, nil
	}
	if reply.Keyed && !reply.Renewed {
		s.logRefused(h, errLate) // the core has handled a later one
		return message.HeartbeatReply{}, errLate
	}
	if reply.Renewed {
		if err := s.incarnations.answer(h.Incarnation, reply.Version); err != nil {
			s.logRefused(h, err)
			return message.HeartbeatReply{}, err
		}
	}
	if h.Draining {
		s.gate.RejectFrom(h.Incarnation, s.options.Clock.Now()+s.rejectDelay())
	}
	if reply.Renewed {
		// The lease counts from before the heartbeat was sent to the core.
		s.gate.SetGrants(h.Incarnation, keyGrants(reply.Grants, received+clock.Millis(reply.LeaseDurationMillis)))
	}
	return reply, nil
}

func keyGrants(grants []message.RangeGrant, expiry clock.Millis) []gate.KeyGrant {
	out := make([]gate.KeyGrant, 0, len(grants))
	for _, g := range grants {
		out = append(out, gate.KeyGrant{From: g.From, To: g.To, Expiry: expiry})
	}
	return out
}

// awaitView waits for the first state from the core. Without it, the sidecar does not know
// whether the target takes its keys by calls, and whether the core may learn of it yet.
func (s *Sidecar) awaitView(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, coreCallTimeout.Duration())
	defer cancel()
	for {
		changed := s.views.Changed()
		if s.views.Current() != nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// emptyIfNil returns an empty list instead of nil, because nil would be encoded as null.
func emptyIfNil(grants []message.RangeGrant) []message.RangeGrant {
	if grants == nil {
		return []message.RangeGrant{}
	}
	return grants
}

// admitHeartbeat returns an error if a heartbeat must not be handled, because it is late or
// because its incarnation is not known to run.
func (s *Sidecar) admitHeartbeat(h Heartbeat, received clock.Millis) error {
	for _, listed := range s.views.Current().Instances(h.Service) {
		if listed.Peer == s.peerAddress() {
			s.incarnations.expect(listed.Incarnation, s.started)
		}
	}
	begins, err := s.incarnations.admit(h.Incarnation, h.Sequence, received)
	switch {
	case err != nil:
		s.logRefused(h, err)
	case begins:
		line := s.log.Info().Str("Event", "target-begins").Str("Target", string(h.Incarnation.ID)).Int("Born", int(h.Incarnation.StartTime))
		if before := s.incarnations.predecessor(h.Incarnation); before != nil {
			line = line.Str("Before", string(before.ID)).Int("BeforeBorn", int(before.StartTime))
		}
		line.Msg("first heartbeat of a new incarnation of the target")
	}
	return err
}

// logRefused logs a heartbeat that is not acknowledged.
func (s *Sidecar) logRefused(h Heartbeat, err error) {
	skipped, ok := s.logBudget.Allow("heartbeat-refused")
	if !ok {
		return
	}
	id := string(h.Incarnation.ID)
	s.log.Info().Err(err).Str("Event", "heartbeat-refused").Str("Target", id[:min(len(id), maxIDBytes)]).Int("Born", int(h.Incarnation.StartTime)).Int("Sequence", h.Sequence).Bool("Draining", h.Draining).Int("Skipped", skipped).Msg("heartbeat is not acknowledged")
}

// Deregister reports that a target sends no more heartbeats and takes no new requests.
func (s *Sidecar) Deregister(ctx context.Context, id message.InstanceID, startTime message.StartTime) error {
	if err := validateIncarnation(message.Incarnation{ID: id, StartTime: startTime}); err != nil {
		return errors.Join(ErrInvalidHeartbeat, err)
	}
	incarnation, current, err := s.incarnations.admitDeparture(message.Incarnation{ID: id, StartTime: startTime}, s.options.Clock.Now())
	if err != nil || !current {
		s.log.Info().Err(err).Str("Event", "departure-ignored").Str("Target", string(id)).Int("Born", int(startTime)).Msg("an incarnation that is not the current one says that it is gone")
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, coreCallTimeout.Duration())
	defer cancel()
	leave := message.Leave{Incarnation: incarnation, Final: true, Before: s.incarnations.predecessor(incarnation)}
	_, err = call[struct{}](ctx, s.core, message.MethodLeave, leave, coreCallTimeout)
	if rpc.IsCode(err, rpc.CodeRejected) {
		s.incarnations.withdraw(incarnation)
		return errors.Join(errFollowed, err)
	}
	if err != nil {
		return errors.Join(ErrCoreUnavailable, err)
	}
	rejectAt := s.options.Clock.Now() + s.rejectDelay()
	s.gate.RejectFrom(incarnation, rejectAt)
	if target, ok := s.gate.Target(); ok && target.Incarnation != incarnation {
		// No heartbeat of the incarnation has been handled, so the gate knows the one before.
		s.gate.RejectFrom(target.Incarnation, rejectAt)
	}
	return nil
}

// checkForCrash connects to the target after the gate has lost a connection, and reports a
// crash to the core if the target refuses the connection. Other errors do not prove that
// the target's process has ended. The fingerprints are those of the requests that the
// target was processing.
func (s *Sidecar) checkForCrash(incarnation message.Incarnation, fingerprints []string) {
	if !s.crashCheckRunning.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.crashCheckRunning.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), coreCallTimeout.Duration())
		defer cancel()
		connection, err := link.Dial(ctx, s.options.Settings.Target.Address)
		if err == nil {
			_ = connection.Close()
			return
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		s.incarnations.markEnded(incarnation)
		s.gate.PresumeCold(gate.ColdDown)
		s.log.Warn().Str("Event", "target-down").Str("Target", string(incarnation.ID)).Int("InFlight", len(fingerprints)).Msg("target refuses connections")
		if s.leaser.applies() {
			s.leaser.markEnded(incarnation)
		}
		crash := message.Crash{Incarnation: incarnation, Fingerprints: append([]string{}, fingerprints...), Ended: s.awaitIdle(ctx)}
		if _, err := call[struct{}](ctx, s.core, message.MethodCrash, crash, coreCallTimeout); err != nil {
			s.log.Warn().Err(err).Str("Event", "crash-untold").Msg("could not report the crash to the core")
		}
	}()
}

// leaveReportTime bounds the attempts to report to the core that the target is leaving.
// Its later heartbeats are passed on as those of a draining target.
const leaveReportTime clock.Millis = 10_000

// isLeaving reports whether an incarnation has said in a response that it is leaving.
func (s *Sidecar) isLeaving(incarnation message.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving == incarnation
}

// handleLeaving handles a response in which the target says that it is leaving. The target
// may not say so in its heartbeats, or those may not reach the core.
func (s *Sidecar) handleLeaving(incarnation message.Incarnation) {
	s.mu.Lock()
	known := s.leaving == incarnation
	s.leaving = incarnation
	s.mu.Unlock()
	if known {
		return
	}
	s.gate.RejectFrom(incarnation, s.options.Clock.Now()+s.rejectDelay())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaveReportTime.Duration())
		defer cancel()
		_, err := call[struct{}](ctx, s.core, message.MethodLeave, message.Leave{Incarnation: incarnation}, coreCallTimeout)
		s.log.Info().Err(err).Str("Event", "target-leaving").Str("Target", string(incarnation.ID)).Msg("target says in its responses that it is leaving")
	}()
}

// logRateLimit logs a change of the limit that the target names in its responses.
func (s *Sidecar) logRateLimit(incarnation message.Incarnation, before, now float64) {
	skipped, ok := s.logBudget.Allow("rate-limit")
	if !ok {
		return
	}
	s.log.Info().Str("Event", "rate-limit").Str("Target", string(incarnation.ID)).Float64("Before", before).Float64("PerSecond", now).Int("Skipped", skipped).Msg("limit of the target has changed")
}

// idleWait is how long the connections of a target that has ended may take to break.
const idleWait clock.Millis = 100

// awaitIdle reports whether the target works on no request as far as connections show. A
// target that only stopped accepting connections may still work on some.
func (s *Sidecar) awaitIdle(ctx context.Context) bool {
	for end := s.options.Clock.Now() + idleWait; s.gate.Load().Running > 0; {
		if s.options.Clock.Now() > end || s.options.Clock.Sleep(ctx, 5) != nil {
			return false
		}
	}
	return true
}
