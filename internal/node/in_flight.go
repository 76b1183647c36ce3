package node

import (
	"sync"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// inFlight holds the requests of one incarnation: those that entered the
// owner's side, and those that the target has.
type inFlight struct {
	mu       sync.Mutex
	next     uint64
	entered  map[uint64]*entry
	released map[wire.PartitionID]wire.FencingToken
	atTarget map[uint64]wire.InFlight
	served   map[wire.PartitionID]int
	since    clock.Millis
	changed  chan struct{}
}

// entry is a request that entered. Its key is kept because an override can
// change which partition the key belongs to while the request is in flight.
type entry struct {
	partition wire.PartitionID
	key       uint64
	// holds counts what keeps the entry: the request itself, and each copy of it
	// that the target may work on.
	holds int
}

func newInFlight() *inFlight {
	return &inFlight{
		entered:  make(map[uint64]*entry),
		released: make(map[wire.PartitionID]wire.FencingToken),
		atTarget: make(map[uint64]wire.InFlight),
		served:   make(map[wire.PartitionID]int),
		changed:  make(chan struct{}),
	}
}

// enter counts a request of a partition. It returns false when the grant has
// been released.
func (f *inFlight) enter(p wire.PartitionID, e wire.FencingToken, key uint64) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.released[p]; ok && r >= e && p != "" {
		return 0, false
	}
	f.next++
	f.entered[f.next] = &entry{partition: p, key: key, holds: 1}
	return f.next, true
}

// hold keeps an entry for a copy of its request until a further leave.
func (f *inFlight) hold(n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entered[n].holds++
}

// leave ends what enter or hold began.
func (f *inFlight) leave(n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.entered[n]
	v.holds--
	if v.holds > 0 {
		return
	}
	delete(f.entered, n)
	close(f.changed)
	f.changed = make(chan struct{})
}

// release marks a grant as released, if no request of it is left. From then on
// enter refuses. belongs reports whether a key belongs to the partition now.
func (f *inFlight) release(p wire.PartitionID, e wire.FencingToken, belongs func(key uint64) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.released[p] == e {
		return true
	}
	for _, v := range f.entered {
		if v.partition == p || (v.partition != "" && belongs(v.key)) {
			return false
		}
	}
	f.released[p] = e
	return true
}

// hasReleased reports whether the grant has been released.
func (f *inFlight) hasReleased(p wire.PartitionID, e wire.FencingToken) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.released[p] == e
}

// count returns the number of requests that entered, and a channel that closes
// when one leaves.
func (f *inFlight) count() (int, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.entered), f.changed
}

// toTarget records that the target is about to get a request.
func (f *inFlight) toTarget(r wire.InFlight, p wire.PartitionID) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	f.atTarget[f.next] = r
	if p != "" {
		f.served[p]++
	}
	return f.next
}

// fromTarget records that the target has finished a request.
func (f *inFlight) fromTarget(n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.atTarget, n)
}

// suspects returns the requests that the target has, each fingerprint once.
func (f *inFlight) suspects() []wire.InFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[wire.Fingerprint]bool, len(f.atTarget))
	out := make([]wire.InFlight, 0, len(f.atTarget))
	for _, r := range f.atTarget {
		if !seen[r.Fingerprint] {
			seen[r.Fingerprint] = true
			out = append(out, r)
		}
	}
	return out
}

// maxLoads bounds the report of loads to about 3 KB.
const maxLoads = 48

// loads returns the request rate by partition since the last call.
func (f *inFlight) loads(now clock.Millis) []wire.PartitionLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []wire.PartitionLoad{}
	seconds := float64(now-f.since) / 1000
	if seconds <= 0 {
		return out
	}
	for p, n := range f.served {
		out = append(out, wire.PartitionLoad{Partition: p, RequestsPerSecond: float64(n) / seconds})
	}
	clear(f.served)
	f.since = now
	return busiest(out, maxLoads)
}
