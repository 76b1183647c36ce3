package control

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// confirmer shares confirmation rounds: all calls that wait when a round begins
// are answered by it. A call that arrives during a round waits for the next one,
// because its round must begin after it arrived.
type confirmer struct {
	confirm func(ctx context.Context) (wire.Version, error)
	counted func()
	wake    chan struct{}
	// ended is closed when no more rounds take place.
	ended chan struct{}

	mu   sync.Mutex
	next *round
}

type round struct {
	done chan struct{}
	err  error
}

func newConfirmer(confirm func(context.Context) (wire.Version, error), counted func()) *confirmer {
	return &confirmer{confirm: confirm, counted: counted, wake: make(chan struct{}, 1), ended: make(chan struct{})}
}

// wait returns after a round that began after the call.
func (c *confirmer) wait(ctx context.Context) error {
	r := c.join()
	select {
	case <-r.done:
		return r.err
	case <-c.ended:
		return merry.Wrap(ErrNotLeader, merry.AppendMessage("this replica is ending"))
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *confirmer) join() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
		c.wake <- struct{}{}
	}
	return c.next
}

func (c *confirmer) take() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.next
	c.next = nil
	return r
}

// run performs rounds until ctx ends. It is called once.
func (c *confirmer) run(ctx context.Context) error {
	defer close(c.ended)
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return nil
		}
		r := c.take()
		c.counted()
		r.err = c.perform(ctx)
		close(r.done)
	}
}

func (c *confirmer) perform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
	defer cancel()
	_, err := c.confirm(ctx)
	return err
}
