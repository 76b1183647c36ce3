package rpc

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a client that never connects over a congested link, because it gives up
// each connection before it is established.
func TestSlowConnectionServesLaterCalls(t *testing.T) {
	address, _ := startServer(t)
	c := NewClient(address)
	defer c.Close()
	const delay = 2 * dialTimeout
	var dials atomic.Int32
	c.dial = func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		select {
		case <-time.After(delay.Duration()):
			return dialTCP(ctx, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	start := time.Now()
	_, err := Call[greeting](t.Context(), c, "Greet", greeting{Name: "x"})
	qt.Assert(t, errors.Is(err, ErrConnect), qt.IsTrue)
	// A caller has to be able to ask another server meanwhile.
	qt.Assert(t, time.Since(start) < delay.Duration(), qt.IsTrue)
	failed := 1
	for err != nil && failed < 10 {
		_, err = Call[greeting](t.Context(), c, "Greet", greeting{Name: "x"})
		failed++
	}
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, failed <= 3, qt.IsTrue, qt.Commentf("%d calls", failed))
	qt.Assert(t, c.Connected(), qt.IsTrue)
	// Dials that end later must not replace the connection that calls use.
	conn := c.conn
	time.Sleep(delay.Duration())
	c.mu.Lock()
	defer c.mu.Unlock()
	qt.Assert(t, c.conn, qt.Equals, conn)
	qt.Assert(t, dials.Load() <= 3, qt.IsTrue)
}

// Guards against connections that stay open because they are established after the client
// was closed.
func TestLateConnectionOfClosedClient(t *testing.T) {
	c := NewClient("unused")
	ended := make(chan error, 1)
	c.dial = func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, ctx.Err()
	}
	_, err := Call[greeting](t.Context(), c, "Greet", greeting{})
	qt.Assert(t, errors.Is(err, ErrConnect), qt.IsTrue)
	c.Close()
	qt.Assert(t, <-ended, qt.Equals, context.Canceled)
	_, err = Call[greeting](t.Context(), c, "Greet", greeting{})
	qt.Assert(t, errors.Is(err, ErrConnect), qt.IsTrue)
}
