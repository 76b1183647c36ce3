package node

import (
	"sync"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// inFlight holds the requests of one incarnation: those that entered the
// owner's side, and those that the target has.
type requestTracker struct {
	mu             sync.Mutex
	nextID         uint64
	entries        map[uint64]*entry
	releasedGrants map[wire.PartitionID]wire.FencingToken
	atTarget       map[uint64]wire.InFlight
	forwarded      map[wire.PartitionID]int
	loadsSince     clock.Millis
	changed        chan struct{}
}

// entry is a request that entered. Its key is kept because an override can
// change which partition the key belongs to while the request is in flight.
type entry struct {
	partition wire.PartitionID
	key       uint64
	// holds counts what keeps the entry: the request itself, and each copy of it
	// that the target may work on.
	references int
}

func newRequestTracker() *requestTracker {
	return &requestTracker{
		entries:        make(map[uint64]*entry),
		releasedGrants: make(map[wire.PartitionID]wire.FencingToken),
		atTarget:       make(map[uint64]wire.InFlight),
		forwarded:      make(map[wire.PartitionID]int),
		changed:        make(chan struct{}),
	}
}

// enter counts a request of a partition. It returns false when the grant has
// been released.
func (f *requestTracker) add(p wire.PartitionID, e wire.FencingToken, key uint64) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if released, ok := f.releasedGrants[p]; ok && released >= e && p != "" {
		return 0, false
	}
	f.nextID++
	f.entries[f.nextID] = &entry{partition: p, key: key, references: 1}
	return f.nextID, true
}

// hold keeps an entry for a copy of its request until a further leave.
func (f *requestTracker) retain(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[id].references++
}

// leave ends what enter or hold began.
func (f *requestTracker) remove(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	request := f.entries[id]
	request.references--
	if request.references > 0 {
		return
	}
	delete(f.entries, id)
	close(f.changed)
	f.changed = make(chan struct{})
}

// release marks a grant as released, if no request of it is left. From then on
// enter refuses. belongs reports whether a key belongs to the partition now.
func (f *requestTracker) releaseGrant(p wire.PartitionID, e wire.FencingToken, belongsToPartition func(key uint64) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.releasedGrants[p] == e {
		return true
	}
	for _, request := range f.entries {
		if request.partition == p || (request.partition != "" && belongsToPartition(request.key)) {
			return false
		}
	}
	f.releasedGrants[p] = e
	return true
}

// hasReleased reports whether the grant has been released.
func (f *requestTracker) grantReleased(p wire.PartitionID, e wire.FencingToken) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.releasedGrants[p] == e
}

// count returns the number of requests that entered, and a channel that closes
// when one leaves.
func (f *requestTracker) count() (int, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.entries), f.changed
}

// toTarget records that the target is about to get a request.
func (f *requestTracker) sentToTarget(r wire.InFlight, p wire.PartitionID) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	f.atTarget[f.nextID] = r
	if p != "" {
		f.forwarded[p]++
	}
	return f.nextID
}

// fromTarget records that the target has finished a request.
func (f *requestTracker) targetFinished(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.atTarget, id)
}

// suspects returns the requests that the target has, each fingerprint once.
func (f *requestTracker) suspects() []wire.InFlight {
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
func (f *requestTracker) loads(now clock.Millis) []wire.PartitionLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []wire.PartitionLoad{}
	seconds := float64(now-f.loadsSince) / 1000
	if seconds <= 0 {
		return out
	}
	for p, count := range f.forwarded {
		out = append(out, wire.PartitionLoad{Partition: p, RequestsPerSecond: float64(count) / seconds})
	}
	clear(f.forwarded)
	f.loadsSince = now
	return busiest(out, maxLoads)
}
