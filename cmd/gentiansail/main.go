// Command gentiansail runs the router's control replicas and nodes, the operator
// commands and the load tool.
//
// # Usage
//
//	gentiansail control --settings control.jsonc
//	gentiansail node --settings node.jsonc
//	gentiansail --help
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/gentiansail/gentiansail/internal/operator"
	"github.com/gentiansail/gentiansail/internal/process"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	c := newCommandLine()
	if err := c.parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "gentiansail:", err)
		return operator.ExitUsage
	}
	ctx, stop := process.SignalContext(context.Background())
	defer stop()
	for _, entry := range c.commands {
		if entry.subcommand.Used {
			err := entry.run(ctx)
			c.session().Report(err)
			return operator.ExitCode(err)
		}
	}
	c.parser.ShowHelpWithMessage("no command given")
	return operator.ExitUsage
}
