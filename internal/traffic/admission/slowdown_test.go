package admission

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// slowdownResult counts callers, and rejections of their attempts.
type slowdownResult struct{ asked, inTime, late, rejections int }

// playSlowdowns plays a minute at a target of 8 slots whose work of 30 to 90 ms takes three
// times as long for 400 ms of every period. Rejected callers come back when they are asked to.
func playSlowdowns(reports bool, load float64, period, patience clock.Millis) slowdownResult {
	const slots, work, objective, factor, slowFor = 8, 60, 200, 3, 400
	type caller struct {
		ticket        *Ticket
		first, giveUp clock.Millis
		next          clock.Millis // of its next attempt
		began         clock.Millis // 0 while it waits
		left          float64      // of its work, in ms
	}
	m := clock.NewManual(1000)
	q, random, now := New(m.Clock()), rand.New(rand.NewPCG(3, 4)), m.Clock().Now
	w := newWakes(m, q)
	q.SetSlots(slots)
	var result slowdownResult
	perMilli := load * slots / (work * (1 + (factor-1)*slowFor/float64(period)))
	begin := func(c *caller) { c.began = now() }
	var callers []*caller
	reject := func(c *caller) bool {
		result.rejections++
		c.next, c.ticket = now()+q.BookReturn(c.ticket), nil
		return c.next < c.giveUp
	}
	step := func(c *caller, slowness float64) (stays bool) {
		switch {
		case c.ticket == nil && now() < c.next:
		case c.ticket == nil:
			c.ticket = &Ticket{Route: "a", Deadline: c.giveUp, Objective: c.first + objective}
			switch q.Admit(c.ticket) {
			case Admitted:
				begin(c)
			case Queued:
			default:
				return reject(c)
			}
		case c.began == 0 && c.ticket.Decision() == Admitted:
			begin(c)
		case c.began == 0 && c.ticket.Decision() != Queued:
			return reject(c)
		}
		if c.began == 0 {
			return true
		}
		if c.left -= 1 / slowness; c.left > 0 {
			return true
		}
		if reports {
			q.ReportSlowdown(int(100 * slowness))
		}
		q.Release(c.ticket, now()-c.began)
		c.began = 0
		if now() <= c.first+objective {
			result.inTime++
		} else {
			result.late++
		}
		return false
	}
	for i := range clock.Millis(60_000) {
		slowness := 1.0
		if i%period < slowFor {
			slowness = factor
		}
		if random.Float64() < perMilli {
			result.asked++
			callers = append(callers, &caller{first: now(), giveUp: now() + patience, next: now(), left: work/2 + work*random.Float64()})
		}
		kept := callers[:0:0]
		for _, c := range callers {
			if step(c, slowness) {
				kept = append(kept, c)
			}
		}
		callers = kept
		w.advance(1)
	}
	return result
}

// Guards against requests that are admitted, or rejected, by durations that do not hold while a
// neighbour slows the target down.
func TestReportedSlowdownGetsMoreCallersServedInTime(t *testing.T) {
	for name, tt := range map[string]struct {
		load             float64
		period, patience clock.Millis
	}{
		"busy, short patience": {0.8, 2000, 400},
		"busy":                 {0.8, 2000, 1000},
		"full, short patience": {1, 1000, 400},
		"full":                 {1, 2000, 1000},
		"overload":             {1.3, 2000, 3000},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := playSlowdowns(false, tt.load, tt.period, tt.patience), playSlowdowns(true, tt.load, tt.period, tt.patience)
			t.Logf("without reports %+v, with them %+v", before, after)
			qt.Check(t, after.inTime > before.inTime, qt.IsTrue)
			qt.Check(t, after.late < before.late, qt.IsTrue)
		})
	}
}

// Guards against a slowdown that counts after it has ended, and against one that lengthens long
// work as if it lasted.
func TestSlowdownIsUsedForAShortTime(t *testing.T) {
	m := clock.NewManual(1000)
	q := New(m.Clock())
	q.recordDuration("short", 60)
	q.recordDuration("long", 1000)
	q.ReportSlowdown(100)
	qt.Check(t, q.expectedDuration(&Ticket{Route: "short"}), qt.Equals, 60.0)
	q.slowdown.mean = 100
	q.slowdown.percent = 400
	qt.Check(t, q.expectedDuration(&Ticket{Route: "short"}), qt.Equals, 240.0)
	qt.Check(t, q.expectedDuration(&Ticket{Route: "long"}), qt.Equals, 1300.0)
	m.Advance(maxSlowdownAge + 1)
	qt.Check(t, q.expectedDuration(&Ticket{Route: "short"}), qt.Equals, 60.0)
}
