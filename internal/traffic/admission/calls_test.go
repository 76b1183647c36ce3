package admission

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against new requests that go before calls of runs that are under way: of three
// targets one is left, and calls of 15 ms compete with bookings of 42 ms for its slots, at 1.3
// times of what it can do. A call that fails fails the pledge that made it.
func TestCallsOfRunningWorkGoFirst(t *testing.T) {
	const slots, seconds = 10, 30
	call := workKind{route: "check", rank: 1, perSecond: 170, duration: 15, objective: 60, timeLimit: 200, call: true}
	booking := workKind{route: "booking", rank: 1, duration: 42, objective: 300, timeLimit: 2000}
	booking.perSecond = (1.3*slots - call.perSecond*0.015) / 0.042
	results := play(slots, []workKind{call, booking}, seconds*1000)
	calls, bookings := results["check"], results["booking"]
	left := clock.Millis(slots*seconds*1000) - calls.busy
	t.Logf("calls: %+v, bookings: %+v, capacity left for them %d ms", *calls, *bookings, left)
	qt.Check(t, (calls.inTime+calls.late)*1000 >= calls.asked*995, qt.IsTrue, qt.Commentf("%+v", *calls))
	qt.Check(t, calls.longestWait <= 100, qt.IsTrue, qt.Commentf("%+v", *calls))
	qt.Check(t, bookings.busy*100 >= left*85, qt.IsTrue, qt.Commentf("%+v of %d ms", *bookings, left))
}

// Guards against calls that miss their objective and then wait behind long work that can still
// meet its own: at a hot owner, calls of 30 ms compete with exports of 300 ms.
func TestCallsDoNotWaitBehindLongWork(t *testing.T) {
	const slots, seconds = 9, 30
	call := workKind{route: "index", rank: 2, perSecond: 60, duration: 30, objective: 120, timeLimit: 400, call: true}
	export := workKind{route: "export", rank: 2, duration: 300, objective: 1500, timeLimit: 2000}
	export.perSecond = (1.5*slots - call.perSecond*0.030) / 0.300
	results := play(slots, []workKind{call, export}, seconds*1000)
	calls, exports := results["index"], results["export"]
	left := clock.Millis(slots*seconds*1000) - calls.busy
	t.Logf("calls: %+v, exports: %+v, capacity left for them %d ms", *calls, *exports, left)
	qt.Check(t, (calls.inTime+calls.late)*100 >= calls.asked*99, qt.IsTrue, qt.Commentf("%+v", *calls))
	qt.Check(t, exports.busy*100 >= left*80, qt.IsTrue, qt.Commentf("%+v of %d ms", *exports, left))
}

// Guards against new requests that starve at a target whose slots calls would fill.
func TestNewRequestsDoNotStarveBehindCalls(t *testing.T) {
	const slots, seconds = 9, 30
	call := workKind{route: "index", rank: 0, perSecond: 600, duration: 30, objective: 120, timeLimit: 400, call: true}
	export := workKind{route: "export", rank: 2, perSecond: 30, duration: 300, objective: 1500, timeLimit: 2000}
	results := play(slots, []workKind{call, export}, seconds*1000)
	exports := results["export"]
	t.Logf("calls: %+v, exports: %+v", *results["index"], *exports)
	qt.Check(t, float64(exports.busy) >= 0.8*(1-maxCallShare)*slots*seconds*1000, qt.IsTrue, qt.Commentf("%+v", *exports))
}

// callingRun is a run that calls the other service in its middle.
type callingRun struct {
	ticket *Ticket
	at     int // the service that runs it
	// until is when its current phase ends; 0 while it waits.
	until  clock.Millis
	call   *callingRun // the call that it waits for
	isCall bool
}

// Guards against two services that call each other and fill all their slots with runs that wait
// for each other. Each run takes 20 ms, then waits for a call of 20 ms to the other service,
// under twice the load that both can serve.
func TestServicesThatCallEachOtherDoNotLock(t *testing.T) {
	const slots, seconds, work = 4, 20, 20
	m := clock.NewManual(1000)
	clk := m.Clock()
	random := rand.New(rand.NewPCG(5, 6))
	queues := [2]*Queue{New(clk), New(clk)}
	var wakeUps [2]*wakes
	for i, q := range queues {
		wakeUps[i] = newWakes(m, q)
		q.SetSlots(slots)
	}
	var runs []*callingRun
	served, failed, begun := [2]int{}, 0, 0
	admit := func(r *callingRun, objective, limit clock.Millis) bool {
		route := "new"
		if r.isCall {
			route = "call"
		}
		r.ticket = &Ticket{Route: route, Call: r.isCall, Objective: clk.Now() + objective, Deadline: clk.Now() + limit}
		switch queues[r.at].Admit(r.ticket) {
		case Admitted:
			r.until = clk.Now() + work
		case Queued:
		default:
			return false
		}
		runs = append(runs, r)
		return true
	}
	waits := func(r *callingRun) bool { return r.until == 0 && r.call == nil }
	done := map[*callingRun]bool{} // calls that ended, and whether they were served
	for range seconds * 1000 {
		for at := range queues {
			if random.Float64() < 2*slots/(2.0*work)/1.5 {
				admit(&callingRun{at: at}, 300, 1000)
			}
		}
		current := runs
		runs = nil
		for _, r := range current {
			if waits(r) {
				switch r.ticket.Decision() {
				case Admitted:
					r.until = clk.Now() + work
				case Queued:
					// The gate cancels a request whose time is over.
					if clk.Now() > r.ticket.LatestStart() && queues[r.at].Cancel(r.ticket) {
						done[r] = false
						continue
					}
				default:
					done[r] = false
					continue
				}
			}
			finish := func(ok bool) {
				queues[r.at].Release(r.ticket, work)
				switch {
				case r.isCall:
					done[r] = ok
				case ok:
					served[r.at]++
				default:
					failed++
				}
			}
			if r.call != nil {
				if ok, ended := done[r.call]; ended {
					delete(done, r.call)
					finish(ok)
					continue
				}
			} else if r.until > 0 && r.until <= clk.Now() {
				if r.isCall {
					finish(true)
					continue
				}
				begun++
				r.call = &callingRun{at: 1 - r.at, isCall: true}
				if !admit(r.call, 60, 200) {
					finish(false)
					continue
				}
			}
			runs = append(runs, r)
		}
		m.Advance(1)
		for _, w := range wakeUps {
			w.run()
		}
	}
	t.Logf("served %v, failed in their run %d of %d", served, failed, begun)
	for at, n := range served {
		// A run holds a slot for 40 ms at least, and one of the other service for 20 ms.
		qt.Check(t, n >= slots*seconds*1000/60*7/10, qt.IsTrue, qt.Commentf("service %d: %d", at, n))
	}
	qt.Check(t, failed*100 <= begun, qt.IsTrue, qt.Commentf("%d of %d", failed, begun))
}
