package admission

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// measured returns a queue with the given slots whose requests take 100 ms.
func measured(k clock.Clock, slots int) *Queue {
	q := New(k)
	q.SetSlots(slots)
	for range 50 {
		t := &Ticket{Route: "r", Deadline: k.Now() + 10_000}
		q.Admit(t)
		q.Release(t, 100)
	}
	return q
}

// Guards against requests that wait in vain: one that cannot be served in time is
// refused when it arrives.
func TestEnter(t *testing.T) {
	tests := map[string]struct {
		running, waiting int
		patience         clock.Millis
		want             Decision
	}{
		"free slot":                  {patience: 500, want: Admitted},
		"free slot, too little time": {patience: 30, want: TooLate},
		"full, time to wait":         {running: 2, patience: 500, want: Queued},
		"full, no time to wait":      {running: 2, waiting: 8, patience: 300, want: Overloaded},
		"queue is full":              {running: 2, waiting: 12, patience: 100_000, want: Overloaded},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			k := clock.NewManual(1000).Clock()
			q := measured(k, 2)
			for range tt.running + tt.waiting {
				q.Admit(&Ticket{Route: "r", Deadline: 1_000_000})
			}
			got := q.Admit(&Ticket{Route: "r", Deadline: k.Now() + tt.patience})
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

// Guards against a queue that serves the late before those that can still be in
// time, or work with a wide objective before short calls that a target waits for.
func TestOrderOfTheQueue(t *testing.T) {
	tests := map[string]struct{ first, second Ticket }{
		"short call before long work": {Ticket{Rank: 1, Objective: 1060}, Ticket{Rank: 0, Objective: 1150}},
		"tight objective first":       {Ticket{Rank: 1, Objective: 1300}, Ticket{Rank: 1, Objective: 1500}},
		"urgent before other":         {Ticket{Rank: 0}, Ticket{Rank: 2}},
		"in time before late":         {Ticket{Rank: 2}, Ticket{Rank: 0, Objective: 1001}},
		"first come, first served":    {Ticket{Rank: 1}, Ticket{Rank: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			k := clock.NewManual(1000).Clock()
			q := measured(k, 1)
			if name == "short call before long work" {
				for range 50 { // the work takes 10 ms, so that both are in time
					x := &Ticket{Route: "r", Deadline: 100_000}
					q.Admit(x)
					q.Release(x, 10)
				}
			}
			running := &Ticket{Route: "r", Deadline: 100_000}
			qt.Assert(t, q.Admit(running), qt.Equals, Admitted)
			fill := func(x *Ticket) *Ticket {
				x.Route, x.Deadline = "r", 100_000
				if x.Objective == 0 {
					x.Objective = 50_000
				}
				return x
			}
			first, second := fill(&tt.first), fill(&tt.second)
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

// Plays a burst of twice the capacity and checks what callers get: the target stays
// busy, everybody gets an answer, and most of what is served is in time. A queue
// that serves in the order of arrival makes nearly all of them late.
func TestBurstServesInTime(t *testing.T) {
	c := qt.New(t)
	m := clock.NewManual(1000)
	k := m.Clock()
	q := measured(k, 10)
	type run struct {
		ticket *Ticket
		end    clock.Millis
	}
	var running []run
	var waiting []*Ticket
	served, inTime, refused, asked := 0, 0, 0, 0
	for now := clock.Millis(0); now < 3000; now += 5 {
		for i := 0; i < len(running); {
			if x := running[i]; x.end <= k.Now() {
				q.Release(x.ticket, 100)
				served++
				if k.Now() <= x.ticket.Objective {
					inTime++
				}
				running = append(running[:i], running[i+1:]...)
				continue
			}
			i++
		}
		asked++ // one each 5 ms is 200 a second; the target does 100
		x := &Ticket{Route: "r", Deadline: k.Now() + 800, Objective: k.Now() + 250}
		switch q.Admit(x) {
		case Admitted:
			running = append(running, run{x, k.Now() + 100})
		case Queued:
			waiting = append(waiting, x)
		default:
			refused++
		}
		kept := waiting[:0]
		for _, w := range waiting {
			select {
			case <-w.Decided():
				if w.Decision() == Admitted {
					running = append(running, run{w, k.Now() + 100})
				} else {
					refused++
				}
			default:
				kept = append(kept, w)
			}
		}
		waiting = kept
		m.Advance(5)
	}
	c.Assert(served+refused+len(running)+len(waiting), qt.Equals, asked)
	c.Assert(served >= 270, qt.IsTrue, qt.Commentf("%d of 300 possible were served", served))
	c.Assert(inTime*10 >= served*8, qt.IsTrue, qt.Commentf("%d of %d served were in time", inTime, served))
}

// Plays eight seconds of 1.6 times the capacity. Guards against requests that wait for
// longer than their objective and are refused in the end: their callers could have come
// back, or gone elsewhere, long before.
func TestOverloadRefusesBeforeTheObjective(t *testing.T) {
	const slots, work, objective, patience = 12, 230, 600, 1200
	c := qt.New(t)
	m := clock.NewManual(1000)
	k := m.Clock()
	q := New(k)
	q.SetSlots(slots)
	for range 50 {
		x := &Ticket{Route: "r", Deadline: k.Now() + 10_000}
		q.Admit(x)
		q.Release(x, work)
	}
	random := rand.New(rand.NewPCG(5, 6))
	type entry struct {
		ticket *Ticket
		begun  clock.Millis
		ends   clock.Millis // 0 while it waits
		took   clock.Millis
	}
	var all []*entry
	inTime, late, refused, longest := 0, 0, 0, clock.Millis(0)
	run := func(e *entry) {
		e.took = clock.Millis(work/2 + random.IntN(work))
		e.ends = k.Now() + e.took
	}
	refuse := func(e *entry) {
		refused++
		longest = max(longest, k.Now()-e.begun)
	}
	due := 0.0
	for range 8000 {
		for due += 1.6 * slots / float64(work); due >= 1; due-- {
			e := &entry{ticket: &Ticket{Route: "r", Deadline: k.Now() + patience, Objective: k.Now() + objective}, begun: k.Now()}
			switch q.Admit(e.ticket) {
			case Admitted:
				run(e)
			case Queued:
			default:
				refuse(e)
				continue
			}
			all = append(all, e)
		}
		kept := []*entry{}
		for _, e := range all {
			if e.ends > 0 && e.ends <= k.Now() {
				q.Release(e.ticket, e.took)
				if k.Now() <= e.ticket.Objective {
					inTime++
				} else {
					late++
				}
				continue
			}
			if e.ends == 0 && e.ticket.Decision() == Admitted {
				run(e)
			} else if e.ends == 0 && e.ticket.Decision() != Queued {
				refuse(e)
				continue
			}
			kept = append(kept, e)
		}
		all = kept
		m.Advance(1)
	}
	t.Logf("%d in time, %d late, %d refused, the last after %d ms", inTime, late, refused, longest)
	possible := 8000 * slots / work
	c.Assert(longest <= objective, qt.IsTrue)
	c.Assert(inTime*100 >= possible*85, qt.IsTrue, qt.Commentf("of %d possible", possible))
}

// Guards against long work that waits at a slow target until its time is over, because
// short calls that can still be in time keep going before it.
func TestLateWorkLeavesItsCallerTime(t *testing.T) {
	k := clock.NewManual(1000).Clock()
	q := measured(k, 1)
	qt.Assert(t, q.Admit(&Ticket{Route: "r", Deadline: 9000, Objective: 9000}), qt.Equals, Admitted)
	late := &Ticket{Route: "r", Deadline: k.Now() + 1250, Objective: k.Now() + 80}
	qt.Assert(t, q.Admit(late), qt.Equals, Queued)
	qt.Assert(t, late.LatestStart(), qt.Equals, k.Now()+600)
}

// Guards against the call of a running request that is refused although it could be
// served: the request that waits for it fails as a whole, and its work was in vain.
func TestShortCallsWaitForTheirDeadline(t *testing.T) {
	k := clock.NewManual(1000).Clock()
	q := measured(k, 1)
	for range 60 { // calls take 15 ms
		x := &Ticket{Route: "call", Deadline: k.Now() + 10_000}
		q.Admit(x)
		q.Release(x, 15)
	}
	qt.Assert(t, q.Admit(&Ticket{Route: "r", Deadline: 9000, Objective: 9000}), qt.Equals, Admitted)
	qt.Assert(t, q.Admit(&Ticket{Route: "r", Deadline: k.Now() + 600, Objective: k.Now() + 200}), qt.Equals, Queued)
	qt.Assert(t, q.Admit(&Ticket{Route: "call", Rank: 3, Deadline: k.Now() + 200, Objective: k.Now() + 60}), qt.Equals, Queued)
}

// Guards against a slot that is lost with a caller who leaves while waiting.
func TestAbandonKeepsSlots(t *testing.T) {
	k := clock.NewManual(1000).Clock()
	q := measured(k, 1)
	a, b, d := &Ticket{Route: "r", Deadline: 9000}, &Ticket{Route: "r", Deadline: 9000}, &Ticket{Route: "r", Deadline: 9000}
	qt.Assert(t, q.Admit(a), qt.Equals, Admitted)
	qt.Assert(t, q.Admit(b), qt.Equals, Queued)
	qt.Assert(t, q.Admit(d), qt.Equals, Queued)
	qt.Assert(t, q.Cancel(b), qt.IsTrue)
	q.Release(a, 100)
	qt.Assert(t, d.Decision(), qt.Equals, Admitted)
	qt.Assert(t, q.Cancel(d), qt.IsFalse)
	running, waiting, _, _ := q.Load()
	qt.Assert(t, []int{running, waiting}, qt.DeepEquals, []int{1, 0})
}

// Guards against requests that wait at a target which has given their key away.
func TestRemoveHandsBack(t *testing.T) {
	k := clock.NewManual(1000).Clock()
	q := measured(k, 1)
	running, a, b := &Ticket{Route: "r", Deadline: 9000}, &Ticket{Route: "r", Deadline: 9000, Key: 5}, &Ticket{Route: "r", Deadline: 9000, Key: 6}
	for _, x := range []*Ticket{running, a, b} {
		q.Admit(x)
	}
	q.RemoveIf(func(key int) bool { return key == 5 })
	<-a.Decided()
	qt.Assert(t, a.Decision(), qt.Equals, Removed)
	q.Release(running, 100)
	<-b.Decided()
	qt.Assert(t, b.Decision(), qt.Equals, Admitted)
}
