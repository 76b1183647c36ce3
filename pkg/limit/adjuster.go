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
	// increaseStep is added when the limit was in use and latency has not risen.
	increaseStep = 1.0
	// latencyTolerance is how far a window's mean latency may exceed the base
	// before the limit decreases.
	latencyTolerance = 1.6
	// latencySlack keeps the 1 ms resolution of the clock from looking like load.
	latencySlack = 2.0
	// baseHalfLife is how long the base takes to rise half of the way to the mean
	// latency of a target that has become slower for good. It must be much longer
	// than a busy hour's peak of load lasts, or the base follows the queue.
	baseHalfLife clock.Millis = 60_000
	// trialDepth is how far a series of decreases goes before its effect is judged.
	// Single steps of 10 % drown in the variation of service times.
	trialDepth = 0.7
	// trialEffect is the part of the first latency that must remain at most after
	// a series of decreases. Where requests hinder each other, latency falls at
	// least in proportion to the limit; where it stays, the target is slow for
	// another reason, and a lower limit would only take throughput away.
	trialEffect = 0.85
	// minimumWindow is the least number of samples that a window holds.
	minimumWindow = 10
)

// adjuster learns a concurrency limit by additive increase and multiplicative
// decrease over windows of samples.
type adjuster struct {
	limit   float64
	ceiling float64
	// base is the latency of the target without queueing, in milliseconds.
	base   float64
	baseAt clock.Millis
	window window
	trial  trial
	// quietUntil ends the time after a decrease in which sheds are the result of
	// requests sent before it.
	quietUntil clock.Millis
}

// trial is a series of decreases: the limit and mean latency that it began with.
// A limit of zero means that none is under way.
type trial struct {
	limit float64
	mean  float64
}

// window collects the samples between two adjustments.
type window struct {
	samples int
	sum     float64
	peak    int
}

func newAdjuster(slots int) adjuster {
	return adjuster{limit: float64(slots), ceiling: float64(slots)}
}

// whole returns the limit as a number of requests.
func (a *adjuster) whole() int { return int(a.limit) }

func (a *adjuster) setCeiling(n int) {
	a.ceiling = float64(n)
	a.limit = clamp(a.limit, a.ceiling)
}

func (a *adjuster) sawInFlight(n int) { a.window.peak = max(a.window.peak, n) }

func (a *adjuster) observe(now clock.Millis, r Result) {
	switch {
	case r.Shed:
		a.shed(now)
	case !r.Failed:
		a.sample(now, float64(r.Latency))
	}
}

// shed decreases the limit at once, but only once for the requests that were in
// flight together.
func (a *adjuster) shed(now clock.Millis) {
	if now < a.quietUntil {
		return
	}
	a.limit = clamp(a.limit*decreaseFactor, a.ceiling)
	a.quietUntil = now + clock.Millis(math.Ceil(a.base)) + 1
	a.window = window{}
}

func (a *adjuster) sample(now clock.Millis, latency float64) {
	a.window.samples++
	a.window.sum += latency
	if a.window.samples < max(minimumWindow, 2*a.whole()) {
		return
	}
	mean := a.window.sum / float64(a.window.samples)
	a.base = nextBase(a.base, mean, now-a.baseAt)
	a.baseAt = now
	before := a.limit
	a.limit = nextLimit(a.limit, a.ceiling, a.base, mean, a.window.peak)
	a.judge(before, mean)
	a.window = window{}
}

// judge follows a series of decreases and takes it back if it had no effect.
func (a *adjuster) judge(before, mean float64) {
	if a.limit >= before && a.limit > 1 {
		a.trial = trial{}
		return
	}
	if a.trial.limit == 0 {
		a.trial = trial{limit: before, mean: mean}
		return
	}
	if before > a.trial.limit*trialDepth && a.limit > 1 {
		return
	}
	if mean > a.trial.mean*trialEffect {
		a.limit = clamp(a.trial.limit, a.ceiling)
		a.base = mean
	}
	a.trial = trial{}
}

// nextBase returns the base latency after a window with the given mean that ended
// age after the one before. It falls at once and rises slowly.
func nextBase(base, mean float64, age clock.Millis) float64 {
	if base == 0 || mean < base {
		return mean
	}
	keep := math.Exp2(-float64(max(age, 0)) / float64(baseHalfLife))
	return mean - (mean-base)*keep
}

// nextLimit returns the limit after a window without sheds. peak is the highest
// number in flight in the window: a limit that was not reached is not raised,
// because nothing was learned about it.
func nextLimit(limit, ceiling, base, mean float64, peak int) float64 {
	if mean > base*latencyTolerance+latencySlack {
		return clamp(limit*decreaseFactor, ceiling)
	}
	if float64(peak) >= math.Floor(limit) {
		return clamp(limit+increaseStep, ceiling)
	}
	return limit
}

func clamp(limit, ceiling float64) float64 {
	return math.Max(1, math.Min(limit, ceiling))
}
