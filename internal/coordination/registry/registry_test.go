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

// log applies commands to a machine under consecutive indexes.
type log struct {
	t       *testing.T
	machine *Machine
	index   replog.Index
}

func (l *log) apply(c message.Command) Outcome {
	l.index++
	data, err := json.Marshal(c)
	qt.Assert(l.t, err, qt.IsNil)
	return l.machine.Apply(replog.Entry{Index: l.index, Kind: replog.EntryCommand, Data: data}).(Outcome)
}

// restart replaces the state by that of a snapshot of it.
func (l *log) restart() {
	encode, err := l.machine.Capture()
	qt.Assert(l.t, err, qt.IsNil)
	snapshot, err := encode()
	qt.Assert(l.t, err, qt.IsNil)
	qt.Assert(l.t, l.machine.Restore(snapshot), qt.IsNil)
}

func change(version, base int, digest string, routes ...string) message.ConfigurationChange {
	c := message.ConfigurationChange{Version: version, BaseVersion: base, Digest: digest, Replace: true, Services: []message.ServiceSpec{{Name: "catalogue", Keyed: true}}}
	for _, r := range routes {
		c.Routes = append(c.Routes, message.Route{Name: r, HostName: "h", Prefix: "/" + r + "/", Splits: []message.Split{{Service: "catalogue", Weight: 1}}, Source: "{}"})
	}
	return c
}

// Guards against operators who overwrite each other's changes, and against a change that
// is rejected when it is resent because its first acknowledgement was lost.
func TestChange(t *testing.T) {
	unknownService := change(9, 2, "bad", "r")
	unknownService.Routes[0].Splits[0].Service = "unknown"
	negativeWeight := change(9, 2, "negative", "r")
	negativeWeight.Routes[0].Splits = []message.Split{{Service: "catalogue", Weight: 2}, {Service: "catalogue", Weight: -1}}
	zeroWeight := change(9, 2, "weightless", "r")
	zeroWeight.Routes[0].Splits[0].Weight = 0
	tests := map[string]struct {
		change message.ConfigurationChange
		want   Status
	}{
		"builds on the current version": {change(5, 2, "next", "r"), Done},
		"builds on an older version":    {change(5, 1, "loser", "r"), Conflict},
		"same number, other content":    {change(2, 1, "other", "r"), Conflict},
		"version is not higher":         {change(2, 2, "same", "r"), Invalid},
		"unknown service":               {unknownService, Invalid},
		"negative weight":               {negativeWeight, Invalid},
		"weights add up to 0":           {zeroWeight, Invalid},
		"accepted before and resent":    {change(1, 0, "first", "r"), Done},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := &log{t: t, machine: New()}
			qt.Assert(t, l.apply(message.Command{Change: ptr(change(1, 0, "first", "r"))}).Status, qt.Equals, Done)
			qt.Assert(t, l.apply(message.Command{Change: ptr(change(2, 1, "second", "r"))}).Status, qt.Equals, Done)
			qt.Assert(t, l.apply(message.Command{Change: &tt.change}).Status, qt.Equals, tt.want)
			want := 2
			if name == "builds on the current version" {
				want = 5
			}
			qt.Assert(t, l.machine.Configuration().Revision.Version, qt.Equals, want)
		})
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against changes that reach sidecars incompletely, and against changes that are as
// large as the whole configuration.
func TestChangesSinceReturnsOnlyChangedItems(t *testing.T) {
	l := &log{t: t, machine: New()}
	l.apply(message.Command{Change: ptr(change(1, 0, "first", "a", "b", "c"))})
	known := l.machine.ChangesSince(0).Version
	update := message.ConfigurationChange{Version: 2, BaseVersion: 1, Digest: "second", RemoveRoutes: []string{"b"}, Routes: change(0, 0, "", "d").Routes}
	qt.Assert(t, l.apply(message.Command{Change: &update}).Status, qt.Equals, Done)
	r := l.machine.ChangesSince(known)
	names := map[string]bool{}
	for _, i := range r.Items {
		names[i.Name] = true
	}
	qt.Assert(t, names, qt.DeepEquals, map[string]bool{"route/d": true, "revision/": true})
	qt.Assert(t, r.Removed, qt.DeepEquals, []string{"route/b"})
	qt.Assert(t, l.machine.ChangesSince(r.Version).Items, qt.HasLen, 0)
}

func instance(id string, startTime int, peer string) message.Instance {
	return message.Instance{Incarnation: message.Incarnation{ID: message.InstanceID(id), StartTime: message.StartTime(startTime)}, Service: "catalogue", Peer: message.Address(peer), Slots: 10}
}

// Guards against two incarnations that own the same keys: another one at the same address or
// under the same id ends the registered one, whatever the start times, and no late
// registration brings back an incarnation that was followed.
func TestRegister(t *testing.T) {
	tests := map[string]struct {
		next       message.Instance
		unassigned bool
	}{
		"same incarnation":            {instance("i-1", 10, "p1"), false},
		"same id, later start":        {instance("i-1", 20, "p1"), true},
		"same id, earlier start":      {instance("i-1", 5, "p1"), true},
		"same address, later start":   {instance("i-2", 20, "p1"), true},
		"same address, earlier start": {instance("i-0", 5, "p1"), true},
		"another address":             {instance("i-2", 20, "p2"), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := &log{t: t, machine: New()}
			l.apply(message.Command{Change: ptr(change(1, 0, "first", "a"))})
			first := instance("i-1", 10, "p1")
			l.apply(message.Command{Register: &first})
			out := l.apply(message.Command{Assignments: &message.AssignmentsChange{Service: "catalogue", Assignments: []message.Assignment{{From: 0, To: LastKey, Owner: first.Incarnation}}, Loads: []message.Load{}}})
			qt.Assert(t, out.Status, qt.Equals, Done, qt.Commentf(out.Reason))
			granted := l.machine.Assignments("catalogue").List[0]
			qt.Assert(t, int(granted.FencingToken), qt.Equals, int(l.index))
			qt.Assert(t, l.apply(message.Command{Register: &tt.next}).Status, qt.Equals, Done)
			qt.Assert(t, l.machine.Assignments("catalogue").List[0].Owner.ID == "", qt.Equals, tt.unassigned)
			l.restart()
			before := l.machine.Instances()
			qt.Assert(t, l.apply(message.Command{Register: &first}).Status == Stale, qt.Equals, tt.unassigned)
			qt.Assert(t, l.machine.Instances(), qt.DeepEquals, before)
		})
	}
}

// Guards against an incarnation that is registered although its sidecar knows that another one
// followed it, because its first heartbeat reaches the core late.
func TestIncarnationBeforeIsNeverRegistered(t *testing.T) {
	before, next := instance("i-1", 10, "p1"), instance("i-2", 5, "p1")
	tests := map[string]message.Command{
		"the next one registers": {Register: &next, Before: &before.Incarnation},
		"the next one leaves":    {Leave: &message.Leave{Incarnation: next.Incarnation, Before: &before.Incarnation}},
	}
	for name, command := range tests {
		for _, registered := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				l := &log{t: t, machine: New()}
				if registered {
					l.apply(message.Command{Register: &before})
				}
				l.apply(command)
				_, listed := l.machine.Instance("i-1")
				qt.Assert(t, listed, qt.IsFalse)
				qt.Assert(t, l.apply(message.Command{Register: &before}).Status, qt.Equals, Stale)
			})
		}
	}
}

// Guards against two owners of a key: the late departure of an incarnation that has ended was
// passed on by a restarted sidecar as that of the incarnation after the one that runs.
func TestLateDepartureEndsNoOtherIncarnation(t *testing.T) {
	l := &log{t: t, machine: New()}
	ended, runs := instance("i-1", 10, "p1"), instance("i-2", 20, "p1")
	l.apply(message.Command{Register: &ended})
	l.apply(message.Command{Register: &runs, Before: &ended.Incarnation})
	l.apply(message.Command{Assignments: &message.AssignmentsChange{Service: "catalogue", Assignments: []message.Assignment{{From: 0, To: LastKey, Owner: runs.Incarnation}}, Loads: []message.Load{}}})
	before := l.machine.Assignments("catalogue")
	out := l.apply(message.Command{Leave: &message.Leave{Incarnation: ended.Incarnation, Final: true, Before: &runs.Incarnation}})
	qt.Check(t, out.Status, qt.Equals, Stale)
	qt.Check(t, l.machine.Instances(), qt.DeepEquals, []message.Instance{runs})
	qt.Check(t, l.machine.Assignments("catalogue"), qt.DeepEquals, before)
	qt.Check(t, l.apply(message.Command{Register: &runs}).Status, qt.Equals, Done)
}

// Guards against a drain that is undone by a heartbeat of the same incarnation that was
// sent before the drain and arrives after it.
func TestDrainLastsForTheIncarnation(t *testing.T) {
	l := &log{t: t, machine: New()}
	i := instance("i-1", 10, "p1")
	l.apply(message.Command{Register: &i})
	l.apply(message.Command{Leave: &message.Leave{Incarnation: i.Incarnation}})
	l.apply(message.Command{Register: &i})
	got, _ := l.machine.Instance("i-1")
	qt.Assert(t, got.Draining, qt.IsTrue)
	next := instance("i-1", 20, "p1")
	l.apply(message.Command{Register: &next})
	got, _ = l.machine.Instance("i-1")
	qt.Assert(t, got.Draining, qt.IsFalse)
}

// Guards against a target that has left and gets requests again, because a late heartbeat
// registers it when it is not registered any more, or not yet.
func TestDepartureOutlivesRegistration(t *testing.T) {
	left, earlier := instance("i-1", 10, "p1"), instance("i-1", 5, "p1")
	leave := message.Command{Leave: &message.Leave{Incarnation: left.Incarnation}}
	tests := map[string][]message.Command{
		"removed as silent":                    {{Register: &left}, leave, {Expire: &left.Incarnation}},
		"removed before":                       {{Register: &left}, {Expire: &left.Incarnation}, leave},
		"never registered":                     {leave},
		"an earlier incarnation is registered": {{Register: &earlier}, leave},
	}
	for name, commands := range tests {
		t.Run(name, func(t *testing.T) {
			l := &log{t: t, machine: New()}
			for _, c := range commands {
				l.apply(c)
			}
			l.restart()
			l.apply(message.Command{Register: &left})
			got, _ := l.machine.Instance("i-1")
			qt.Assert(t, got.Draining, qt.IsTrue)
			next := instance("i-1", 20, "p1")
			l.apply(message.Command{Register: &next})
			got, _ = l.machine.Instance("i-1")
			qt.Assert(t, got.Draining, qt.IsFalse)
		})
	}
}

// Guards against accepted changes that were computed from outdated assignments, or whose
// assignments overlap, are out of order or exceed the last key.
func TestAssignmentsChangeIsRejected(t *testing.T) {
	l := &log{t: t, machine: New()}
	i := instance("i-1", 10, "p1")
	l.apply(message.Command{Register: &i})
	first := &message.AssignmentsChange{Service: "catalogue", Assignments: []message.Assignment{{From: 0, To: LastKey, Owner: i.Incarnation}}}
	qt.Assert(t, l.apply(message.Command{Assignments: first}).Status, qt.Equals, Done)
	qt.Assert(t, l.apply(message.Command{Assignments: first}).Status, qt.Equals, Conflict)
	for name, invalid := range map[string][]message.Assignment{
		"overlap":            {{From: 0, To: 500}, {From: 500, To: LastKey}},
		"out of order":       {{From: 500, To: LastKey}, {From: 0, To: 499}},
		"reversed":           {{From: 500, To: 499}},
		"above the last key": {{From: 500, To: LastKey + 1}},
	} {
		t.Run(name, func(t *testing.T) {
			c := &message.AssignmentsChange{Service: "catalogue", ExpectedVersion: l.machine.Assignments("catalogue").Version, Assignments: invalid}
			qt.Assert(t, l.apply(message.Command{Assignments: c}).Status, qt.Equals, Invalid)
			qt.Assert(t, l.machine.Assignments("catalogue").List, qt.HasLen, 1)
		})
	}
}

// Guards against keys that are lost or owned twice because only changed assignments are
// committed. When each entry contained all assignments of a service with many targets, they
// were most of the core's traffic between failure domains.
func TestOverlayOfChangesYieldsTheNewList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := []message.Incarnation{{}, {ID: "i-1", StartTime: 1}, {ID: "i-2", StartTime: 2}}
		list := func(label string) []message.Assignment {
			starts := rapid.SliceOfNDistinct(rapid.IntRange(1, int(LastKey)), 0, 20, rapid.ID[int]).Draw(t, label)
			slices.Sort(starts)
			var out []message.Assignment
			from := 0
			for _, end := range append(starts, int(LastKey)+1) {
				out = append(out, message.Assignment{From: message.Key(from), To: message.Key(end - 1), Owner: rapid.SampledFrom(owners).Draw(t, "owner"), FencingToken: message.FencingToken(rapid.IntRange(1, 3).Draw(t, "token"))})
				from = end
			}
			return out
		}
		old, next := list("old"), list("next")
		got := overlay(old, ChangedAssignments(old, next))
		if !reflect.DeepEqual(got, next) {
			t.Fatalf("got %v, want %v", got, next)
		}
	})
}

// Guards against a replica whose state differs from the others' after a restart.
func TestSnapshotRestoresAll(t *testing.T) {
	l := &log{t: t, machine: New()}
	l.apply(message.Command{Change: ptr(change(1, 0, "first", "a", "b"))})
	i := instance("i-1", 10, "p1")
	l.apply(message.Command{Register: &i})
	l.apply(message.Command{Crash: &message.Crash{Fingerprints: []string{"f"}}})
	encode, err := l.machine.Capture()
	qt.Assert(t, err, qt.IsNil)
	data, err := encode()
	qt.Assert(t, err, qt.IsNil)
	restored := New()
	qt.Assert(t, restored.Restore(data), qt.IsNil)
	qt.Assert(t, restored.state, qt.DeepEquals, l.machine.state)
}

// Guards against control traffic that grows with the assignments of a service: each move
// would send the owners of all 300 ranges to each sidecar.
func TestMovePublishesOneSection(t *testing.T) {
	l := &log{t: t, machine: New()}
	a, b := instance("i-1", 10, "p1"), instance("i-2", 10, "p2")
	l.apply(message.Command{Register: &a})
	l.apply(message.Command{Register: &b})
	// The ranges belong to a and b in turn, except for a moved one, which belongs to b.
	alternating := func(moved int) *message.AssignmentsChange {
		c := &message.AssignmentsChange{Service: "catalogue", ExpectedVersion: l.machine.Assignments("catalogue").Version}
		const keysPerRange = 220
		for from := message.Key(0); from <= LastKey; from += keysPerRange {
			owner := a.Incarnation
			if n := int(from / keysPerRange); n%2 == 1 || n == moved {
				owner = b.Incarnation
			}
			c.Assignments = append(c.Assignments, message.Assignment{From: from, To: min(LastKey, from+keysPerRange-1), Owner: owner})
		}
		return c
	}
	qt.Assert(t, l.apply(message.Command{Assignments: alternating(-1)}).Status, qt.Equals, Done)
	known := l.machine.ChangesSince(0).Version
	qt.Assert(t, l.apply(message.Command{Assignments: alternating(100)}).Status, qt.Equals, Done)
	r := l.machine.ChangesSince(known)
	qt.Assert(t, r.Items, qt.HasLen, 1) // keys 22000 to 22219 lie in section 21
	qt.Assert(t, r.Items[0].Name, qt.Equals, "rows/catalogue/21")
}

func TestSplitIntoSections(t *testing.T) {
	got := splitIntoSections([]message.RangeOwner{{From: 0, To: 1500, Owner: "a"}, {From: 1501, To: 1502}, {From: 1503, To: LastKey, Owner: "b"}})
	qt.Assert(t, got, qt.HasLen, 64)
	qt.Assert(t, got[0], qt.DeepEquals, []message.RangeOwner{{From: 0, To: 1023, Owner: "a"}})
	qt.Assert(t, got[1], qt.DeepEquals, []message.RangeOwner{{From: 1024, To: 1500, Owner: "a"}, {From: 1501, To: 1502}, {From: 1503, To: 2047, Owner: "b"}})
	qt.Assert(t, got[63], qt.DeepEquals, []message.RangeOwner{{From: 64512, To: LastKey, Owner: "b"}})
}
