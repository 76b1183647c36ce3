// Package link opens TCP connections that fail soon after the peer becomes unreachable.
//
// An established connection may stop carrying packets permanently while new connections to
// the same host work. Such a connection is closed within about two seconds: sent bytes that
// are not acknowledged end it, and so do unanswered keep-alive probes while it waits for a
// response.
//
// # Usage
//
//	pool := exchange.NewPool(exchange.Options{Dial: link.Dial})
package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to connect to a host that does not respond.
	dialTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout bounds how long sent bytes and probes may stay unacknowledged.
	// It allows for two retransmissions on a link that loses packets.
	unacknowledgedTimeout = 1200 * time.Millisecond
	// keepAliveIdle is the time without traffic before the first keep-alive probe, and
	// keepAliveInterval the time between probes. The kernel accepts whole seconds only.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
)

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 2},
	Control: func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	},
}

// Dial connects to an address of the form IP:port.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}
