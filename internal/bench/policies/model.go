package policies

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/gentiansail/gentiansail/pkg/balance"
	"github.com/gentiansail/gentiansail/pkg/limit"
	"github.com/gentiansail/gentiansail/pkg/retry"
)

const (
	// ingressNodes is the number of ingress nodes, which choose targets independently.
	ingressNodes = 5
	// hopMillis is the one-way delay between an ingress node and a target.
	hopMillis millis = 1
	// lossDetectionTime is the assumed time until ingress nodes know that a target of
	// a service without keys was lost: three probes 150 ms apart, and the delivery of
	// the routing table.
	lossDetectionTime millis = 600
	// windowMillis is the length of the windows in which imbalance is measured.
	windowMillis millis = 1000
	// keyCount is the number of keys in all traces, and keySkew the exponent of their
	// Zipf distribution.
	keyCount = 1000
	keySkew  = 0.9
	// ownerPollInterval is the interval at which a waiting request checks its
	// partition's owner, and thus the maximum delay after a change of the table.
	ownerPollInterval millis = 5
	// maxAttempts is the maximum number of attempts of a request with any retry policy.
	maxAttempts = 5
)

// request is one request of a caller.
type request struct {
	due      millis
	deadline millis
	key      int
	class    limit.Class
	caller   int
	ingress  *ingress
	attempts int
	tried    []string
}

// ingress is a node to which callers send requests.
type ingress struct {
	chooser chooser
	retry   retryPolicy
	callers callerPolicy
}

// model is the state of one run.
type model struct {
	events   events
	random   *rand.Rand
	trace    trace
	policy   policy
	targets  []*target
	byID     map[string]*target
	nodes    []*ingress
	keys     keyTable
	owners   *ownership // nil for services that are not keyed
	draining map[string]bool
	arrived  int
	record   recorder
	// demand holds the request rate of each caller that each node reported last, in
	// requests per second.
	demand map[demandKey][]float64
}

// simulate runs the trace with the policy and returns the measures.
func simulate(t trace, p policy, seed uint64) result {
	m := newModel(t, p, seed)
	m.run()
	return m.record.result(m.churn())
}

func newModel(t trace, p policy, seed uint64) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), trace: t, policy: p,
		byID: make(map[string]*target), draining: make(map[string]bool), keys: newKeyTable(keyCount, keySkew),
		demand: make(map[demandKey][]float64),
	}
	m.record.duration = t.duration
	for _, h := range t.hosts {
		v := newTarget(&m.events, rand.New(rand.NewPCG(seed, m.random.Uint64())), h, p.limiter)
		m.targets = append(m.targets, v)
		m.byID[h.id] = v
	}
	if p.assign != nil {
		m.owners = newOwnership(&m.events, p)
		if p.bySpeed {
			m.owners.speeds = m.speeds
		}
	}
	for range ingressNodes {
		m.nodes = append(m.nodes, m.newIngress(seed))
	}
	return m
}

func (m *model) run() {
	m.publishMembers()
	m.trace.scheduleEvents(m)
	m.scheduleArrivals()
	m.endWindow()
	m.exchangeDemand()
	m.events.run()
}

func (m *model) newIngress(seed uint64) *ingress {
	r := rand.New(rand.NewPCG(seed, m.random.Uint64()))
	c := m.owners.chooser()
	if m.policy.chooser != nil {
		c = m.policy.chooser(m.events.clock(), r)
	}
	g := &ingress{chooser: c, retry: m.policy.retry(r)}
	if m.policy.callers != nil {
		g.callers = m.policy.callers(m.events.clock())
	}
	return g
}

// publishMembers updates all ingress nodes with the current members.
func (m *model) publishMembers() {
	var members []balance.Target
	for _, t := range m.targets {
		if t.up && !m.draining[t.id] {
			members = append(members, balance.Target{ID: t.id, Capacity: float64(t.announced), Cold: t.coldSince > 0})
		}
	}
	if m.owners != nil {
		m.owners.setMembers(members)
	}
	for _, g := range m.nodes {
		g.chooser.update(members)
	}
}

// speeds estimates the fraction of its capacity that each target can use.
func (m *model) speeds() map[string]float64 {
	latencies := make(map[string]float64)
	for _, t := range m.targets {
		if t.up {
			latencies[t.id] = t.latency
		}
	}
	return balance.RelativeSpeeds(latencies)
}

// lose stops a target without notice. Members are published after the detection time.
func (m *model) lose(id string) {
	m.byID[id].fail()
	delay := lossDetectionTime
	if m.owners != nil {
		delay = reassignmentTime
	}
	m.events.scheduleAfter(delay, m.publishMembers)
}

// join starts a target again and makes it a member.
func (m *model) join(id string) {
	m.byID[id].recover()
	m.draining[id] = false
	m.publishMembers()
}

// drain removes a target from the members before it stops.
func (m *model) drain(id string) {
	m.draining[id] = true
	m.publishMembers()
}

// stop stops a drained target. Nodes do not have to detect it, so the change is
// published at once.
func (m *model) stop(id string) {
	m.byID[id].fail()
	m.publishMembers()
}

// scheduleArrivals starts one request and schedules the next, as a Poisson process.
func (m *model) scheduleArrivals() {
	if m.events.now >= m.trace.duration {
		return
	}
	m.startRequest()
	gap := millis(m.random.ExpFloat64() * 1000 / m.trace.rate(m.events.now))
	m.events.scheduleAfter(gap, m.scheduleArrivals)
}

// startRequest creates a request with random key, class, ingress node and caller, and
// starts its first attempt if it is admitted.
func (m *model) startRequest() {
	now := m.events.now
	m.arrived++
	r := &request{
		due:      now,
		deadline: now + m.trace.deadline,
		key:      m.drawKey(),
		class:    drawClass(m.random.Float64()),
		ingress:  m.nodes[m.random.IntN(len(m.nodes))],
	}
	if m.owners != nil {
		m.owners.observe(r.key)
	}
	if m.trace.flood != nil {
		r.caller = m.drawCaller(now)
	}
	if !r.ingress.callers.admits(r.caller, r.class) {
		m.record.addRequest(now, r, resultShed)
		return
	}
	r.ingress.retry.deposit()
	m.attempt(r)
}

func (m *model) drawKey() int {
	u := m.random.Float64()
	if m.trace.hot != nil {
		if key, fraction := m.trace.hot(m.events.now); u < fraction {
			return key
		}
	}
	return m.keys.at(m.random.Float64())
}

func (m *model) drawCaller(now millis) int {
	if m.random.Float64() < m.trace.flood(now) {
		return floodingCaller
	}
	return m.random.IntN(callerCount)
}

func drawClass(u float64) limit.Class {
	switch {
	case u < 0.1:
		return limit.Critical
	case u < 0.4:
		return limit.Normal
	default:
		return limit.Browse
	}
}

// attempt sends the request to a target, or retries or ends it if there is none.
func (m *model) attempt(r *request) {
	if m.events.now >= r.deadline {
		m.record.addRequest(m.events.now, r, resultExpired)
		return
	}
	r.attempts++
	c := r.ingress.chooser
	id, ok := c.pick(r.key, func(id string) bool { return slices.Contains(r.tried, id) })
	if !ok {
		m.retryOrEnd(r, resultUnreachable)
		return
	}
	if m.policy.chooser != nil {
		r.tried = append(r.tried, id)
	}
	c.begin(id)
	sent := m.events.now
	t := m.byID[id]
	attempt := &targetRequest{deadline: r.deadline, class: r.class, weight: 1}
	if r.class == limit.Browse && m.trace.browseWeight > 0 {
		attempt.weight = m.trace.browseWeight
	}
	attempt.reply = func(result requestResult) {
		inFlight, slots := t.inFlight(), t.reportedLimit()
		m.events.scheduleAfter(hopMillis, func() {
			c.end(id, balance.Result{
				Latency: m.events.clock().Now() - clockMillis(sent), Failed: result == resultUnreachable || result == resultBroken, Shed: result == resultShed,
				InFlight: inFlight, Limit: slots,
			})
			if result == resultComplete || result == resultExpired {
				m.record.addRequest(m.events.now, r, result)
				return
			}
			m.retryOrEnd(r, result)
		})
	}
	m.events.scheduleAfter(hopMillis, func() { t.arrive(attempt) })
}

// retryOrEnd retries a request that failed, or ends it if the retry policy, its
// deadline or maxAttempts forbids a retry. All requests of the model may be repeated.
func (m *model) retryOrEnd(r *request, result requestResult) {
	if result == resultShed {
		m.record.sheds++
	}
	if result == resultUnreachable && m.policy.waitForOwner {
		m.waitForOwner(r)
		return
	}
	delay := millis(r.ingress.retry.backoff.Delay(r.attempts))
	inTime := m.events.now+delay < r.deadline
	if r.attempts >= maxAttempts || !inTime || !r.ingress.retry.withdraw() {
		m.record.addRequest(m.events.now, r, result)
		return
	}
	m.record.retries++
	m.events.scheduleAfter(delay, func() { m.attempt(r) })
}

// waitForOwner queues a request that reached no owner until its partition has another
// owner or can be served again. Waiting uses no retry budget, because no target
// receives the request meanwhile.
func (m *model) waitForOwner(r *request) {
	id := m.owners.partitionOf(r.key)
	owner := m.owners.owner[id]
	var poll func()
	poll = func() {
		ready := m.events.now >= m.owners.readyAt[id]
		switch {
		case m.events.now >= r.deadline:
			m.record.addRequest(m.events.now, r, resultUnreachable)
		case ready && (m.owners.owner[id] != owner || m.byID[owner].up):
			// The earlier attempts were not rejected because of load.
			r.attempts = 0
			m.attempt(r)
		default:
			m.events.scheduleAfter(ownerPollInterval, poll)
		}
	}
	m.events.scheduleAfter(ownerPollInterval, poll)
}

// endWindow records the imbalance of a window and runs the periodic assignment.
func (m *model) endWindow() {
	m.record.addWindow(m.targets)
	if m.owners != nil {
		m.owners.plan()
	}
	if m.events.now < m.trace.duration {
		m.events.scheduleAfter(windowMillis, m.endWindow)
	}
}

// churn returns the churn of a keyed service, or NaN for other services.
func (m *model) churn() float64 {
	if m.owners == nil {
		return math.NaN()
	}
	return m.owners.churn()
}

// retryPolicy decides at one ingress node whether and after what delay requests are
// retried. deposit is called for each request, withdraw for each retry.
type retryPolicy struct {
	deposit  func()
	withdraw func() bool
	backoff  retry.Backoff
}
