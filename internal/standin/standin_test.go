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

// Guards against a stand-in that runs requests without a valid grant. Tests of
// ownership would then report faults that the router does not have, or miss those
// that it has.
func TestGrants(t *testing.T) {
	grant := func(n wire.Incarnation, token wire.FencingToken) GrantRequest {
		return GrantRequest{Incarnation: n, DeadlineMillis: 100, Partitions: []wire.Grant{{Partition: "c/1", FencingToken: token}}}
	}
	tests := map[string]struct {
		before func(g *grantTable)
		token  wire.FencingToken
		at     int
		want   bool
	}{
		"granted":           {before: func(g *grantTable) { g.add(grant("a", 5)) }, token: 5, at: 99, want: true},
		"never granted":     {before: func(*grantTable) {}, token: 5},
		"no token":          {before: func(g *grantTable) { g.add(GrantRequest{DeadlineMillis: 100}) }},
		"other token":       {before: func(g *grantTable) { g.add(grant("a", 5)) }, token: 4},
		"past the deadline": {before: func(g *grantTable) { g.add(grant("a", 5)) }, token: 5, at: 100},
		"older incarnation": {before: func(g *grantTable) { g.add(grant("a", 5)); g.add(GrantRequest{Incarnation: "b", DeadlineMillis: 200}) }, token: 5},
		"released": {before: func(g *grantTable) {
			g.add(grant("a", 5))
			g.release(ReleaseRequest{Incarnation: "a", Partitions: grant("a", 5).Partitions})
		}, token: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := &grantTable{}
			tt.before(g)
			qt.Assert(t, g.allow("c/1", tt.token, clock.Millis(tt.at)), qt.Equals, tt.want)
		})
	}
}

// Guards against recorded runs that are missing or never took place: the tests of
// at-most-once execution rely on them.
func TestRecordsRuns(t *testing.T) {
	c := qt.New(t)
	s := New(Options{Slots: 1, Sheds: true})
	send := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(method, path, strings.NewReader(""))
		r.Header.Set(header.RequestID, "r1")
		s.Handler().ServeHTTP(w, r)
		return w
	}
	w := send(http.MethodGet, "/catalogue/blanket?chunks=2")
	c.Assert(w.Body.String(), qt.Contains, `"Key":"blanket"`)
	c.Assert(w.Body.String(), qt.Contains, "chunk 2 of 2 of r1\n")
	s.slots <- struct{}{}
	w = send(http.MethodGet, "/catalogue/blanket")
	c.Assert(w.Result().Header.Get(header.Rejected), qt.Equals, header.RejectedOverload)
	runs := s.runs.all()
	c.Assert(runs, qt.HasLen, 1)
	c.Assert(runs[0].RequestID, qt.Equals, "r1")
	c.Assert(runs[0].End, qt.Not(qt.Equals), clock.UnixMillis(0))
}
