package admission

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a target that gets more requests than it takes, and against requests that
// wait although it takes more again.
func TestRateLimit(t *testing.T) {
	tests := map[string]float64{"some requests a second": 25, "one request in two seconds": 0.5, "less than can be noticed": 0.01}
	for name, perSecond := range tests {
		t.Run(name, func(t *testing.T) {
			manual := clock.NewManual(1000)
			q := New(manual.Clock())
			var wakes []clock.Millis
			q.after = func(d clock.Millis, _ func()) { wakes = append(wakes, manual.Clock().Now()+d) }
			q.SetSlots(10)
			q.SetRate(perSecond)
			allowed := max(perSecond, minPace)
			var begins []clock.Millis
			var waiting []*Ticket
			collect := func() {
				kept := waiting[:0]
				for _, w := range waiting {
					select {
					case <-w.Decided():
						if w.Decision() == Admitted {
							begins = append(begins, manual.Clock().Now())
							q.Release(w, 0)
						}
					default:
						kept = append(kept, w)
					}
				}
				waiting = kept
			}
			for range 2000 { // 10 s in steps of 5 ms
				now := manual.Clock().Now()
				ticket := &Ticket{Route: "r", Deadline: now + 1000, Objective: now + 400}
				switch q.Admit(ticket) {
				case Admitted:
					begins = append(begins, now)
					q.Release(ticket, 0)
				case Queued:
					waiting = append(waiting, ticket)
				}
				manual.Advance(5)
				for len(wakes) > 0 && wakes[0] <= manual.Clock().Now() {
					wakes = wakes[1:]
					q.advance()
				}
				collect()
			}
			for i := range begins {
				n := 0
				for n < len(begins[i:]) && begins[i+n] < begins[i]+4000 {
					n++
				}
				qt.Assert(t, float64(n) <= 4*allowed+float64(paceBurst)/1000*allowed+1, qt.IsTrue, qt.Commentf("%d requests in 4 s", n))
			}
			qt.Assert(t, float64(len(begins)) >= 0.9*10*allowed-1, qt.IsTrue, qt.Commentf("%d requests in 10 s", len(begins)))
			q.SetRate(0)
			collect()
			qt.Assert(t, waiting, qt.HasLen, 0)
		})
	}
}

// Guards against requests that wait for the pace of an earlier, lower limit.
func TestRaisedRateLimit(t *testing.T) {
	manual := clock.NewManual(1000)
	q := New(manual.Clock())
	wake := clock.Millis(0)
	q.after = func(d clock.Millis, _ func()) { wake = d }
	q.SetSlots(10)
	q.SetRate(0.5)
	first := &Ticket{Deadline: 100_000, Objective: 100_000}
	for range 2 {
		manual.Advance(2000)
		qt.Assert(t, q.Admit(first), qt.Equals, Admitted)
	}
	waiting := &Ticket{Deadline: 100_000, Objective: 100_000}
	qt.Assert(t, q.Admit(waiting), qt.Equals, Queued)
	qt.Assert(t, wake > 1000, qt.IsTrue)
	q.SetRate(100)
	qt.Assert(t, wake <= 10, qt.IsTrue, qt.Commentf("%d ms", wake))
	manual.Advance(wake)
	q.advance()
	qt.Assert(t, waiting.Decision(), qt.Equals, Admitted)
}
