package process

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/transport/inbound"
)

// firstRequestTimeout limits how long a planned stop waits for the first request on
// connections that were accepted just before the stop. Callers send a request right
// after connecting.
const firstRequestTimeout = time.Second

// ServeHTTP serves s on l until ctx ends, then shuts s down gracefully: it stops
// accepting connections and waits up to stopTimeout for requests in flight. It replaces
// the ConnState hook of s and wraps its handler and its ConnContext hook.
//
// http.Server.Shutdown alone is not graceful enough: it closes a connection without a
// response if the first request is read after the start of Shutdown, even if the
// connection was accepted earlier. ServeHTTP therefore closes the listener first, and
// calls Shutdown when no connection has a request.
func ServeHTTP(ctx context.Context, l net.Listener, s *http.Server, stopTimeout time.Duration) error {
	return ServeHTTPWithTimeoutFunc(ctx, l, s, func() time.Duration { return stopTimeout })
}

// ServeHTTPWithTimeoutFunc is like ServeHTTP, but calls stopTimeout when ctx has ended
// to get the time limit for requests in flight.
func ServeHTTPWithTimeoutFunc(ctx context.Context, l net.Listener, s *http.Server, stopTimeout func() time.Duration) error {
	resetIncomplete(s)
	conns := &connTracker{states: make(map[net.Conn]http.ConnState), changed: make(chan struct{})}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		inbound.ConnState(c, state)
		conns.setState(c, state)
	}
	// net/http would answer "OPTIONS *" itself. A handler that follows the requests of a
	// connection would take that one for unanswered, and hand over no further request.
	s.DisableGeneralOptionsHandler = true
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(l) }()
	select {
	case err := <-serveErr:
		return merry.Wrap(ErrListener, merry.WithCause(err), merry.AppendMessagef("%s: %v", l.Addr(), err))
	case <-ctx.Done():
	}
	_ = l.Close()
	// After Serve has returned, every accepted connection has a state.
	<-serveErr
	s.SetKeepAlivesEnabled(false)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout())
	defer cancel()
	firstRequestCtx, cancelFirstRequest := context.WithTimeout(stopCtx, firstRequestTimeout)
	defer cancelFirstRequest()
	conns.waitForNone(firstRequestCtx, http.StateNew)
	conns.waitForNone(stopCtx, http.StateActive)
	return s.Shutdown(stopCtx)
}

type connKey struct{}

// resetIncomplete makes the connection of an HTTP/1.0 request end with a reset until the
// handler has returned. A response to it may have no length and end with the connection, so a
// part of it would look complete if the connection ended regularly: because the handler aborts
// the response, because something else closes the connection, or because the process ends.
func resetIncomplete(s *http.Server) {
	handler, connContext := s.Handler, s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			handler.ServeHTTP(w, r)
			return
		}
		c, ok := r.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
		if ok {
			_ = c.SetLinger(0) // TCP connections refuse it only once they are closed
		}
		handler.ServeHTTP(w, r)
		if ok {
			_ = c.SetLinger(-1)
		}
	})
}

// connTracker tracks the states of a server's open connections.
type connTracker struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
	// changed is closed and replaced at each change of a state.
	changed chan struct{}
}

// setState records the state of a connection. It is a hook for http.Server.ConnState.
func (c *connTracker) setState(conn net.Conn, state http.ConnState) {
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

// waitForNone waits until no connection is in the state or ctx ends.
func (c *connTracker) waitForNone(ctx context.Context, state http.ConnState) {
	for {
		count, changed := c.countInState(state)
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

// countInState returns the number of connections in a state, and a channel that is closed
// at the next change.
func (c *connTracker) countInState(state http.ConnState) (int, <-chan struct{}) {
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
