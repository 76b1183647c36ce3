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
	// decayHalfLife is the half-life of errors and reported load without new samples.
	// They decay so that an avoided target is tried again.
	decayHalfLife clock.Millis = 1000
	// idleLoad is added to the load per slot of each target. It does not depend on the
	// target's capacity. Otherwise larger targets, which are drawn more often, would
	// also win each comparison under light load.
	idleLoad = 0.2
	// latencyTolerance is the factor within which two latencies count as equal. The
	// moving means of equally fast targets vary randomly by that much.
	latencyTolerance = 1.3
	// minLatencyMillis replaces latencies below the clock's resolution of 1 ms.
	minLatencyMillis = 0.5
	// minSuccessRate keeps the cost of a target that fails every request finite.
	minSuccessRate = 0.05
	// minWeightFactor is the part of its weight that a cold target starts with.
	minWeightFactor = 0.1
)

// observation is the state of a target as derived from the results of its requests.
type observation struct {
	updatedAt        clock.Millis
	latency          float64 // moving mean in milliseconds; 0 before the first sample
	errorRate        float64 // moving fraction of failed and shed requests
	reportedInFlight float64 // requests in flight at the target, from all ingress nodes
}

// next returns the observation after a result at now.
func (o observation) next(now clock.Millis, r Result) observation {
	remaining := decay(now - o.updatedAt)
	failed := 0.0
	if r.Failed || r.Shed {
		failed = 1
	}
	o.errorRate = o.errorRate*remaining*(1-errorWeight) + failed*errorWeight
	if failed == 0 {
		o.latency = movingMean(o.latency, math.Max(float64(r.Latency), minLatencyMillis))
	}
	if r.Limit > 0 {
		o.reportedInFlight = float64(r.InFlight)
	}
	o.updatedAt = now
	return o
}

// view is a picker's view of a target at one time.
type view struct {
	observation
	inFlight, capacity float64
}

// isBetter reports whether a has a lower cost than b. Latencies that differ by at most
// the factor latencyTolerance count as equal.
func isBetter(a, b view, now clock.Millis) bool {
	latencyA := math.Max(a.latency, minLatencyMillis)
	latencyB := math.Max(b.latency, minLatencyMillis)
	lower := math.Min(latencyA, latencyB)
	latencyA = math.Max(lower, latencyA/latencyTolerance)
	latencyB = math.Max(lower, latencyB/latencyTolerance)
	return a.cost(now, latencyA) < b.cost(now, latencyB)
}

// cost estimates the duration of a request at the target: the latency multiplied by the
// load per slot, divided by the square of the success rate, since the caller has to
// send another request after a failed one.
func (v view) cost(now clock.Millis, latency float64) float64 {
	remaining := decay(now - v.updatedAt)
	inFlight := math.Max(v.inFlight, v.reportedInFlight*remaining)
	successRate := math.Max(1-v.errorRate*remaining, minSuccessRate)
	return latency * (idleLoad + inFlight/v.capacity) / (successRate * successRate)
}

// movingMean adds a latency to a moving mean. A mean of zero has no samples yet.
func movingMean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyWeight*(sample-old)
}

// decay returns the part of an observation that remains at its age.
func decay(age clock.Millis) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(decayHalfLife))
}

// coldWeightFactor returns the part of its weight that a cold target has at an age.
func coldWeightFactor(age, slowStart clock.Millis) float64 {
	return math.Min(1, math.Max(minWeightFactor, float64(age)/float64(slowStart)))
}
