package admission

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// newMeasuredQueue returns a queue with the given slots whose requests of route "r" have
// a mean duration of 100 ms.
func newMeasuredQueue(clk clock.Clock, slots int) *Queue {
	q := New(clk)
	q.SetSlots(slots)
	for range 50 {
		t := &Ticket{Route: "r", Deadline: clk.Now() + 10_000}
		q.Admit(t)
		q.Release(t, 100)
	}
	return q
}

// Guards against requests that wait although they cannot be served in time: they must be
// rejected on arrival.
func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		running, waiting int
		timeout          clock.Millis
		want             Decision
	}{
		"free slot":                            {timeout: 500, want: Admitted},
		"free slot, too little time":           {timeout: 30, want: TooLate},
		"no free slot, enough time to wait":    {running: 2, timeout: 500, want: Queued},
		"no free slot, too little time":        {running: 2, waiting: 8, timeout: 300, want: Overloaded},
		"queue has reached its maximum length": {running: 2, waiting: 12, timeout: 100_000, want: Overloaded},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clk := clock.NewManual(1000).Clock()
			q := newMeasuredQueue(clk, 2)
			for range tt.running + tt.waiting {
				q.Admit(&Ticket{Route: "r", Deadline: 1_000_000})
			}
			got := q.Admit(&Ticket{Route: "r", Deadline: clk.Now() + tt.timeout})
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

// Guards against a queue that serves late requests before those that can still meet their
// objective, or work with a wide objective before short calls that a target waits for.
func TestQueueOrder(t *testing.T) {
	tests := map[string]struct{ first, second Ticket }{
		"short call before long work":        {Ticket{Rank: 1, Objective: 1060}, Ticket{Rank: 0, Objective: 1150}},
		"tight objective first":              {Ticket{Rank: 1, Objective: 1300}, Ticket{Rank: 1, Objective: 1500}},
		"high priority first":                {Ticket{Rank: 0}, Ticket{Rank: 2}},
		"can meet objective before too late": {Ticket{Rank: 2}, Ticket{Rank: 0, Objective: 1001}},
		"first come, first served":           {Ticket{Rank: 1}, Ticket{Rank: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clk := clock.NewManual(1000).Clock()
			q := newMeasuredQueue(clk, 1)
			if name == "short call before long work" {
				for range 50 { // reduces the mean to about 10 ms, so that both can meet their objective
					ticket := &Ticket{Route: "r", Deadline: 100_000}
					q.Admit(ticket)
					q.Release(ticket, 10)
				}
			}
			running := &Ticket{Route: "r", Deadline: 100_000}
			qt.Assert(t, q.Admit(running), qt.Equals, Admitted)
			withDefaults := func(ticket *Ticket) *Ticket {
				ticket.Route, ticket.Deadline = "r", 100_000
				if ticket.Objective == 0 {
					ticket.Objective = 50_000
				}
				return ticket
			}
			first, second := withDefaults(&tt.first), withDefaults(&tt.second)
			if name != "first come, first served" {
				qt.Assert(t, q.Admit(second), qt.Equals, Queued)
				qt.Assert(t, q.Admit(first), qt.Equals, Queued)
			} else {
				qt.Assert(t, q.Admit(first), qt.Equals, Queued)
				qt.Assert(t, q.Admit(second), qt.Equals, Queued)
			}
			q.Release(running, 100)
			qt.Assert(t, first.Decision(), qt.Equals, Admitted)
			qt.Assert(t, second.Decision(), qt.Equals, Queued)
		})
	}
}

// Guards against a queue that serves in the order of arrival: in a burst of twice the
// capacity, it makes nearly all responses late. The target must stay busy, each request
// must get a decision, and most of the served requests must meet their objective.
func TestBurstServesInTime(t *testing.T) {
	c := qt.New(t)
	m := clock.NewManual(1000)
	clk := m.Clock()
	q := newMeasuredQueue(clk, 10)
	type runningRequest struct {
		ticket *Ticket
		end    clock.Millis
	}
	var running []runningRequest
	var waiting []*Ticket
	served, inTime, rejected, total := 0, 0, 0, 0
	for now := clock.Millis(0); now < 3000; now += 5 {
		for i := 0; i < len(running); {
			if r := running[i]; r.end <= clk.Now() {
				q.Release(r.ticket, 100)
				served++
				if clk.Now() <= r.ticket.Objective {
					inTime++
				}
				running = append(running[:i], running[i+1:]...)
				continue
			}
			i++
		}
		total++ // one request each 5 ms is 200 per second; the target can serve 100 per second
		ticket := &Ticket{Route: "r", Deadline: clk.Now() + 800, Objective: clk.Now() + 250}
		switch q.Admit(ticket) {
		case Admitted:
			running = append(running, runningRequest{ticket, clk.Now() + 100})
		case Queued:
			waiting = append(waiting, ticket)
		default:
			rejected++
		}
		stillWaiting := waiting[:0]
		for _, w := range waiting {
			select {
			case <-w.Decided():
				if w.Decision() == Admitted {
					running = append(running, runningRequest{w, clk.Now() + 100})
				} else {
					rejected++
				}
			default:
				stillWaiting = append(stillWaiting, w)
			}
		}
		waiting = stillWaiting
		m.Advance(5)
	}
	c.Assert(served+rejected+len(running)+len(waiting), qt.Equals, total)
	c.Assert(served >= 270, qt.IsTrue, qt.Commentf("%d of 300 possible requests were served", served))
	c.Assert(inTime*10 >= served*8, qt.IsTrue, qt.Commentf("%d of %d served requests met their objective", inTime, served))
}

// Guards against requests that wait for longer than their objective and are rejected in
// the end: their callers could have retried, or used another target, long before. The
// test simulates eight seconds of 1.6 times the capacity.
func TestOverloadRejectsBeforeObjective(t *testing.T) {
	const slots, meanDuration, objective, timeout = 12, 230, 600, 1200
	c := qt.New(t)
	m := clock.NewManual(1000)
	clk := m.Clock()
	q := New(clk)
	q.SetSlots(slots)
	for range 50 {
		ticket := &Ticket{Route: "r", Deadline: clk.Now() + 10_000}
		q.Admit(ticket)
		q.Release(ticket, meanDuration)
	}
	random := rand.New(rand.NewPCG(5, 6))
	type request struct {
		ticket   *Ticket
		arrival  clock.Millis
		end      clock.Millis // 0 while the request waits
		duration clock.Millis
	}
	var all []*request
	inTime, late, rejected, longestWait := 0, 0, 0, clock.Millis(0)
	start := func(r *request) {
		r.duration = clock.Millis(meanDuration/2 + random.IntN(meanDuration))
		r.end = clk.Now() + r.duration
	}
	reject := func(r *request) {
		rejected++
		longestWait = max(longestWait, clk.Now()-r.arrival)
	}
	arrivals := 0.0
	for range 8000 {
		for arrivals += 1.6 * slots / float64(meanDuration); arrivals >= 1; arrivals-- {
			r := &request{ticket: &Ticket{Route: "r", Deadline: clk.Now() + timeout, Objective: clk.Now() + objective}, arrival: clk.Now()}
			switch q.Admit(r.ticket) {
			case Admitted:
				start(r)
			case Queued:
			default:
				reject(r)
				continue
			}
			all = append(all, r)
		}
		unfinished := []*request{}
		for _, r := range all {
			if r.end > 0 && r.end <= clk.Now() {
				q.Release(r.ticket, r.duration)
				if clk.Now() <= r.ticket.Objective {
					inTime++
				} else {
					late++
				}
				continue
			}
			if r.end == 0 && r.ticket.Decision() == Admitted {
				start(r)
			} else if r.end == 0 && r.ticket.Decision() != Queued {
				reject(r)
				continue
			}
			unfinished = append(unfinished, r)
		}
		all = unfinished
		m.Advance(1)
	}
	t.Logf("%d in time, %d late, %d rejected after at most %d ms", inTime, late, rejected, longestWait)
	capacity := 8000 * slots / meanDuration
	c.Assert(longestWait <= objective, qt.IsTrue)
	c.Assert(inTime*100 >= capacity*85, qt.IsTrue, qt.Commentf("capacity: %d requests", capacity))
}

// Guards against long work that waits at a slow target until its deadline because short
// calls that can meet their objective keep going first: its caller would have no time left
// for a retry.
func TestLateWorkLeavesItsCallerTime(t *testing.T) {
	clk := clock.NewManual(1000).Clock()
	q := newMeasuredQueue(clk, 1)
	qt.Assert(t, q.Admit(&Ticket{Route: "r", Deadline: 9000, Objective: 9000}), qt.Equals, Admitted)
	late := &Ticket{Route: "r", Deadline: clk.Now() + 1250, Objective: clk.Now() + 80}
	qt.Assert(t, q.Admit(late), qt.Equals, Queued)
	qt.Assert(t, late.LatestStart(), qt.Equals, clk.Now()+600)
}

// Guards against the rejection of a short call that could be served before its deadline.
// The running request that depends on the call would fail, and its work would be wasted.
func TestShortCallsWaitForTheirDeadline(t *testing.T) {
	clk := clock.NewManual(1000).Clock()
	q := newMeasuredQueue(clk, 1)
	for range 60 { // calls take 15 ms
		ticket := &Ticket{Route: "call", Deadline: clk.Now() + 10_000}
		q.Admit(ticket)
		q.Release(ticket, 15)
	}
	qt.Assert(t, q.Admit(&Ticket{Route: "r", Deadline: 9000, Objective: 9000}), qt.Equals, Admitted)
	qt.Assert(t, q.Admit(&Ticket{Route: "r", Deadline: clk.Now() + 600, Objective: clk.Now() + 200}), qt.Equals, Queued)
	qt.Assert(t, q.Admit(&Ticket{Route: "call", Rank: 3, Deadline: clk.Now() + 200, Objective: clk.Now() + 60}), qt.Equals, Queued)
}

// Guards against the loss of a slot when a caller disconnects while its request waits.
func TestCancelKeepsSlots(t *testing.T) {
	clk := clock.NewManual(1000).Clock()
	q := newMeasuredQueue(clk, 1)
	running, cancelled, waiting := &Ticket{Route: "r", Deadline: 9000}, &Ticket{Route: "r", Deadline: 9000}, &Ticket{Route: "r", Deadline: 9000}
	qt.Assert(t, q.Admit(running), qt.Equals, Admitted)
	qt.Assert(t, q.Admit(cancelled), qt.Equals, Queued)
	qt.Assert(t, q.Admit(waiting), qt.Equals, Queued)
	qt.Assert(t, q.Cancel(cancelled), qt.IsTrue)
	q.Release(running, 100)
	qt.Assert(t, waiting.Decision(), qt.Equals, Admitted)
	qt.Assert(t, q.Cancel(waiting), qt.IsFalse)
	runningCount, waitingCount, _, _ := q.Load()
	qt.Assert(t, []int{runningCount, waitingCount}, qt.DeepEquals, []int{1, 0})
}

// Guards against requests that wait at a target which no longer owns their key.
func TestRemoveIf(t *testing.T) {
	clk := clock.NewManual(1000).Clock()
	q := newMeasuredQueue(clk, 1)
	running, removed, kept := &Ticket{Route: "r", Deadline: 9000}, &Ticket{Route: "r", Deadline: 9000, Key: 5}, &Ticket{Route: "r", Deadline: 9000, Key: 6}
	for _, ticket := range []*Ticket{running, removed, kept} {
		q.Admit(ticket)
	}
	q.RemoveIf(func(key int) bool { return key == 5 })
	<-removed.Decided()
	qt.Assert(t, removed.Decision(), qt.Equals, Removed)
	q.Release(running, 100)
	<-kept.Decided()
	qt.Assert(t, kept.Decision(), qt.Equals, Admitted)
}
