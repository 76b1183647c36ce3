package main

import (
	"context"
	"errors"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"

	"github.com/gentiansail/gentiansail/internal/bench"
	"github.com/gentiansail/gentiansail/internal/bench/policies"
	"github.com/gentiansail/gentiansail/internal/operator"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// benchFlags holds the flag values of the bench command and its subcommand policies.
type benchFlags struct {
	addresses, targets     string
	routes                 []string
	rate, skew             float64
	duration, window       time.Duration
	keys, callers, workers int
	seed                   uint64
	plot                   string
	policies               policies.Options
}

func (c *commandLine) addBench() {
	b := &c.bench
	// A nested subcommand must come before its parent in c.commands: the parser marks
	// both as used, and run executes the first one that is.
	policiesCommand := flaggy.NewSubcommand("policies")
	c.commands = append(c.commands, commandEntry{subcommand: policiesCommand, run: c.runPolicies})
	s := c.add("bench", "send load to nodes, check each response, and report; with --control also how many keys moved", c.runBench)
	s.String(&b.addresses, "", "addresses", "caller listeners of the nodes, separated by commas")
	s.StringSlice(&b.routes, "", "route", "name:service:method:path:weight, with :once if it must not repeat and {key} in the path; repeat the flag for a mix")
	s.Float64(&b.rate, "", "rate", "requests per second")
	s.Duration(&b.duration, "", "duration", "length of the run")
	s.Int(&b.keys, "", "keys", "number of different keys")
	s.Float64(&b.skew, "", "skew", "exponent of the Zipf distribution of the keys; 0 makes all equally frequent")
	s.Int(&b.callers, "", "callers", "number of different callers")
	s.Int(&b.workers, "", "workers", "requests in flight at most")
	s.UInt64(&b.seed, "", "seed", "seed of the random choices")
	s.Duration(&b.window, "", "window", "length of the time windows of the report")
	s.String(&b.targets, "", "targets", "stand-in targets whose record is checked afterwards, separated by commas")
	s.String(&b.plot, "", "plot", "SVG file to write")
	policiesCommand.Description = "compare the decision functions with baselines on model runs, without processes, and print Markdown tables"
	policiesCommand.UInt64(&b.policies.Seed, "", "seed", "first seed")
	policiesCommand.Int(&b.policies.Seeds, "", "seeds", "runs of each policy, whose means are printed; 0 means 5")
	policiesCommand.String(&b.policies.Trace, "", "trace", "run only the traces whose names contain this text")
	s.AttachSubcommand(policiesCommand, 1)
}

func (c *commandLine) runPolicies(ctx context.Context) error {
	return policies.Run(ctx, c.bench.policies, os.Stdout)
}

func (c *commandLine) runBench(ctx context.Context) error {
	o := c.bench.options()
	o.Format = bench.Format(c.output)
	if c.control != "" {
		session := c.session()
		if err := session.Configure(c.control); err != nil {
			return err
		}
		o.Group, o.Control = session.Group, session.Control
	}
	for _, r := range c.bench.routes {
		route, err := bench.ParseRoute(r)
		if err != nil {
			return merry.Wrap(operator.ErrUsage, merry.WithMessage(err.Error()))
		}
		o.Routes = append(o.Routes, route)
	}
	err := bench.Run(ctx, o, os.Stdout)
	switch {
	case errors.Is(err, bench.ErrOptions):
		return merry.Wrap(operator.ErrUsage, merry.WithMessage(err.Error()))
	case errors.Is(err, bench.ErrPromise):
		return merry.Wrap(operator.ErrRejected, merry.WithMessage(err.Error()))
	}
	return err
}

func (b *benchFlags) options() bench.Options {
	return bench.Options{
		Addresses: splitList(b.addresses), Targets: splitList(b.targets), Rate: b.rate, Skew: b.skew,
		Duration: clock.FromDuration(b.duration), Window: clock.FromDuration(b.window),
		Keys: b.keys, Callers: b.callers, Workers: b.workers, Seed: b.seed, PlotFile: b.plot,
	}
}

// splitList splits s at commas and spaces.
func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' || r == ' ' })
}
