package integration

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/integration/history"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// Guards against work, grants or acknowledgements that rely on an outdated state:
// processes are frozen until others have taken over, which takes longer than a
// lease, and then resume.
func TestFaultsPause(t *testing.T) {
	f := startFaults(t, mixedServices())
	f.pauseOwner("catalogue", "owning node", func(h *cluster.Host) []*cluster.Process { return []*cluster.Process{h.Node} })
	f.pauseOwner("archive", "owning node of a target that does not check", func(h *cluster.Host) []*cluster.Process { return []*cluster.Process{h.Node} })
	f.pauseOwner("catalogue", "target", func(h *cluster.Host) []*cluster.Process { return []*cluster.Process{h.Target} })
	f.pauseOwner("catalogue", "owning node and its target", func(h *cluster.Host) []*cluster.Process { return []*cluster.Process{h.Node, h.Target} })
	f.pauseLeader()
	f.pauseOwner("catalogue", "control leader and owning node", func(h *cluster.Host) []*cluster.Process {
		return []*cluster.Process{f.leader().Process, h.Node}
	})
	// When a target that does not check grants resumes, the design allows it to run
	// the requests in its socket buffer.
	f.pauseOwner("archive", "target that does not check", func(h *cluster.Host) []*cluster.Process { return []*cluster.Process{h.Target} })
	f.finish(f.allowUncheckedStaleRun)
}

// pauseOwner freezes the processes that choose returns for the host with the most
// partitions, until its keys are served by other hosts and it owns no partitions.
func (f *faults) pauseOwner(service wire.ServiceName, what string, choose func(*cluster.Host) []*cluster.Process) {
	f.t.Helper()
	owner, through := f.owner(service)
	paused := choose(owner)
	inFlight := f.startInFlight("&work=200", string(service))
	lostAt := time.Now()
	for _, p := range paused {
		p.Pause()
	}
	f.checkKeysServed(what+" paused", service, lostAt, through)
	f.await("the paused host owns nothing", func(s wire.StatusResponse) bool {
		i := slices.IndexFunc(s.Nodes, func(n wire.NodeStatus) bool { return n.Node == owner.Name })
		return i < 0 || s.Nodes[i].Owned == 0
	})
	for _, p := range paused {
		p.Resume()
	}
	f.awaitReady()
	f.awaitResponses(inFlight)
}

// pauseLeader freezes the leader until another replica leads, and applies a
// configuration. The revision must stand after the old leader resumes.
func (f *faults) pauseLeader() {
	f.t.Helper()
	old := f.leader()
	_, through := f.owner("catalogue")
	lostAt := time.Now()
	old.Pause()
	f.checkKeysServed("control leader paused", "catalogue", lostAt, through)
	var revision wire.Revision
	f.await("another replica leads", func(s wire.StatusResponse) bool {
		revision = s.Revision
		return f.leaderOf(s) != nil && f.leaderOf(s) != old
	})
	appliedAt := time.Now()
	qt.Assert(f.t, f.Apply(f.ctx, f.config), qt.IsNil)
	f.checkInForce(appliedAt)
	old.Resume()
	f.await("the revision stands and one replica can be lostAt", func(s wire.StatusResponse) bool {
		qt.Assert(f.t, s.Revision, qt.Equals, revision+1)
		return s.CanLoseOne
	})
	f.awaitReady()
}

// allowUncheckedStaleRun accepts a run under an old fencing token on a target that
// does not check grants, if no caller received its response.
func (f *faults) allowUncheckedStaleRun(v history.Violation) bool {
	if v.Kind != history.StaleOwner || !strings.HasPrefix(string(v.Run.Partition), "archive/") {
		return false
	}
	return f.completedRuns[v.Run.RequestID] != faultRun{v.Run.Instance, v.Run.FencingToken}
}
