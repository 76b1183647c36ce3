package control

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// confirmer shares rounds that confirm leadership among calls. A round
// completes all calls that wait when it begins. A call that arrives during a
// round waits for the next one, because a round must begin after the call that
// it completes.
type confirmer struct {
	confirm func(ctx context.Context) (wire.Version, error)
	// onRound is called at the start of each round.
	onRound func()
	// wake starts a round.
	wake chan struct{}
	// stopped is closed when no more rounds take place.
	stopped chan struct{}

	mu sync.Mutex
	// next is the round that has not begun, or nil if no call waits for it.
	next *round
}

type round struct {
	done chan struct{}
	err  error
}

func newConfirmer(confirm func(context.Context) (wire.Version, error), onRound func()) *confirmer {
	return &confirmer{confirm: confirm, onRound: onRound, wake: make(chan struct{}, 1), stopped: make(chan struct{})}
}

// wait waits for the end of a round that begins after this call, and returns
// its error.
func (c *confirmer) wait(ctx context.Context) error {
	r := c.join()
	select {
	case <-r.done:
		return r.err
	case <-c.stopped:
		return merry.Wrap(ErrNotLeader, merry.AppendMessage("this replica is stopping"))
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the next round to begin.
func (c *confirmer) join() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
		c.wake <- struct{}{}
	}
	return c.next
}

// takeNext returns the next round, so that later calls join another one.
func (c *confirmer) takeNext() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.next
	c.next = nil
	return r
}

// run performs rounds until ctx ends. It is called once.
func (c *confirmer) run(ctx context.Context) error {
	defer close(c.stopped)
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return nil
		}
		r := c.takeNext()
		c.onRound()
		r.err = c.confirmOnce(ctx)
		close(r.done)
	}
}

func (c *confirmer) confirmOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
	defer cancel()
	_, err := c.confirm(ctx)
	return err
}
