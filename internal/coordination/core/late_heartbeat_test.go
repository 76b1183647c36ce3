package core

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/grant"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
)

// startNextTerm makes the replica forget what it knows as the leader, as a new leader does. No
// lease ends during a test.
func (c *Core) startNextTerm() {
	l := c.current.Load()
	next := c.newLeadership(l.Leadership, l.machine)
	next.leases = grant.NewLeaseTable(c.options.Clock, 60_000)
	c.current.Store(next)
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
			c.startNextTerm()
			c.commit(t, message.Command{Change: &message.ConfigurationChange{Version: 1, Replace: true, Digest: "d", Services: []message.ServiceSpec{{Name: "catalogue", Keyed: true, Source: "{}"}}}})
			instances := map[message.Incarnation]message.Instance{}
			for _, i := range []message.Incarnation{first, second} {
				instance := message.Instance{Incarnation: i, Service: "catalogue", Peer: message.Address(i.ID), Slots: 4}
				instances[i] = instance
				c.commit(t, message.Command{Register: &instance})
			}
			assign := func(a message.Assignment) message.FencingToken {
				version := c.current.Load().machine.Assignments("catalogue").Version
				return message.FencingToken(c.commit(t, message.Command{Assignments: &message.AssignmentsChange{Service: "catalogue", ExpectedVersion: version, Assignments: []message.Assignment{a}}}))
			}
			heartbeat := func(sequence int, answered message.Version, reported ...message.RangeGrant) (reply message.HeartbeatReply) {
				eventually(t, "the heartbeat is answered", func() (ok bool) {
					var err error
					reply, err = c.heartbeat(t.Context(), message.Heartbeat{Instance: instances[first], Sequence: sequence, Answered: &answered, Grants: reported})
					return err == nil
				})
				return reply
			}
			owner := func() message.Incarnation { return c.current.Load().machine.Assignments("catalogue").List[0].Owner }

			moving := message.Assignment{From: 0, To: keyrange.Keys - 1, Owner: first}
			moving.FencingToken = assign(moving)
			granted := heartbeat(2, 0)
			qt.Assert(t, granted.Grants, qt.HasLen, 1)
			moving.NextOwner = second
			assign(moving)
			if tt.newLeader {
				c.startNextTerm()
			}
			heartbeat(tt.lateSequence, 0)
			qt.Check(t, owner(), qt.Equals, first, qt.Commentf("%s holds %v", first.ID, granted.Grants))

			// A new leader needs no further heartbeat to see that the keys are released.
			told := heartbeat(3, granted.Version, granted.Grants...)
			qt.Assert(t, told.Grants, qt.HasLen, 0)
			if tt.newLeader {
				c.startNextTerm()
			}
			heartbeat(4, told.Version)
			qt.Assert(t, owner(), qt.Equals, second)
		})
	}
}
