package admission

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// returningLoad is a load of callers that come back after a rejection, as they are told.
type returningLoad struct {
	// mean is the mean load as a multiple of what the target can do. It rises and falls by
	// swing in each period.
	mean, swing float64
	period      clock.Millis
	retries     int
}

type returningResult struct{ asked, inTime, late, rejections, refusedAgain int }

// playReturns plays a load on 18 slots: work of 220 ms with an objective of 800 ms, counted from
// the first attempt, for which callers wait for 6 s. They honour Retry-After up to a third of the
// time that they have left. If returnsKnown is true, a caller that comes back has the objective of
// its first attempt.
func playReturns(w returningLoad, seconds int, returnsKnown bool, retryAfter func(*Queue, *Ticket) clock.Millis) returningResult {
	const slots, work, objective, patience = 18, 220, 800, 6000
	m := clock.NewManual(1000)
	clk := m.Clock()
	q := New(clk)
	q.SetSlots(slots)
	random := rand.New(rand.NewPCG(5, 6))
	type caller struct {
		first, deadline, next clock.Millis
		attempts              int
		ticket                *Ticket
		end                   clock.Millis
	}
	var o returningResult
	var away, active []*caller
	reject := func(c *caller, t *Ticket) {
		o.rejections++
		pause := min(retryAfter(q, t), (c.deadline-clk.Now())/3)
		if c.attempts > w.retries {
			if c.attempts > 1 {
				o.refusedAgain++
			}
			return
		}
		c.next = clk.Now() + max(pause, 20)
		away = append(away, c)
	}
	attempt := func(c *caller) {
		c.attempts++
		now := clk.Now()
		c.ticket, c.end = &Ticket{Route: "r", Deadline: min(c.deadline, now+3000), Objective: now + objective}, 0
		if returnsKnown {
			c.ticket.Objective = c.first + objective
		}
		switch q.Admit(c.ticket) {
		case Admitted:
			c.end = now + work/2 + clock.Millis(random.IntN(work))
			active = append(active, c)
		case Queued:
			active = append(active, c)
		default:
			reject(c, c.ticket)
		}
	}
	for range seconds * 1000 {
		now := clk.Now()
		rate := w.mean * (1 + w.swing*math.Sin(2*math.Pi*float64(now)/float64(w.period))) * slots / work
		if random.Float64() < rate {
			o.asked++
			attempt(&caller{first: now, deadline: now + patience})
		}
		waitingCallers := away
		away = nil
		for _, c := range waitingCallers {
			if c.next <= now {
				attempt(c)
			} else {
				away = append(away, c)
			}
		}
		current := active
		active = nil
		for _, c := range current {
			switch {
			case c.end > 0 && c.end <= now:
				q.Release(c.ticket, work)
				if now <= c.first+objective {
					o.inTime++
				} else {
					o.late++
				}
				continue
			case c.end == 0 && c.ticket.Decision() == Admitted:
				c.end = now + work/2 + clock.Millis(random.IntN(work))
			case c.end == 0 && c.ticket.Decision() != Queued:
				reject(c, c.ticket)
				continue
			}
			active = append(active, c)
		}
		m.Advance(1)
	}
	return o
}

// Guards against callers who come back and compete as if they were new: they displace those that
// can still be served in time, and in the end most are late. It also guards against callers that
// are all told to come back at the same time, when the queue is expected to be empty, although
// more of them come back than it can take: they use up their retries while a wave lasts.
func TestCallersComeBackWhenThereIsRoom(t *testing.T) {
	tests := map[string]struct {
		load returningLoad
		// minMoreInTime and minFewerRefused are by which share more callers are served in time,
		// and fewer of those that came back are refused in the end.
		minMoreInTime, minFewerRefused float64
	}{
		"waves around a full target":   {returningLoad{mean: 0.9, swing: 0.55, period: 15_000, retries: 2}, 0.1, 0.2},
		"waves above a full target":    {returningLoad{mean: 1.2, swing: 0.55, period: 15_000, retries: 2}, 0.15, 0.1},
		"short waves":                  {returningLoad{mean: 1.1, swing: 0.9, period: 4_000, retries: 2}, 0.1, 0.1},
		"twice what the target can do": {returningLoad{mean: 2, period: 15_000, retries: 2}, 0.3, 0},
		"never full":                   {returningLoad{mean: 0.5, swing: 0.2, period: 15_000, retries: 2}, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before := playReturns(tt.load, 60, false, func(q *Queue, _ *Ticket) clock.Millis { return q.RetryAfter() })
			after := playReturns(tt.load, 60, true, (*Queue).BookReturn)
			t.Logf("like new callers: %+v; known and booked: %+v", before, after)
			qt.Check(t, float64(after.inTime) >= (1+tt.minMoreInTime)*float64(before.inTime), qt.IsTrue)
			qt.Check(t, float64(after.refusedAgain) <= (1-tt.minFewerRefused)*float64(before.refusedAgain), qt.IsTrue)
			servedBefore, servedAfter := before.inTime+before.late, after.inTime+after.late
			qt.Check(t, servedAfter*100 >= servedBefore*99, qt.IsTrue, qt.Commentf("%d of %d", servedAfter, servedBefore))
		})
	}
}

// Guards against rejected callers that are all told to come back at the same time, and against
// places that are given out beyond the time that callers can wait.
func TestBookReturnSpreadsCallers(t *testing.T) {
	m := clock.NewManual(1000)
	q := newMeasuredQueue(m.Clock(), 10)
	ticket := &Ticket{Route: "r", Deadline: 10_000}
	first := q.BookReturn(ticket)
	for range 50 { // at half of 10 slots for 100 ms each, one caller comes back every 20 ms
		q.BookReturn(ticket)
	}
	later := q.BookReturn(ticket)
	qt.Check(t, later-first >= 1000, qt.IsTrue, qt.Commentf("%d after %d ms", later, first))
	for range 1000 {
		qt.Assert(t, q.BookReturn(ticket) <= maxReturnDelay, qt.IsTrue)
	}
	m.Advance(maxReturnDelay + 1000)
	qt.Check(t, q.BookReturn(ticket), qt.Equals, first, qt.Commentf("places that were not used are lost"))
}

// Guards against a caller that waits in vain and is told nothing although it has time to come back:
// it then uses up its retries at once, while the queue is as long as before.
func TestExpiredTicketMayComeBack(t *testing.T) {
	tests := map[string]struct {
		deadline, wait clock.Millis
		want           Decision
	}{
		"time left for a retry": {deadline: 4000, wait: 1500, want: Overloaded},
		"no time left":          {deadline: 4000, wait: 2800, want: TooLate},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := clock.NewManual(1000)
			q := newMeasuredQueue(m.Clock(), 1)
			running := &Ticket{Route: "r", Deadline: 9000, Objective: 9000}
			qt.Assert(t, q.Admit(running), qt.Equals, Admitted)
			late := &Ticket{Route: "r", Deadline: tt.deadline, Objective: 900}
			qt.Assert(t, q.Admit(late), qt.Equals, Queued)
			m.Advance(tt.wait)
			decision, expired := q.Expire(late)
			qt.Check(t, expired, qt.IsTrue)
			qt.Check(t, decision, qt.Equals, tt.want)
			_, expired = q.Expire(late)
			qt.Check(t, expired, qt.IsFalse)
		})
	}
}
