package state

import (
	"maps"
	"slices"

	"github.com/gentiansail/gentiansail/internal/revision"
	"github.com/gentiansail/gentiansail/internal/wire"
)

const (
	// maxChanges is the maximum number of entries in the history. Nodes whose version
	// precedes it receive the full table.
	maxChanges = 1024
	// maxAudit is the number of records that the audit trail keeps.
	maxAudit = 10000
)

// tableChange lists the parts of the routing table that the log entry at Index changed.
// It holds only their IDs; a delta reads their values from the current state.
type tableChange struct {
	Index wire.Version
	// Configuration is set for every new revision. Replicas that run an earlier version
	// read only this field, and send the whole configuration.
	Configuration bool `json:",omitempty"`
	// Names lists what the revision changed. It is absent in entries written by earlier
	// versions, and where the whole configuration must be sent.
	Names      *revision.ChangeSet `json:",omitempty"`
	Members    []wire.Incarnation  `json:",omitempty"`
	Partitions []wire.PartitionID  `json:",omitempty"`
	Suspects   []wire.Fingerprint  `json:",omitempty"`
}

// recordChange appends a change of the routing table to the history and sets the table
// version to the current index.
func (m *Machine) recordChange(c tableChange) {
	c.Index = m.Index
	m.TableVersion = m.Index
	m.History = append(m.History, c)
	if excess := len(m.History) - maxChanges; excess > 0 {
		m.HistoryStart = m.History[excess-1].Index
		m.History = slices.Clone(m.History[excess:])
	}
}

func (m *Machine) recordAudit(who, what, from, to string) {
	m.Audit = append(m.Audit, wire.AuditRecord{Index: m.Index, At: m.Now, Who: who, What: what, From: from, To: to})
	// The trail is trimmed only after it exceeds its limit by a tenth, because copying
	// 10,000 records for each new one is slow.
	if len(m.Audit) > maxAudit+maxAudit/10 {
		m.Audit = slices.Clone(m.Audit[len(m.Audit)-maxAudit:])
	}
}

// leaderName returns the name of the leader in audit records of its decisions.
func (m *Machine) leaderName() string { return "control replica " + string(m.Leader) }

// Delta returns the changes of the routing table after the known version. It returns the
// full table when the history starts after that version, or when the version is zero or
// above the last applied index.
func (m *Machine) Delta(known wire.Version) wire.Delta {
	return m.DeltaInFormat(wire.DeltaFormatChanges, known)
}

// DeltaInFormat is Delta for a receiver whose highest supported format is f.
func (m *Machine) DeltaInFormat(f wire.DeltaFormat, known wire.Version) wire.Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if known <= 0 || known < m.HistoryStart || known > m.Index {
		return m.fullDelta()
	}
	// ToVersion is the version of the last table change, not the last applied index. No
	// table change follows it, and while operations fill the log it stays the same, so
	// that all nodes receive equal deltas.
	d := wire.Delta{FromVersion: known, ToVersion: max(known, m.TableVersion), Revision: m.Revision}
	c := m.mergedChangesAfter(known)
	if c.Configuration && f >= wire.DeltaFormatChanges {
		d.ConfigurationChange = m.configurationChange(known)
	}
	if c.Configuration && d.ConfigurationChange == nil {
		configuration := m.Configuration
		d.Configuration = &configuration
	}
	d.Members, d.RemovedMembers = m.memberChanges(c.Members)
	d.Partitions, d.RemovedPartitions = m.partitionChanges(c.Partitions)
	d.Suspects, d.RemovedSuspects = m.suspectChanges(c.Suspects)
	return d
}

// mergedChangesAfter returns the changes after the known version as one change, with its
// IDs sorted and without duplicates.
func (m *Machine) mergedChangesAfter(known wire.Version) tableChange {
	var merged tableChange
	for _, c := range m.changesAfter(known) {
		merged.Configuration = merged.Configuration || c.Configuration
		merged.Members = append(merged.Members, c.Members...)
		merged.Partitions = append(merged.Partitions, c.Partitions...)
		merged.Suspects = append(merged.Suspects, c.Suspects...)
	}
	slices.Sort(merged.Members)
	slices.Sort(merged.Partitions)
	slices.Sort(merged.Suspects)
	merged.Members = slices.Compact(merged.Members)
	merged.Partitions = slices.Compact(merged.Partitions)
	merged.Suspects = slices.Compact(merged.Suspects)
	return merged
}

// changesAfter returns the part of the history after the known version.
func (m *Machine) changesAfter(known wire.Version) []tableChange {
	first, _ := slices.BinarySearchFunc(m.History, known+1, func(c tableChange, v wire.Version) int { return int(c.Index - v) })
	return m.History[first:]
}

// configurationChange returns the difference between the configuration at the known
// version and the current one, or nil when the whole configuration must be sent.
func (m *Machine) configurationChange(known wire.Version) *wire.ConfigurationChange {
	var names revision.ChangeSet
	from := m.Revision
	for _, c := range m.changesAfter(known) {
		if !c.Configuration {
			continue
		}
		if c.Names == nil {
			return nil
		}
		names = names.Merge(*c.Names)
		// Every change with Configuration set has incremented the revision by one.
		from--
	}
	return revision.NewChange(names, from, m.Configuration)
}

func (m *Machine) fullDelta() wire.Delta {
	configuration := m.Configuration
	d := wire.Delta{Full: true, ToVersion: m.TableVersion, Revision: m.Revision, Configuration: &configuration}
	d.Members, d.RemovedMembers = m.memberChanges(slices.Sorted(maps.Keys(m.Members)))
	d.Partitions, d.RemovedPartitions = m.partitionChanges(slices.Sorted(maps.Keys(m.Partitions)))
	d.Suspects, d.RemovedSuspects = m.suspectChanges(slices.Sorted(maps.Keys(m.Suspects)))
	return d
}

// memberChanges returns the live members among ids as routing tables show them, and the
// incarnations that are no longer live.
func (m *Machine) memberChanges(ids []wire.Incarnation) ([]wire.Member, []wire.Incarnation) {
	present, removed := []wire.Member{}, []wire.Incarnation{}
	for _, i := range ids {
		if v, ok := m.Members[i]; ok {
			present = append(present, m.withOperatorDrain(v))
			continue
		}
		removed = append(removed, i)
	}
	return present, removed
}

// partitionChanges returns the partitions in ids that exist, and the IDs of those that do
// not.
func (m *Machine) partitionChanges(ids []wire.PartitionID) ([]wire.Partition, []wire.PartitionID) {
	present, removed := []wire.Partition{}, []wire.PartitionID{}
	for _, i := range ids {
		if p, ok := m.Partitions[i]; ok {
			present = append(present, p)
			continue
		}
		removed = append(removed, i)
	}
	return present, removed
}

// suspectChanges returns the suspects in ids that exist, and the fingerprints of those
// that do not.
func (m *Machine) suspectChanges(ids []wire.Fingerprint) ([]wire.Suspect, []wire.Fingerprint) {
	present, removed := []wire.Suspect{}, []wire.Fingerprint{}
	for _, f := range ids {
		if s, ok := m.Suspects[f]; ok {
			present = append(present, s.Suspect)
			continue
		}
		removed = append(removed, f)
	}
	return present, removed
}
