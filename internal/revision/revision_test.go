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

func service(n, budget int) wire.ServiceConfig {
	return wire.ServiceConfig{Name: wire.ServiceName(fmt.Sprint("s", n)), Keyed: n%2 == 0, Partitions: 2 * (1 - n%2), MoveBudget: budget}
}

// route has one of two paths, so that the order decides between routes.
func route(n, deadline int) wire.RouteConfig {
	return wire.RouteConfig{
		Name: wire.RouteName(fmt.Sprint("r", n)), Service: "s0", Methods: []string{"GET"}, Path: fmt.Sprint("/", n%2),
		Key: &wire.KeySource{From: wire.KeyLocationHeader, Name: "Clinic"}, DeadlineMillis: wire.Millis(deadline),
	}
}

func first() wire.Configuration {
	var c wire.Configuration
	for i := range 6 {
		c.Services = append(c.Services, service(i, 1))
		c.Routes = append(c.Routes, route(2*i, 1), route(2*i+1, 1))
	}
	return c
}

// edited returns a configuration with some entries added, removed, changed or
// moved, and now and then one with a name that appears twice.
func edited(t *rapid.T, c wire.Configuration) wire.Configuration {
	c.Services = editedList(t, c.Services, service)
	c.Routes = editedList(t, c.Routes, route)
	if rapid.IntRange(0, 3).Draw(t, "lists") == 0 {
		c.Regions = []wire.RegionConfig{{Name: "tz-coast", FailureDomains: []wire.FailureDomain{"dsm-a"}}}[:rapid.IntRange(0, 1).Draw(t, "regions")]
		c.CallerLimits = []wire.CallerLimit{{Class: wire.RouteClassBrowse, RequestsPerSecond: 5}}[:rapid.IntRange(0, 1).Draw(t, "limits")]
	}
	if len(c.Routes) > 0 && rapid.IntRange(0, 15).Draw(t, "twice") == 0 {
		c.Routes = append(slices.Clone(c.Routes), c.Routes[0])
	}
	return c
}

func editedList[V any](t *rapid.T, list []V, entry func(n, value int) V) []V {
	list = slices.Clone(list)
	for range rapid.IntRange(0, 3).Draw(t, "edits") {
		i := rapid.IntRange(0, len(list)).Draw(t, "position")
		n, value := rapid.IntRange(0, 15).Draw(t, "name"), rapid.IntRange(1, 3).Draw(t, "value")
		v := entry(n, value)
		same := func(w V) bool { return name(w) == name(v) }
		switch at := slices.IndexFunc(list, same); {
		case at >= 0 && value == 1:
			list = slices.Delete(list, at, at+1)
		case at >= 0 && value == 2:
			list[at] = v
		case at >= 0:
			w := list[at]
			list = slices.Delete(list, at, at+1)
			list = slices.Insert(list, min(i, len(list)), w)
		default:
			list = slices.Insert(list, i, v)
		}
	}
	return list
}

func name(v any) string {
	switch v := v.(type) {
	case wire.ServiceConfig:
		return string(v.Name)
	case wire.RouteConfig:
		return string(v.Name)
	}
	return ""
}

// Guards against a change that loses an entry or its place in the order, that
// works only from one of the revisions it spans, or that is applied to a
// configuration of another history without an error.
func TestChangeLeadsFromEachRevisionToTheLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := []wire.Configuration{first()}
		var names revision.ChangeSet
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			last := steps[len(steps)-1]
			next := edited(t, last)
			n, ok := revision.Compare(last, next)
			if !ok {
				return // sent whole
			}
			names, steps = names.Merge(n), append(steps, next)
		}
		last := steps[len(steps)-1]
		change := revision.NewChange(names, 1, last)
		if change == nil {
			return
		}
		for _, old := range steps {
			before := revision.Checksum(old)
			got, err := revision.Apply(old, *change)
			equal(t, err, nil)
			equal(t, got, last)
			equal(t, revision.Checksum(old), before)
		}
		foreign := edited(t, last)
		got, err := revision.Apply(foreign, *change)
		if err == nil {
			equal(t, got, last)
			return
		}
		equal(t, errors.Is(err, revision.ErrChangeMismatch), true)
	})
}

// Guards against a node whose configuration differs from that of a node with the
// full table, whatever version it knew before, with messages encoded as they are
// sent, and with a history that earlier versions wrote.
func TestTablesFollowTheConfiguration(t *testing.T) {
	changes := 0
	rapid.Check(t, func(t *rapid.T) {
		m := state.New("tz")
		c := first()
		tables := []*table.Table{table.New(), table.New(), table.New()}
		for i := range rapid.IntRange(1, 12).Draw(t, "revisions") {
			data, err := json.Marshal(wire.Command{Apply: &wire.ApplyRequest{
				RequestID: wire.RequestID(fmt.Sprint("q", i)), BaseRevision: wire.Revision(i), Configuration: c,
			}})
			equal(t, err, nil)
			equal(t, m.Apply(wire.Version(i+1), data).Apply.Accepted, true)
			if rapid.IntRange(0, 7).Draw(t, "earlier version") == 0 {
				m = writtenByEarlierVersion(t, m)
			}
			for _, x := range tables {
				if !rapid.Bool().Draw(t, "fetches") {
					continue
				}
				format := wire.DeltaFormat(min(1, rapid.IntRange(0, 3).Draw(t, "format")))
				d := sent(t, m.DeltaInFormat(format, x.Snapshot().Version()))
				equal(t, d.ConfigurationChange == nil || format == wire.DeltaFormatChanges, true)
				if d.ConfigurationChange != nil {
					changes++
				}
				equal(t, x.Apply(d), nil)
				whole := table.New()
				equal(t, whole.Apply(m.Delta(0)), nil)
				equal(t, render(t, x.Snapshot()), render(t, whole.Snapshot()))
			}
			c = edited(t, c)
		}
	})
	qt.Assert(t, changes > 20, qt.IsTrue, qt.Commentf("only %d changes were applied", changes))
}

func equal(t *rapid.T, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Fatalf("differs (-want +got):\n%s", diff)
	}
}

func sent(t *rapid.T, d wire.Delta) wire.Delta {
	data, err := json.Marshal(d)
	equal(t, err, nil)
	var out wire.Delta
	equal(t, json.Unmarshal(data, &out), nil)
	return out
}

// writtenByEarlierVersion restores m from a snapshot without names of changes.
func writtenByEarlierVersion(t *rapid.T, m *state.Machine) *state.Machine {
	data, err := m.Snapshot()
	equal(t, err, nil)
	head, rest, _ := bytes.Cut(data, []byte{'\n'})
	var contents map[string]any
	equal(t, json.Unmarshal(head, &contents), nil)
	for _, v := range contents["History"].([]any) {
		entry := v.(map[string]any)
		equal(t, entry["Configuration"], any(true))
		delete(entry, "Names")
	}
	head, err = json.Marshal(contents)
	equal(t, err, nil)
	out := state.New("tz")
	equal(t, out.Restore(append(append(head, '\n'), rest...)), nil)
	return out
}

// render shows all that a table answers for the names that edited uses.
func render(t *rapid.T, s *table.Snapshot) string {
	c := s.Configuration()
	answers := []any{s.Version(), s.Revision(), c.Services, c.Routes, revision.Checksum(c)}
	for i := range 16 {
		service, isService := s.Service(service(i, 0).Name)
		p, isPartition := s.PartitionOfHash(service.Name, uint64(i))
		r, isRoute := s.Route("GET", fmt.Sprint("/", i%2))
		byName, isName := s.RouteByName(route(i, 0).Name)
		answers = append(answers, service, isService, p, isPartition, r, isRoute, byName, isName)
	}
	data, err := json.Marshal(answers)
	equal(t, err, nil)
	return string(data)
}
