package limit

import (
	"math"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Constants of the control loop.
const (
	// decreaseFactor is applied to the limit on a shed request or when latency
	// has risen.
	decreaseFactor = 0.9
	// increaseStep is added when the limit was reached and latency has not risen.
	increaseStep = 1.0
	// latencyTolerance is the factor by which a window's mean latency may exceed
	// the base latency before the limit decreases.
	latencyTolerance = 1.6
	// latencySlackMillis keeps the 1 ms resolution of the clock from looking like
	// load.
	latencySlackMillis = 2.0
	// baseHalfLife is the time in which the base latency rises half of the way to
	// the mean latency of a target that has become permanently slower. It must be
	// much longer than a load peak in a busy hour, or queueing delay would raise
	// the base latency.
	baseHalfLife clock.Millis = 60_000
	// evaluationFactor ends a series of decreases for evaluation once the limit is
	// at this part of its initial value. The effect of a single 10 % step is lost
	// in the variation of service times.
	evaluationFactor = 0.7
	// maxLatencyRatio is the largest part of the initial latency that may remain
	// for a series of decreases to count as effective. If requests slow each other
	// down, latency falls at least in proportion to the limit. If latency does not
	// fall, the target is slow for another reason, and a lower limit would only reduce
	// throughput.
	maxLatencyRatio = 0.85
	// minWindowSamples is the smallest number of samples in a window.
	minWindowSamples = 10
)

// adjuster learns a concurrency limit by additive increase and multiplicative
// decrease over windows of samples.
type adjuster struct {
	limit   float64
	ceiling float64
	// baseLatency is the latency of the target without queueing, in milliseconds.
	baseLatency   float64
	baseUpdatedAt clock.Millis
	window        window
	series        decreaseSeries
	// ignoreShedsUntil ends the time after a decrease in which shed requests do not
	// decrease the limit again, because they were sent before it.
	ignoreShedsUntil clock.Millis
}

// decreaseSeries is a series of decreases: the limit and mean latency at its
// start. A limit of zero means that there is no current series.
type decreaseSeries struct {
	limit float64
	mean  float64
}

// window collects the samples between two adjustments.
type window struct {
	samples     int
	latencySum  float64
	maxInFlight int
}

func newAdjuster(slots int) adjuster {
	return adjuster{limit: float64(slots), ceiling: float64(slots)}
}

// wholeLimit returns the limit rounded down to a number of requests.
func (a *adjuster) wholeLimit() int { return int(a.limit) }

func (a *adjuster) setCeiling(n int) {
	a.ceiling = float64(n)
	a.limit = clamp(a.limit, a.ceiling)
}

func (a *adjuster) recordInFlight(n int) { a.window.maxInFlight = max(a.window.maxInFlight, n) }

func (a *adjuster) observe(now clock.Millis, r Result) {
	switch {
	case r.Shed:
		a.decreaseOnShed(now)
	case !r.Failed:
		a.addSample(now, float64(r.Latency))
	}
}

// decreaseOnShed decreases the limit immediately, but only once for requests that
// were in flight together.
func (a *adjuster) decreaseOnShed(now clock.Millis) {
	if now < a.ignoreShedsUntil {
		return
	}
	a.limit = clamp(a.limit*decreaseFactor, a.ceiling)
	a.ignoreShedsUntil = now + clock.Millis(math.Ceil(a.baseLatency)) + 1
	a.window = window{}
}

func (a *adjuster) addSample(now clock.Millis, latency float64) {
	a.window.samples++
	a.window.latencySum += latency
	if a.window.samples < max(minWindowSamples, 2*a.wholeLimit()) {
		return
	}
	mean := a.window.latencySum / float64(a.window.samples)
	a.baseLatency = nextBaseLatency(a.baseLatency, mean, now-a.baseUpdatedAt)
	a.baseUpdatedAt = now
	oldLimit := a.limit
	a.limit = nextLimit(a.limit, a.ceiling, a.baseLatency, mean, a.window.maxInFlight)
	a.evaluateDecreases(oldLimit, mean)
	a.window = window{}
}

// evaluateDecreases tracks a series of decreases and reverts it if latency did not
// fall.
func (a *adjuster) evaluateDecreases(oldLimit, mean float64) {
	if a.limit >= oldLimit && a.limit > 1 {
		a.series = decreaseSeries{}
		return
	}
	if a.series.limit == 0 {
		a.series = decreaseSeries{limit: oldLimit, mean: mean}
		return
	}
	if oldLimit > a.series.limit*evaluationFactor && a.limit > 1 {
		return
	}
	if mean > a.series.mean*maxLatencyRatio {
		a.limit = clamp(a.series.limit, a.ceiling)
		a.baseLatency = mean
	}
	a.series = decreaseSeries{}
}

// nextBaseLatency returns the base latency after a window with the given mean.
// elapsed is the time since the end of the previous window. The base latency falls
// immediately and rises slowly.
func nextBaseLatency(base, mean float64, elapsed clock.Millis) float64 {
	if base == 0 || mean < base {
		return mean
	}
	decay := math.Exp2(-float64(max(elapsed, 0)) / float64(baseHalfLife))
	return mean - (mean-base)*decay
}

// nextLimit returns the limit after a window without shed requests. maxInFlight is
// the highest number of requests in flight in the window: a limit that was not
// reached is not raised, because the window does not show that the target can run
// more requests.
func nextLimit(limit, ceiling, baseLatency, mean float64, maxInFlight int) float64 {
	if mean > baseLatency*latencyTolerance+latencySlackMillis {
		return clamp(limit*decreaseFactor, ceiling)
	}
	if float64(maxInFlight) >= math.Floor(limit) {
		return clamp(limit+increaseStep, ceiling)
	}
	return limit
}

func clamp(limit, ceiling float64) float64 {
	return math.Max(1, math.Min(limit, ceiling))
}
