package node

import (
	"sync"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// requestTracker holds the requests in flight of one incarnation: all that the owner's
// side is handling, and those that were sent to the target.
type requestTracker struct {
	mu             sync.Mutex
	nextID         uint64
	entries        map[uint64]*entry
	releasedGrants map[wire.PartitionID]wire.FencingToken
	// atTarget are the requests that were sent to the target and not finished.
	atTarget map[uint64]wire.InFlight
	// forwarded is the number of requests sent to the target since loadsSince.
	forwarded  map[wire.PartitionID]int
	loadsSince clock.Millis
	// changed is closed and replaced when an entry is removed.
	changed chan struct{}
}

// entry is a request that the owner's side is handling. It has the key because an
// override can change the key's partition while the request is in flight.
type entry struct {
	partition wire.PartitionID
	key       uint64
	// references counts the request itself and each copy of it that the target may be
	// working on.
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

// add adds a request and returns its ID. It returns false if the grant of its partition
// has been released.
func (t *requestTracker) add(partitionID wire.PartitionID, token wire.FencingToken, key uint64) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if released, ok := t.releasedGrants[partitionID]; ok && released >= token && partitionID != "" {
		return 0, false
	}
	t.nextID++
	t.entries[t.nextID] = &entry{partition: partitionID, key: key, references: 1}
	return t.nextID, true
}

// retain adds a reference to an entry, for a copy of its request.
func (t *requestTracker) retain(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[id].references++
}

// remove drops a reference that add or retain added. It removes the entry with the last
// one.
func (t *requestTracker) remove(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	request := t.entries[id]
	request.references--
	if request.references > 0 {
		return
	}
	delete(t.entries, id)
	close(t.changed)
	t.changed = make(chan struct{})
}

// releaseGrant releases a grant unless the partition has requests in flight, and reports
// whether it is released. From then on, add rejects requests under this grant.
// belongsToPartition reports whether a key belongs to the partition now.
func (t *requestTracker) releaseGrant(partitionID wire.PartitionID, token wire.FencingToken, belongsToPartition func(key uint64) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.releasedGrants[partitionID] == token {
		return true
	}
	for _, request := range t.entries {
		if request.partition == partitionID || (request.partition != "" && belongsToPartition(request.key)) {
			return false
		}
	}
	t.releasedGrants[partitionID] = token
	return true
}

// grantReleased reports whether the grant has been released.
func (t *requestTracker) grantReleased(partitionID wire.PartitionID, token wire.FencingToken) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.releasedGrants[partitionID] == token
}

// count returns the number of requests that the owner's side is handling, and a channel
// that is closed when one of them ends.
func (t *requestTracker) count() (int, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries), t.changed
}

// sentToTarget records a request that is about to be sent to the target, and returns its
// ID for targetFinished.
func (t *requestTracker) sentToTarget(suspect wire.InFlight, partitionID wire.PartitionID) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	t.atTarget[t.nextID] = suspect
	if partitionID != "" {
		t.forwarded[partitionID]++
	}
	return t.nextID
}

// targetFinished records that the target no longer works on a request.
func (t *requestTracker) targetFinished(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.atTarget, id)
}

// suspects returns the requests that were sent to the target and not finished, without
// duplicate fingerprints.
func (t *requestTracker) suspects() []wire.InFlight {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[wire.Fingerprint]bool, len(t.atTarget))
	out := make([]wire.InFlight, 0, len(t.atTarget))
	for _, suspect := range t.atTarget {
		if !seen[suspect.Fingerprint] {
			seen[suspect.Fingerprint] = true
			out = append(out, suspect)
		}
	}
	return out
}

// maxLoads is the maximum number of partitions in a load report, which limits it to
// about 3 KB.
const maxLoads = 48

// loads returns the request rates of the busiest partitions since the last call.
func (t *requestTracker) loads(now clock.Millis) []wire.PartitionLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []wire.PartitionLoad{}
	seconds := float64(now-t.loadsSince) / 1000
	if seconds <= 0 {
		return out
	}
	for partitionID, count := range t.forwarded {
		out = append(out, wire.PartitionLoad{Partition: partitionID, RequestsPerSecond: float64(count) / seconds})
	}
	clear(t.forwarded)
	t.loadsSince = now
	return busiest(out, maxLoads)
}
