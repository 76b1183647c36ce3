package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/header"
)

// Do sends the request once and returns when the response header has arrived.
// The caller must close the body. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, r Request) (*http.Response, error) {
	if r.OnEnded == nil {
		r.OnEnded = func() {}
		r.EndDeadline = 0
	}
	c, err := p.take(ctx, r.Address, r.NewConnection)
	if err != nil {
		r.OnEnded()
		return nil, &Error{Progress: NotSent, Cause: err}
	}
	x := &exchange{pool: p, conn: c, request: r, written: make(chan error, 1)}
	x.unwatch = context.AfterFunc(ctx, x.giveUp)
	response, err := x.run()
	if err != nil {
		x.finish(false)
		if ctx.Err() != nil {
			err = merry.Wrap(err, merry.WithCause(errors.Join(ctx.Err(), err)))
		}
		return nil, &Error{Progress: x.progress(), Cause: err}
	}
	return response, nil
}

// exchange is one request on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	request Request
	unwatch func() bool
	written chan error // the end of writing
	begun   bool       // writing has begun
	body    *responseBody
}

func (x *exchange) run() (*http.Response, error) {
	silence := x.request.IdleTimeout
	if x.request.IdleTimeoutBodyOnly {
		silence = 0
	}
	if err := x.conn.prepare(silence, x.waitOn()); err != nil {
		x.written <- err
		return nil, merry.Wrap(ErrWrite, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	if x.request.BeforeWrite != nil {
		if err := x.request.BeforeWrite(); err != nil {
			x.written <- err
			return nil, merry.Wrap(ErrBeforeWrite, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
	}
	if err := x.write(); err != nil {
		return nil, err
	}
	response, err := x.readOwn()
	if err != nil {
		return nil, err
	}
	x.conn.remained = unlimited
	x.conn.silence = x.request.IdleTimeout
	x.body = &responseBody{source: response.Body}
	x.body.finish = func(clean bool) { x.finish(clean && !response.Close) }
	response.Body = x.body
	return response, nil
}

// waitOn adapts OnSilence to the connection.
func (x *exchange) waitOn() func() bool {
	if x.request.OnIdleTimeout == nil {
		return nil
	}
	return func() bool {
		if x.body == nil {
			return x.request.OnIdleTimeout(false, 0)
		}
		return x.request.OnIdleTimeout(true, x.body.received.Load())
	}
}

// write sends the request. A body that may block is written beside the reading
// of the response, because a server may respond before it has read the body.
func (x *exchange) write() error {
	x.begun = true
	r, w := x.request.HTTP, x.conn.writer
	if _, inMemory := r.Body.(*memoryBody); inMemory || r.Body == nil || r.Body == http.NoBody {
		err := r.Write(w)
		if err == nil {
			err = w.Flush()
		}
		x.written <- err
		// A server may respond and close before it has read everything.
		if err != nil && !x.conn.wrote.Load() {
			return merry.Wrap(ErrWrite, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
		return nil
	}
	out := new(http.Request)
	*out = *r
	out.Body = flushingBody{ReadCloser: r.Body, writer: w}
	go x.writeBody(out)
	return nil
}

// writeBody ends when the body ends, or when the connection or the body's
// source is closed.
func (x *exchange) writeBody(r *http.Request) {
	err := r.Write(plainWriter{x.conn.writer})
	if err == nil {
		err = x.conn.writer.Flush()
	}
	if err != nil {
		// The server must not take an incomplete body for a complete one, and
		// the reader must not wait for a response to it.
		x.giveUp()
	}
	x.written <- err
}

// readHeader reads up to the final response header. An informational response
// is a sign of life and nothing more.
func (x *exchange) readHeader() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(x.conn.reader, x.request.HTTP)
		if err != nil {
			return nil, merry.Wrap(ErrResponse, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, merry.Wrap(ErrResponse, merry.AppendMessage("status 101 was not asked for"))
		}
		x.conn.remained = maxHeaderBytes
		if x.request.OnInformational != nil {
			x.request.OnInformational(response.StatusCode, response.Header)
		}
	}
}

// maxForeign bounds the extra responses that are read before the one that is due,
// and maxForeignBytes the body of each.
const (
	maxForeign      = 3
	maxForeignBytes = 1 << 20
)

// readOwn reads the response that belongs to the request.
func (x *exchange) readOwn() (*http.Response, error) {
	for skipped := 0; ; skipped++ {
		response, err := x.readHeader()
		if err != nil {
			return nil, err
		}
		err = x.check(response)
		foreign := errors.Is(err, ErrRequestIDMismatch) && x.request.SkipMismatched && !response.Close && skipped < maxForeign
		if !foreign {
			return response, err
		}
		x.conn.remained = maxForeignBytes
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, merry.Wrap(ErrResponse, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
		x.conn.remained = maxHeaderBytes
	}
}

func (x *exchange) check(response *http.Response) error {
	field := x.request.RequestIDHeader
	if field == "" {
		field = header.RequestID
	}
	id := response.Header.Get(field)
	missing := id == "" && (!x.request.RequireRequestID || x.request.MayOmitRequestID != nil && x.request.MayOmitRequestID(response))
	if x.request.RequestID != "" && id != x.request.RequestID && !missing {
		return merry.Wrap(ErrRequestIDMismatch, merry.AppendMessagef("sent %q, got %q", x.request.RequestID, id))
	}
	if !x.request.AllowCloseDelimited && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && x.request.HTTP.Method != http.MethodHead {
		return merry.Wrap(ErrResponse, merry.AppendMessage("response has neither Content-Length nor chunks"))
	}
	return nil
}

// progress of a request without a response header. While a body is still being
// written, a write may have taken effect that is not noted yet.
func (x *exchange) progress() Progress {
	select {
	case <-x.written:
		if !x.conn.wrote.Load() {
			return NotSent
		}
	default:
	}
	return Unknown
}

// finish gives the connection back when everything written was accepted and
// everything expected was read, else closes it.
func (x *exchange) finish(clean bool) {
	inTime := x.unwatch()
	if x.begun && !clean && x.request.EndDeadline > x.pool.options.Clock.Now() && x.pool.beginEnd(x.conn) {
		go x.awaitEnd()
		return
	}
	defer x.request.OnEnded()
	if !clean || !inTime || x.conn.reader.Buffered() > 0 {
		x.pool.drop(x.conn)
		return
	}
	select {
	case err := <-x.written:
		if err == nil {
			x.pool.put(x.conn)
			return
		}
	default:
	}
	x.pool.drop(x.conn)
}

// giveUp ends reading and writing. The server takes the end of the sending
// direction for a cancellation.
func (x *exchange) giveUp() {
	if x.request.EndDeadline <= x.pool.options.Clock.Now() || x.conn.giveUp() != nil {
		_ = x.conn.raw.Close()
	}
}

// maxEndBytes is how much of a response is read after its request was given up.
// A server that sends more has not noticed the end of the sending direction;
// closing the connection makes its next write fail.
const maxEndBytes = 1 << 20

// awaitEnd waits until the server of a request that was given up closes the
// connection. Until then the server may work on the request.
func (x *exchange) awaitEnd() {
	defer x.request.OnEnded()
	defer x.pool.drop(x.conn)
	defer x.pool.endEnd(x.conn)
	if x.conn.giveUp() != nil {
		return
	}
	// giveUp may still run for the end of the context, and set a deadline of its own.
	rest := io.LimitReader(x.conn.raw, maxEndBytes)
	for err := os.ErrDeadlineExceeded; errors.Is(err, os.ErrDeadlineExceeded); {
		left := x.request.EndDeadline - x.pool.options.Clock.Now()
		if left <= 0 || x.conn.raw.SetDeadline(time.Now().Add(left.Duration())) != nil {
			return
		}
		_, err = io.Copy(io.Discard, rest)
	}
}
