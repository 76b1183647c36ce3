// Package keyrange computes which target owns which range of a service's keys.
//
// Keys are numbers from 0 to 65535. Busy keys lie close together and change over time,
// so ranges of equal size are not ranges of equal load. The package therefore works with
// the measured work of the requests for buckets of a few keys: a lookup takes a target a tenth
// of the time of an export, so counts of requests would not show which target is busy. Its functions have no side effects:
// they take assignments, loads and targets and return new assignments.
//
// There are two decisions. AssignUnassigned gives unassigned keys to a target that sends
// a heartbeat, up to its share. RebalanceTo schedules a move of a few buckets from the
// target with the highest load for its capacity to one with spare capacity. It does so
// only if the difference is large, because callers of the moved keys wait during a move.
//
// # Usage
//
//	assignments, ok := keyrange.AssignUnassigned(assignments, loads, targets, to)
//	from, ok := keyrange.MostRelievable(assignments, loads, targets)
//	assignments, ok := keyrange.RebalanceTo(assignments, loads, targets, from, to)
package keyrange

import (
	"math"
	"slices"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// Keys is the number of keys of a service.
	Keys = 65536
	// KeysPerBucket is the number of keys whose requests are counted together and that
	// move together. It is small because a hundred neighbouring keys may get a third of
	// all requests, far more than one target can serve.
	KeysPerBucket = 4
	// Buckets is the number of buckets.
	Buckets = Keys / KeysPerBucket
)

// baseLoadPerBucket is added to the load of each bucket, in units of work per second. The
// sum over all buckets is the work of one slot. It makes the keys be divided evenly while no
// load is known or a few requests a second are, and it is far below the load of a bucket in use.
const baseLoadPerBucket = float64(WorkPerSlot) / Buckets

// Loads are units of work per second by bucket.
type Loads [Buckets]float64

// inRange returns the load of a range. The load of a bucket is split evenly among its
// keys.
func (l *Loads) inRange(from, to message.Key) float64 {
	first, last := int(from)/KeysPerBucket, int(to)/KeysPerBucket
	if first == last {
		return (l[first] + baseLoadPerBucket) * float64(to-from+1) / KeysPerBucket
	}
	sum := (l[first]+baseLoadPerBucket)*float64(KeysPerBucket-int(from)%KeysPerBucket) +
		(l[last]+baseLoadPerBucket)*float64(int(to)%KeysPerBucket+1)
	return sum/KeysPerBucket + sumBelow(l[first+1:last], math.Inf(1)) + float64(last-first-1)*baseLoadPerBucket
}

// sumBelow returns the sum of the loads, of which none counts for more than the limit. It is
// computed in four parts that do not wait for each other's additions, since the leader computes
// such sums over all buckets several times for each heartbeat.
func sumBelow(loads []float64, limit float64) float64 {
	var parts [4]float64
	for ; len(loads) >= len(parts); loads = loads[len(parts):] {
		parts[0] += min(loads[0], limit)
		parts[1] += min(loads[1], limit)
		parts[2] += min(loads[2], limit)
		parts[3] += min(loads[3], limit)
	}
	for _, v := range loads {
		parts[0] += min(v, limit)
	}
	return parts[0] + parts[1] + parts[2] + parts[3]
}

// maxCapIterations bounds how often the cap of a bucket is recomputed: it depends on the
// sum of the loads, which decreases with the cap.
const maxCapIterations = 3

// capped returns loads in which no bucket exceeds the mean share of a target. The load of
// a single key above that share cannot be moved to any target. If it were counted in
// full, the owner of the key would look overloaded no matter what else it gave up, and
// would hide all other overloaded targets.
func (l *Loads) capped(targets []Target) *Loads {
	eligible := 0
	for _, t := range targets {
		if t.Eligible {
			eligible++
		}
	}
	if eligible == 0 {
		return l
	}
	largest := slices.Max(l[:])
	limit := math.Inf(1)
	for range maxCapIterations {
		next := (sumBelow(l[:], limit) + Buckets*baseLoadPerBucket) / float64(eligible)
		if min(largest, limit) <= next {
			break
		}
		limit = next
	}
	if math.IsInf(limit, 1) {
		return l
	}
	limited := *l
	for i, v := range limited {
		limited[i] = min(v, limit)
	}
	return &limited
}

// LoadCounter sums up the work of requests by bucket of keys.
type LoadCounter map[int]int

// workUnitMillis is the unit of work: the time of a slot that a request takes.
const workUnitMillis = 10

// WorkPerSlot is the work that one slot of a target does in a second.
const WorkPerSlot = 1000 / workUnitMillis

// Add counts a request for a key that takes a target the given time.
func (c LoadCounter) Add(k message.Key, duration clock.Millis) {
	c[int(k)/KeysPerBucket] += max(1, int((duration+workUnitMillis/2)/workUnitMillis))
}

// Flush returns the counts and resets them.
func (c LoadCounter) Flush() []message.Load {
	out := make([]message.Load, 0, len(c))
	for b, work := range c {
		out = append(out, message.Load{Bucket: b, Work: work})
	}
	clear(c)
	return out
}

// Target is a target that can own keys.
type Target struct {
	Incarnation message.Incarnation
	// Capacity is the work that it can do in a second, in the unit of Loads.
	Capacity float64
	// Eligible is false for a target that must not own keys, because it is leaving.
	Eligible bool
}

// loadsAndShares returns the load of each target, with scheduled moves counted as done,
// and the share of the total load that matches its capacity.
func loadsAndShares(assignments []message.Assignment, l *Loads, targets []Target) (load, share map[message.Incarnation]float64) {
	load, share = map[message.Incarnation]float64{}, map[message.Incarnation]float64{}
	total, capacity := l.inRange(0, Keys-1), 0.0
	for _, t := range targets {
		if t.Eligible {
			capacity += t.Capacity
		}
	}
	for _, t := range targets {
		if t.Eligible && capacity > 0 {
			share[t.Incarnation] = total * t.Capacity / capacity
		}
	}
	for _, a := range assignments {
		load[ownerAfterMove(a)] += l.inRange(a.From, a.To)
	}
	return load, share
}

// ownerAfterMove returns the owner of an assignment once its move, if any, is done.
func ownerAfterMove(a message.Assignment) message.Incarnation {
	if a.NextOwner.ID != "" {
		return a.NextOwner
	}
	return a.Owner
}

// shareTolerance is the fraction by which the load of a target may exceed its share after
// an assignment, so that ranges are not split into small fragments.
const shareTolerance = 0.02

// AssignUnassigned assigns unassigned keys to a target until it has its share. It returns
// false if it assigned none.
func AssignUnassigned(assignments []message.Assignment, l *Loads, targets []Target, to message.Incarnation) ([]message.Assignment, bool) {
	l = l.capped(targets)
	load, share := loadsAndShares(assignments, l, targets)
	missing := share[to]*(1+shareTolerance) - load[to]
	var out []message.Assignment
	assigned := false
	remaining := maxAssignments - countAssignments(assignments, to)
	for _, a := range assignments {
		if a.Owner.ID != "" || missing <= 0 || remaining <= 0 {
			out = append(out, a)
			continue
		}
		last, prefixLoad := prefixWithLoad(a, l, missing)
		prefix := a
		prefix.To, prefix.Owner, prefix.FencingToken = last, to, 0
		out = append(out, prefix)
		missing -= prefixLoad
		remaining--
		assigned = true
		if last < a.To {
			rest := a
			rest.From = last + 1
			out = append(out, rest)
		}
	}
	return out, assigned
}

// prefixWithLoad returns the last key and the load of the shortest prefix of a range, in
// whole buckets, that has at least the wanted load, or those of the whole range if it has
// less.
func prefixWithLoad(a message.Assignment, l *Loads, wanted float64) (message.Key, float64) {
	sum := 0.0
	for from := a.From; ; {
		end := min(a.To, (from/KeysPerBucket+1)*KeysPerBucket-1)
		sum += l.inRange(from, end)
		if end == a.To || sum >= wanted {
			return end, sum
		}
		from = end + 1
	}
}

// Thresholds of a planned move.
const (
	// overloadRatio is the ratio of load to share above which a target gives up keys.
	overloadRatio = 1.15
	// minMoveFraction is the smallest fraction of a target's share that is worth a move.
	minMoveFraction = 0.04
)

// MostOverloaded returns the target with the highest ratio of load to share, if that ratio
// is above overloadRatio. Keys with a scheduled move count for their next owner.
func MostOverloaded(assignments []message.Assignment, l *Loads, targets []Target) (message.Incarnation, bool) {
	return mostOverloaded(assignments, l, targets, func(message.Incarnation) bool { return true })
}

// MostRelievable is like MostOverloaded among the targets that can give up keys. A target that
// keeps its last keys would hide the others.
func MostRelievable(assignments []message.Assignment, l *Loads, targets []Target) (message.Incarnation, bool) {
	return mostOverloaded(assignments, l, targets, func(i message.Incarnation) bool { return !hasOneBucket(assignments, i) })
}

func mostOverloaded(assignments []message.Assignment, l *Loads, targets []Target, considered func(message.Incarnation) bool) (message.Incarnation, bool) {
	l = l.capped(targets)
	load, share := loadsAndShares(assignments, l, targets)
	var from message.Incarnation
	highest := overloadRatio
	for _, t := range targets {
		if share[t.Incarnation] <= 0 {
			continue
		}
		if ratio := load[t.Incarnation] / share[t.Incarnation]; ratio > highest && considered(t.Incarnation) {
			from, highest = t.Incarnation, ratio
		}
	}
	return from, from.ID != ""
}

// maxRangesPerDecision bounds the ranges that one decision schedules for a move.
const maxRangesPerDecision = 4

// Limits of the assignments of one target. The response to a heartbeat is limited to
// 4 KiB, and an assignment takes 24 bytes in it, or 41 with a handover token. The limit
// for planned moves is lower, so that a target can still take over keys of lost targets.
// Each move splits assignments, and those with different fencing tokens are never merged,
// so that busy ranges that keep changing eventually reach the limit.
const (
	maxAssignmentsForMoves = 80
	maxAssignments         = 110
)

// countAssignments returns the number of assignments of a target, with scheduled moves
// counted as done.
func countAssignments(assignments []message.Assignment, target message.Incarnation) int {
	n := 0
	for _, a := range assignments {
		if ownerAfterMove(a) == target {
			n++
		}
	}
	return n
}

// RebalanceTo schedules ranges of an overloaded target for a move to a target with spare
// capacity. It schedules one range if that is enough, or a few if the keys of the
// overloaded target are fragmented.
func RebalanceTo(assignments []message.Assignment, l *Loads, targets []Target, from, to message.Incarnation) ([]message.Assignment, bool) {
	l = l.capped(targets)
	scheduled := false
	for range maxRangesPerDecision {
		load, share := loadsAndShares(assignments, l, targets)
		wanted := min(load[from]-share[from], share[to]-load[to])
		if wanted < minMoveFraction*share[from] || from == to || countAssignments(assignments, to) >= maxAssignmentsForMoves || countAssignments(assignments, from) >= maxAssignments-1 {
			break
		}
		next, ok := scheduleMove(assignments, l, from, to, wanted, maxMovedLoad(load, share, from, to))
		if !ok {
			break
		}
		assignments, scheduled = next, true
	}
	return assignments, scheduled
}

// maxRatioAfterMove bounds the ratio of load to share of the next owner after a move, as
// a fraction of that of the previous owner before it.
const maxRatioAfterMove = 0.85

// maxMovedLoad returns the largest load that can be moved while the next owner stays
// clearly less busy than the previous owner was.
func maxMovedLoad(load, share map[message.Incarnation]float64, from, to message.Incarnation) float64 {
	return maxRatioAfterMove*load[from]/share[from]*share[to] - load[to]
}

// Vacate schedules moves of all keys of a leaving target to the others, each up to its
// share.
func Vacate(assignments []message.Assignment, l *Loads, targets []Target, from message.Incarnation) ([]message.Assignment, bool) {
	scheduled := false
	for _, t := range targets {
		if t.Eligible && t.Incarnation != from {
			var more bool
			assignments, more = VacateTo(assignments, l, targets, from, t.Incarnation)
			scheduled = scheduled || more
		}
	}
	return assignments, scheduled
}

// VacateTo schedules moves of keys of a leaving target to another target, up to the share
// of the latter. Keys that are about to move to the leaving target go to the other one instead.
func VacateTo(assignments []message.Assignment, l *Loads, targets []Target, from, to message.Incarnation) ([]message.Assignment, bool) {
	l = l.capped(targets)
	load, share := loadsAndShares(assignments, l, targets)
	missing := share[to]*(1+shareTolerance) - load[to]
	var out []message.Assignment
	scheduled := false
	for _, a := range assignments {
		leaves := a.Owner == from && a.NextOwner.ID == "" || a.NextOwner == from && a.Owner != to
		if !leaves || missing <= 0 {
			out = append(out, a)
			continue
		}
		last, prefixLoad := prefixWithLoad(a, l, missing)
		prefix, rest := a, a
		prefix.To, prefix.NextOwner = last, to
		out = append(out, prefix)
		if missing -= prefixLoad; last < a.To {
			rest.From = last + 1
			out = append(out, rest)
		}
		scheduled = true
	}
	return out, scheduled
}

// Limits of the load of a moved range, as fractions of the wanted load: a smaller range
// requires more moves, a larger one overloads the next owner.
const (
	minRangeFraction = 0.75
	maxRangeFraction = 1.1
	// minFragmentFraction is the lower limit if the keys of the owner are fragmented.
	minFragmentFraction = 0.05
)

// scheduleMove schedules a move of the shortest contiguous range of a target, in whole
// buckets, that has about the wanted load, so that few keys move. If there is none, it
// considers the range with the highest load below the wanted one. If that load is less
// than half of the wanted one, it moves the bucket with the lowest load above the wanted
// one instead, provided that this is below the limit. The target keeps at least one bucket.
func scheduleMove(assignments []message.Assignment, l *Loads, from, to message.Incarnation, wanted, limit float64) ([]message.Assignment, bool) {
	var chosen, highestBelow, lowestAbove message.Assignment
	chosenKeys, highestLoadBelow, lowestLoadAbove := Keys+1, 0.0, limit
	for _, a := range assignments {
		if a.Owner != from || a.NextOwner.ID != "" {
			continue
		}
		first, sum := a.From, 0.0
		for bucketStart := a.From; bucketStart <= a.To; {
			end := min(a.To, (bucketStart/KeysPerBucket+1)*KeysPerBucket-1)
			bucketLoad := l.inRange(bucketStart, end)
			sum += bucketLoad
			if bucketLoad > wanted*maxRangeFraction && bucketLoad < lowestLoadAbove {
				lowestAbove, lowestLoadAbove = a, bucketLoad
				lowestAbove.From, lowestAbove.To = bucketStart, end
			}
			for sum > wanted*maxRangeFraction && first <= end {
				firstEnd := min(end, (first/KeysPerBucket+1)*KeysPerBucket-1)
				sum -= l.inRange(first, firstEnd)
				first = firstEnd + 1
			}
			window := a
			window.From, window.To = first, end
			n := int(end-first) + 1
			if sum >= wanted*minRangeFraction && n > 0 && n < chosenKeys {
				chosen, chosenKeys = window, n
			}
			if sum > highestLoadBelow && n > 0 {
				highestBelow, highestLoadBelow = window, sum
			}
			bucketStart = end + 1
		}
	}
	switch {
	case chosenKeys <= Keys:
	case highestLoadBelow < wanted/2 && lowestLoadAbove < limit:
		chosen = lowestAbove
	case highestLoadBelow < wanted*minFragmentFraction:
		return assignments, false
	default:
		chosen = highestBelow
	}
	if int(chosen.To-chosen.From)+1 == settledKeys(assignments, from) {
		// The owner is granted no other keys: those that move to it may arrive later.
		lastBucket := chosen.To / KeysPerBucket * KeysPerBucket
		if lastBucket <= chosen.From {
			return assignments, false
		}
		chosen.To = lastBucket - 1
	}
	chosen.NextOwner = to
	return Replace(assignments, chosen), true
}

// hasOneBucket reports whether all keys of a target without a scheduled move are in one row and
// one bucket.
func hasOneBucket(assignments []message.Assignment, owner message.Incarnation) bool {
	rows, buckets := 0, 0
	for _, a := range assignments {
		if a.Owner == owner && a.NextOwner.ID == "" {
			rows++
			buckets += int(a.To)/KeysPerBucket - int(a.From)/KeysPerBucket + 1
		}
	}
	return rows == 1 && buckets == 1
}

// settledKeys returns the number of keys of a target without a scheduled move.
func settledKeys(assignments []message.Assignment, owner message.Incarnation) int {
	n := 0
	for _, a := range assignments {
		if a.Owner == owner && a.NextOwner.ID == "" {
			n += int(a.To-a.From) + 1
		}
	}
	return n
}

// Replace replaces a part of the assignment that contains the given one, and splits the
// former if necessary.
func Replace(assignments []message.Assignment, part message.Assignment) []message.Assignment {
	var out []message.Assignment
	for _, a := range assignments {
		if part.From < a.From || part.To > a.To {
			out = append(out, a)
			continue
		}
		if a.From < part.From {
			before := a
			before.To = part.From - 1
			out = append(out, before)
		}
		out = append(out, part)
		if part.To < a.To {
			after := a
			after.From = part.To + 1
			out = append(out, after)
		}
	}
	return out
}

// Grants returns the key ranges that are granted to a target. The handover token of a
// range is omitted once the target reports the range as its own, because a response to a
// heartbeat must stay short. Adjacent ranges are not merged: a target would drop the
// ranges that it has and not accept the merged one in their place.
func Grants(assignments []message.Assignment, owner message.Incarnation, reported []message.RangeGrant) []message.RangeGrant {
	out := []message.RangeGrant{}
	for _, a := range assignments {
		if a.Owner != owner || a.NextOwner.ID != "" {
			continue
		}
		g := message.RangeGrant{From: a.From, To: a.To, FencingToken: a.FencingToken, HandoverToken: a.HandoverToken}
		if Covered(reported, a) {
			g.HandoverToken = ""
		}
		out = append(out, g)
	}
	return out
}

// Covered reports whether one of the ranges that an owner reports contains the whole
// assignment, with the same or a higher fencing token.
func Covered(reported []message.RangeGrant, a message.Assignment) bool {
	for _, g := range reported {
		if g.From <= a.From && g.To >= a.To && g.FencingToken >= a.FencingToken {
			return true
		}
	}
	return false
}

// CompleteMoves assigns the keys that an owner has released to their next owner, together
// with the handover token for them. Keys with a scheduled move are released once the
// owner's heartbeat no longer reports them: it neither owns them nor processes requests
// for them any more. The owner must have been answered before from a version in which the
// move was scheduled. Otherwise the heartbeat may be an old one, from before the owner was
// granted the keys.
func CompleteMoves(assignments []message.Assignment, owner message.Incarnation, answered message.Version, reported, released []message.RangeGrant) ([]message.Assignment, bool) {
	var out []message.Assignment
	completed := false
	for _, a := range assignments {
		if a.Owner != owner || a.NextOwner.ID == "" || a.Move > answered || overlaps(reported, a.From, a.To) {
			out = append(out, a)
			continue
		}
		completed = true
		out = append(out, completeMove(a, released)...)
	}
	return out, completed
}

// completeMove assigns released keys to their next owner. It splits the assignment at the
// boundaries of the released ranges, since each of them has its own handover token.
func completeMove(a message.Assignment, released []message.RangeGrant) []message.Assignment {
	a.Owner, a.NextOwner, a.Move, a.FencingToken, a.HandoverToken = a.NextOwner, message.Incarnation{}, 0, 0, ""
	out := []message.Assignment{a}
	for _, g := range released {
		part := a
		part.From, part.To, part.HandoverToken = max(a.From, g.From), min(a.To, g.To), g.HandoverToken
		if part.From <= part.To {
			out = Replace(out, part)
		}
	}
	return out
}

func overlaps(grants []message.RangeGrant, from, to message.Key) bool {
	for _, g := range grants {
		if g.From <= to && g.To >= from {
			return true
		}
	}
	return false
}
