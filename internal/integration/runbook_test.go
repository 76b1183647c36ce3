package integration

import (
	"errors"
	"os"
	"os/exec"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/operator"
	"github.com/gentiansail/gentiansail/internal/wire"
)

var errNotYet = errors.New("not yet")

// Guards the runbook's section on a replaced disk: a replica with an empty data
// folder must become a voter without a command, and the group must then tolerate
// the loss of another replica.
func TestReplaceDisk(t *testing.T) {
	ctx, c := startCluster(t)
	qt.Assert(t, c.Bootstrap(ctx), qt.IsNil)
	qt.Assert(t, c.Apply(ctx, config), qt.IsNil)
	before, err := c.Operator().FetchStatus(ctx)
	qt.Assert(t, err, qt.IsNil)

	replaced := c.Replicas[0]
	qt.Assert(t, replaced.Stop(ctx), qt.IsNil)
	qt.Assert(t, os.RemoveAll(replaced.DataFolder), qt.IsNil)
	// A stopped replica counts as reachable for one election timeout.
	err = c.WaitStatus(ctx, func(s wire.StatusResponse) error {
		if s.CanLoseOne {
			return errNotYet
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	runCommand(t, c, "status").assert(t, operator.ExitOK, "warning: the control group would lose its majority")
	qt.Assert(t, replaced.Start(ctx), qt.IsNil)
	err = c.WaitStatus(ctx, func(s wire.StatusResponse) error {
		if s.CanLoseOne && identity(s, replaced.Name) != identity(before, replaced.Name) {
			return nil
		}
		return errNotYet
	})
	qt.Assert(t, err, qt.IsNil)

	c.Replicas[1].Kill()
	runCommand(t, c, "apply", config).assert(t, operator.ExitOK, "revision 2 accepted")
	// The bootstrap command must not found a second group with the replaced replica: it
	// fails while a replica is down, and is rejected when all are up.
	runCommand(t, c, "bootstrap", "--timeout", "1s").assert(t, operator.ExitUnavailable, "")
	qt.Assert(t, c.Replicas[1].Start(ctx), qt.IsNil)
	runCommand(t, c, "bootstrap").assert(t, operator.ExitRejected, "refused")
}

// identity returns the identity of a replica in a status, or "".
func identity(s wire.StatusResponse, n wire.ReplicaID) wire.Identity {
	i := slices.IndexFunc(s.Replicas, func(r wire.ReplicaStatus) bool { return r.Name == n })
	if i < 0 {
		return ""
	}
	return s.Replicas[i].Identity
}

// Guards against a planned stop that exits with an error code, which a process manager
// would treat as a crash, and against a daemon with invalid settings that does not exit
// with ExitUsage.
func TestDaemonExitCodes(t *testing.T) {
	ctx, c := startCluster(t)
	qt.Assert(t, c.Bootstrap(ctx), qt.IsNil)
	qt.Assert(t, c.Apply(ctx, config), qt.IsNil)
	qt.Assert(t, c.WaitReady(ctx), qt.IsNil)
	qt.Assert(t, c.Hosts[0].Target.Stop(ctx), qt.IsNil)
	qt.Assert(t, c.Hosts[0].Node.Stop(ctx), qt.IsNil)
	qt.Assert(t, c.Replicas[0].Stop(ctx), qt.IsNil)

	for _, role := range []string{"control", "node"} {
		err := exec.CommandContext(ctx, gentiansail, role, "--settings", config+"/10-regions.jsonc").Run()
		var exit *exec.ExitError
		qt.Assert(t, errors.As(err, &exit), qt.IsTrue)
		qt.Assert(t, exit.ExitCode(), qt.Equals, operator.ExitUsage)
	}
}
