package limit

import (
	"hash/maphash"
	"math"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// budgetShards spreads callers over locks.
	budgetShards = 16
	// defaultCallers bounds the memory of a budget to about 1 MB with names of
	// usual length, and to 3 MB with the longest ones.
	defaultCallers = 8192
	// maxTrackedName is the longest name of a caller that is tracked and reported,
	// in bytes. It bounds memory and messages, since callers choose their names.
	maxTrackedName = 256
	// burstSeconds is how much of its rate a caller may use at once.
	burstSeconds = 1.0
	// evictionTries bounds the search for a caller whose state can be dropped.
	evictionTries = 4
	// equalPart is the part of the rate that is not divided by demand, so that a
	// caller who moves to another node is served there before the next report.
	// Half of it is divided equally among the nodes. The other half stays free for
	// nodes that the others do not count yet, or still count. A caller on one node
	// cannot use this part, so it is small.
	equalPart = 0.1
	// urgentEvery is the shortest time between two reports of a caller besides the
	// regular ones. It keeps a caller that is refused for long from being part of
	// every heartbeat.
	urgentEvery clock.Millis = 2000
	// ShareDuration is how long a share lasts at a node, from before it sent the report
	// that the share answers. Nodes report every two seconds, so that one report or
	// answer may be lost.
	ShareDuration clock.Millis = 6000
	// lowTokens is the part of a bucket below which its caller asks for a share. The
	// other half lasts until the answer arrives, if the caller uses less than half
	// of an equal share's burst in a heartbeat interval.
	lowTokens = 0.5
	// confirmBelow is the part of an earlier share below which a lowered share is
	// confirmed with the next report of any kind. The leader can give what was
	// freed to other nodes only then. Smaller changes wait for the regular report.
	confirmBelow = 0.9
)

// BudgetOptions are the settings of a CallerBudget.
type BudgetOptions struct {
	// Clock measures time. Required.
	Clock clock.Clock
	// RequestsPerSecond is the rate of each caller over all nodes, by class. Zero means
	// no limit.
	RequestsPerSecond PerClass
	// MaxTrackedCallers is the number of callers that are tracked one by one. Zero means
	// 8,192. Callers beyond it, and those with names of more than 256 bytes, share
	// one bucket of a single caller's least share, so the limit of each holds.
	MaxTrackedCallers int
}

// CallerBudget limits the rate of each caller over all nodes without a round
// trip for each request. Each node has the least share of every caller's rate,
// and on top of it, for a time, the share that SetShare states. Requests beyond
// them are refused. A caller that has used half of its burst without a share is
// named in the next report. The rates of all nodes add up to at most the limit if
// the shares that were given for one caller add up to at most the part that
// SharePool states.
//
// A caller that is new may use a burst of one second of its rate over all nodes
// besides the rate, or one request at each node if that is more. Later on the
// bursts of its shares count as well: together at most two seconds of its rate.
//
// Without anybody who gives shares, each node is limited to the least one.
// CallerBudget is safe for concurrent use.
type CallerBudget struct {
	clock    clock.Clock
	hash     func(caller string) uint64
	perShard int
	// reports is the number of the last report.
	reports atomic.Int64
	// urgent is set while a caller may wait for a report besides the regular ones.
	urgent atomic.Bool

	mu     sync.RWMutex
	rates  PerClass
	nodes  int
	shards [budgetShards]budgetShard
}

type budgetShard struct {
	mu       sync.Mutex
	callers  map[callerClass]*callerState
	overflow [classCount]*callerState
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
	// share is the share on top of the least one, until the time until.
	share float64
	until clock.Millis
	// demand is the number of requests since the time since.
	demand float64
	since  clock.Millis
	// urgent asks for a report with the next heartbeat; the last report of any
	// kind was at reported.
	urgent     bool
	reported   clock.Millis
	isReported bool
	// floor is the number of the report up to which answers do not apply any more.
	// answered is the report whose answer was the last that applied.
	floor, answered int
}

// Demand is the use of one caller that a node reports.
type Demand struct {
	Caller string
	Class  Class
	// RequestsPerSecond is the rate of requests since the last report of this caller, with
	// those that were refused. Zero means that the node has given its share back.
	RequestsPerSecond float64
	// AnsweredReport is the number of the report whose answer was the last that applied
	// to this caller; 0 if there is none. Shares that were given in answer to
	// earlier reports are not used any more.
	AnsweredReport int
}

// Report is what a node tells about its callers.
type Report struct {
	// Number grows with each report.
	Number  int
	Demands []Demand
}

// NewCallerBudget returns a budget for a system of one node.
func NewCallerBudget(o BudgetOptions) *CallerBudget {
	if o.MaxTrackedCallers <= 0 {
		o.MaxTrackedCallers = defaultCallers
	}
	// A random seed, so that callers cannot choose names that share a lock.
	seed := maphash.MakeSeed()
	b := &CallerBudget{
		clock:    o.Clock,
		hash:     func(caller string) uint64 { return maphash.String(seed, caller) },
		perShard: max(o.MaxTrackedCallers/budgetShards, 1),
		rates:    o.RequestsPerSecond,
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

// SetNodes sets the number of nodes, with this one, that have the least share.
func (b *CallerBudget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(n, 1)
}

// SetShare sets this node's share of one caller's rate on top of the least one,
// from 0 to 1, in answer to the report of the given number. The share ends at the
// given time. Answers that are overtaken by a later one have no effect, and
// neither have those for a caller that is not tracked any more: the least share
// is in force then.
func (b *CallerBudget) SetShare(caller string, c Class, share float64, report int, until clock.Millis) {
	t := b.terms(c)
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.callers[callerClass{caller, c}]
	if !ok || report <= v.floor {
		return
	}
	now := b.clock.Now()
	v.settle(now, t)
	if share < v.share*confirmBelow {
		v.urgent = true
		b.urgent.Store(true)
	}
	v.share, v.until = math.Min(math.Max(share, 0), 1), until
	v.floor, v.answered = report, report
	v.settle(now, t)
}

// Allow reports whether the caller may send one more request now.
func (b *CallerBudget) Allow(caller string, c Class) bool {
	t := b.terms(c)
	if t.rate <= 0 {
		return true
	}
	now := b.clock.Now()
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.state(callerClass{caller, c}, now, t, b)
	v.demand++
	v.settle(now, t)
	next, ok := v.bucket.take(now, v.local, v.burst)
	v.bucket = next
	if v.wantsShare(now) && v != s.overflow[c] {
		v.urgent = true
		b.urgent.Store(true)
	}
	return ok
}

// Share returns this node's share of a caller's rate that is in force now.
func (b *CallerBudget) Share(caller string, c Class) float64 {
	least := b.terms(c).least
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.callers[callerClass{caller, c}]
	if !ok || b.clock.Now() >= v.until {
		return least
	}
	return math.Min(1, least+v.share)
}

// terms are the rate of a class, the least share of it, and the equal one, which
// the bucket holds at least.
type terms struct{ rate, least, equal float64 }

func (b *CallerBudget) terms(c Class) terms {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return terms{rate: b.rates[c], least: MinShare(b.nodes), equal: 1 / float64(b.nodes)}
}

func (b *CallerBudget) shard(caller string) *budgetShard {
	return &b.shards[b.hash(caller)%budgetShards]
}

// MinShare returns the share of every caller's rate that each of n nodes has
// without asking for it.
func MinShare(n int) float64 { return equalPart / 2 / float64(max(n, 1)) }

// SharePool returns the part of a caller's rate that may be given to nodes on top
// of their least shares. Nodes count counted nodes; serving is the number of
// nodes that serve callers. All of them have a least share, and as many more have
// room that join before the others count them.
func SharePool(counted, serving int) float64 {
	extra := max(serving-max(counted, 1), 0)
	return math.Max(0, 1-equalPart-float64(extra)*MinShare(counted))
}

// SharesByDemand divides the part of one caller's rate that is not divided equally among
// the nodes that reported demand for it. The shares are those on top of the least
// one. Without any demand they are equal.
func SharesByDemand(demand []float64) []float64 {
	shares := make([]float64, len(demand))
	n := float64(len(demand))
	var sum float64
	for _, d := range demand {
		sum += math.Max(d, 0)
	}
	for i, d := range demand {
		part := math.Max(d, 0) / sum
		if sum <= 0 || math.IsInf(sum, 1) {
			part = 1 / n
		}
		shares[i] = (1 - equalPart) * part
	}
	return shares
}

// local returns a node's part of a caller's rate, and its burst: that of an equal
// share at least, so that a caller who is new at a node is served until the first
// report is answered. A burst of one request is always kept, since a smaller
// bucket could never be used.
func (t terms) local(share float64) (local, burst float64) {
	share = math.Min(t.least+share, 1)
	return t.rate * share, math.Max(1, t.rate*math.Max(share, t.equal)*burstSeconds)
}

// wantsShare reports whether a caller without a share has used so much of its
// bucket that it may be refused before the next regular report.
func (v *callerState) wantsShare(now clock.Millis) bool {
	recent := v.isReported && now-v.reported < urgentEvery
	return v.share == 0 && !recent && v.bucket.tokens < v.burst*lowTokens
}

// settle credits the time so far at the rate that was in force, then takes over
// the present one. Time before a share was raised must not count at the new rate,
// since another node had that part of the rate then, and neither must time after
// a share has ended.
func (v *callerState) settle(now clock.Millis, t terms) {
	if v.share > 0 && now >= v.until {
		v.bucket = v.bucket.filled(max(v.until, v.bucket.at), v.local, v.burst)
		v.share = 0
		v.local, v.burst = t.local(0)
	}
	v.bucket = v.bucket.filled(now, v.local, v.burst)
	v.local, v.burst = t.local(v.share)
	v.bucket.tokens = math.Min(v.bucket.tokens, v.burst)
}

// newState returns a full bucket for a caller with the least share. A caller that
// may have used the shared bucket starts with no more than that one holds.
func (s *budgetShard) newState(c Class, now clock.Millis, t terms, reports int) *callerState {
	local, burst := t.local(0)
	v := &callerState{bucket: bucket{tokens: burst, at: now}, local: local, burst: burst, since: now, floor: reports}
	if shared := s.overflow[c]; shared != nil {
		shared.settle(now, t)
		v.bucket.tokens = math.Min(v.burst, shared.bucket.tokens)
	}
	return v
}

func (s *budgetShard) state(k callerClass, now clock.Millis, t terms, b *CallerBudget) *callerState {
	if v, ok := s.callers[k]; ok {
		return v
	}
	// Answers to the reports so far were for an earlier state of this caller.
	reports := int(b.reports.Load())
	if len(k.caller) > maxTrackedName || (len(s.callers) >= b.perShard && !s.evict(now, b)) {
		if s.overflow[k.class] == nil {
			s.overflow[k.class] = s.newState(k.class, now, t, reports)
		}
		return s.overflow[k.class]
	}
	// The caller chose the name, so it may be part of a larger string.
	k.caller = strings.Clone(k.caller)
	v := s.newState(k.class, now, t, reports)
	s.callers[k] = v
	return v
}

// evict drops a caller whose bucket is full and who has no share besides the
// least one: a new bucket would hold no more, so dropping it cannot raise the
// caller's rate.
func (s *budgetShard) evict(now clock.Millis, b *CallerBudget) bool {
	tries := 0
	for k, v := range s.callers {
		v.settle(now, b.terms(k.class))
		if v.share == 0 && v.bucket.tokens >= v.burst {
			delete(s.callers, k)
			return true
		}
		if tries++; tries == evictionTries {
			return false
		}
	}
	return false
}
