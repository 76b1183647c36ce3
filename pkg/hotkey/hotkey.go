// Package hotkey finds the most frequent keys of a stream in bounded memory.
//
// A Sketch keeps a fixed number of counters by the space-saving algorithm: a key
// without a counter takes over the smallest one and inherits its count as a
// possible error. Counts halve with each half-life, so that a key that was
// popular last week does not hide the one that is popular now. For every key
// with a counter, Rate − MaxError ≤ true decayed rate ≤ Rate.
//
// # Usage
//
//	s := hotkey.New(1024, 5000, clock.System())
//	s.Observe(xxhash.Sum64String(key))
//	for _, i := range s.Top(10) {
//		report(i.Key, i.Rate)
//	}
package hotkey

import (
	"math"
	"slices"
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// maximumShards spreads keys over locks.
	maximumShards = 16
	// countersPerShard is the least number of counters worth a lock of its own.
	// Each shard only separates keys whose part of its traffic is above 1/counters.
	countersPerShard = 64
	// rescaleAfter is the number of half-lives after which weights are divided,
	// so that they stay far from the largest float64 (2^1023).
	rescaleAfter = 64
)

// Item is one frequent key.
type Item struct {
	Key uint64
	// Rate is the decayed mean rate of the key in requests per second; it is
	// never below the true one.
	Rate float64
	// MaxError is the most by which Rate may be too high.
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
	n := min(max(capacity/countersPerShard, 1), maximumShards)
	s := &Sketch{clock: clk, shards: make([]shard, n)}
	for i := range s.shards {
		// Rounded up, so that the shards together have no fewer counters than asked.
		s.shards[i] = newShard((capacity+n-1)/n, max(halfLife, 1), clk.Now())
	}
	return s
}

// Observe counts one request for key. Keys should be well-mixed hashes.
func (s *Sketch) Observe(key uint64) {
	now := s.clock.Now()
	h := &s.shards[key%uint64(len(s.shards))]
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observe(key, now)
}

// Top returns the n keys with the highest rates, the highest first.
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

// shard is a space-saving summary: a heap of counters with the smallest first,
// and the place of each key in it.
type shard struct {
	mu       sync.Mutex
	capacity int
	halfLife clock.Millis
	start    clock.Millis
	weightAt clock.Millis
	weight   float64
	places   map[uint64]int
	heap     []counter
}

type counter struct {
	key   uint64
	count float64
	error float64
}

func newShard(capacity int, halfLife, now clock.Millis) shard {
	return shard{
		capacity: capacity,
		halfLife: halfLife,
		start:    now,
		weightAt: now,
		weight:   1,
		places:   make(map[uint64]int, capacity),
		heap:     make([]counter, 0, capacity),
	}
}

func (h *shard) observe(key uint64, now clock.Millis) {
	h.advance(now)
	if i, ok := h.places[key]; ok {
		h.heap[i].count += h.weight
		h.down(i)
		return
	}
	if len(h.heap) < h.capacity {
		h.heap = append(h.heap, counter{key: key, count: h.weight})
		h.places[key] = len(h.heap) - 1
		h.up(len(h.heap) - 1)
		return
	}
	least := &h.heap[0]
	delete(h.places, least.key)
	h.places[key] = 0
	*least = counter{key: key, count: least.count + h.weight, error: least.count}
	h.down(0)
}

// advance sets the weight of a request at now. Weights grow instead of counts
// shrinking, so that time costs nothing for each counter.
func (h *shard) advance(now clock.Millis) {
	if now <= h.weightAt {
		return
	}
	h.weightAt = now
	age := float64(now-h.start) / float64(h.halfLife)
	if age > rescaleAfter {
		h.rescale(math.Exp2(-age))
		h.start = now
		age = 0
	}
	h.weight = math.Exp2(age)
}

func (h *shard) rescale(factor float64) {
	for i := range h.heap {
		h.heap[i].count *= factor
		h.heap[i].error *= factor
	}
}

func (h *shard) appendItems(all []Item, now clock.Millis) []Item {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	// At a constant rate r the decayed count is r · halfLife / ln 2.
	perSecond := 1000 * math.Ln2 / float64(h.halfLife) / h.weight
	for _, c := range h.heap {
		all = append(all, Item{Key: c.key, Rate: c.count * perSecond, MaxError: c.error * perSecond})
	}
	return all
}

func (h *shard) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if h.heap[parent].count <= h.heap[i].count {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *shard) down(i int) {
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(h.heap) && h.heap[child].count < h.heap[least].count {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

func (h *shard) swap(i, j int) {
	h.heap[i], h.heap[j] = h.heap[j], h.heap[i]
	h.places[h.heap[i].key] = i
	h.places[h.heap[j].key] = j
}
