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
	// racing is the number of changes that each side of a cut tries to make.
	racing = 10
	// missed is the number of changes that a cut replica and a cut node miss.
	missed = 200
)

// watched records the revisions that nodes have in force.
type watched struct {
	mu       sync.Mutex
	highest  map[wire.NodeID]int
	seen     int
	reverted []string
}

// watchRevisions reads the revision of each node until the returned function is
// called. A process that has just started has none, which is 0 or no answer.
func (n *network) watchRevisions() (w *watched, end func()) {
	w = &watched{highest: make(map[wire.NodeID]int)}
	ctx, cancel := context.WithCancel(n.ctx)
	var group sync.WaitGroup
	for _, h := range n.Hosts {
		group.Go(func() {
			for ctx.Err() == nil {
				w.note(h.Name, n.revision(h))
				_ = clock.System().Sleep(ctx, poll)
			}
		})
	}
	return w, func() {
		cancel()
		group.Wait()
	}
}

func (w *watched) note(h wire.NodeID, revision int) {
	if revision <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen++
	if revision < w.highest[h] {
		w.reverted = append(w.reverted, fmt.Sprintf("%s used revision %d after %d", h, revision, w.highest[h]))
	}
	w.highest[h] = max(revision, w.highest[h])
}

// everywhere waits, within the bound of P8, until every host has at least the
// revision in force.
func (n *network) everywhere(what string, r wire.Revision, hosts ...*cluster.Host) {
	n.t.Helper()
	took := n.waitFor(what, inForce, func() bool {
		for _, h := range hosts {
			if n.revision(h) < int(r) {
				return false
			}
		}
		return true
	})
	n.t.Logf("%s: revision %d in force after %d ms", what, r, took)
}

// applyUntil sends one change to the replicas in turn until one accepts it.
func (n *network) applyUntil(rs []*cluster.Replica, base wire.Revision, id wire.RequestID) wire.ApplyResponse {
	n.t.Helper()
	var out wire.ApplyResponse
	i := 0
	n.wait("the change is accepted", func() bool {
		var err error
		out, err = n.apply(rs[i%len(rs)].Addr(), base, id)
		i++
		return err == nil
	})
	return out
}

// Guards P2 and P8 against operators who race on both sides of a cut, lost
// responses, and processes that restart or come back after hundreds of changes.
func TestNetworkOperators(t *testing.T) {
	n := startNetwork(t)
	n.load(n.Hosts[1:]...)
	w, end := n.watchRevisions()
	defer end()

	old, others := n.leader()
	node := n.Hosts[0]
	base := n.accepted()
	// Nodes still reach the old leader, which must not hold them back.
	for _, r := range others {
		qt.Assert(t, n.Cut(cluster.Endpoint(old.Name), cluster.Endpoint(r.Name)), qt.IsNil)
	}
	n.cutNode(node)
	last := n.raceChanges(old, others, base)
	qt.Assert(t, last, qt.Equals, base+racing)
	for range missed {
		out := n.applyUntil(others, last, newID())
		qt.Assert(t, out.Accepted, qt.IsTrue)
		last = out.Revision
	}
	n.everywhere("changes while a replica and a node are cut", last, n.Hosts[1:]...)
	qt.Check(t, n.revision(node) <= int(base), qt.IsTrue)

	n.heal(old)
	n.healNode(node)
	n.everywhere("the cut heals", last, n.Hosts...)
	n.caughtUp(old)
	n.waitFor("the replica has the revision", inForce, func() bool {
		return n.metric(old.Metrics, "gentiansail_control_revision") == int(last)
	})

	base = last
	id := newID()
	last = n.loseResponse(base, id)
	n.resent(id, base)
	n.restartAll()
	n.resent(id, base)
	qt.Assert(t, n.accepted(), qt.Equals, last)
	n.everywhere("every process restarts", last, n.Hosts...)
	end()
	t.Logf("%d readings of the revision in force", w.seen)
	qt.Check(t, w.reverted, qt.HasLen, 0)
	qt.Assert(t, n.WaitReady(n.ctx), qt.IsNil)
	n.check()
}

// raceChanges makes the same number of changes on either side of a cut, each
// from the revision that its side knows, and returns the accepted revision.
func (n *network) raceChanges(old *cluster.Replica, others []*cluster.Replica, base wire.Revision) wire.Revision {
	n.t.Helper()
	var group sync.WaitGroup
	for i := range wire.Revision(racing) {
		group.Go(func() {
			out, err := n.apply(old.Addr(), base+i, newID())
			qt.Check(n.t, err != nil || !out.Accepted, qt.IsTrue, qt.Commentf("the minority accepted revision %d", out.Revision))
		})
	}
	last := base
	for range racing {
		out := n.applyUntil(others, last, newID())
		qt.Assert(n.t, out.Accepted, qt.IsTrue, qt.Commentf(out.RejectReason))
		qt.Assert(n.t, out.Revision, qt.Equals, last+1)
		last = out.Revision
	}
	group.Wait()
	return last
}

// loseResponse applies a change whose response is lost, then another one. It
// returns the accepted revision.
func (n *network) loseResponse(base wire.Revision, id wire.RequestID) wire.Revision {
	n.t.Helper()
	for n.accepted() == base {
		leader, _ := n.leader()
		qt.Assert(n.t, n.CutOneWay(cluster.Endpoint(leader.Name), cluster.Operators), qt.IsNil)
		_, err := n.apply(leader.Operators, base, id)
		qt.Assert(n.t, err, qt.IsNotNil)
		n.Heal(n.ctx, cluster.Operators, cluster.Endpoint(leader.Name))
	}
	qt.Assert(n.t, n.accepted(), qt.Equals, base+1)
	other := n.applyUntil(n.Replicas, base+1, newID())
	qt.Assert(n.t, other.Revision, qt.Equals, base+2)
	return other.Revision
}

// resent sends a change again that was accepted as revision base+1.
func (n *network) resent(id wire.RequestID, base wire.Revision) {
	n.t.Helper()
	again := n.applyUntil(n.Replicas, base, id)
	qt.Check(n.t, again.Accepted, qt.IsTrue)
	qt.Check(n.t, again.Replayed, qt.IsTrue)
	qt.Check(n.t, again.Revision, qt.Equals, base+1)
}

// restartAll kills every process and starts it again.
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
