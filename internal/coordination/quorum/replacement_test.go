package quorum

import (
	"net"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/replog"
)

func threeListeners(t *testing.T) []net.Listener {
	return []net.Listener{listen(t), listen(t), listen(t)}
}

// Guards against a voter that is never replaced because it was lost before the election of
// the present leader and has no response in that leader's term.
func TestVoterLostBeforeElectionIsReplaced(t *testing.T) {
	g := startGroup(t, threeListeners(t), nil)
	g.stop(g.awaitLeader())
	g.awaitLeader()
	g.add("d")
	eventually(t, "the successor is a voter in place of the lost one", func() bool {
		names := g.caughtUp()
		return len(g.voterNames()) == 3 && len(names) == 3 && slices.Contains(names, "d")
	})
}

// successorTime is when a successor must count for the losses that the group bears.
const successorTime = 4 * time.Second

// Guards against a group that loses its majority with two of five disks 4 s after the start of
// a successor, because a host that is lost for good is still a voter.
func TestSuccessorReplacesLostVoterInTime(t *testing.T) {
	g := startGroup(t, threeListeners(t), nil)
	leader := g.awaitLeader()
	g.stop(slices.DeleteFunc(g.voterNames(), func(name replog.ReplicaID) bool { return name == leader })[0])
	start := time.Now()
	g.add("d")
	eventually(t, "the successor is a voter in place of the lost one", func() bool {
		return len(g.voterNames()) == 3 && len(g.caughtUp()) == 3 && slices.Contains(g.voterNames(), "d")
	})
	qt.Assert(t, time.Since(start) < successorTime, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
}

// Guards against a successor that becomes a voter only after the host that it replaces has
// ended, while two other disks may be lost.
func TestSuccessorIsVoterBeforePlannedEnd(t *testing.T) {
	g := startGroup(t, threeListeners(t), nil)
	start := time.Now()
	g.add("d")
	eventually(t, "the successor is a voter beside the others", func() bool { return len(g.caughtUp()) == 4 })
	qt.Assert(t, time.Since(start) < successorTime, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
	g.stop(g.awaitLeader())
	eventually(t, "the group has no lost voter", func() bool { return len(g.voterNames()) == 3 && len(g.caughtUp()) == 3 })
}

// Guards against a voter that was removed while it was silent and stays outside the group,
// because its own log still lists it as a voter.
func TestRemovedVoterJoinsAgain(t *testing.T) {
	g := startGroup(t, threeListeners(t), nil)
	g.add("d")
	eventually(t, "the successor is a voter beside the others", func() bool { return len(g.caughtUp()) == 4 })
	removed := g.replicas["a"]
	g.stop("a")
	eventually(t, "the silent voter is removed", func() bool { return len(g.voterNames()) == 3 })
	start := time.Now()
	g.replicas["a"] = removed.restart(t)
	eventually(t, "it is a voter again", func() bool { return slices.Contains(g.caughtUp(), "a") })
	qt.Assert(t, time.Since(start) < successorTime, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
}

// Guards against a group without a majority after two disks are lost right after the planned
// end of a host whose successor is already a voter.
func TestReplacedVoterLeavesBeforeItEnds(t *testing.T) {
	for name, leads := range map[string]bool{"leader": true, "follower": false} {
		t.Run(name, func(t *testing.T) {
			g := startGroup(t, threeListeners(t), nil)
			g.add("d")
			eventually(t, "the successor is a voter beside the others", func() bool { return len(g.caughtUp()) == 4 })
			leader := g.awaitLeader()
			replaced := g.voterNames()[slices.IndexFunc(g.voterNames(), func(name replog.ReplicaID) bool { return (name == leader) == leads })]
			g.stop(replaced)
			g.awaitLeader()
			qt.Assert(t, g.voterNames(), qt.HasLen, 3)
			qt.Assert(t, slices.Contains(g.voterNames(), replaced), qt.IsFalse)
		})
	}
}

// Guards against a group that becomes smaller than needed when its replicas are restarted.
func TestNeededVoterStaysWhenItStops(t *testing.T) {
	g := startGroup(t, threeListeners(t), nil)
	g.stop(g.awaitLeader())
	g.awaitLeader()
	qt.Assert(t, g.voterNames(), qt.HasLen, 3)
}
