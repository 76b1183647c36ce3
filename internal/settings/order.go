package settings

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
)

// sortedKeys returns the keys of m in ascending order. Checks iterate over maps in
// this order so that the same file always yields the same messages.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// elementPath returns the path of the element at index i of a list field.
func elementPath(field string, i int) string {
	return field + "[" + strconv.Itoa(i) + "]"
}
