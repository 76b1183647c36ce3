package control

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
)

func applied(t *testing.T, m *state.Machine, i wire.Version, c wire.Command) {
	t.Helper()
	data, err := json.Marshal(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, m.Apply(i, data).Err, qt.IsNil)
}

func registered(i wire.Incarnation) wire.Command {
	return wire.Command{RegisterMember: &wire.RegisterMember{Member: wire.Member{
		Node: wire.NodeID("n" + string(i)), Incarnation: i, Service: "catalogue", Slots: 1,
	}}}
}

// Guards against a node that is told of an old table after the leader has applied
// a newer one, and against a served response that differs from the wire type.
func TestDeltaCacheServesTheLatestTable(t *testing.T) {
	m := state.New("tz")
	c := newDeltaCache(m)
	for i := wire.Version(1); i <= 5; i++ {
		applied(t, m, i, registered(wire.Incarnation(string(rune('a'+i)))))
		for known := range i + 1 {
			for range 2 {
				data, err := c.get(wire.DeltaFormatChanges, known)
				qt.Assert(t, err, qt.IsNil)
				var got wire.Delta
				qt.Assert(t, json.Unmarshal(data, &got), qt.IsNil)
				qt.Assert(t, got, qt.CmpEquals(cmpopts.EquateEmpty()), m.Delta(known))
			}
		}
	}
	delta, err := c.get(wire.DeltaFormatChanges, 2)
	qt.Assert(t, err, qt.IsNil)
	served, err := json.Marshal(encodedHeartbeat{Granted: true, LeaseMillis: 900, Refusal: "x", Delta: delta})
	qt.Assert(t, err, qt.IsNil)
	var got wire.HeartbeatResponse
	qt.Assert(t, json.Unmarshal(served, &got), qt.IsNil)
	want := wire.HeartbeatResponse{Granted: true, LeaseMillis: 900, Refusal: "x", Delta: m.Delta(2)}
	qt.Assert(t, got, qt.CmpEquals(cmpopts.EquateEmpty()), want)
}

// large returns a configuration of the two-year size. Only the deadline of one
// route depends on the argument.
func large(deadline wire.Millis) wire.Configuration {
	c := wire.Configuration{
		Regions:      []wire.RegionConfig{{Name: "tz-coast", FailureDomains: []wire.FailureDomain{"dsm-a", "dsm-b", "dsm-c"}}},
		CallerLimits: []wire.CallerLimit{{Class: wire.RouteClassBrowse, RequestsPerSecond: 500}},
	}
	for i := range 100 {
		s := wire.ServiceConfig{Name: wire.ServiceName(fmt.Sprintf("catalogue-%d", i)), Keyed: true, Partitions: 2, MoveBudget: 4}
		c.Services = append(c.Services, s)
		for _, kind := range []string{"browse", "search"} {
			c.Routes = append(c.Routes, wire.RouteConfig{
				Name: wire.RouteName(fmt.Sprintf("%s-%d", kind, i)), Service: s.Name, Methods: []string{"GET"},
				Path: fmt.Sprintf("/catalogue-%d/%s/", i, kind), Repeatable: true, Class: wire.RouteClassBrowse,
				Key: &wire.KeySource{From: wire.KeyLocationPathSegment, Segment: 3}, DeadlineMillis: 10000,
			})
		}
	}
	c.Routes[100].DeadlineMillis = deadline
	return c
}

// Guards against whole configurations in changes, which at this size cost a node
// more than it may use for all of control, and against changes for nodes of
// earlier versions, which would not understand them. Prints what one changed
// route costs.
func TestChangedRouteCostsLittle(t *testing.T) {
	m := state.New("tz")
	c := newDeltaCache(m)
	size := func(f wire.DeltaFormat, known wire.Version) (int, wire.Delta) {
		data, err := c.get(f, known)
		qt.Assert(t, err, qt.IsNil)
		var d wire.Delta
		qt.Assert(t, json.Unmarshal(data, &d), qt.IsNil)
		return len(data), d
	}
	for i := range wire.Version(3) {
		applied(t, m, i+1, wire.Command{Apply: &wire.ApplyRequest{
			RequestID: wire.RequestID(fmt.Sprint(i)), BaseRevision: wire.Revision(i), Configuration: large(wire.Millis(i + 1)),
		}})
	}
	whole, old := size(0, 2)
	changed, now := size(wire.DeltaFormatChanges, 2)
	two, both := size(wire.DeltaFormatChanges, 1)
	t.Logf("one changed route among 100 services and 200 routes: whole configuration %d B, change %d B, two changes %d B", whole, changed, two)
	qt.Assert(t, old.Configuration, qt.IsNotNil)
	qt.Assert(t, old.ConfigurationChange, qt.IsNil)
	qt.Assert(t, now.Configuration, qt.IsNil)
	qt.Assert(t, now.ConfigurationChange.Routes, qt.HasLen, 1)
	qt.Assert(t, now.ConfigurationChange.FromRevision, qt.Equals, wire.Revision(2))
	qt.Assert(t, both.ConfigurationChange.FromRevision, qt.Equals, wire.Revision(1))
	qt.Assert(t, changed < whole/50, qt.IsTrue)
}
