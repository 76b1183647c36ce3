// Package link opens connections that notice when the other end has gone silent.
//
// An open connection may lose its way for good while new ones work. Bytes that are
// not acknowledged, and keep-alive probes on a connection that waits for an answer,
// end it within about two seconds.
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
	// dialTimeout bounds connecting to a host that does not answer.
	dialTimeout = 400 * time.Millisecond
	// userTimeout bounds how long sent bytes and probes may stay unacknowledged. It
	// leaves room for two retransmissions over a link that loses packets.
	userTimeout = 1200 * time.Millisecond
	// probeAfter and probeEvery are the times of keep-alive probes on a connection
	// without traffic; the kernel takes whole seconds.
	probeAfter = time.Second
	probeEvery = time.Second
)

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: 2},
	Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	},
}

// Dial connects to an IP:port address.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}
