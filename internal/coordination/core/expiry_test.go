package core

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/quorum"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// startSlowLeader runs a core of one replica with short leases, which applies the removal of
// a target only once proceed is closed. expiring is closed when there is one to be applied.
func startSlowLeader(t *testing.T, lease clock.Millis) (c *Core, expiring, proceed chan struct{}) {
	c, l := newSingleCore(t, zerolog.Nop(), settings.HostBounds{MaxLeaseMillis: lease})
	expiring, proceed = make(chan struct{}), make(chan struct{})
	first := true
	c.quorum = quorum.New(quorum.Options{
		Name: c.options.Settings.Name, Address: c.peerAddress(), DataFolder: c.options.Settings.DataFolder,
		Seeds: []message.Address{c.peerAddress()}, FirstStart: true, VoterCount: c.voterCount(),
		NewMachine: func() quorum.StateMachine {
			m := registry.New()
			apply := func(e replog.Entry) any {
				var command message.Command
				if json.Unmarshal(e.Data, &command) == nil && command.Expire != nil && first {
					first = false
					close(expiring)
					<-proceed
				}
				return m.Apply(e)
			}
			return quorum.StateMachine{Apply: apply, Capture: m.Capture, Restore: m.Restore, State: m}
		},
		Clock: c.options.Clock, Log: c.log, OnRole: c.onRole,
	})
	c.runLeader(t, l)
	return c, expiring, proceed
}

// Guards against two owners of a key: a lease was renewed while the removal of its target,
// whose commit took longer than its proposer waited, was still in the log.
func TestLeaseIsNotRenewedWhileTargetIsRemoved(t *testing.T) {
	const lease clock.Millis = 300
	c, expiring, proceed := startSlowLeader(t, lease)
	_, err := c.ApplyChange(t.Context(), message.ConfigurationChange{Version: 1, Replace: true, Digest: "d", Services: []message.ServiceSpec{{Name: "catalogue", Keyed: true, Source: "{}"}}})
	qt.Assert(t, err, qt.IsNil)
	lock := c.decisions()
	lock.Lock()
	instance := message.Instance{Incarnation: first, Service: "catalogue", Peer: "i-1", Slots: 4}
	c.commit(t, message.Command{Register: &instance})
	token := c.commit(t, message.Command{Assignments: &message.AssignmentsChange{Service: "catalogue", Assignments: []message.Assignment{{From: 0, To: keyrange.Keys - 1, Owner: first}}}})
	time.Sleep(2 * lease.Duration()) // The lease since the election ends, and the planner waits for the lock.
	type answer struct {
		reply message.HeartbeatReply
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		owned := message.RangeGrant{From: 0, To: keyrange.Keys - 1, FencingToken: message.FencingToken(token)}
		reply, err := c.heartbeat(t.Context(), message.Heartbeat{Instance: instance, Sequence: 2, Grants: []message.RangeGrant{owned}})
		answers <- answer{reply, err}
	}()
	time.Sleep(100 * time.Millisecond) // The heartbeat is confirmed, and waits for the lock.
	lock.Unlock()
	<-expiring
	got := <-answers
	close(proceed)
	eventually(t, "the removal is applied", func() bool { _, known := c.current.Load().machine.Instance(first.ID); return !known })
	if got.err == nil {
		qt.Check(t, got.reply.Renewed && len(got.reply.Grants) > 0, qt.IsFalse, qt.Commentf("granted %v for %d ms, and removed", got.reply.Grants, got.reply.LeaseDurationMillis))
	}
}

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
