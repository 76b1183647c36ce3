// Command capacity measures how the load on the control group grows with the number
// of nodes, partitions and operations. It prints the slopes from which
// docs/CAPACITY.md extrapolates.
//
// Control replicas are real processes. Nodes are stand-ins in this process that
// send the heartbeats and watches of a node and apply what they receive.
//
// # Usage
//
//	go run ./internal/capacity --gentiansail bin/gentiansail --standin bin/standin
//
// To measure a changed route in a configuration of 100 services and 199 routes:
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

// options holds the values of the flags.
type options struct {
	gentiansail string
	standin     string
	sizes       []int
	// partitionsPerNode sets the size of the routing table.
	partitionsPerNode int
	// services is the number of additional services in the configuration. They have
	// two routes each and no partitions.
	services int
	// wholeConfigurations makes the stand-ins request whole configurations instead
	// of changes, as nodes of earlier versions do.
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

// numbers parses a comma-separated list of at least three positive numbers.
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

// part is a measurement that prints one table.
type part struct {
	name    string
	size    string
	samples func(context.Context, options) ([]sample, error)
}

var parts = []part{
	{"nodes", "nodes", forEachSize(func(o options) []int { return o.sizes }, measureNodes)},
	{"operations", "operations/s", forEachSize(func(o options) []int { return o.rates }, measureOperations)},
	{"requests", "requests/s over 5 nodes", measureRequests},
	{"tables", "members in a routing table", measureTables},
}

// measure runs and prints the part named by o.only, or all parts if it is empty.
func measure(ctx context.Context, o options) error {
	found := false
	for _, p := range parts {
		if o.only != "" && o.only != p.name {
			continue
		}
		found = true
		samples, err := p.samples(ctx, o)
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		printSamples(p.size, samples)
	}
	if !found {
		return fmt.Errorf("no part is named %q", o.only)
	}
	return nil
}

// forEachSize returns a function that calls measureOne at each size.
func forEachSize(sizes func(options) []int, measureOne func(context.Context, options, int) (sample, error)) func(context.Context, options) ([]sample, error) {
	return func(ctx context.Context, o options) ([]sample, error) {
		var out []sample
		for _, n := range sizes(o) {
			s, err := measureOne(ctx, o, n)
			if err != nil {
				return nil, fmt.Errorf("at %d: %w", n, err)
			}
			out = append(out, s)
		}
		return out, nil
	}
}

// measureTables measures routing tables with ten members per node of o.sizes.
func measureTables(_ context.Context, o options) ([]sample, error) {
	var out []sample
	for _, n := range o.sizes {
		out = append(out, measureTable(n*10, o.partitionsPerNode))
	}
	return out, nil
}

// printSamples prints a table with a row for each quantity: its value at each
// size, and the slope, intercept and R² of the fitted line.
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
		slope, intercept, rSquared := fitLine(x, y)
		_, _ = fmt.Fprintf(w, "%.4g\t%.4g\t%.3f\t\n", slope, intercept, rSquared)
	}
	_ = w.Flush()
}
