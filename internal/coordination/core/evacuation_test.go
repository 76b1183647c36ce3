package core

import (
	"context"
	"encoding/json"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// Guards against an order that is rejected when it is resent after its answer was lost, that
// is acknowledged without being kept, or that leaves no line in the log.
func TestEvacuationIsKept(t *testing.T) {
	var lines lineWriter
	c := startLeader(t, zerolog.New(&lines))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Evacuate(ended, "b", true) // its answer is lost
	qt.Assert(t, err, qt.Not(qt.IsNil))
	var senders sync.WaitGroup
	for range 6 {
		senders.Go(func() {
			out, err := c.Evacuate(t.Context(), "b", true)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, out.Status, qt.Equals, registry.Done)
		})
	}
	senders.Wait()
	qt.Assert(t, c.current.Load().machine.EvacuatedDomains(), qt.DeepEquals, []message.FailureDomain{"b"})
	out, err := c.Evacuate(t.Context(), "a b", true)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.Status, qt.Equals, registry.Invalid)
	qt.Check(t, lines.String(), qt.Matches, `(?s).*"Event":"evacuation","Domain":"b","Active":true,"Status":0,"Reason":"","TookMillis":\d+.*`)
	c.current.Store(nil) // as on a replica that does not lead
	_, err = c.Evacuate(t.Context(), "b", false)
	qt.Assert(t, err, qt.Not(qt.IsNil))
}

// Guards against a late copy of an order that undoes the opposite order sent after it.
func TestLateCopyOfEvacuationOrder(t *testing.T) {
	type order struct {
		active bool
		at     clock.Millis
	}
	for name, tt := range map[string]struct {
		orders   []order
		rejected bool // whether the last order is
	}{
		"copy of a beginning after its end":         {[]order{{true, 0}, {false, 3000}, {true, 4000}}, true},
		"copy of an end after the next beginning":   {[]order{{true, 0}, {false, 9000}, {true, 12_000}, {false, 13_000}}, true},
		"end soon after the beginning":              {[]order{{true, 0}, {false, 100}}, false},
		"resent":                                    {[]order{{true, 0}, {true, 1000}}, false},
		"same order once copies have ended":         {[]order{{true, 0}, {false, 3000}, {true, copyWindow}}, false},
		"beginning soon after an end":               {[]order{{true, 0}, {false, 9000}, {true, 9100}}, false},
		"copy after the second beginning":           {[]order{{true, 0}, {true, 3000}, {false, 3100}, {true, copyWindow + 100}}, true},
		"beginning after an end that ended nothing": {[]order{{false, 0}, {true, 100}, {true, 200}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, m := newTestLeadership(t)
			start := m.Clock().Now()
			for n, o := range tt.orders {
				m.Advance(start + o.at - m.Clock().Now())
				e := message.Evacuation{Domain: "b", Active: o.active}
				out, decided := l.checkCopy(e)
				qt.Assert(t, decided, qt.Equals, tt.rejected && n == len(tt.orders)-1, qt.Commentf("order %d: %s", n, out.Reason))
				if !decided {
					l.applyAt(t, replog.Index(10+n), message.Command{Evacuation: &e})
				}
			}
		})
	}
}

func (l *leadership) applyAt(t *testing.T, index replog.Index, command message.Command) {
	data, err := json.Marshal(command)
	qt.Assert(t, err, qt.IsNil)
	out := l.machine.Apply(replog.Entry{Index: index, Data: data}).(registry.Outcome)
	qt.Assert(t, out.Status, qt.Equals, registry.Done)
}

// Guards against keys that stay in an evacuated failure domain, go back to it, or leave it all
// at once, and against cold targets that get keys as soon as the evacuation has ended.
func TestKeysLeaveEvacuatedDomain(t *testing.T) {
	third := message.Incarnation{ID: "i-3", StartTime: 1}
	l, m := newTestLeadershipFor(t, message.ServiceSpec{Name: "finder", Keyed: true, GrantsByCall: true, ColdPerSecond: 10, ColdMillis: 3000, Source: "{}"}, first, second, third)
	index := replog.Index(10)
	apply := func(c message.Command) {
		index++
		l.applyAt(t, index, c)
	}
	for _, i := range []message.Incarnation{second, third} {
		instance, _ := l.machine.Instance(i.ID)
		instance.Domain = "b"
		apply(message.Command{Register: &instance})
	}
	heard := func() {
		for _, i := range []message.Incarnation{first, second, third} {
			l.leases.RecordCallLease(i, m.Clock().Now(), 3000)
		}
	}
	// next applies the next decision and returns the owners after all scheduled moves.
	next := func() map[message.Incarnation]int {
		heard()
		l.observeEvacuations()
		current := l.machine.Assignments("finder")
		list, _ := l.nextAssignments("finder", current)
		if changed := registry.ChangedAssignments(current.List, list); len(changed) > 0 {
			apply(message.Command{Assignments: &message.AssignmentsChange{Service: "finder", ExpectedVersion: current.Version, Assignments: changed, Loads: []message.Load{}}})
		}
		owners := map[message.Incarnation]int{}
		for _, a := range l.machine.Assignments("finder").List {
			owner := a.Owner
			if a.NextOwner.ID != "" {
				owner = a.NextOwner
			}
			owners[owner] += int(a.To-a.From) + 1
		}
		return owners
	}
	next()
	m.Advance(firstAssignmentMargin)
	owners := next()
	qt.Assert(t, owners[first] > 0 && owners[second] > 0 && owners[third] > 0, qt.IsTrue, qt.Commentf("%v", owners))

	apply(message.Command{Evacuation: &message.Evacuation{Domain: "b", Active: true}})
	owners = next()
	qt.Assert(t, owners[second]+owners[third] > 0, qt.IsTrue, qt.Commentf("all targets give up their keys at once"))
	m.Advance(vacateSpread)
	qt.Assert(t, next(), qt.DeepEquals, map[message.Incarnation]int{first: keyrange.Keys})
	m.Advance(60_000)
	qt.Assert(t, next(), qt.DeepEquals, map[message.Incarnation]int{first: keyrange.Keys})

	apply(message.Command{Evacuation: &message.Evacuation{Domain: "b"}})
	next()
	m.Advance(2999)
	qt.Assert(t, next(), qt.DeepEquals, map[message.Incarnation]int{first: keyrange.Keys})
	m.Advance(1)
	for range 20 {
		for _, a := range l.machine.Assignments("finder").List {
			if a.NextOwner.ID != "" {
				a.Owner, a.NextOwner, a.Move, a.FencingToken = a.NextOwner, message.Incarnation{}, 0, 0
				apply(message.Command{Assignments: &message.AssignmentsChange{Service: "finder", ExpectedVersion: l.machine.Assignments("finder").Version, Assignments: []message.Assignment{a}, Loads: []message.Load{}}})
			}
		}
		m.Advance(rebalanceInterval)
		owners = next()
	}
	qt.Assert(t, owners[second] > 0 && owners[third] > 0, qt.IsTrue, qt.Commentf("%v", owners))
}

// Guards against keys without an owner because all targets of their service are in the
// evacuated failure domain: they stay, and the gates reject requests for them.
func TestKeysStayIfNoTargetIsLeft(t *testing.T) {
	l, m := newTestLeadership(t, first)
	l.nextAssignments("finder", l.machine.Assignments("finder"))
	m.Advance(firstAssignmentMargin)
	list, _ := l.nextAssignments("finder", l.machine.Assignments("finder"))
	l.applyAt(t, 10, message.Command{Assignments: &message.AssignmentsChange{Service: "finder", Assignments: list, Loads: []message.Load{}}})
	instance, _ := l.machine.Instance(first.ID)
	instance.Domain = "b"
	l.applyAt(t, 11, message.Command{Register: &instance})
	l.applyAt(t, 12, message.Command{Evacuation: &message.Evacuation{Domain: "b", Active: true}})
	l.observeEvacuations()
	m.Advance(vacateSpread)
	list, _ = l.nextAssignments("finder", l.machine.Assignments("finder"))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Owner, qt.Equals, first)
	qt.Assert(t, list[0].NextOwner.ID, qt.Equals, message.InstanceID(""))
}
