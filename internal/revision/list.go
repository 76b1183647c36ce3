package revision

import (
	"reflect"
	"slices"
)

// placed is an entry with its position in the list that results.
type placed[V any] struct {
	index int
	value V
}

// differences returns the sorted names of the entries that were added, removed,
// changed or moved relative to the others. The entries that it does not name are
// in both lists, equal and in the same order. It returns false when a name
// appears twice.
func differences[N ~string, V any](old, next []V, name func(V) N) ([]N, bool) {
	before, uniqueBefore := positions(old, name)
	after, uniqueAfter := positions(next, name)
	if !uniqueBefore || !uniqueAfter {
		return nil, false
	}
	var named []N
	for _, v := range old {
		if _, ok := after[name(v)]; !ok {
			named = append(named, name(v))
		}
	}
	var equal []N
	var at []int
	for _, v := range next {
		i, ok := before[name(v)]
		if !ok || !reflect.DeepEqual(old[i], v) {
			named = append(named, name(v))
			continue
		}
		equal, at = append(equal, name(v)), append(at, i)
	}
	inOrder := longestIncreasing(at)
	for i, n := range equal {
		if !inOrder[i] {
			named = append(named, n)
		}
	}
	slices.Sort(named)
	return named, true
}

func positions[N comparable, V any](list []V, name func(V) N) (map[N]int, bool) {
	out := make(map[N]int, len(list))
	for i, v := range list {
		out[name(v)] = i
	}
	return out, len(out) == len(list)
}

// longestIncreasing marks the elements of a longest increasing subsequence of
// distinct numbers.
func longestIncreasing(list []int) []bool {
	previous := make([]int, len(list))
	// tails[k] is the position of the least number that ends an increasing
	// subsequence of length k+1.
	var tails []int
	for i, v := range list {
		k, _ := slices.BinarySearchFunc(tails, v, func(j, v int) int { return list[j] - v })
		previous[i] = -1
		if k > 0 {
			previous[i] = tails[k-1]
		}
		if k == len(tails) {
			tails = append(tails, i)
		} else {
			tails[k] = i
		}
	}
	marked := make([]bool, len(list))
	if len(tails) == 0 {
		return marked
	}
	for i := tails[len(tails)-1]; i >= 0; i = previous[i] {
		marked[i] = true
	}
	return marked
}

// place returns the named entries of the list with their positions, in the order
// of the list, and the names that it does not hold.
func place[N ~string, V any](list []V, names []N, name func(V) N) ([]placed[V], []N) {
	missing := make(map[N]bool, len(names))
	for _, n := range names {
		missing[n] = true
	}
	var present []placed[V]
	for i, v := range list {
		if missing[name(v)] {
			present = append(present, placed[V]{index: i, value: v})
			delete(missing, name(v))
		}
	}
	var removed []N
	for _, n := range names {
		if missing[n] {
			removed = append(removed, n)
		}
	}
	return present, removed
}

// rebuild takes the named entries out of the old list and puts the new ones at
// their positions. It returns false when a position does not exist.
func rebuild[N comparable, V any](old []V, entries []placed[V], removed []N, name func(V) N) ([]V, bool) {
	dropped := make(map[N]bool, len(entries)+len(removed))
	for _, p := range entries {
		dropped[name(p.value)] = true
	}
	for _, n := range removed {
		dropped[n] = true
	}
	out := make([]V, 0, len(old)+len(entries))
	for _, v := range old {
		for len(entries) > 0 && entries[0].index == len(out) {
			out, entries = append(out, entries[0].value), entries[1:]
		}
		if !dropped[name(v)] {
			out = append(out, v)
		}
	}
	for len(entries) > 0 && entries[0].index == len(out) {
		out, entries = append(out, entries[0].value), entries[1:]
	}
	return out, len(entries) == 0
}

func same[V any](a, b []V) bool {
	return len(a) == len(b) && (len(a) == 0 || reflect.DeepEqual(a, b))
}
