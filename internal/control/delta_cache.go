package control

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// maxCachedDeltas bounds the encoded deltas that are cached for one version.
// Most nodes know one of a few versions. Once the cache is full, deltas for
// further versions are encoded without being cached.
const maxCachedDeltas = 32

// deltaCache encodes each delta of the routing table once for all nodes that
// know the same version and understand the same format. Without it the leader
// spends most of its time encoding the same delta for each node.
type deltaCache struct {
	machine *state.Machine

	mu sync.Mutex
	// version is the last change that the cached deltas contain.
	version wire.Version
	entries map[cacheKey]*encodedDelta
}

// cacheKey identifies the nodes that a delta is encoded for.
type cacheKey struct {
	format wire.DeltaFormat
	known  wire.Version
}

// encodedDelta is an encoded delta, or the error of encoding it. done is closed
// when data and err are set.
type encodedDelta struct {
	done chan struct{}
	data json.RawMessage
	err  error
}

func newDeltaCache(m *state.Machine) *deltaCache {
	return &deltaCache{machine: m, entries: make(map[cacheKey]*encodedDelta)}
}

// get returns the encoded delta from the known version to the version at the
// time of the call or a later one, in the highest format that the receiver
// understands.
func (c *deltaCache) get(f wire.DeltaFormat, known wire.Version) (json.RawMessage, error) {
	// A format that is not defined in this version of the program is replaced by
	// the nearest one that is, so that both share a cache entry.
	f = max(0, min(f, wire.DeltaFormatChanges))
	e, created := c.entry(cacheKey{format: f, known: known})
	if created {
		e.data, e.err = json.Marshal(compact(c.machine.DeltaInFormat(f, known)))
		close(e.done)
	}
	<-e.done
	return e.data, e.err
}

// compactDelta is a wire.Delta whose encoding omits empty lists. Most responses
// carry no change, and the names of empty lists would be half of their bytes.
type compactDelta struct {
	Configuration       *wire.Configuration       `json:",omitempty"`
	ConfigurationChange *wire.ConfigurationChange `json:",omitempty"`
	FromVersion         wire.Version
	Full                bool
	Members             []wire.Member      `json:",omitempty"`
	Partitions          wire.PartitionList `json:",omitempty"`
	RemovedMembers      []wire.Incarnation `json:",omitempty"`
	RemovedPartitions   []wire.PartitionID `json:",omitempty"`
	RemovedSuspects     []wire.Fingerprint `json:",omitempty"`
	Revision            wire.Revision
	Suspects            []wire.Suspect `json:",omitempty"`
	ToVersion           wire.Version
}

func compact(d wire.Delta) compactDelta { return compactDelta(d) }

// entry returns the entry of a key, and whether the caller must encode the
// delta.
func (c *deltaCache) entry(k cacheKey) (*encodedDelta, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The version is read under the mutex and before the delta is computed, so the
	// delta contains at least this change.
	if v := c.machine.LastTableChange(); v != c.version {
		c.version = v
		clear(c.entries)
	}
	if e, ok := c.entries[k]; ok {
		return e, false
	}
	e := &encodedDelta{done: make(chan struct{})}
	if len(c.entries) < maxCachedDeltas {
		c.entries[k] = e
	}
	return e, true
}

// encodedHeartbeat and encodedWatch are encoded like wire.HeartbeatResponse and
// wire.WatchResponse, but contain a delta that is already encoded.
type encodedHeartbeat struct {
	Granted     bool
	LeaseMillis wire.Millis
	Refusal     string
	// CallerShares is omitted if the heartbeat contains no report of callers, so
	// that heartbeats of idle nodes stay small.
	CallerShares *wire.CallerShares `json:",omitempty"`
	Delta        json.RawMessage
}

type encodedWatch struct {
	Delta json.RawMessage
}

// serveHeartbeat renews a lease and returns the changes of the routing table.
// It reads the table last, so that the table is at least as new as the renewal.
func (s *Service) serveHeartbeat(ctx context.Context, r wire.HeartbeatRequest) (encodedHeartbeat, error) {
	response, err := s.processHeartbeat(ctx, r)
	if err != nil {
		return encodedHeartbeat{}, err
	}
	delta, err := s.deltas.get(r.DeltaFormat, r.KnownVersion)
	return encodedHeartbeat{
		Granted: response.Granted, LeaseMillis: response.LeaseMillis, Refusal: response.RejectReason,
		CallerShares: response.CallerShares, Delta: delta,
	}, err
}

// serveWatch returns the changes of the routing table as soon as its version is
// later than the known version.
func (s *Service) serveWatch(ctx context.Context, r wire.WatchRequest) (encodedWatch, error) {
	if err := s.waitForTableChange(ctx, r); err != nil {
		return encodedWatch{}, err
	}
	delta, err := s.deltas.get(r.DeltaFormat, r.KnownVersion)
	return encodedWatch{Delta: delta}, err
}
