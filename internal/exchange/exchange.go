// Package exchange sends one HTTP/1.1 request over one TCP connection and
// reports how far the request got.
//
// net/http's Transport replays a request when a pooled connection fails, treats
// a POST with an Idempotency-Key header as replayable, and does not report
// whether a byte was written. It therefore cannot support the guarantees that a
// request with outcome "not run" did not run and that a request runs at most
// once. This package uses net/http's codecs (Request.Write and ReadResponse) with
// its own connection pool:
//
//   - It never sends a request twice.
//   - An error before the first byte was written has Progress NotSent: the
//     request did not run. An error after that and before the response header has
//     Progress Unknown.
//   - A connection is reused only after its response was read completely. All
//     other connections are closed.
//   - A response whose status code does not exist, or an informational one that states
//     a body, is no response: its request has Progress Unknown.
//   - Neither is one with a field name that is not valid, or with a folded line in its
//     head. In a trailer, such a name truncates the response.
//   - A truncated body is an error. Responses that are delimited only by closing
//     the connection are rejected by default, because truncation of such a
//     response cannot be detected.
//   - A response with the id of another request is discarded and its connection
//     closed.
//
// # Usage
//
//	p := exchange.NewPool(exchange.Options{MaxPerAddress: 130})
//	go p.Run(ctx)
//	response, err := p.Do(ctx, exchange.Request{Address: "127.0.0.1:8080", HTTP: r, RequestID: id})
//	if exchange.ProgressOf(err) == exchange.NotSent {
//		// the request did not run
//	}
//	defer response.Body.Close()
//
// The context bounds the whole exchange, including the body. When the context
// ends, the connection is closed. If Request.OnEnded is set and
// Request.EndDeadline has not passed, only the sending direction is closed. That
// also cancels the request at the server, and the server's close then shows that
// it has stopped working on the request.
package exchange

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Errors of this package. Those that Do returns are wrapped in an *Error.
var (
	// ErrConnect means that no connection was made.
	ErrConnect = merry.Sentinel("cannot connect")
	// ErrConnectionRefused means that no process accepts connections at the address.
	ErrConnectionRefused = merry.Sentinel("connection refused")
	// ErrPoolExhausted means that the context ended before a connection was free.
	ErrPoolExhausted = merry.Sentinel("no free connection")
	// ErrBeforeWrite means that Request.BeforeWrite rejected the request.
	ErrBeforeWrite = merry.Sentinel("request rejected before it was written")
	// ErrWrite means that the request could not be written.
	ErrWrite = merry.Sentinel("cannot write request")
	// ErrResponse means that no valid response header arrived.
	ErrResponse = merry.Sentinel("no valid response")
	// ErrRequestIDMismatch means that the response belongs to another request.
	ErrRequestIDMismatch = merry.Sentinel("response belongs to another request")
	// ErrTruncated means that the connection ended or failed before the end of the
	// response.
	ErrTruncated = merry.Sentinel("response truncated")
	// ErrIdleTimeout means that no byte arrived within Request.IdleTimeout.
	ErrIdleTimeout = merry.Sentinel("connection idle timeout")
)

// Progress is how far a request got.
type Progress int

const (
	// NotSent: no byte was written, so the request did not run.
	NotSent Progress = iota
	// Unknown: bytes were written and no response arrived, so the request may have
	// run.
	Unknown
	// ResponseStarted: a response header arrived.
	ResponseStarted
	// ResponseTruncated: the response header arrived, but not the whole body.
	ResponseTruncated
)

// Error is the error of a request, with its progress.
type Error struct {
	Progress Progress
	Cause    error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ProgressOf returns the progress recorded in an error of Do or of a response
// body. It returns ResponseStarted for nil and Unknown for errors of other types.
func ProgressOf(err error) Progress {
	if err == nil {
		return ResponseStarted
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Progress
	}
	return Unknown
}

// Request is one request to one address.
type Request struct {
	// Address is the IP address and port of the server.
	Address string
	// HTTP is the request to write. The caller must remove hop-by-hop header
	// fields first. A body that is in memory should be created with Body.
	HTTP *http.Request
	// RequestID is compared with the request id header of the response. If the
	// response has the header, the two must be equal. If RequestID is empty, the
	// response is not checked.
	RequestID string
	// RequestIDHeader is the name of the request id header. The default is
	// Gentiansail-Request-Id.
	RequestIDHeader string
	// RequireRequestID rejects a response without a request id header.
	RequireRequestID bool
	// MayOmitRequestID, if set, reports whether a response may lack the request id
	// header although RequireRequestID is set.
	MayOmitRequestID func(*http.Response) bool
	// SkipMismatched skips responses with another request id instead of returning
	// an error. A server may send an extra response to an earlier request late, in
	// front of the response to this request.
	SkipMismatched bool
	// AllowCloseDelimited accepts a response that is delimited by the end of its
	// connection. A clean close counts as the end of the response; a reset is an
	// error.
	AllowCloseDelimited bool
	// NewConnection sends the request on a new connection. The server may have
	// closed a pooled connection while it was idle.
	NewConnection bool
	// BeforeWrite, if set, is called when the connection is ready and nothing has
	// been written. If it returns an error, the request ends with Progress NotSent.
	// Checks that were made before Do may be outdated by then, because waiting for
	// a connection takes time.
	BeforeWrite func() error
	// IdleTimeout bounds the wait for each read. If it is 0, only the context
	// bounds reads.
	IdleTimeout clock.Millis
	// IdleTimeoutBodyOnly applies IdleTimeout only after the response header has
	// arrived.
	IdleTimeoutBodyOnly bool
	// OnIdleTimeout, if set, is called when no byte arrived within IdleTimeout. It
	// reports whether to keep waiting. started is whether the response header has
	// arrived, received is the number of body bytes received.
	OnIdleTimeout func(started bool, received int64) bool
	// OnEnded, if set, is called once for each call of Do, when the server no longer
	// works on the request as far as the connection shows: the request was not
	// written, the response is complete, or the server closed the connection. It is
	// called at EndDeadline at the latest, or when Pool.Run ends.
	OnEnded func()
	// EndDeadline is the time on the pool's clock at which a cancelled request counts
	// as ended.
	EndDeadline clock.Millis
	// OnInformational, if set, is called with each informational (1xx) response.
	OnInformational func(status int, h http.Header)
}
