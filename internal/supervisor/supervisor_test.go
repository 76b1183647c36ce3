package supervisor

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func waitForStop(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func failImmediately(context.Context) error { return errors.New("disk failed") }

func panicImmediately(context.Context) error { panic("index out of range") }

// Guards against a process that continues after one of its tasks has ended, and against
// goroutines that outlive the tree.
func TestTreeEndsWhenAFatalChildEnds(t *testing.T) {
	for name, run := range map[string]func(context.Context) error{
		"error":                failImmediately,
		"panic":                panicImmediately,
		"return without error": func(context.Context) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			tree := Start(t.Context(), "node", Child{Name: "log", Run: run}, Child{Name: "listener", Run: waitForStop})
			err := <-tree.Done()
			qt.Assert(t, errors.Is(err, ErrChildFailed), qt.IsTrue)
		})
	}
}

func TestStopEndsWithoutError(t *testing.T) {
	tree := Start(t.Context(), "node", Child{Name: "listener", Run: waitForStop}, Child{Name: "watch", Run: waitForStop, Policy: Restart})
	tree.Stop()
	qt.Assert(t, <-tree.Done(), qt.IsNil)
}

// Guards against a child that is not restarted after a failure.
func TestRestartRunsAChildAgain(t *testing.T) {
	runs := make(chan int, 2)
	first := true
	run := func(ctx context.Context) error {
		if first {
			first = false
			runs <- 1
			return errors.New("connection refused")
		}
		runs <- 2
		return waitForStop(ctx)
	}
	tree := Start(t.Context(), "node", Child{Name: "watch", Run: run, Policy: Restart})
	qt.Assert(t, <-runs, qt.Equals, 1)
	qt.Assert(t, <-runs, qt.Equals, 2)
	tree.Stop()
	qt.Assert(t, <-tree.Done(), qt.IsNil)
}
