package node

import (
	"cmp"
	"slices"
	"sync"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/hotkey"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

const (
	// hotKeyCounters is the number of counters in one service's sketch, which bounds
	// its memory.
	hotKeyCounters = 512
	// hotKeyHalfLife is short enough to detect a key within seconds after it becomes
	// hot.
	hotKeyHalfLife clock.Millis = 5000
	// maxHotKeys is the maximum number of keys in a report.
	maxHotKeys = 8
	// minHotKeyRequestsPerSecond is the minimum rate of a key that is reported.
	minHotKeyRequestsPerSecond = 20.0
)

// hotKeyTracker finds the most requested keys of each keyed service.
type hotKeyTracker struct {
	clock    clock.Clock
	mu       sync.RWMutex
	sketches map[wire.ServiceName]*hotkey.Sketch
}

func newHotKeyTracker(c clock.Clock) *hotKeyTracker {
	return &hotKeyTracker{clock: c, sketches: make(map[wire.ServiceName]*hotkey.Sketch)}
}

func (h *hotKeyTracker) observe(service wire.ServiceName, key uint64) {
	h.mu.RLock()
	sketch := h.sketches[service]
	h.mu.RUnlock()
	if sketch == nil {
		sketch = h.addSketch(service)
	}
	sketch.Observe(key)
}

func (h *hotKeyTracker) addSketch(service wire.ServiceName) *hotkey.Sketch {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sketches[service] == nil {
		h.sketches[service] = hotkey.New(hotKeyCounters, hotKeyHalfLife, h.clock)
	}
	return h.sketches[service]
}

// top returns the keys with the highest rates.
func (h *hotKeyTracker) top() []wire.HotKey {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := []wire.HotKey{}
	for service, sketch := range h.sketches {
		for _, item := range sketch.Top(maxHotKeys) {
			if item.Rate-item.MaxError >= minHotKeyRequestsPerSecond {
				out = append(out, wire.HotKey{Service: service, KeyHash: partition.FormatHash(item.Key), RequestsPerSecond: item.Rate})
			}
		}
	}
	slices.SortFunc(out, func(a, b wire.HotKey) int { return cmp.Compare(b.RequestsPerSecond, a.RequestsPerSecond) })
	return out[:min(len(out), maxHotKeys)]
}

// busiest returns the loads with the highest rates, at most limit of them.
func busiest(loads []wire.PartitionLoad, limit int) []wire.PartitionLoad {
	slices.SortFunc(loads, func(a, b wire.PartitionLoad) int { return cmp.Compare(b.RequestsPerSecond, a.RequestsPerSecond) })
	return loads[:min(len(loads), limit)]
}
