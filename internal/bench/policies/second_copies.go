package policies

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/placement"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/copies"
)

// The model of second copies has targets whose speed changes, and a sidecar beside each of
// them that chooses targets with the functions of the product.
const (
	copyTargets = 20
	copySlots   = 9
	// copyWorkMillis is the mean work of a request, and copyHopMillis the one-way delay
	// between two hosts.
	copyWorkMillis        = 120.0
	copyHopMillis  millis = 1
	// copyQueuePerSlot is the length of a target's queue per slot, beyond which it rejects.
	copyQueuePerSlot = 6
	// copyDeadline is the deadline of requests, and copyTraceMillis the length of a run, of
	// which the first copyWarmMillis are not measured.
	copyDeadline    millis = 2000
	copyTraceMillis millis = 40_000
	copyWarmMillis  millis = 10_000
)

// copyPolicy is a way to shorten the slowest answers.
type copyPolicy struct {
	name string
	// ratio is the limit of second copies after a delay; 0 sends none.
	ratio float64
	// atOnce sends two copies at once; when one gets a slot, the other is removed from its
	// queue.
	atOnce bool
	// informed chooses the target by its present state, which no sidecar knows.
	informed bool
}

func copyPolicies() []copyPolicy {
	return []copyPolicy{
		{name: "no copies"},
		{name: "**after a delay, 5 %**", ratio: 0.05},
		{name: "after a delay, 20 %", ratio: 0.2},
		{name: "at once, cancelled in the queue", atOnce: true},
		{name: "no copies, load and speed known", informed: true},
	}
}

// copyTrouble changes the speed of targets.
type copyTrouble struct {
	name, about string
	schedule    func(*copyModel)
}

func copyTroubles() []copyTrouble {
	return []copyTrouble{
		{"calm", "all targets are equally fast", func(*copyModel) {}},
		{"slow neighbours", "each target is three times slower for 400 ms, a fifth of the time", func(m *copyModel) {
			for _, t := range m.targets {
				m.slowDown(t, 3, 400, 1600)
			}
		}},
		{"grey target", "one target takes 15 times as long for a tenth of its requests", func(m *copyModel) { m.targets[0].greyShare = 0.1 }},
		{"paused target", "one target stops for 1 s every 6 s", func(m *copyModel) { m.slowDown(m.targets[0], math.Inf(1), 1000, 5000) }},
	}
}

// copyLoads are the shares of the capacity that the requests need.
var copyLoads = []float64{0.3, 0.6, 0.8, 0.95}

// copyModel is one run.
type copyModel struct {
	events  events
	random  *rand.Rand
	policy  copyPolicy
	targets []*copyTarget
	// instances are those of the targets.
	instances []message.Instance
	sidecars  []*copySidecar
	result    copyMeasures
}

// copySidecar is what the sidecar on one host knows.
type copySidecar struct {
	balancer *placement.Balancer
	delays   *copies.Delays
	limit    *copies.Limit
}

// copyTarget is one target with the queue in front of it.
type copyTarget struct {
	instance  message.Instance
	slowness  float64
	greyShare float64
	running   []*copyAttempt
	waiting   []*copyAttempt
	// meanMillis is the moving mean of the time that requests take.
	meanMillis float64
}

// copyRequest is one request with its attempts.
type copyRequest struct {
	due     millis
	sidecar *copySidecar
	ended   bool
	// attempts are those that may still yield an answer.
	attempts []*copyAttempt
}

// copyAttempt is one copy of a request at a target.
type copyAttempt struct {
	request *copyRequest
	target  *copyTarget
	second  bool
	sent    millis
	started millis
	// work is the rest of the work as of updated, in milliseconds of an undisturbed target.
	work    float64
	updated millis
	// schedule counts the changes of the end, so that outdated events do nothing.
	schedule int
	// cancelled is set when the sidecar has cancelled the attempt. It reaches the target
	// after copyHopMillis.
	cancelled bool
}

// copyMeasures are the measures of one run, or sums over several.
type copyMeasures struct {
	latencies []float64
	requests  int
	answered  int
	// runs counts copies that got a slot, and workMillis the time in slots.
	runs       int
	workMillis float64
}

func simulateCopies(trouble copyTrouble, policy copyPolicy, load float64, seed uint64) copyMeasures {
	m := &copyModel{random: rand.New(rand.NewPCG(seed, 2)), policy: policy}
	for i := range copyTargets {
		instance := message.Instance{Incarnation: message.Incarnation{ID: message.InstanceID(fmt.Sprintf("t-%d", i)), StartTime: 1}, Slots: copySlots}
		m.targets = append(m.targets, &copyTarget{instance: instance, slowness: 1, meanMillis: copyWorkMillis})
		m.instances = append(m.instances, instance)
		m.sidecars = append(m.sidecars, &copySidecar{
			balancer: placement.New(m.events.clock(), "", m.random.Float64), delays: copies.NewDelays(m.events.clock()),
			limit: copies.NewLimit(copies.LimitOptions{Ratio: policy.ratio, Burst: copyTargets, Senders: copyTargets}),
		})
	}
	m.events.now = 1 // the balancer takes 0 for "never"
	trouble.schedule(m)
	m.arrive(load * copyTargets * copySlots / copyWorkMillis)
	m.events.run()
	return m.result
}

// arrive starts one request and schedules the next, at a rate per millisecond.
func (m *copyModel) arrive(rate float64) {
	if m.events.now >= copyTraceMillis {
		return
	}
	r := &copyRequest{due: m.events.now, sidecar: m.sidecars[m.random.IntN(len(m.sidecars))]}
	if r.isMeasured() {
		m.result.requests++
	}
	m.start(r)
	m.events.scheduleAfter(millis(m.random.ExpFloat64()/rate), func() { m.arrive(rate) })
}

func (r *copyRequest) isMeasured() bool { return r.due >= copyWarmMillis }

// choose returns a target that was not tried, or nil.
func (m *copyModel) choose(s *copySidecar, tried map[message.InstanceID]bool) *copyTarget {
	if m.policy.informed {
		return slices.MinFunc(m.targets, func(a, b *copyTarget) int { return int(math.Copysign(1, a.cost()-b.cost())) })
	}
	instance, ok := s.balancer.Choose(m.instances, tried)
	if !ok {
		return nil
	}
	return m.find(instance)
}

func (m *copyModel) find(instance message.Instance) *copyTarget {
	return m.targets[slices.IndexFunc(m.targets, func(t *copyTarget) bool { return t.instance.Incarnation == instance.Incarnation })]
}

// cost is the expected time of a request that a target gets now. A grey target looks sound.
func (t *copyTarget) cost() float64 {
	return math.Min(t.slowness, 100) * (1 + float64(len(t.running)+len(t.waiting))/copySlots)
}

// start sends the first copy of a request, and schedules or sends the second one.
func (m *copyModel) start(r *copyRequest) {
	s := r.sidecar
	first := m.choose(s, nil)
	if first == nil {
		return
	}
	if m.policy.atOnce {
		m.send(r, first, false)
		if other := m.choose(s, map[message.InstanceID]bool{first.instance.Incarnation.ID: true}); other != nil {
			m.send(r, other, true)
		}
		return
	}
	wait := s.balancer.ExpectedWait(first.instance)
	m.send(r, first, false)
	if m.policy.ratio <= 0 {
		return
	}
	s.limit.Deposit()
	if delay, known := s.delays.Quantile("", 1-m.policy.ratio); known {
		m.events.scheduleAfter(millis(delay+wait), func() { m.copy(r, first) })
	}
}

// copy sends the second copy of a request if the rules of the product allow it.
func (m *copyModel) copy(r *copyRequest, first *copyTarget) {
	s, instances := r.sidecar, m.instances
	if r.ended || len(r.attempts) == 0 {
		return
	}
	if utilization, known := s.balancer.Utilization(instances); !known || utilization >= copies.MaxUtilization {
		return
	}
	tried := map[message.InstanceID]bool{first.instance.Incarnation.ID: true}
	for range 4 {
		other := m.choose(s, tried)
		if other == nil {
			return
		}
		if s.balancer.HasRoom(other.instance, instances) {
			if s.limit.Withdraw(1) {
				m.send(r, other, true)
			}
			return
		}
		tried[other.instance.Incarnation.ID] = true
	}
}

func (m *copyModel) send(r *copyRequest, t *copyTarget, second bool) {
	spread := math.Exp(serviceSpread*m.random.NormFloat64() - serviceSpread*serviceSpread/2)
	a := &copyAttempt{request: r, target: t, second: second, sent: m.events.now, work: copyWorkMillis * spread}
	if m.random.Float64() < t.greyShare {
		a.work *= 15
	}
	r.attempts = append(r.attempts, a)
	r.sidecar.balancer.RecordSent(t.instance.Incarnation.ID)
	m.events.scheduleAfter(copyHopMillis, func() { m.reach(a) })
	m.events.scheduleAt(r.due+copyDeadline, func() { m.giveUp(a) })
}

// reach handles an attempt at its target: it runs, waits or is rejected.
func (m *copyModel) reach(a *copyAttempt) {
	t := a.target
	used := len(t.running) + len(t.waiting)
	waits := a.second && !m.policy.atOnce && float64(used) >= copies.MaxUtilization*copySlots
	switch {
	case a.cancelled:
	case waits || len(t.waiting) >= copyQueuePerSlot*copySlots:
		m.answer(a, false)
	case len(t.running) < copySlots:
		m.run(a)
	default:
		t.waiting = append(t.waiting, a)
	}
}

func (m *copyModel) run(a *copyAttempt) {
	t := a.target
	t.running = append(t.running, a)
	a.started, a.updated = m.events.now, m.events.now
	if a.request.isMeasured() {
		m.result.runs++
	}
	m.scheduleEnd(a)
	// A copy that starts before its cancellation arrives does not cancel the other one.
	if m.policy.atOnce && !a.cancelled {
		for _, other := range slices.Clone(a.request.attempts) {
			if other != a {
				m.cancel(other)
			}
		}
	}
}

// scheduleEnd schedules the end of a running attempt at the present speed of its target.
func (m *copyModel) scheduleEnd(a *copyAttempt) {
	a.schedule++
	schedule := a.schedule
	if rest := a.work * a.target.slowness; !math.IsInf(rest, 1) {
		m.events.scheduleAfter(millis(rest), func() {
			if a.schedule == schedule && m.leave(a) {
				a.target.meanMillis += 0.1 * (float64(m.events.now-a.started) - a.target.meanMillis)
				m.answer(a, true)
			}
		})
	}
}

// leave removes an attempt from its target and starts the next one. It returns false if the
// target does not have the attempt.
func (m *copyModel) leave(a *copyAttempt) bool {
	t := a.target
	if i := slices.Index(t.waiting, a); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return true
	}
	i := slices.Index(t.running, a)
	if i < 0 {
		return false
	}
	t.running = slices.Delete(t.running, i, i+1)
	a.schedule++
	if a.request.isMeasured() {
		m.result.workMillis += float64(m.events.now - a.started)
	}
	for len(t.waiting) > 0 && len(t.running) < copySlots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		m.run(next)
	}
	return true
}

// answer returns the result of an attempt to its sidecar.
func (m *copyModel) answer(a *copyAttempt, ok bool) {
	t := a.target
	load := hop.Load{Running: len(t.running), Waiting: len(t.waiting), Slots: copySlots, ServiceMillis: clock.Millis(t.meanMillis)}
	m.events.scheduleAfter(copyHopMillis, func() {
		r := a.request
		if a.cancelled {
			return
		}
		r.sidecar.balancer.RecordResponse(t.instance.Incarnation.ID, load, false)
		r.remove(a)
		if !ok || r.ended {
			return
		}
		r.ended = true
		if !a.second {
			r.sidecar.delays.Observe("", clock.Millis(m.events.now-r.due))
		}
		for _, other := range slices.Clone(r.attempts) {
			if !other.second && !m.policy.atOnce {
				r.sidecar.delays.Observe("", clock.Millis(m.events.now-r.due))
				r.sidecar.balancer.RecordSlow(other.target.instance.Incarnation.ID)
			}
			m.cancel(other)
		}
		if r.isMeasured() {
			m.result.answered++
			m.result.latencies = append(m.result.latencies, float64(m.events.now-r.due))
		}
	})
}

func (r *copyRequest) remove(a *copyAttempt) {
	if i := slices.Index(r.attempts, a); i >= 0 {
		r.attempts = slices.Delete(r.attempts, i, i+1)
	}
}

// cancel cancels an attempt, which its target learns after the delay between hosts.
func (m *copyModel) cancel(a *copyAttempt) {
	if a.cancelled {
		return
	}
	a.cancelled = true
	a.request.remove(a)
	a.request.sidecar.balancer.RecordCancel(a.target.instance.Incarnation.ID)
	m.events.scheduleAfter(copyHopMillis, func() { m.leave(a) })
}

// giveUp ends an attempt at the deadline of its request.
func (m *copyModel) giveUp(a *copyAttempt) {
	r := a.request
	if r.ended || a.cancelled || !slices.Contains(r.attempts, a) {
		return
	}
	m.cancel(a)
	if !a.second {
		r.sidecar.delays.Observe("", clock.Millis(copyDeadline))
	}
}

// slowDown makes a target slower by the factor for a time, again and again, with usual
// times of the given mean length in between.
func (m *copyModel) slowDown(t *copyTarget, factor float64, duration, meanPause millis) {
	m.events.scheduleAfter(millis(m.random.ExpFloat64()*float64(meanPause)), func() {
		if m.events.now >= copyTraceMillis {
			return
		}
		m.setSlowness(t, factor)
		m.events.scheduleAfter(duration, func() {
			m.setSlowness(t, 1)
			m.slowDown(t, factor, duration, meanPause)
		})
	})
}

func (m *copyModel) setSlowness(t *copyTarget, slowness float64) {
	for _, a := range t.running {
		a.work = max(0, a.work-float64(m.events.now-a.updated)/t.slowness)
		a.updated = m.events.now
	}
	t.slowness = slowness
	for _, a := range t.running {
		m.scheduleEnd(a)
	}
}

// add adds the measures of another run.
func (c copyMeasures) add(o copyMeasures) copyMeasures {
	c.latencies = append(c.latencies, o.latencies...)
	c.requests, c.answered, c.runs, c.workMillis = c.requests+o.requests, c.answered+o.answered, c.runs+o.runs, c.workMillis+o.workMillis
	return c
}

const copyTableHead = `| load | policy | p50 ms | p95 ms | p99 ms | p99.9 ms | answered % | extra runs % | work ms a request |
|---|---|---|---|---|---|---|---|---|
`

// copyRow formats measures as a row of the Markdown table.
func copyRow(load float64, policy string, c copyMeasures) string {
	slices.Sort(c.latencies)
	requests := math.Max(float64(c.requests), 1)
	return fmt.Sprintf("| %.2f | %s | %.0f | %.0f | %.0f | %.0f | %.2f | %.1f | %.0f |\n", load, policy,
		quantile(c.latencies, 0.5), quantile(c.latencies, 0.95), quantile(c.latencies, 0.99), quantile(c.latencies, 0.999),
		100*float64(c.answered)/requests, 100*(float64(c.runs)/requests-1), c.workMillis/requests)
}

// runCopySeeds runs all seeds concurrently and returns their measures together.
func runCopySeeds(trouble copyTrouble, p copyPolicy, load float64, o Options) copyMeasures {
	results := make([]copyMeasures, o.Seeds)
	var running sync.WaitGroup
	for i := range o.Seeds {
		running.Go(func() { results[i] = simulateCopies(trouble, p, load, o.Seed+uint64(i)) })
	}
	running.Wait()
	var sum copyMeasures
	for _, r := range results {
		sum = sum.add(r)
	}
	return sum
}

// runCopies writes one table for each trouble.
func runCopies(ended func() error, o Options, w io.Writer) error {
	for _, trouble := range copyTroubles() {
		name := "second copies: " + trouble.name
		if !strings.Contains(name, o.Trace) {
			continue
		}
		text := fmt.Sprintf("### %s\n\n%d targets of %d slots, %.0f ms of work a request; %s.\n\n%s", name, copyTargets, copySlots, copyWorkMillis, trouble.about, copyTableHead)
		for _, load := range copyLoads {
			for _, p := range copyPolicies() {
				if err := ended(); err != nil {
					return err
				}
				text += copyRow(load, p.name, runCopySeeds(trouble, p, load, o))
			}
		}
		if _, err := io.WriteString(w, text+"\n"); err != nil {
			return merry.Wrap(ErrOutput, merry.WithCause(err))
		}
	}
	return nil
}
