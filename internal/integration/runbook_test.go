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

// Guards the runbook's section on a replaced disk: an emptied replica becomes a
// voter without a command, and the group can then lose another replica.
func TestReplaceDisk(t *testing.T) {
	ctx, c := start(t)
	qt.Assert(t, c.Bootstrap(ctx), qt.IsNil)
	qt.Assert(t, c.Apply(ctx, config), qt.IsNil)
	before, err := c.Operator().FetchStatus(ctx)
	qt.Assert(t, err, qt.IsNil)

	replaced := c.Replicas[0]
	qt.Assert(t, replaced.Stop(ctx), qt.IsNil)
	qt.Assert(t, os.RemoveAll(replaced.DataFolder), qt.IsNil)
	// A replica counts as heard for one election timeout after it has gone.
	err = c.WaitStatus(ctx, func(s wire.StatusResponse) error {
		if s.CanLoseOne {
			return errNotYet
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	command(t, c, "status").assert(t, operator.ExitOK, "warning: the control group would lose its majority")
	qt.Assert(t, replaced.Start(ctx), qt.IsNil)
	err = c.WaitStatus(ctx, func(s wire.StatusResponse) error {
		if s.CanLoseOne && identity(s, replaced.Name) != identity(before, replaced.Name) {
			return nil
		}
		return errNotYet
	})
	qt.Assert(t, err, qt.IsNil)

	c.Replicas[1].Kill()
	command(t, c, "apply", config).assert(t, operator.ExitOK, "revision 2 accepted")
	// The emptied folder must not make a group of its own, nor may bootstrap.
	command(t, c, "bootstrap", "--timeout", "1s").assert(t, operator.ExitUnavailable, "")
	qt.Assert(t, c.Replicas[1].Start(ctx), qt.IsNil)
	command(t, c, "bootstrap").assert(t, operator.ExitRejected, "refused")
}

func identity(s wire.StatusResponse, n wire.ReplicaID) wire.Identity {
	i := slices.IndexFunc(s.Replicas, func(r wire.ReplicaStatus) bool { return r.Name == n })
	if i < 0 {
		return ""
	}
	return s.Replicas[i].Identity
}

// Guards the exit codes that a process manager acts on.
func TestDaemonExitCodes(t *testing.T) {
	ctx, c := start(t)
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
