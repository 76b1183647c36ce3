package state

import (
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// maxOverrides bounds the number of hot keys of a group that have their own partition.
// The capacity planned for two years has 170 hot keys; the rest is spare capacity for keys
// whose load is falling and whose override has not ended yet.
const maxOverrides = 256

// PartitionID returns the ID of a numbered partition.
func PartitionID(s wire.ServiceName, n partition.Number) wire.PartitionID {
	return wire.PartitionID(string(s) + "/" + itoa(int(n)))
}

// OverrideID returns the ID of the partition of an isolated hot key.
func OverrideID(s wire.ServiceName, keyHash string) wire.PartitionID {
	return wire.PartitionID(string(s) + "/k" + keyHash)
}

// IsOverride reports whether a partition belongs to an isolated hot key.
func IsOverride(p wire.Partition) bool {
	return strings.HasPrefix(string(p.Partition), string(p.Service)+"/k")
}

// startMoves starts the planned moves that still fit the state of their partitions. It
// fails only if none of them does.
func (m *Machine) startMoves(s wire.MoveStart) error {
	var c tableChange
	for _, v := range s.Moves {
		p, ok := m.Partitions[v.Partition]
		if !ok || p.FencingToken != v.FencingToken || p.Owner == "" || p.MovingTo != "" || p.Owner == v.To {
			continue
		}
		if !m.isLiveMember(v.To, p.Service) {
			continue
		}
		p.MovingTo = v.To
		m.Partitions[v.Partition] = p
		c.Partitions = append(c.Partitions, v.Partition)
		m.recordAudit(m.leaderName(), "move started: "+string(v.Partition), string(p.Owner), string(v.To))
	}
	return m.recordChangeOrStale(c)
}

// cancelMoves cancels planned moves. The owner keeps the partition under its fencing
// token. If the owner has already stopped forwarding under that token, its pending
// release leaves the partition unassigned.
func (m *Machine) cancelMoves(r wire.MoveCancel) error {
	var c tableChange
	for _, v := range r.Moves {
		p, ok := m.Partitions[v.Partition]
		if !ok || p.FencingToken != v.FencingToken || p.MovingTo == "" || p.MovingTo != v.To {
			continue
		}
		p.MovingTo = ""
		m.Partitions[v.Partition] = p
		c.Partitions = append(c.Partitions, v.Partition)
		m.recordAudit("leader", "move cancelled: "+string(v.Partition), string(v.To), string(p.Owner))
	}
	return m.recordChangeOrStale(c)
}

// releasePartitions ends the ownership of partitions whose owner has stopped forwarding
// under the given grants. A partition in a planned move is assigned to its new owner.
func (m *Machine) releasePartitions(r wire.MoveRelease) error {
	var c tableChange
	for _, g := range r.Grants {
		p, ok := m.Partitions[g.Partition]
		if !ok || p.FencingToken != g.FencingToken || p.Owner == "" || p.Owner != r.Incarnation {
			continue
		}
		from, to := p.Owner, p.MovingTo
		p.Owner, p.MovingTo = to, ""
		if to != "" {
			p.FencingToken = wire.FencingToken(m.Index)
		}
		m.Partitions[g.Partition] = p
		c.Partitions = append(c.Partitions, g.Partition)
		m.recordAudit(string(r.Incarnation), "released: "+string(g.Partition), string(from), string(to))
	}
	return m.recordChangeOrStale(c)
}

// assignPartitions assigns unowned partitions to live members.
func (m *Machine) assignPartitions(a wire.Assign) error {
	var c tableChange
	for _, v := range a.Moves {
		p, ok := m.Partitions[v.Partition]
		if !ok || p.Owner != "" || p.FencingToken != v.FencingToken || !m.isLiveMember(v.To, p.Service) {
			continue
		}
		p.Owner, p.MovingTo, p.FencingToken = v.To, "", wire.FencingToken(m.Index)
		m.Partitions[v.Partition] = p
		c.Partitions = append(c.Partitions, v.Partition)
		m.recordAudit(m.leaderName(), "assigned: "+string(v.Partition)+": "+a.Reason, "", string(v.To))
	}
	return m.recordChangeOrStale(c)
}

// isLiveMember reports whether an incarnation is a live member of a service.
func (m *Machine) isLiveMember(i wire.Incarnation, s wire.ServiceName) bool {
	v, ok := m.Members[i]
	return ok && v.Service == s
}

// recordChangeOrStale records a change of partitions. It fails if the command changed no
// partition.
func (m *Machine) recordChangeOrStale(c tableChange) error {
	if len(c.Partitions) == 0 {
		return merry.Wrap(ErrStale, merry.AppendMessage("no partition has the expected owner, fencing token and move"))
	}
	m.recordChange(c)
	return nil
}

// applyOverride isolates a hot key in its own partition, or ends the isolation. Neither
// step may change the owner of the key, because the previous owner would not know that it
// has to stop. Therefore an override starts with the owner of the key's numbered
// partition, and ends only when both partitions have the same owner again. In between,
// planned moves may give it another owner.
func (m *Machine) applyOverride(o wire.Override) error {
	s, ok := m.Services[o.Service]
	hash, valid := partition.ParseHash(o.KeyHash)
	if !ok || !valid || s.Partitions == 0 {
		return merry.Wrap(ErrNotFound, merry.AppendMessagef("service %q, key hash %q", o.Service, o.KeyHash))
	}
	base := m.Partitions[PartitionID(o.Service, partition.OfHash(hash, s.Partitions))]
	id := OverrideID(o.Service, o.KeyHash)
	override, exists := m.Partitions[id]
	switch {
	case exists == o.Isolated:
		return nil
	case o.Isolated:
		return m.setOverride(base, id)
	}
	return m.clearOverride(base, override)
}

func (m *Machine) setOverride(base wire.Partition, id wire.PartitionID) error {
	if base.Owner == "" || base.MovingTo != "" {
		return merry.Wrap(ErrStale, merry.AppendMessagef("%s has no owner or is moving", base.Partition))
	}
	if m.countOverrides() >= maxOverrides {
		return merry.Wrap(ErrLimitReached, merry.AppendMessagef("there are already %d overrides", maxOverrides))
	}
	p := base
	p.Partition = id
	p.FencingToken = wire.FencingToken(m.Index)
	m.Partitions[id] = p
	m.recordChange(tableChange{Partitions: []wire.PartitionID{id}})
	m.recordAudit(m.leaderName(), "override set: "+string(id), string(base.Partition), string(id))
	return nil
}

func (m *Machine) clearOverride(base, override wire.Partition) error {
	if override.Owner != base.Owner || override.MovingTo != "" || base.MovingTo != "" {
		return merry.Wrap(ErrStale, merry.AppendMessagef("%s and %s have different owners or are moving", override.Partition, base.Partition))
	}
	delete(m.Partitions, override.Partition)
	m.recordChange(tableChange{Partitions: []wire.PartitionID{override.Partition}})
	m.recordAudit(m.leaderName(), "override cleared: "+string(override.Partition), string(override.Partition), string(base.Partition))
	return nil
}

func (m *Machine) countOverrides() int {
	n := 0
	for _, p := range m.Partitions {
		if IsOverride(p) {
			n++
		}
	}
	return n
}
