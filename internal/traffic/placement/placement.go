// Package placement chooses the target of a request to a service that is not
// divided by key.
//
// Each sidecar decides on its own, from what the sidecars beside the targets say of
// their load in each answer and from its own requests that are still out. Evidence
// from requests goes before what a target says of itself: one that could not be
// reached is left alone for a while and then tried by one request at a time.
//
// The load it answers: targets of one service differ in speed by a factor of three,
// and a burst fills the fast ones first. A target of the own failure domain is
// preferred while it has room, since traffic between domains is slower and dear.
//
// # Usage
//
//	t := placement.New(clock.System(), "dsm-a", rand.Float64)
//	i, ok := t.Choose(instances, tried)
//	t.Sent(i.Lifetime.ID)
//	t.Answered(i.Lifetime.ID, load)
package placement

import (
	"math"
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// unknownServiceMillis is the assumed time at a target that has not answered yet,
	// until another of the service is known.
	unknownServiceMillis = 50
	// staleAfter is the age after which a report of load says little.
	staleAfter clock.Millis = 1000
	// foreignShare is the part of the mean service time that a target of another
	// failure domain has to be faster by.
	foreignShare = 0.3
	// firstPause and longestPause bound how long a target that failed is left alone;
	// the pause doubles with each failure.
	firstPause   clock.Millis = 300
	longestPause clock.Millis = 2000
	// failureWeight is the weight of one request in the rate of failures, and
	// failureHalfLife how fast old failures are forgiven where no request tells more.
	failureWeight                = 0.1
	failureHalfLife clock.Millis = 2000
	// failureCost is by how much a target that fails each request is dearer. At a rate
	// of a third it counts as three times as slow, so that others with room go first.
	failureCost = 6
	// jitter spreads equal choices of many sidecars.
	jitter = 0.1
)

// Balancer holds what one sidecar knows of the targets.
type Balancer struct {
	clock  clock.Clock
	domain message.FailureDomain
	random func() float64

	mu      sync.Mutex
	targets map[message.InstanceID]*target
}

type target struct {
	load hop.Load
	// at is when the load was reported; 0 if never.
	at clock.Millis
	// out are own requests without an answer; outThen is their number when the load
	// was reported, of which the report knows.
	out, outThen int
	failures     int
	until        clock.Millis
	// failing is the rate of requests that ended badly, as of failingAt.
	failing   float64
	failingAt clock.Millis
}

// rate returns the rate of failures now.
func (x *target) rate(now clock.Millis) float64 {
	return x.failing * math.Exp2(-float64(now-x.failingAt)/float64(failureHalfLife))
}

func (x *target) ended(now clock.Millis, failed float64) {
	r := x.rate(now)
	x.failing, x.failingAt = r+failureWeight*(failed-r), now
}

// New returns a table that knows nothing. Random returns numbers in [0, 1).
func New(k clock.Clock, domain message.FailureDomain, random func() float64) *Balancer {
	return &Balancer{clock: k, domain: domain, random: random, targets: map[message.InstanceID]*target{}}
}

func (t *Balancer) of(id message.InstanceID) *target {
	x := t.targets[id]
	if x == nil {
		x = &target{}
		t.targets[id] = x
	}
	return x
}

// lostAfter is how many times in a row a target could not be reached before requests
// that no other target may run are refused at once, until it is tried again. One lost
// packet is no sign of a lost host.
const lostAfter = 2

// Unreachable reports whether a target could not be reached several times and is left alone at
// present.
func (t *Balancer) Unreachable(id message.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.of(id)
	return x.failures >= lostAfter && t.clock.Now() < x.until
}

// Choose returns the target with the least expected time, leaving out those that
// were tried.
func (t *Balancer) Choose(all []message.Instance, tried map[message.InstanceID]bool) (message.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	mean := t.meanMillis(all)
	var best message.Instance
	least, found := 0.0, false
	for _, i := range all {
		x := t.of(i.Incarnation.ID)
		if i.Draining || i.Stopping || tried[i.Incarnation.ID] || now < x.until {
			continue
		}
		cost := t.cost(i, x, mean, now) * (1 + jitter*t.random())
		if !found || cost < least {
			best, least, found = i, cost, true
		}
	}
	return best, found
}

func (t *Balancer) meanMillis(all []message.Instance) float64 {
	sum, n := 0.0, 0.0
	for _, i := range all {
		if x := t.of(i.Incarnation.ID); x.load.ServiceMillis > 0 {
			sum, n = sum+float64(x.load.ServiceMillis), n+1
		}
	}
	if n == 0 {
		return unknownServiceMillis
	}
	return sum / n
}

// cost is the expected time until the answer. A target that is nearly full is
// dearer than its mean time: others fill it at the same moment.
func (t *Balancer) cost(i message.Instance, x *target, mean float64, now clock.Millis) float64 {
	took, busy := float64(x.load.ServiceMillis), float64(x.load.Running+x.load.Waiting)
	if took == 0 {
		took = mean
	}
	if now-x.at > staleAfter {
		busy = 0
	}
	busy += float64(max(0, x.out-x.outThen))
	if now-x.at > staleAfter {
		busy = float64(x.out)
	}
	full := busy / float64(max(i.Slots, 1))
	cost := took * (1 + full*full)
	if full >= 1 {
		cost = took * (1 + full)
	}
	cost *= 1 + failureCost*x.rate(now)
	if i.Domain != t.domain {
		cost += mean * foreignShare
	}
	return cost
}

// RecordSent notes a request to a target.
func (t *Balancer) RecordSent(id message.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(id).out++
}

// RecordResponse notes the end of a request and the load that came with it. A target that
// answers may still fail: it rejects, loses its answers or reports errors.
func (t *Balancer) RecordResponse(id message.InstanceID, l hop.Load, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, now := t.of(id), t.clock.Now()
	x.out--
	x.load, x.at, x.outThen = l, now, x.out
	x.failures, x.until = 0, 0
	if failed {
		x.ended(now, 1)
	} else {
		x.ended(now, 0)
	}
}

// RecordCancel notes the end of a request whose caller left, which says nothing.
func (t *Balancer) RecordCancel(id message.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(id).out--
}

// RecordFailure notes the end of a request that brought no answer. A target that could not
// be reached is left alone for a while.
func (t *Balancer) RecordFailure(id message.InstanceID, unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, now := t.of(id), t.clock.Now()
	x.out--
	x.ended(now, 1)
	if !unreachable {
		return
	}
	if now < x.until {
		return // others that were out failed for the same cause
	}
	pause := min(firstPause<<min(x.failures, 4), longestPause)
	x.failures++
	x.until = now + pause
}

// Retain forgets all targets but those given.
func (t *Balancer) Retain(known func(message.InstanceID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, x := range t.targets {
		if x.out == 0 && !known(id) {
			delete(t.targets, id)
		}
	}
}
