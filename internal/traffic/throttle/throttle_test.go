package throttle

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Simulates requests for the keys of one owner over 20 s. The limiter must not send many
// requests that the owner rejects, because they fill the link to its host, and the owner
// must still get as many as it can process.
func TestSendsLittleMoreThanAccepted(t *testing.T) {
	tests := map[string]struct {
		offered, capacity    int // per second
		maxSent, minAccepted int // per second
	}{
		"six times the capacity": {offered: 60, capacity: 10, maxSent: 20, minAccepted: 9},
		"just over capacity":     {offered: 12, capacity: 10, maxSent: 12, minAccepted: 9},
		"below capacity":         {offered: 30, capacity: 40, maxSent: 30, minAccepted: 30},
		"rare, never accepted":   {offered: 1, capacity: 0, maxSent: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			manual := clock.NewManual(1000)
			random := rand.New(rand.NewPCG(7, 8))
			l := New(manual.Clock(), random.Float64)
			sent, accepted, rejected := 0, 0, 0
			const seconds = 20
			// tokens is the number of requests that the owner can accept now.
			tokens := 0.0
			for range seconds * tt.offered {
				manual.Advance(clock.Millis(1000 / tt.offered))
				tokens = min(tokens+float64(tt.capacity)/float64(tt.offered), 2)
				if _, ok := l.Allow("hot"); !ok {
					rejected++
					l.CountRejected("catalogue", 7, 30)
					continue
				}
				sent++
				ok := tokens >= 1
				if ok {
					tokens--
					accepted++
				}
				l.RecordResult("hot", ok, 300)
			}
			t.Logf("%d sent, %d accepted, %d rejected by the limiter", sent, accepted, rejected)
			qt.Check(t, sent <= tt.maxSent*seconds, qt.IsTrue)
			qt.Check(t, accepted >= tt.minAccepted*seconds, qt.IsTrue)
			counted := 0
			for _, service := range l.TakeRejectedLoads() {
				for _, load := range service.Loads {
					counted += load.Work
				}
			}
			qt.Check(t, counted, qt.Equals, 3*rejected) // 30 ms each, in units of 10 ms
			qt.Check(t, l.TakeRejectedLoads(), qt.HasLen, 0)
		})
	}
}

// An owner must no longer be throttled once it has spare capacity again.
func TestThrottleEnds(t *testing.T) {
	manual := clock.NewManual(1000)
	l := New(manual.Clock(), func() float64 { return 0 })
	for range 50 {
		l.RecordResult("hot", false, 700)
	}
	retryAfter, ok := l.Allow("hot")
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, retryAfter, qt.Equals, clock.Millis(700))
	l.RecordResult("hot", false, 0) // expired: the pause that the owner named still stands
	retryAfter, _ = l.Allow("hot")
	qt.Assert(t, retryAfter, qt.Equals, clock.Millis(700))
	_, ok = l.Allow("other")
	qt.Assert(t, ok, qt.IsTrue)
	random := rand.New(rand.NewPCG(1, 2))
	l.random = random.Float64
	for range 100 {
		manual.Advance(100)
		if _, ok := l.Allow("hot"); ok {
			l.RecordResult("hot", true, 0)
		}
	}
	allowed := 0
	for range 20 {
		manual.Advance(100)
		if _, ok := l.Allow("hot"); ok {
			allowed++
			l.RecordResult("hot", true, 0)
		}
	}
	qt.Assert(t, allowed, qt.Equals, 20)
	l.Retain(func(message.InstanceID) bool { return false })
	qt.Assert(t, l.owners, qt.HasLen, 0)
}
