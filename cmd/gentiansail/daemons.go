package main

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/operator"
	"github.com/gentiansail/gentiansail/internal/settings"
)

func runControl(ctx context.Context, file string) error {
	s, err := settings.LoadControl(file)
	if err != nil {
		return settingsError(err)
	}
	_ = s
	return merry.New("not part of this build")
}

func runNode(ctx context.Context, file string) error {
	s, err := settings.LoadNode(file)
	if err != nil {
		return settingsError(err)
	}
	_ = s
	return merry.New("not part of this build")
}

// settingsError gives wrong settings the exit code of a wrong command line, so
// that a process manager does not start the process again.
func settingsError(err error) error {
	return merry.Wrap(operator.ErrUsage, merry.WithMessage(err.Error()))
}
