package state

import (
	"maps"
	"slices"

	"github.com/gentiansail/gentiansail/internal/revision"
	"github.com/gentiansail/gentiansail/internal/wire"
)

const (
	// maxChanges bounds the history by entries. Nodes that are further behind
	// get the full table.
	maxChanges = 1024
	// maxAudit bounds the audit trail.
	maxAudit = 10000
)

// change says which parts of the routing table the entry at Index touched. The
// parts themselves are read from the state when a delta is made.
type change struct {
	Index wire.Version
	// Configuration is set for every new revision. Replicas of earlier versions
	// know only this field, and send the whole configuration.
	Configuration bool `json:",omitempty"`
	// Names says what the revision changed; absent in entries of earlier versions
	// and where the whole configuration should be sent.
	Names      *revision.ChangeSet `json:",omitempty"`
	Members    []wire.Incarnation  `json:",omitempty"`
	Partitions []wire.PartitionID  `json:",omitempty"`
	Suspects   []wire.Fingerprint  `json:",omitempty"`
}

func (m *Machine) change(c change) {
	c.Index = m.Index
	m.TableVersion = m.Index
	m.History = append(m.History, c)
	if over := len(m.History) - maxChanges; over > 0 {
		m.HistoryStart = m.History[over-1].Index
		m.History = slices.Clone(m.History[over:])
	}
}

func (m *Machine) audit(who, what, from, to string) {
	m.Audit = append(m.Audit, wire.AuditRecord{Index: m.Index, At: m.Now, Who: who, What: what, From: from, To: to})
	// Trimmed in steps, because moving 10,000 records for each new one is slow.
	if len(m.Audit) > maxAudit+maxAudit/10 {
		m.Audit = slices.Clone(m.Audit[len(m.Audit)-maxAudit:])
	}
}

// leaderName is who decides on assignments, for the audit trail.
func (m *Machine) leaderName() string { return "control replica " + string(m.Leader) }

// Delta returns what changed in the routing table after the known version. It
// is full when the history does not reach back that far, or when the known
// version is not one of this state.
func (m *Machine) Delta(known wire.Version) wire.Delta {
	return m.DeltaInFormat(wire.DeltaFormatChanges, known)
}

// DeltaInFormat is Delta in the highest form that the receiver understands.
func (m *Machine) DeltaInFormat(f wire.DeltaFormat, known wire.Version) wire.Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if known <= 0 || known < m.HistoryStart || known > m.Index {
		return m.full()
	}
	// The version of the last change, not of the last entry: it is as complete,
	// and equal for all nodes while operations fill the log.
	d := wire.Delta{FromVersion: known, ToVersion: max(known, m.TableVersion), Revision: m.Revision}
	c := m.since(known)
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

// since merges the changes after the known version.
func (m *Machine) since(known wire.Version) change {
	var all change
	for _, c := range m.historyAfter(known) {
		all.Configuration = all.Configuration || c.Configuration
		all.Members = append(all.Members, c.Members...)
		all.Partitions = append(all.Partitions, c.Partitions...)
		all.Suspects = append(all.Suspects, c.Suspects...)
	}
	slices.Sort(all.Members)
	slices.Sort(all.Partitions)
	slices.Sort(all.Suspects)
	all.Members = slices.Compact(all.Members)
	all.Partitions = slices.Compact(all.Partitions)
	all.Suspects = slices.Compact(all.Suspects)
	return all
}

func (m *Machine) historyAfter(known wire.Version) []change {
	first, _ := slices.BinarySearchFunc(m.History, known+1, func(c change, v wire.Version) int { return int(c.Index - v) })
	return m.History[first:]
}

// configurationChange returns what differs in the configuration after the known
// version, nil when the whole configuration should be sent.
func (m *Machine) configurationChange(known wire.Version) *wire.ConfigurationChange {
	var names revision.ChangeSet
	from := m.Revision
	for _, c := range m.historyAfter(known) {
		if !c.Configuration {
			continue
		}
		if c.Names == nil {
			return nil
		}
		names = names.Merge(*c.Names)
		// Every entry that sets Configuration raises the revision by one.
		from--
	}
	return revision.NewChange(names, from, m.Configuration)
}

func (m *Machine) full() wire.Delta {
	configuration := m.Configuration
	d := wire.Delta{Full: true, ToVersion: m.TableVersion, Revision: m.Revision, Configuration: &configuration}
	d.Members, d.RemovedMembers = m.memberChanges(slices.Sorted(maps.Keys(m.Members)))
	d.Partitions, d.RemovedPartitions = m.partitionChanges(slices.Sorted(maps.Keys(m.Partitions)))
	d.Suspects, d.RemovedSuspects = m.suspectChanges(slices.Sorted(maps.Keys(m.Suspects)))
	return d
}

func (m *Machine) memberChanges(ids []wire.Incarnation) ([]wire.Member, []wire.Incarnation) {
	present, removed := []wire.Member{}, []wire.Incarnation{}
	for _, i := range ids {
		if v, ok := m.Members[i]; ok {
			present = append(present, m.visible(v))
			continue
		}
		removed = append(removed, i)
	}
	return present, removed
}

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
