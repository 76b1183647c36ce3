package integration

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/operator"
	"github.com/gentiansail/gentiansail/internal/wire"
)

const (
	gentiansail = "../../bin/gentiansail"
	standin     = "../../bin/standin"
	config      = "../../examples/donation-mesh/config"
	// testTimeout bounds the run time of a test.
	testTimeout = 90 * time.Second
)

// result holds the standard output, the standard error output and the exit code
// of an operator command.
type result struct {
	out, err string
	code     int
}

// runCommand runs an operator command against all replicas of the cluster.
func runCommand(t *testing.T, c *cluster.Cluster, args ...string) result {
	t.Helper()
	var addresses []string
	for _, a := range c.Control() {
		addresses = append(addresses, string(a))
	}
	m := exec.CommandContext(t.Context(), gentiansail, append(args, "--group", "tz", "--control", strings.Join(addresses, ","))...)
	var out, errs strings.Builder
	m.Stdout, m.Stderr = &out, &errs
	err := m.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return result{out: out.String(), err: errs.String(), code: m.ProcessState.ExitCode()}
}

// startCluster starts a group of three control replicas and a service with two
// targets. It neither bootstraps the group nor applies a configuration.
func startCluster(t *testing.T) (context.Context, *cluster.Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	c, err := cluster.Start(ctx, cluster.Options{
		Gentiansail: gentiansail, Standin: standin, Folder: t.TempDir(), Replicas: 3, Group: "tz",
		Services: map[wire.ServiceName]cluster.Service{"catalogue": {Targets: 2, ChecksGrants: true}},
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(c.Close)
	return ctx, c
}

// assert checks the exit code, and that the output contains a text.
func (r result) assert(t *testing.T, code int, contains string) {
	t.Helper()
	comment := qt.Commentf("out: %s\nerr: %s", r.out, r.err)
	qt.Assert(t, r.code, qt.Equals, code, comment)
	qt.Assert(t, strings.Contains(r.out+r.err, contains), qt.IsTrue, comment)
}

// Guards against operator commands whose output or exit code does not show what
// the system did. Each command runs against real processes.
func TestOperatorCommands(t *testing.T) {
	ctx, c := startCluster(t)
	runCommand(t, c, "status", "--timeout", "500ms").assert(t, operator.ExitUnavailable, "unavailable")
	runCommand(t, c, "bootstrap").assert(t, operator.ExitOK, "group tz founded with 3 replicas")
	runCommand(t, c, "bootstrap").assert(t, operator.ExitOK, "founded")
	runCommand(t, c, "apply", config, "--request-id", "first", "--wait").assert(t, operator.ExitOK, "revision 1 accepted; in force on every node")
	qt.Assert(t, c.WaitReady(ctx), qt.IsNil)

	// Of two changes that are based on the same revision, one is accepted.
	runCommand(t, c, "apply", config, "--base", "1").assert(t, operator.ExitOK, "revision 2 accepted")
	runCommand(t, c, "apply", config, "--base", "1").assert(t, operator.ExitRejected, "the current revision is 2")
	// A resent request gets its original response and changes nothing.
	runCommand(t, c, "apply", config, "--base", "0", "--request-id", "first").assert(t, operator.ExitOK, "revision 1 accepted; this request was accepted earlier")
	runCommand(t, c, "config").assert(t, operator.ExitOK, "// Revision 2.\n")

	runCommand(t, c, "apply", configWithMorePartitions(t)).assert(t, operator.ExitRejected, "256")
	runCommand(t, c, "owner", "catalogue", "request-1").assert(t, operator.ExitOK, "catalogue-")
	runCommand(t, c, "owner", "pledges", "request-1").assert(t, operator.ExitRejected, "pledges")
	runCommand(t, c, "quarantine", "list").assert(t, operator.ExitOK, "no suspects")
	runCommand(t, c, "quarantine", "release", "0011").assert(t, operator.ExitRejected, "0011")
	runCommand(t, c, "drain", "nobody").assert(t, operator.ExitRejected, "nobody")
	runCommand(t, c, "drain", "catalogue-1", "--wait").assert(t, operator.ExitOK, "node catalogue-1 owns no partitions")
	runCommand(t, c, "undrain", "catalogue-1").assert(t, operator.ExitOK, "takes work again")
	runCommand(t, c, "evacuations").assert(t, operator.ExitOK, "no failure domain is evacuated")
	domain := string(c.Hosts[0].Domain)
	runCommand(t, c, "evacuate", domain, "--wait").assert(t, operator.ExitOK, "own no partitions")
	runCommand(t, c, "evacuate", domain).assert(t, operator.ExitOK, "is evacuated as of version")
	runCommand(t, c, "evacuations").assert(t, operator.ExitOK, domain)
	runCommand(t, c, "evacuate", "--end", domain).assert(t, operator.ExitOK, "takes work again")
	runCommand(t, c, "evacuations").assert(t, operator.ExitOK, "no failure domain is evacuated")
	runCommand(t, c, "audit", "--limit", "10000").assert(t, operator.ExitOK, "evacuate "+domain)
	runCommand(t, c, "audit", "--limit", "10000").assert(t, operator.ExitOK, "configuration applied")
	statusAsJSON(t, c)
}

// statusAsJSON checks the JSON output of the status command.
func statusAsJSON(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	r := runCommand(t, c, "status", "--output", "json")
	var s wire.StatusResponse
	qt.Assert(t, json.Unmarshal([]byte(r.out), &s), qt.IsNil)
	qt.Assert(t, s.Revision, qt.Equals, wire.Revision(2))
	qt.Assert(t, s.CanLoseOne, qt.IsTrue)
	qt.Assert(t, s.Nodes, qt.HasLen, 2)
}

// configWithMorePartitions writes the example configuration with 512
// instead of 256 partitions to a temporary folder, and returns the folder.
func configWithMorePartitions(t *testing.T) string {
	t.Helper()
	files, err := filepath.Glob(config + "/*.jsonc")
	qt.Assert(t, err, qt.IsNil)
	folder := t.TempDir()
	for _, f := range files {
		data, err := os.ReadFile(f)
		qt.Assert(t, err, qt.IsNil)
		text := strings.Replace(string(data), `"Partitions": 256`, `"Partitions": 512`, 1)
		qt.Assert(t, os.WriteFile(filepath.Join(folder, filepath.Base(f)), []byte(text), 0o600), qt.IsNil)
	}
	return folder
}

// Guards against apply --wait that succeeds although a node has not applied the
// revision, and against an unknown outcome that is reported as a failure.
func TestApplyWithoutResponse(t *testing.T) {
	ctx, c := startCluster(t)
	qt.Assert(t, c.Bootstrap(ctx), qt.IsNil)
	qt.Assert(t, c.Apply(ctx, config), qt.IsNil)
	qt.Assert(t, c.WaitReady(ctx), qt.IsNil)
	c.Hosts[0].Node.Pause()
	runCommand(t, c, "apply", config, "--wait", "--wait-timeout", "2s").assert(t, operator.ExitUnavailable, "revision 2 is not in force on catalogue-1")
	c.Hosts[0].Node.Resume()

	for _, r := range c.Replicas {
		r.Pause()
	}
	runCommand(t, c, "apply", config, "--base", "2", "--request-id", "lost", "--timeout", "2s").assert(t, operator.ExitUnknown, "--base 2 --request-id lost")
	for _, r := range c.Replicas {
		r.Resume()
	}
	runCommand(t, c, "apply", config, "--base", "2", "--request-id", "lost").assert(t, operator.ExitOK, "revision 3 accepted")
	runCommand(t, c, "config").assert(t, operator.ExitOK, "// Revision 3.\n")
}

// Guards against bench flags that are not passed on to the load tool, and against
// violations that it reports although there are none.
func TestBench(t *testing.T) {
	ctx, c := startCluster(t)
	qt.Assert(t, c.Bootstrap(ctx), qt.IsNil)
	qt.Assert(t, c.Apply(ctx, config), qt.IsNil)
	qt.Assert(t, c.WaitReady(ctx), qt.IsNil)
	addresses := string(c.Hosts[0].Caller) + "," + string(c.Hosts[1].Caller)
	targets := string(c.Hosts[0].Target.Addr()) + "," + string(c.Hosts[1].Target.Addr())
	runCommand(t, c, "bench", "--addresses", addresses, "--targets", targets, "--rate", "100", "--duration", "1s",
		"--route", "browse:catalogue:GET:/catalogue/{key}:9", "--route", "reserve:catalogue:POST:/catalogue/{key}:1:once").assert(t, operator.ExitOK, "")
	runCommand(t, c, "bench", "--addresses", addresses, "--route", "browse").assert(t, operator.ExitUsage, "browse")
}
