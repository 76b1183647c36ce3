package registry

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// Guards against replicas that order the elements of a configuration differently. The order
// decides which of two equal prefixes matches.
func TestUpsertKeepsOrder(t *testing.T) {
	tests := map[string]struct{ old, updates, remove, want string }{
		"appended":               {"a b", "c d", "", "a b c d"},
		"replaced in place":      {"a b c", "b2 d", "", "a b2 c d"},
		"removed":                {"a b c", "", "b x", "a c"},
		"removed and added":      {"a b c", "b2", "b", "a c b2"},
		"twice in one change":    {"a", "b b2 a2 b3", "", "a2 b3"},
		"into an empty list":     {"", "a b", "", "a b"},
		"everything is replaced": {"a b", "b2 a2", "", "a2 b2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := upsert(strings.Fields(tt.old), strings.Fields(tt.updates), strings.Fields(tt.remove), func(x string) string { return x[:1] })
			qt.Assert(t, strings.Join(got, " "), qt.Equals, tt.want)
		})
	}
}

// BenchmarkUpsert shows the growth with the number of routes.
func BenchmarkUpsert(b *testing.B) {
	for _, n := range []int{500, 2000, 8000} {
		var old, updates []message.Route
		for i := range n {
			old = append(old, message.Route{Name: fmt.Sprint("old", i)})
			updates = append(updates, message.Route{Name: fmt.Sprint("new", i)})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				upsert(old, updates, nil, func(r message.Route) string { return r.Name })
			}
		})
	}
}
