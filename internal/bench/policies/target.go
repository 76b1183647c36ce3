package policies

import (
	"math"
	"math/rand/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

const (
	// serviceMillis is the mean service time of a request on an idle target.
	serviceMillis millis = 20
	// serviceSpread is the standard deviation of the logarithm of service times.
	serviceSpread = 0.5
	// queuePerSlot is the length of a target's queue per announced slot. A target
	// sheds requests when its queue is full.
	queuePerSlot = 3
	// contention is the exponent by which service times grow with the requests per
	// real slot. Growth is slightly more than linear, because requests also contend
	// for shared resources.
	contention = 1.2
	// coldFactor is the initial slowdown of a cold target, and coldMillis the time
	// until it is warm.
	coldFactor        = 3.0
	coldMillis millis = 10_000
)

// requestResult is the result of a request at a target or its limiter.
type requestResult int

const (
	resultComplete    requestResult = iota
	resultShed                      // rejected without running
	resultUnreachable               // connection refused
	resultBroken                    // connection broke while the request was at the target
	resultExpired                   // stopped at its deadline
)

// host describes the host of a target in a trace.
type host struct {
	id string
	// announced is the number of slots that the target announces, and slots the
	// number that it has.
	announced, slots int
}

// targetRequest is one request at a target.
type targetRequest struct {
	deadline millis
	class    limit.Class
	weight   float64 // resources that the request uses, in slots
	permit   *limit.Permit
	started  millis
	ended    bool
	reply    func(requestResult)
}

// target is a simulated target with the limiter of its node.
type target struct {
	host
	events    *events
	random    *rand.Rand
	up        bool
	slowness  float64
	coldSince millis
	limiter   *limit.Limiter
	waiting   [3][]*waitingRequest
	running   []*targetRequest
	queue     []*targetRequest
	// latency is the moving mean of the time at the target, in milliseconds.
	latency float64
	// served counts requests started since the last window.
	served float64
}

type waitingRequest struct {
	request *targetRequest
	ticket  *limit.Ticket
}

func newTarget(e *events, r *rand.Rand, h host, newLimiter func(clock.Clock, int) *limit.Limiter) *target {
	t := &target{host: h, events: e, random: r, up: true, slowness: 1, coldSince: -coldMillis}
	if newLimiter != nil {
		t.limiter = newLimiter(e.clock(), h.announced)
	}
	return t
}

// capacity returns the number of requests per second that the target can serve now.
func (t *target) capacity() float64 {
	if !t.up {
		return 0
	}
	return float64(t.slots) / t.slowdown() / float64(serviceMillis) * 1000
}

// slowdown returns the factor by which service times are longer than serviceMillis
// without contention.
func (t *target) slowdown() float64 {
	age := float64((t.events.now - t.coldSince) / coldMillis)
	return t.slowness * math.Max(1, coldFactor-(coldFactor-1)*age)
}

// arrive handles a request from an ingress node.
func (t *target) arrive(r *targetRequest) {
	if !t.up {
		r.reply(resultUnreachable)
		return
	}
	if t.limiter == nil {
		t.forward(r)
		return
	}
	p, ticket, err := t.limiter.Enqueue(r.class, clock.Millis(r.deadline))
	switch {
	case err != nil:
		r.reply(resultShed)
	case p != nil:
		r.permit = p
		t.forward(r)
	default:
		w := &waitingRequest{request: r, ticket: ticket}
		t.waiting[r.class] = append(t.waiting[r.class], w)
		t.events.scheduleAt(r.deadline, func() { t.expire(w) })
	}
}

// expire sheds a request whose deadline passed in the limiter's queue.
func (t *target) expire(w *waitingRequest) {
	q := &t.waiting[w.request.class]
	for i, v := range *q {
		if v == w {
			*q = append((*q)[:i:i], (*q)[i+1:]...)
			w.ticket.Abandon()
			w.request.reply(resultShed)
			t.startGranted()
			return
		}
	}
}

// startGranted starts the queued requests that the limiter has admitted.
func (t *target) startGranted() {
	for c := range t.waiting {
		for len(t.waiting[c]) > 0 {
			w := t.waiting[c][0]
			select {
			case p, ok := <-w.ticket.Granted():
				t.waiting[c] = t.waiting[c][1:]
				if !ok {
					w.request.reply(resultShed)
					continue
				}
				w.request.permit = p
				t.forward(w.request)
				continue
			default:
			}
			break
		}
	}
}

// forward passes the request to the target, which runs as many requests as it
// announces slots. A target that announces too many slots becomes slower.
func (t *target) forward(r *targetRequest) {
	r.started = t.events.now
	switch {
	case len(t.running) < t.announced:
		t.start(r)
	case len(t.queue) < queuePerSlot*t.announced:
		t.queue = append(t.queue, r)
	default:
		t.finish(r, resultShed)
	}
}

// start runs a request and schedules its end.
func (t *target) start(r *targetRequest) {
	t.running = append(t.running, r)
	t.served++
	mean := float64(serviceMillis) * t.slowdown()
	contentionFactor := math.Max(1, t.weight()/float64(t.slots))
	// The mean of a log-normal variable is exp(mu + sigma²/2).
	spread := math.Exp(serviceSpread*t.random.NormFloat64() - serviceSpread*serviceSpread/2)
	end := t.events.now + millis(mean*spread*math.Pow(contentionFactor, contention))
	if end > r.deadline {
		t.events.scheduleAt(r.deadline, func() { t.end(r, resultExpired) })
		return
	}
	t.events.scheduleAt(end, func() { t.end(r, resultComplete) })
}

// weight returns the resources in use, in slots.
func (t *target) weight() float64 {
	var sum float64
	for _, r := range t.running {
		sum += r.weight
	}
	return sum
}

// end ends a running request and starts requests from the target's queue.
func (t *target) end(r *targetRequest, result requestResult) {
	if r.ended {
		return
	}
	t.removeRunning(r)
	t.finish(r, result)
	for len(t.queue) > 0 && len(t.running) < t.announced {
		next := t.queue[0]
		t.queue = t.queue[1:]
		if next.deadline <= t.events.now {
			t.finish(next, resultExpired)
			continue
		}
		t.start(next)
	}
}

func (t *target) removeRunning(r *targetRequest) {
	for i, v := range t.running {
		if v == r {
			t.running = append(t.running[:i], t.running[i+1:]...)
			return
		}
	}
}

// finish reports the result of a request to its ingress node and the limiter.
func (t *target) finish(r *targetRequest, result requestResult) {
	r.ended = true
	if result == resultComplete {
		t.updateLatency(float64(t.events.now - r.started))
	}
	r.reply(result)
	if r.permit == nil {
		return
	}
	r.permit.Done(limit.Result{
		Latency: clock.Millis(t.events.now - r.started),
		Shed:    result == resultShed,
		Failed:  result == resultBroken,
	})
	t.startGranted()
}

// latencyWeight is the weight of one request in a target's mean latency.
const latencyWeight = 0.01

// updateLatency adds a latency in milliseconds to the moving mean.
func (t *target) updateLatency(latency float64) {
	if t.latency == 0 {
		t.latency = latency
	}
	t.latency += latencyWeight * (latency - t.latency)
}

// fail stops the target. Its requests end with resultBroken, and those in the
// limiter's queue with resultUnreachable.
func (t *target) fail() {
	t.up = false
	lost := append(t.running, t.queue...)
	t.running, t.queue = nil, nil
	for c, q := range t.waiting {
		t.waiting[c] = nil
		for _, w := range q {
			w.ticket.Abandon()
			w.request.reply(resultUnreachable)
		}
	}
	for _, r := range lost {
		t.finish(r, resultBroken)
	}
}

// recover starts the target again, with cold caches.
func (t *target) recover() {
	t.up = true
	t.coldSince = t.events.now
	t.latency = 0
}

func (t *target) inFlight() int { return len(t.running) + len(t.queue) }

// reportedLimit returns the limit that responses state.
func (t *target) reportedLimit() int {
	if t.limiter == nil {
		return t.announced
	}
	return t.limiter.Limit()
}
