package state

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// TableChanged returns a channel that is closed when the routing table changes.
func (m *Machine) TableChanged() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Version returns the index of the last applied entry.
func (m *Machine) Version() wire.Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.Index
}

// LastTableChange returns the index of the last entry that changed the routing table.
func (m *Machine) LastTableChange() wire.Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.TableVersion
}

// CurrentSession returns the leader session that started last.
func (m *Machine) CurrentSession() wire.SessionID {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.Session
}

// Config returns the accepted configuration and its revision.
func (m *Machine) Config() (wire.Revision, wire.Configuration) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.Revision, m.Configuration
}

// RecordedResponse returns the recorded response to an apply request.
func (m *Machine) RecordedResponse(id wire.RequestID) (wire.ApplyResponse, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	a, ok := m.answerTo(id)
	a.Replayed = ok
	return a, ok
}

// RegisteredMember returns a live member as it registered, without an operator's mark
// on its node.
func (m *Machine) RegisteredMember(i wire.Incarnation) (wire.Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v, ok := m.Members[i]
	return v, ok
}

// Member returns a live member as routing tables show it.
func (m *Machine) Member(i wire.Incarnation) (wire.Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v, ok := m.Members[i]
	return m.visible(v), ok
}

// NodeOf returns the node of an incarnation that is live or has ended, and
// whether it is live.
func (m *Machine) NodeOf(i wire.Incarnation) (n wire.NodeID, live, known bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if v, ok := m.Members[i]; ok {
		return v.Node, true, true
	}
	e, ok := m.Ended[i]
	return e.Node, false, ok
}

// MemberList returns the live members in the order of their incarnations.
func (m *Machine) MemberList() []wire.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	present, _ := m.memberChanges(slices.Sorted(maps.Keys(m.Members)))
	return present
}

// Incarnations returns the live incarnations in no particular order.
func (m *Machine) Incarnations() []wire.Incarnation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Collect(maps.Keys(m.Members))
}

// MembersOfNode returns the live members of a node in the order of their
// incarnations.
func (m *Machine) MembersOfNode(n wire.NodeID) []wire.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	present, _ := m.memberChanges(slices.Sorted(slices.Values(m.byNode[n])))
	return present
}

// PartitionList returns the partitions in the order of their ids.
func (m *Machine) PartitionList() []wire.Partition {
	m.mu.RLock()
	defer m.mu.RUnlock()
	present, _ := m.partitionChanges(slices.Sorted(maps.Keys(m.Partitions)))
	return present
}

// Partition returns one partition.
func (m *Machine) Partition(id wire.PartitionID) (wire.Partition, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p, ok := m.Partitions[id]
	return p, ok
}

// Service returns what is kept of a service.
func (m *Machine) Service(s wire.ServiceName) (Service, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v, ok := m.Services[s]
	return v, ok
}

// IsDraining reports whether an operator marked the node.
func (m *Machine) IsDraining(n wire.NodeID) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.Draining[n]
}

// PartitionOfKey returns the partition that a key belongs to.
func (m *Machine) PartitionOfKey(s wire.ServiceName, key string) (wire.Partition, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v, ok := m.Services[s]
	if !ok || v.Partitions == 0 {
		return wire.Partition{}, false
	}
	hash := partition.Hash(key)
	if p, ok := m.Partitions[OverrideID(s, partition.FormatHash(hash))]; ok {
		return p, true
	}
	p, ok := m.Partitions[PartitionID(s, partition.OfHash(hash, v.Partitions))]
	return p, ok
}

// AuditRecordsAfter returns at most limit audit records with an index after the given
// one, oldest first.
func (m *Machine) AuditRecordsAfter(after wire.Version, limit int) []wire.AuditRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	trail := m.Audit[max(0, len(m.Audit)-maxAudit):]
	first, _ := slices.BinarySearchFunc(trail, after+1, func(a wire.AuditRecord, v wire.Version) int { return int(a.Index - v) })
	rest := trail[first:]
	return append([]wire.AuditRecord{}, rest[:min(len(rest), max(0, limit))]...)
}

func itoa(n int) string { return strconv.Itoa(n) }

func boolText(b bool) string { return strconv.FormatBool(b) }

func partitionCounts(released, cancelled int) string {
	return itoa(released) + " partitions released, " + itoa(cancelled) + " moves cancelled"
}

// describe renders what a target may announce anew.
func describe(v wire.Member) string {
	return string(v.Address) + " slots=" + itoa(v.Slots) + " connections=" + itoa(v.Connections) + " cold=" + boolText(v.Cold)
}

// compareBy orders by time, then by name.
func compareBy[T, N cmp.Ordered](at, bt T, a, b N) int {
	return cmp.Or(cmp.Compare(at, bt), cmp.Compare(a, b))
}
