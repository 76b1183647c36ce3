package main

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/operator"
)

// Guards against exit codes by which a script cannot distinguish a wrong command
// line, a rejected command and an unreachable control group.
func TestExitCodes(t *testing.T) {
	t.Setenv(controlVariable, "")
	t.Setenv(groupVariable, "")
	unreachable := []string{"--group", "tz", "--control", "127.0.0.1:1", "--timeout", "300ms"}
	tests := map[string]struct {
		args []string
		want int
	}{
		"no command":         {nil, operator.ExitUsage},
		"not a number":       {[]string{"audit", "--limit", "x"}, operator.ExitUsage},
		"no group":           {[]string{"status"}, operator.ExitUsage},
		"no address":         {[]string{"status", "--group", "tz"}, operator.ExitUsage},
		"unknown output":     {append(unreachable, "--output", "xml", "status"), operator.ExitUsage},
		"missing settings":   {[]string{"node", "--settings", filepath.Join(t.TempDir(), "none")}, operator.ExitUsage},
		"broken folder":      {[]string{"validate", "../../examples/broken/routes"}, operator.ExitRejected},
		"no control replica": {append(unreachable, "status"), operator.ExitUnavailable},
		"load without nodes": {[]string{"bench"}, operator.ExitUsage},
		"policies, no trace": {[]string{"bench", "policies", "--trace", "none"}, operator.ExitOK},
		"flags after":        {append([]string{"quarantine", "list"}, unreachable...), operator.ExitUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, run(test.args), qt.Equals, test.want)
		})
	}
}
