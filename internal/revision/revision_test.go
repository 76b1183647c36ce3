package revision_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/revision"
	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// service returns a service that is keyed if n is even.
func service(n, budget int) wire.ServiceConfig {
	return wire.ServiceConfig{Name: wire.ServiceName(fmt.Sprint("s", n)), Keyed: n%2 == 0, Partitions: 2 * (1 - n%2), MoveBudget: budget}
}

// route returns a route with one of two paths, so that several routes match a request
// and their order decides which one is used.
func route(n, deadline int) wire.RouteConfig {
	return wire.RouteConfig{
		Name: wire.RouteName(fmt.Sprint("r", n)), Service: "s0", Methods: []string{"GET"}, Path: fmt.Sprint("/", n%2),
		Key: &wire.KeySource{From: wire.KeyLocationHeader, Name: "Clinic"}, DeadlineMillis: wire.Millis(deadline),
	}
}

func initialConfiguration() wire.Configuration {
	var c wire.Configuration
	for i := range 6 {
		c.Services = append(c.Services, service(i, 1))
		c.Routes = append(c.Routes, route(2*i, 1), route(2*i+1, 1))
	}
	return c
}

// randomEdit returns c with some entries added, removed, changed or moved. The result
// sometimes contains a name twice.
func randomEdit(t *rapid.T, c wire.Configuration) wire.Configuration {
	c.Services = randomEditList(t, c.Services, service)
	c.Routes = randomEditList(t, c.Routes, route)
	if rapid.IntRange(0, 3).Draw(t, "edit regions and limits") == 0 {
		c.Regions = []wire.RegionConfig{{Name: "tz-coast", FailureDomains: []wire.FailureDomain{"dsm-a"}}}[:rapid.IntRange(0, 1).Draw(t, "regions")]
		c.CallerLimits = []wire.CallerLimit{{Class: wire.RouteClassBrowse, RequestsPerSecond: 5}}[:rapid.IntRange(0, 1).Draw(t, "limits")]
	}
	if len(c.Routes) > 0 && rapid.IntRange(0, 15).Draw(t, "duplicate name") == 0 {
		c.Routes = append(slices.Clone(c.Routes), c.Routes[0])
	}
	return c
}

// randomEditList returns a copy of the list with up to 3 entries added, removed, changed
// or moved.
func randomEditList[V any](t *rapid.T, list []V, newEntry func(n, value int) V) []V {
	list = slices.Clone(list)
	for range rapid.IntRange(0, 3).Draw(t, "edits") {
		newIndex := rapid.IntRange(0, len(list)).Draw(t, "new index")
		n, value := rapid.IntRange(0, 15).Draw(t, "name"), rapid.IntRange(1, 3).Draw(t, "value")
		entry := newEntry(n, value)
		hasSameName := func(v V) bool { return name(v) == name(entry) }
		switch i := slices.IndexFunc(list, hasSameName); {
		case i >= 0 && value == 1:
			list = slices.Delete(list, i, i+1)
		case i >= 0 && value == 2:
			list[i] = entry
		case i >= 0:
			moved := list[i]
			list = slices.Delete(list, i, i+1)
			list = slices.Insert(list, min(newIndex, len(list)), moved)
		default:
			list = slices.Insert(list, newIndex, entry)
		}
	}
	return list
}

// name returns the name of a service or route.
func name(entry any) string {
	switch e := entry.(type) {
	case wire.ServiceConfig:
		return string(e.Name)
	case wire.RouteConfig:
		return string(e.Name)
	}
	return ""
}

// Guards against a change that loses an entry or the order of entries, that applies
// to only some of the revisions it covers, or that is applied without an error to a
// configuration of a different history.
func TestChangeLeadsFromEachRevisionToTheLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revisions := []wire.Configuration{initialConfiguration()}
		var changes revision.ChangeSet
		for range rapid.IntRange(1, 4).Draw(t, "revisions") {
			last := revisions[len(revisions)-1]
			next := randomEdit(t, last)
			changed, ok := revision.Compare(last, next)
			if !ok {
				return // The whole configuration is sent instead.
			}
			changes, revisions = changes.Merge(changed), append(revisions, next)
		}
		last := revisions[len(revisions)-1]
		change := revision.NewChange(changes, 1, last)
		if change == nil {
			return
		}
		for _, old := range revisions {
			oldChecksum := revision.Checksum(old)
			got, err := revision.Apply(old, *change)
			assertEqual(t, err, nil)
			assertEqual(t, got, last)
			assertEqual(t, revision.Checksum(old), oldChecksum)
		}
		unrelated := randomEdit(t, last)
		got, err := revision.Apply(unrelated, *change)
		if err == nil {
			assertEqual(t, got, last)
			return
		}
		assertEqual(t, errors.Is(err, revision.ErrChangeMismatch), true)
	})
}

// Guards against a table that differs from the full table after a delta was applied.
// Tables skip random numbers of versions, deltas are encoded and decoded as on the
// wire, and part of the history is in the format of earlier program versions.
func TestTablesFollowTheConfiguration(t *testing.T) {
	appliedChanges := 0
	rapid.Check(t, func(t *rapid.T) {
		m := state.New("tz")
		c := initialConfiguration()
		tables := []*table.Table{table.New(), table.New(), table.New()}
		for i := range rapid.IntRange(1, 12).Draw(t, "revisions") {
			data, err := json.Marshal(wire.Command{Apply: &wire.ApplyRequest{
				RequestID: wire.RequestID(fmt.Sprint("q", i)), BaseRevision: wire.Revision(i), Configuration: c,
			}})
			assertEqual(t, err, nil)
			assertEqual(t, m.Apply(wire.Version(i+1), data).Apply.Accepted, true)
			if rapid.IntRange(0, 7).Draw(t, "history of earlier version") == 0 {
				m = restoreFromEarlierVersion(t, m)
			}
			for _, tbl := range tables {
				if !rapid.Bool().Draw(t, "fetch delta") {
					continue
				}
				format := wire.DeltaFormat(min(1, rapid.IntRange(0, 3).Draw(t, "format")))
				d := encodeAndDecode(t, m.DeltaInFormat(format, tbl.Snapshot().Version()))
				assertEqual(t, d.ConfigurationChange == nil || format == wire.DeltaFormatChanges, true)
				if d.ConfigurationChange != nil {
					appliedChanges++
				}
				assertEqual(t, tbl.Apply(d), nil)
				full := table.New()
				assertEqual(t, full.Apply(m.Delta(0)), nil)
				assertEqual(t, render(t, tbl.Snapshot()), render(t, full.Snapshot()))
			}
			c = randomEdit(t, c)
		}
	})
	qt.Assert(t, appliedChanges > 20, qt.IsTrue, qt.Commentf("only %d changes were applied", appliedChanges))
}

func assertEqual(t *rapid.T, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Fatalf("differs (-want +got):\n%s", diff)
	}
}

// encodeAndDecode returns d as a receiver decodes it.
func encodeAndDecode(t *rapid.T, d wire.Delta) wire.Delta {
	data, err := json.Marshal(d)
	assertEqual(t, err, nil)
	var decoded wire.Delta
	assertEqual(t, json.Unmarshal(data, &decoded), nil)
	return decoded
}

// restoreFromEarlierVersion returns m restored from a snapshot in the format of earlier
// program versions, whose history has no change sets.
func restoreFromEarlierVersion(t *rapid.T, m *state.Machine) *state.Machine {
	data, err := m.Snapshot()
	assertEqual(t, err, nil)
	head, rest, _ := bytes.Cut(data, []byte{'\n'})
	var contents map[string]any
	assertEqual(t, json.Unmarshal(head, &contents), nil)
	for _, v := range contents["History"].([]any) {
		entry := v.(map[string]any)
		assertEqual(t, entry["Configuration"], any(true))
		delete(entry, "Names")
	}
	head, err = json.Marshal(contents)
	assertEqual(t, err, nil)
	restored := state.New("tz")
	assertEqual(t, restored.Restore(append(append(head, '\n'), rest...)), nil)
	return restored
}

// render returns the results of all lookups in a table, for the names that randomEdit
// generates, as JSON.
func render(t *rapid.T, s *table.Snapshot) string {
	c := s.Configuration()
	results := []any{s.Version(), s.Revision(), c.Services, c.Routes, revision.Checksum(c)}
	for i := range 16 {
		svc, serviceFound := s.Service(service(i, 0).Name)
		partition, partitionFound := s.PartitionOfHash(svc.Name, uint64(i))
		byPath, pathFound := s.Route("GET", fmt.Sprint("/", i%2))
		byName, nameFound := s.RouteByName(route(i, 0).Name)
		results = append(results, svc, serviceFound, partition, partitionFound, byPath, pathFound, byName, nameFound)
	}
	data, err := json.Marshal(results)
	assertEqual(t, err, nil)
	return string(data)
}
