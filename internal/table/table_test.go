package table_test

import (
	"errors"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/revision"
	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// fullDelta returns a full table of version 10 and revision 2.
func fullDelta() wire.Delta {
	return wire.Delta{
		Full: true, ToVersion: 10, Revision: 2,
		Configuration: &wire.Configuration{
			Services: []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: 1}},
			Routes: []wire.RouteConfig{
				{Name: "all", Service: "catalogue", Methods: []string{"GET"}, Path: "/"},
				{Name: "browse", Service: "catalogue", Methods: []string{"GET"}, Path: "/catalogue", Key: &wire.KeySource{From: wire.KeyLocationPathSegment, Segment: 2}},
				{Name: "search", Service: "catalogue", Methods: []string{"GET"}, Path: "/catalogue/search/", Key: &wire.KeySource{From: wire.KeyLocationQuery, Name: "q"}},
				{Name: "write", Service: "catalogue", Methods: []string{"POST"}, Path: "/catalogue/", Key: &wire.KeySource{From: wire.KeyLocationHeader, Name: "Clinic"}},
			},
		},
		Members:    []wire.Member{{Incarnation: "i1", Service: "catalogue"}},
		Partitions: []wire.Partition{{Partition: "catalogue/0", Service: "catalogue", Owner: "i1", FencingToken: 9}},
	}
}

// Guards against a table that returns to an older version or revision, misses changes, or
// reports a revision whose configuration it has not received.
func TestApplyAcceptsOnlyDeltasThatFollow(t *testing.T) {
	change := func(from wire.Revision, deadline wire.Millis) *wire.ConfigurationChange {
		c := *fullDelta().Configuration
		c.Routes[2].DeadlineMillis = deadline
		return revision.NewChange(revision.ChangeSet{Routes: []wire.RouteName{c.Routes[2].Name}}, from, c)
	}
	wrongChecksum := change(2, 20000)
	wrongChecksum.Routes[0].Route.DeadlineMillis++
	cases := map[string]struct {
		delta wire.Delta
		want  error
	}{
		"lower version":                  {wire.Delta{FromVersion: 5, ToVersion: 9, Revision: 2}, table.ErrOldDelta},
		"lower revision":                 {wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 1}, table.ErrOldDelta},
		"full table of a lower revision": {wire.Delta{Full: true, ToVersion: 12, Revision: 1, Configuration: &wire.Configuration{}}, table.ErrOldDelta},
		"gap":                            {wire.Delta{FromVersion: 11, ToVersion: 12, Revision: 2}, table.ErrGap},
		"change from a later revision":   {wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 4, ConfigurationChange: change(3, 20000)}, table.ErrGap},
		"change with a wrong checksum":   {wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 3, ConfigurationChange: wrongChecksum}, table.ErrGap},
		"change and configuration":       {wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 3, Configuration: &wire.Configuration{}, ConfigurationChange: change(2, 20000)}, table.ErrInvalidDelta},
		"change":                         {wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 3, ConfigurationChange: change(2, 20000)}, nil},
		"change of several revisions":    {wire.Delta{FromVersion: 8, ToVersion: 12, Revision: 3, ConfigurationChange: change(1, 20000)}, nil},
		"revision without configuration": {wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 3}, table.ErrInvalidDelta},
		"too many partitions":            {wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 3, Configuration: &wire.Configuration{Services: []wire.ServiceConfig{{Name: "c", Keyed: true, Partitions: 1 << 40}}}}, table.ErrInvalidDelta},
		"change to too many partitions":  {wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 3, ConfigurationChange: partitionCountChange(t, 1<<40)}, table.ErrInvalidDelta},
		"overlapping delta":              {wire.Delta{FromVersion: 8, ToVersion: 12, Revision: 2}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			routes := table.New()
			qt.Assert(t, routes.Apply(fullDelta()), qt.IsNil)
			err := routes.Apply(c.delta)
			qt.Assert(t, errors.Is(err, c.want), qt.IsTrue, qt.Commentf("%v", err))
			want := wire.Version(10)
			if c.want == nil {
				want = 12
			}
			qt.Assert(t, routes.Snapshot().Version(), qt.Equals, want)
			// After a rejection, the table must report the old revision.
			if c.want != nil {
				c.delta.Revision = 2
			}
			qt.Assert(t, routes.Snapshot().Revision(), qt.Equals, c.delta.Revision)
		})
	}
}

// Guards against requests that are routed to the wrong service or with the wrong key.
func TestRouteAndKey(t *testing.T) {
	cases := map[string]struct{ method, target, header, route, key string }{
		"longest prefix":          {"GET", "/catalogue/search/x?q=wool", "", "search", "wool"},
		"path segment":            {"GET", "/catalogue/clinic-17/items", "", "browse", "clinic-17"},
		"no key":                  {"GET", "/catalogue", "", "browse", ""},
		"whole segments only":     {"GET", "/catalogues/x", "", "all", ""},
		"method selects route":    {"POST", "/catalogue/x", "clinic-3", "write", "clinic-3"},
		"no route for the method": {"PUT", "/catalogue/x", "", "", ""},
	}
	routes := table.New()
	qt.Assert(t, routes.Apply(fullDelta()), qt.IsNil)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(c.method, c.target, nil)
			r.Header.Set("Clinic", c.header)
			route, ok := routes.Snapshot().Route(r.Method, r.URL.Path)
			qt.Assert(t, ok, qt.Equals, c.route != "")
			if !ok {
				return
			}
			qt.Assert(t, string(route.Name), qt.Equals, c.route)
			key, _ := route.Key(r)
			qt.Assert(t, key, qt.Equals, c.key)
		})
	}
}

// Guards against an override that is ignored or still used after its removal, and against
// snapshots that change while a request uses them.
func TestOverrideTakesPrecedenceAndSnapshotsAreImmutable(t *testing.T) {
	routes := table.New()
	qt.Assert(t, routes.Apply(fullDelta()), qt.IsNil)
	before := routes.Snapshot()
	id := wire.PartitionID("catalogue/k" + partition.FormatHash(partition.Hash("hot")))
	override := wire.Partition{Partition: id, Service: "catalogue", Owner: "i1", FencingToken: 11}
	qt.Assert(t, routes.Apply(wire.Delta{FromVersion: 10, ToVersion: 11, Revision: 2, Partitions: []wire.Partition{override}}), qt.IsNil)
	p, _ := routes.Snapshot().PartitionOfKey("catalogue", "hot")
	qt.Assert(t, p, qt.Equals, override)
	p, _ = before.PartitionOfKey("catalogue", "hot")
	qt.Assert(t, p.Partition, qt.Equals, wire.PartitionID("catalogue/0"))
	qt.Assert(t, routes.Apply(wire.Delta{FromVersion: 11, ToVersion: 12, Revision: 2, RemovedPartitions: []wire.PartitionID{id}}), qt.IsNil)
	p, _ = routes.Snapshot().PartitionOfKey("catalogue", "hot")
	qt.Assert(t, p.Partition, qt.Equals, wire.PartitionID("catalogue/0"))
}
