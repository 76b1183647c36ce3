package registry

import (
	"fmt"
	"slices"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// LastKey is the highest key of a keyed service.
const LastKey message.Key = 65535

// Assignments returns the assignments of a keyed service. Before the first change, that
// is one unassigned range of all keys.
func (m *Machine) Assignments(service message.ServiceName) Assignments {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.state.Assignments[service]
	if len(a.List) == 0 {
		return Assignments{List: unassignedRange()}
	}
	return Assignments{Version: a.Version, List: slices.Clone(a.List), Loads: a.Loads}
}

// replaceAssignments replaces assignments of a service if they still have the expected
// version. Assignments with fencing token 0 are new grants. They get the index of the log
// entry as their token, which is higher than all earlier tokens.
func (s *state) replaceAssignments(c message.AssignmentsChange) Outcome {
	old := s.Assignments[c.Service]
	if old.Version != c.ExpectedVersion {
		return Outcome{Conflict, "the assignments have changed"}
	}
	if !isOrdered(c.Assignments) {
		return Outcome{Invalid, "the assignments overlap or are out of order"}
	}
	if len(old.List) == 0 {
		old.List = unassignedRange()
	}
	updates := slices.Clone(c.Assignments)
	for i := range updates {
		if updates[i].Owner.ID != "" && updates[i].FencingToken == 0 {
			updates[i].FencingToken = message.FencingToken(s.Index)
		}
		switch {
		case updates[i].NextOwner.ID == "":
			updates[i].Move = 0
		case updates[i].Move == 0:
			updates[i].Move = s.Index
		}
		if owner := updates[i].Owner; owner.ID != "" && s.Instances[owner.ID].Incarnation != owner {
			return Outcome{Stale, "an owner is not registered"}
		}
	}
	s.setAssignments(c.Service, overlay(old.List, updates))
	if len(c.Loads) > 0 {
		a := s.Assignments[c.Service]
		a.Loads = c.Loads
		s.Assignments[c.Service] = a
	}
	return Outcome{Status: Done}
}

// unassignedRange returns the assignments of a service whose keys have never been
// assigned.
func unassignedRange() []message.Assignment { return []message.Assignment{{From: 0, To: LastKey}} }

// isOrdered reports whether assignments are ordered by key, don't overlap and contain no
// key above LastKey.
func isOrdered(list []message.Assignment) bool {
	next := message.Key(0)
	for _, a := range list {
		if a.From < next || a.To < a.From || a.To > LastKey {
			return false
		}
		next = a.To + 1
	}
	return true
}

// overlay returns the old assignments with the keys of the updates replaced by these. Both
// lists must be ordered.
func overlay(old, updates []message.Assignment) []message.Assignment {
	out := slices.Clone(updates)
	for _, a := range old {
		from := a.From
		keepUpTo := func(to message.Key) {
			if from <= to {
				part := a
				part.From, part.To = from, to
				out = append(out, part)
			}
		}
		for _, u := range updates {
			if u.To < from || u.From > a.To {
				continue
			}
			keepUpTo(u.From - 1)
			from = u.To + 1
		}
		keepUpTo(a.To)
	}
	slices.SortFunc(out, func(a, b message.Assignment) int { return int(a.From - b.From) })
	return out
}

// ChangedAssignments returns the assignments of a list that are not in the old one.
func ChangedAssignments(old, list []message.Assignment) []message.Assignment {
	known := map[message.Assignment]bool{}
	for _, a := range old {
		known[a] = true
	}
	out := []message.Assignment{}
	for _, a := range list {
		if !known[a] {
			out = append(out, a)
		}
	}
	return out
}

// setAssignments stores and publishes the assignments of a service.
func (s *state) setAssignments(service message.ServiceName, list []message.Assignment) {
	list = mergeAdjacent(list)
	s.Assignments[service] = Assignments{Version: s.Index, List: list, Loads: s.Assignments[service].Loads}
	for n, section := range splitIntoSections(rangeOwners(list)) {
		s.publish(fmt.Sprintf("%s%s/%d", message.ItemRangeOwners, service, n), section)
	}
}

// keysPerSection is the number of keys whose owners are published as one item. A service
// with many targets has hundreds of assignments, and a move changes only one or two.
const keysPerSection message.Key = 1024

// splitIntoSections splits range owners at the limits of the sections.
func splitIntoSections(owners []message.RangeOwner) [][]message.RangeOwner {
	out := make([][]message.RangeOwner, (LastKey+1)/keysPerSection)
	for _, o := range owners {
		for from := o.From; from <= o.To; {
			n := from / keysPerSection
			to := min(o.To, (n+1)*keysPerSection-1)
			out[n] = append(out[n], message.RangeOwner{From: from, To: to, Owner: o.Owner})
			from = to + 1
		}
	}
	return out
}

// rangeOwners returns the part of assignments that sidecars need. It omits scheduled moves
// and what only the owner needs, so that each move is published once and is small.
func rangeOwners(list []message.Assignment) []message.RangeOwner {
	var out []message.RangeOwner
	for _, a := range list {
		if n := len(out); n > 0 && out[n-1].Owner == a.Owner.ID {
			out[n-1].To = a.To
			continue
		}
		out = append(out, message.RangeOwner{From: a.From, To: a.To, Owner: a.Owner.ID})
	}
	return out
}

// mergeAdjacent merges adjacent assignments that differ only in their keys. Unassigned
// ranges are merged regardless of their fencing tokens, because a new grant always gets a
// higher one.
func mergeAdjacent(list []message.Assignment) []message.Assignment {
	var out []message.Assignment
	for _, a := range list {
		if a.Owner.ID == "" {
			a.FencingToken, a.NextOwner, a.Move = 0, message.Incarnation{}, 0
		}
		if n := len(out); n > 0 {
			previous := out[n-1]
			previous.From, previous.To = a.From, a.To
			if previous == a {
				out[n-1].To = a.To
				continue
			}
		}
		out = append(out, a)
	}
	return out
}
