package core

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// Guards against two owners of a key: a target whose removal was proposed, but not applied
// in time, got a new lease and lost its keys when the removal was applied after all.
func TestExpiryWithoutOutcomeEndsLeases(t *testing.T) {
	for name, byCall := range map[string]bool{"by heartbeats": false, "by calls": true} {
		t.Run(name, func(t *testing.T) {
			l, m := newTestLeadershipFor(t, message.ServiceSpec{Name: "finder", Keyed: true, GrantsByCall: byCall, Source: "{}"}, first, second)
			index := replog.Index(100)
			var unapplied [][]byte
			apply := func(_ context.Context, data []byte) (any, error) {
				index++
				return l.machine.Apply(replog.Entry{Index: index, Data: data}), nil
			}
			lose := func(_ context.Context, data []byte) (any, error) {
				unapplied = append(unapplied, data)
				return nil, errors.New("the outcome is not known")
			}
			l.commit = apply
			_, err := l.propose(t.Context(), message.Command{Assignments: &message.AssignmentsChange{Service: "finder", Assignments: []message.Assignment{{From: 0, To: keyrange.Keys - 1, Owner: first}}}})
			qt.Assert(t, err, qt.IsNil)
			instance, _ := l.machine.Instance(first.ID)
			heartbeat := message.Heartbeat{Instance: instance, Sequence: 2}
			renew := func() (renewed bool) {
				if byCall {
					reply, _ := l.answerLease(t.Context(), message.LeaseRequest{Incarnation: first, Service: "finder"}, m.Clock().Now())
					return reply.Renewed
				}
				l.leases.RecordHeartbeat(heartbeat, m.Clock().Now())
				reply, _ := l.grant(heartbeat, m.Clock().Now())
				return reply.Renewed
			}
			qt.Assert(t, renew(), qt.IsTrue)

			m.Advance(2 * defaultLeaseDuration)
			l.commit = lose
			qt.Assert(t, l.expireIfLost(t.Context(), instance), qt.Not(qt.IsNil))
			qt.Assert(t, unapplied, qt.HasLen, 1)
			qt.Check(t, renew(), qt.IsFalse, qt.Commentf("the removal may still be applied"))
			l.commit = apply
			_, err = apply(t.Context(), unapplied[0])
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, renew(), qt.IsFalse)
			qt.Assert(t, l.register(t.Context(), instance, nil), qt.IsNil)
			qt.Check(t, renew(), qt.IsTrue)
			for _, a := range l.machine.Assignments("finder").List {
				qt.Check(t, a.Owner.ID, qt.Equals, message.InstanceID(""))
			}
		})
	}
}
