package throttle

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Plays requests for one holder for 20 s. Guards against a link that fills with requests
// that are refused anyway, and against a holder that gets less than it can do.
func TestSendsLittleMoreThanIsTaken(t *testing.T) {
	tests := map[string]struct {
		asked, capacity      int // each second
		mostSent, leastTaken int
	}{
		"six times too many":  {asked: 60, capacity: 10, mostSent: 20, leastTaken: 9},
		"a little too many":   {asked: 12, capacity: 10, mostSent: 12, leastTaken: 9},
		"all are taken":       {asked: 30, capacity: 40, mostSent: 30, leastTaken: 30},
		"rare and not served": {asked: 1, capacity: 0, mostSent: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := clock.NewManual(1000)
			random := rand.New(rand.NewPCG(7, 8))
			p := New(m.Clock(), random.Float64)
			sent, taken, refused := 0, 0, 0
			const seconds = 20
			credit := 0.0
			for range seconds * tt.asked {
				m.Advance(clock.Millis(1000 / tt.asked))
				credit = min(credit+float64(tt.capacity)/float64(tt.asked), 2)
				if _, ok := p.Allow("hot"); !ok {
					refused++
					p.CountRejected("catalogue", 7)
					continue
				}
				sent++
				ok := credit >= 1
				if ok {
					credit--
					taken++
				}
				p.RecordResult("hot", ok, 300)
			}
			t.Logf("%d sent, %d taken, %d refused here", sent, taken, refused)
			qt.Check(t, sent <= tt.mostSent*seconds, qt.IsTrue)
			qt.Check(t, taken >= tt.leastTaken*seconds, qt.IsTrue)
			counted := 0
			for _, s := range p.TakeRejectedLoads() {
				for _, l := range s.Loads {
					counted += l.Requests
				}
			}
			qt.Check(t, counted, qt.Equals, refused)
			qt.Check(t, p.TakeRejectedLoads(), qt.HasLen, 0)
		})
	}
}

// Guards against a holder that stays throttled after it has room again.
func TestThrottleEnds(t *testing.T) {
	m := clock.NewManual(1000)
	p := New(m.Clock(), func() float64 { return 0 })
	for range 50 {
		p.RecordResult("hot", false, 700)
	}
	retry, ok := p.Allow("hot")
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, retry, qt.Equals, clock.Millis(700))
	_, ok = p.Allow("other")
	qt.Assert(t, ok, qt.IsTrue)
	random := rand.New(rand.NewPCG(1, 2))
	p.random = random.Float64
	for range 100 {
		m.Advance(100)
		if _, ok := p.Allow("hot"); ok {
			p.RecordResult("hot", true, 0)
		}
	}
	allowed := 0
	for range 20 {
		m.Advance(100)
		if _, ok := p.Allow("hot"); ok {
			allowed++
			p.RecordResult("hot", true, 0)
		}
	}
	qt.Assert(t, allowed, qt.Equals, 20)
	p.Retain(func(message.InstanceID) bool { return false })
	qt.Assert(t, p.holders, qt.HasLen, 0)
}
