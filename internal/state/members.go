package state

import (
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// endedRetention is how long an ended incarnation is kept, so that a host that was
	// paused overnight cannot register under its old incarnation.
	endedRetention = wire.UnixMillis(48 * 60 * 60 * 1000)
	// maxEnded bounds the memory of ended incarnations. At 680 restarts a day it covers
	// three months.
	maxEnded = 65536
)

// endedIncarnation is the record of an incarnation that has ended.
type endedIncarnation struct {
	At      wire.UnixMillis
	Node    wire.NodeID
	Service wire.ServiceName
}

// registerMember adds an incarnation, or updates the announced properties of a live one.
func (m *Machine) registerMember(v wire.Member) error {
	if v.Incarnation == "" || v.Node == "" || v.Service == "" {
		return merry.Wrap(ErrInvalidCommand, merry.AppendMessage("member without incarnation, node or service"))
	}
	if _, ended := m.Ended[v.Incarnation]; ended {
		return merry.Wrap(ErrIncarnationEnded, merry.AppendMessage(string(v.Incarnation)))
	}
	old, known := m.Members[v.Incarnation]
	if known && (old.Node != v.Node || old.Service != v.Service) {
		return merry.Wrap(ErrStale, merry.AppendMessagef("incarnation %s is already registered by node %s; its node and service cannot change", v.Incarnation, old.Node))
	}
	v.RegisteredAt = m.Now
	if known {
		v.RegisteredAt = old.RegisteredAt
		// Once an incarnation is draining, it stays draining.
		v.Draining = v.Draining || old.Draining
	}
	if known && v == old {
		return nil
	}
	m.Members[v.Incarnation] = v
	if !known {
		m.byNode[v.Node] = append(m.byNode[v.Node], v.Incarnation)
	}
	m.recordChange(tableChange{Members: []wire.Incarnation{v.Incarnation}})
	m.auditMember(old, known, v)
	return nil
}

func (m *Machine) auditMember(old wire.Member, known bool, v wire.Member) {
	switch {
	case !known:
		m.recordAudit(string(v.Node), "member registered for "+string(v.Service), "", string(v.Incarnation))
	case v.Draining && !old.Draining:
		m.recordAudit(string(v.Node), "member "+string(v.Incarnation)+" draining", "false", "true")
	default:
		m.recordAudit(string(v.Node), "member "+string(v.Incarnation)+" updated", describeMember(old), describeMember(v))
	}
}

// memberDown ends an incarnation. After a crash, the requests that were in flight become
// suspects. This also applies to an incarnation that has already ended, because the
// crash report of its node may arrive after its lease has expired.
func (m *Machine) memberDown(d wire.MemberDown) error {
	v, live := m.Members[d.Incarnation]
	if live {
		m.endIncarnation(v, d.Reason)
	}
	e, known := m.Ended[d.Incarnation]
	if !known {
		return merry.Wrap(ErrNotFound, merry.AppendMessagef("incarnation %q", d.Incarnation))
	}
	if d.Crashed {
		m.recordSuspects(d, e.Service)
	}
	return nil
}

// endIncarnation removes a live member, releases its partitions and cancels the planned
// moves from and to it.
func (m *Machine) endIncarnation(v wire.Member, reason string) {
	delete(m.Members, v.Incarnation)
	m.byNode[v.Node] = slices.DeleteFunc(m.byNode[v.Node], func(i wire.Incarnation) bool { return i == v.Incarnation })
	if len(m.byNode[v.Node]) == 0 {
		delete(m.byNode, v.Node)
	}
	m.Ended[v.Incarnation] = endedIncarnation{At: m.Now, Node: v.Node, Service: v.Service}
	m.pruneEnded()
	c := tableChange{Members: []wire.Incarnation{v.Incarnation}}
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
		// A planned move needs both its current owner and its new owner.
		p.MovingTo = ""
		m.Partitions[id] = p
		c.Partitions = append(c.Partitions, id)
	}
	m.recordChange(c)
	m.recordAudit(string(v.Node), "member ended: "+reason, string(v.Incarnation), describeReleased(released, cancelled))
}

// pruneEnded deletes the records of ended incarnations that have exceeded
// endedRetention, and the oldest ones above maxEnded.
func (m *Machine) pruneEnded() {
	for i, e := range m.Ended {
		if e.At < m.Now-endedRetention {
			delete(m.Ended, i)
		}
	}
	for len(m.Ended) > maxEnded {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(m.Ended)), func(a, b wire.Incarnation) int {
			return compareTimeThenID(m.Ended[a].At, m.Ended[b].At, a, b)
		})
		delete(m.Ended, oldest)
	}
}

// rebuildByNode computes byNode from Members.
func (m *Machine) rebuildByNode() {
	m.byNode = make(map[wire.NodeID][]wire.Incarnation, len(m.Members))
	for i, v := range m.Members {
		m.byNode[v.Node] = append(m.byNode[v.Node], i)
	}
}

// setDrain starts or ends an operator's drain of a node.
func (m *Machine) setDrain(d wire.DrainRequest) error {
	if d.Node == "" {
		return merry.Wrap(ErrInvalidCommand, merry.AppendMessage("empty node name"))
	}
	old := m.Draining[d.Node]
	if old == d.Drain {
		return nil
	}
	if d.Drain && len(m.Draining) >= maxDraining {
		return merry.Wrap(ErrLimitReached, merry.AppendMessagef("operators already drain %d nodes", len(m.Draining)))
	}
	if d.Drain {
		m.Draining[d.Node] = true
	} else {
		delete(m.Draining, d.Node)
	}
	var c tableChange
	c.Members = slices.Sorted(slices.Values(m.byNode[d.Node]))
	m.recordChange(c)
	m.recordAudit(string(d.Operator), "drain "+string(d.Node), boolText(old), boolText(d.Drain))
	return nil
}

// maxDraining bounds the number of nodes that operators drain. A drain stays in place
// after its node is removed, so the limit is twice the planned number of nodes.
const maxDraining = 6000

// setEvacuation begins or ends the evacuation of a failure domain: a drain of all of its
// nodes, including those that register later.
func (m *Machine) setEvacuation(r wire.EvacuateRequest) error {
	if r.Domain == "" || len(r.Domain) > maxDomainBytes {
		return merry.Wrap(ErrInvalidCommand, merry.AppendMessagef("the name of a failure domain must have 1 to %d bytes", maxDomainBytes))
	}
	old := m.Evacuated[r.Domain]
	if old == r.Active {
		return nil
	}
	if r.Active && len(m.Evacuated) >= maxEvacuated {
		return merry.Wrap(ErrLimitReached, merry.AppendMessagef("%d failure domains are evacuated already", len(m.Evacuated)))
	}
	if r.Active {
		m.Evacuated[r.Domain] = true
	} else {
		delete(m.Evacuated, r.Domain)
	}
	var c tableChange
	for _, i := range slices.Sorted(maps.Keys(m.Members)) {
		if m.Members[i].FailureDomain == r.Domain {
			c.Members = append(c.Members, i)
		}
	}
	m.recordChange(c)
	m.recordAudit(string(r.Operator), "evacuate "+string(r.Domain), boolText(old), boolText(r.Active))
	return nil
}

const (
	// maxEvacuated bounds the failure domains that are evacuated at once.
	maxEvacuated = 256
	// maxDomainBytes bounds the name of a failure domain in an evacuation.
	maxDomainBytes = 128
)

// withOperatorDrain returns a member as routing tables show it: draining if it announced
// that itself, or if an operator drains its node or evacuates its failure domain.
func (m *Machine) withOperatorDrain(v wire.Member) wire.Member {
	v.Draining = v.Draining || m.Draining[v.Node] || m.Evacuated[v.FailureDomain]
	return v
}

func unixMillis(d clock.Millis) wire.UnixMillis { return wire.UnixMillis(d) }
