package limit

import (
	"hash/maphash"
	"math"
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// budgetShards spreads callers over locks.
	budgetShards = 16
	// defaultCallers bounds the memory of a budget to about 1 MB.
	defaultCallers = 8192
	// burstSeconds is how much of its rate a caller may use at once.
	burstSeconds = 1.0
	// evictionTries bounds the search for a caller whose state can be dropped.
	evictionTries = 4
	// equalPart is the part of the rate that is divided equally among nodes, so
	// that a caller who moves to another node is served there before the next
	// report. The rest follows demand.
	equalPart = 0.2
)

// BudgetOptions are the settings of a CallerBudget.
type BudgetOptions struct {
	// Clock measures time. Required.
	Clock clock.Clock
	// PerSecond is the rate of each caller over all nodes, by class. Zero means
	// no limit.
	PerSecond PerClass
	// Callers is the number of callers that are tracked one by one. Zero means
	// 8,192. Callers beyond it share one bucket of a single caller's size, so
	// the limit of each holds.
	Callers int
}

// CallerBudget limits the rate of each caller over all nodes without a round
// trip for each request. Each node holds a share of every caller's rate, equal
// shares at first. The shares of all nodes add up to at most 1, so the rates add
// up to at most the limit. It is safe for concurrent use.
type CallerBudget struct {
	clock    clock.Clock
	hash     func(caller string) uint64
	perShard int

	mu     sync.RWMutex
	rates  PerClass
	nodes  float64
	shards [budgetShards]budgetShard
}

type budgetShard struct {
	mu       sync.Mutex
	callers  map[callerClass]*callerState
	overflow [classCount]*callerState
	// lost is set once a share could not be kept because the shard was full.
	// Callers without a share of their own then get the least one that Shares
	// gives, because other nodes may have been given the rest.
	lost bool
}

type callerClass struct {
	caller string
	class  Class
}

type callerState struct {
	bucket bucket
	// local and burst are the rate and size in force since the bucket was last
	// settled.
	local, burst float64
	share        float64 // 0 means an equal share
	demand       float64 // requests since the last report
}

// Demand is the use of one caller that a node reports.
type Demand struct {
	Caller string
	Class  Class
	// Requests is the number of requests since the last report, with those that
	// were refused.
	Requests float64
}

// NewCallerBudget returns a budget for a system of one node.
func NewCallerBudget(o BudgetOptions) *CallerBudget {
	if o.Callers <= 0 {
		o.Callers = defaultCallers
	}
	// A random seed, so that callers cannot choose names that share a lock.
	seed := maphash.MakeSeed()
	b := &CallerBudget{
		clock:    o.Clock,
		hash:     func(caller string) uint64 { return maphash.String(seed, caller) },
		perShard: max(o.Callers/budgetShards, 1),
		rates:    o.PerSecond,
		nodes:    1,
	}
	for i := range b.shards {
		b.shards[i].callers = make(map[callerClass]*callerState)
	}
	return b
}

// SetRates changes the rate of each caller, for a new configuration.
func (b *CallerBudget) SetRates(perSecond PerClass) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rates = perSecond
}

// SetNodes sets the number of nodes that share the rates equally.
func (b *CallerBudget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = float64(max(n, 1))
}

// SetShare sets this node's share of one caller's rate, from 0 to 1. The shares
// of all nodes must come from one call of Shares, and each node must be told its
// own, also one that has not seen the caller: it would else use an equal share on
// top of the others. Zero restores the equal share.
func (b *CallerBudget) SetShare(caller string, c Class, share float64) {
	b.mu.RLock()
	rates, nodes := b.rates, b.nodes
	b.mu.RUnlock()
	rate := rates[c]
	if rate <= 0 {
		return
	}
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := b.clock.Now()
	v := s.state(callerClass{caller, c}, now, rate, nodes, b.perShard)
	if v == s.overflow[c] {
		s.loseShare(now, rates, nodes)
		return
	}
	if share <= 0 && s.lost {
		share = equalPart / nodes
	}
	v.setShare(math.Min(math.Max(share, 0), 1), now, rate, nodes)
}

// Allow reports whether the caller may send one more request now.
func (b *CallerBudget) Allow(caller string, c Class) bool {
	b.mu.RLock()
	rate, nodes := b.rates[c], b.nodes
	b.mu.RUnlock()
	if rate <= 0 {
		return true
	}
	now := b.clock.Now()
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.state(callerClass{caller, c}, now, rate, nodes, b.perShard)
	v.demand++
	v.settle(now, rate, nodes)
	next, ok := v.bucket.take(now, v.local, v.burst)
	v.bucket = next
	return ok
}

// TakeDemand returns the use of each caller since the last call.
func (b *CallerBudget) TakeDemand() []Demand {
	var all []Demand
	for i := range b.shards {
		all = append(all, b.shards[i].takeDemand()...)
	}
	return all
}

func (b *CallerBudget) shard(caller string) *budgetShard {
	return &b.shards[b.hash(caller)%budgetShards]
}

// localRate returns a node's part of a caller's rate, and its burst. A burst of
// one request is always kept, since a smaller bucket could never be used.
func localRate(rate, share, nodes float64) (local, burst float64) {
	if share == 0 {
		share = 1 / nodes
	}
	local = rate * share
	return local, math.Max(1, local*burstSeconds)
}

// settle credits the time so far at the rate that was in force, then takes over
// the present one. Time before a share was raised must not count at the new rate,
// since another node had that part of the rate then.
func (v *callerState) settle(now clock.Millis, rate, nodes float64) {
	v.bucket = v.bucket.filled(now, v.local, v.burst)
	v.local, v.burst = localRate(rate, v.share, nodes)
}

func (v *callerState) setShare(share float64, now clock.Millis, rate, nodes float64) {
	v.settle(now, rate, nodes)
	v.share = share
	v.local, v.burst = localRate(rate, share, nodes)
}

// newState returns a full bucket for a caller with an equal share. A caller that
// may have used the shared bucket starts with no more than that one holds.
func (s *budgetShard) newState(c Class, now clock.Millis, rate, nodes float64) *callerState {
	local, burst := localRate(rate, 0, nodes)
	v := &callerState{bucket: bucket{tokens: burst, at: now}, local: local, burst: burst}
	if s.lost {
		v.share = equalPart / nodes
		v.local, v.burst = localRate(rate, v.share, nodes)
	}
	if shared := s.overflow[c]; shared != nil {
		shared.settle(now, rate, nodes)
		v.bucket.tokens = math.Min(v.burst, shared.bucket.tokens)
	}
	return v
}

// loseShare lowers every bucket without a share of its own to the least share.
func (s *budgetShard) loseShare(now clock.Millis, rates PerClass, nodes float64) {
	if s.lost {
		return
	}
	s.lost = true
	lower := func(v *callerState, c Class) {
		if v != nil && v.share == 0 {
			v.setShare(equalPart/nodes, now, rates[c], nodes)
		}
	}
	for c, v := range s.overflow {
		lower(v, Class(c))
	}
	for k, v := range s.callers {
		lower(v, k.class)
	}
}

func (s *budgetShard) state(k callerClass, now clock.Millis, rate, nodes float64, capacity int) *callerState {
	if v, ok := s.callers[k]; ok {
		return v
	}
	if len(s.callers) >= capacity && !s.evict(now, rate, nodes) {
		if s.overflow[k.class] == nil {
			s.overflow[k.class] = s.newState(k.class, now, rate, nodes)
		}
		return s.overflow[k.class]
	}
	v := s.newState(k.class, now, rate, nodes)
	s.callers[k] = v
	return v
}

// evict drops a caller whose bucket is full again and whose share is no less than
// the equal one: a new bucket would hold no more, so dropping it cannot raise the
// caller's rate.
func (s *budgetShard) evict(now clock.Millis, rate, nodes float64) bool {
	tries := 0
	for k, v := range s.callers {
		v.settle(now, rate, nodes)
		lowered := v.share > 0 && v.share < 1/nodes
		if !lowered && v.bucket.tokens >= v.burst {
			delete(s.callers, k)
			return true
		}
		if tries++; tries == evictionTries {
			return false
		}
	}
	return false
}

func (s *budgetShard) takeDemand() []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Demand
	for k, v := range s.callers {
		if v.demand == 0 {
			continue
		}
		all = append(all, Demand{Caller: k.caller, Class: k.class, Requests: v.demand})
		v.demand = 0
	}
	return all
}

// Shares divides one caller's rate among nodes by the demand that each reported.
// The result adds up to 1. Without any demand the shares are equal.
func Shares(demand []float64) []float64 {
	shares := make([]float64, len(demand))
	n := float64(len(demand))
	var sum float64
	for _, d := range demand {
		sum += math.Max(d, 0)
	}
	for i, d := range demand {
		if sum <= 0 || math.IsInf(sum, 1) {
			shares[i] = 1 / n
			continue
		}
		shares[i] = equalPart/n + (1-equalPart)*math.Max(d, 0)/sum
	}
	return shares
}
