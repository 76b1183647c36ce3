package settings

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
)

// sortedKeys gives the order in which a map's entries are checked, so that the
// same file always yields the same messages.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func element(field string, i int) string {
	return field + "[" + strconv.Itoa(i) + "]"
}
