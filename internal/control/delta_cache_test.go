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

func mustApply(t *testing.T, m *state.Machine, i wire.Version, c wire.Command) {
	t.Helper()
	data, err := json.Marshal(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, m.Apply(i, data).Err, qt.IsNil)
}

func registerCommand(i wire.Incarnation) wire.Command {
	return wire.Command{RegisterMember: &wire.RegisterMember{Member: wire.Member{
		Node: wire.NodeID("n" + string(i)), Incarnation: i, Service: "catalogue", Slots: 1,
	}}}
}

// Guards against a node that gets an old table after the leader has applied a
// newer one, and against a response whose encoding differs from that of the
// wire type.
func TestDeltaCacheServesTheLatestTable(t *testing.T) {
	m := state.New("tz")
	cache := newDeltaCache(m)
	for i := wire.Version(1); i <= 5; i++ {
		mustApply(t, m, i, registerCommand(wire.Incarnation(string(rune('a'+i)))))
		for known := range i + 1 {
			for range 2 {
				data, err := cache.get(wire.DeltaFormatChanges, known)
				qt.Assert(t, err, qt.IsNil)
				var got wire.Delta
				qt.Assert(t, json.Unmarshal(data, &got), qt.IsNil)
				qt.Assert(t, got, qt.CmpEquals(cmpopts.EquateEmpty()), m.Delta(known))
			}
		}
	}
	delta, err := cache.get(wire.DeltaFormatChanges, 2)
	qt.Assert(t, err, qt.IsNil)
	served, err := json.Marshal(encodedHeartbeat{Granted: true, LeaseMillis: 900, Refusal: "x", Delta: delta})
	qt.Assert(t, err, qt.IsNil)
	var got wire.HeartbeatResponse
	qt.Assert(t, json.Unmarshal(served, &got), qt.IsNil)
	want := wire.HeartbeatResponse{Granted: true, LeaseMillis: 900, RejectReason: "x", Delta: m.Delta(2)}
	qt.Assert(t, got, qt.CmpEquals(cmpopts.EquateEmpty()), want)
}

// largeConfiguration returns a configuration of the size expected after two
// years. Only the deadline of one route depends on the argument.
func largeConfiguration(deadline wire.Millis) wire.Configuration {
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

// Guards against deltas that contain the whole configuration instead of its
// changes: at this size, they take more than a node may use for all control
// traffic. Also guards against configuration changes for nodes of earlier
// versions, which do not understand them. Logs the size of the delta for one
// changed route.
func TestChangedRouteCostsLittle(t *testing.T) {
	m := state.New("tz")
	cache := newDeltaCache(m)
	deltaOf := func(f wire.DeltaFormat, known wire.Version) (int, wire.Delta) {
		data, err := cache.get(f, known)
		qt.Assert(t, err, qt.IsNil)
		var d wire.Delta
		qt.Assert(t, json.Unmarshal(data, &d), qt.IsNil)
		return len(data), d
	}
	for i := range wire.Version(3) {
		mustApply(t, m, i+1, wire.Command{Apply: &wire.ApplyRequest{
			RequestID: wire.RequestID(fmt.Sprint(i)), BaseRevision: wire.Revision(i), Configuration: largeConfiguration(wire.Millis(i + 1)),
		}})
	}
	wholeBytes, oldFormat := deltaOf(0, 2)
	changeBytes, newFormat := deltaOf(wire.DeltaFormatChanges, 2)
	twoChangesBytes, twoRevisions := deltaOf(wire.DeltaFormatChanges, 1)
	t.Logf("one changed route among 100 services and 200 routes: whole configuration %d B, change %d B, two changes %d B", wholeBytes, changeBytes, twoChangesBytes)
	qt.Assert(t, oldFormat.Configuration, qt.IsNotNil)
	qt.Assert(t, oldFormat.ConfigurationChange, qt.IsNil)
	qt.Assert(t, newFormat.Configuration, qt.IsNil)
	qt.Assert(t, newFormat.ConfigurationChange.Routes, qt.HasLen, 1)
	qt.Assert(t, newFormat.ConfigurationChange.FromRevision, qt.Equals, wire.Revision(2))
	qt.Assert(t, twoRevisions.ConfigurationChange.FromRevision, qt.Equals, wire.Revision(1))
	qt.Assert(t, changeBytes < wholeBytes/50, qt.IsTrue)
}
