package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a single slow request that looks like a slow target, a slow
// target that goes unnoticed among failures, and reports without new requests.
func TestTargetLatencyFollowsManyRequests(t *testing.T) {
	var l targetLatency
	qt.Assert(t, l.report(), qt.IsNil)
	many := func(n int, d clock.Millis, observe func(clock.Millis)) float64 {
		for range n {
			observe(d)
		}
		return *l.report()
	}
	qt.Assert(t, many(100, 10, l.observe), qt.Equals, 10.0)
	qt.Assert(t, l.report(), qt.IsNil)
	qt.Assert(t, many(1, 110, l.observe) < 12, qt.IsTrue)
	before := many(1, 10, l.observe)
	l.observeAtLeast(1)
	qt.Assert(t, l.report(), qt.IsNil)
	qt.Assert(t, many(100, 1000, l.observeAtLeast) > 20*before, qt.IsTrue)
}
