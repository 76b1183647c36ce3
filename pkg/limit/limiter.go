// Package limit decides which requests a target takes now, which wait, and
// which are refused at once as not run.
//
// A Limiter guards one target. It admits up to a concurrency limit that it
// learns from latency and shed requests, never above the slots that the target
// announced. Further requests wait in a queue of their class. A request whose
// estimated end lies past its deadline is refused without waiting, so that the
// caller learns of it while it can still do something else.
//
// Classes share the limit in proportion to their reserved shares, but only while
// they compete: a class may use the whole limit when no other class waits.
//
// A CallerBudget limits the request rate of each caller over all nodes. It
// decides from local state only; nodes exchange the demand that they saw with
// the messages they send anyway, and SharesByDemand divides the rate among them.
//
// # Usage
//
//	l := limit.New(limit.Options{Clock: clock.System(), Slots: 10})
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
	// ErrQueueFull means that the queue of the request's class has no room.
	ErrQueueFull = merry.Sentinel("queue is full")
	// ErrCanceled means that the caller gave up while the request waited.
	ErrCanceled = merry.Sentinel("request was canceled while it waited")
)

// Class is the priority class of a request.
type Class int

// Classes, the most important first.
const (
	Critical Class = iota
	Normal
	Browse

	classCount = 3
)

// PerClass holds one value for each class.
type PerClass [classCount]float64

// DefaultShares are the reserved shares used when Options names none.
var DefaultShares = PerClass{Critical: 0.5, Normal: 0.3, Browse: 0.2}

// defaultQueueLength bounds each class's queue. At 10 slots and 20 ms a request
// waits at most 128 ms in a full queue of a class that has the target to itself.
const defaultQueueLength = 64

// Options are the settings of a Limiter.
type Options struct {
	// Clock measures deadlines and latencies. Required.
	Clock clock.Clock
	// Slots is the number of requests that the target announced it can run at a
	// time. The limit never exceeds it. Values below 1 count as 1.
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

// Result is what became of an admitted request.
type Result struct {
	// Latency is the time from forwarding the request to the end of its response.
	Latency clock.Millis
	// Shed reports that the target refused the request for overload.
	Shed bool
	// Failed reports that the latency says nothing about the target's load, for
	// example because the connection broke.
	Failed bool
}

// Limiter admits requests to one target. It is safe for concurrent use.
type Limiter struct {
	mu          sync.Mutex
	clock       clock.Clock
	queueLength int
	shares      PerClass
	fixed       bool
	control     adjuster
	running     [classCount]int
	total       int
	runsAlone   bool
	queues      [classCount][]*waiter
	alone       []*waiter
	service     [classCount]float64 // mean latency by class, in milliseconds
}

// Permit is the right to run one request. Done must be called once it has ended.
type Permit struct {
	limiter *Limiter
	class   Class
	alone   bool
	done    atomic.Bool
}

// Ticket is a request's place in a queue.
type Ticket struct {
	limiter *Limiter
	waiter  *waiter
}

// Granted receives the permit. It is closed without one when the deadline had
// passed at the request's turn.
func (t *Ticket) Granted() <-chan *Permit { return t.waiter.granted }

// Abandon gives up the place, or a permit granted at the same moment. Granted
// must not be read afterwards.
func (t *Ticket) Abandon() { t.limiter.abandon(t.waiter) }

// waiter is a request in a queue. Its channel receives the permit, or is closed
// when the deadline passed in the queue.
type waiter struct {
	class    Class
	alone    bool
	deadline clock.Millis
	granted  chan *Permit
}

// New returns a limiter that starts at the announced slots.
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
		fixed:       o.FixedLimit,
		control:     newAdjuster(max(o.Slots, 1)),
	}
}

// Acquire waits for a permit. deadline is a point on the limiter's clock. It
// returns ErrDeadline or ErrQueueFull at once when the request cannot finish by then
// or cannot wait, and ErrCanceled when ctx is canceled.
func (l *Limiter) Acquire(ctx context.Context, c Class, deadline clock.Millis) (*Permit, error) {
	p, w, err := l.enter(c, deadline)
	if w == nil {
		return p, err
	}
	return l.wait(ctx, w)
}

// Enqueue is Acquire for event loops: it never blocks. It returns a permit if the
// request may run now, a ticket if it must wait, or ErrDeadline or ErrQueueFull. The
// owner of a ticket must abandon it when its deadline passes.
func (l *Limiter) Enqueue(c Class, deadline clock.Millis) (*Permit, *Ticket, error) {
	p, w, err := l.enter(c, deadline)
	if w == nil {
		return p, nil, err
	}
	return nil, &Ticket{limiter: l, waiter: w}, nil
}

// AcquireExclusive waits until nothing else runs at the target, and keeps other
// requests waiting until the permit is done. It returns the errors of Acquire.
func (l *Limiter) AcquireExclusive(ctx context.Context, deadline clock.Millis) (*Permit, error) {
	p, w, err := l.enterAlone(deadline)
	if w == nil {
		return p, err
	}
	return l.wait(ctx, w)
}

// InFlight returns the number of permits that are not done.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Waiting returns the number of requests in the queues.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.alone)
	for _, q := range l.queues {
		n += len(q)
	}
	return n
}

// Limit returns the current concurrency limit.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.control.whole()
}

// SetSlots changes the announced slots of the target.
func (l *Limiter) SetSlots(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.control.setCeiling(max(n, 1))
	l.grant(l.clock.Now())
}

// Done ends the request. Further calls have no effect.
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

func (l *Limiter) enter(c Class, deadline clock.Millis) (*Permit, *waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := float64(deadline - l.clock.Now())
	if remaining <= 0 {
		return nil, nil, ErrDeadline
	}
	free := !l.runsAlone && len(l.alone) == 0 && l.total < l.control.whole()
	if free {
		// With nothing in flight the request is admitted whatever the estimate
		// says, since only a new sample can correct an estimate that is too high.
		if l.total > 0 && l.service[c] > remaining {
			return nil, nil, ErrDeadline
		}
		return l.admit(c, false), nil, nil
	}
	if len(l.queues[c]) >= l.queueLength {
		return nil, nil, ErrQueueFull
	}
	if l.estimate(c) > remaining {
		return nil, nil, ErrDeadline
	}
	w := &waiter{class: c, deadline: deadline, granted: make(chan *Permit, 1)}
	l.queues[c] = append(l.queues[c], w)
	return nil, w, nil
}

func (l *Limiter) enterAlone(deadline clock.Millis) (*Permit, *waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if deadline <= l.clock.Now() {
		return nil, nil, ErrDeadline
	}
	if l.total == 0 && len(l.alone) == 0 {
		return l.admit(Critical, true), nil, nil
	}
	if len(l.alone) >= l.queueLength {
		return nil, nil, ErrQueueFull
	}
	w := &waiter{alone: true, deadline: deadline, granted: make(chan *Permit, 1)}
	l.alone = append(l.alone, w)
	return nil, w, nil
}

// estimate returns the milliseconds until a request that joins the queue of
// class c now would end.
func (l *Limiter) estimate(c Class) float64 {
	var active [classCount]bool
	for i := range active {
		active[i] = l.running[i] > 0 || len(l.queues[i]) > 0
	}
	slots := classSlots(l.control.limit, l.shares, active, c)
	return estimateEnd(len(l.queues[c]), slots, l.service[c])
}

func (l *Limiter) admit(c Class, alone bool) *Permit {
	l.running[c]++
	l.total++
	l.runsAlone = alone
	l.control.sawInFlight(l.total)
	return &Permit{limiter: l, class: c, alone: alone}
}

// wait blocks until the permit is granted, the deadline passes or ctx ends.
func (l *Limiter) wait(ctx context.Context, w *waiter) (*Permit, error) {
	timerContext, stop := context.WithCancel(ctx)
	defer stop()
	expired := make(chan error, 1)
	go func() { expired <- l.clock.Sleep(timerContext, w.deadline-l.clock.Now()) }()
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

// abandon takes w out of its queue, or gives back the permit that it was granted
// at the same moment.
func (l *Limiter) abandon(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.remove(w) {
		l.grant(now)
		return
	}
	p, ok := <-w.granted
	if ok && p.done.CompareAndSwap(false, true) {
		l.release(p, now)
	}
}

func (l *Limiter) remove(w *waiter) bool {
	q := &l.queues[w.class]
	if w.alone {
		q = &l.alone
	}
	for i, v := range *q {
		if v == w {
			*q = append((*q)[:i:i], (*q)[i+1:]...)
			return true
		}
	}
	return false
}

func (l *Limiter) observe(p *Permit, now clock.Millis, r Result) {
	if !r.Failed && !r.Shed {
		l.service[p.class] = movingMean(l.service[p.class], float64(r.Latency))
	}
	// A request that ran alone says nothing about the target under load.
	if l.fixed || p.alone {
		return
	}
	l.control.observe(now, r)
}

func (l *Limiter) release(p *Permit, now clock.Millis) {
	l.running[p.class]--
	l.total--
	if !p.alone {
		l.grant(now)
		return
	}
	l.runsAlone = false
	// Others waited for this request; they go before the next one that runs alone.
	l.grantQueued(now)
	l.grant(now)
}

// grant admits waiting requests. A request that must run alone goes first: while
// it waits nothing else starts, so that the target empties.
func (l *Limiter) grant(now clock.Millis) {
	if l.runsAlone {
		return
	}
	for l.total == 0 && len(l.alone) > 0 {
		w := l.alone[0]
		l.alone = l.alone[1:]
		if l.deliver(w, now) {
			return
		}
	}
	if len(l.alone) == 0 {
		l.grantQueued(now)
	}
}

func (l *Limiter) grantQueued(now clock.Millis) {
	for l.total < l.control.whole() {
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

// deliver hands w its permit, or tells it that its deadline has passed.
func (l *Limiter) deliver(w *waiter, now clock.Millis) bool {
	if w.deadline <= now {
		close(w.granted)
		return false
	}
	w.granted <- l.admit(w.class, w.alone)
	return true
}
