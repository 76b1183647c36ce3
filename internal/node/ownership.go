package node

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// keepOwnership tells a checking target what it owns, and releases partitions
// that are to move once their last request has ended. Both happen in one
// goroutine, so that a grant cannot overtake the release that follows it.
func (m *member) syncOwnership(ctx context.Context, table *routingTable, onRelease func()) error {
	for {
		changed := table.changed()
		_, requestEnded := m.inFlight.count()
		snapshot := table.snapshot()
		owned := snapshot.Owned(m.incarnation)
		if m.releasePartitions(ctx, snapshot, owned) {
			onRelease()
		}
		m.sendGrants(ctx, owned)
		select {
		case <-changed:
		case <-m.grants.wake:
		case <-m.releaseSignal(owned, requestEnded):
		case <-ctx.Done():
			return nil
		}
	}
}

// leaving returns the channel that tells of ended requests while a partition
// waits for them.
func (m *member) releaseSignal(owned []wire.Partition, requestEnded <-chan struct{}) <-chan struct{} {
	for _, p := range owned {
		if p.MovingTo != "" || m.rejecting.Load() {
			return requestEnded
		}
	}
	return nil
}

// releaseMoving releases what it can, and reports whether that was anything new.
func (m *member) releasePartitions(ctx context.Context, snapshot *table.Snapshot, owned []wire.Partition) bool {
	releasedAny := false
	current := make(map[wire.PartitionID]wire.FencingToken, len(owned))
	for _, p := range owned {
		current[p.Partition] = p.FencingToken
		// A release that has begun is completed even when the move is called off:
		// the grant is of no more use. A member that takes no new work gives up
		// what has not been moved yet.
		shouldRelease := p.MovingTo != "" || m.rejecting.Load() || m.inFlight.grantReleased(p.Partition, p.FencingToken)
		if shouldRelease && !m.isReleased(p) && m.releasePartition(ctx, snapshot, p) {
			releasedAny = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for p, e := range m.releases {
		if current[p] != e {
			delete(m.releases, p)
		}
	}
	return releasedAny
}

func (m *member) releasePartition(ctx context.Context, snapshot *table.Snapshot, p wire.Partition) bool {
	belongsToPartition := func(key uint64) bool {
		current, ok := snapshot.PartitionOfHash(p.Service, key)
		return ok && current.Partition == p.Partition
	}
	if !m.inFlight.releaseGrant(p.Partition, p.FencingToken, belongsToPartition) {
		return false
	}
	if m.target.ChecksGrants {
		grant := []wire.Grant{{Partition: p.Partition, FencingToken: p.FencingToken}}
		if !m.postToTarget(ctx, "/gentiansail/release", releaseRequest{Incarnation: m.incarnation, Partitions: grant}) {
			return false // tried again after the next heartbeat
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releases[p.Partition] = p.FencingToken
	return true
}

func (m *member) isReleased(p wire.Partition) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.releases[p.Partition] == p.FencingToken
}

// released returns the grants to report in a heartbeat.
func (m *member) releasedGrants() []wire.Grant {
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
func (m *member) sendGrants(ctx context.Context, owned []wire.Partition) {
	if !m.target.ChecksGrants {
		return
	}
	serving := make(map[wire.PartitionID]wire.FencingToken, len(owned))
	for _, p := range owned {
		if p.MovingTo == "" {
			serving[p.Partition] = p.FencingToken
		}
	}
	r, hasUpdate := m.grants.pending(serving)
	if !hasUpdate {
		return
	}
	r.Incarnation = m.incarnation
	if m.postToTarget(ctx, "/gentiansail/grant", r) {
		m.grants.confirm(r)
	}
}
