// Package supervisor runs the goroutines of a process as a tree.
//
// A Tree owns its children. If a child returns an error while the tree is running, the
// child is restarted after a delay or the whole tree stops, depending on the child's
// policy. The tree stops when its context ends or a child fails permanently. Done
// reports only after all children have returned, so that no goroutine outlives its
// tree.
//
// # Usage
//
//	t := supervisor.Start(ctx, "node",
//		supervisor.Child{Name: "heartbeat", Run: h.run, Policy: supervisor.Restart},
//		supervisor.Child{Name: "listener", Run: l.run, Policy: supervisor.Fatal},
//	)
//	err := <-t.Done()
package supervisor

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// ErrChildFailed means that a child failed and its tree stopped.
var ErrChildFailed = merry.Sentinel("supervised task failed")

// Policy determines what happens when a child returns before its context ends.
type Policy int

const (
	// Fatal stops the whole tree when the child returns, with or without an error.
	Fatal Policy = iota
	// Restart restarts the child after restartDelay.
	Restart
	// Once lets the child return without an error. An error stops the tree.
	Once
)

// restartDelay prevents a child that fails immediately from using a whole core.
const restartDelay clock.Millis = 100

// Child is one task of a process.
type Child struct {
	Name   string
	Run    func(ctx context.Context) error
	Policy Policy
	// OnRestart, if set, is called before each restart with the error of the child, which
	// is nil if the child returned without an error.
	OnRestart func(err error)
}

// Tree is a set of running children.
type Tree struct {
	name string
	stop context.CancelFunc
	done chan error
}

// Start runs the children until ctx ends or one of them fails permanently.
func Start(ctx context.Context, name string, children ...Child) *Tree {
	ctx, stop := context.WithCancel(ctx)
	t := &Tree{name: name, stop: stop, done: make(chan error, 1)}
	results := make(chan error, len(children))
	for _, c := range children {
		go func() { results <- supervise(ctx, c) }()
	}
	go t.collectResults(results, len(children))
	return t
}

// Stop cancels the context of the children without waiting for them to return; see
// Done.
func (t *Tree) Stop() { t.stop() }

// Done yields one value when all children have returned: nil after Stop or the end of
// the context, otherwise the first failure.
func (t *Tree) Done() <-chan error { return t.done }

// collectResults waits for the results of n children. The first error stops the tree.
func (t *Tree) collectResults(results <-chan error, n int) {
	var firstErr error
	for range n {
		err := <-results
		if err == nil {
			continue
		}
		if firstErr == nil {
			firstErr = merry.Prepend(err, t.name)
		}
		t.stop()
	}
	t.stop()
	t.done <- firstErr
}

// supervise runs a child, with restarts, until its policy or ctx ends it. It returns an
// error if the tree has to stop.
func supervise(ctx context.Context, c Child) error {
	for {
		err := runRecovered(ctx, c)
		if ctx.Err() != nil {
			return nil
		}
		switch {
		case c.Policy == Once && err == nil:
			return nil
		case c.Policy != Restart:
			return merry.Wrap(ErrChildFailed, merry.WithCause(err), merry.AppendMessagef("%s: %v", c.Name, err))
		}
		if c.OnRestart != nil {
			c.OnRestart(err)
		}
		if clock.System().Sleep(ctx, restartDelay) != nil {
			return nil
		}
	}
}

// runRecovered runs a child and converts a panic into an error, so that the child's
// policy applies to it.
func runRecovered(ctx context.Context, c Child) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	return c.Run(ctx)
}
