package main

import (
	"context"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/config"
	"github.com/gentiansail/gentiansail/internal/control"
	"github.com/gentiansail/gentiansail/internal/node"
	"github.com/gentiansail/gentiansail/internal/operator"
	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/settings"
)

func runControl(ctx context.Context, file string) error {
	s, err := settings.LoadControl(file)
	if err != nil {
		return settingsError(err)
	}
	r := control.Runner{Validate: config.Validate}
	return r.Run(ctx, s, process.NewLogger(os.Stderr, "control", string(s.Name)))
}

func runNode(ctx context.Context, file string) error {
	s, err := settings.LoadNode(file)
	if err != nil {
		return settingsError(err)
	}
	process.TuneGC()
	return node.Run(ctx, s, process.NewLogger(os.Stderr, "node", string(s.Name)))
}

// settingsError reports invalid settings as ErrUsage. Its exit code keeps a process
// manager from restarting the process.
func settingsError(err error) error {
	return merry.Wrap(operator.ErrUsage, merry.WithMessage(err.Error()))
}
