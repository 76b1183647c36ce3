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
	// ingressNodes is the number of nodes that choose independently.
	ingressNodes = 5
	// hopMillis is one way between an ingress node and a target.
	hopMillis millis = 1
	// lossKnown is the assumed time until ingress nodes know of a lost target of
	// a service that is not keyed: three probes 150 ms apart, and the table.
	lossKnown millis = 600
	// windowMillis is the length of the windows of imbalance.
	windowMillis millis = 1000
	// keyCount and keySkew describe the keys of all traces.
	keyCount = 1000
	keySkew  = 0.9
	// ownerPoll is how soon an ingress node acts on a change of its table.
	ownerPoll millis = 5
	// attemptsMax bounds the attempts of one request with any retry policy.
	attemptsMax = 5
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

// ingress is one node that callers send requests to.
type ingress struct {
	chooser chooser
	retry   retryPolicy
	callers callerPolicy
}

// model is one run.
type model struct {
	events  events
	random  *rand.Rand
	trace   trace
	policy  policy
	targets []*target
	byID    map[string]*target
	nodes   []*ingress
	keys    keyTable
	owners  *ownership // nil for services that are not keyed
	leaving map[string]bool
	arrived int
	record  recorder
	// demand is the use of callers that each node reported last.
	demand map[demandKey][]float64
}

func simulate(t trace, p policy, seed uint64) result {
	m := newModel(t, p, seed)
	m.run()
	return m.record.result(m.churn())
}

func newModel(t trace, p policy, seed uint64) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), trace: t, policy: p,
		byID: make(map[string]*target), leaving: make(map[string]bool), keys: newKeyTable(keyCount, keySkew),
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
	m.announce()
	m.trace.happen(m)
	m.arrivals()
	m.windows()
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

// announce tells all ingress nodes the present members.
func (m *model) announce() {
	var members []balance.Target
	for _, t := range m.targets {
		if t.up && !m.leaving[t.id] {
			members = append(members, balance.Target{ID: t.id, Capacity: float64(t.announced), Cold: t.coldFrom > 0})
		}
	}
	if m.owners != nil {
		m.owners.setMembers(members)
	}
	for _, g := range m.nodes {
		g.chooser.update(members)
	}
}

// speeds estimates which part of its capacity each target can use.
func (m *model) speeds() map[string]float64 {
	latencies := make(map[string]float64)
	for _, t := range m.targets {
		if t.up {
			latencies[t.id] = t.latency
		}
	}
	return balance.RelativeSpeeds(latencies)
}

func (m *model) lose(id string) {
	m.byID[id].fail()
	known := lossKnown
	if m.owners != nil {
		known = ownerLossKnown
	}
	m.events.after(known, m.announce)
}

func (m *model) join(id string) {
	m.byID[id].recover()
	m.leaving[id] = false
	m.announce()
}

// drain takes a target out of the choice before it stops.
func (m *model) drain(id string) {
	m.leaving[id] = true
	m.announce()
}

// stop ends a drained target. It is no loss, so nothing has to be detected.
func (m *model) stop(id string) {
	m.byID[id].fail()
	m.announce()
}

// arrivals schedules the requests of the trace as a Poisson process.
func (m *model) arrivals() {
	if m.events.now >= m.trace.duration {
		return
	}
	m.arrive()
	gap := millis(m.random.ExpFloat64() * 1000 / m.trace.rate(m.events.now))
	m.events.after(gap, m.arrivals)
}

func (m *model) arrive() {
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
		m.record.ended(now, r, shed)
		return
	}
	r.ingress.retry.deposit()
	m.attempt(r)
}

func (m *model) drawKey() int {
	u := m.random.Float64()
	if m.trace.hot != nil {
		if key, part := m.trace.hot(m.events.now); u < part {
			return key
		}
	}
	return m.keys.at(m.random.Float64())
}

func (m *model) drawCaller(now millis) int {
	if m.random.Float64() < m.trace.flood(now) {
		return flooder
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

func (m *model) attempt(r *request) {
	if m.events.now >= r.deadline {
		m.record.ended(m.events.now, r, expired)
		return
	}
	r.attempts++
	c := r.ingress.chooser
	id, ok := c.pick(r.key, func(id string) bool { return slices.Contains(r.tried, id) })
	if !ok {
		m.again(r, unreachable)
		return
	}
	if m.policy.chooser != nil {
		r.tried = append(r.tried, id)
	}
	c.begin(id)
	sent := m.events.now
	t := m.byID[id]
	j := &job{deadline: r.deadline, class: r.class, weight: 1}
	if r.class == limit.Browse && m.trace.browseWeight > 0 {
		j.weight = m.trace.browseWeight
	}
	j.reply = func(a answer) {
		inFlight, slots := t.inFlight(), t.reportedLimit()
		m.events.after(hopMillis, func() {
			c.end(id, balance.Result{
				Latency: m.events.clock().Now() - clockMillis(sent), Failed: a == unreachable || a == broken, Shed: a == shed,
				InFlight: inFlight, Limit: slots,
			})
			if a == answered || a == expired {
				m.record.ended(m.events.now, r, a)
				return
			}
			m.again(r, a)
		})
	}
	m.events.after(hopMillis, func() { t.arrive(j) })
}

// again retries a request that did not run or is repeatable, if the policy
// allows it.
func (m *model) again(r *request, a answer) {
	if a == shed {
		m.record.sheds++
	}
	if a == unreachable && m.policy.waitForOwner {
		m.waitForOwner(r)
		return
	}
	delay := millis(r.ingress.retry.backoff.Delay(r.attempts))
	inTime := m.events.now+delay < r.deadline
	if r.attempts >= attemptsMax || !inTime || !r.ingress.retry.withdraw() {
		m.record.ended(m.events.now, r, a)
		return
	}
	m.record.retries++
	m.events.after(delay, func() { m.attempt(r) })
}

// waitForOwner keeps a request that reached no owner until its partition has
// another one or can be served again. It costs no retry, since no target sees it
// meanwhile.
func (m *model) waitForOwner(r *request) {
	id := m.owners.partitionOf(r.key)
	owner := m.owners.owner[id]
	var poll func()
	poll = func() {
		ready := m.events.now >= m.owners.readyAt[id]
		switch {
		case m.events.now >= r.deadline:
			m.record.ended(m.events.now, r, unreachable)
		case ready && (m.owners.owner[id] != owner || m.byID[owner].up):
			// The attempts before were not refused for load.
			r.attempts = 0
			m.attempt(r)
		default:
			m.events.after(ownerPoll, poll)
		}
	}
	m.events.after(ownerPoll, poll)
}

func (m *model) windows() {
	m.record.window(m.targets)
	if m.owners != nil {
		m.owners.plan()
	}
	if m.events.now < m.trace.duration {
		m.events.after(windowMillis, m.windows)
	}
}

func (m *model) churn() float64 {
	if m.owners == nil {
		return math.NaN()
	}
	return m.owners.churn()
}

// retryPolicy decides about retries at one ingress node.
type retryPolicy struct {
	deposit  func()
	withdraw func() bool
	backoff  retry.Backoff
}
