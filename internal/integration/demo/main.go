// Command demo demonstrates the promises of gentiansail on one host. It starts a
// small Donation Mesh as real processes, sends requests through every node, simulates
// the loss of a host, performs a planned stop of another, and prints what callers
// received.
//
// # Usage
//
//	make demo
//
// The exit status is 1 if a promise was broken and 2 if the demonstration failed to
// run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/wire"
)

const (
	exitBroken = 1
	exitFailed = 2
	// totalTimeout bounds the whole demonstration.
	totalTimeout = 3 * time.Minute
	// readyTimeout bounds the start, the planned stop, and the wait until every
	// partition has an owner again.
	readyTimeout = 30 * time.Second
	configFolder = "examples/donation-mesh/config"
)

func main() {
	ctx, stop := process.SignalContext(context.Background())
	defer stop()
	os.Exit(run(ctx))
}

func run(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "gentiansail-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err.Error())
		return exitFailed
	}
	d := &demo{}
	if err := d.run(ctx, folder); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err.Error())
		fmt.Fprintln(os.Stderr, "the output of the processes is in", folder)
		return exitFailed
	}
	if !d.summary() {
		fmt.Println("the output of the processes is in", folder)
		return exitBroken
	}
	_ = os.RemoveAll(folder)
	return 0
}

// demo is the state of one demonstration.
type demo struct {
	cluster *cluster.Cluster
	tally   tally
	// operations are all requests that must not repeat.
	operations []*operation
	loss       loss
	planned    plannedStop
	audit      audit
}

func (d *demo) run(ctx context.Context, folder string) error {
	printStep("starting 3 control replicas, 8 nodes and 8 targets in 3 failure domains")
	c, err := cluster.Start(ctx, cluster.Options{
		Gentiansail: filepath.Join("bin", "gentiansail"), Standin: filepath.Join("bin", "standin"),
		Folder: folder, Replicas: 3, Group: "tz",
		Services: map[wire.ServiceName]cluster.Service{
			keyedService: {Targets: 5, ChecksGrants: true}, "pledges": {Targets: 2}, "courier": {Targets: 1},
		},
	})
	if err != nil {
		return err
	}
	defer c.Close()
	d.cluster = c
	if err := d.steps(ctx); err != nil {
		return fmt.Errorf("%w\n%s", err, c.Logs())
	}
	return nil
}

func (d *demo) steps(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"bootstrapping the control group and applying " + configFolder, d.bootstrap},
		{fmt.Sprintf("sending %d keys through every node", keyCount), d.requestAllKeys},
		{"sending requests that must not repeat, and resending each through another node", d.sendOperations},
		{"losing the host that owns " + keyName(0) + ": its node is killed, its target paused", d.loseHost},
		{"performing a planned stop of another host under load", d.stopUnderLoad},
		{"resuming the paused target and reading the recorded runs of every target", d.auditRuns},
	}
	for _, s := range steps {
		printStep("%s", s.name)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

func (d *demo) bootstrap(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.cluster.Bootstrap(ctx); err != nil {
		return err
	}
	if err := d.cluster.Apply(ctx, configFolder); err != nil {
		return err
	}
	return d.cluster.WaitReady(ctx)
}

func printStep(format string, args ...any) {
	fmt.Printf("  "+format+"\n", args...)
}
