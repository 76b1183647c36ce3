package keyrange

import (
	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// Leased returns the ranges that a target owns, for the sidecar that grants them by calls.
// Ranges with a scheduled move name it and are to be released.
func Leased(assignments []message.Assignment, owner message.Incarnation) []message.LeasedRange {
	out := []message.LeasedRange{}
	for _, a := range assignments {
		if a.Owner == owner {
			out = append(out, message.LeasedRange{From: a.From, To: a.To, FencingToken: a.FencingToken, HandoverToken: a.HandoverToken, Move: a.Move})
		}
	}
	return out
}

// CompleteReleased assigns released ranges to their next owner, together with the handover
// token. A release belongs to one scheduled move. It has no effect on a move that was
// scheduled later, since the target may have got the keys again in between.
func CompleteReleased(assignments []message.Assignment, owner message.Incarnation, released []message.LeasedRange) ([]message.Assignment, bool) {
	completed := false
	for _, r := range released {
		for _, a := range assignments {
			if a.Owner != owner || a.NextOwner.ID == "" || a.Move != r.Move || r.From > a.To || r.To < a.From {
				continue
			}
			part := a
			part.From, part.To = max(a.From, r.From), min(a.To, r.To)
			part.Owner, part.NextOwner, part.Move, part.FencingToken, part.HandoverToken = a.NextOwner, message.Incarnation{}, 0, 0, r.HandoverToken
			assignments = Replace(assignments, part)
			completed = true
		}
	}
	return assignments, completed
}

// RaiseTokens requests new fencing tokens for ranges whose grant the owner refused.
func RaiseTokens(assignments []message.Assignment, owner message.Incarnation, refused []message.LeasedRange) ([]message.Assignment, bool) {
	var out []message.Assignment
	raised := false
	for _, a := range assignments {
		for _, r := range refused {
			if a.Owner == owner && a.NextOwner.ID == "" && a.FencingToken == r.FencingToken && a.From <= r.To && r.From <= a.To {
				a.FencingToken, raised = 0, true
			}
		}
		out = append(out, a)
	}
	return out, raised
}

// maxSeparateRanges is the number of ranges of a target up to which they are not joined.
// Each range costs a call for each renewal, and joining them costs one more for each.
const maxSeparateRanges = 6

// JoinSettled joins neighbouring ranges of owners with many of them, under a new fencing
// token. It leaves out ranges with a token above the given one, whose owner may not have
// got the handover token yet.
func JoinSettled(assignments []message.Assignment, settled message.FencingToken) ([]message.Assignment, bool) {
	ranges := map[message.Incarnation]int{}
	for _, a := range assignments {
		ranges[a.Owner]++
	}
	var out []message.Assignment
	joined := false
	for _, a := range assignments {
		if n := len(out); n > 0 && a.Owner.ID != "" && ranges[a.Owner] > maxSeparateRanges && out[n-1].Owner == a.Owner && out[n-1].NextOwner.ID == "" && a.NextOwner.ID == "" && out[n-1].FencingToken <= settled && a.FencingToken <= settled {
			out[n-1].To, out[n-1].FencingToken, out[n-1].HandoverToken = a.To, 0, ""
			joined = true
			continue
		}
		out = append(out, a)
	}
	return out, joined
}

// AssignAll assigns unassigned keys to the eligible targets, each up to its share.
func AssignAll(assignments []message.Assignment, l *Loads, targets []Target) ([]message.Assignment, bool) {
	assigned := false
	for _, t := range targets {
		if t.Eligible {
			var more bool
			assignments, more = AssignUnassigned(assignments, l, targets, t.Incarnation)
			assigned = assigned || more
		}
	}
	return assignments, assigned
}

// Rebalance schedules a move from the most overloaded target to the one with the most spare
// capacity. It does nothing while a move from that target is under way.
func Rebalance(assignments []message.Assignment, l *Loads, targets []Target) ([]message.Assignment, bool) {
	from, ok := MostRelievable(assignments, l, targets)
	if !ok {
		return assignments, false
	}
	for _, a := range assignments {
		if a.Owner == from && a.NextOwner.ID != "" {
			return assignments, false
		}
	}
	load, share := loadsAndShares(assignments, l.capped(targets), targets)
	var to message.Incarnation
	mostSpare := 0.0
	for _, t := range targets {
		if spare := share[t.Incarnation] - load[t.Incarnation]; t.Eligible && spare > mostSpare {
			to, mostSpare = t.Incarnation, spare
		}
	}
	if to.ID == "" {
		return assignments, false
	}
	return RebalanceTo(assignments, l, targets, from, to)
}
