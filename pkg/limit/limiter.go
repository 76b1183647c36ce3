// Package limit decides which requests a target runs now, which of them wait, and
// which are rejected immediately without having been run.
//
// A Limiter limits the requests to one target. It admits requests up to a
// concurrency limit that it learns from latency and shed requests, and that never
// exceeds the slots announced by the target. Further requests wait in a queue of
// their class. A request whose estimated end is past its deadline is rejected
// without waiting, so that the caller still has time to react.
//
// Classes share the limit in proportion to their reserved shares, but only while
// they compete: a class may use the whole limit when no other class waits.
//
// A CallerBudget limits the request rate of each caller over all nodes. It uses
// local state only. Nodes report the demand of their callers in messages that they
// send anyway, and SharesByDemand divides the rate among the nodes.
//
// # Usage
//
//	c := clock.System()
//	l := limit.New(limit.Options{Clock: c, Slots: 10})
//	p, err := l.Acquire(ctx, limit.Critical, c.Now()+2000)
//	if err != nil {
//		// not run: ErrDeadline, ErrQueueFull or ErrCanceled
//	}
//	sent := c.Now()
//	shed := forward()
//	p.Done(limit.Result{Latency: c.Now() - sent, Shed: shed})
package limit

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Errors of this package. Each means that the request was not run.
var (
	// ErrDeadline means that the request cannot finish before its deadline.
	ErrDeadline = merry.Sentinel("request cannot finish before its deadline")
	// ErrQueueFull means that the queue of the request's class is full.
	ErrQueueFull = merry.Sentinel("queue is full")
	// ErrCanceled means that the caller gave up while the request waited.
	ErrCanceled = merry.Sentinel("request was canceled while it waited")
)

// Class is the priority class of a request.
type Class int

// The classes, in descending order of importance.
const (
	Critical Class = iota
	Normal
	Browse

	classCount = 3
)

// PerClass holds one value for each class.
type PerClass [classCount]float64

// DefaultShares are the reserved shares if Options states none.
var DefaultShares = PerClass{Critical: 0.5, Normal: 0.3, Browse: 0.2}

// defaultQueueLength bounds each class's queue. With 10 slots and 20 ms for each
// request, a request waits at most 128 ms in the full queue of the only active class.
const defaultQueueLength = 64

// Options are the settings of a Limiter.
type Options struct {
	// Clock measures deadlines and latencies. Required.
	Clock clock.Clock
	// Slots is the number of concurrent requests that the target announced. The limit
	// never exceeds it. Values below 1 count as 1.
	Slots int
	// QueueLength is the number of requests of one class that may wait. Zero
	// means 64.
	QueueLength int
	// Shares are the reserved shares of the classes. The zero value means
	// DefaultShares.
	Shares PerClass
	// FixedLimit keeps the limit at Slots.
	FixedLimit bool
}

// Result is the outcome of an admitted request.
type Result struct {
	// Latency is the time from forwarding the request to the end of its response.
	Latency clock.Millis
	// Shed reports that the target rejected the request because of overload.
	Shed bool
	// Failed reports that the latency does not reflect the target's load, for
	// example because the connection broke.
	Failed bool
}

// Limiter admits requests to one target. It is safe for concurrent use.
type Limiter struct {
	mu          sync.Mutex
	clock       clock.Clock
	queueLength int
	shares      PerClass
	fixedLimit  bool
	adjuster    adjuster
	running     [classCount]int
	inFlight    int // the sum of running
	// exclusive is set while a request with an exclusive permit runs.
	exclusive      bool
	queues         [classCount][]*waiter
	exclusiveQueue []*waiter
	meanLatency    [classCount]float64 // in milliseconds
}

// Permit is the right to run one request. Done must be called when the request has
// ended.
type Permit struct {
	limiter   *Limiter
	class     Class
	exclusive bool
	done      atomic.Bool
}

// Ticket is a request's position in a queue.
type Ticket struct {
	limiter *Limiter
	waiter  *waiter
}

// Granted returns a channel that receives the permit. The channel is closed without a
// permit if the deadline has passed when the request reaches the head of its queue.
func (t *Ticket) Granted() <-chan *Permit { return t.waiter.granted }

// Abandon leaves the queue, and releases a permit that was granted concurrently. The
// channel of Granted must not be read afterwards.
func (t *Ticket) Abandon() { t.limiter.abandon(t.waiter) }

// waiter is a request in a queue. Its channel receives the permit, or is closed
// when the deadline passed in the queue.
type waiter struct {
	class     Class
	exclusive bool
	deadline  clock.Millis
	granted   chan *Permit
}

// New returns a limiter whose initial limit is the announced number of slots.
func New(o Options) *Limiter {
	if o.QueueLength <= 0 {
		o.QueueLength = defaultQueueLength
	}
	if o.Shares == (PerClass{}) {
		o.Shares = DefaultShares
	}
	return &Limiter{
		clock:       o.Clock,
		queueLength: o.QueueLength,
		shares:      o.Shares,
		fixedLimit:  o.FixedLimit,
		adjuster:    newAdjuster(max(o.Slots, 1)),
	}
}

// Acquire waits for a permit. deadline is a time of the limiter's clock. Acquire
// returns ErrDeadline immediately if the request cannot finish before the deadline,
// ErrQueueFull if the queue of its class is full, and ErrCanceled when ctx is
// canceled.
func (l *Limiter) Acquire(ctx context.Context, c Class, deadline clock.Millis) (*Permit, error) {
	p, w, err := l.admitOrQueue(c, deadline)
	if w == nil {
		return p, err
	}
	return l.wait(ctx, w)
}

// Enqueue is a variant of Acquire for event loops: it never blocks. It returns a
// permit if the request may run now, a ticket if it must wait, or ErrDeadline or
// ErrQueueFull. The caller must abandon the ticket when the deadline passes.
func (l *Limiter) Enqueue(c Class, deadline clock.Millis) (*Permit, *Ticket, error) {
	p, w, err := l.admitOrQueue(c, deadline)
	if w == nil {
		return p, nil, err
	}
	return nil, &Ticket{limiter: l, waiter: w}, nil
}

// AcquireExclusive waits until no other request runs at the target. Other requests
// then wait until Done is called on the permit. The errors are those of Acquire.
func (l *Limiter) AcquireExclusive(ctx context.Context, deadline clock.Millis) (*Permit, error) {
	p, w, err := l.admitOrQueueExclusive(deadline)
	if w == nil {
		return p, err
	}
	return l.wait(ctx, w)
}

// InFlight returns the number of requests that hold a permit.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Waiting returns the number of requests in the queues.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.exclusiveQueue)
	for _, q := range l.queues {
		n += len(q)
	}
	return n
}

// Limit returns the current concurrency limit.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.adjuster.wholeLimit()
}

// SetSlots changes the number of slots that the target announced.
func (l *Limiter) SetSlots(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adjuster.setCeiling(max(n, 1))
	l.grantWaiting(l.clock.Now())
}

// Done releases the permit and records the result of the request. Further calls have
// no effect.
func (p *Permit) Done(r Result) {
	if !p.done.CompareAndSwap(false, true) {
		return
	}
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.observe(p, now, r)
	l.release(p, now)
}

// admitOrQueue returns a permit if the request may run now, otherwise a waiter in the
// queue of its class.
func (l *Limiter) admitOrQueue(c Class, deadline clock.Millis) (*Permit, *waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := float64(deadline - l.clock.Now())
	if remaining <= 0 {
		return nil, nil, ErrDeadline
	}
	hasSlot := !l.exclusive && len(l.exclusiveQueue) == 0 && l.inFlight < l.adjuster.wholeLimit()
	if hasSlot {
		// With no request in flight the mean latency is ignored, since only a new
		// sample can correct a mean that is too high.
		if l.inFlight > 0 && l.meanLatency[c] > remaining {
			return nil, nil, ErrDeadline
		}
		return l.admit(c, false), nil, nil
	}
	if len(l.queues[c]) >= l.queueLength {
		return nil, nil, ErrQueueFull
	}
	if l.estimateMillis(c) > remaining {
		return nil, nil, ErrDeadline
	}
	w := &waiter{class: c, deadline: deadline, granted: make(chan *Permit, 1)}
	l.queues[c] = append(l.queues[c], w)
	return nil, w, nil
}

// admitOrQueueExclusive is admitOrQueue for an exclusive permit.
func (l *Limiter) admitOrQueueExclusive(deadline clock.Millis) (*Permit, *waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if deadline <= l.clock.Now() {
		return nil, nil, ErrDeadline
	}
	if l.inFlight == 0 && len(l.exclusiveQueue) == 0 {
		// Exclusive requests have no class of their own and count as Critical, also
		// when queued (the zero Class). true makes the permit exclusive.
		return l.admit(Critical, true), nil, nil
	}
	if len(l.exclusiveQueue) >= l.queueLength {
		return nil, nil, ErrQueueFull
	}
	w := &waiter{exclusive: true, deadline: deadline, granted: make(chan *Permit, 1)}
	l.exclusiveQueue = append(l.exclusiveQueue, w)
	return nil, w, nil
}

// estimateMillis returns the milliseconds until the end of a request that joins the
// queue of class c now.
func (l *Limiter) estimateMillis(c Class) float64 {
	var active [classCount]bool
	for i := range active {
		active[i] = l.running[i] > 0 || len(l.queues[i]) > 0
	}
	slots := classSlots(l.adjuster.limit, l.shares, active, c)
	return millisUntilEnd(len(l.queues[c]), slots, l.meanLatency[c])
}

func (l *Limiter) admit(c Class, exclusive bool) *Permit {
	l.running[c]++
	l.inFlight++
	l.exclusive = exclusive
	l.adjuster.recordInFlight(l.inFlight)
	return &Permit{limiter: l, class: c, exclusive: exclusive}
}

// wait blocks until the permit is granted, the deadline passes or ctx ends.
func (l *Limiter) wait(ctx context.Context, w *waiter) (*Permit, error) {
	timerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	expired := make(chan error, 1)
	go func() { expired <- l.clock.Sleep(timerCtx, w.deadline-l.clock.Now()) }()
	select {
	case p, ok := <-w.granted:
		if !ok {
			return nil, ErrDeadline
		}
		return p, nil
	case <-expired:
		l.abandon(w)
	}
	if ctx.Err() == context.Canceled {
		return nil, merry.Wrap(ErrCanceled, merry.WithCause(ctx.Err()))
	}
	return nil, ErrDeadline
}

// abandon removes w from its queue, or releases the permit that w was granted
// concurrently.
func (l *Limiter) abandon(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.remove(w) {
		l.grantWaiting(now)
		return
	}
	p, ok := <-w.granted
	if ok && p.done.CompareAndSwap(false, true) {
		l.release(p, now)
	}
}

func (l *Limiter) remove(w *waiter) bool {
	q := &l.queues[w.class]
	if w.exclusive {
		q = &l.exclusiveQueue
	}
	for i, queued := range *q {
		if queued == w {
			*q = append((*q)[:i:i], (*q)[i+1:]...)
			return true
		}
	}
	return false
}

func (l *Limiter) observe(p *Permit, now clock.Millis, r Result) {
	if !r.Failed && !r.Shed {
		l.meanLatency[p.class] = movingMean(l.meanLatency[p.class], float64(r.Latency))
	}
	// The latency of an exclusive request does not show how the target behaves under
	// load.
	if l.fixedLimit || p.exclusive {
		return
	}
	l.adjuster.observe(now, r)
}

func (l *Limiter) release(p *Permit, now clock.Millis) {
	l.running[p.class]--
	l.inFlight--
	if !p.exclusive {
		l.grantWaiting(now)
		return
	}
	l.exclusive = false
	// Requests that waited for the end of this one go before the next exclusive one.
	l.grantQueued(now)
	l.grantWaiting(now)
}

// grantWaiting admits waiting requests. Exclusive requests go first: while one waits,
// no other request starts, so that the target becomes idle.
func (l *Limiter) grantWaiting(now clock.Millis) {
	if l.exclusive {
		return
	}
	for l.inFlight == 0 && len(l.exclusiveQueue) > 0 {
		w := l.exclusiveQueue[0]
		l.exclusiveQueue = l.exclusiveQueue[1:]
		if l.deliver(w, now) {
			return
		}
	}
	if len(l.exclusiveQueue) == 0 {
		l.grantQueued(now)
	}
}

// grantQueued admits requests from the queues of the classes.
func (l *Limiter) grantQueued(now clock.Millis) {
	for l.inFlight < l.adjuster.wholeLimit() {
		var waiting [classCount]bool
		for i, q := range l.queues {
			waiting[i] = len(q) > 0
		}
		c, ok := nextClass(l.running, waiting, l.shares)
		if !ok {
			return
		}
		w := l.queues[c][0]
		l.queues[c] = l.queues[c][1:]
		l.deliver(w, now)
	}
}

// deliver sends w its permit. If the deadline of w has passed it closes the channel
// instead and returns false.
func (l *Limiter) deliver(w *waiter, now clock.Millis) bool {
	if w.deadline <= now {
		close(w.granted)
		return false
	}
	w.granted <- l.admit(w.class, w.exclusive)
	return true
}
