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
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Do sends the request once and returns when the response header has arrived.
// The caller must close the body. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, r Request) (*http.Response, error) {
	if r.OnEnded == nil {
		r.OnEnded = func() {}
		r.EndDeadline = 0
	}
	c, err := p.acquire(ctx, r.Address, r.NewConnection)
	if err != nil {
		r.OnEnded()
		return nil, &Error{Progress: NotSent, Cause: err}
	}
	x := &exchange{pool: p, conn: c, request: r, writeDone: make(chan error, 1)}
	x.stopCancel = context.AfterFunc(ctx, x.cancel)
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
	pool         *Pool
	conn         *conn
	request      Request
	stopCancel   func() bool // as returned by context.AfterFunc for cancel
	writeDone    chan error  // receives the result of writing the request
	writeStarted bool
	body         *responseBody
}

func (x *exchange) run() (*http.Response, error) {
	idleTimeout := x.request.IdleTimeout
	if x.request.IdleTimeoutBodyOnly {
		idleTimeout = 0
	}
	if err := x.conn.prepare(idleTimeout, x.keepWaiting()); err != nil {
		x.writeDone <- err
		return nil, merry.Wrap(ErrWrite, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	if x.request.BeforeWrite != nil {
		if err := x.request.BeforeWrite(); err != nil {
			x.writeDone <- err
			return nil, merry.Wrap(ErrBeforeWrite, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
	}
	if err := x.write(); err != nil {
		return nil, err
	}
	response, err := x.readMatching()
	if err != nil {
		return nil, err
	}
	x.conn.readBudget = unlimitedBytes
	x.conn.idleTimeout = x.request.IdleTimeout
	x.body = &responseBody{source: response.Body}
	x.body.finish = func(clean bool) { x.finish(clean && !response.Close) }
	response.Body = x.body
	return response, nil
}

// keepWaiting returns the function that the connection calls after an idle timeout,
// or nil without OnIdleTimeout.
func (x *exchange) keepWaiting() func() bool {
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

// write sends the request. A body that may block is written in a goroutine of its
// own while the response is read, because a server may respond before it has read
// the body.
func (x *exchange) write() error {
	x.writeStarted = true
	r, w := x.request.HTTP, x.conn.writer
	if _, inMemory := r.Body.(*memoryBody); inMemory || r.Body == nil || r.Body == http.NoBody {
		err := r.Write(w)
		if err == nil {
			err = w.Flush()
		}
		x.writeDone <- err
		// After a partial write the response is read all the same, because a server
		// may respond and close before it has read the whole request.
		if err != nil && !x.conn.wroteAny.Load() {
			return merry.Wrap(ErrWrite, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
		return nil
	}
	flushing := new(http.Request)
	*flushing = *r
	flushing.Body = flushingBody{ReadCloser: r.Body, writer: w}
	go x.writeFlushing(flushing)
	return nil
}

// writeFlushing writes a request with a flushingBody. It returns when the body
// ends, or when the connection or the body is closed.
func (x *exchange) writeFlushing(r *http.Request) {
	err := r.Write(plainWriter{x.conn.writer})
	if err == nil {
		err = x.conn.writer.Flush()
	}
	if err != nil && !x.conn.endedInWrite() {
		// The server must not treat an incomplete body as complete, and the reader
		// must not wait for a response.
		x.cancel()
	}
	x.writeDone <- err
}

// maxInformational bounds the informational responses to one request. It allows for one
// each second during two and a half hours.
const maxInformational = 10_000

// maxInformationalBytes bounds the informational responses to one request together.
const maxInformationalBytes = 1 << 20

// readHeader returns the final response header. Informational responses show
// only that the server is alive.
func (x *exchange) readHeader() (*http.Response, error) {
	informationalBytes := int64(0)
	for range maxInformational + 1 {
		response, err := x.readNextHeader()
		if err != nil {
			return nil, merry.Wrap(ErrResponse, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
		if response.StatusCode >= 200 {
			response.Body = trailerChecker{response.Body, response}
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, merry.Wrap(ErrResponse, merry.AppendMessage("status 101 without an upgrade request"))
		}
		if statesBody(response) {
			return nil, merry.Wrap(ErrResponse, merry.AppendMessagef("status %d with a body, or of HTTP/1.0", response.StatusCode))
		}
		informationalBytes += maxHeaderBytes - x.conn.readBudget
		if informationalBytes > maxInformationalBytes {
			return nil, merry.Wrap(ErrResponse, merry.AppendMessagef("more than %d bytes of informational responses", maxInformationalBytes))
		}
		x.conn.readBudget = maxHeaderBytes
		if x.request.OnInformational != nil {
			x.request.OnInformational(response.StatusCode, response.Header)
		}
	}
	return nil, merry.Wrap(ErrResponse, merry.AppendMessagef("more than %d informational responses", maxInformational))
}

// readNextHeader returns the next response header, which may be informational.
func (x *exchange) readNextHeader() (*http.Response, error) {
	if err := x.conn.beginHead(); err != nil {
		return nil, err
	}
	if err := x.conn.checkStatusLine(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(x.conn.reader, x.request.HTTP)
	if err == nil && x.conn.head.hasTransferEncoding && !response.ProtoAtLeast(1, 1) {
		// http.ReadResponse drops the field. Whether the body is chunked is not known.
		return nil, errTransferEncodingInHTTP10
	}
	return response, err
}

// statesBody reports whether the header of an informational response states a body. What
// follows such a header may be that body instead of the final response. HTTP/1.0 has no
// informational responses, and http.ReadResponse drops their Transfer-Encoding.
func statesBody(response *http.Response) bool {
	_, hasLength := response.Header["Content-Length"]
	return hasLength || len(response.TransferEncoding) > 0 || !response.ProtoAtLeast(1, 1)
}

// maxMismatched bounds the responses to other requests that are skipped,
// maxMismatchedBytes the body of each, and mismatchedTimeout the time to read that body. A
// server that sends such a response has it complete, so a body that takes longer is
// unlikely to end, and no response can follow it.
const (
	maxMismatched                   = 3
	maxMismatchedBytes              = 1 << 20
	mismatchedTimeout  clock.Millis = 500
)

// readMatching returns the response to this request. With SkipMismatched it skips
// responses to other requests.
func (x *exchange) readMatching() (*http.Response, error) {
	for skipped := 0; ; skipped++ {
		response, err := x.readHeader()
		if err != nil {
			return nil, err
		}
		err = x.validate(response)
		skip := errors.Is(err, ErrRequestIDMismatch) && x.request.SkipMismatched && !response.Close && skipped < maxMismatched
		if !skip {
			return response, err
		}
		if err := x.skipBody(response); err != nil {
			return nil, merry.Wrap(ErrResponse, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
	}
}

// skipBody reads the body of a response to another request. At the end of
// mismatchedTimeout it closes the connection.
func (x *exchange) skipBody(response *http.Response) error {
	x.conn.readBudget = maxMismatchedBytes
	timer := time.AfterFunc(mismatchedTimeout.Duration(), func() { _ = x.conn.raw.Close() })
	defer timer.Stop()
	_, err := io.Copy(io.Discard, response.Body)
	x.conn.readBudget = maxHeaderBytes
	return err
}

// validate checks the request id and the framing of a response.
func (x *exchange) validate(response *http.Response) error {
	name := x.request.RequestIDHeader
	if name == "" {
		name = header.RequestID
	}
	id := response.Header.Get(name)
	mayOmit := id == "" && (!x.request.RequireRequestID || x.request.MayOmitRequestID != nil && x.request.MayOmitRequestID(response))
	if x.request.RequestID != "" && id != x.request.RequestID && !mayOmit {
		return merry.Wrap(ErrRequestIDMismatch, merry.AppendMessagef("sent %q, got %q", x.request.RequestID, id))
	}
	if !x.request.AllowCloseDelimited && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && x.request.HTTP.Method != http.MethodHead {
		return merry.Wrap(ErrResponse, merry.AppendMessage("response has neither Content-Length nor chunked encoding"))
	}
	return nil
}

// progress returns the progress of a request without a response header. While the
// request is still being written, wroteAny may not yet show the last write, so the
// progress is Unknown.
func (x *exchange) progress() Progress {
	select {
	case <-x.writeDone:
		if !x.conn.wroteAny.Load() {
			return NotSent
		}
	default:
	}
	return Unknown
}

// finish ends the request. clean means that the whole response was read and that
// the server keeps the connection open. The connection then returns to the pool if
// the whole request was written and no surplus bytes arrived. If the exchange did
// not end cleanly and EndDeadline has not passed, awaitServerEnd closes the
// connection; in all other cases finish closes it.
func (x *exchange) finish(clean bool) {
	notCancelled := x.stopCancel()
	if x.writeStarted && !clean && x.request.EndDeadline > x.pool.options.Clock.Now() && x.pool.trackEnding(x.conn) {
		go x.awaitServerEnd()
		return
	}
	defer x.request.OnEnded()
	if !clean || !notCancelled || x.conn.reader.Buffered() > 0 {
		x.pool.discard(x.conn)
		return
	}
	select {
	case err := <-x.writeDone:
		if err == nil {
			x.pool.release(x.conn)
			return
		}
	default:
	}
	x.pool.discard(x.conn)
}

// cancel ends reading and writing. The server treats the end of the sending
// direction as a cancellation of the request. After EndDeadline the whole
// connection is closed.
func (x *exchange) cancel() {
	if x.request.EndDeadline <= x.pool.options.Clock.Now() || x.conn.cancel() != nil {
		_ = x.conn.raw.Close()
	}
}

// maxDiscardedBytes is how much of a response is read after its request was
// cancelled. A server that sends more has not noticed the end of the sending
// direction. The connection is then closed, which makes its next write fail.
const maxDiscardedBytes = 1 << 20

// awaitServerEnd waits until the server of a cancelled request closes the
// connection, or until EndDeadline. Until the server closes it, the server may
// work on the request.
func (x *exchange) awaitServerEnd() {
	defer x.request.OnEnded()
	defer x.pool.discard(x.conn)
	defer x.pool.untrackEnding(x.conn)
	if x.conn.cancel() != nil {
		return
	}
	// The end of the context may run cancel at the same time, which sets another
	// deadline. Reading then continues with a new deadline.
	remaining := io.LimitReader(x.conn.raw, maxDiscardedBytes)
	for err := os.ErrDeadlineExceeded; errors.Is(err, os.ErrDeadlineExceeded); {
		timeLeft := x.request.EndDeadline - x.pool.options.Clock.Now()
		if timeLeft <= 0 || x.conn.raw.SetDeadline(time.Now().Add(timeLeft.Duration())) != nil {
			return
		}
		_, err = io.Copy(io.Discard, remaining)
	}
}
