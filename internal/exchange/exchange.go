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
	// ErrRefusedConnection means that nothing listens at the address.
	ErrRefusedConnection = merry.Sentinel("connection refused")
	// ErrPool means that no connection was free before the context ended.
	ErrPool = merry.Sentinel("no free connection")
	// ErrBefore means that BeforeWrite refused the request.
	ErrBefore = merry.Sentinel("request was refused before it was written")
	// ErrWrite means that the request could not be written.
	ErrWrite = merry.Sentinel("cannot write request")
	// ErrResponse means that no valid response header arrived.
	ErrResponse = merry.Sentinel("no valid response")
	// ErrMismatch means that the response belongs to another request.
	ErrMismatch = merry.Sentinel("response belongs to another request")
	// ErrCut means that the response ended before its end.
	ErrCut = merry.Sentinel("response was cut")
	// ErrSilent means that the connection carried no byte for too long.
	ErrSilent = merry.Sentinel("connection is silent")
)

// Progress says how far a request got.
type Progress int

const (
	// NotSent: no byte was written, so the request did not run.
	NotSent Progress = iota
	// Unknown: bytes were written and no response arrived; it may have run.
	Unknown
	// Started: a response header arrived.
	Started
	// Cut: a response started and ended early.
	Cut
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
		return Started
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
	// IDField is the name of that field where it is another one.
	IDField string
	// EchoRequired refuses a response without the field.
	EchoRequired bool
	// EchoOptional, if set, says of a response whether it may lack the field.
	EchoOptional func(*http.Response) bool
	// SkipForeign reads on after a response with another request id: a server may
	// send an extra response late, before the one that is due.
	SkipForeign bool
	// AllowUnframed accepts a response whose end is that of its connection. A reset
	// is an error; a clean close is taken for its end.
	AllowUnframed bool
	// Fresh uses a new connection, so that the server cannot have closed it
	// while it was idle.
	Fresh bool
	// BeforeWrite, if set, is called when the connection is ready and nothing has
	// been written. Its error ends the request with Progress NotSent. Waiting for
	// a connection takes time, so that earlier checks may be outdated.
	BeforeWrite func() error
	// Silence bounds the wait for each read; 0 leaves only the context.
	Silence clock.Millis
	// BodySilence lets Silence count only once the response header has arrived.
	BodySilence bool
	// OnSilence, if set, decides after Silence passed without a byte whether to
	// wait on. It gets whether the response header has arrived and the number of
	// body bytes received.
	OnSilence func(started bool, received int64) bool
	// Ended, if set, is called once for each call of Do: when the server does not
	// work on the request any more as far as the connection shows, because the
	// request was not written, the response is complete or the server closed the
	// connection; at the latest at EndBy, or when Run ends.
	Ended func()
	// EndBy is the time on the pool's clock at which a request that was given up
	// counts as ended.
	EndBy clock.Millis
	// OnInformation, if set, gets each informational (1xx) response.
	OnInformation func(status int, h http.Header)
}
