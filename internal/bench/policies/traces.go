package policies

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
	"github.com/gentiansail/gentiansail/pkg/retry"
)

// traceMillis is the length of a trace. Most events occur after one third and two
// thirds of it.
const traceMillis millis = 30_000

// trace is a sequence of load and events.
type trace struct {
	name     string
	about    string
	duration millis
	deadline millis
	hosts    []host
	// rate returns the number of requests per second at a time.
	rate func(now millis) float64
	// hot returns the hot key at a time and the fraction of requests for it.
	hot func(now millis) (key int, fraction float64)
	// flood returns the fraction of requests from the flooding caller. Measures do
	// not include that caller.
	flood func(now millis) float64
	// browseWeight is the resources that a browse request uses, in slots. Zero means 1.
	browseWeight float64
	// scheduleEvents schedules the events of the trace.
	scheduleEvents func(m *model)
	policies       []policy
}

// policy is one combination of decision functions.
type policy struct {
	name    string
	chooser newChooser
	// assign, periodic and overrides are for keyed services, which have no chooser.
	// With periodic, partitions are reassigned every second; with overrides, hot
	// keys get dedicated partitions.
	assign    assignFunc
	periodic  bool
	overrides bool
	// bySpeed scales the capacity of targets by the speed estimated from their latency.
	bySpeed bool
	// waitForOwner queues requests that reach no owner until there is another owner.
	waitForOwner bool
	limiter      func(c clock.Clock, announced int) *limit.Limiter
	retry        func(r *rand.Rand) retryPolicy
	callers      func(c clock.Clock) callerPolicy
}

// keyTable holds the cumulative weights of keys in a Zipf distribution.
type keyTable []float64

func newKeyTable(n int, skew float64) keyTable {
	t := make(keyTable, n)
	var sum float64
	for i := range t {
		sum += math.Pow(float64(i+1), -skew)
		t[i] = sum
	}
	return t
}

// at returns the key for a uniform random number u in [0, 1).
func (t keyTable) at(u float64) int {
	return min(sort.SearchFloat64s(t, u*t[len(t)-1]), len(t)-1)
}

func learnedLimit(c clock.Clock, announced int) *limit.Limiter {
	return limit.New(limit.Options{Clock: c, Slots: announced})
}

func fixedLimit(fraction float64) func(clock.Clock, int) *limit.Limiter {
	return func(c clock.Clock, announced int) *limit.Limiter {
		return limit.New(limit.Options{Clock: c, Slots: int(float64(announced) * fraction), FixedLimit: true})
	}
}

func backoff(r *rand.Rand) retry.Backoff {
	return retry.Backoff{Base: 5, Max: 200, Random: r.Float64}
}

func noRetry(r *rand.Rand) retryPolicy {
	return retryPolicy{deposit: func() {}, withdraw: func() bool { return false }, backoff: backoff(r)}
}

func unlimitedRetry(r *rand.Rand) retryPolicy {
	return retryPolicy{deposit: func() {}, withdraw: func() bool { return true }, backoff: backoff(r)}
}

func budgetRetry(r *rand.Rand) retryPolicy {
	b := retry.NewBudget(retry.Options{})
	return retryPolicy{deposit: b.Deposit, withdraw: b.Withdraw, backoff: backoff(r)}
}

func choicePolicies() []policy {
	return []policy{
		{name: "random", chooser: randomChoice, limiter: learnedLimit, retry: budgetRetry},
		{name: "round robin", chooser: roundRobin, limiter: learnedLimit, retry: budgetRetry},
		{name: "two choices", chooser: twoChoices, limiter: learnedLimit, retry: budgetRetry},
		{name: "**balance**", chooser: balancePicker, limiter: learnedLimit, retry: budgetRetry},
	}
}

func limitPolicies() []policy {
	return []policy{
		{name: "no limit", chooser: balancePicker, retry: budgetRetry},
		{name: "fixed at announced", chooser: balancePicker, limiter: fixedLimit(1), retry: budgetRetry},
		{name: "fixed at half", chooser: balancePicker, limiter: fixedLimit(0.5), retry: budgetRetry},
		{name: "**learned**", chooser: balancePicker, limiter: learnedLimit, retry: budgetRetry},
	}
}

func retryPolicies() []policy {
	return []policy{
		{name: "no retry", chooser: balancePicker, limiter: learnedLimit, retry: noRetry},
		{name: "retry without budget", chooser: balancePicker, limiter: learnedLimit, retry: unlimitedRetry},
		{name: "**retry with budget**", chooser: balancePicker, limiter: learnedLimit, retry: budgetRetry},
		{name: "no limit, no retry", chooser: balancePicker, retry: noRetry},
		{name: "no limit, without budget", chooser: balancePicker, retry: unlimitedRetry},
		{name: "no limit, with budget", chooser: balancePicker, retry: budgetRetry},
	}
}

func assignmentPolicies() []policy {
	return []policy{
		{name: "modulo", assign: modulo, limiter: learnedLimit, retry: budgetRetry},
		{name: "rendezvous", assign: rendezvous, limiter: learnedLimit, retry: budgetRetry},
		{name: "plan", assign: planAssignment, periodic: true, limiter: learnedLimit, retry: budgetRetry},
		{name: "**plan, hot keys apart**", assign: planAssignment, periodic: true, overrides: true, limiter: learnedLimit, retry: budgetRetry},
		{name: "plan, hot keys apart, by speed", assign: planAssignment, periodic: true, overrides: true, bySpeed: true, limiter: learnedLimit, retry: budgetRetry},
		{name: "as before, requests wait for an owner", assign: planAssignment, periodic: true, overrides: true, bySpeed: true, waitForOwner: true, limiter: learnedLimit, retry: budgetRetry},
	}
}

// hosts returns hosts with the given numbers of slots.
func hosts(slots ...int) []host {
	var all []host
	for i, s := range slots {
		all = append(all, host{id: fmt.Sprintf("target-%d", i+1), announced: s, slots: s})
	}
	return all
}

// mixed returns five hosts of unequal size, as in the Donation Mesh.
func mixed() []host { return hosts(8, 8, 10, 12, 20) }

// load returns a constant rate, given as a fraction of the hosts' capacity.
func load(h []host, fraction float64) func(millis) float64 {
	full := fullRate(h)
	return func(millis) float64 { return fraction * full }
}

// fullRate returns the capacity of the hosts in requests per second.
func fullRate(h []host) float64 {
	var slots float64
	for _, v := range h {
		slots += float64(v.slots)
	}
	return slots * 1000 / float64(serviceMillis)
}

// day returns a rate that rises from 30 % to 80 % of capacity and falls again.
func day(h []host) func(millis) float64 {
	full := fullRate(h)
	return func(now millis) float64 {
		return full * (0.55 - 0.25*math.Cos(2*math.Pi*float64(now/traceMillis)))
	}
}

func nothing(*model) {}

// during schedules begin after one third of the trace and end after two thirds.
func during(begin, end func(m *model)) func(m *model) {
	return func(m *model) {
		m.events.scheduleAt(traceMillis/3, func() { begin(m) })
		m.events.scheduleAt(2*traceMillis/3, func() { end(m) })
	}
}

func straggler(m *model) {
	during(func(m *model) { m.targets[2].slowness = 4 }, func(m *model) { m.targets[2].slowness = 1 })(m)
}

func lightStraggler(m *model) {
	during(func(m *model) { m.targets[2].slowness = 10 }, func(m *model) { m.targets[2].slowness = 1 })(m)
}

func slowOwner(m *model) {
	during(func(m *model) { m.targets[0].slowness = 2 }, func(m *model) { m.targets[0].slowness = 1 })(m)
}

func hostLoss(m *model) {
	during(func(m *model) { m.lose("target-3") }, func(m *model) { m.join("target-3") })(m)
}

// halfLoss schedules the loss and return of every second target.
func halfLoss(m *model) {
	during(
		func(m *model) {
			for i := range len(m.targets) / 2 {
				m.lose(m.targets[2*i].id)
			}
		},
		func(m *model) {
			for i := range len(m.targets) / 2 {
				m.join(m.targets[2*i].id)
			}
		})(m)
}

// restarts schedules a rolling restart: each target drains, stops and starts again.
func restarts(m *model) {
	for i, t := range m.targets {
		start := traceMillis * millis(i+1) / millis(len(m.targets)+2)
		m.events.scheduleAt(start, func() { m.drain(t.id) })
		m.events.scheduleAt(start+1500, func() { m.stop(t.id) })
		m.events.scheduleAt(start+2000, func() { m.join(t.id) })
	}
}

// hotKey sends 10 % of requests to one more key after one third of the trace.
func hotKey(now millis) (int, float64) {
	if now < traceMillis/3 {
		return 0, 0
	}
	return keyCount / 2, 0.1
}

// overstated returns hosts that announce twice the slots that they have.
func overstated() []host {
	h := hosts(10, 10, 10, 10, 10)
	for i := range h {
		h[i].announced = 2 * h[i].slots
	}
	return h
}

// traces returns all traces with the policies to compare on them.
func traces() []trace {
	choice := func(name, about string, h []host, rate func(millis) float64, scheduleEvents func(*model)) trace {
		return trace{name: "choice: " + name, about: about, duration: traceMillis, deadline: 2000, hosts: h, rate: rate, scheduleEvents: scheduleEvents, policies: choicePolicies()}
	}
	keyed := func(name, about string, fraction float64, hot func(millis) (int, float64), scheduleEvents func(*model)) trace {
		return trace{name: "keyed: " + name, about: about, duration: traceMillis, deadline: 2000, hosts: mixed(), rate: load(mixed(), fraction), hot: hot, scheduleEvents: scheduleEvents, policies: assignmentPolicies()}
	}
	limited := func(name, about string, h []host, fraction float64, deadline millis, p []policy, scheduleEvents func(*model)) trace {
		return trace{name: name, about: about, duration: traceMillis, deadline: deadline, hosts: h, rate: load(h, fraction), scheduleEvents: scheduleEvents, policies: p}
	}
	flooded := limited("callers: one floods", "50 % load from 100 callers; in the middle third one more caller sends as much as the whole capacity. Measures are those of the 100; deadline 500 ms.", mixed(), 0, 500, callerPolicies(), nothing)
	flooded.rate, flooded.flood = floodRate(mixed()), floodFraction
	heavy := func(name string, fraction float64) trace {
		// 40 % of requests have weight 1 and 60 % have weight 3: 2.2 on average.
		t := limited("limits: "+name, "Browse requests take three slots' worth of a target's resources; the load counts that; deadline 500 ms.", mixed(), fraction/2.2, 500, limitPolicies(), nothing)
		t.browseWeight = 3
		return t
	}
	eight := hosts(10, 10, 10, 10, 10, 10, 10, 10)
	return []trace{
		choice("normal day", "Load from 30 % to 80 % of capacity; five targets of 8 to 20 slots.", mixed(), day(mixed()), nothing),
		choice("light load", "10 % load; five targets of 8 to 20 slots.", mixed(), load(mixed(), 0.1), nothing),
		choice("straggler", "60 % load; one target is four times slower in the middle third.", mixed(), load(mixed(), 0.6), straggler),
		choice("light load, straggler recovers", "15 % load on three targets; one is ten times slower in the middle third.", hosts(10, 10, 10), load(hosts(10, 10, 10), 0.15), lightStraggler),
		choice("loss of a host", "60 % load; one target is lost at 10 s and returns cold at 20 s.", mixed(), load(mixed(), 0.6), hostLoss),
		choice("rolling restart", "60 % load; each target drains, stops and returns cold.", mixed(), load(mixed(), 0.6), restarts),
		keyed("normal day", "50 % load, 1,000 keys.", 0.5, nil, nothing),
		keyed("hot key appears", "50 % load; from 10 s on one key has a further 10 % of all requests.", 0.5, hotKey, nothing),
		keyed("straggler", "50 % load; one server is four times slower in the middle third.", 0.5, nil, straggler),
		keyed("loss of a host", "50 % load; one server is lost at 10 s and returns cold at 20 s.", 0.5, nil, hostLoss),
		keyed("rolling restart", "50 % load; each server drains, stops and returns cold.", 0.5, nil, restarts),
		limited("limits: overload at twice the capacity", "Deadline 500 ms; 10 % critical, 30 % normal, 60 % browse.", mixed(), 2, 500, limitPolicies(), nothing),
		limited("limits: overstated slots", "90 % load; targets announce twice the slots they have, and slow down when they run more.", overstated(), 0.9, 500, limitPolicies(), nothing),
		limited("limits: straggler", "60 % load; one target is four times slower in the middle third; deadline 500 ms.", mixed(), 0.6, 500, limitPolicies(), straggler),
		limited("limits: single slow owner", "40 % load on one target, as for keys that only it may serve; it is twice as slow in the middle third; deadline 500 ms.", hosts(10), 0.4, 500, limitPolicies(), slowOwner),
		heavy("heavy browsing at 90 % load", 0.9),
		heavy("heavy browsing at 150 % load", 1.5),
		flooded,
		limited("retry: loss of half the targets", "70 % load on eight targets; four are lost at 10 s and return cold at 20 s; deadline 1 s.", eight, 0.7, 1000, retryPolicies(), halfLoss),
		limited("retry: loss of a host", "60 % load; one target is lost at 10 s and returns cold at 20 s; deadline 1 s.", mixed(), 0.6, 1000, retryPolicies(), hostLoss),
	}
}
