// Package rpc carries calls between gentiansail's own processes: JSON-RPC 2.0
// in length-prefixed frames over TCP.
//
// An open connection can go silent for good while new ones work. Therefore every
// connection proves that it is alive: the client pings it, both ends close it
// after a time without any byte, and a call that misses its deadline closes the
// connection that it used. The next call dials a new one.
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
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Errors of this package.
var (
	// ErrFrame means that the stream does not hold frames of this protocol.
	ErrFrame = merry.Sentinel("invalid frame")
	// ErrConnect means that no connection was made: the call did not reach the server.
	ErrConnect = merry.Sentinel("cannot connect")
	// ErrLost means that the connection ended or the deadline passed during the
	// call: it may or may not have taken effect.
	ErrLost = merry.Sentinel("connection lost during call")
)

// Timing of liveness checks.
const (
	// pingEvery is how often a client pings an open connection.
	pingEvery clock.Millis = 250
	// clientSilence is how long a client waits for any byte before it closes.
	clientSilence clock.Millis = 750
	// serverSilence is longer, so that a busy client is not cut off.
	serverSilence clock.Millis = 3000
	// writeTimeout bounds one write to a peer that does not read.
	writeTimeout clock.Millis = 2000
	// dialTimeout bounds connecting to a host that does not answer.
	dialTimeout clock.Millis = 300
)

const methodPing = "Rpc.Ping"

// Code classifies an error that a server returns.
type Code int64

// Codes of gentiansail's servers, outside the range that JSON-RPC reserves.
const (
	// CodeNotLeader: another replica leads; Leader holds its address, if known.
	CodeNotLeader Code = 1001
	// CodeUnavailable: no effect now; the same call may work later.
	CodeUnavailable Code = 1002
	// CodeRejected: no effect, and the same call will be refused again.
	CodeRejected Code = 1003
	// CodeUnknown: the call may or may not have taken effect.
	CodeUnknown Code = 1004
)

// Error is an error that the server returned on purpose.
type Error struct {
	Code    Code
	Message string
	// Leader is the leader's address with CodeNotLeader, if the replica knows it.
	Leader string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (code %d)", e.Message, e.Code)
}

// IsCode reports whether err is or wraps an Error with the code.
func IsCode(err error, c Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == c
}

type errorData struct {
	Leader string `json:"Leader,omitempty"`
}

func toWire(err error) *jsonrpc2.Error {
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

func fromWire(e *jsonrpc2.Error) error {
	out := &Error{Code: Code(e.Code), Message: e.Message}
	if e.Data != nil {
		var d errorData
		if json.Unmarshal(*e.Data, &d) == nil {
			out.Leader = d.Leader
		}
	}
	return out
}

// liveConn closes itself by deadline when the peer sends or accepts nothing.
type liveConn struct {
	net.Conn
	silence clock.Millis
	// traffic, if set, counts the bytes of the connection.
	traffic *traffic
	// heard is when the last bytes arrived, in clock.Millis.
	heard atomic.Int64
}

type traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

func (c *liveConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence.Duration())); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(int64(clock.System().Now()))
	}
	if c.traffic != nil {
		c.traffic.received.Add(uint64(n))
	}
	return n, err
}

func (c *liveConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if c.traffic != nil {
		c.traffic.sent.Add(uint64(n))
	}
	return n, err
}
