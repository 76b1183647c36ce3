package node

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// keepOwnership tells a checking target what it owns, and releases partitions
// that are to move once their last request has ended. Both happen in one
// goroutine, so that a grant cannot overtake the release that follows it.
func (m *member) keepOwnership(ctx context.Context, r *routing, released func()) error {
	for {
		changed := r.changed()
		_, left := m.inFlight.count()
		snapshot := r.snapshot()
		owned := snapshot.Owned(m.incarnation)
		if m.releaseMoving(ctx, snapshot, owned) {
			released()
		}
		m.tellGrants(ctx, owned)
		select {
		case <-changed:
		case <-m.grants.wake:
		case <-m.leaving(owned, left):
		case <-ctx.Done():
			return nil
		}
	}
}

// leaving returns the channel that tells of ended requests while a partition
// waits for them.
func (m *member) leaving(owned []wire.Partition, left <-chan struct{}) <-chan struct{} {
	for _, p := range owned {
		if p.MovingTo != "" || m.refusing.Load() {
			return left
		}
	}
	return nil
}

// releaseMoving releases what it can, and reports whether that was anything new.
func (m *member) releaseMoving(ctx context.Context, s *table.Snapshot, owned []wire.Partition) bool {
	some := false
	current := make(map[wire.PartitionID]wire.FencingToken, len(owned))
	for _, p := range owned {
		current[p.Partition] = p.FencingToken
		// A release that has begun is completed even when the move is called off:
		// the grant is of no more use. A member that takes no new work gives up
		// what has not been moved yet.
		begun := p.MovingTo != "" || m.refusing.Load() || m.inFlight.hasReleased(p.Partition, p.FencingToken)
		if begun && !m.reported(p) && m.release(ctx, s, p) {
			some = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for p, e := range m.releases {
		if current[p] != e {
			delete(m.releases, p)
		}
	}
	return some
}

func (m *member) release(ctx context.Context, s *table.Snapshot, p wire.Partition) bool {
	belongs := func(key uint64) bool {
		now, ok := s.PartitionOfHash(p.Service, key)
		return ok && now.Partition == p.Partition
	}
	if !m.inFlight.release(p.Partition, p.FencingToken, belongs) {
		return false
	}
	if m.target.ChecksGrants {
		grant := []wire.Grant{{Partition: p.Partition, FencingToken: p.FencingToken}}
		if !m.tell(ctx, "/gentiansail/release", releaseRequest{Incarnation: m.incarnation, Partitions: grant}) {
			return false // tried again after the next heartbeat
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releases[p.Partition] = p.FencingToken
	return true
}

func (m *member) reported(p wire.Partition) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.releases[p.Partition] == p.FencingToken
}

// released returns the grants to report in a heartbeat.
func (m *member) released() []wire.Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]wire.Grant, 0, len(m.releases))
	for p, e := range m.releases {
		out = append(out, wire.Grant{Partition: p, FencingToken: e})
	}
	return out
}

// tellGrants brings a checking target up to date. What fails is tried again
// after the next heartbeat.
func (m *member) tellGrants(ctx context.Context, owned []wire.Partition) {
	if !m.target.ChecksGrants {
		return
	}
	serving := make(map[wire.PartitionID]wire.FencingToken, len(owned))
	for _, p := range owned {
		if p.MovingTo == "" {
			serving[p.Partition] = p.FencingToken
		}
	}
	r, some := m.grants.pending(serving)
	if !some {
		return
	}
	r.Incarnation = m.incarnation
	if m.tell(ctx, "/gentiansail/grant", r) {
		m.grants.confirmed(r)
	}
}
