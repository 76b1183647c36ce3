package state

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// TableChanged returns a channel that is closed when the routing table next changes.
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

// CurrentSession returns the leader session that started most recently.
func (m *Machine) CurrentSession() wire.SessionID {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.Session
}

// Config returns the current configuration and its revision.
func (m *Machine) Config() (wire.Revision, wire.Configuration) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.Revision, m.Configuration
}

// RecordedResponse returns the recorded response to an apply request, marked as replayed.
func (m *Machine) RecordedResponse(id wire.RequestID) (wire.ApplyResponse, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	response, ok := m.findResponse(id)
	response.Replayed = ok
	return response, ok
}

// RegisteredMember returns a live member as it registered, regardless of an operator's
// drain of its node.
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
	return m.withOperatorDrain(v), ok
}

// NodeOf returns the node of an incarnation, whether the incarnation is live, and
// whether it is known, either as live or as ended.
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

// PartitionList returns the partitions in the order of their IDs.
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

// Service returns the state of a service.
func (m *Machine) Service(s wire.ServiceName) (Service, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v, ok := m.Services[s]
	return v, ok
}

// IsDraining reports whether an operator drains the node.
func (m *Machine) IsDraining(n wire.NodeID) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.Draining[n]
}

// IsEvacuated reports whether a failure domain is evacuated.
func (m *Machine) IsEvacuated(d wire.FailureDomain) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.Evacuated[d]
}

// EvacuatedDomains returns the evacuated failure domains, sorted by name.
func (m *Machine) EvacuatedDomains() []wire.FailureDomain {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Sorted(maps.Keys(m.Evacuated))
}

// PartitionOfKey returns the partition that a key belongs to: its own if the key is
// isolated, otherwise the numbered one.
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

// AuditRecordsAfter returns up to limit audit records with an index above the given one,
// oldest first.
func (m *Machine) AuditRecordsAfter(after wire.Version, limit int) []wire.AuditRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	trail := m.Audit[max(0, len(m.Audit)-maxAudit):]
	first, _ := slices.BinarySearchFunc(trail, after+1, func(a wire.AuditRecord, v wire.Version) int { return int(a.Index - v) })
	later := trail[first:]
	return append([]wire.AuditRecord{}, later[:min(len(later), max(0, limit))]...)
}

func itoa(n int) string { return strconv.Itoa(n) }

func boolText(b bool) string { return strconv.FormatBool(b) }

// describeReleased renders the effect of a member's end for the audit trail.
func describeReleased(released, cancelled int) string {
	return itoa(released) + " partitions released, " + itoa(cancelled) + " moves cancelled"
}

// describeMember renders the properties of a member that may change while it is live, for
// the audit trail.
func describeMember(v wire.Member) string {
	return string(v.Address) + " slots=" + itoa(v.Slots) + " connections=" + itoa(v.Connections) + " cold=" + boolText(v.Cold)
}

// compareTimeThenID orders by time, then by ID.
func compareTimeThenID[T, N cmp.Ordered](at, bt T, a, b N) int {
	return cmp.Or(cmp.Compare(at, bt), cmp.Compare(a, b))
}
