package copies

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against more second copies of all senders than the share of their requests plus the
// burst, in any order of requests and copies.
func TestCopiesOfAllSendersStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := LimitOptions{
			Ratio: rapid.Float64Range(0.01, 0.5).Draw(t, "ratio"), Burst: rapid.Float64Range(0, 50).Draw(t, "burst"),
			Senders: rapid.IntRange(1, 100).Draw(t, "senders"), MaxCost: rapid.IntRange(0, 3).Draw(t, "maxCost"),
		}
		limits := make([]*Limit, o.Senders)
		for i := range limits {
			limits[i] = NewLimit(o)
		}
		requests, copied := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			l := limits[rapid.IntRange(0, len(limits)-1).Draw(t, "sender")]
			if rapid.Bool().Draw(t, "request") {
				l.Deposit()
				requests++
				continue
			}
			if cost := rapid.IntRange(1, 3).Draw(t, "cost"); l.Withdraw(cost) {
				copied += cost
			}
		}
		if limit := o.Burst + o.Ratio*float64(requests) + minInitial*float64(o.Senders); float64(copied) > limit+1e-3 {
			t.Fatalf("%d copies of %d requests, limit %v", copied, requests, limit)
		}
	})
}

// Guards against a limit so small for each sender that none ever sends a copy.
func TestSmallBurstIsCompletedByRequests(t *testing.T) {
	l := NewLimit(LimitOptions{Ratio: 0.25, Burst: 1, Senders: 80})
	qt.Assert(t, l.Withdraw(1), qt.IsFalse)
	for range 4 {
		l.Deposit()
	}
	qt.Assert(t, l.Withdraw(1), qt.IsTrue)
	qt.Assert(t, l.Withdraw(1), qt.IsFalse)
	l.Return(1)
	qt.Assert(t, l.Withdraw(1), qt.IsTrue)
}

// Guards against a delay that is a guess, that stays at an old level, or that the requests
// of another kind influence.
func TestQuantileFollowsMeasurements(t *testing.T) {
	m := clock.NewManual(1000)
	d := NewDelays(m.Clock())
	observe := func(kind string, count int, latency clock.Millis) {
		for range count {
			d.Observe(kind, latency)
		}
	}
	quantile := func(share float64) clock.Millis {
		latency, ok := d.Quantile("a", share)
		qt.Assert(t, ok, qt.IsTrue)
		return latency
	}
	isAbout := func(got, want clock.Millis) {
		qt.Check(t, got >= want-want/16-1 && got <= want+want/16+1, qt.IsTrue, qt.Commentf("%d, not about %d", got, want))
	}
	observe("a", minObservations-1, 20)
	_, ok := d.Quantile("a", 0.95)
	qt.Assert(t, ok, qt.IsFalse)
	observe("b", 1000, 5000)
	observe("a", 1, 20)
	isAbout(quantile(0.95), 20)
	observe("a", 10, 400)
	m.Advance(quantileAge)
	isAbout(quantile(0.95), 400)
	isAbout(quantile(0.5), 20)
	// All requests are slow now: the delay must not stay below their usual latency.
	for range 2 {
		m.Advance(windowMillis)
		observe("a", minObservations, 200)
	}
	m.Advance(quantileAge)
	isAbout(quantile(0.5), 200)
	isAbout(quantile(0.95), 200)
	m.Advance(2 * windowMillis)
	_, ok = d.Quantile("a", 0.95)
	qt.Assert(t, ok, qt.IsFalse)
	observe("a", minObservations, 10*maxLatency)
	isAbout(quantile(0.95), maxLatency)
}

// Guards against memory that grows with the number of kinds.
func TestKindsAreBounded(t *testing.T) {
	m := clock.NewManual(1000)
	d := NewDelays(m.Clock())
	for i := range 3 * maxKinds {
		d.Observe(string(rune('a'+i)), 10)
	}
	qt.Assert(t, d.kinds, qt.HasLen, maxKinds)
	m.Advance(2 * windowMillis)
	d.Observe("new", 10)
	qt.Assert(t, d.kinds, qt.HasLen, 1)
}
