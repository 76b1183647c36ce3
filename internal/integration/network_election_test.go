package integration

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// Guards against keys with two owners because a new leader reassigns them before a
// lease that its predecessor granted has expired. The owner keeps its callers and its
// lease, but is cut from all control replicas just before the leader hands over, so
// that only the new leader's wait for the expiry of old leases protects the owner. An
// election without a handover would itself take up much of a lease duration.
func TestNetworkOwnerCutAtElection(t *testing.T) {
	n := startNetwork(t)
	owner, others := n.Hosts[0], n.Hosts[1:]
	n.startLoadOnEachKey(others...)
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
	n.waitUntil("the node runs requests", func() bool { return len(n.runs(owner)) > 0 })
	began := clock.System().Now()
	cutAt := clock.System().Wall()
	n.cutNode(owner)
	qt.Assert(t, leader.Stop(n.ctx), qt.IsNil)
	n.waitUntil("the keys have other owners", func() bool { return len(n.keysOf(owner)) == 0 })
	gap := n.longestGap(began, clock.System().Now())
	last := cutAt
	for _, r := range n.runs(owner) {
		last = max(last, r.Start)
	}
	t.Logf("the owner ran requests for %d ms after the cut; a key was not served for at most %d ms", last-cutAt, gap)
	qt.Check(t, last-cutAt <= clock.UnixMillis(lease.DefaultTerms.MaxDuration())+clock.UnixMillis(maxStartDelay), qt.IsTrue)
	qt.Check(t, gap <= maxKeyOutage, qt.IsTrue, qt.Commentf("a key was not served for %d ms", gap))
	n.healNode(owner)
	qt.Assert(t, leader.Start(n.ctx), qt.IsNil)
	qt.Assert(t, n.WaitReady(n.ctx), qt.IsNil)
	n.stopAndCheck()
}
