package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a single slow request that changes the mean a lot, against a slow target
// that is not noticed because its requests fail, and against reports without new requests.
func TestTargetLatencyFollowsManyRequests(t *testing.T) {
	var latencies targetLatency
	qt.Assert(t, latencies.report(), qt.IsNil)
	reportAfter := func(n int, latency clock.Millis, observe func(clock.Millis)) float64 {
		for range n {
			observe(latency)
		}
		return *latencies.report()
	}
	qt.Assert(t, reportAfter(100, 10, latencies.observe), qt.Equals, 10.0)
	qt.Assert(t, latencies.report(), qt.IsNil)
	qt.Assert(t, reportAfter(1, 110, latencies.observe) < 12, qt.IsTrue)
	before := reportAfter(1, 10, latencies.observe)
	latencies.observeAtLeast(1)
	qt.Assert(t, latencies.report(), qt.IsNil)
	qt.Assert(t, reportAfter(100, 1000, latencies.observeAtLeast) > 20*before, qt.IsTrue)
}
