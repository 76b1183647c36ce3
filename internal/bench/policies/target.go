package policies

import (
	"math"
	"math/rand/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

const (
	// serviceMillis is the mean service time of a request on an empty target.
	serviceMillis millis = 20
	// serviceSpread is the standard deviation of the logarithm of service times.
	serviceSpread = 0.5
	// queuePerSlot is the number of requests for each slot that wait inside a
	// target before it sheds.
	queuePerSlot = 3
	// contention is the exponent by which service times grow with the requests
	// for each real slot: slightly more than linear, since they also get in each
	// other's way.
	contention = 1.2
	// coldFactor is by how much a cold target is slower at first, and coldMillis
	// how long it takes to warm up.
	coldFactor        = 3.0
	coldMillis millis = 10_000
)

// answer is what a target, or its limiter, made of a request.
type answer int

const (
	answered    answer = iota
	shed               // refused without running
	unreachable        // connection refused
	broken             // connection broke while the request was at the target
	expired            // stopped at its deadline
)

// host describes a target of a trace.
type host struct {
	id string
	// announced is the number of slots that the target states, slots the number
	// that it has.
	announced, slots int
}

// job is one request at a target.
type job struct {
	deadline millis
	class    limit.Class
	weight   float64 // slots' worth of the target's resources
	permit   *limit.Permit
	started  millis
	ended    bool
	reply    func(answer)
}

// target is a simulated target with the limiter beside it.
type target struct {
	host
	events   *events
	random   *rand.Rand
	up       bool
	slowness float64
	coldFrom millis
	limiter  *limit.Limiter
	waiting  [3][]*waitingJob
	running  []*job
	queue    []*job
	// latency is the moving mean of the time at the target, in milliseconds.
	latency float64
	// served counts requests since the last window.
	served float64
}

type waitingJob struct {
	job    *job
	ticket *limit.Ticket
}

func newTarget(e *events, r *rand.Rand, h host, newLimiter func(clock.Clock, int) *limit.Limiter) *target {
	t := &target{host: h, events: e, random: r, up: true, slowness: 1, coldFrom: -coldMillis}
	if newLimiter != nil {
		t.limiter = newLimiter(e.clock(), h.announced)
	}
	return t
}

// capacity is the number of requests that the target could serve in a second.
func (t *target) capacity() float64 {
	if !t.up {
		return 0
	}
	return float64(t.slots) / t.factor() / float64(serviceMillis) * 1000
}

func (t *target) factor() float64 {
	age := float64((t.events.now - t.coldFrom) / coldMillis)
	return t.slowness * math.Max(1, coldFactor-(coldFactor-1)*age)
}

// arrive handles a request from an ingress node.
func (t *target) arrive(j *job) {
	if !t.up {
		j.reply(unreachable)
		return
	}
	if t.limiter == nil {
		t.forward(j)
		return
	}
	p, ticket, err := t.limiter.Enqueue(j.class, clock.Millis(j.deadline))
	switch {
	case err != nil:
		j.reply(shed)
	case p != nil:
		j.permit = p
		t.forward(j)
	default:
		w := &waitingJob{job: j, ticket: ticket}
		t.waiting[j.class] = append(t.waiting[j.class], w)
		t.events.at(j.deadline, func() { t.expire(w) })
	}
}

// expire refuses a request whose deadline passed in the limiter's queue.
func (t *target) expire(w *waitingJob) {
	q := &t.waiting[w.job.class]
	for i, v := range *q {
		if v == w {
			*q = append((*q)[:i:i], (*q)[i+1:]...)
			w.ticket.Abandon()
			w.job.reply(shed)
			t.granted()
			return
		}
	}
}

// granted starts the requests that the limiter has admitted from its queues.
func (t *target) granted() {
	for c := range t.waiting {
		for len(t.waiting[c]) > 0 {
			w := t.waiting[c][0]
			select {
			case p, ok := <-w.ticket.Granted():
				t.waiting[c] = t.waiting[c][1:]
				if !ok {
					w.job.reply(shed)
					continue
				}
				w.job.permit = p
				t.forward(w.job)
				continue
			default:
			}
			break
		}
	}
}

// forward hands the request to the target itself, whose slots are the announced
// ones: a target that overstates them runs more than it can.
func (t *target) forward(j *job) {
	j.started = t.events.now
	switch {
	case len(t.running) < t.announced:
		t.start(j)
	case len(t.queue) < queuePerSlot*t.announced:
		t.queue = append(t.queue, j)
	default:
		t.finish(j, shed)
	}
}

func (t *target) start(j *job) {
	t.running = append(t.running, j)
	t.served++
	mean := float64(serviceMillis) * t.factor()
	crowd := math.Max(1, t.weight()/float64(t.slots))
	// The mean of a log-normal variable is exp(mu + sigma²/2).
	spread := math.Exp(serviceSpread*t.random.NormFloat64() - serviceSpread*serviceSpread/2)
	end := t.events.now + millis(mean*spread*math.Pow(crowd, contention))
	if end > j.deadline {
		t.events.at(j.deadline, func() { t.end(j, expired) })
		return
	}
	t.events.at(end, func() { t.end(j, answered) })
}

// weight is the number of slots' worth of resources in use.
func (t *target) weight() float64 {
	var sum float64
	for _, j := range t.running {
		sum += j.weight
	}
	return sum
}

func (t *target) end(j *job, a answer) {
	if j.ended {
		return
	}
	t.drop(j)
	t.finish(j, a)
	for len(t.queue) > 0 && len(t.running) < t.announced {
		next := t.queue[0]
		t.queue = t.queue[1:]
		if next.deadline <= t.events.now {
			t.finish(next, expired)
			continue
		}
		t.start(next)
	}
}

func (t *target) drop(j *job) {
	for i, v := range t.running {
		if v == j {
			t.running = append(t.running[:i], t.running[i+1:]...)
			return
		}
	}
}

func (t *target) finish(j *job, a answer) {
	j.ended = true
	if a == answered {
		t.sample(float64(t.events.now - j.started))
	}
	j.reply(a)
	if j.permit == nil {
		return
	}
	j.permit.Done(limit.Result{
		Latency: clock.Millis(t.events.now - j.started),
		Shed:    a == shed,
		Failed:  a == broken,
	})
	t.granted()
}

// latencyWeight is the weight of one request in a target's mean latency.
const latencyWeight = 0.01

func (t *target) sample(latency float64) {
	if t.latency == 0 {
		t.latency = latency
	}
	t.latency += latencyWeight * (latency - t.latency)
}

// fail stops the target. All its requests break.
func (t *target) fail() {
	t.up = false
	lost := append(t.running, t.queue...)
	t.running, t.queue = nil, nil
	for c, q := range t.waiting {
		t.waiting[c] = nil
		for _, w := range q {
			w.ticket.Abandon()
			w.job.reply(unreachable)
		}
	}
	for _, j := range lost {
		t.finish(j, broken)
	}
}

// recover starts the target again, with cold caches.
func (t *target) recover() {
	t.up = true
	t.coldFrom = t.events.now
	t.latency = 0
}

func (t *target) inFlight() int { return len(t.running) + len(t.queue) }

// reportedLimit is what responses state as the limit.
func (t *target) reportedLimit() int {
	if t.limiter == nil {
		return t.announced
	}
	return t.limiter.Limit()
}
