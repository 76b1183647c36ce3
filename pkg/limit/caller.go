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
	// budgetShards is the number of shards, each with its own lock, that callers are
	// distributed over.
	budgetShards = 16
	// defaultTrackedCallers bounds the memory of a budget to about 1 MB with names of
	// usual length, and to 3 MB with the longest ones.
	defaultTrackedCallers = 8192
	// maxTrackedName is the longest name of a caller that is tracked and reported, in
	// bytes. It bounds memory and the size of messages, since callers choose their
	// names.
	maxTrackedName = 256
	// burstSeconds sets the burst: a caller may send at once the requests of this many
	// seconds at its rate.
	burstSeconds = 1.0
	// maxEvictionTries bounds the search for a caller whose state can be evicted.
	maxEvictionTries = 4
	// reservedPart is the part of the rate that is not divided by demand, so that a
	// caller that moves to another node is served there before the next report. Half
	// of it is divided equally among the nodes as their minimum shares. The other half
	// stays unassigned, for nodes that have joined and are not counted yet or that
	// have left and are still counted. A caller on one node cannot use the reserved
	// part, so it is small.
	reservedPart = 0.1
	// minUrgentInterval is the shortest time between two urgent reports of a caller.
	// It keeps a caller whose requests are rejected for a long time out of most
	// heartbeats.
	minUrgentInterval clock.Millis = 2000
	// ShareDuration is the time for which a share is valid at a node, counted from
	// before the node sent the report that the share responds to. Nodes report every
	// two seconds, so one report or response may be lost.
	ShareDuration clock.Millis = 6000
	// lowBucketFraction is the fraction of a full bucket below which the caller needs
	// an extra share. The tokens that are left then are enough until the response to
	// the report arrives, if the caller uses less than half of an equal share's burst
	// in a heartbeat interval.
	lowBucketFraction = 0.5
	// confirmBelow is a fraction of the previous extra share. If a response lowers the
	// share below it, the node confirms the new share in its next report, urgent or
	// regular. The leader can assign the difference to other nodes only after that.
	// Smaller changes are confirmed in the regular report.
	confirmBelow = 0.9
)

// BudgetOptions are the settings of a CallerBudget.
type BudgetOptions struct {
	// Clock measures time. Required.
	Clock clock.Clock
	// RequestsPerSecond is the rate of each caller over all nodes, by class. Zero
	// means no limit.
	RequestsPerSecond PerClass
	// MaxTrackedCallers is the number of callers with a bucket of their own. Zero
	// means 8,192. Callers beyond it, and those with names of more than 256 bytes,
	// share a bucket with the minimum share of a single caller, so none of them
	// exceeds its limit.
	MaxTrackedCallers int
}

// CallerBudget limits the rate of each caller over all nodes without a round trip
// for each request. Each node has a minimum share of every caller's rate. SetShare
// adds an extra share for a limited time. Requests beyond the two are rejected. A
// caller that has used half of its burst and has no extra share is part of the next
// report. The rates of all nodes add up to at most the limit if the extra shares
// that are assigned for one caller add up to at most SharePool.
//
// The leader, a process that receives the reports of all nodes, assigns the extra
// shares. Without a leader each node is limited to its minimum share.
//
// A new caller may exceed its rate by one burst over all nodes: one second of its
// rate, or one request at each node if that is more. Later the bursts of its extra
// shares are added, up to two seconds of its rate in total.
//
// CallerBudget is safe for concurrent use.
type CallerBudget struct {
	clock       clock.Clock
	hash        func(caller string) uint64
	maxPerShard int
	// reports is the number of the last report.
	reports atomic.Int64
	// hasUrgent is set while there may be a caller with an urgent demand.
	hasUrgent atomic.Bool

	mu     sync.RWMutex
	rates  PerClass
	nodes  int
	shards [budgetShards]budgetShard
}

type budgetShard struct {
	mu      sync.Mutex
	callers map[callerClass]*callerState
	// untracked holds one state for each class, shared by all untracked callers.
	untracked [classCount]*callerState
}

type callerClass struct {
	caller string
	class  Class
}

type callerState struct {
	bucket bucket
	// nodeRate and burst are the bucket's fill rate and size since the last refill.
	nodeRate, burst float64
	// extraShare is the share on top of the minimum share. It is valid until shareEnd.
	extraShare float64
	shareEnd   clock.Millis
	// requests is the number of requests since countedFrom.
	requests    float64
	countedFrom clock.Millis
	// urgent means that the caller is to be part of the next report of any kind.
	urgent bool
	// reportedAt is the time of the last report of any kind, if wasReported is set.
	reportedAt  clock.Millis
	wasReported bool
	// Responses to the reports up to number ignoredUpTo do not apply any more.
	// answeredReport is the number of the report whose response last set the extra
	// share; 0 if there is none.
	ignoredUpTo, answeredReport int
}

// Demand is the demand of one caller that a node reports.
type Demand struct {
	Caller string
	Class  Class
	// RequestsPerSecond is the rate of requests, including rejected ones, since the
	// last report of this caller. Zero means that the node has returned its extra
	// share.
	RequestsPerSecond float64
	// AnsweredReport is the number of the report whose response last set this
	// caller's extra share; 0 if there is none. Shares from responses to earlier
	// reports are not used any more.
	AnsweredReport int
}

// Report is a node's report of its callers' demand.
type Report struct {
	// Number increases with each report.
	Number  int
	Demands []Demand
}

// NewCallerBudget returns a budget for a system of one node.
func NewCallerBudget(o BudgetOptions) *CallerBudget {
	if o.MaxTrackedCallers <= 0 {
		o.MaxTrackedCallers = defaultTrackedCallers
	}
	// A random seed, so that callers cannot choose names that share a lock.
	seed := maphash.MakeSeed()
	b := &CallerBudget{
		clock:       o.Clock,
		hash:        func(caller string) uint64 { return maphash.String(seed, caller) },
		maxPerShard: max(o.MaxTrackedCallers/budgetShards, 1),
		rates:       o.RequestsPerSecond,
		nodes:       1,
	}
	for i := range b.shards {
		b.shards[i].callers = make(map[callerClass]*callerState)
	}
	return b
}

// SetRates changes the rate of each caller, for a new configuration.
func (b *CallerBudget) SetRates(requestsPerSecond PerClass) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rates = requestsPerSecond
}

// SetNodes sets the number of nodes, including this one, that have a minimum share.
func (b *CallerBudget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(n, 1)
}

// SetShare sets this node's extra share of one caller's rate, from 0 to 1, as the
// response to the report of the given number. The share is valid until the given
// time. It has no effect if a later response has been applied, or if the caller is
// not tracked any more: the node then has its minimum share.
func (b *CallerBudget) SetShare(caller string, c Class, share float64, report int, until clock.Millis) {
	rate := b.rateForClass(c)
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	cs, ok := s.callers[callerClass{caller, c}]
	if !ok || report <= cs.ignoredUpTo {
		return
	}
	now := b.clock.Now()
	cs.refill(now, rate)
	if share < cs.extraShare*confirmBelow {
		cs.urgent = true
		b.hasUrgent.Store(true)
	}
	cs.extraShare, cs.shareEnd = math.Min(math.Max(share, 0), 1), until
	cs.ignoredUpTo, cs.answeredReport = report, report
	cs.refill(now, rate)
}

// Allow reports whether the caller may send one more request now.
func (b *CallerBudget) Allow(caller string, c Class) bool {
	rate := b.rateForClass(c)
	if rate.perSecond <= 0 {
		return true
	}
	now := b.clock.Now()
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	cs := s.findOrAdd(callerClass{caller, c}, now, rate, b)
	cs.requests++
	cs.refill(now, rate)
	next, ok := cs.bucket.takeToken(now, cs.nodeRate, cs.burst)
	cs.bucket = next
	if cs.needsShare(now) && cs != s.untracked[c] {
		cs.urgent = true
		b.hasUrgent.Store(true)
	}
	return ok
}

// Share returns this node's current share of a caller's rate: the minimum share and
// a valid extra share.
func (b *CallerBudget) Share(caller string, c Class) float64 {
	minShare := b.rateForClass(c).minShare
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	cs, ok := s.callers[callerClass{caller, c}]
	if !ok || b.clock.Now() >= cs.shareEnd {
		return minShare
	}
	return math.Min(1, minShare+cs.extraShare)
}

// classRate is the rate of each caller of a class and this node's minimum share of
// it. A bucket holds at least the burst of equalShare, which is 1/nodes.
type classRate struct{ perSecond, minShare, equalShare float64 }

func (b *CallerBudget) rateForClass(c Class) classRate {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return classRate{perSecond: b.rates[c], minShare: MinShare(b.nodes), equalShare: 1 / float64(b.nodes)}
}

func (b *CallerBudget) shard(caller string) *budgetShard {
	return &b.shards[b.hash(caller)%budgetShards]
}

// MinShare returns the share of every caller's rate that each of n nodes has without
// an assignment.
func MinShare(n int) float64 { return reservedPart / 2 / float64(max(n, 1)) }

// SharePool returns the part of a caller's rate that may be assigned to nodes as
// extra shares. counted is the number of nodes that the nodes' minimum shares are
// based on, serving the number of nodes that serve callers. The pool excludes the
// minimum shares of all serving nodes, and of as many further nodes as are counted,
// which may join before the others count them.
func SharePool(counted, serving int) float64 {
	uncounted := max(serving-max(counted, 1), 0)
	return math.Max(0, 1-reservedPart-float64(uncounted)*MinShare(counted))
}

// SharesByDemand divides the part of one caller's rate that is not reserved among
// the nodes, in proportion to the demand that they reported for it. The results are
// extra shares. Without any demand they are equal.
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
		shares[i] = (1 - reservedPart) * part
	}
	return shares
}

// withExtraShare returns the rate and burst of a node with the given extra share.
// The burst is at least that of an equal share, so that a caller that is new at a
// node is served until the response to the first report. It is at least one request,
// since a smaller bucket would reject every request.
func (r classRate) withExtraShare(share float64) (nodeRate, burst float64) {
	share = math.Min(r.minShare+share, 1)
	return r.perSecond * share, math.Max(1, r.perSecond*math.Max(share, r.equalShare)*burstSeconds)
}

// needsShare reports whether a caller without an extra share has used so much of its
// bucket that requests may be rejected before the next regular report.
func (cs *callerState) needsShare(now clock.Millis) bool {
	recentlyReported := cs.wasReported && now-cs.reportedAt < minUrgentInterval
	return cs.extraShare == 0 && !recentlyReported && cs.bucket.tokens < cs.burst*lowBucketFraction
}

// refill adds the tokens since the last refill at the rate that applied then, and
// then switches to the current rate. The new rate must not apply to the time before
// a share was raised, nor the old one to the time after a share has ended: at those
// times the difference may be assigned to another node, and the two nodes together
// would exceed the caller's rate.
func (cs *callerState) refill(now clock.Millis, rate classRate) {
	if cs.extraShare > 0 && now >= cs.shareEnd {
		cs.bucket = cs.bucket.refilled(max(cs.shareEnd, cs.bucket.updatedAt), cs.nodeRate, cs.burst)
		cs.extraShare = 0
		cs.nodeRate, cs.burst = rate.withExtraShare(0)
	}
	cs.bucket = cs.bucket.refilled(now, cs.nodeRate, cs.burst)
	cs.nodeRate, cs.burst = rate.withExtraShare(cs.extraShare)
	cs.bucket.tokens = math.Min(cs.bucket.tokens, cs.burst)
}

// newState returns the state of a caller with the minimum share and a full bucket. If
// untracked callers share a bucket, the new one starts with no more tokens than that
// bucket holds, since the caller may have used it. lastReport is the number of the
// last report.
func (s *budgetShard) newState(c Class, now clock.Millis, rate classRate, lastReport int) *callerState {
	nodeRate, burst := rate.withExtraShare(0)
	cs := &callerState{bucket: bucket{tokens: burst, updatedAt: now}, nodeRate: nodeRate, burst: burst, countedFrom: now, ignoredUpTo: lastReport}
	if shared := s.untracked[c]; shared != nil {
		shared.refill(now, rate)
		cs.bucket.tokens = math.Min(cs.burst, shared.bucket.tokens)
	}
	return cs
}

// findOrAdd returns the state of a caller, or the shared one if the caller cannot be
// tracked.
func (s *budgetShard) findOrAdd(k callerClass, now clock.Millis, rate classRate, b *CallerBudget) *callerState {
	if cs, ok := s.callers[k]; ok {
		return cs
	}
	// Responses to the reports so far belong to an evicted state of this caller.
	lastReport := int(b.reports.Load())
	if len(k.caller) > maxTrackedName || (len(s.callers) >= b.maxPerShard && !s.evict(now, b)) {
		if s.untracked[k.class] == nil {
			s.untracked[k.class] = s.newState(k.class, now, rate, lastReport)
		}
		return s.untracked[k.class]
	}
	// The name may be part of a larger string, such as a request header, which the
	// map would keep in memory.
	k.caller = strings.Clone(k.caller)
	cs := s.newState(k.class, now, rate, lastReport)
	s.callers[k] = cs
	return cs
}

// evict removes a caller with a full bucket and no extra share. A new bucket would
// hold no more tokens, so the removal cannot raise the caller's rate.
func (s *budgetShard) evict(now clock.Millis, b *CallerBudget) bool {
	tries := 0
	for k, cs := range s.callers {
		cs.refill(now, b.rateForClass(k.class))
		if cs.extraShare == 0 && cs.bucket.tokens >= cs.burst {
			delete(s.callers, k)
			return true
		}
		if tries++; tries == maxEvictionTries {
			return false
		}
	}
	return false
}
