package registry

import (
	"fmt"
	"slices"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// LastKey is the highest key of a keyed service.
const LastKey message.Key = 65535

// Rows returns the ranges of a keyed service. A service that has none yet has one
// range that nobody holds.
func (m *Machine) Assignments(name message.ServiceName) Assignments {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.s.Rows[name]
	if len(r.List) == 0 {
		return Assignments{List: nobody()}
	}
	return Assignments{Version: r.Version, List: slices.Clone(r.List), Loads: r.Loads}
}

// replaceRows lays rows over those of a service, if nobody else changed them. Rows with
// fence 0 are new grants: the index of the entry is above all earlier fences.
func (s *state) replaceRows(c message.AssignmentsChange) Outcome {
	old := s.Rows[c.Service]
	if old.Version != c.ExpectedVersion {
		return Outcome{Conflict, "the rows have changed"}
	}
	if !ordered(c.Assignments) {
		return Outcome{Invalid, "the rows overlap or are out of order"}
	}
	if len(old.List) == 0 {
		old.List = nobody()
	}
	set := slices.Clone(c.Assignments)
	for i := range set {
		if set[i].Owner.ID != "" && set[i].FencingToken == 0 {
			set[i].FencingToken = message.FencingToken(s.Index)
		}
		if h := set[i].Owner; h.ID != "" && s.Instances[h.ID].Incarnation != h {
			return Outcome{Stale, "a holder is not registered"}
		}
	}
	s.setRows(c.Service, overlay(old.List, set))
	if len(c.Loads) > 0 {
		r := s.Rows[c.Service]
		r.Loads = c.Loads
		s.Rows[c.Service] = r
	}
	return Outcome{Status: Done}
}

// nobody is the range of a service whose keys nobody has held yet.
func nobody() []message.Assignment { return []message.Assignment{{From: 0, To: LastKey}} }

// ordered reports whether rows follow each other within the keys.
func ordered(rows []message.Assignment) bool {
	next := message.Key(0)
	for _, r := range rows {
		if r.From < next || r.To < r.From || r.To > LastKey {
			return false
		}
		next = r.To + 1
	}
	return true
}

// overlay returns the old rows with others in their place; both are ordered.
func overlay(old, set []message.Assignment) []message.Assignment {
	out := slices.Clone(set)
	for _, r := range old {
		from := r.From
		keep := func(to message.Key) {
			if from <= to {
				part := r
				part.From, part.To = from, to
				out = append(out, part)
			}
		}
		for _, x := range set {
			if x.To < from || x.From > r.To {
				continue
			}
			keep(x.From - 1)
			from = x.To + 1
		}
		keep(r.To)
	}
	slices.SortFunc(out, func(a, b message.Assignment) int { return int(a.From - b.From) })
	return out
}

// Changed returns the rows of a list that differ from those of an older one.
func ChangedAssignments(old, list []message.Assignment) []message.Assignment {
	before := map[message.Assignment]bool{}
	for _, r := range old {
		before[r] = true
	}
	out := []message.Assignment{}
	for _, r := range list {
		if !before[r] {
			out = append(out, r)
		}
	}
	return out
}

func (s *state) setRows(name message.ServiceName, list []message.Assignment) {
	list = join(list)
	s.Rows[name] = Assignments{Version: s.Index, List: list, Loads: s.Rows[name].Loads}
	for n, section := range sections(spans(list)) {
		s.publish(fmt.Sprintf("%s%s/%d", message.ItemRangeOwners, name, n), section)
	}
}

// sectionKeys is the number of keys whose holders are published as one element. A
// service with many targets has hundreds of rows, of which a move changes one or two.
const sectionKeys message.Key = 1024

// sections cuts spans at the bounds of the sections.
func sections(all []message.RangeOwner) [][]message.RangeOwner {
	out := make([][]message.RangeOwner, (LastKey+1)/sectionKeys)
	for _, p := range all {
		for from := p.From; from <= p.To; {
			n := from / sectionKeys
			to := min(p.To, (n+1)*sectionKeys-1)
			out[n] = append(out[n], message.RangeOwner{From: from, To: to, Owner: p.Owner})
			from = to + 1
		}
	}
	return out
}

// spans is what sidecars need of rows. It leaves out what changes before a move and
// what only the holder needs, so that each move is published once and is small.
func spans(list []message.Assignment) []message.RangeOwner {
	var out []message.RangeOwner
	for _, r := range list {
		if n := len(out); n > 0 && out[n-1].Owner == r.Owner.ID {
			out[n-1].To = r.To
			continue
		}
		out = append(out, message.RangeOwner{From: r.From, To: r.To, Owner: r.Owner.ID})
	}
	return out
}

// join merges neighbours that differ only in their keys. Free neighbours merge
// whatever their fences: a grant gets a fence above all.
func join(list []message.Assignment) []message.Assignment {
	var out []message.Assignment
	for _, r := range list {
		if r.Owner.ID == "" {
			r.FencingToken, r.NextOwner = 0, message.Incarnation{}
		}
		if n := len(out); n > 0 {
			p := out[n-1]
			p.From, p.To = r.From, r.To
			if p == r {
				out[n-1].To = r.To
				continue
			}
		}
		out = append(out, r)
	}
	return out
}
