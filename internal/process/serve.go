package process

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// firstRequestWait is how long a stop waits for the first request on
// connections that were accepted just before it. A caller sends it right after
// it connects.
const firstRequestWait = time.Second

// ServeHTTP serves s on l until ctx ends, then shuts it down gracefully: it
// stops accepting and waits up to stopTimeout for requests in flight. It takes
// over the ConnState hook of s.
//
// http.Server.Shutdown alone is not graceful enough: it closes a connection
// without a response when its first request is read after Shutdown began, even
// if the connection was accepted before. So the listener is closed first, and
// Shutdown follows when no connection has a request.
func ServeHTTP(ctx context.Context, l net.Listener, s *http.Server, stopTimeout time.Duration) error {
	return ServeHTTPWithTimeoutFunc(ctx, l, s, func() time.Duration { return stopTimeout })
}

// ServeHTTPWithTimeoutFunc is ServeHTTP with a limit for requests in flight that is asked for when
// ctx has ended.
func ServeHTTPWithTimeoutFunc(ctx context.Context, l net.Listener, s *http.Server, stopTimeout func() time.Duration) error {
	c := &connections{states: make(map[net.Conn]http.ConnState), changed: make(chan struct{})}
	s.ConnState = c.set
	ends := make(chan error, 1)
	go func() { ends <- s.Serve(l) }()
	select {
	case err := <-ends:
		return merry.Wrap(ErrListener, merry.WithCause(err), merry.AppendMessagef("%s: %v", l.Addr(), err))
	case <-ctx.Done():
	}
	_ = l.Close()
	// From here on every accepted connection has a state.
	<-ends
	s.SetKeepAlivesEnabled(false)
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout())
	defer cancel()
	first, stop := context.WithTimeout(stopping, firstRequestWait)
	defer stop()
	c.awaitNone(first, http.StateNew)
	c.awaitNone(stopping, http.StateActive)
	return s.Shutdown(stopping)
}

// connections follows the states of a server's open connections.
type connections struct {
	mu      sync.Mutex
	states  map[net.Conn]http.ConnState
	changed chan struct{}
}

// set is a hook for http.Server.ConnState.
func (c *connections) set(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
	} else {
		c.states[conn] = state
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// awaitNone waits until no connection is in the state, or ctx ends.
func (c *connections) awaitNone(ctx context.Context, state http.ConnState) {
	for {
		count, changed := c.count(state)
		if count == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (c *connections) count(state http.ConnState) (int, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.states {
		if s == state {
			n++
		}
	}
	return n, c.changed
}
