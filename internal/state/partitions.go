package state

import (
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// maxOverrides bounds the isolated hot keys of a group. The two-year size names
// 170 hottest keys; the rest is room for keys that cool down.
const maxOverrides = 256

// PartitionID returns the id of a numbered partition.
func PartitionID(s wire.ServiceName, n partition.Number) wire.PartitionID {
	return wire.PartitionID(string(s) + "/" + itoa(int(n)))
}

// OverrideID returns the id of a hot key's own partition.
func OverrideID(s wire.ServiceName, keyHash string) wire.PartitionID {
	return wire.PartitionID(string(s) + "/k" + keyHash)
}

// IsOverride reports whether a partition is a hot key's own one.
func IsOverride(p wire.Partition) bool {
	return strings.HasPrefix(string(p.Partition), string(p.Service)+"/k")
}

// moveStart begins the planned moves whose expectations hold. It fails only
// when none of them do.
func (m *Machine) moveStart(s wire.MoveStart) error {
	var c change
	for _, v := range s.Moves {
		p, ok := m.Partitions[v.Partition]
		if !ok || p.FencingToken != v.FencingToken || p.Owner == "" || p.MovingTo != "" || p.Owner == v.To {
			continue
		}
		if !m.serves(v.To, p.Service) {
			continue
		}
		p.MovingTo = v.To
		m.Partitions[v.Partition] = p
		c.Partitions = append(c.Partitions, v.Partition)
		m.audit(m.leaderName(), "move started: "+string(v.Partition), string(p.Owner), string(v.To))
	}
	return m.changeOrStale(c)
}

// moveCancel ends planned moves. The owner keeps the partition under its epoch,
// unless it has released it already: its report then frees the partition, as it
// forwards nothing more under that epoch.
func (m *Machine) moveCancel(x wire.MoveCancel) error {
	var c change
	for _, v := range x.Moves {
		p, ok := m.Partitions[v.Partition]
		if !ok || p.FencingToken != v.FencingToken || p.MovingTo == "" || p.MovingTo != v.To {
			continue
		}
		p.MovingTo = ""
		m.Partitions[v.Partition] = p
		c.Partitions = append(c.Partitions, v.Partition)
		m.audit("leader", "move cancelled: "+string(v.Partition), string(v.To), string(p.Owner))
	}
	return m.changeOrStale(c)
}

// moveRelease takes partitions from an owner that promises to forward nothing
// more under the grants. A partition in a planned move goes to its new owner.
func (m *Machine) moveRelease(r wire.MoveRelease) error {
	var c change
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
		m.audit(string(r.Incarnation), "released: "+string(g.Partition), string(from), string(to))
	}
	return m.changeOrStale(c)
}

// assign gives unowned partitions to live members.
func (m *Machine) assign(a wire.Assign) error {
	var c change
	for _, v := range a.Moves {
		p, ok := m.Partitions[v.Partition]
		if !ok || p.Owner != "" || p.FencingToken != v.FencingToken || !m.serves(v.To, p.Service) {
			continue
		}
		p.Owner, p.MovingTo, p.FencingToken = v.To, "", wire.FencingToken(m.Index)
		m.Partitions[v.Partition] = p
		c.Partitions = append(c.Partitions, v.Partition)
		m.audit(m.leaderName(), "assigned: "+string(v.Partition)+": "+a.Reason, "", string(v.To))
	}
	return m.changeOrStale(c)
}

func (m *Machine) serves(i wire.Incarnation, s wire.ServiceName) bool {
	v, ok := m.Members[i]
	return ok && v.Service == s
}

func (m *Machine) changeOrStale(c change) error {
	if len(c.Partitions) == 0 {
		return merry.Wrap(ErrStale, merry.AppendMessage("no partition is as expected"))
	}
	m.change(c)
	return nil
}

// override isolates a hot key in a partition of its own, or ends that. The key
// must not change owner by it, because neither owner would know that it has to
// stop: an override starts with the owner of the key's partition, and ends only
// when both have the same owner again. Planned moves do the rest.
func (m *Machine) override(o wire.Override) error {
	s, ok := m.Services[o.Service]
	hash, valid := partition.ParseHash(o.KeyHash)
	if !ok || !valid || s.Partitions == 0 {
		return merry.Wrap(ErrNotFound, merry.AppendMessagef("service %q, key hash %q", o.Service, o.KeyHash))
	}
	base := m.Partitions[PartitionID(o.Service, partition.OfHash(hash, s.Partitions))]
	id := OverrideID(o.Service, o.KeyHash)
	own, exists := m.Partitions[id]
	switch {
	case exists == o.Isolated:
		return nil
	case o.Isolated:
		return m.setOverride(base, id)
	}
	return m.clearOverride(base, own)
}

func (m *Machine) setOverride(base wire.Partition, id wire.PartitionID) error {
	if base.Owner == "" || base.MovingTo != "" {
		return merry.Wrap(ErrStale, merry.AppendMessagef("%s is not at rest", base.Partition))
	}
	if m.overrides() >= maxOverrides {
		return merry.Wrap(ErrLimitReached, merry.AppendMessagef("%d overrides", maxOverrides))
	}
	p := base
	p.Partition = id
	p.FencingToken = wire.FencingToken(m.Index)
	m.Partitions[id] = p
	m.change(change{Partitions: []wire.PartitionID{id}})
	m.audit(m.leaderName(), "override set: "+string(id), string(base.Partition), string(id))
	return nil
}

func (m *Machine) clearOverride(base, own wire.Partition) error {
	if own.Owner != base.Owner || own.MovingTo != "" || base.MovingTo != "" {
		return merry.Wrap(ErrStale, merry.AppendMessagef("%s and %s have different owners or are moving", own.Partition, base.Partition))
	}
	delete(m.Partitions, own.Partition)
	m.change(change{Partitions: []wire.PartitionID{own.Partition}})
	m.audit(m.leaderName(), "override cleared: "+string(own.Partition), string(own.Partition), string(base.Partition))
	return nil
}

func (m *Machine) overrides() int {
	n := 0
	for _, p := range m.Partitions {
		if IsOverride(p) {
			n++
		}
	}
	return n
}
