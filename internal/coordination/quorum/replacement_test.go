package quorum

import (
	"net"
	"slices"
	"testing"
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
