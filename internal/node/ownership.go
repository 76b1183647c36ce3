package node

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// syncOwnership sends grants to a target that checks them, and releases partitions
// that are being moved once their last request has ended. One goroutine does both, so
// that the release of a grant is never sent before the grant.
func (m *member) syncOwnership(ctx context.Context, table *routingTable, onRelease func()) error {
	for {
		changed := table.changed()
		_, requestEnded := m.inFlight.count()
		snapshot := table.snapshot()
		owned := snapshot.PartitionsOwnedBy(m.incarnation)
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

// releaseSignal returns requestEnded if the release of a partition waits for requests
// to end, else nil.
func (m *member) releaseSignal(owned []wire.Partition, requestEnded <-chan struct{}) <-chan struct{} {
	for _, p := range owned {
		if p.MovingTo != "" || m.rejecting.Load() {
			return requestEnded
		}
	}
	return nil
}

// releasePartitions releases the partitions that are being moved and have no requests
// left. It reports whether it has released any.
func (m *member) releasePartitions(ctx context.Context, snapshot *table.Snapshot, owned []wire.Partition) bool {
	releasedAny := false
	current := make(map[wire.PartitionID]wire.FencingToken, len(owned))
	for _, p := range owned {
		current[p.Partition] = p.FencingToken
		// A release that was started is completed even if the move is cancelled,
		// because requests under its grant are rejected already. A member that
		// rejects new work also releases partitions for which no move was started.
		shouldRelease := p.MovingTo != "" || m.rejecting.Load() || m.inFlight.grantReleased(p.Partition, p.FencingToken)
		if shouldRelease && !m.isReleased(p) && m.releasePartition(ctx, snapshot, p) {
			releasedAny = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for partitionID, token := range m.releases {
		if current[partitionID] != token {
			delete(m.releases, partitionID)
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
		if !m.postToTarget(ctx, releasePath, releaseRequest{Incarnation: m.incarnation, Partitions: grant}) {
			return false // retried after the next heartbeat
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

// releasedGrants returns the released grants, to be reported in a heartbeat.
func (m *member) releasedGrants() []wire.Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]wire.Grant, 0, len(m.releases))
	for partitionID, token := range m.releases {
		out = append(out, wire.Grant{Partition: partitionID, FencingToken: token})
	}
	return out
}

// sendGrants sends new grants and the lease deadline to a target that checks grants.
// A failed call is retried after the next heartbeat.
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
	update, hasUpdate := m.grants.pending(serving)
	if !hasUpdate {
		return
	}
	update.Incarnation = m.incarnation
	if m.postToTarget(ctx, grantPath, update) {
		m.grants.confirm(update)
	}
}
