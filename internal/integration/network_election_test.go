package integration

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// Guards P1 against a new leader that expires a lease which it did not grant: the
// owner keeps its callers and its lease, and loses all of control at the moment
// in which the leader hands over, so that only the waiting out of leases protects
// it. An election without a handover would take much of a lease by itself.
func TestNetworkOwnerCutAtElection(t *testing.T) {
	n := startNetwork(t)
	owner, others := n.Hosts[0], n.Hosts[1:]
	n.askEachKey(others...)
	n.keyOf(owner)
	for _, k := range n.keysOf(owner) {
		n.group.Go(func() {
			for n.loading.Err() == nil {
				n.send(owner, n.request(http.MethodGet, k, ""))
				_ = clock.System().Sleep(n.loading, pause)
			}
		})
	}
	leader, _ := n.leader()
	n.wait("the node runs requests", func() bool { return len(n.runs(owner)) > 0 })
	began := clock.System().Now()
	cutAt := clock.System().Wall()
	n.cutNode(owner)
	qt.Assert(t, leader.Stop(n.ctx), qt.IsNil)
	n.wait("the keys have other owners", func() bool { return len(n.keysOf(owner)) == 0 })
	gap := n.longestGap(began, clock.System().Now())
	last := cutAt
	for _, r := range n.runs(owner) {
		last = max(last, r.Start)
	}
	t.Logf("the owner ran requests for %d ms after the cut; a key was not served for at most %d ms", last-cutAt, gap)
	qt.Check(t, last-cutAt <= clock.UnixMillis(lease.DefaultTerms.MaxDuration())+clock.UnixMillis(lateStart), qt.IsTrue)
	qt.Check(t, gap <= servedAgain, qt.IsTrue, qt.Commentf("a key was not served for %d ms", gap))
	n.healNode(owner)
	qt.Assert(t, leader.Start(n.ctx), qt.IsNil)
	qt.Assert(t, n.WaitReady(n.ctx), qt.IsNil)
	n.check()
}
