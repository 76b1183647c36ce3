// Package balance chooses among the targets of a service that is not keyed.
//
// A Picker draws two targets at random, weighted by capacity, and takes the one
// with the lower cost. Cost grows with the requests in flight for the capacity,
// with latency and with errors, as this picker saw them or as responses report
// them. Comparing only two keeps many pickers with the same stale view from all
// choosing the same target at once; a straggler loses most comparisons until the
// others have as much more in flight as it is slower.
//
// A target that starts cold receives a part of its weight that grows from a tenth
// to all of it over the slow-start time.
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

// defaultSlowStart is how long a cold target takes to reach its full weight.
const defaultSlowStart clock.Millis = 10_000

// drawTries bounds the draws for one candidate before the picker looks at all
// targets, so that a call's time does not depend on chance.
const drawTries = 8

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

// Target is one member of a service.
type Target struct {
	ID string
	// Capacity is the number of requests that the target can run at a time.
	// Values of zero or less count as 1.
	Capacity float64
	// Cold reports that the target started with cold caches.
	Cold bool
}

// Result is what became of a request.
type Result struct {
	// Latency is the time from forwarding the request to the end of its response.
	Latency clock.Millis
	// Failed reports a broken connection or a missing response.
	Failed bool
	// Shed reports that the target refused the request for overload.
	Shed bool
	// InFlight and Limit are the load that the response reported for the whole
	// target. A Limit of zero means that it reported none.
	InFlight, Limit int
}

// Picker chooses targets. It is safe for concurrent use.
type Picker struct {
	clock     clock.Clock
	random    func() float64
	slowStart clock.Millis
	// mu serialises Update; readers use the set without it.
	mu  sync.Mutex
	set atomic.Pointer[targetSet]
}

// targetSet is immutable; the targets in it are not.
type targetSet struct {
	targets []*target
	// upTo holds the running sums of the targets' capacities.
	upTo []float64
	byID map[string]*target
}

// target is what the picker knows about one member.
type target struct {
	id       string
	capacity float64
	coldFrom clock.Millis
	cold     bool
	inFlight atomic.Int64
	mu       sync.Mutex
	seen     observation
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
	p.set.Store(&targetSet{})
	return p
}

// Update replaces the targets. What is known about those that stay is kept.
func (p *Picker) Update(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.set.Load()
	now := p.clock.Now()
	next := &targetSet{byID: make(map[string]*target, len(targets))}
	var sum float64
	for _, t := range targets {
		if next.byID[t.ID] != nil {
			continue
		}
		v := succeed(old.byID[t.ID], t, now)
		sum += v.capacity
		next.targets = append(next.targets, v)
		next.upTo = append(next.upTo, sum)
		next.byID[t.ID] = v
	}
	p.set.Store(next)
}

// succeed returns the state for t, which continues old unless its capacity
// changed.
func succeed(old *target, t Target, now clock.Millis) *target {
	capacity := t.Capacity
	if !(capacity > 0) {
		capacity = 1
	}
	if old != nil && old.capacity == capacity {
		return old
	}
	v := &target{id: t.ID, capacity: capacity, cold: t.Cold, coldFrom: now}
	if old != nil {
		v.cold, v.coldFrom = old.cold, old.coldFrom
		v.inFlight.Store(old.inFlight.Load())
		v.seen = old.read()
	}
	return v
}

// Pick returns a target for one request, leaving out those for which exclude is
// true. exclude may be nil. It returns false when no target is left.
func (p *Picker) Pick(exclude func(id string) bool) (string, bool) {
	s := p.set.Load()
	now := p.clock.Now()
	first := p.draw(s, now, exclude, nil)
	if first == nil {
		return "", false
	}
	second := p.draw(s, now, exclude, first)
	if second != nil && better(p.view(second), p.view(first), now) {
		first = second
	}
	return first.id, true
}

// Begin records that a request was forwarded to the target.
func (p *Picker) Begin(id string) {
	if t := p.set.Load().byID[id]; t != nil {
		t.inFlight.Add(1)
	}
}

// End records the end of a request that Begin recorded.
func (p *Picker) End(id string, r Result) {
	t := p.set.Load().byID[id]
	if t == nil {
		return
	}
	// The target may have been removed and added again since Begin.
	if t.inFlight.Add(-1) < 0 {
		t.inFlight.Add(1)
	}
	now := p.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen = t.seen.next(now, r)
}

// draw returns a random target other than but, or nil when there is none.
func (p *Picker) draw(s *targetSet, now clock.Millis, exclude func(string) bool, but *target) *target {
	if len(s.targets) == 0 {
		return nil
	}
	total := s.upTo[len(s.upTo)-1]
	for range drawTries {
		i := sort.SearchFloat64s(s.upTo, p.random()*total)
		t := s.targets[min(i, len(s.targets)-1)]
		if t == but || (exclude != nil && exclude(t.id)) {
			continue
		}
		if p.random() < p.warmth(t, now) {
			return t
		}
	}
	return p.scan(s, exclude, but)
}

// scan returns the next usable target from a random place on.
func (p *Picker) scan(s *targetSet, exclude func(string) bool, but *target) *target {
	start := int(p.random() * float64(len(s.targets)))
	for i := range s.targets {
		t := s.targets[(start+i)%len(s.targets)]
		if t != but && (exclude == nil || !exclude(t.id)) {
			return t
		}
	}
	return nil
}

func (p *Picker) warmth(t *target, now clock.Millis) float64 {
	if !t.cold {
		return 1
	}
	return warmth(now-t.coldFrom, p.slowStart)
}

func (p *Picker) view(t *target) view {
	return view{observation: t.read(), inFlight: float64(t.inFlight.Load()), capacity: t.capacity}
}

func (t *target) read() observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seen
}
