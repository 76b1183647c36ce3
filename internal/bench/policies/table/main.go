// Command table prints the policy comparison of package policies.
//
// # Usage
//
//	go run ./internal/bench/policies/table -seed 1 -seeds 5
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/gentiansail/gentiansail/internal/bench/policies"
	"github.com/gentiansail/gentiansail/internal/process"
)

func main() {
	var o policies.Options
	flag.Uint64Var(&o.Seed, "seed", 1, "first seed")
	flag.IntVar(&o.Seeds, "seeds", 0, "runs of each policy")
	flag.StringVar(&o.Trace, "trace", "", "part of the names of the traces to run")
	flag.Parse()
	ctx, stop := process.SignalContext(context.Background())
	defer stop()
	if err := policies.Run(ctx, o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
