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
	// hotKeyCounters bounds the memory of one service's sketch.
	hotKeyCounters = 512
	// hotKeyHalfLife lets keys that become hot show within seconds.
	hotKeyHalfLife clock.Millis = 5000
	// maxHotKeys bounds the report.
	maxHotKeys = 8
	// minHotKeyRate is the rate below which a key is not worth reporting.
	minHotKeyRate = 20.0
)

// hotKeys finds the frequent keys of each keyed service.
type hotKeys struct {
	clock    clock.Clock
	mu       sync.RWMutex
	sketches map[wire.ServiceName]*hotkey.Sketch
}

func newHotKeys(c clock.Clock) *hotKeys {
	return &hotKeys{clock: c, sketches: make(map[wire.ServiceName]*hotkey.Sketch)}
}

func (h *hotKeys) observe(s wire.ServiceName, key uint64) {
	h.mu.RLock()
	v := h.sketches[s]
	h.mu.RUnlock()
	if v == nil {
		v = h.add(s)
	}
	v.Observe(key)
}

func (h *hotKeys) add(s wire.ServiceName) *hotkey.Sketch {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sketches[s] == nil {
		h.sketches[s] = hotkey.New(hotKeyCounters, hotKeyHalfLife, h.clock)
	}
	return h.sketches[s]
}

// top returns the most frequent keys.
func (h *hotKeys) top() []wire.HotKey {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := []wire.HotKey{}
	for s, v := range h.sketches {
		for _, i := range v.Top(maxHotKeys) {
			if i.Rate-i.Error >= minHotKeyRate {
				out = append(out, wire.HotKey{Service: s, KeyHash: partition.FormatHash(i.Key), RequestsPerSecond: i.Rate})
			}
		}
	}
	slices.SortFunc(out, func(a, b wire.HotKey) int { return cmp.Compare(b.RequestsPerSecond, a.RequestsPerSecond) })
	return out[:min(len(out), maxHotKeys)]
}

// busiest returns the loads with the highest rates.
func busiest(loads []wire.PartitionLoad, limit int) []wire.PartitionLoad {
	slices.SortFunc(loads, func(a, b wire.PartitionLoad) int { return cmp.Compare(b.RequestsPerSecond, a.RequestsPerSecond) })
	return loads[:min(len(loads), limit)]
}
