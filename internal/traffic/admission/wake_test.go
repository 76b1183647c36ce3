package admission

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// wakes runs the scheduled calls of advance of a queue by a manual clock. Timers of the real
// clock would run them at any time of a test, in another goroutine.
type wakes struct {
	manual *clock.Manual
	queue  *Queue
	due    []clock.Millis
	calls  int
}

func newWakes(manual *clock.Manual, q *Queue) *wakes {
	w := &wakes{manual: manual, queue: q}
	q.after = func(d clock.Millis, _ func()) { w.due = append(w.due, manual.Clock().Now()+d) }
	return w
}

// advance moves the clock on in steps of 1 ms.
func (w *wakes) advance(millis int) {
	for range millis {
		w.manual.Advance(1)
		w.run()
	}
}

// run makes the calls that are due.
func (w *wakes) run() {
	due := w.due
	w.due = nil
	for _, at := range due {
		if at > w.manual.Clock().Now() {
			w.due = append(w.due, at)
			continue
		}
		w.calls++
		w.queue.advance()
	}
}

func isDecided(t *Ticket) bool {
	select {
	case <-t.Decided():
		return true
	default:
		return false
	}
}

// Guards against new requests that wait beside a free slot that was kept for calls, after calls
// have stopped arriving and while the runs that have the other slots last.
func TestSlotKeptForCallsIsGivenBack(t *testing.T) {
	manual := clock.NewManual(10_000)
	q := New(manual.Clock())
	w := newWakes(manual, q)
	q.SetSlots(4)
	for range 200 {
		call := &Ticket{Route: "call", Deadline: manual.Clock().Now() + 500, Objective: manual.Clock().Now() + 100, Call: true}
		qt.Assert(t, q.Admit(call), qt.Equals, Admitted)
		w.advance(20)
		q.Release(call, 20)
	}
	now := manual.Clock().Now()
	for range 3 {
		qt.Assert(t, q.Admit(&Ticket{Route: "long", Deadline: now + 60_000, Objective: now + 60_000}), qt.Equals, Admitted)
	}
	waiting := &Ticket{Route: "long", Deadline: now + 60_000, Objective: now + 60_000}
	qt.Assert(t, q.Admit(waiting), qt.Equals, Queued)
	w.advance(5000)
	qt.Assert(t, isDecided(waiting), qt.IsTrue, qt.Commentf("the request still waits beside a free slot"))
	qt.Assert(t, waiting.Decision(), qt.Equals, Admitted)
	qt.Assert(t, w.calls <= 200, qt.IsTrue, qt.Commentf("%d wake-ups in 9 s", w.calls))
}

// Guards against new requests that a target with one slot never runs because the slot is kept
// for calls.
func TestOnlySlotIsNotKeptForCalls(t *testing.T) {
	manual := clock.NewManual(10_000)
	q := New(manual.Clock())
	w := newWakes(manual, q)
	q.SetSlots(1)
	for range 100 {
		call := &Ticket{Route: "call", Deadline: manual.Clock().Now() + 500, Objective: manual.Clock().Now() + 100, Call: true}
		qt.Assert(t, q.Admit(call), qt.Equals, Admitted)
		w.advance(15)
		q.Release(call, 15)
		w.advance(5)
	}
	now := manual.Clock().Now()
	qt.Assert(t, q.Admit(&Ticket{Route: "new", Deadline: now + 1000, Objective: now + 500}), qt.Equals, Admitted)
}

// Guards against scheduled calls of advance that multiply: each change of the limit that makes
// the next turn come sooner left one more, and each of them scheduled another.
func TestWakeUpsDoNotMultiply(t *testing.T) {
	manual := clock.NewManual(10_000)
	q := New(manual.Clock())
	w := newWakes(manual, q)
	q.SetSlots(200)
	q.SetRate(5)
	admit := func() {
		for len(q.waiting) < 20 {
			now := manual.Clock().Now()
			if d := q.Admit(&Ticket{Route: "r", Deadline: now + 60_000, Objective: now + 60_000}); d != Queued && d != Admitted {
				t.Fatalf("decision %v", d)
			}
		}
	}
	for range 40 {
		admit()
		q.SetRate(2)
		w.advance(50)
		q.SetRate(20)
		w.advance(50)
	}
	qt.Assert(t, len(w.due) <= 2, qt.IsTrue, qt.Commentf("%d wake-ups are scheduled at the same time", len(w.due)))
}
