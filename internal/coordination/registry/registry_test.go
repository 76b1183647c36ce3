package registry

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// log applies commands to a machine in order.
type log struct {
	t *testing.T
	m *Machine
	n replog.Index
}

func (l *log) apply(c message.Command) Outcome {
	l.n++
	data, err := json.Marshal(c)
	qt.Assert(l.t, err, qt.IsNil)
	return l.m.Apply(replog.Entry{Index: l.n, Kind: replog.EntryCommand, Data: data}).(Outcome)
}

func change(version, base int, digest string, routes ...string) message.ConfigurationChange {
	c := message.ConfigurationChange{Version: version, BaseVersion: base, Digest: digest, Replace: true, Services: []message.ServiceSpec{{Name: "catalogue", Keyed: true}}}
	for _, r := range routes {
		c.Routes = append(c.Routes, message.Route{Name: r, HostName: "h", Prefix: "/" + r + "/", Splits: []message.Split{{Service: "catalogue", Weight: 1}}, Source: "{}"})
	}
	return c
}

// Guards against operators who overwrite each other, and against a change that is
// refused because its first acknowledgement was lost.
func TestChange(t *testing.T) {
	bad := change(9, 2, "bad", "r")
	bad.Routes[0].Splits[0].Service = "unknown"
	negative := change(9, 2, "negative", "r")
	negative.Routes[0].Splits = []message.Split{{Service: "catalogue", Weight: 2}, {Service: "catalogue", Weight: -1}}
	weightless := change(9, 2, "weightless", "r")
	weightless.Routes[0].Splits[0].Weight = 0
	tests := map[string]struct {
		change message.ConfigurationChange
		want   Status
	}{
		"builds on the current version":  {change(5, 2, "next", "r"), Done},
		"builds on an older version":     {change(5, 1, "loser", "r"), Conflict},
		"same number, other content":     {change(2, 1, "other", "r"), Conflict},
		"version is not above":           {change(2, 2, "same", "r"), Invalid},
		"unknown service":                {bad, Invalid},
		"weight below 0":                 {negative, Invalid},
		"weights add up to 0":            {weightless, Invalid},
		"accepted before and sent again": {change(1, 0, "first", "r"), Done},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := &log{t: t, m: New()}
			qt.Assert(t, l.apply(message.Command{Change: ptr(change(1, 0, "first", "r"))}).Status, qt.Equals, Done)
			qt.Assert(t, l.apply(message.Command{Change: ptr(change(2, 1, "second", "r"))}).Status, qt.Equals, Done)
			qt.Assert(t, l.apply(message.Command{Change: &tt.change}).Status, qt.Equals, tt.want)
			want := 2
			if name == "builds on the current version" {
				want = 5
			}
			qt.Assert(t, l.m.Configuration().Revision.Version, qt.Equals, want)
		})
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against changes that reach sidecars in part, and against ones that cost as
// much as the whole configuration.
func TestSinceCarriesOnlyWhatChanged(t *testing.T) {
	l := &log{t: t, m: New()}
	l.apply(message.Command{Change: ptr(change(1, 0, "first", "a", "b", "c"))})
	known := l.m.ChangesSince(0).Version
	update := message.ConfigurationChange{Version: 2, BaseVersion: 1, Digest: "second", RemoveRoutes: []string{"b"}, Routes: change(0, 0, "", "d").Routes}
	qt.Assert(t, l.apply(message.Command{Change: &update}).Status, qt.Equals, Done)
	r := l.m.ChangesSince(known)
	names := map[string]bool{}
	for _, i := range r.Items {
		names[i.Name] = true
	}
	qt.Assert(t, names, qt.DeepEquals, map[string]bool{"route/d": true, "revision/": true})
	qt.Assert(t, r.Removed, qt.DeepEquals, []string{"route/b"})
	qt.Assert(t, l.m.ChangesSince(r.Version).Items, qt.HasLen, 0)
}

func instance(id string, born int, peer string) message.Instance {
	return message.Instance{Incarnation: message.Incarnation{ID: message.InstanceID(id), StartTime: message.StartTime(born)}, Service: "catalogue", Peer: message.Address(peer), Slots: 10}
}

// Guards against two lifetimes that hold the same keys: a later start at the same
// address or under the same id ends the earlier one, and a late announcement of the
// earlier one changes nothing.
func TestRegister(t *testing.T) {
	tests := map[string]struct {
		next   message.Instance
		status Status
		freed  bool
	}{
		"same lifetime":               {instance("i-1", 10, "p1"), Done, false},
		"same id, later start":        {instance("i-1", 20, "p1"), Done, true},
		"same id, earlier start":      {instance("i-1", 5, "p1"), Stale, false},
		"same address, later start":   {instance("i-2", 20, "p1"), Done, true},
		"same address, earlier start": {instance("i-0", 5, "p1"), Stale, false},
		"another address":             {instance("i-2", 20, "p2"), Done, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := &log{t: t, m: New()}
			l.apply(message.Command{Change: ptr(change(1, 0, "first", "a"))})
			first := instance("i-1", 10, "p1")
			l.apply(message.Command{Register: &first})
			out := l.apply(message.Command{Assignments: &message.AssignmentsChange{Service: "catalogue", Assignments: []message.Assignment{{From: 0, To: LastKey, Owner: first.Incarnation}}, Loads: []message.Load{}}})
			qt.Assert(t, out.Status, qt.Equals, Done, qt.Commentf(out.Reason))
			granted := l.m.Assignments("catalogue").List[0]
			qt.Assert(t, int(granted.FencingToken), qt.Equals, int(l.n))
			qt.Assert(t, l.apply(message.Command{Register: &tt.next}).Status, qt.Equals, tt.status)
			qt.Assert(t, l.m.Assignments("catalogue").List[0].Owner.ID == "", qt.Equals, tt.freed)
		})
	}
}

// Guards against a drain that is forgotten: a later check-in of the same lifetime
// that was sent before it must not bring the target back.
func TestDrainHolds(t *testing.T) {
	l := &log{t: t, m: New()}
	i := instance("i-1", 10, "p1")
	l.apply(message.Command{Register: &i})
	l.apply(message.Command{Leave: &message.Leave{Incarnation: i.Incarnation}})
	l.apply(message.Command{Register: &i})
	got, _ := l.m.Instance("i-1")
	qt.Assert(t, got.Draining, qt.IsTrue)
	next := instance("i-1", 20, "p1")
	l.apply(message.Command{Register: &next})
	got, _ = l.m.Instance("i-1")
	qt.Assert(t, got.Draining, qt.IsFalse)
}

// Guards against decisions on keys that were made from outdated rows.
func TestRowsAreReplacedOnce(t *testing.T) {
	l := &log{t: t, m: New()}
	i := instance("i-1", 10, "p1")
	l.apply(message.Command{Register: &i})
	rows := &message.AssignmentsChange{Service: "catalogue", Assignments: []message.Assignment{{From: 0, To: LastKey, Owner: i.Incarnation}}}
	qt.Assert(t, l.apply(message.Command{Assignments: rows}).Status, qt.Equals, Done)
	qt.Assert(t, l.apply(message.Command{Assignments: rows}).Status, qt.Equals, Conflict)
	for name, bad := range map[string][]message.Assignment{
		"overlap":      {{From: 0, To: 500}, {From: 500, To: LastKey}},
		"out of order": {{From: 500, To: LastKey}, {From: 0, To: 499}},
		"backwards":    {{From: 500, To: 499}},
		"beyond":       {{From: 500, To: LastKey + 1}},
	} {
		t.Run(name, func(t *testing.T) {
			c := &message.AssignmentsChange{Service: "catalogue", ExpectedVersion: l.m.Assignments("catalogue").Version, Assignments: bad}
			qt.Assert(t, l.apply(message.Command{Assignments: c}).Status, qt.Equals, Invalid)
			qt.Assert(t, l.m.Assignments("catalogue").List, qt.HasLen, 1)
		})
	}
}

// Guards against keys that are lost, or held twice, when only the rows that change are
// committed. The whole list of a service with many targets in each entry was most of the
// core's traffic between failure domains.
func TestChangedRowsAreLaidOverTheOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := []message.Incarnation{{}, {ID: "i-1", StartTime: 1}, {ID: "i-2", StartTime: 2}}
		list := func(label string) []message.Assignment {
			cuts := rapid.SliceOfNDistinct(rapid.IntRange(1, int(LastKey)), 0, 20, rapid.ID[int]).Draw(t, label)
			slices.Sort(cuts)
			var out []message.Assignment
			from := 0
			for _, c := range append(cuts, int(LastKey)+1) {
				out = append(out, message.Assignment{From: message.Key(from), To: message.Key(c - 1), Owner: rapid.SampledFrom(holders).Draw(t, "holder"), FencingToken: message.FencingToken(rapid.IntRange(1, 3).Draw(t, "fence"))})
				from = c
			}
			return out
		}
		old, next := list("old"), list("next")
		got := overlay(old, ChangedAssignments(old, next))
		if !reflect.DeepEqual(got, next) {
			t.Fatalf("%v in place of %v", got, next)
		}
	})
}

// Guards against a replica that differs from the others after a restart.
func TestSnapshotRestoresAll(t *testing.T) {
	l := &log{t: t, m: New()}
	l.apply(message.Command{Change: ptr(change(1, 0, "first", "a", "b"))})
	i := instance("i-1", 10, "p1")
	l.apply(message.Command{Register: &i})
	l.apply(message.Command{Crash: &message.Crash{Fingerprints: []string{"f"}}})
	encode, err := l.m.Capture()
	qt.Assert(t, err, qt.IsNil)
	data, err := encode()
	qt.Assert(t, err, qt.IsNil)
	other := New()
	qt.Assert(t, other.Restore(data), qt.IsNil)
	qt.Assert(t, other.s, qt.DeepEquals, l.m.s)
}

// Guards against control traffic that grows with the rows of a service: the holders of
// all 300 rows would be sent to each sidecar with each move.
func TestMovePublishesOneSection(t *testing.T) {
	l := &log{t: t, m: New()}
	a, b := instance("i-1", 10, "p1"), instance("i-2", 10, "p2")
	l.apply(message.Command{Register: &a})
	l.apply(message.Command{Register: &b})
	rows := func(moved int) *message.AssignmentsChange {
		c := &message.AssignmentsChange{Service: "catalogue", ExpectedVersion: l.m.Assignments("catalogue").Version}
		const width = 220
		for from := message.Key(0); from <= LastKey; from += width {
			holder := a.Incarnation
			if n := int(from / width); n%2 == 1 || n == moved {
				holder = b.Incarnation
			}
			c.Assignments = append(c.Assignments, message.Assignment{From: from, To: min(LastKey, from+width-1), Owner: holder})
		}
		return c
	}
	qt.Assert(t, l.apply(message.Command{Assignments: rows(-1)}).Status, qt.Equals, Done)
	known := l.m.ChangesSince(0).Version
	qt.Assert(t, l.apply(message.Command{Assignments: rows(100)}).Status, qt.Equals, Done)
	r := l.m.ChangesSince(known)
	qt.Assert(t, r.Items, qt.HasLen, 1) // keys 22000 to 22219 lie in section 21
	qt.Assert(t, r.Items[0].Name, qt.Equals, "rows/catalogue/21")
}

func TestSections(t *testing.T) {
	got := sections([]message.RangeOwner{{From: 0, To: 1500, Owner: "a"}, {From: 1501, To: 1502}, {From: 1503, To: LastKey, Owner: "b"}})
	qt.Assert(t, got, qt.HasLen, 64)
	qt.Assert(t, got[0], qt.DeepEquals, []message.RangeOwner{{From: 0, To: 1023, Owner: "a"}})
	qt.Assert(t, got[1], qt.DeepEquals, []message.RangeOwner{{From: 1024, To: 1500, Owner: "a"}, {From: 1501, To: 1502}, {From: 1503, To: 2047, Owner: "b"}})
	qt.Assert(t, got[63], qt.DeepEquals, []message.RangeOwner{{From: 64512, To: LastKey, Owner: "b"}})
}
