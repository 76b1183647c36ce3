// Command mesh measures a whole system of real processes on loopback: it starts
// a small Donation Mesh, sends load to the nodes of one service, lets one host
// fail or become slow, or half of the targets fail and return, and prints the
// report of the load tool.
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

// errMesh is the error of a system that could not be measured.
var errMesh = merry.Sentinel("cannot measure the system")

const (
	configFolder = "examples/donation-mesh/config"
	startTimeout = 2 * time.Minute
	// slowFactor is how much slower a target becomes.
	slowFactor = 6
	// affected is the index of the host that the event happens to.
	affected = 2
	// hosts of the measured service, and their number when half of the targets
	// are lost.
	hostCount     = 5
	evenHostCount = 6
)

// run is one measurement.
type run struct {
	service string
	event   string
	bin     string
	// work is the service time of the targets in milliseconds.
	work int
	load bench.Options
}

func main() {
	r := run{load: bench.Options{Keys: 1000, Skew: 0.9, Seed: 1}}
	flag.StringVar(&r.service, "service", "catalogue", "catalogue or pledges")
	flag.StringVar(&r.event, "event", "", "loss, slow, half or empty")
	flag.StringVar(&r.bin, "bin", "bin", "folder of the programs")
	flag.Float64Var(&r.load.Rate, "rate", 300, "requests per second")
	flag.IntVar(&r.work, "work", 10, "service time of the targets in milliseconds")
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
	if err := found(ctx, c); err != nil {
		return merry.Wrap(errMesh, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	hosts := r.hosts(c)
	go r.happen(ctx, hosts)
	return bench.Run(ctx, r.options(c, hosts), os.Stdout)
}

// system has hostCount hosts for the measured service, and one for each other keyed
// service of the configuration, which needs an owner to be ready.
func (r run) system(folder string) cluster.Options {
	s := cluster.Service{Targets: 1, Slots: 10, ChecksGrants: true, Arguments: []string{"--service-millis", fmt.Sprint(r.work)}}
	services := map[wire.ServiceName]cluster.Service{"catalogue": s}
	s.Targets = hostCount
	if r.event == "half" {
		s.Targets = evenHostCount
	}
	services[wire.ServiceName(r.service)] = s
	return cluster.Options{Gentiansail: r.bin + "/gentiansail", Standin: r.bin + "/standin", Folder: folder, Replicas: 3, Services: services}
}

func found(ctx context.Context, c *cluster.Cluster) error {
	if err := c.Bootstrap(ctx); err != nil {
		return err
	}
	if err := c.Apply(ctx, configFolder); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

func (r run) hosts(c *cluster.Cluster) []*cluster.Host {
	var all []*cluster.Host
	for _, h := range c.Hosts {
		if string(h.Service) == r.service {
			all = append(all, h)
		}
	}
	return all
}

// options leave out a host that will be lost: callers connected to its node see
// the loss of that connection, which is not what is measured.
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

func (r run) happen(ctx context.Context, hosts []*cluster.Host) {
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
		setWork(h, slowFactor*r.work)
		_ = c.Sleep(ctx, r.load.Duration/3)
		setWork(h, r.work)
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

func setWork(h *cluster.Host, millis int) {
	response, err := http.Post(fmt.Sprintf("http://%s/standin/set?work=%d", h.Target.Addr(), millis), "", nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot change the target's service time:", err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
