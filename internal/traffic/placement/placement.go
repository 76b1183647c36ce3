// Package placement chooses the target for a request to a service that is not divided
// by key.
//
// Each sidecar decides on its own. It uses the load that the sidecar on a target's host
// reports in each response, and the number of its own requests that are still in flight. One
// sidecar of many sees few of a target's responses, so the older a report is, the more the
// choice is left to chance. Reports passed on by other sidecars would be newer, but all
// sidecars would then follow the same ones.
// The outcome of requests takes precedence over what a target reports: a target that could
// not be reached gets no requests for a while and is then tried again.
//
// Targets of one service can differ in speed by a factor of three, and a burst fills the
// fast ones first. A target in the sidecar's own failure domain is preferred while it has
// spare capacity, because traffic between domains is slower and expensive.
//
// # Usage
//
//	b := placement.New(clock.System(), "dsm-a", rand.Float64)
//	instance, ok := b.Choose(instances, tried)
//	b.RecordSent(instance.Incarnation.ID)
//	b.RecordResponse(instance.Incarnation.ID, load, failed)
package placement

import (
	"math"
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// defaultServiceMillis is the assumed service time while no target of the service
	// has reported one.
	defaultServiceMillis = 50
	// maxLoadAge is the age after which a reported number of requests is no longer used.
	maxLoadAge clock.Millis = 1000
	// otherDomainPenalty is the part of the mean service time that is added to the cost
	// of targets in other failure domains.
	otherDomainPenalty = 0.6
	// minPause and maxPause bound how long a target that could not be reached gets no
	// requests. The pause doubles with each consecutive failure.
	minPause clock.Millis = 300
	maxPause clock.Millis = 2000
	// failureRateWeight is the weight of one request in the moving average of failures.
	// failureRateHalfLife is how fast that average decays without new requests.
	failureRateWeight                = 0.1
	failureRateHalfLife clock.Millis = 2000
	// failureCostFactor scales the cost of failures. At a failure rate of one third a
	// target costs as much as one that is three times as slow, so that other targets
	// with spare capacity are chosen first.
	failureCostFactor = 6
	// newTargetShare is the share of a warm target's requests that a target gets that has just
	// joined and has not responded to this sidecar yet.
	newTargetShare = 0.3
	// costJitter randomizes the choice between targets of nearly equal cost, so that many
	// sidecars do not all choose the same one. outdatedCostJitter is added as a report ages:
	// sidecars that last heard of the targets long ago would otherwise all send to the one
	// that they remember as the fastest. jitterHalfLife is the age at which half is added.
	costJitter                      = 0.1
	outdatedCostJitter              = 3
	jitterHalfLife     clock.Millis = 500
)

// Balancer holds what one sidecar knows about the targets and chooses among them.
type Balancer struct {
	clock  clock.Clock
	domain message.FailureDomain
	random func() float64

	mu      sync.Mutex
	targets map[message.InstanceID]*targetState
}

type targetState struct {
	load hop.Load
	// loadTime is when the load was reported; 0 if never.
	loadTime clock.Millis
	// newUntil is until when a target counts as new that has not responded yet.
	newUntil clock.Millis
	// inFlight is the number of this sidecar's requests without a response.
	// inFlightAtLoad is that number at loadTime; the reported load includes those.
	inFlight, inFlightAtLoad int
	// unreachableCount is how many consecutive attempts could not reach the target.
	unreachableCount int
	pausedUntil      clock.Millis
	// failureRate is the moving average of failed requests as of failureRateTime.
	failureRate     float64
	failureRateTime clock.Millis
}

// decayedFailureRate returns the failure rate now.
func (s *targetState) decayedFailureRate(now clock.Millis) float64 {
	return s.failureRate * math.Exp2(-float64(now-s.failureRateTime)/float64(failureRateHalfLife))
}

// updateFailureRate adds a request to the failure rate; failed is 1 for a failure and 0
// for a success.
func (s *targetState) updateFailureRate(now clock.Millis, failed float64) {
	rate := s.decayedFailureRate(now)
	s.failureRate, s.failureRateTime = rate+failureRateWeight*(failed-rate), now
}

// jitter returns the part of its cost by which the cost of the target is randomized.
func (s *targetState) jitter(now clock.Millis) float64 {
	return costJitter + outdatedCostJitter*(1-math.Exp2(-float64(now-s.loadTime)/float64(jitterHalfLife)))
}

// New returns a balancer for a sidecar in the given failure domain. The function random
// returns numbers in [0, 1).
func New(clk clock.Clock, domain message.FailureDomain, random func() float64) *Balancer {
	return &Balancer{clock: clk, domain: domain, random: random, targets: map[message.InstanceID]*targetState{}}
}

func (b *Balancer) state(id message.InstanceID) *targetState {
	s := b.targets[id]
	if s == nil {
		s = &targetState{}
		b.targets[id] = s
	}
	return s
}

// unreachableThreshold is how many consecutive attempts must fail to reach a target before
// Unreachable reports it. A single lost packet does not mean that a host is down.
const unreachableThreshold = 2

// Unreachable reports whether a target could not be reached several times in a row and is
// paused. Requests that no other target can process are then rejected at once.
func (b *Balancer) Unreachable(id message.InstanceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.known(id)
	return s.unreachableCount >= unreachableThreshold && b.clock.Now() < s.pausedUntil
}

// ServiceMillis returns the mean time that a target takes for a request, as far as it is known.
func (b *Balancer) ServiceMillis(id message.InstanceID) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reported := b.known(id).load.ServiceMillis; reported > 0 {
		return reported
	}
	return defaultServiceMillis
}

// Choose returns the target with the lowest expected response time. It skips targets that
// were tried, are paused or are draining. A target whose host is about to stop is chosen
// only if there is no other: its host still serves for a while.
func (b *Balancer) Choose(instances []message.Instance, tried map[message.InstanceID]bool) (message.Instance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, ok := b.choose(instances, tried, false)
	if !ok {
		target, ok = b.choose(instances, tried, true)
	}
	return target, ok
}

// choose is Choose among the targets whose hosts are stopping, or those whose are not. The
// caller must hold b.mu.
func (b *Balancer) choose(instances []message.Instance, tried map[message.InstanceID]bool, stopping bool) (message.Instance, bool) {
	now := b.clock.Now()
	meanMillis := b.meanServiceMillis(instances, now)
	available := func(instance message.Instance, s *targetState) bool {
		return skipReason(instance, s, tried, stopping, now) == ""
	}
	target, onlyWarm := b.chooseLimited(instances, available, meanMillis, now)
	if target != nil {
		return *target, true
	}
	var best message.Instance
	lowestCost, found := 0.0, false
	for _, instance := range instances {
		s := b.state(instance.Incarnation.ID)
		if !available(instance, s) || onlyWarm && s.isLimited(now) {
			continue
		}
		cost := b.cost(instance, s, meanMillis, now) * (1 + s.jitter(now)*b.random())
		if !found || cost < lowestCost {
			best, lowestCost, found = instance, cost, true
		}
	}
	return best, found
}

// meanServiceMillis returns the mean of the reported service times of targets that are not
// cold.
func (b *Balancer) meanServiceMillis(instances []message.Instance, now clock.Millis) float64 {
	sum, n := 0.0, 0.0
	for _, instance := range instances {
		if s := b.known(instance.Incarnation.ID); s.serviceMillis(now) > 0 && !s.isCold(now) {
			sum, n = sum+s.serviceMillis(now), n+1
		}
	}
	if n == 0 {
		return defaultServiceMillis
	}
	return sum / n
}

// cost returns the expected time until the response, with penalties for failures and for
// targets in other failure domains. A nearly full target costs more than its service time,
// because other sidecars send requests to it at the same time.
func (b *Balancer) cost(instance message.Instance, s *targetState, meanMillis float64, now clock.Millis) float64 {
	serviceMillis, requests := s.serviceMillis(now), float64(s.load.Running+s.load.Waiting)
	if serviceMillis == 0 {
		serviceMillis = meanMillis
	}
	if now-s.loadTime > maxLoadAge {
		requests = 0
	}
	requests += float64(max(0, s.inFlight-s.inFlightAtLoad))
	if now-s.loadTime > maxLoadAge {
		requests = float64(s.inFlight)
	}
	utilization := requests / float64(max(instance.Slots, 1))
	cost := serviceMillis * (1 + utilization*utilization)
	if utilization >= 1 {
		cost = serviceMillis * (1 + utilization)
	}
	cost *= 1 + failureCostFactor*s.decayedFailureRate(now)
	if instance.Domain != b.domain {
		cost += meanMillis * otherDomainPenalty
	}
	return cost
}

// RecordSent records that a request was sent to a target. One of the other Record methods
// must follow when the request ends.
func (b *Balancer) RecordSent(id message.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).inFlight++
}

// RecordResponse records a response and the load that it reported. A response can still
// count as a failure: if the target rejects requests, loses responses or reports errors.
func (b *Balancer) RecordResponse(id message.InstanceID, load hop.Load, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.state(id), b.clock.Now()
	s.inFlight--
	s.load, s.loadTime, s.inFlightAtLoad = load, now, s.inFlight
	s.unreachableCount, s.pausedUntil = 0, 0
	if failed {
		s.updateFailureRate(now, 1)
	} else {
		s.updateFailureRate(now, 0)
	}
}

// RecordCancel records the end of a request whose caller closed its connection. This
// counts neither as a success nor as a failure.
func (b *Balancer) RecordCancel(id message.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).inFlight--
}

// RecordFailure records a request that ended without a response. If the target could not
// be reached, it gets no requests for a while.
func (b *Balancer) RecordFailure(id message.InstanceID, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.state(id), b.clock.Now()
	s.inFlight--
	s.updateFailureRate(now, 1)
	if !unreachable {
		return
	}
	if now < s.pausedUntil {
		return // other requests in flight failed for the same reason
	}
	pause := min(minPause<<min(s.unreachableCount, 4), maxPause)
	s.unreachableCount++
	s.pausedUntil = now + pause
}

// Retain removes the state of all targets that are not known, except those with requests
// in flight.
func (b *Balancer) Retain(known func(message.InstanceID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.targets {
		if s.inFlight == 0 && !known(id) {
			delete(b.targets, id)
		}
	}
}
