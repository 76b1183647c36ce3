// Package admission decides which requests a target runs now, which wait, and
// which are refused at once.
//
// The sidecar beside a target sees all of its requests, so it knows how many run
// and can keep the queue itself, where a request that waits can still be refused
// truthfully or go first. A target's own queue can do neither.
//
// The load it answers is a burst or a slow target: more work arrives than the
// slots can do. Requests that can still be answered within their latency objective
// go before those that cannot, and among them tight objectives and urgent routes go
// first. The queue is therefore no longer than the objective: a request that would be
// late behind it, and one that has become late while others are in time, is refused at
// once, so that its caller can come back while there is time. The deadline counts instead
// where there is no such time, as for the short calls of targets, and half of it where a
// request would be late without any wait, at a slow target.
//
// # Usage
//
//	q := admission.New(clock.System())
//	q.SetSlots(10)
//	t := &admission.Ticket{Route: "pledge", Deadline: now + 900, Aim: now + 200}
//	if verdict := q.Enter(t); verdict == admission.Wait {
//		<-t.Decided()
//	}
//	...
//	q.Leave(t, took)
package admission

import (
	"slices"
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Decision is what becomes of a ticket.
type Decision int

const (
	// Queued: the decision comes later, on Decided.
	Queued Decision = iota
	// Admitted: the request has a slot.
	Admitted
	// Overloaded: no slot will be free in time.
	Overloaded
	// TooLate: the time that is left is shorter than the work.
	TooLate
	// Removed: the target may not run the request any more.
	Removed
)

const (
	// unknownMillis stands for the time of a route that was not measured.
	unknownMillis = 50
	// weight of a new measurement in the mean.
	weight = 0.1
	// shortest is the part of the mean below which hardly any request ends; a
	// request with less time left than this is not begun.
	shortest = 0.5
	// likely is the part of the mean within which most requests end. In a long queue
	// the first in time are those that are about to be late, so that a smaller
	// figure makes most answers late.
	likely = 1.25
	// lateShare is the part, one in so many, of its time for which a request waits that
	// would be late without any wait. Those in time go before it, also if they arrive
	// later, so that it is often refused in the end; its caller needs the rest.
	lateShare = 2
	// returnTime is the least time after the objective in which a refused caller can come
	// back and be served. One with less, such as a target that calls for another request,
	// is better off waiting.
	returnTime clock.Millis = 300
	// queuePerSlot bounds the queue.
	queuePerSlot = 6
	// maxRoutes bounds the routes that are measured on their own.
	maxRoutes = 512
)

// Ticket is one request.
type Ticket struct {
	Route string
	Rank  int
	// Key is what Remove decides by.
	Key      int
	Deadline clock.Millis
	// Objective is the time until which an answer has its full worth.
	Objective clock.Millis

	order int
	// latest is when the work would have to begin to end before the deadline.
	latest clock.Millis
	// timely is true if the ticket could be in time when it entered, and its caller can
	// come back if it is not.
	timely bool
	// virtual is the time by which the queue orders tickets.
	virtual clock.Millis
	verdict Decision
	decided chan struct{}
}

// Decided is closed when a waiting ticket has its verdict.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// LatestStart returns until when a waiting ticket may get a slot.
func (t *Ticket) LatestStart() clock.Millis { return t.latest }

// Decision returns the verdict of a ticket that is decided.
func (t *Ticket) Decision() Decision { return t.verdict }

// Queue is the queue before one target. It is safe for concurrent use.
type Queue struct {
	clock clock.Clock

	mu      sync.Mutex
	slots   int
	running int
	order   int
	waiting []*Ticket
	means   map[string]float64
	mean    float64
}

// New returns a queue without slots.
func New(k clock.Clock) *Queue {
	return &Queue{clock: k, means: map[string]float64{}}
}

// SetSlots sets how many requests the target runs at once.
func (q *Queue) SetSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = n
	q.fill()
}

// Admit decides about a request or lets it wait.
func (q *Queue) Admit(t *Ticket) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.order++
	t.order = q.order
	t.virtual = now + (t.Objective-now)*clock.Millis(1+t.Rank)
	t.latest = t.Deadline - q.least(t)
	if now > t.latest {
		return TooLate
	}
	if q.running < q.slots && len(q.waiting) == 0 {
		q.running++
		return Admitted
	}
	wait := q.waitOf(t)
	if returns := t.latest-t.Objective >= returnTime; returns {
		if t.timely = q.inTime(t, now); !t.timely {
			t.latest = now + (t.latest-now)/lateShare
		}
	}
	if len(q.waiting) >= queuePerSlot*max(q.slots, 1) || now+wait > t.latest || t.timely && !q.inTime(t, now+wait) {
		return Overloaded
	}
	t.decided = make(chan struct{})
	q.waiting = append(q.waiting, t)
	return Queued
}

// Cancel takes a waiting ticket out. It returns false if the ticket has a verdict
// already; with Run the caller then owns a slot.
func (q *Queue) Cancel(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, w := range q.waiting {
		if w == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Release gives a slot back. A time above 0 is a measurement of the work.
func (q *Queue) Release(t *Ticket, took clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if took > 0 {
		q.measure(t.Route, float64(took))
	}
	q.fill()
}

// RemoveIf hands back the waiting requests whose keys are gone, so that they wait no
// longer in the wrong place.
func (q *Queue) RemoveIf(gone func(key int) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if gone(t.Key) {
			t.decide(Removed)
			continue
		}
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

func (q *Queue) measure(route string, took float64) {
	if q.mean == 0 {
		q.mean = took
	}
	q.mean += weight * (took - q.mean)
	old, ok := q.means[route]
	if !ok {
		if len(q.means) >= maxRoutes {
			return
		}
		old = took
	}
	q.means[route] = old + weight*(took-old)
}

// Load returns how busy the target is, and its mean time for a request.
func (q *Queue) Load() (running, waiting, slots int, mean clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting), q.slots, clock.Millis(q.mean + 0.5)
}

// RetryAfter returns in what time the queue will have been worked off.
func (q *Queue) RetryAfter() clock.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	work := 0.0
	for _, t := range q.waiting {
		work += q.expected(t)
	}
	return clock.Millis(work/float64(max(q.slots, 1)) + q.mean/2)
}

func (q *Queue) expected(t *Ticket) float64 {
	if m, ok := q.means[t.Route]; ok {
		return m
	}
	if q.mean > 0 {
		return q.mean
	}
	return unknownMillis
}

// least is the time below which the request would hardly end.
func (q *Queue) least(t *Ticket) clock.Millis {
	if _, measured := q.means[t.Route]; !measured {
		return 0
	}
	return clock.Millis(q.expected(t) * shortest)
}

// waitOf is the expected wait of a ticket behind those that go before it.
func (q *Queue) waitOf(t *Ticket) clock.Millis {
	work := q.expected(t) / 2 // a slot is free after half of a request on average
	for _, w := range q.waiting {
		if before(w, t) {
			work += q.expected(w)
		}
	}
	return clock.Millis(work / float64(max(q.slots, 1)))
}

// before orders tickets that are alike in whether they are still in time: by the end
// of the objective, which counts once more for each rank below the highest. Of two
// with the same objective the more urgent goes first; a short call with a tight one
// goes before longer work of a higher rank, as the request that waits for it fails
// as a whole without it; and no rank waits for ever.
func before(a, b *Ticket) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.order < b.order
}

// fill hands free slots to the best tickets, and refuses those that have become
// hopeless.
func (q *Queue) fill() {
	now := q.clock.Now()
	q.refuse(now)
	for q.running < q.slots && len(q.waiting) > 0 {
		best := 0
		for i := range q.waiting {
			if q.better(q.waiting[i], q.waiting[best], now) {
				best = i
			}
		}
		t := q.waiting[best]
		q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
		q.running++
		t.decide(Admitted)
	}
}

// refuse ends the wait of tickets that cannot end before their deadline, and of those
// that became late while others are in time: these would go first until the deadline of
// the former is over.
func (q *Queue) refuse(now clock.Millis) {
	crowded := slices.ContainsFunc(q.waiting, func(t *Ticket) bool { return q.inTime(t, now) })
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		switch {
		case now+q.least(t) > t.Deadline:
			t.decide(TooLate)
		case crowded && t.timely && !q.inTime(t, now):
			t.decide(Overloaded)
		default:
			kept = append(kept, t)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

func (q *Queue) better(a, b *Ticket, now clock.Millis) bool {
	inTimeA, inTimeB := q.inTime(a, now), q.inTime(b, now)
	if inTimeA != inTimeB {
		return inTimeA
	}
	return before(a, b)
}

func (q *Queue) inTime(t *Ticket, now clock.Millis) bool {
	return float64(now)+likely*q.expected(t) <= float64(t.Objective)
}

func (t *Ticket) decide(v Decision) {
	t.verdict = v
	close(t.decided)
}
