package admission

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/traffic/coldstart"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against requests that wait until their deadline for a target that has turned cold,
// although their turn comes too late, and against some that keep waiting when it is warm again.
func TestQueueOfTargetThatTurnsCold(t *testing.T) {
	manual := clock.NewManual(10_000)
	now := manual.Clock().Now()
	q := New(manual.Clock())
	var wakes []clock.Millis
	q.after = func(d clock.Millis, _ func()) { wakes = append(wakes, manual.Clock().Now()+d) }
	q.Cold().SetBounds(coldstart.Bounds{PerSecond: 10, Overage: 1.5, Slack: 8, Lasts: 4000}, now-5000)
	q.SetSlots(4)
	var tickets []*Ticket
	for range 24 {
		ticket := &Ticket{Route: "r", Deadline: now + 1000, Objective: now + 800}
		decision := q.Admit(ticket)
		qt.Assert(t, decision == Admitted || decision == Queued, qt.IsTrue, qt.Commentf("%v", decision))
		tickets = append(tickets, ticket)
	}
	q.Cold().Report(3000, false, now)
	q.Update()
	rejected, begun := 0, 4
	for _, ticket := range tickets[4:] {
		select {
		case <-ticket.Decided():
			qt.Assert(t, ticket.Decision(), qt.Equals, Overloaded)
			rejected++
		default:
		}
	}
	// Until the deadlines in 1 s, at most 10 x 1.5 of the 20 can begin.
	qt.Assert(t, rejected >= 5, qt.IsTrue, qt.Commentf("%d of 20 rejected at once", rejected))
	qt.Assert(t, q.RetryAfter() > 500, qt.IsTrue, qt.Commentf("%d", q.RetryAfter()))
	for _, ticket := range tickets[:4] {
		q.Release(ticket, 0)
	}
	for range 100 { // 1 s
		manual.Advance(10)
		for len(wakes) > 0 && wakes[0] <= manual.Clock().Now() {
			wakes = wakes[1:]
			q.advance()
		}
		for _, ticket := range tickets[4:] {
			select {
			case <-ticket.Decided():
				if ticket.Decision() == Admitted && ticket.running(q) {
					begun++
				}
			default:
			}
		}
	}
	for _, ticket := range tickets[4:] {
		select {
		case <-ticket.Decided():
		default:
			t.Fatal("a request still waits at its deadline")
		}
	}
	qt.Assert(t, begun-4+rejected >= 18, qt.IsTrue, qt.Commentf("%d begun, %d rejected at once, of 20", begun-4, rejected))
	// The target is warm again earlier than it said.
	for range 12 {
		at := manual.Clock().Now()
		q.Admit(&Ticket{Route: "r", Deadline: at + 5000, Objective: at + 4000})
	}
	q.Cold().Report(0, false, manual.Clock().Now())
	q.SetSlots(40)
	_, waiting, _, _ := q.Load()
	qt.Assert(t, waiting, qt.Equals, 0)
}

// running releases the slot of a ticket once and reports whether it had one.
func (t *Ticket) running(q *Queue) bool {
	if t.Route == "" {
		return false
	}
	q.Release(t, 0)
	t.Route = ""
	return true
}
