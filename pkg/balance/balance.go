// Package balance chooses among the targets of a service without keyed ownership.
//
// A Picker draws two targets at random, weighted by capacity, and picks the one with
// the lower cost. The cost rises with the requests in flight relative to capacity,
// with latency and with errors, as observed by this picker or reported in responses.
// Because only two targets are compared, pickers with the same outdated view do not
// all choose the same target at once. A slow target loses most comparisons until the
// load of the others exceeds its own by the factor by which it is slower.
//
// A target with cold caches starts with a tenth of its weight, which grows to the full
// weight over the slow-start time.
//
// # Usage
//
//	p := balance.New(balance.Options{Clock: clock.System()})
//	p.Update([]balance.Target{{ID: "a", Capacity: 10}, {ID: "b", Capacity: 20}})
//	id, ok := p.Pick(func(id string) bool { return tried[id] })
//	p.Begin(id)
//	...
//	p.End(id, balance.Result{Latency: 12, InFlight: 4, Limit: 10})
package balance

import (
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// defaultSlowStart is the time until a cold target has its full weight.
const defaultSlowStart clock.Millis = 10_000

// maxDraws bounds the random draws for one candidate, so that the duration of a call is
// bounded. After that the picker scans all targets.
const maxDraws = 8

// Options are the settings of a Picker.
type Options struct {
	// Clock measures time. Required.
	Clock clock.Clock
	// Random returns a number in [0, 1) and must be safe for concurrent use. Nil
	// means math/rand/v2.
	Random func() float64
	// SlowStart is the time until a cold target has its full weight. Zero means
	// 10 s.
	SlowStart clock.Millis
}

// Target is a target of a service.
type Target struct {
	ID string
	// Capacity is the number of requests that the target can run concurrently.
	// Values of zero or less count as 1.
	Capacity float64
	// Cold reports that the target started with cold caches.
	Cold bool
}

// Result is the outcome of a request.
type Result struct {
	// Latency is the time from forwarding the request to the end of its response.
	Latency clock.Millis
	// Failed reports a broken connection or a missing response.
	Failed bool
	// Shed reports that the target rejected the request because of overload.
	Shed bool
	// InFlight and Limit are the load of the target over all ingress nodes, as reported
	// in the response. A Limit of zero means that the response reported no load.
	InFlight, Limit int
}

// Picker chooses targets. It is safe for concurrent use.
type Picker struct {
	clock     clock.Clock
	random    func() float64
	slowStart clock.Millis
	// mu serializes Update. Readers load current without it.
	mu      sync.Mutex
	current atomic.Pointer[targetSet]
}

// targetSet is immutable, except for the states that it points to.
type targetSet struct {
	targets []*targetState
	// cumulativeCapacity holds for each target the sum of the capacities up to it.
	cumulativeCapacity []float64
	byID               map[string]*targetState
}

// targetState is the state that the picker keeps for one target.
type targetState struct {
	id       string
	capacity float64
	addedAt  clock.Millis
	cold     bool
	inFlight atomic.Int64
	mu       sync.Mutex
	observed observation
}

// New returns a picker without targets.
func New(o Options) *Picker {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.SlowStart <= 0 {
		o.SlowStart = defaultSlowStart
	}
	p := &Picker{clock: o.Clock, random: o.Random, slowStart: o.SlowStart}
	p.current.Store(&targetSet{})
	return p
}

// Update replaces the targets. Targets that remain keep their state.
func (p *Picker) Update(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current.Load()
	now := p.clock.Now()
	next := &targetSet{byID: make(map[string]*targetState, len(targets))}
	var sum float64
	for _, t := range targets {
		if next.byID[t.ID] != nil {
			continue
		}
		state := nextState(old.byID[t.ID], t, now)
		sum += state.capacity
		next.targets = append(next.targets, state)
		next.cumulativeCapacity = append(next.cumulativeCapacity, sum)
		next.byID[t.ID] = state
	}
	p.current.Store(next)
}

// nextState returns the state of t: old if its capacity is unchanged, otherwise a new
// state with the observations of old. old may be nil.
func nextState(old *targetState, t Target, now clock.Millis) *targetState {
	capacity := t.Capacity
	if !(capacity > 0) {
		capacity = 1
	}
	if old != nil && old.capacity == capacity {
		return old
	}
	state := &targetState{id: t.ID, capacity: capacity, cold: t.Cold, addedAt: now}
	if old != nil {
		state.cold, state.addedAt = old.cold, old.addedAt
		state.inFlight.Store(old.inFlight.Load())
		state.observed = old.readObservation()
	}
	return state
}

// Pick returns a target for one request. Targets for which exclude returns true are not
// picked; exclude may be nil. Pick returns false if no target remains.
func (p *Picker) Pick(exclude func(id string) bool) (string, bool) {
	s := p.current.Load()
	now := p.clock.Now()
	picked := p.draw(s, now, exclude, nil)
	if picked == nil {
		return "", false
	}
	other := p.draw(s, now, exclude, picked)
	if other != nil && isBetter(p.targetView(other), p.targetView(picked), now) {
		picked = other
	}
	return picked.id, true
}

// Begin records that a request was forwarded to the target.
func (p *Picker) Begin(id string) {
	if t := p.current.Load().byID[id]; t != nil {
		t.inFlight.Add(1)
	}
}

// End records the end of a request that Begin recorded.
func (p *Picker) End(id string, r Result) {
	t := p.current.Load().byID[id]
	if t == nil {
		return
	}
	// The target may have been removed and added again since Begin, with a count of
	// zero.
	if t.inFlight.Add(-1) < 0 {
		t.inFlight.Add(1)
	}
	now := p.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observed = t.observed.next(now, r)
}

// draw returns a random target other than except, or nil if there is none.
func (p *Picker) draw(s *targetSet, now clock.Millis, exclude func(string) bool, except *targetState) *targetState {
	if len(s.targets) == 0 {
		return nil
	}
	total := s.cumulativeCapacity[len(s.cumulativeCapacity)-1]
	for range maxDraws {
		i := sort.SearchFloat64s(s.cumulativeCapacity, p.random()*total)
		t := s.targets[min(i, len(s.targets)-1)]
		if t == except || (exclude != nil && exclude(t.id)) {
			continue
		}
		if p.random() < p.weightFactor(t, now) {
			return t
		}
	}
	return p.scan(s, exclude, except)
}

// scan returns the first eligible target, starting at a random position.
func (p *Picker) scan(s *targetSet, exclude func(string) bool, except *targetState) *targetState {
	start := int(p.random() * float64(len(s.targets)))
	for i := range s.targets {
		t := s.targets[(start+i)%len(s.targets)]
		if t != except && (exclude == nil || !exclude(t.id)) {
			return t
		}
	}
	return nil
}

// weightFactor returns the part of its weight with which a target is drawn.
func (p *Picker) weightFactor(t *targetState, now clock.Millis) float64 {
	if !t.cold {
		return 1
	}
	return coldWeightFactor(now-t.addedAt, p.slowStart)
}

func (p *Picker) targetView(t *targetState) view {
	return view{observation: t.readObservation(), inFlight: float64(t.inFlight.Load()), capacity: t.capacity}
}

func (t *targetState) readObservation() observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.observed
}
