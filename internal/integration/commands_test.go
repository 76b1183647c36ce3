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
	// limit ends a test that hangs.
	limit = 90 * time.Second
)

// result is what an operator command printed and its exit code.
type result struct {
	out, err string
	code     int
}

// command runs an operator command against all replicas of the cluster.
func command(t *testing.T, c *cluster.Cluster, args ...string) result {
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

func start(t *testing.T) (context.Context, *cluster.Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	c, err := cluster.Start(ctx, cluster.Options{
		Gentiansail: gentiansail, Standin: standin, Folder: t.TempDir(), Replicas: 3, Group: "tz",
		Services: map[wire.ServiceName]cluster.Service{"catalogue": {Targets: 2, ChecksGrants: true}},
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(c.Close)
	return ctx, c
}

func (r result) assert(t *testing.T, code int, contains string) {
	t.Helper()
	comment := qt.Commentf("out: %s\nerr: %s", r.out, r.err)
	qt.Assert(t, r.code, qt.Equals, code, comment)
	qt.Assert(t, strings.Contains(r.out+r.err, contains), qt.IsTrue, comment)
}

// Guards against an operator who cannot tell what the system did: each command
// is run as a new operator would, against real processes.
func TestOperatorCommands(t *testing.T) {
	ctx, c := start(t)
	command(t, c, "status", "--timeout", "500ms").assert(t, operator.ExitUnavailable, "unavailable")
	command(t, c, "bootstrap").assert(t, operator.ExitOK, "group tz founded with 3 replicas")
	command(t, c, "bootstrap").assert(t, operator.ExitOK, "founded")
	command(t, c, "apply", config, "--request-id", "first", "--wait").assert(t, operator.ExitOK, "revision 1 accepted; in force on every node")
	qt.Assert(t, c.WaitReady(ctx), qt.IsNil)

	// Two operators start from the same revision: one wins.
	command(t, c, "apply", config, "--base", "1").assert(t, operator.ExitOK, "revision 2 accepted")
	command(t, c, "apply", config, "--base", "1").assert(t, operator.ExitRejected, "the current revision is 2")
	// A resend gets its original response and changes nothing.
	command(t, c, "apply", config, "--base", "0", "--request-id", "first").assert(t, operator.ExitOK, "revision 1 accepted; this request was accepted earlier")
	command(t, c, "config").assert(t, operator.ExitOK, "// Revision 2.\n")

	command(t, c, "apply", changed(t)).assert(t, operator.ExitRejected, "256")
	command(t, c, "owner", "catalogue", "request-1").assert(t, operator.ExitOK, "catalogue-")
	command(t, c, "owner", "pledges", "request-1").assert(t, operator.ExitRejected, "pledges")
	command(t, c, "quarantine", "list").assert(t, operator.ExitOK, "no suspects")
	command(t, c, "quarantine", "release", "0011").assert(t, operator.ExitRejected, "0011")
	command(t, c, "drain", "nobody").assert(t, operator.ExitRejected, "nobody")
	command(t, c, "drain", "catalogue-1", "--wait").assert(t, operator.ExitOK, "node catalogue-1 owns no partitions")
	command(t, c, "undrain", "catalogue-1").assert(t, operator.ExitOK, "takes work again")
	command(t, c, "audit", "--limit", "10000").assert(t, operator.ExitOK, "configuration applied")
	statusAsJSON(t, c)
}

func statusAsJSON(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	r := command(t, c, "status", "--output", "json")
	var s wire.StatusResponse
	qt.Assert(t, json.Unmarshal([]byte(r.out), &s), qt.IsNil)
	qt.Assert(t, s.Revision, qt.Equals, wire.Revision(2))
	qt.Assert(t, s.CanLoseOne, qt.IsTrue)
	qt.Assert(t, s.Nodes, qt.HasLen, 2)
}

// changed returns the example with another number of partitions.
func changed(t *testing.T) string {
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

// Guards against a wait that ends although a node does not follow, and against
// an unknown outcome that is reported as a failure.
func TestApplyWithoutResponse(t *testing.T) {
	ctx, c := start(t)
	qt.Assert(t, c.Bootstrap(ctx), qt.IsNil)
	qt.Assert(t, c.Apply(ctx, config), qt.IsNil)
	qt.Assert(t, c.WaitReady(ctx), qt.IsNil)
	c.Hosts[0].Node.Pause()
	command(t, c, "apply", config, "--wait", "--wait-timeout", "2s").assert(t, operator.ExitUnavailable, "revision 2 is not in force on catalogue-1")
	c.Hosts[0].Node.Resume()

	for _, r := range c.Replicas {
		r.Pause()
	}
	command(t, c, "apply", config, "--base", "2", "--request-id", "lost", "--timeout", "2s").assert(t, operator.ExitUnknown, "--base 2 --request-id lost")
	for _, r := range c.Replicas {
		r.Resume()
	}
	command(t, c, "apply", config, "--base", "2", "--request-id", "lost").assert(t, operator.ExitOK, "revision 3 accepted")
	command(t, c, "config").assert(t, operator.ExitOK, "// Revision 3.\n")
}

// Guards against a load tool whose flags do not reach it, or that finds broken
// promises where there are none.
func TestBench(t *testing.T) {
	ctx, c := start(t)
	qt.Assert(t, c.Bootstrap(ctx), qt.IsNil)
	qt.Assert(t, c.Apply(ctx, config), qt.IsNil)
	qt.Assert(t, c.WaitReady(ctx), qt.IsNil)
	addresses := string(c.Hosts[0].Caller) + "," + string(c.Hosts[1].Caller)
	targets := string(c.Hosts[0].Target.Addr()) + "," + string(c.Hosts[1].Target.Addr())
	command(t, c, "bench", "--addresses", addresses, "--targets", targets, "--rate", "100", "--duration", "1s",
		"--route", "browse:catalogue:GET:/catalogue/{key}:9", "--route", "reserve:catalogue:POST:/catalogue/{key}:1:once").assert(t, operator.ExitOK, "")
	command(t, c, "bench", "--addresses", addresses, "--route", "browse").assert(t, operator.ExitUsage, "browse")
}
