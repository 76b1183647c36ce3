// Command capacity measures how the cost of control grows with the number of
// nodes, partitions and operations, and prints the slopes that docs/CAPACITY.md
// extrapolates from.
//
// Control replicas are real processes. Nodes are stand-ins in this process that
// send the heartbeats and watches of a node and apply what they receive.
//
// # Usage
//
//	go run ./internal/capacity --gentiansail bin/gentiansail --standin bin/standin
//
// The cost of a changed route in a configuration of 100 services and 199 routes:
//
//	go run ./internal/capacity --services 99
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// options are the flags.
type options struct {
	gentiansail string
	standin     string
	sizes       []int
	// partitionsPerNode sets the size of the routing table.
	partitionsPerNode int
	// services is how many services without partitions, with two routes each, the
	// configuration has besides the one that is measured.
	services int
	// wholeConfigurations makes the stand-ins ask as nodes of earlier versions do.
	wholeConfigurations bool
	window              clock.Millis
	rates               []int
	// only names the part to measure; empty measures all.
	only string
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	o := options{gentiansail: "bin/gentiansail", standin: "bin/standin", partitionsPerNode: 16}
	sizes, rates, seconds := "30,100,300", "200,500,1000,2000", 8
	flaggy.SetName("capacity")
	flaggy.SetDescription("measure the cost of control over several sizes")
	flaggy.String(&o.gentiansail, "", "gentiansail", "path of the gentiansail program")
	flaggy.String(&o.standin, "", "standin", "path of the standin program")
	flaggy.String(&sizes, "", "sizes", "numbers of stand-in nodes, at least three")
	flaggy.String(&rates, "", "rates", "operations a second, at least three")
	flaggy.Int(&seconds, "", "seconds", "length of each measurement")
	flaggy.Int(&o.partitionsPerNode, "", "partitions", "partitions for each node")
	flaggy.String(&o.only, "", "only", "part to measure: nodes, operations, requests or tables; all if not given")
	flaggy.Int(&o.services, "", "services", "further services in the configuration, with two routes each")
	flaggy.Bool(&o.wholeConfigurations, "", "whole-configurations", "ask for whole configurations, as nodes of earlier versions do")
	flaggy.Parse()
	var err error
	if o.sizes, err = numbers(sizes); err != nil {
		return err
	}
	if o.rates, err = numbers(rates); err != nil {
		return err
	}
	o.window = clock.Millis(seconds) * 1000
	ctx, stop := process.SignalContext(context.Background())
	defer stop()
	return measure(ctx, o)
}

func numbers(list string) ([]int, error) {
	var out []int
	for _, f := range strings.Split(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(f))
		if err != nil || n <= 0 {
			return nil, fmt.Errorf("%q is not a list of positive numbers", list)
		}
		out = append(out, n)
	}
	if len(out) < 3 {
		return nil, fmt.Errorf("%q has fewer than three sizes", list)
	}
	return out, nil
}

// part is one table of the output.
type part struct {
	name    string
	size    string
	samples func(context.Context, options) ([]sample, error)
}

var parts = []part{
	{"nodes", "nodes", each(func(o options) []int { return o.sizes }, measureNodes)},
	{"operations", "operations/s", each(func(o options) []int { return o.rates }, measureOperations)},
	{"requests", "requests/s over 5 nodes", measureRequests},
	{"tables", "members in a routing table", measureTables},
}

// measure prints the parts that were asked for, or all of them.
func measure(ctx context.Context, o options) error {
	known := false
	for _, p := range parts {
		if o.only != "" && o.only != p.name {
			continue
		}
		known = true
		samples, err := p.samples(ctx, o)
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		printSamples(p.size, samples)
	}
	if !known {
		return fmt.Errorf("no part is named %q", o.only)
	}
	return nil
}

// each measures one quantity at each size.
func each(sizes func(options) []int, one func(context.Context, options, int) (sample, error)) func(context.Context, options) ([]sample, error) {
	return func(ctx context.Context, o options) ([]sample, error) {
		var out []sample
		for _, n := range sizes(o) {
			s, err := one(ctx, o, n)
			if err != nil {
				return nil, fmt.Errorf("at %d: %w", n, err)
			}
			out = append(out, s)
		}
		return out, nil
	}
}

func measureTables(_ context.Context, o options) ([]sample, error) {
	var out []sample
	for _, n := range o.sizes {
		out = append(out, measureTable(n*10, o.partitionsPerNode))
	}
	return out, nil
}

// printSamples prints a table with a line for each quantity: its value at each
// size, its slope and intercept, and how well a line fits.
func printSamples(size string, samples []sample) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(w, "\n%s\t", size)
	for _, s := range samples {
		_, _ = fmt.Fprintf(w, "%.0f\t", s.size)
	}
	_, _ = fmt.Fprintln(w, "slope\tintercept\tR²\t")
	for i, v := range samples[0].values {
		_, _ = fmt.Fprintf(w, "%s\t", v.name)
		var x, y []float64
		for _, s := range samples {
			_, _ = fmt.Fprintf(w, "%.4g\t", s.values[i].value)
			x = append(x, s.size)
			y = append(y, s.values[i].value)
		}
		slope, intercept, fit := line(x, y)
		_, _ = fmt.Fprintf(w, "%.4g\t%.4g\t%.3f\t\n", slope, intercept, fit)
	}
	_ = w.Flush()
}
