package core

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
)

// startNextTerm makes the replica forget what it knows as the leader, as a new leader does.
func (c *Core) startNextTerm() {
	l := c.current.Load()
	c.current.Store(c.newLeadership(l.Leadership, l.machine))
}

// Guards against two owners of a key: a heartbeat that was sent before its target was granted
// the keys, and that arrives when they are being moved on, counted as their release.
func TestLateHeartbeatReleasesNothing(t *testing.T) {
	for name, tt := range map[string]struct {
		lateSequence int
		newLeader    bool
	}{
		"copy of the one that was answered":      {lateSequence: 2},
		"copy of it, after a change of leaders":  {lateSequence: 2, newLeader: true},
		"earlier one, after a change of leaders": {lateSequence: 1, newLeader: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := startLeader(t, zerolog.Nop())
			_, err := c.ApplyChange(t.Context(), message.ConfigurationChange{Version: 1, Replace: true, Digest: "d", Services: []message.ServiceSpec{{Name: "catalogue", Keyed: true, Source: "{}"}}})
			qt.Assert(t, err, qt.IsNil)
			heartbeat := func(i message.Incarnation, sequence int, answered message.Version, reported ...message.RangeGrant) message.HeartbeatReply {
				reply, err := c.heartbeat(t.Context(), message.Heartbeat{Instance: message.Instance{Incarnation: i, Service: "catalogue", Peer: message.Address(i.ID), Slots: 4}, Sequence: sequence, Answered: &answered, Grants: reported})
				qt.Assert(t, err, qt.IsNil)
				return reply
			}
			before := heartbeat(first, 1, 0)
			heartbeat(second, 1, 0)
			row := message.Assignment{From: 0, To: keyrange.Keys - 1, Owner: first}
			assigned := c.commit(t, message.Command{Assignments: &message.AssignmentsChange{Service: "catalogue", Assignments: []message.Assignment{row}}})
			granted := heartbeat(first, 2, before.Version)
			qt.Assert(t, granted.Grants, qt.HasLen, 1)
			row.FencingToken, row.NextOwner = message.FencingToken(assigned), second
			c.commit(t, message.Command{Assignments: &message.AssignmentsChange{Service: "catalogue", ExpectedVersion: message.Version(assigned), Assignments: []message.Assignment{row}}})
			if tt.newLeader {
				c.startNextTerm()
			}
			heartbeat(first, tt.lateSequence, before.Version)
			qt.Check(t, heartbeat(second, 2, 0).Grants, qt.HasLen, 0, qt.Commentf("%s holds %v", first.ID, granted.Grants))

			// A new leader needs no further heartbeat to see that the keys are released.
			told := heartbeat(first, 3, granted.Version, granted.Grants...)
			qt.Assert(t, told.Grants, qt.HasLen, 0)
			if tt.newLeader {
				c.startNextTerm()
			}
			heartbeat(first, 4, told.Version)
			qt.Assert(t, heartbeat(second, 3, 0).Grants, qt.HasLen, 1)
		})
	}
}
