package balance

import (
	"math"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// latencyWeight is the weight of a new latency in the moving mean.
	latencyWeight = 0.1
	// errorWeight is the weight of a new outcome in the error rate.
	errorWeight = 0.1
	// forgetHalfLife is the half-life of errors and reported load without new
	// samples, so that an avoided target is tried again.
	forgetHalfLife clock.Millis = 1000
	// idleLoad is the load for each slot that an idle target counts with. It does
	// not depend on the target's size: otherwise larger targets, which are drawn
	// more often anyway, would also win each comparison under light load.
	idleLoad = 0.2
	// latencyBand is the factor within which two latencies count as equal. The
	// moving means of equal targets differ by that much from chance alone.
	latencyBand = 1.3
	// leastLatency stands for latencies below the clock's resolution of 1 ms.
	leastLatency = 0.5
	// leastSuccess keeps the cost of a target that fails every request finite.
	leastSuccess = 0.05
	// leastWarmth is the part of its weight that a cold target starts with.
	leastWarmth = 0.1
)

// observation is what is known about a target from its responses.
type observation struct {
	at       clock.Millis
	latency  float64 // moving mean in milliseconds; 0 before the first sample
	errors   float64 // moving fraction of failed and shed requests
	reported float64 // requests in flight at the target, from all ingress nodes
}

// next returns the observation after a response at now.
func (o observation) next(now clock.Millis, r Result) observation {
	keep := forget(now - o.at)
	bad := 0.0
	if r.Failed || r.Shed {
		bad = 1
	}
	o.errors = o.errors*keep*(1-errorWeight) + bad*errorWeight
	if bad == 0 {
		o.latency = mean(o.latency, math.Max(float64(r.Latency), leastLatency))
	}
	if r.Limit > 0 {
		o.reported = float64(r.InFlight)
	}
	o.at = now
	return o
}

// view is what a picker knows about a target at one moment.
type view struct {
	observation
	inFlight, capacity float64
}

// better reports whether a costs less than b. Latencies within latencyBand of
// each other count as equal.
func better(a, b view, now clock.Millis) bool {
	x := math.Max(a.latency, leastLatency)
	y := math.Max(b.latency, leastLatency)
	least := math.Min(x, y)
	x = math.Max(least, x/latencyBand)
	y = math.Max(least, y/latencyBand)
	return a.cost(now, x) < b.cost(now, y)
}

// cost estimates how long a request would take at the target: its latency,
// multiplied by the load for each slot, divided by the chance of success twice,
// since a failed request costs its caller another one.
func (v view) cost(now clock.Millis, latency float64) float64 {
	keep := forget(now - v.at)
	load := math.Max(v.inFlight, v.reported*keep)
	success := math.Max(1-v.errors*keep, leastSuccess)
	return latency * (idleLoad + load/v.capacity) / (success * success)
}

func mean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyWeight*(sample-old)
}

// forget returns the part of an observation that is left after its age.
func forget(age clock.Millis) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(forgetHalfLife))
}

// warmth returns the part of its weight that a cold target has at an age.
func warmth(age, slowStart clock.Millis) float64 {
	return math.Min(1, math.Max(leastWarmth, float64(age)/float64(slowStart)))
}
