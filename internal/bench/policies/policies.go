// Package policies compares gentiansail's decision functions with baselines on
// model runs.
//
// A model run is an event-driven simulation of targets with slots and service
// times, of ingress nodes that see only their own observations, and of callers
// with deadlines. It is not a run of the cluster: there are no processes, no
// log and no leases, and the time until nodes learn of a membership change is
// assumed. The same seed gives the same result on every host.
//
// The decision functions are those of pkg/copies, pkg/limit, pkg/retry, pkg/balance,
// pkg/partition and pkg/hotkey, driven by the model's clock.
//
// # Usage
//
//	err := policies.Run(ctx, policies.Options{}, os.Stdout)
package policies

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrOutput means that the table could not be written.
var ErrOutput = merry.Sentinel("cannot write comparison")

// defaultSeeds is the number of runs whose mean is reported.
const defaultSeeds = 5

// Options selects what is compared.
type Options struct {
	// Seed is the first seed.
	Seed uint64
	// Seeds is the number of runs of each policy, with consecutive seeds. The table
	// shows their means. Zero means 5.
	Seeds int
	// Trace, if set, selects the traces whose name contains it.
	Trace string
}

// Run simulates each policy on each trace and writes one Markdown table for each
// trace. It stops with the context's error when ctx ends.
func Run(ctx context.Context, o Options, w io.Writer) error {
	if o.Seeds <= 0 {
		o.Seeds = defaultSeeds
	}
	for _, t := range traces() {
		if !strings.Contains(t.name, o.Trace) {
			continue
		}
		if _, err := fmt.Fprintf(w, "### %s\n\n%s\n\n%s", t.name, t.about, tableHead); err != nil {
			return merry.Wrap(ErrOutput, merry.WithCause(err))
		}
		for _, p := range t.policies {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if _, err := io.WriteString(w, row(p.name, runSeeds(t, p, o))); err != nil {
				return merry.Wrap(ErrOutput, merry.WithCause(err))
			}
		}
		if _, err := io.WriteString(w, "\n"); err != nil {
			return merry.Wrap(ErrOutput, merry.WithCause(err))
		}
	}
	return runCopies(ctx.Err, o, w)
}

// runSeeds runs all seeds concurrently and returns the means. Runs share no state, so
// the result does not depend on their order.
func runSeeds(t trace, p policy, o Options) result {
	results := make([]result, o.Seeds)
	var running sync.WaitGroup
	for i := range o.Seeds {
		running.Go(func() { results[i] = simulate(t, p, o.Seed+uint64(i)) })
	}
	running.Wait()
	var sum result
	for _, r := range results {
		sum = sum.add(r)
	}
	return sum.dividedBy(float64(o.Seeds))
}
