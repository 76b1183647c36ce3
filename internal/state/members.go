package state

import (
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// endedRetention is how long an ended incarnation is remembered, so that a
	// host that was paused for a night is still refused under its old name.
	endedRetention = wire.UnixMillis(48 * 60 * 60 * 1000)
	// maxEnded bounds the memory; at 680 restarts a day it covers three months.
	maxEnded = 65536
)

// ended is what is kept of an incarnation that has ended.
type ended struct {
	At      wire.UnixMillis
	Node    wire.NodeID
	Service wire.ServiceName
}

// register makes an incarnation known, or updates what a live one announced.
func (m *Machine) register(v wire.Member) error {
	if v.Incarnation == "" || v.Node == "" || v.Service == "" {
		return merry.Wrap(ErrInvalidCommand, merry.AppendMessage("member without incarnation, node or service"))
	}
	if _, gone := m.Ended[v.Incarnation]; gone {
		return merry.Wrap(ErrIncarnationEnded, merry.AppendMessage(string(v.Incarnation)))
	}
	old, known := m.Members[v.Incarnation]
	if known && (old.Node != v.Node || old.Service != v.Service) {
		return merry.Wrap(ErrStale, merry.AppendMessagef("incarnation %s belongs to node %s", v.Incarnation, old.Node))
	}
	v.RegisteredAt = m.Now
	if known {
		v.RegisteredAt = old.RegisteredAt
		// A member that leaves does not come back under the same incarnation.
		v.Draining = v.Draining || old.Draining
	}
	if known && v == old {
		return nil
	}
	m.Members[v.Incarnation] = v
	if !known {
		m.byNode[v.Node] = append(m.byNode[v.Node], v.Incarnation)
	}
	m.change(change{Members: []wire.Incarnation{v.Incarnation}})
	m.auditMember(old, known, v)
	return nil
}

func (m *Machine) auditMember(old wire.Member, known bool, v wire.Member) {
	switch {
	case !known:
		m.audit(string(v.Node), "member registered for "+string(v.Service), "", string(v.Incarnation))
	case v.Draining && !old.Draining:
		m.audit(string(v.Node), "member "+string(v.Incarnation)+" draining", "false", "true")
	default:
		m.audit(string(v.Node), "member "+string(v.Incarnation)+" updated", describe(old), describe(v))
	}
}

// memberDown ends an incarnation. The requests that were in flight become
// suspects even when the incarnation has ended already, because the report of
// its node may come after its lease expired.
func (m *Machine) memberDown(d wire.MemberDown) error {
	v, alive := m.Members[d.Incarnation]
	if alive {
		m.end(v, d.Reason)
	}
	e, known := m.Ended[d.Incarnation]
	if !known {
		return merry.Wrap(ErrNotFound, merry.AppendMessagef("incarnation %q", d.Incarnation))
	}
	if d.Crashed {
		m.suspectAll(d, e.Service)
	}
	return nil
}

func (m *Machine) end(v wire.Member, reason string) {
	delete(m.Members, v.Incarnation)
	m.byNode[v.Node] = slices.DeleteFunc(m.byNode[v.Node], func(i wire.Incarnation) bool { return i == v.Incarnation })
	if len(m.byNode[v.Node]) == 0 {
		delete(m.byNode, v.Node)
	}
	m.Ended[v.Incarnation] = ended{At: m.Now, Node: v.Node, Service: v.Service}
	m.pruneEnded()
	c := change{Members: []wire.Incarnation{v.Incarnation}}
	released, cancelled := 0, 0
	for _, id := range slices.Sorted(maps.Keys(m.Partitions)) {
		p := m.Partitions[id]
		if p.Owner != v.Incarnation && p.MovingTo != v.Incarnation {
			continue
		}
		if p.Owner == v.Incarnation {
			p.Owner = ""
			released++
		}
		if p.MovingTo != "" {
			cancelled++
		}
		// Without its owner or its new owner the planned move is over.
		p.MovingTo = ""
		m.Partitions[id] = p
		c.Partitions = append(c.Partitions, id)
	}
	m.change(c)
	m.audit(string(v.Node), "member ended: "+reason, string(v.Incarnation), partitionCounts(released, cancelled))
}

func (m *Machine) pruneEnded() {
	for i, e := range m.Ended {
		if e.At < m.Now-endedRetention {
			delete(m.Ended, i)
		}
	}
	for len(m.Ended) > maxEnded {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(m.Ended)), func(a, b wire.Incarnation) int {
			return compareBy(m.Ended[a].At, m.Ended[b].At, a, b)
		})
		delete(m.Ended, oldest)
	}
}

func (m *Machine) rebuildByNode() {
	m.byNode = make(map[wire.NodeID][]wire.Incarnation, len(m.Members))
	for i, v := range m.Members {
		m.byNode[v.Node] = append(m.byNode[v.Node], i)
	}
}

// drain sets or clears an operator's mark on a node.
func (m *Machine) drain(d wire.DrainRequest) error {
	if d.Node == "" {
		return merry.Wrap(ErrInvalidCommand, merry.AppendMessage("empty node name"))
	}
	old := m.Draining[d.Node]
	if old == d.Drain {
		return nil
	}
	if d.Drain && len(m.Draining) >= maxDraining {
		return merry.Wrap(ErrLimitReached, merry.AppendMessagef("%d nodes are draining", len(m.Draining)))
	}
	if d.Drain {
		m.Draining[d.Node] = true
	} else {
		delete(m.Draining, d.Node)
	}
	var c change
	c.Members = slices.Sorted(slices.Values(m.byNode[d.Node]))
	m.change(c)
	m.audit(string(d.Operator), "drain "+string(d.Node), boolText(old), boolText(d.Drain))
	return nil
}

// maxDraining bounds the drain marks, which outlive their nodes; it is twice
// the planned number of nodes.
const maxDraining = 6000

// visible is a member as routing tables show it: draining by its own wish or by
// an operator's mark.
func (m *Machine) visible(v wire.Member) wire.Member {
	v.Draining = v.Draining || m.Draining[v.Node]
	return v
}

func unixMillis(d clock.Millis) wire.UnixMillis { return wire.UnixMillis(d) }
