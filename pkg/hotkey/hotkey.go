// Package hotkey finds the most frequent keys of a stream in bounded memory.
//
// A Sketch keeps a fixed number of counters by the space-saving algorithm: if all
// counters are in use, a new key replaces the key with the smallest count and inherits
// that count as its possible error. Counts halve with each half-life, so that formerly
// frequent keys do not hide those that are frequent now. For every key with a counter,
// Rate − MaxError ≤ true decayed rate ≤ Rate.
//
// # Usage
//
//	s := hotkey.New(1024, 5000, clock.System())
//	s.Observe(xxhash.Sum64String(key))
//	for _, item := range s.Top(10) {
//		report(item.Key, item.Rate)
//	}
package hotkey

import (
	"math"
	"slices"
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// maxShards is the largest number of shards, each with its own lock, that keys are
	// distributed over.
	maxShards = 16
	// minCountersPerShard is the number of counters for which a lock of its own is
	// worthwhile. A shard reliably detects only keys with more than 1/counters of its
	// requests, so small shards detect fewer keys.
	minCountersPerShard = 64
	// rescaleAfterHalfLives is the number of half-lives after which weights and counts
	// are scaled down, so that they stay far below the largest float64 (2^1023).
	rescaleAfterHalfLives = 64
)

// Item is one frequent key.
type Item struct {
	Key uint64
	// Rate is the decayed mean rate of the key in requests per second. It is never
	// below the true rate.
	Rate float64
	// MaxError is the largest amount by which Rate may exceed the true rate.
	MaxError float64
}

// Sketch counts keys. It is safe for concurrent use.
type Sketch struct {
	clock  clock.Clock
	shards []shard
}

// New returns a sketch with capacity counters (at least one) whose counts halve
// every halfLife.
func New(capacity int, halfLife clock.Millis, clk clock.Clock) *Sketch {
	capacity = max(capacity, 1)
	n := min(max(capacity/minCountersPerShard, 1), maxShards)
	s := &Sketch{clock: clk, shards: make([]shard, n)}
	for i := range s.shards {
		// Rounded up, so that the shards together have at least capacity counters.
		s.shards[i] = newShard((capacity+n-1)/n, max(halfLife, 1), clk.Now())
	}
	return s
}

// Observe counts one request for key. Keys should be well-mixed hashes.
func (s *Sketch) Observe(key uint64) {
	now := s.clock.Now()
	sh := &s.shards[key%uint64(len(s.shards))]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.observe(key, now)
}

// Top returns the n keys with the highest rates, in descending order.
func (s *Sketch) Top(n int) []Item {
	now := s.clock.Now()
	var all []Item
	for i := range s.shards {
		all = s.shards[i].appendItems(all, now)
	}
	slices.SortFunc(all, func(a, b Item) int {
		switch {
		case a.Rate > b.Rate || (a.Rate == b.Rate && a.Key < b.Key):
			return -1
		default:
			return 1
		}
	})
	return all[:min(max(n, 0), len(all))]
}

// shard is a space-saving summary: a heap of counters with the smallest count first,
// and the index of each key in it.
type shard struct {
	mu       sync.Mutex
	capacity int
	halfLife clock.Millis
	// weight is the weight of a request at weightTime. It is 1 at startTime and doubles
	// with each half-life.
	startTime  clock.Millis
	weightTime clock.Millis
	weight     float64
	indexes    map[uint64]int
	heap       []counter
}

// counter holds the weighted count of a key, and as error the part of it that may belong
// to other keys.
type counter struct {
	key   uint64
	count float64
	error float64
}

func newShard(capacity int, halfLife, now clock.Millis) shard {
	return shard{
		capacity:   capacity,
		halfLife:   halfLife,
		startTime:  now,
		weightTime: now,
		weight:     1,
		indexes:    make(map[uint64]int, capacity),
		heap:       make([]counter, 0, capacity),
	}
}

func (sh *shard) observe(key uint64, now clock.Millis) {
	sh.advance(now)
	if i, ok := sh.indexes[key]; ok {
		sh.heap[i].count += sh.weight
		sh.siftDown(i)
		return
	}
	if len(sh.heap) < sh.capacity {
		sh.heap = append(sh.heap, counter{key: key, count: sh.weight})
		sh.indexes[key] = len(sh.heap) - 1
		sh.siftUp(len(sh.heap) - 1)
		return
	}
	smallest := &sh.heap[0]
	delete(sh.indexes, smallest.key)
	sh.indexes[key] = 0
	*smallest = counter{key: key, count: smallest.count + sh.weight, error: smallest.count}
	sh.siftDown(0)
}

// advance sets the weight of a request at now. The weight of new requests grows, which
// is equivalent to decaying all counts but does not have to update them.
func (sh *shard) advance(now clock.Millis) {
	if now <= sh.weightTime {
		return
	}
	sh.weightTime = now
	age := float64(now-sh.startTime) / float64(sh.halfLife)
	if age > rescaleAfterHalfLives {
		sh.rescale(math.Exp2(-age))
		sh.startTime = now
		age = 0
	}
	sh.weight = math.Exp2(age)
}

// rescale multiplies all counts by factor.
func (sh *shard) rescale(factor float64) {
	for i := range sh.heap {
		sh.heap[i].count *= factor
		sh.heap[i].error *= factor
	}
}

func (sh *shard) appendItems(all []Item, now clock.Millis) []Item {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.advance(now)
	// At a constant rate r the decayed count is r · halfLife / ln 2.
	perSecond := 1000 * math.Ln2 / float64(sh.halfLife) / sh.weight
	for _, c := range sh.heap {
		all = append(all, Item{Key: c.key, Rate: c.count * perSecond, MaxError: c.error * perSecond})
	}
	return all
}

func (sh *shard) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if sh.heap[parent].count <= sh.heap[i].count {
			return
		}
		sh.swap(i, parent)
		i = parent
	}
}

func (sh *shard) siftDown(i int) {
	for {
		smallest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(sh.heap) && sh.heap[child].count < sh.heap[smallest].count {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		sh.swap(i, smallest)
		i = smallest
	}
}

func (sh *shard) swap(i, j int) {
	sh.heap[i], sh.heap[j] = sh.heap[j], sh.heap[i]
	sh.indexes[sh.heap[i].key] = i
	sh.indexes[sh.heap[j].key] = j
}
