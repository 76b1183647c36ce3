package admission

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// workKind is a kind of request of a simulated load.
type workKind struct {
	route                          string
	rank                           int
	perSecond                      float64
	duration, objective, timeLimit clock.Millis
	// call is true for calls of runs at other targets.
	call bool
}

// workResult counts the requests of one kind.
type workResult struct {
	asked, inTime, late int
	// busy is the time in slots that they took.
	busy clock.Millis
	// longestWait is the longest wait for a slot.
	longestWait clock.Millis
}

// play plays a load on a queue for the given time. Durations vary by a half.
func play(slots int, kinds []workKind, length clock.Millis) map[string]*workResult {
	m := clock.NewManual(1000)
	clk := m.Clock()
	q := New(clk)
	w := newWakes(m, q)
	q.SetSlots(slots)
	random := rand.New(rand.NewPCG(5, 6))
	type request struct {
		kind     workKind
		ticket   *Ticket
		arrival  clock.Millis
		end      clock.Millis // 0 while the request waits
		duration clock.Millis
	}
	results := map[string]*workResult{}
	for _, k := range kinds {
		results[k.route] = &workResult{}
	}
	var all []*request
	begin := func(r *request) {
		r.duration = r.kind.duration/2 + clock.Millis(random.IntN(int(r.kind.duration)))
		r.end = clk.Now() + r.duration
		results[r.kind.route].longestWait = max(results[r.kind.route].longestWait, clk.Now()-r.arrival)
	}
	for range length {
		for _, k := range kinds {
			if random.Float64() >= k.perSecond/1000 {
				continue
			}
			results[k.route].asked++
			r := &request{kind: k, arrival: clk.Now(), ticket: &Ticket{Route: k.route, Rank: k.rank, Call: k.call, Deadline: clk.Now() + k.timeLimit, Objective: clk.Now() + k.objective}}
			switch q.Admit(r.ticket) {
			case Admitted:
				begin(r)
				all = append(all, r)
			case Queued:
				all = append(all, r)
			}
		}
		unfinished := []*request{}
		for _, r := range all {
			result := results[r.kind.route]
			switch {
			case r.end > 0 && r.end <= clk.Now():
				q.Release(r.ticket, r.duration)
				result.busy += r.duration
				if clk.Now() <= r.ticket.Objective {
					result.inTime++
				} else {
					result.late++
				}
				continue
			case r.end == 0 && r.ticket.Decision() == Admitted:
				begin(r)
			case r.end == 0 && r.ticket.Decision() != Queued:
				continue
			}
			unfinished = append(unfinished, r)
		}
		all = unfinished
		w.advance(1)
	}
	return results
}

// Guards against long work of low rank that blocks short work of high rank at the same
// target, and against long work that is starved by it: payouts take 84 ms and rota histories
// 480 ms, on nine slots, at 1.4 times of what the target can do.
func TestLongWorkDoesNotBlockShortWork(t *testing.T) {
	const slots, seconds, overload = 9, 30, 1.4
	payout := workKind{route: "payout", rank: 0, perSecond: 17, duration: 84, objective: 250, timeLimit: 1000}
	history := workKind{route: "history", rank: 2, duration: 480, objective: 1200, timeLimit: 5000}
	history.perSecond = (overload*slots - payout.perSecond*0.084) / 0.480
	results := play(slots, []workKind{payout, history}, seconds*1000)
	payouts, histories := results["payout"], results["history"]
	left := clock.Millis(slots*seconds*1000) - payouts.busy
	t.Logf("payouts: %+v, histories: %+v, capacity left for them %d ms", *payouts, *histories, left)
	qt.Check(t, payouts.inTime*100 >= payouts.asked*90, qt.IsTrue, qt.Commentf("%+v", *payouts))
	qt.Check(t, histories.busy*100 >= left*85, qt.IsTrue, qt.Commentf("%+v of %d ms", *histories, left))
	qt.Check(t, histories.inTime*100 >= (histories.inTime+histories.late)*80, qt.IsTrue, qt.Commentf("%+v", *histories))
}
