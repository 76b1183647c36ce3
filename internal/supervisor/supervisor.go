// Package supervisor runs the goroutines of a process as a tree.
//
// A Tree owns its children. A child that returns an error while the tree is
// running is started again after a delay, or ends the whole tree, depending on
// its policy. The tree ends when its context ends or when a child fails for
// good, and reports on Done only after every child has returned, so no
// goroutine outlives its owner.
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

// ErrChildFailed is the error of a child that ended its tree.
var ErrChildFailed = merry.Sentinel("supervised task failed")

// Policy says what follows when a child returns before its context ends.
type Policy int

const (
	// Fatal ends the whole tree when the child returns, with or without an error.
	Fatal Policy = iota
	// Restart starts the child again after restartDelay.
	Restart
	// Once lets the child end; an error still ends the tree.
	Once
)

// restartDelay keeps a child that fails at once from using a whole core.
const restartDelay clock.Millis = 100

// Child is one duty of a process.
type Child struct {
	Name   string
	Run    func(ctx context.Context) error
	Policy Policy
	// OnRestart, if set, is told about each error that leads to a restart.
	OnRestart func(err error)
}

// Tree is a set of running children.
type Tree struct {
	name string
	stop context.CancelFunc
	done chan error
}

// Start runs the children until ctx ends or one of them fails for good.
func Start(ctx context.Context, name string, children ...Child) *Tree {
	ctx, stop := context.WithCancel(ctx)
	t := &Tree{name: name, stop: stop, done: make(chan error, 1)}
	ends := make(chan error, len(children))
	for _, c := range children {
		go func() { ends <- supervise(ctx, c) }()
	}
	go t.collect(ends, len(children))
	return t
}

// Stop asks the children to end. Done reports when they have.
func (t *Tree) Stop() { t.stop() }

// Done yields one value when every child has returned: nil after a stop that
// was asked for, else the first failure.
func (t *Tree) Done() <-chan error { return t.done }

func (t *Tree) collect(ends <-chan error, n int) {
	var first error
	for range n {
		err := <-ends
		if err == nil {
			continue
		}
		if first == nil {
			first = merry.Prepend(err, t.name)
		}
		t.stop()
	}
	t.stop()
	t.done <- first
}

func supervise(ctx context.Context, c Child) error {
	for {
		err := runProtected(ctx, c)
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

// runProtected turns a panic of a child into an error, so that the tree decides
// what follows.
func runProtected(ctx context.Context, c Child) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	return c.Run(ctx)
}
