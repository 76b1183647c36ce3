package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// racingChanges is the number of changes that are sent to each side of a
	// network partition.
	racingChanges = 10
	// missedChanges is the number of changes that are accepted while a replica and
	// a node are cut off.
	missedChanges = 200
)

// revisionLog records the highest revision in force on each node, and each decrease.
type revisionLog struct {
	mu       sync.Mutex
	highest  map[wire.NodeID]int
	readings int
	reverted []string
}

// watchRevisions polls the revision of each node until the returned function is
// called.
func (n *network) watchRevisions() (w *revisionLog, end func()) {
	w = &revisionLog{highest: make(map[wire.NodeID]int)}
	ctx, cancel := context.WithCancel(n.ctx)
	var group sync.WaitGroup
	for _, h := range n.Hosts {
		group.Go(func() {
			for ctx.Err() == nil {
				w.record(h.Name, n.revision(h))
				_ = clock.System().Sleep(ctx, poll)
			}
		})
	}
	return w, func() {
		cancel()
		group.Wait()
	}
}

// record records a reading. A process that has just started has no revision: it
// reports 0 or does not respond, which reads as -1.
func (w *revisionLog) record(h wire.NodeID, revision int) {
	if revision <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readings++
	if revision < w.highest[h] {
		w.reverted = append(w.reverted, fmt.Sprintf("%s used revision %d after %d", h, revision, w.highest[h]))
	}
	w.highest[h] = max(revision, w.highest[h])
}

// awaitRevision checks that each host has at least the revision in force within
// propagationBound.
func (n *network) awaitRevision(what string, r wire.Revision, hosts ...*cluster.Host) {
	n.t.Helper()
	took := n.waitWithin(what, propagationBound, func() bool {
		for _, h := range hosts {
			if n.revision(h) < int(r) {
				return false
			}
		}
		return true
	})
	n.t.Logf("%s: revision %d in force after %d ms", what, r, took)
}

// applyUntil sends one change to the replicas in turn until one responds, and returns
// the response.
func (n *network) applyUntil(rs []*cluster.Replica, base wire.Revision, id wire.RequestID) wire.ApplyResponse {
	n.t.Helper()
	var out wire.ApplyResponse
	i := 0
	n.waitUntil("a replica responds to the change", func() bool {
		var err error
		out, err = n.apply(rs[i%len(rs)].Addr(), base, id)
		i++
		return err == nil
	})
	return out
}

// Guards against accepted changes that are lost, reverted or late on some nodes when
// operators make conflicting changes on both sides of a network partition, responses
// are lost, and processes restart or reconnect after hundreds of changes.
func TestNetworkOperators(t *testing.T) {
	n := startNetwork(t)
	n.startLoad(n.Hosts[1:]...)
	revisions, end := n.watchRevisions()
	defer end()

	old, others := n.leader()
	node := n.Hosts[0]
	base := n.acceptedRevision()
	// Nodes still reach the old leader, which must not delay new revisions.
	for _, r := range others {
		qt.Assert(t, n.Cut(cluster.Endpoint(old.Name), cluster.Endpoint(r.Name)), qt.IsNil)
	}
	n.cutNode(node)
	last := n.raceChanges(old, others, base)
	qt.Assert(t, last, qt.Equals, base+racingChanges)
	for range missedChanges {
		out := n.applyUntil(others, last, newID())
		qt.Assert(t, out.Accepted, qt.IsTrue)
		last = out.Revision
	}
	n.awaitRevision("changes while a replica and a node are cut", last, n.Hosts[1:]...)
	qt.Check(t, n.revision(node) <= int(base), qt.IsTrue)

	n.heal(old)
	n.healNode(node)
	n.awaitRevision("the cut heals", last, n.Hosts...)
	n.awaitCaughtUp(old)
	n.waitWithin("the replica has the revision", propagationBound, func() bool {
		return n.metric(old.Metrics, "gentiansail_control_revision") == int(last)
	})

	base = last
	id := newID()
	last = n.loseResponse(base, id)
	n.checkResend(id, base)
	n.restartAll()
	n.checkResend(id, base)
	qt.Assert(t, n.acceptedRevision(), qt.Equals, last)
	n.awaitRevision("every process restarts", last, n.Hosts...)
	end()
	t.Logf("%d readings of the revision in force", revisions.readings)
	qt.Check(t, revisions.reverted, qt.HasLen, 0)
	qt.Assert(t, n.WaitReady(n.ctx), qt.IsNil)
	n.stopAndCheck()
}

// raceChanges sends the same number of changes to both sides of a network partition,
// each based on the next revision of its side, and checks that only the majority
// accepts them. It returns the newest accepted revision.
func (n *network) raceChanges(old *cluster.Replica, others []*cluster.Replica, base wire.Revision) wire.Revision {
	n.t.Helper()
	var group sync.WaitGroup
	for i := range wire.Revision(racingChanges) {
		group.Go(func() {
			out, err := n.apply(old.Addr(), base+i, newID())
			qt.Check(n.t, err != nil || !out.Accepted, qt.IsTrue, qt.Commentf("the minority accepted revision %d", out.Revision))
		})
	}
	last := base
	for range racingChanges {
		out := n.applyUntil(others, last, newID())
		qt.Assert(n.t, out.Accepted, qt.IsTrue, qt.Commentf(out.RejectReason))
		qt.Assert(n.t, out.Revision, qt.Equals, last+1)
		last = out.Revision
	}
	group.Wait()
	return last
}

// loseResponse applies a change whose response is lost, then another change. It
// returns the newest accepted revision.
func (n *network) loseResponse(base wire.Revision, id wire.RequestID) wire.Revision {
	n.t.Helper()
	for n.acceptedRevision() == base {
		leader, _ := n.leader()
		qt.Assert(n.t, n.CutOneWay(cluster.Endpoint(leader.Name), cluster.Operators), qt.IsNil)
		_, err := n.apply(leader.Operators, base, id)
		qt.Assert(n.t, err, qt.IsNotNil)
		n.Heal(n.ctx, cluster.Operators, cluster.Endpoint(leader.Name))
	}
	qt.Assert(n.t, n.acceptedRevision(), qt.Equals, base+1)
	other := n.applyUntil(n.Replicas, base+1, newID())
	qt.Assert(n.t, other.Revision, qt.Equals, base+2)
	return other.Revision
}

// checkResend resends a change that was accepted as revision base+1, and checks that
// it gets the original response.
func (n *network) checkResend(id wire.RequestID, base wire.Revision) {
	n.t.Helper()
	response := n.applyUntil(n.Replicas, base, id)
	qt.Check(n.t, response.Accepted, qt.IsTrue)
	qt.Check(n.t, response.Replayed, qt.IsTrue)
	qt.Check(n.t, response.Revision, qt.Equals, base+1)
}

// restartAll kills all processes, then restarts them.
func (n *network) restartAll() {
	n.t.Helper()
	var group sync.WaitGroup
	var all []*cluster.Process
	for _, r := range n.Replicas {
		all = append(all, r.Process)
	}
	for _, h := range n.Hosts {
		all = append(all, h.Node, h.Target)
	}
	for _, p := range all {
		p.Kill()
	}
	for _, p := range all {
		group.Go(func() { qt.Check(n.t, p.Start(n.ctx), qt.IsNil) })
	}
	group.Wait()
}
