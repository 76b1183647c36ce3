package revision

import (
	"reflect"
	"slices"
)

// indexedEntry is an entry with its index in the new list.
type indexedEntry[V any] struct {
	index int
	entry V
}

// changedNames returns the sorted names of the entries that were added, removed,
// changed or moved relative to other entries. All other entries are equal and in the
// same order in both lists. It returns false if a list contains a name twice.
func changedNames[N ~string, V any](old, next []V, name func(V) N) ([]N, bool) {
	oldIndexes, oldUnique := indexesByName(old, name)
	nextIndexes, nextUnique := indexesByName(next, name)
	if !oldUnique || !nextUnique {
		return nil, false
	}
	var changed []N
	for _, v := range old {
		if _, ok := nextIndexes[name(v)]; !ok {
			changed = append(changed, name(v))
		}
	}
	// equalNames are the names of the equal entries in their new order, and
	// equalOldIndexes are their indexes in the old list.
	var equalNames []N
	var equalOldIndexes []int
	for _, v := range next {
		oldIndex, ok := oldIndexes[name(v)]
		if !ok || !reflect.DeepEqual(old[oldIndex], v) {
			changed = append(changed, name(v))
			continue
		}
		equalNames, equalOldIndexes = append(equalNames, name(v)), append(equalOldIndexes, oldIndex)
	}
	unmoved := longestIncreasing(equalOldIndexes)
	for i, n := range equalNames {
		if !unmoved[i] {
			changed = append(changed, n)
		}
	}
	slices.Sort(changed)
	return changed, true
}

// indexesByName maps the names of the entries to their indexes, and reports whether all
// names are different.
func indexesByName[N comparable, V any](list []V, name func(V) N) (map[N]int, bool) {
	indexes := make(map[N]int, len(list))
	for i, v := range list {
		indexes[name(v)] = i
	}
	return indexes, len(indexes) == len(list)
}

// longestIncreasing reports for each element of a list of distinct numbers whether it
// belongs to the longest increasing subsequence. If there are several, it selects one.
func longestIncreasing(list []int) []bool {
	// previous[i] is the index of the element before list[i] in the longest increasing
	// subsequence that ends with list[i], or -1.
	previous := make([]int, len(list))
	// tails[k] is the index of the smallest number that ends an increasing subsequence
	// of length k+1.
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
	selected := make([]bool, len(list))
	if len(tails) == 0 {
		return selected
	}
	for i := tails[len(tails)-1]; i >= 0; i = previous[i] {
		selected[i] = true
	}
	return selected
}

// findByName returns the entries that have one of the names, with their indexes and in
// list order, and the names that are not in the list.
func findByName[N ~string, V any](list []V, names []N, name func(V) N) ([]indexedEntry[V], []N) {
	notFound := make(map[N]bool, len(names))
	for _, n := range names {
		notFound[n] = true
	}
	var found []indexedEntry[V]
	for i, v := range list {
		if notFound[name(v)] {
			found = append(found, indexedEntry[V]{index: i, entry: v})
			delete(notFound, name(v))
		}
	}
	var missing []N
	for _, n := range names {
		if notFound[n] {
			missing = append(missing, n)
		}
	}
	return found, missing
}

// applyEntries deletes from the old list the removed names and the names of the given
// entries, and inserts the given entries at their indexes in the new list. The entries
// are sorted by index. It returns false if an index is beyond the end of the new list.
func applyEntries[N comparable, V any](old []V, entries []indexedEntry[V], removed []N, name func(V) N) ([]V, bool) {
	deleted := make(map[N]bool, len(entries)+len(removed))
	for _, e := range entries {
		deleted[name(e.entry)] = true
	}
	for _, n := range removed {
		deleted[n] = true
	}
	next := make([]V, 0, len(old)+len(entries))
	for _, v := range old {
		for len(entries) > 0 && entries[0].index == len(next) {
			next, entries = append(next, entries[0].entry), entries[1:]
		}
		if !deleted[name(v)] {
			next = append(next, v)
		}
	}
	for len(entries) > 0 && entries[0].index == len(next) {
		next, entries = append(next, entries[0].entry), entries[1:]
	}
	return next, len(entries) == 0
}

// equalLists reports whether a and b are equal. An empty list equals a nil one.
func equalLists[V any](a, b []V) bool {
	return len(a) == len(b) && (len(a) == 0 || reflect.DeepEqual(a, b))
}
