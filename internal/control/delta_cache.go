package control

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// maxCachedDeltas bounds the encoded changes that are kept for one version. Most
// nodes know the same few versions; a node that was away is served without the
// cache's help.
const maxCachedDeltas = 32

// deltaCache encodes a change of the routing table once for all nodes that know
// the same version and understand the same form. Without it the leader spends most of its time on encoding
// the same change for each node.
type deltaCache struct {
	machine *state.Machine

	mu sync.Mutex
	// version is the last change that the cached encodings contain.
	version wire.Version
	byKnown map[cacheKey]*encoding
}

// cacheKey says for whom a change is encoded.
type cacheKey struct {
	format wire.DeltaFormat
	known  wire.Version
}

// encoding is one change; done is closed when the rest is set.
type encoding struct {
	done chan struct{}
	data json.RawMessage
	err  error
}

func newDeltaCache(m *state.Machine) *deltaCache {
	return &deltaCache{machine: m, byKnown: make(map[cacheKey]*encoding)}
}

// get returns the encoded delta from the known version to one that is at least
// as new as the call, in the highest form that the receiver understands.
func (c *deltaCache) get(f wire.DeltaFormat, known wire.Version) (json.RawMessage, error) {
	// Forms that this program does not know share the entry of the one that it
	// uses for them.
	f = max(0, min(f, wire.DeltaFormatChanges))
	e, first := c.entry(cacheKey{format: f, known: known})
	if first {
		e.data, e.err = json.Marshal(compact(c.machine.DeltaIn(f, known)))
		close(e.done)
	}
	<-e.done
	return e.data, e.err
}

// compactDelta is a wire.Delta without its empty lists. Most responses carry no
// change, and the names of empty lists would be half of their bytes.
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

// entry returns the encoding to use, and whether the caller must fill it.
func (c *deltaCache) entry(k cacheKey) (*encoding, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Read under the mutex and before the delta is made: an entry of this version
	// then contains at least this change.
	if v := c.machine.LastChange(); v != c.version {
		c.version = v
		clear(c.byKnown)
	}
	if e, ok := c.byKnown[k]; ok {
		return e, false
	}
	e := &encoding{done: make(chan struct{})}
	if len(c.byKnown) < maxCachedDeltas {
		c.byKnown[k] = e
	}
	return e, true
}

// encodedHeartbeat and encodedWatch have the encodings of wire.HeartbeatResponse
// and wire.WatchResponse, with a delta that is encoded already.
type encodedHeartbeat struct {
	Granted     bool
	LeaseMillis wire.Millis
	Refusal     string
	// CallerShares is absent without a report of callers, so that an idle heartbeat
	// costs nothing.
	CallerShares *wire.CallerShares `json:",omitempty"`
	Delta        json.RawMessage
}

type encodedWatch struct {
	Delta json.RawMessage
}

// serveHeartbeat renews a lease and returns what changed in the routing table. The
// table is read last, so that it is at least as new as the renewal.
func (s *Service) serveHeartbeat(ctx context.Context, r wire.HeartbeatRequest) (encodedHeartbeat, error) {
	response, err := s.answerHeartbeat(ctx, r)
	if err != nil {
		return encodedHeartbeat{}, err
	}
	delta, err := s.deltas.get(r.DeltaFormat, r.KnownVersion)
	return encodedHeartbeat{
		Granted: response.Granted, LeaseMillis: response.LeaseMillis, Refusal: response.Refusal,
		CallerShares: response.CallerShares, Delta: delta,
	}, err
}

// serveWatch answers as soon as the routing table is later than the known version.
func (s *Service) serveWatch(ctx context.Context, r wire.WatchRequest) (encodedWatch, error) {
	if err := s.answerWatch(ctx, r); err != nil {
		return encodedWatch{}, err
	}
	delta, err := s.deltas.get(r.DeltaFormat, r.KnownVersion)
	return encodedWatch{Delta: delta}, err
}
