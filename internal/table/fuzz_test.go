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

// Guards against a delta that crashes a node, a table that goes back, and a rejected delta
// that changes the table.
func FuzzApply(f *testing.F) {
	add := func(first, second wire.Delta) {
		firstJSON, err := json.Marshal(first)
		qt.Assert(f, err, qt.IsNil)
		secondJSON, err := json.Marshal(second)
		qt.Assert(f, err, qt.IsNil)
		f.Add(firstJSON, secondJSON)
	}
	id := wire.PartitionID("catalogue/k" + partition.FormatHash(partition.Hash("hot")))
	add(fullDelta(), wire.Delta{FromVersion: 10, ToVersion: 11, Revision: 2, Partitions: []wire.Partition{{Partition: id, Service: "catalogue", Owner: "i1", FencingToken: 11}}})
	add(fullDelta(), wire.Delta{FromVersion: 8, ToVersion: 12, Revision: 3, Configuration: &wire.Configuration{Services: []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: 3}}}, RemovedMembers: []wire.Incarnation{"i1"}})
	add(fullDelta(), wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 2, Suspects: []wire.Suspect{{Fingerprint: "f"}}, RemovedPartitions: []wire.PartitionID{"catalogue/0", "none"}})
	add(fullDelta(), wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 1, Configuration: &wire.Configuration{}})
	add(fullDelta(), wire.Delta{FromVersion: 5, ToVersion: 9, Revision: 2})
	for _, partitions := range []int{2, 1 << 40} {
		add(fullDelta(), wire.Delta{FromVersion: 10, ToVersion: 12, Revision: 3, ConfigurationChange: partitionCountChange(f, partitions)})
	}
	add(wire.Delta{FromVersion: 1}, fullDelta())
	f.Add([]byte(`{"Full":true,"Configuration":{"Services":[{"Name":"c","Keyed":true,"Partitions":9223372036854775807}]}}`), []byte(`{}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		routes := table.New()
		for _, data := range [][]byte{first, second, first} {
			var d wire.Delta
			if json.Unmarshal(data, &d) != nil || partitionCount(d) > 1<<16 {
				return
			}
			before := routes.Snapshot()
			if err := routes.Apply(d); err != nil {
				qt.Assert(t, routes.Snapshot() == before, qt.IsTrue)
				continue
			}
			after := routes.Snapshot()
			qt.Assert(t, after.Version() >= before.Version() && after.Revision() >= before.Revision(), qt.IsTrue)
			qt.Assert(t, after.Version(), qt.Equals, d.ToVersion)
			checkLookups(t, after, d)
		}
	})
}

// partitionCountChange returns a change of the number of partitions of the service in
// fullDelta.
func partitionCountChange(t testing.TB, partitions int) *wire.ConfigurationChange {
	old := *fullDelta().Configuration
	next := old
	next.Services = []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: partitions}}
	changes, ok := revision.Compare(old, next)
	qt.Assert(t, ok, qt.IsTrue)
	return revision.NewChange(changes, 2, next)
}

func partitionCount(d wire.Delta) int { return len(d.Partitions) + len(d.RemovedPartitions) }

// checkLookups calls the lookup methods. It checks that a partition that is found has an ID,
// and that removed members are not found.
func checkLookups(t *testing.T, s *table.Snapshot, d wire.Delta) {
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
