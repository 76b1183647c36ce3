// Package keyrange decides which target holds which range of a service's keys.
//
// Keys are numbers from 0 to 65535. The busy ones lie close together and change,
// so an equal division of the keys is no equal division of the work. The package
// works on measured requests for each bucket of a few keys. It is pure: it gets rows,
// loads and servers and returns rows.
//
// Two decisions are made here. Free keys go to a target that checks in, up to its
// share (Take). A planned move takes a few buckets from the target that has the
// most work for its capacity to one that has room (RebalanceTo), only when the
// difference is large, because each move costs the callers of these keys a pause.
//
// # Usage
//
//	rows, ok := keyrange.Take(rows, loads, servers, server)
//	from, ok := keyrange.Overloaded(rows, loads, servers)
//	rows, ok := keyrange.RebalanceTo(rows, loads, servers, from, server)
package keyrange

import (
	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

const (
	// Keys is the number of keys of a service.
	Keys = 65536
	// BucketKeys is the number of keys whose requests are counted together and move
	// together. It is small, as a hundred neighbours may have a third of all requests,
	// far more than one server can do.
	KeysPerBucket = 4
	// Buckets is the number of buckets.
	Buckets = Keys / KeysPerBucket
)

// priorPerBucket is the load that a bucket without requests counts for, in
// requests a second, 20 for all keys. It divides keys evenly while nothing is known, and
// it is far below the load of a bucket in use.
const priorPerBucket = 20.0 / Buckets

// Loads are requests a second by bucket.
type Loads [Buckets]float64

// of returns the load of a range. Keys of a bucket count alike.
func (l *Loads) of(from, to message.Key) float64 {
	sum := 0.0
	for b := int(from) / KeysPerBucket; b <= int(to)/KeysPerBucket; b++ {
		first, last := max(int(from), b*KeysPerBucket), min(int(to), (b+1)*KeysPerBucket-1)
		sum += (l[b] + priorPerBucket) * float64(last-first+1) / KeysPerBucket
	}
	return sum
}

// capRounds is how often the bound of a bucket is worked out anew: it follows from the
// sum, which falls with the bound.
const capRounds = 3

// capped returns loads in which no bucket counts for more than the share of a mean
// server. What one key has beyond that can be given to nobody: counted in full, its
// holder would look overloaded whatever else it gives away, and hide all the others.
func (l *Loads) capped(servers []Target) *Loads {
	eligible := 0
	for _, s := range servers {
		if s.Eligible {
			eligible++
		}
	}
	if eligible == 0 {
		return l
	}
	for range capRounds {
		sum, most := 0.0, 0.0
		for _, v := range l {
			sum, most = sum+v, max(most, v)
		}
		limit := (sum + Buckets*priorPerBucket) / float64(eligible)
		if most <= limit {
			break
		}
		lower := *l
		for i, v := range lower {
			lower[i] = min(v, limit)
		}
		l = &lower
	}
	return l
}

// Counter counts requests by bucket of keys.
type LoadCounter map[int]int

// Add counts a request for a key.
func (c LoadCounter) Add(k message.Key) { c[int(k)/KeysPerBucket]++ }

// Take returns the counts and begins anew.
func (c LoadCounter) Flush() []message.Load {
	out := make([]message.Load, 0, len(c))
	for b, n := range c {
		out = append(out, message.Load{Bucket: b, Requests: n})
	}
	clear(c)
	return out
}

// Server is a target that can hold keys.
type Target struct {
	Lifetime message.Incarnation
	// Capacity is the requests a second that it can serve, or any measure that
	// compares servers.
	Capacity float64
	// Eligible is false for a target that is to hold no keys, as it is leaving.
	Eligible bool
}

// shares returns the load that each server has, moves counted as done, and the one
// it should have.
func shares(rows []message.Assignment, l *Loads, servers []Target) (has, due map[message.Incarnation]float64) {
	has, due = map[message.Incarnation]float64{}, map[message.Incarnation]float64{}
	total, capacity := l.of(0, Keys-1), 0.0
	for _, s := range servers {
		if s.Eligible {
			capacity += s.Capacity
		}
	}
	for _, s := range servers {
		if s.Eligible && capacity > 0 {
			due[s.Lifetime] = total * s.Capacity / capacity
		}
	}
	for _, r := range rows {
		has[owner(r)] += l.of(r.From, r.To)
	}
	return has, due
}

// owner is who has a row after its move.
func owner(r message.Assignment) message.Incarnation {
	if r.NextOwner.ID != "" {
		return r.NextOwner
	}
	return r.Owner
}

// takeSlack is by how much of its share a server may exceed it with the last free
// range, so that ranges are not cut into splinters.
const takeSlack = 0.02

// Take gives free keys to a server until it has its share. It returns false when
// there is nothing to give.
func AssignUnassigned(rows []message.Assignment, l *Loads, servers []Target, to message.Incarnation) ([]message.Assignment, bool) {
	l = l.capped(servers)
	has, due := shares(rows, l, servers)
	want := due[to]*(1+takeSlack) - has[to]
	var out []message.Assignment
	taken := false
	room := maxRowsTaken - rowsOf(rows, to)
	for _, r := range rows {
		if r.Owner.ID != "" || want <= 0 || room <= 0 {
			out = append(out, r)
			continue
		}
		last, load := prefix(r, l, want)
		given := r
		given.To, given.Owner, given.FencingToken = last, to, 0
		out = append(out, given)
		want -= load
		room--
		taken = true
		if last < r.To {
			rest := r
			rest.From = last + 1
			out = append(out, rest)
		}
	}
	return out, taken
}

// prefix returns the last key of the longest prefix of a range, in whole buckets,
// that holds about the load.
func prefix(r message.Assignment, l *Loads, want float64) (message.Key, float64) {
	sum := 0.0
	for at := r.From; ; {
		end := min(r.To, (at/KeysPerBucket+1)*KeysPerBucket-1)
		sum += l.of(at, end)
		if end == r.To || sum >= want {
			return end, sum
		}
		at = end + 1
	}
}

// Thresholds of a planned move.
const (
	// moveAbove is the load for its capacity, against its share, above which a server
	// gives keys away.
	moveAbove = 1.15
	// moveLeast is the least part of a server's share that is worth a move.
	moveLeast = 0.04
)

// Overloaded returns the server with the most load for its capacity, if that is far
// above its share. Keys that are on their way count for their next holder.
func MostOverloaded(rows []message.Assignment, l *Loads, servers []Target) (message.Incarnation, bool) {
	l = l.capped(servers)
	has, due := shares(rows, l, servers)
	var from message.Incarnation
	most := moveAbove
	for _, s := range servers {
		if due[s.Lifetime] <= 0 {
			continue
		}
		if ratio := has[s.Lifetime] / due[s.Lifetime]; ratio > most {
			from, most = s.Lifetime, ratio
		}
	}
	return from, from.ID != ""
}

// maxPieces bounds the ranges that one decision marks.
const maxPieces = 4

// Bounds of the rows of one server. The answer to a check-in may have 4 KiB, and a row
// takes 24 bytes in it, 41 with a token. Planned moves stop well before, so that there is
// room for the keys of servers that are lost. Each move cuts rows, and rows of different
// fences are never joined, so that busy ranges that jump about reach the bound in the end.
const (
	maxRowsPlanned = 80
	maxRowsTaken   = 110
)

// rowsOf returns the number of rows that a server has, moves counted as done.
func rowsOf(rows []message.Assignment, l message.Incarnation) int {
	n := 0
	for _, r := range rows {
		if owner(r) == l {
			n++
		}
	}
	return n
}

// RebalanceTo marks ranges of an overloaded server for a planned move to another that
// has room: one where that is enough, a few where its keys are in many pieces.
func RebalanceTo(rows []message.Assignment, l *Loads, servers []Target, from, to message.Incarnation) ([]message.Assignment, bool) {
	l = l.capped(servers)
	marked := false
	for range maxPieces {
		has, due := shares(rows, l, servers)
		want := min(has[from]-due[from], due[to]-has[to])
		if want < moveLeast*due[from] || from == to || rowsOf(rows, to) >= maxRowsPlanned || rowsOf(rows, from) >= maxRowsTaken-1 {
			break
		}
		next, ok := mark(rows, l, from, to, want, mostUseful(has, due, from, to))
		if !ok {
			break
		}
		rows, marked = next, true
	}
	return rows, marked
}

// usefulPart is the part of the busier server's load for its capacity that the other may
// have after a move.
const usefulPart = 0.85

// mostUseful returns the largest load whose move still leaves the next holder clearly
// less busy than the holder was.
func mostUseful(has, due map[message.Incarnation]float64, from, to message.Incarnation) float64 {
	return usefulPart*has[from]/due[from]*due[to] - has[to]
}

// Vacate marks all keys of a server that is leaving for moves to the others, each
// up to its share.
func Vacate(rows []message.Assignment, l *Loads, servers []Target, from message.Incarnation) ([]message.Assignment, bool) {
	marked := false
	for _, s := range servers {
		if s.Eligible && s.Lifetime != from {
			var more bool
			rows, more = VacateTo(rows, l, servers, from, s.Lifetime)
			marked = marked || more
		}
	}
	return rows, marked
}

// VacateTo marks keys of a server that is leaving for moves to another, up to the
// other's share.
func VacateTo(rows []message.Assignment, l *Loads, servers []Target, from, to message.Incarnation) ([]message.Assignment, bool) {
	l = l.capped(servers)
	has, due := shares(rows, l, servers)
	want := due[to]*(1+takeSlack) - has[to]
	var out []message.Assignment
	marked := false
	for _, r := range rows {
		if r.Owner != from || r.NextOwner.ID != "" || want <= 0 {
			out = append(out, r)
			continue
		}
		last, load := prefix(r, l, want)
		given, rest := r, r
		given.To, given.NextOwner = last, to
		out = append(out, given)
		if want -= load; last < r.To {
			rest.From = last + 1
			out = append(out, rest)
		}
		marked = true
	}
	return out, marked
}

// Bounds of a marked range, as parts of the wanted load: one that is too small
// costs more moves, one that is too large overloads the next holder.
const (
	markLeast = 0.75
	markMost  = 1.1
	// pieceLeast bounds from below the pieces of a server whose keys are scattered.
	pieceLeast = 0.05
)

// mark chooses the fewest buckets of a server in one run that hold about the wanted
// load, so that few keys change hands. Where no run does, it takes the smallest of the
// buckets that hold more, up to a limit, or else the run that comes nearest from below.
func mark(rows []message.Assignment, l *Loads, from, to message.Incarnation, want, limit float64) ([]message.Assignment, bool) {
	var best, most, over message.Assignment
	bestKeys, mostLoad, overLoad := Keys+1, 0.0, limit
	for _, r := range rows {
		if r.Owner != from || r.NextOwner.ID != "" {
			continue
		}
		first, sum := r.From, 0.0
		for at := r.From; at <= r.To; {
			end := min(r.To, (at/KeysPerBucket+1)*KeysPerBucket-1)
			one := l.of(at, end)
			sum += one
			if one > want*markMost && one < overLoad {
				over, overLoad = r, one
				over.From, over.To = at, end
			}
			for sum > want*markMost && first <= end {
				firstEnd := min(end, (first/KeysPerBucket+1)*KeysPerBucket-1)
				sum -= l.of(first, firstEnd)
				first = firstEnd + 1
			}
			part := r
			part.From, part.To = first, end
			n := int(end-first) + 1
			if sum >= want*markLeast && n > 0 && n < bestKeys {
				best, bestKeys = part, n
			}
			if sum > mostLoad && n > 0 {
				most, mostLoad = part, sum
			}
			at = end + 1
		}
	}
	switch {
	case bestKeys <= Keys:
	case mostLoad < want/2 && overLoad < limit:
		best = over
	case mostLoad < want*pieceLeast:
		return rows, false
	default:
		best = most
	}
	best.NextOwner = to
	return Replace(rows, best), true
}

// Replace puts a row in the place of a part of the row that it lies in.
func Replace(rows []message.Assignment, part message.Assignment) []message.Assignment {
	var out []message.Assignment
	for _, r := range rows {
		if part.From < r.From || part.To > r.To {
			out = append(out, r)
			continue
		}
		if r.From < part.From {
			before := r
			before.To = part.From - 1
			out = append(out, before)
		}
		out = append(out, part)
		if part.To < r.To {
			after := r
			after.From = part.To + 1
			out = append(out, after)
		}
	}
	return out
}

// Granted returns what a holder is to hold. Rows that it holds already need no token any
// more: an answer to a check-in must stay short. Neighbours are not joined, as targets
// drop the rows of before and take no joined one in their place.
func Grants(rows []message.Assignment, holder message.Incarnation, holds []message.RangeGrant) []message.RangeGrant {
	out := []message.RangeGrant{}
	for _, r := range rows {
		if r.Owner != holder || r.NextOwner.ID != "" {
			continue
		}
		h := message.RangeGrant{From: r.From, To: r.To, FencingToken: r.FencingToken, HandoverToken: r.HandoverToken}
		if covered(holds, r) {
			h.HandoverToken = ""
		}
		out = append(out, h)
	}
	return out
}

// covered reports whether one of the rows that a holder reports holds a whole row under
// its fence or a higher one.
func covered(holds []message.RangeGrant, r message.Assignment) bool {
	for _, h := range holds {
		if h.From <= r.From && h.To >= r.To && h.FencingToken >= r.FencingToken {
			return true
		}
	}
	return false
}

// Released turns rows that a holder has released into grants for their next
// holder, with the token it left. A holder has released keys that it is to release
// and neither holds nor works on any more. Rows without a next holder become free.
func CompleteMoves(rows []message.Assignment, holder message.Incarnation, holds, released []message.RangeGrant) ([]message.Assignment, bool) {
	var out []message.Assignment
	done := false
	for _, r := range rows {
		if r.Owner != holder || r.NextOwner.ID == "" || overlaps(holds, r.From, r.To) {
			out = append(out, r)
			continue
		}
		done = true
		out = append(out, handOver(r, released)...)
	}
	return out, done
}

// handOver cuts a row at the bounds of what was released, since each part has a
// token of its own.
func handOver(r message.Assignment, released []message.RangeGrant) []message.Assignment {
	r.Owner, r.NextOwner, r.FencingToken, r.HandoverToken = r.NextOwner, message.Incarnation{}, 0, ""
	out := []message.Assignment{r}
	for _, h := range released {
		part := r
		part.From, part.To, part.HandoverToken = max(r.From, h.From), min(r.To, h.To), h.HandoverToken
		if part.From <= part.To {
			out = Replace(out, part)
		}
	}
	return out
}

func overlaps(holds []message.RangeGrant, from, to message.Key) bool {
	for _, h := range holds {
		if h.From <= to && h.To >= from {
			return true
		}
	}
	return false
}
