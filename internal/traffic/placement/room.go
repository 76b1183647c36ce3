package placement

import (
	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/copies"
)

const (
	// maxRoomAge is the age after which a reported load does not show that a target has free
	// slots. It is longer than maxLoadAge because the target's host checks again.
	maxRoomAge clock.Millis = 3000
	// maxRoomFailureRate is the failure rate, and maxRoomSlowness the multiple of the mean
	// service time, above which a target gets no second copies.
	maxRoomFailureRate = 0.05
	maxRoomSlowness    = 1.5
)

// RecordSlow records that a request was cancelled because its second copy was faster. It
// counts as a failure: the load that the target reported last does not show that it is slow
// or does not respond.
func (b *Balancer) RecordSlow(id message.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).updateFailureRate(b.clock.Now(), 1)
}

// known returns what is known of a target. It doesn't add the target to b.targets: ExpectCold
// takes targets without a state for new ones. The caller must hold b.mu.
func (b *Balancer) known(id message.InstanceID) *targetState {
	if s := b.targets[id]; s != nil {
		return s
	}
	return &targetState{}
}

// HasRoom reports whether a target may get a second copy of a request: it is known to have
// free slots, to be no slower than others and to fail hardly any requests.
func (b *Balancer) HasRoom(instance message.Instance, instances []message.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.known(instance.Incarnation.ID), b.clock.Now()
	utilization, known := s.utilization(instance, now)
	switch {
	case !known || utilization >= copies.MaxUtilization || instance.Draining || instance.Stopping:
		return false
	case now < s.pausedUntil || s.isLimited(now) || s.decayedFailureRate(now) > maxRoomFailureRate:
		return false
	}
	return s.serviceMillis(now) <= maxRoomSlowness*b.meanServiceMillis(instances, now)
}

// Utilization returns the share of slots in use at the targets whose load is known. ok is
// false if none is.
func (b *Balancer) Utilization(instances []message.Instance) (utilization float64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	used, slots := 0.0, 0.0
	for _, instance := range instances {
		if u, known := b.known(instance.Incarnation.ID).utilization(instance, now); known {
			used, slots = used+u*float64(max(instance.Slots, 1)), slots+float64(max(instance.Slots, 1))
		}
	}
	return used / max(slots, 1), slots > 0
}

// ExpectedWait returns the time that a request is expected to wait in the queue of a target
// if it is sent now, 0 if the target has free slots or its load is not known.
func (b *Balancer) ExpectedWait(instance message.Instance) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.known(instance.Incarnation.ID)
	utilization, known := s.utilization(instance, b.clock.Now())
	if !known || utilization < 1 {
		return 0
	}
	slots := float64(max(instance.Slots, 1))
	return clock.Millis((utilization*slots - slots + 1) / slots * float64(s.load.ServiceMillis))
}

// utilization returns the share of slots in use, with the requests that wait and those that
// were sent since the load was reported. known is false if the load is too old.
func (s *targetState) utilization(instance message.Instance, now clock.Millis) (utilization float64, known bool) {
	if s.loadTime == 0 || now-s.loadTime > maxRoomAge {
		return 0, false
	}
	requests := s.load.Running + s.load.Waiting + max(0, s.inFlight-s.inFlightAtLoad)
	return float64(requests) / float64(max(instance.Slots, 1)), true
}

// maxFreeUtilization is the share of slots in use up to which a target counts as one that accepts
// a request.
const maxFreeUtilization = 0.7

// HasFreeSlots reports whether a target is known to have free slots.
func (b *Balancer) HasFreeSlots(instance message.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.known(instance.Incarnation.ID), b.clock.Now()
	utilization, known := s.utilization(instance, now)
	return known && now-s.loadTime <= maxLoadAge && utilization < maxFreeUtilization
}

// InFlight returns the number of this sidecar's requests to a target without a response.
func (b *Balancer) InFlight(id message.InstanceID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known(id).inFlight
}
