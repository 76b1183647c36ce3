package table_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/revision"
	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// Guards against a delta that stops a node, and against a table that goes back
// or changes by a delta that it refuses.
func FuzzApply(f *testing.F) {
	add := func(a, b wire.Delta) {
		x, err := json.Marshal(a)
		qt.Assert(f, err, qt.IsNil)
		y, err := json.Marshal(b)
		qt.Assert(f, err, qt.IsNil)
		f.Add(x, y)
	}
	id := wire.PartitionID("catalogue/k" + partition.FormatHash(partition.Hash("hot")))
	add(full(), wire.Delta{FromVersion: 10, ToVersion: 11, Revision: 2, Partitions: []wire.Partition{{Partition: id, Service: "catalogue", Owner: "i1", FencingToken: 11}}})
	add(full(), wire.Delta{FromVersion: 8, ToVersion: 12, Revision: 3, Configuration: &wire.Configuration{Services: []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: 3}}}, RemovedMembers: []wire.Incarnation{"i1"}})
	add(full(), wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 2, Suspects: []wire.Suspect{{Fingerprint: "f"}}, RemovedPartitions: []wire.PartitionID{"catalogue/0", "none"}})
	add(full(), wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 1, Configuration: &wire.Configuration{}})
	add(full(), wire.Delta{FromVersion: 5, ToVersion: 9, Revision: 2})
	for _, partitions := range []int{2, 1 << 40} {
		add(full(), wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 3, ConfigurationChange: changeOf(f, partitions)})
	}
	add(wire.Delta{FromVersion: 1}, full())
	f.Add([]byte(`{"Full":true,"Configuration":{"Services":[{"Name":"c","Keyed":true,"Partitions":9223372036854775807}]}}`), []byte(`{}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		x := table.New()
		for _, data := range [][]byte{first, second, first} {
			var d wire.Delta
			if json.Unmarshal(data, &d) != nil || listed(d) > 1<<16 {
				return
			}
			before := x.Snapshot()
			if err := x.Apply(d); err != nil {
				qt.Assert(t, x.Snapshot() == before, qt.IsTrue)
				continue
			}
			after := x.Snapshot()
			qt.Assert(t, after.Version() >= before.Version() && after.Revision() >= before.Revision(), qt.IsTrue)
			qt.Assert(t, after.Version(), qt.Equals, d.ToVersion)
			look(t, after, d)
		}
	})
}

// changeOf changes the number of partitions of the service in full.
func changeOf(t testing.TB, partitions int) *wire.ConfigurationChange {
	old := *full().Configuration
	next := old
	next.Services = []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: partitions}}
	names, ok := revision.Compare(old, next)
	qt.Assert(t, ok, qt.IsTrue)
	return revision.NewChange(names, 2, next)
}

func listed(d wire.Delta) int { return len(d.Partitions) + len(d.RemovedPartitions) }

// look makes every kind of lookup. A partition is found under its own id only,
// and a member only if it is part of the table.
func look(t *testing.T, s *table.Snapshot, d wire.Delta) {
	for _, target := range []string{"/", "/catalogue/hot/x?q=1"} {
		r := httptest.NewRequest("GET", target, nil)
		if route, ok := s.Route(r.Method, r.URL.Path); ok {
			_, _ = route.Key(r)
			_, _ = s.PartitionOfKey(route.Service, "hot")
		}
	}
	for _, p := range d.Partitions {
		if found, ok := s.PartitionByID(p.Partition); ok {
			qt.Assert(t, found.Partition != "", qt.IsTrue)
		}
		s.PartitionsOwnedBy(p.Owner)
	}
	for _, i := range d.RemovedMembers {
		_, ok := s.Member(i)
		qt.Assert(t, ok, qt.IsFalse)
	}
}
