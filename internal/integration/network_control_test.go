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
	// overThreeLeases is longer than three leases of 900 ms, overTwoLeases than two.
	overThreeLeases clock.Millis = 3000
	overTwoLeases   clock.Millis = 2000
	// maxKeyOutage bounds the time in which a key is not served.
	maxKeyOutage clock.Millis = 2000
	// propagationBound is the promised bound on the time until an accepted
	// configuration is in force on every node.
	propagationBound = 6 * time.Second
	// callTimeout bounds one operator call of a test.
	callTimeout = time.Second
)

// apply sends a configuration to a single replica.
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

// newID returns a random request ID.
func newID() wire.RequestID { return wire.RequestID(uuid.NewString()) }

// acceptedRevision returns the revision that the control group has accepted.
func (n *network) acceptedRevision() wire.Revision {
	n.t.Helper()
	s, err := n.Operator().FetchStatus(n.ctx)
	qt.Assert(n.t, err, qt.IsNil)
	return s.Revision
}

// Guards against keys with two owners, lost changes and second runs of operations when
// a network partition silently drops the packets of a replica: the replica must not
// acknowledge changes, nodes must not stay connected to it, and it must not depose the
// leader when the partition heals.
func TestNetworkReplicaCut(t *testing.T) {
	n := startNetwork(t)
	n.startLoad(n.Hosts...)
	n.startLoadOnEachKey(n.Hosts...)
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
		base := n.acceptedRevision()
		began := clock.System().Now()
		n.cut(r, tt.out, tt.in)
		if tt.leads {
			leader = n.awaitNewLeader(r)
		}
		if tt.out && tt.in {
			response, err := n.apply(r.Addr(), base, newID())
			qt.Check(t, err != nil || !response.Accepted, qt.IsTrue, qt.Commentf("%s: the isolated replica acknowledged a change", tt.name))
		}
		duration := overTwoLeases
		if tt.out && tt.in {
			duration = overThreeLeases
		}
		n.sleep(duration - (clock.System().Now() - began))
		leaderTerm, replicaTerm := n.term(leader), n.term(r)
		n.heal(r)
		qt.Check(t, replicaTerm <= leaderTerm, qt.IsTrue, qt.Commentf("%s: its term is %d, that of the leader %d", tt.name, replicaTerm, leaderTerm))
		n.awaitCaughtUp(r)
		currentLeader, _ := n.leader()
		if !tt.leads {
			qt.Check(t, currentLeader.Name, qt.Equals, leader.Name, qt.Commentf(tt.name))
			qt.Check(t, n.term(currentLeader), qt.Equals, leaderTerm, qt.Commentf(tt.name))
		}
		gap := n.longestGap(began, clock.System().Now())
		t.Logf("%s: a key was not served for at most %d ms", tt.name, gap)
		qt.Check(t, gap <= maxKeyOutage, qt.IsTrue, qt.Commentf("%s: a key was not served for %d ms", tt.name, gap))
		qt.Assert(t, n.WaitReady(n.ctx), qt.IsNil)
	}
	n.stopAndCheck()
}

// awaitNewLeader waits until a replica other than old leads.
func (n *network) awaitNewLeader(old *cluster.Replica) *cluster.Replica {
	n.t.Helper()
	var found *cluster.Replica
	n.waitUntil("another replica leads", func() bool {
		for _, r := range n.others(old) {
			if n.metric(r.Metrics, "gentiansail_control_leading") == 1 {
				found = r
			}
		}
		return found != nil
	})
	return found
}

// awaitCaughtUp waits until the leader reports the replica as caught up and one
// replica can be lost, which requires a recent response of each replica.
func (n *network) awaitCaughtUp(r *cluster.Replica) {
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
