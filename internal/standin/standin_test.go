package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a stand-in that runs work which a checking target must refuse:
// tests of ownership would then accuse the router, or excuse it.
func TestGrants(t *testing.T) {
	grant := func(n wire.Incarnation, e wire.FencingToken) GrantRequest {
		return GrantRequest{Incarnation: n, DeadlineMillis: 100, Partitions: []wire.Grant{{Partition: "c/1", FencingToken: e}}}
	}
	tests := map[string]struct {
		before func(g *grants)
		epoch  wire.FencingToken
		at     int
		want   bool
	}{
		"granted":           {before: func(g *grants) { g.add(grant("a", 5)) }, epoch: 5, at: 99, want: true},
		"never granted":     {before: func(*grants) {}, epoch: 5},
		"no epoch":          {before: func(g *grants) { g.add(GrantRequest{DeadlineMillis: 100}) }},
		"other epoch":       {before: func(g *grants) { g.add(grant("a", 5)) }, epoch: 4},
		"past the deadline": {before: func(g *grants) { g.add(grant("a", 5)) }, epoch: 5, at: 100},
		"older incarnation": {before: func(g *grants) { g.add(grant("a", 5)); g.add(GrantRequest{Incarnation: "b", DeadlineMillis: 200}) }, epoch: 5},
		"released": {before: func(g *grants) {
			g.add(grant("a", 5))
			g.release(ReleaseRequest{Incarnation: "a", Partitions: grant("a", 5).Partitions})
		}, epoch: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := &grants{}
			tt.before(g)
			qt.Assert(t, g.allow("c/1", tt.epoch, clock.Millis(tt.at)), qt.Equals, tt.want)
		})
	}
}

// Guards against a record that misses or invents runs, on which the tests of
// at-most-once rely.
func TestRecordsRuns(t *testing.T) {
	c := qt.New(t)
	s := New(Options{Slots: 1, Sheds: true})
	ask := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(method, path, strings.NewReader(""))
		r.Header.Set(header.RequestID, "r1")
		s.Handler().ServeHTTP(w, r)
		return w
	}
	w := ask(http.MethodGet, "/catalogue/blanket?chunks=2")
	c.Assert(w.Body.String(), qt.Contains, `"Key":"blanket"`)
	c.Assert(w.Body.String(), qt.Contains, "chunk 2 of 2 of r1\n")
	s.slots <- struct{}{}
	w = ask(http.MethodGet, "/catalogue/blanket")
	c.Assert(w.Result().Header.Get(header.Rejected), qt.Equals, header.RejectedOverload)
	runs := s.runs.all()
	c.Assert(runs, qt.HasLen, 1)
	c.Assert(runs[0].RequestID, qt.Equals, "r1")
	c.Assert(runs[0].End, qt.Not(qt.Equals), clock.UnixMillis(0))
}
