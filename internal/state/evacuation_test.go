package state_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// Guards against nodes of an evacuated failure domain that get work because they joined later
// or because a snapshot forgot the evacuation, and against nodes that stay without work.
func TestEvacuationCoversNodesThatJoinLater(t *testing.T) {
	g := newGroup()
	join := func(node, incarnation string, domain wire.FailureDomain) {
		m := member(node, incarnation, "pledges")
		m.Member.FailureDomain = domain
		qt.Assert(t, g.apply(wire.Command{RegisterMember: m}).Err, qt.IsNil)
	}
	evacuate := func(active bool) error {
		return g.apply(wire.Command{Evacuate: &wire.EvacuateRequest{Operator: "uzi", Domain: "b", Active: active}}).Err
	}
	draining := func() map[wire.Incarnation]bool {
		out := map[wire.Incarnation]bool{}
		for _, m := range g.machine.MemberList() {
			out[m.Incarnation] = m.Draining
		}
		return out
	}
	join("n1", "i1", "a")
	join("n2", "i2", "b")
	audited := len(g.machine.AuditRecordsAfter(0, 100))
	for range 2 {
		qt.Assert(t, evacuate(true), qt.IsNil)
		qt.Assert(t, g.machine.AuditRecordsAfter(0, 100), qt.HasLen, audited+1)
	}
	join("n3", "i3", "b")
	snapshot, err := g.machine.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	g.machine = state.New("tz")
	qt.Assert(t, g.machine.Restore(snapshot), qt.IsNil)
	qt.Assert(t, draining(), qt.DeepEquals, map[wire.Incarnation]bool{"i1": false, "i2": true, "i3": true})
	qt.Assert(t, g.machine.EvacuatedDomains(), qt.DeepEquals, []wire.FailureDomain{"b"})
	qt.Assert(t, evacuate(false), qt.IsNil)
	qt.Assert(t, draining(), qt.DeepEquals, map[wire.Incarnation]bool{"i1": false, "i2": false, "i3": false})
	qt.Assert(t, g.apply(wire.Command{Evacuate: &wire.EvacuateRequest{Active: true}}).Err, qt.ErrorIs, state.ErrInvalidCommand)
}
