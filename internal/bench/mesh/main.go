// Command mesh measures a whole system of real processes on loopback. It starts a
// small Donation Mesh, sends load to the nodes of one service, and prints the
// report of the load tool. During the run it kills one host, slows down one
// target, or kills half of the targets and restarts them.
//
// # Usage
//
//	make build
//	go run ./internal/bench/mesh -service catalogue -event loss
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/bench"
	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// errMesh means that the system could not be started or measured.
var errMesh = merry.Sentinel("cannot measure the system")

const (
	configFolder = "examples/donation-mesh/config"
	startTimeout = 2 * time.Minute
	// slowFactor multiplies a target's service time during the event slow.
	slowFactor = 6
	// affected is the index of the host that the events loss and slow affect.
	affected = 2
	// hostCount is the number of hosts of the measured service. The event half uses
	// evenHostCount, so that half of the targets is a whole number.
	hostCount     = 5
	evenHostCount = 6
)

// run is one measurement.
type run struct {
	service string
	event   string
	bin     string
	// serviceMillis is the service time of the targets.
	serviceMillis int
	load          bench.Options
}

func main() {
	r := run{load: bench.Options{Keys: 1000, Skew: 0.9, Seed: 1}}
	flag.StringVar(&r.service, "service", "catalogue", "catalogue or pledges")
	flag.StringVar(&r.event, "event", "", "loss, slow, half or empty")
	flag.StringVar(&r.bin, "bin", "bin", "folder of the programs")
	flag.Float64Var(&r.load.Rate, "rate", 300, "requests per second")
	flag.IntVar(&r.serviceMillis, "work", 10, "service time of the targets in milliseconds")
	duration := flag.Duration("duration", 15*time.Second, "length of the run; the event begins after a third, and slow or lost targets of the events slow and half recover after another")
	flag.StringVar(&r.load.PlotFile, "plot", "", "SVG file to write")
	flag.Parse()
	r.load.Duration = clock.FromDuration(*duration)
	ctx, stop := process.SignalContext(context.Background())
	defer stop()
	if err := r.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (r run) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout+r.load.Duration.Duration())
	defer cancel()
	folder, err := os.MkdirTemp("", "gentiansail-mesh-")
	if err != nil {
		return merry.Wrap(errMesh, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	defer func() { _ = os.RemoveAll(folder) }()
	c, err := cluster.Start(ctx, r.system(folder))
	if err != nil {
		return merry.Wrap(errMesh, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	defer c.Close()
	if err := bootstrap(ctx, c); err != nil {
		return merry.Wrap(errMesh, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	hosts := r.hosts(c)
	go r.injectEvent(ctx, hosts)
	return bench.Run(ctx, r.options(c, hosts), os.Stdout)
}

// system returns the options of a cluster with hostCount (for the event half:
// evenHostCount) hosts for the measured service, and one host for each other keyed
// service of the configuration, because a keyed service needs an owner to be ready.
func (r run) system(folder string) cluster.Options {
	s := cluster.Service{Targets: 1, Slots: 10, ChecksGrants: true, Arguments: []string{"--service-millis", fmt.Sprint(r.serviceMillis)}}
	services := map[wire.ServiceName]cluster.Service{"catalogue": s}
	s.Targets = hostCount
	if r.event == "half" {
		s.Targets = evenHostCount
	}
	services[wire.ServiceName(r.service)] = s
	return cluster.Options{Gentiansail: r.bin + "/gentiansail", Standin: r.bin + "/standin", Folder: folder, Replicas: 3, Services: services}
}

// bootstrap forms the control group, applies the configuration and waits until the
// system is ready.
func bootstrap(ctx context.Context, c *cluster.Cluster) error {
	if err := c.Bootstrap(ctx); err != nil {
		return err
	}
	if err := c.Apply(ctx, configFolder); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

// hosts returns the hosts of the measured service.
func (r run) hosts(c *cluster.Cluster) []*cluster.Host {
	var all []*cluster.Host
	for _, h := range c.Hosts {
		if string(h.Service) == r.service {
			all = append(all, h)
		}
	}
	return all
}

// options returns the load options. They omit the host that the event loss kills,
// because callers of its node would lose their connection to the node, and that is
// not what is measured.
func (r run) options(c *cluster.Cluster, hosts []*cluster.Host) bench.Options {
	o := r.load
	operator := c.Operator()
	o.Group, o.Control = operator.Group, operator.Control
	for i, h := range hosts {
		if i == affected && r.event == "loss" {
			continue
		}
		o.Addresses = append(o.Addresses, string(h.Caller))
		o.Targets = append(o.Targets, string(h.Target.Addr()))
	}
	path := "/" + r.service + "/{key}"
	o.Routes = []bench.Route{
		{Name: "read", Service: r.service, Method: http.MethodGet, Path: path, Weight: 8, Repeatable: true},
		{Name: "write", Service: r.service, Method: http.MethodPost, Path: path, Weight: 2},
	}
	return o
}

// injectEvent waits for a third of the run and then causes the event. The events
// slow and half end after another third.
func (r run) injectEvent(ctx context.Context, hosts []*cluster.Host) {
	h := hosts[affected]
	c := clock.System()
	if c.Sleep(ctx, r.load.Duration/3) != nil {
		return
	}
	switch r.event {
	case "loss":
		h.Node.Kill()
		h.Target.Kill()
	case "slow":
		setServiceTime(h, slowFactor*r.serviceMillis)
		_ = c.Sleep(ctx, r.load.Duration/3)
		setServiceTime(h, r.serviceMillis)
	case "half":
		lost := hosts[:len(hosts)/2]
		for _, h := range lost {
			h.Target.Kill()
		}
		_ = c.Sleep(ctx, r.load.Duration/3)
		for _, h := range lost {
			if err := h.Target.Start(ctx); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
	}
}

// setServiceTime changes the service time of the host's stand-in target.
func setServiceTime(h *cluster.Host, millis int) {
	response, err := http.Post(fmt.Sprintf("http://%s/standin/set?work=%d", h.Target.Addr(), millis), "", nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot change the target's service time:", err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
