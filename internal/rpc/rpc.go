// Package rpc carries calls between gentiansail's own processes: JSON-RPC 2.0
// in length-prefixed frames over TCP.
//
// An open connection can stop delivering bytes for ever while new connections
// work. Every connection is therefore checked: the client pings it, both ends close
// it after an idle timeout, and a call that misses its deadline closes its
// connection. The next call dials a new one.
//
// # Usage
//
// A server:
//
//	s := rpc.NewServer()
//	rpc.Handle(s, wire.MethodNodeWatch, func(ctx context.Context, r wire.WatchRequest) (wire.WatchResponse, error) {
//		...
//	})
//	err := s.Serve(ctx, listener)
//
// A client:
//
//	c := rpc.NewClient("127.0.0.1:7101")
//	defer c.Close()
//	response, err := rpc.Call[wire.WatchResponse](ctx, c, wire.MethodNodeWatch, request)
package rpc

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Errors of this package.
var (
	// ErrFrame means that a frame is too long or empty.
	ErrFrame = merry.Sentinel("invalid frame")
	// ErrConnect means that no connection was made, so the call did not reach the
	// server.
	ErrConnect = merry.Sentinel("cannot connect")
	// ErrLost means that the connection ended or the deadline passed during the
	// call, so the call may or may not have taken effect.
	ErrLost = merry.Sentinel("connection lost during call")
)

// Timing of connection checks.
const (
	// pingInterval is the idle time after which a client pings a connection.
	pingInterval clock.Millis = 250
	// clientIdleTimeout is the time without a byte after which a client closes a
	// connection.
	clientIdleTimeout clock.Millis = 750
	// serverIdleTimeout is longer, so that a server does not close the connection of
	// a client that is too busy to send pings in time.
	serverIdleTimeout clock.Millis = 3000
	// writeTimeout bounds each write, for peers that do not read.
	writeTimeout clock.Millis = 2000
	// dialTimeout bounds how long a call waits for a connection, lateDialTimeout how long
	// connecting goes on for later calls.
	dialTimeout     clock.Millis = 300
	lateDialTimeout clock.Millis = 1500
)

const methodPing = "Rpc.Ping"

// Code classifies an error that a server returns.
type Code int64

// Error codes of gentiansail's servers. They are outside the range that JSON-RPC
// reserves.
const (
	// CodeNotLeader: another replica is the leader. Error.Leader is its address, if
	// known.
	CodeNotLeader Code = 1001
	// CodeUnavailable: the call had no effect. The same call may succeed later.
	CodeUnavailable Code = 1002
	// CodeRejected: the call had no effect, and the same call would be rejected again.
	CodeRejected Code = 1003
	// CodeUnknown: the call may or may not have taken effect.
	CodeUnknown Code = 1004
	// CodeUnknownMethod: the server, perhaps of an earlier version, has no such method.
	// The code is the one of JSON-RPC.
	CodeUnknownMethod Code = jsonrpc2.CodeMethodNotFound
)

// Error is an error that the handler of a call returned. It is sent to the client
// with its code.
type Error struct {
	Code    Code
	Message string
	// Leader is the address of the leader. It is set with CodeNotLeader, if the
	// replica knows the leader.
	Leader string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (code %d)", e.Message, e.Code)
}

// IsCode reports whether err is or wraps an Error with code c.
func IsCode(err error, c Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == c
}

// errorData is the data member of a JSON-RPC error.
type errorData struct {
	Leader string `json:"Leader,omitempty"`
}

// errorToWire converts an error of a handler. Errors that are not an *Error get
// CodeUnknown.
func errorToWire(err error) *jsonrpc2.Error {
	var e *Error
	if !errors.As(err, &e) {
		return &jsonrpc2.Error{Code: int64(CodeUnknown), Message: err.Error()}
	}
	out := &jsonrpc2.Error{Code: int64(e.Code), Message: e.Message}
	if e.Leader != "" {
		out.SetError(errorData{Leader: e.Leader})
	}
	return out
}

func errorFromWire(e *jsonrpc2.Error) error {
	out := &Error{Code: Code(e.Code), Message: e.Message}
	if e.Data != nil {
		var d errorData
		if json.Unmarshal(*e.Data, &d) == nil {
			out.Leader = d.Leader
		}
	}
	return out
}

// timeoutConn is a connection whose reads fail after idleTimeout and whose writes
// fail after writeTimeout.
type timeoutConn struct {
	net.Conn
	idleTimeout clock.Millis
	// mayBeSilent, if set, reports whether to keep the connection after the given time without
	// a byte.
	mayBeSilent func(clock.Millis) bool
	// traffic, if set, counts the bytes of the connection.
	traffic *traffic
	// lastReceived is the time of the last read that returned bytes, in clock.Millis.
	lastReceived atomic.Int64
}

// traffic counts bytes.
type traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

func (c *timeoutConn) Read(b []byte) (int, error) {
	n, err := c.readWithin(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.mayBeSilent != nil && c.mayBeSilent(clock.System().Now()-clock.Millis(c.lastReceived.Load())) {
		n, err = c.readWithin(b)
	}
	if n > 0 {
		c.lastReceived.Store(int64(clock.System().Now()))
	}
	if c.traffic != nil {
		c.traffic.received.Add(uint64(n))
	}
	return n, err
}

// readWithin reads once, for at most idleTimeout.
func (c *timeoutConn) readWithin(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout.Duration())); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

func (c *timeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if c.traffic != nil {
		c.traffic.sent.Add(uint64(n))
	}
	return n, err
}
