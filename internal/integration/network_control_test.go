package integration

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	configuration "github.com/gentiansail/gentiansail/internal/config"
	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// severalLeases is longer than three leases of 900 ms, twoLeases than two.
	severalLeases clock.Millis = 3000
	twoLeases     clock.Millis = 2000
	// servedAgain is the bound of the time in which a key is not served.
	servedAgain clock.Millis = 2000
	// inForce is the bound of P8.
	inForce = 6 * time.Second
	// callTimeout bounds one call of a test operator.
	callTimeout = time.Second
)

// apply sends one change to one address, as an operator who reaches only this
// replica.
func (n *network) apply(a wire.Address, base wire.Revision, id wire.RequestID) (wire.ApplyResponse, error) {
	n.t.Helper()
	c, err := configuration.Load(config)
	qt.Assert(n.t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	client := rpc.NewClient(string(a))
	defer client.Close()
	return rpc.Call[wire.ApplyResponse](ctx, client, wire.MethodOperatorApply, wire.ApplyRequest{
		Group: "tz", Operator: "test", RequestID: id, BaseRevision: base, Configuration: c,
	})
}

func newID() wire.RequestID { return wire.RequestID(uuid.NewString()) }

// accepted is the revision that the control group has accepted.
func (n *network) accepted() wire.Revision {
	n.t.Helper()
	s, err := n.Operator().FetchStatus(n.ctx)
	qt.Assert(n.t, err, qt.IsNil)
	return s.Revision
}

// Guards P1, P2 and P5 against a replica behind a silent cut: one that goes on
// acknowledging, nodes that stay with it, and one that deposes the leader when it
// comes back.
func TestNetworkReplicaCut(t *testing.T) {
	n := startNetwork(t)
	n.load(n.Hosts...)
	n.askEachKey(n.Hosts...)
	tests := []struct {
		name           string
		leads, out, in bool
	}{
		{"follower cut", false, true, true},
		{"follower cannot send", false, true, false},
		{"follower cannot receive", false, false, true},
		{"leader cut", true, true, true},
		{"leader cannot send", true, true, false},
		{"leader cannot receive", true, false, true},
	}
	for _, tt := range tests {
		leader, followers := n.leader()
		r := followers[0]
		if tt.leads {
			r = leader
		}
		base := n.accepted()
		began := clock.System().Now()
		n.cut(r, tt.out, tt.in)
		if tt.leads {
			leader = n.newLeader(r)
		}
		if tt.out && tt.in {
			response, err := n.apply(r.Addr(), base, newID())
			qt.Check(t, err != nil || !response.Accepted, qt.IsTrue, qt.Commentf("%s: acknowledged", tt.name))
		}
		lasts := twoLeases
		if tt.out && tt.in {
			lasts = severalLeases
		}
		n.hold(lasts - (clock.System().Now() - began))
		term, own := n.term(leader), n.term(r)
		n.heal(r)
		qt.Check(t, own <= term, qt.IsTrue, qt.Commentf("%s: its term is %d, that of the leader %d", tt.name, own, term))
		n.caughtUp(r)
		now, _ := n.leader()
		if !tt.leads {
			qt.Check(t, now.Name, qt.Equals, leader.Name, qt.Commentf(tt.name))
			qt.Check(t, n.term(now), qt.Equals, term, qt.Commentf(tt.name))
		}
		gap := n.longestGap(began, clock.System().Now())
		t.Logf("%s: a key was not served for at most %d ms", tt.name, gap)
		qt.Check(t, gap <= servedAgain, qt.IsTrue, qt.Commentf("%s: a key was not served for %d ms", tt.name, gap))
		qt.Assert(t, n.WaitReady(n.ctx), qt.IsNil)
	}
	n.check()
}

// newLeader waits until another replica than old leads.
func (n *network) newLeader(old *cluster.Replica) *cluster.Replica {
	n.t.Helper()
	var found *cluster.Replica
	n.wait("another replica leads", func() bool {
		for _, r := range n.others(old) {
			if n.metric(r.Metrics, "gentiansail_control_leading") == 1 {
				found = r
			}
		}
		return found != nil
	})
	return found
}

// caughtUp waits until the leader counts the replica as caught up, having heard
// it now.
func (n *network) caughtUp(r *cluster.Replica) {
	n.t.Helper()
	err := n.WaitStatus(n.ctx, func(s wire.StatusResponse) error {
		for _, v := range s.Replicas {
			if v.Name == r.Name && v.CaughtUp && s.CanLoseOne {
				return nil
			}
		}
		return errNotYet
	})
	qt.Assert(n.t, err, qt.IsNil)
}
