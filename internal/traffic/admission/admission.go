// Package admission decides which requests a target runs now, which wait in a queue, and
// which are rejected at once.
//
// The sidecar of a target's host sees all requests to the target, so it knows how many are
// running and can keep the queue itself. There, a waiting request can still be rejected
// with the certainty that it has not run, or go ahead of others. A queue inside the target
// allows neither.
//
// The queue is designed for bursts and slow targets, when more work arrives than the slots
// can do. Requests that can still meet their latency objective go before those that
// cannot. Among them, requests with a tight objective or of a route with high priority go
// first.
//
// A request is rejected as soon as it is expected to miss its objective, so that its caller
// can retry while there is time. This happens on arrival if the wait behind other requests
// would be too long, or later if the request has become late while others in the queue can
// still meet their objective. There are two exceptions:
//
//   - A request whose caller would have no time for a retry may wait until its deadline.
//   - A request that would miss its objective without any wait, because its target is slow or
//     its caller has come back, may wait for half of the time until its deadline, and 2 s at
//     most.
//
// A call is a request of a run that is under way at another target. If it fails, that run
// has used its slot for nothing. Calls therefore go before new requests, may wait until their
// deadline, and are ordered by it. New requests still get a part of the slots' time while both
// wait, so neither can lock the other out, and the time that calls have lately taken counts
// when a new request is weighed on arrival.
//
// A target may name the number of requests a second that it takes. Requests then begin at
// that pace, and the wait for their turn counts like the wait for a slot. The same holds for
// a target that is cold; see package coldstart.
//
// # Usage
//
//	q := admission.New(clock.System())
//	q.SetSlots(10)
//	t := &admission.Ticket{Route: "pledge", Deadline: now + 900, Objective: now + 200}
//	decision := q.Admit(t)
//	if decision == admission.Queued {
//		<-t.Decided()
//		decision = t.Decision()
//	}
//	...
//	q.Release(t, duration)
package admission

import (
	"slices"
	"sync"
	"time"

	"github.com/gentiansail/gentiansail/internal/traffic/coldstart"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Decision states what happens to a ticket.
type Decision int

const (
	// Queued means that the ticket waits; its Decided channel is closed later.
	Queued Decision = iota
	// Admitted means that the request has a slot.
	Admitted
	// Overloaded means that no slot is expected to become free in time.
	Overloaded
	// TooLate means that the remaining time is shorter than the work takes.
	TooLate
	// Removed means that RemoveIf removed the ticket from the queue.
	Removed
)

const (
	// defaultServiceMillis is the assumed duration of a request before any has been
	// measured.
	defaultServiceMillis = 50
	// meanWeight is the weight of a new measurement in the moving averages.
	meanWeight = 0.1
	// minServiceFactor is the fraction of the mean duration below which hardly any request
	// ends. A request with less remaining time than this is not started.
	minServiceFactor = 0.5
	// likelyServiceFactor is the multiple of the mean duration within which most requests
	// end. In a long queue, the requests that go first are those that can only just meet
	// their objective, so a smaller factor would make most responses late.
	likelyServiceFactor = 1.25
	// lateWaitDivisor limits the wait of a request that would miss its objective even
	// without a wait: it may wait for 1/lateWaitDivisor of its remaining time. Such a
	// request is often rejected in the end, because requests that can meet their objective
	// go first even if they arrive later. Its caller needs the rest of the time.
	lateWaitDivisor = 2
	// maxLateWait bounds that wait. A host that stops waits a few seconds for the requests of
	// its callers, so they must be decided on by then.
	maxLateWait clock.Millis = 2000
	// lateRankDelay orders requests that have already missed their objective: they count as if
	// it were that far away.
	lateRankDelay clock.Millis = 100
	// minRetryTime is the minimum time after the objective in which a rejected caller can
	// retry and be served. A caller with less time, such as a target that makes a call to
	// complete another request, is better off waiting.
	minRetryTime clock.Millis = 300
	// minCallServiceFactor is the fraction of the mean duration that a call must have left to
	// be started. It is higher than for other requests, since nobody can use a late response.
	minCallServiceFactor = 1
	// maxQueuedPerSlot bounds the length of the queue.
	maxQueuedPerSlot = 6
	// maxReturnDelay is the longest time after which a caller is asked to retry.
	maxReturnDelay clock.Millis = 3000
	// returnShare is the share of the slots' time that callers who come back are expected to
	// find.
	returnShare = 0.5
	// maxMeasuredRoutes bounds the number of routes with a moving average of their own.
	maxMeasuredRoutes = 512
)

// Ticket represents one request in a Queue.
type Ticket struct {
	Route string
	// Rank is the rank of the route; 0 is the highest priority.
	Rank int
	// Key is passed to the function given to RemoveIf.
	Key      int
	Deadline clock.Millis
	// Objective is the time by which the response should be complete, according to the
	// latency objective of the route.
	Objective clock.Millis
	// Call is true for a request that a run at another target waits for.
	Call bool

	// sequence is the position in the order of arrival.
	sequence int
	// latestStart is the latest time at which the request may get a slot.
	latestStart clock.Millis
	// rejectIfLate is true if the request could meet its objective on arrival and its
	// caller has time for a retry.
	rejectIfLate bool
	// virtualDeadline is the time of arrival plus (1 + Rank) times the time that was then
	// left until the objective. The function before orders tickets by it.
	virtualDeadline clock.Millis
	// begun is when the request got a slot.
	begun    clock.Millis
	decision Decision
	decided  chan struct{}
}

// Decided returns a channel that is closed when a queued ticket has a decision.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// LatestStart returns the latest time at which a queued ticket may get a slot.
func (t *Ticket) LatestStart() clock.Millis { return t.latestStart }

// Decision returns the decision about a ticket whose Decided channel is closed.
func (t *Ticket) Decision() Decision { return t.decision }

// Queue holds the requests that wait for a slot of one target. It is safe for concurrent
// use.
type Queue struct {
	clock clock.Clock

	mu           sync.Mutex
	slots        int
	running      int
	lastSequence int
	waiting      []*Ticket
	// calls divides the time of the slots between calls and new requests.
	calls callShare
	// nextReturn is when the next rejected caller is expected to find room, in milliseconds of
	// the clock.
	nextReturn float64
	// pace limits how often a request gets a slot.
	pace pace
	// cold limits how often a request gets a slot while the target is cold.
	cold *coldstart.Limiter
	// wakes are the times at which scheduled calls of advance are due, the earliest last.
	wakes []clock.Millis
	// after calls a function after a time.
	after func(clock.Millis, func())
	// routeMeans and mean are moving averages of the duration of requests, in
	// milliseconds, by route and over all requests.
	routeMeans map[string]float64
	mean       float64
	slowdown   slowdown
}

// New returns a queue for a target without slots.
func New(clk clock.Clock) *Queue {
	return &Queue{
		clock: clk, cold: coldstart.New(), routeMeans: map[string]float64{},
		after: func(d clock.Millis, f func()) { time.AfterFunc(d.Duration(), f) },
	}
}

// SetSlots sets how many requests the target runs at the same time.
func (q *Queue) SetSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = n
	q.assignSlots()
}

// SetRate limits how many requests a second get a slot; 0 removes the limit.
func (q *Queue) SetRate(perSecond float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pace.set(perSecond, q.clock.Now())
	q.assignSlots()
}

// advance assigns slots when the pace allows the next request.
func (q *Queue) advance() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n := len(q.wakes); n > 0 {
		q.wakes = q.wakes[:n-1]
	}
	q.assignSlots()
}

// Admit decides about a request at once, or queues it and returns Queued.
func (q *Queue) Admit(t *Ticket) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.lastSequence++
	t.sequence = q.lastSequence
	decision, _ := q.judge(t, now)
	if decision != TooLate {
		q.countCall(t, now)
	}
	switch decision {
	case Admitted:
		q.begin(t, now)
	case Queued:
		t.decided = make(chan struct{})
		q.waiting = append(q.waiting, t)
		q.scheduleAdvance(now)
	}
	return decision
}

// CountRejected counts a request that was rejected without a call of Admit. It may be a call, for
// which slots have to be kept.
func (q *Queue) CountRejected(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.countCall(t, q.clock.Now())
}

func (q *Queue) countCall(t *Ticket, now clock.Millis) {
	if t.Call {
		q.calls.recordDemand(q.expectedDuration(t), now)
	}
}

// Preview returns what Admit would decide about a request, the expected wait of a request that
// would be queued, and when the caller of a rejected one would be asked to return. It changes
// only the ticket, which must not be admitted afterwards.
func (q *Queue) Preview(t *Ticket) (decision Decision, wait, returnDelay clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	t.sequence = q.lastSequence + 1
	decision, wait = q.judge(t, now)
	if decision == Overloaded {
		returnDelay = min(clock.Millis(q.nextPlace(now))-now, maxReturnDelay)
	}
	return decision, wait, returnDelay
}

// judge decides about a request that arrives, and returns how long it is expected to wait. It
// sets what the ticket holds about its wait.
func (q *Queue) judge(t *Ticket, now clock.Millis) (decision Decision, wait clock.Millis) {
	timeLeft := t.Objective - now
	if timeLeft < 0 {
		timeLeft = lateRankDelay
	}
	t.virtualDeadline = now + timeLeft*clock.Millis(1+t.Rank)
	if t.Call {
		t.virtualDeadline = t.Deadline
	}
	t.latestStart = t.Deadline - q.minDuration(t)
	if now > t.latestStart {
		return TooLate, 0
	}
	// A call does not wait behind new requests that leave room for calls.
	ahead := len(q.waiting)
	if t.Call {
		ahead = q.countWaiting(true)
	}
	if ahead == 0 && q.hasRoom(t, now) && q.turn(now, 0) == 0 {
		return Admitted, 0
	}
	wait = q.expectedWait(t, now)
	if canRetry := !t.Call && t.latestStart-t.Objective >= minRetryTime; canRetry {
		if t.rejectIfLate = q.canMeetObjective(t, now); !t.rejectIfLate {
			t.latestStart = now + min((t.latestStart-now)/lateWaitDivisor, maxLateWait)
		}
	}
	if q.countWaiting(t.Call) >= maxQueuedPerSlot*max(q.slots, 1) || now+wait > t.latestStart || t.rejectIfLate && !q.canMeetObjective(t, now+wait) {
		return Overloaded, wait
	}
	return Queued, wait
}

// countWaiting returns the number of waiting calls or of other waiting requests.
func (q *Queue) countWaiting(calls bool) int {
	n := 0
	for _, t := range q.waiting {
		if t.Call == calls {
			n++
		}
	}
	return n
}

// hasRoom reports whether a slot is free that the request may take.
func (q *Queue) hasRoom(t *Ticket, now clock.Millis) bool {
	if t.Call {
		return q.running < q.slots
	}
	return q.running+q.calls.reserved(q.slots, now) < q.slots
}

// begin counts a request that gets a slot.
func (q *Queue) begin(t *Ticket, now clock.Millis) {
	q.running++
	t.begun = now
	q.pace.begin(now)
	q.cold.Begin(now)
	q.calls.begin(t)
}

// scheduleAdvance makes a free slot be assigned when the pace allows it, or when it may no
// longer be kept for calls.
func (q *Queue) scheduleAdvance(now clock.Millis) {
	if len(q.waiting) == 0 || q.running >= q.slots {
		return // the next release assigns its slot
	}
	wait := max(q.turn(now, 0), 1)
	if !slices.ContainsFunc(q.waiting, func(t *Ticket) bool { return q.hasRoom(t, now) }) {
		wait = max(wait, reservedCheckInterval)
	}
	// The calls that are scheduled already are not cancelled, so they are not scheduled again.
	if n := len(q.wakes); n == 0 || now+wait < q.wakes[n-1] {
		q.wakes = append(q.wakes, now+wait)
		q.after(wait, q.advance)
	}
}

// Expire removes a waiting ticket whose latest start has come. The decision is Overloaded if its
// caller has time for a retry, and TooLate otherwise. It returns false if the ticket already has
// a decision.
func (q *Queue) Expire(t *Ticket) (decision Decision, ok bool) {
	if !q.Cancel(t) {
		return Queued, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.Deadline-q.minDuration(t)-q.clock.Now() >= minRetryTime {
		return Overloaded, true
	}
	return TooLate, true
}

// Cancel removes a waiting ticket from the queue. It returns false if the ticket already
// has a decision; if that is Admitted, the caller must release the slot.
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

// Release releases the slot of a request. If duration is positive, it is recorded as the
// time that the target took.
func (q *Queue) Release(t *Ticket, duration clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.calls.end(t)
	if duration > 0 {
		q.recordDuration(t.Route, float64(duration))
	}
	q.assignSlots()
}

// RemoveIf removes the waiting tickets for whose keys the function returns true, with the
// decision Removed. It is used when the target may no longer run requests for these keys,
// so that they can be sent to the right target without a further wait.
func (q *Queue) RemoveIf(remove func(key int) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if remove(t.Key) {
			t.decide(Removed)
			continue
		}
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

func (q *Queue) recordDuration(route string, duration float64) {
	if q.mean == 0 {
		q.mean = duration
	}
	q.mean += meanWeight * (duration - q.mean)
	old, ok := q.routeMeans[route]
	if !ok {
		if len(q.routeMeans) >= maxMeasuredRoutes {
			return
		}
		old = duration
	}
	q.routeMeans[route] = old + meanWeight*(duration-old)
}

// Load returns the number of running and of waiting requests, the number of slots and the
// mean duration of a request.
func (q *Queue) Load() (running, waiting, slots int, mean clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting), q.slots, clock.Millis(q.mean + 0.5)
}

// CallShare returns the share of the slots' time that calls have lately asked for.
func (q *Queue) CallShare() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.calls.usage(q.slots, q.clock.Now())
}

// RetryAfter returns the expected time until the queue is empty.
func (q *Queue) RetryAfter() clock.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.timeToEmpty()
}

// BookReturn returns the time after which the caller of a rejected ticket should retry. Each
// call books a place: the callers come back one after the other once the queue is expected to
// be empty, at a rate that leaves room for new requests. If all places within maxReturnDelay
// are taken, it returns maxReturnDelay. A place that is not used is lost.
func (q *Queue) BookReturn(t *Ticket) clock.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	place := q.nextPlace(now)
	if place > float64(now+maxReturnDelay) {
		return maxReturnDelay
	}
	q.nextReturn = place + q.expectedDuration(t)/(float64(max(q.slots, 1))*returnShare)
	return clock.Millis(place) - now
}

// nextPlace returns when the next rejected caller is expected to find room, in milliseconds of the
// clock. The caller must hold q.mu.
func (q *Queue) nextPlace(now clock.Millis) float64 {
	return max(q.nextReturn, float64(now+q.timeToEmpty()))
}

// timeToEmpty returns the expected time until the queue is empty. The caller must hold q.mu.
func (q *Queue) timeToEmpty() clock.Millis {
	work := 0.0
	for _, t := range q.waiting {
		work += q.expectedDuration(t)
	}
	return max(clock.Millis(work/float64(max(q.slots, 1))+q.mean/2), q.turn(q.clock.Now(), len(q.waiting)))
}

// expectedDuration returns how long a request is expected to take if it begins now. The caller
// must hold q.mu.
func (q *Queue) expectedDuration(t *Ticket) float64 {
	mean := q.routeMean(t.Route)
	if q.slowdown.mean == 0 {
		return mean // without a reading of the clock: this is called for each pair of tickets
	}
	return q.slowdown.apply(mean, q.clock.Now())
}

// ExpectedDuration returns the mean duration of a request of a route.
func (q *Queue) ExpectedDuration(route string) clock.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	return clock.Millis(q.routeMean(route) + 0.5)
}

// MeanDuration returns the mean duration of a request, or what is assumed before any has been
// measured.
func (q *Queue) MeanDuration() clock.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	return clock.Millis(q.routeMean("") + 0.5)
}

// routeMean returns the mean duration of the requests of a route in milliseconds, or that of all
// requests if the route has not been measured.
func (q *Queue) routeMean(route string) float64 {
	if m, ok := q.routeMeans[route]; ok {
		return m
	}
	if q.mean > 0 {
		return q.mean
	}
	return defaultServiceMillis
}

// minDuration returns the duration below which the request is unlikely to end; 0 if its
// route has not been measured.
func (q *Queue) minDuration(t *Ticket) clock.Millis {
	if _, measured := q.routeMeans[t.Route]; !measured {
		return 0
	}
	factor := minServiceFactor
	if t.Call {
		factor = minCallServiceFactor
	}
	return clock.Millis(q.expectedDuration(t) * factor)
}

// expectedWait returns the expected wait of a ticket behind those that go before it.
func (q *Queue) expectedWait(t *Ticket, now clock.Millis) clock.Millis {
	work := q.expectedDuration(t) / 2 // on average, a running request has half of its work left
	first := 0
	for _, w := range q.waiting {
		if q.precedes(w, t, true, now) {
			work += q.expectedDuration(w)
			first++
		}
	}
	slots := float64(max(q.slots, 1))
	if !t.Call {
		slots *= 1 - q.calls.usage(q.slots, now)
	}
	return max(clock.Millis(work/slots), q.turn(now, first))
}

// before reports whether a goes before b, for two tickets that can both meet their
// objective or both cannot. They are ordered by virtual deadline:
//
//   - Of two tickets with the same objective, the one with the higher priority goes first.
//   - A short call with a tight objective goes before longer work of a higher priority,
//     because the request that depends on the call would fail without it.
//   - No ticket waits forever, whatever its rank.
func before(a, b *Ticket) bool {
	if a.virtualDeadline != b.virtualDeadline {
		return a.virtualDeadline < b.virtualDeadline
	}
	return a.sequence < b.sequence
}

// assignSlots rejects the tickets that have become too late, and assigns free slots to the
// first of the others as far as the pace allows.
func (q *Queue) assignSlots() {
	now := q.clock.Now()
	q.rejectLate(now)
	q.rejectBeyondTurn(now)
	for q.running < q.slots && len(q.waiting) > 0 && q.turn(now, 0) == 0 {
		first := -1
		for i, t := range q.waiting {
			if q.hasRoom(t, now) && (first < 0 || q.preferred(t, q.waiting[first], now)) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		t := q.waiting[first]
		if q.countWaiting(!t.Call) > 0 {
			q.calls.recordContended(t.Call, q.expectedDuration(t), q.slots)
		}
		q.waiting = append(q.waiting[:first], q.waiting[first+1:]...)
		q.begin(t, now)
		t.decide(Admitted)
	}
	q.scheduleAdvance(now)
}

// rejectLate rejects the tickets that cannot be completed before their deadline. While
// other tickets can meet their objective, it also rejects those with rejectIfLate that no
// longer can. Otherwise they would wait behind the others until their own deadline passes.
func (q *Queue) rejectLate(now clock.Millis) {
	anyCanMeetObjective := slices.ContainsFunc(q.waiting, func(t *Ticket) bool { return !t.Call && q.canMeetObjective(t, now) })
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		switch {
		case now+q.minDuration(t) > t.Deadline:
			t.decide(TooLate)
		case anyCanMeetObjective && t.rejectIfLate && !q.canMeetObjective(t, now):
			t.decide(Overloaded)
		default:
			kept = append(kept, t)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// precedes reports whether a gets a slot before b. callsFirst states which of a call and a new
// request goes first.
func (q *Queue) precedes(a, b *Ticket, callsFirst bool, now clock.Millis) bool {
	if a.Call != b.Call {
		return a.Call == callsFirst
	}
	if a.Call {
		return before(a, b)
	}
	canMeetA, canMeetB := q.canMeetObjective(a, now), q.canMeetObjective(b, now)
	if canMeetA != canMeetB {
		return canMeetA
	}
	return before(a, b)
}

// preferred reports whether a gets a slot before b now, by the shares of calls and new requests.
func (q *Queue) preferred(a, b *Ticket, now clock.Millis) bool {
	return q.precedes(a, b, q.calls.goFirst(), now)
}

// canMeetObjective reports whether a ticket that gets a slot at the given time is likely
// to meet its objective.
func (q *Queue) canMeetObjective(t *Ticket, start clock.Millis) bool {
	return float64(start)+likelyServiceFactor*q.expectedDuration(t) <= float64(t.Objective)
}

func (t *Ticket) decide(decision Decision) {
	t.decision = decision
	close(t.decided)
}
