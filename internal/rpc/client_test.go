package rpc

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
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

// Guards against connections over a congested link that are closed while responses are on their
// way: each new connection takes as long.
func TestKeepSilentWaitsForLateResponses(t *testing.T) {
	address, _ := startServer(t)
	slow, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer slow.Close()
	go func() {
		for {
			client, err := slow.Accept()
			if err != nil {
				return
			}
			go func() {
				defer client.Close()
				time.Sleep((clientIdleTimeout + 350).Duration())
				server, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				defer server.Close()
				go func() { _, _ = io.Copy(server, client) }()
				_, _ = io.Copy(client, server)
			}()
		}
	}()
	for name, tt := range map[string]struct {
		mayBeSilent func(clock.Millis) bool
		want        error
	}{
		"congested":       {mayBeSilent: func(silent clock.Millis) bool { return silent < 10_000 }},
		"not congested":   {mayBeSilent: func(clock.Millis) bool { return false }, want: ErrLost},
		"silent too long": {mayBeSilent: func(silent clock.Millis) bool { return silent < clientIdleTimeout }, want: ErrLost},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewClient(slow.Addr().String())
			defer c.Close()
			c.KeepSilent(tt.mayBeSilent)
			_, err := Call[greeting](t.Context(), c, "Greet", greeting{Name: "x"})
			qt.Check(t, errors.Is(err, tt.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
