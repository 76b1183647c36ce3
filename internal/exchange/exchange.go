// Package exchange sends one HTTP/1.1 request over one TCP connection and says
// exactly how far it got.
//
// net/http's Transport replays a request when a pooled connection fails, treats
// a POST with an Idempotency-Key header as replayable, and does not tell whether
// a byte was written. Promises P4 ("not run" is true) and P5 (at most once)
// cannot be kept on top of it. This package uses net/http's codecs
// (Request.Write and ReadResponse) over a pool of its own:
//
//   - It never sends a request twice, whatever happens.
//   - An error before the first byte was written has Progress NotSent: the
//     request did not run. Any later error has Progress Unknown.
//   - A connection is used again only after its response was read to its clean
//     end; every other connection is closed.
//   - A body that ends early is an error, never a clean end. Responses whose end
//     is marked only by closing the connection are refused, because a cut cannot
//     be told from their end.
//   - A response with a foreign request id is discarded with its connection.
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
// The context bounds the whole exchange, including the body; its end closes the
// connection. With Request.Ended it closes the sending direction only, which
// cancels the request at the server all the same, and shows when the server has
// ended it.
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
	// ErrConnectionRefused means that nothing listens at the address.
	ErrConnectionRefused = merry.Sentinel("connection refused")
	// ErrPoolExhausted means that no connection was free before the context ended.
	ErrPoolExhausted = merry.Sentinel("no free connection")
	// ErrBeforeWrite means that BeforeWrite refused the request.
	ErrBeforeWrite = merry.Sentinel("request was refused before it was written")
	// ErrWrite means that the request could not be written.
	ErrWrite = merry.Sentinel("cannot write request")
	// ErrResponse means that no valid response header arrived.
	ErrResponse = merry.Sentinel("no valid response")
	// ErrRequestIDMismatch means that the response belongs to another request.
	ErrRequestIDMismatch = merry.Sentinel("response belongs to another request")
	// ErrTruncated means that the response ended before its end.
	ErrTruncated = merry.Sentinel("response was cut")
	// ErrIdleTimeout means that the connection carried no byte for too long.
	ErrIdleTimeout = merry.Sentinel("connection is silent")
)

// Progress says how far a request got.
type Progress int

const (
	// NotSent: no byte was written, so the request did not run.
	NotSent Progress = iota
	// Unknown: bytes were written and no response arrived; it may have run.
	Unknown
	// ResponseStarted: a response header arrived.
	ResponseStarted
	// ResponseTruncated: a response started and ended early.
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

// ProgressOf returns the progress that an error of Do or of a body states:
// Started for nil, and Unknown for an error of another kind.
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
	// HTTP is the request as it goes over the wire. The caller has removed
	// hop-by-hop fields. Use Body for a body that is in memory.
	HTTP *http.Request
	// RequestID must equal the header field Gentiansail-Request-Id of the
	// response, where that is present. Empty turns the check off.
	RequestID string
	// RequestIDHeader is the name of that field where it is another one.
	RequestIDHeader string
	// RequireRequestID refuses a response without the field.
	RequireRequestID bool
	// MayOmitRequestID, if set, says of a response whether it may lack the field.
	MayOmitRequestID func(*http.Response) bool
	// SkipMismatched reads on after a response with another request id: a server may
	// send an extra response late, before the one that is due.
	SkipMismatched bool
	// AllowCloseDelimited accepts a response whose end is that of its connection. A reset
	// is an error; a clean close is taken for its end.
	AllowCloseDelimited bool
	// NewConnection uses a new connection, so that the server cannot have closed it
	// while it was idle.
	NewConnection bool
	// BeforeWrite, if set, is called when the connection is ready and nothing has
	// been written. Its error ends the request with Progress NotSent. Waiting for
	// a connection takes time, so that earlier checks may be outdated.
	BeforeWrite func() error
	// IdleTimeout bounds the wait for each read; 0 leaves only the context.
	IdleTimeout clock.Millis
	// IdleTimeoutBodyOnly lets Silence count only once the response header has arrived.
	IdleTimeoutBodyOnly bool
	// OnIdleTimeout, if set, decides after Silence passed without a byte whether to
	// wait on. It gets whether the response header has arrived and the number of
	// body bytes received.
	OnIdleTimeout func(started bool, received int64) bool
	// OnEnded, if set, is called once for each call of Do: when the server does not
	// work on the request any more as far as the connection shows, because the
	// request was not written, the response is complete or the server closed the
	// connection; at the latest at EndBy, or when Run ends.
	OnEnded func()
	// EndDeadline is the time on the pool's clock at which a request that was given up
	// counts as ended.
	EndDeadline clock.Millis
	// OnInformational, if set, gets each informational (1xx) response.
	OnInformational func(status int, h http.Header)
}
