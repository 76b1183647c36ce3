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

// Guards against work, grants or acknowledgements on old belief: processes are
// frozen until others have taken over, which takes longer than a lease, and
// then go on as if nothing had happened.
func TestFaultsPause(t *testing.T) {
	f := startFaults(t, mixed())
	f.pauseOwner("catalogue", "owning node", func(h *cluster.Host) []*cluster.Process { return []*cluster.Process{h.Node} })
	f.pauseOwner("archive", "owning node of a target that does not check", func(h *cluster.Host) []*cluster.Process { return []*cluster.Process{h.Node} })
	f.pauseOwner("catalogue", "target", func(h *cluster.Host) []*cluster.Process { return []*cluster.Process{h.Target} })
	f.pauseOwner("catalogue", "owning node and its target", func(h *cluster.Host) []*cluster.Process { return []*cluster.Process{h.Node, h.Target} })
	f.pauseLeader()
	f.pauseOwner("catalogue", "control leader and owning node", func(h *cluster.Host) []*cluster.Process {
		return []*cluster.Process{f.leader().Process, h.Node}
	})
	// A target that does not check grants may run what waits in its socket
	// buffer when it resumes, as the design says.
	f.pauseOwner("archive", "target that does not check", func(h *cluster.Host) []*cluster.Process { return []*cluster.Process{h.Target} })
	f.finish(f.unfenced)
}

// pauseOwner freezes processes of the host that owns most, until its partitions
// belong to others and a whole second has passed.
func (f *faults) pauseOwner(service wire.ServiceName, what string, choose func(*cluster.Host) []*cluster.Process) {
	f.t.Helper()
	owner, through := f.owner(service)
	paused := choose(owner)
	held := f.hold("&work=200", string(service))
	lost := time.Now()
	for _, p := range paused {
		p.Pause()
	}
	f.servedAgain(what+" paused", service, lost, through)
	f.await("the paused host owns nothing", func(s wire.StatusResponse) bool {
		i := slices.IndexFunc(s.Nodes, func(n wire.NodeStatus) bool { return n.Node == owner.Name })
		return i < 0 || s.Nodes[i].Owned == 0
	})
	for _, p := range paused {
		p.Resume()
	}
	f.ready()
	f.settled(held)
}

// pauseLeader freezes the leader until another one has taken office. What it is
// asked after it resumed must be answered by the new one.
func (f *faults) pauseLeader() {
	f.t.Helper()
	old := f.leader()
	_, through := f.owner("catalogue")
	lost := time.Now()
	old.Pause()
	f.servedAgain("control leader paused", "catalogue", lost, through)
	var revision wire.Revision
	f.await("another replica leads", func(s wire.StatusResponse) bool {
		revision = s.Revision
		return f.leaderOf(s) != nil && f.leaderOf(s) != old
	})
	applied := time.Now()
	qt.Assert(f.t, f.Apply(f.ctx, f.config), qt.IsNil)
	f.inForce(applied)
	old.Resume()
	f.await("the change stands", func(s wire.StatusResponse) bool {
		qt.Assert(f.t, s.Revision, qt.Equals, revision+1)
		return s.CanLoseOne
	})
	f.ready()
}

// unfenced accepts work under an old epoch on a target that does not check
// grants, if no caller received its response.
func (f *faults) unfenced(v history.Violation) bool {
	if v.Kind != history.StaleOwner || !strings.HasPrefix(string(v.Run.Partition), "archive/") {
		return false
	}
	return f.answered[v.Run.RequestID] != faultRun{v.Run.Instance, v.Run.FencingToken}
}
