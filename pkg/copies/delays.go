package copies

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// windowMillis is the length of a window of measurements. A quantile covers the current
	// window and the one before it.
	windowMillis clock.Millis = 15_000
	// minObservations is the number of measurements below which no quantile is known: the
	// 95th percentile of 100 has five of them above it.
	minObservations = 100
	// quantileAge is the time for which a computed quantile is used again.
	quantileAge clock.Millis = 500
	// maxLatency is the longest latency that is told apart; longer ones count as this.
	maxLatency clock.Millis = 60_000
	// significantFigures of latencies: one figure is exact to 6 % and takes 1.7 KB for each
	// window and kind.
	significantFigures = 1
	// maxKinds bounds the memory. Further kinds are not measured until others were unused for
	// two windows.
	maxKinds = 1000
)

// Delays measures the latencies of requests by kind. It is safe for concurrent use.
type Delays struct {
	clock clock.Clock

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind holds the latencies of one kind of request.
type kind struct {
	current, previous *hdrhistogram.Histogram
	windowStart       clock.Millis
	// cached maps quantiles to their values as of cachedAt.
	cached   map[float64]clock.Millis
	cachedAt clock.Millis
}

// NewDelays returns Delays without measurements.
func NewDelays(c clock.Clock) *Delays {
	return &Delays{clock: c, kinds: map[string]*kind{}}
}

// Observe adds the latency of a request. That of a copy that was cancelled counts as well,
// with the time until then: leaving it out would make the quantile smaller with each second
// copy.
func (d *Delays) Observe(name string, latency clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	k := d.kinds[name]
	if k == nil {
		if len(d.kinds) >= maxKinds && !d.removeUnused(now) {
			return
		}
		k = &kind{current: newHistogram(), previous: newHistogram(), windowStart: now}
		d.kinds[name] = k
	}
	k.rotate(now)
	// A value in the range of the histogram cannot fail.
	_ = k.current.RecordValue(int64(min(max(latency, 1), maxLatency)))
}

// Quantile returns the latency that the given share of requests of a kind did not exceed.
// ok is false if too few were measured lately.
func (d *Delays) Quantile(name string, share float64) (latency clock.Millis, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.kinds[name]
	if k == nil {
		return 0, false
	}
	now := d.clock.Now()
	k.rotate(now)
	if k.current.TotalCount()+k.previous.TotalCount() < minObservations {
		return 0, false
	}
	if k.cached == nil || now-k.cachedAt >= quantileAge {
		k.cached, k.cachedAt = map[float64]clock.Millis{}, now
	}
	latency, ok = k.cached[share]
	if !ok {
		both := newHistogram()
		both.Merge(k.current)
		both.Merge(k.previous)
		latency = clock.Millis(both.ValueAtQuantile(share * 100))
		k.cached[share] = latency
	}
	return latency, true
}

// rotate starts a new window if the current one has ended.
func (k *kind) rotate(now clock.Millis) {
	age := now - k.windowStart
	if age < windowMillis {
		return
	}
	k.previous, k.current = k.current, k.previous
	k.current.Reset()
	if age >= 2*windowMillis {
		k.previous.Reset()
	}
	k.windowStart = now
}

// removeUnused removes the kinds that were not measured for two windows, and reports whether
// there were any. The caller must hold d.mu.
func (d *Delays) removeUnused(now clock.Millis) bool {
	before := len(d.kinds)
	for name, k := range d.kinds {
		if now-k.windowStart >= 2*windowMillis {
			delete(d.kinds, name)
		}
	}
	return len(d.kinds) < before
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency), significantFigures)
}
