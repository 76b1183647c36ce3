package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// memoryBody is a request body in memory. Its reads never block.
type memoryBody struct{ bytes.Reader }

// Close implements io.Closer.
func (*memoryBody) Close() error { return nil }

// Body returns a request body that holds b. It is written together with the
// header. Bodies of other types may block, so the header and each part that was
// read are flushed before the next read.
func Body(b []byte) io.ReadCloser {
	if len(b) == 0 {
		return http.NoBody
	}
	m := &memoryBody{}
	m.Reset(b)
	return m
}

// flushingBody flushes writer before each read, so that the header is not
// delayed by a body that arrives slowly.
type flushingBody struct {
	io.ReadCloser
	writer *bufio.Writer
}

// Read implements io.Reader.
func (b flushingBody) Read(p []byte) (int, error) {
	if err := b.writer.Flush(); err != nil {
		return 0, err
	}
	return b.ReadCloser.Read(p)
}

// plainWriter hides the ReadFrom method of bufio.Writer, because ReadFrom would
// not flush between reads.
type plainWriter struct{ writer *bufio.Writer }

// Write implements io.Writer.
func (w plainWriter) Write(b []byte) (int, error) { return w.writer.Write(b) }

// WriteByte implements io.ByteWriter. Request.Write adds a buffer of its own to
// writers without this method.
func (w plainWriter) WriteByte(b byte) error { return w.writer.WriteByte(b) }

// responseBody is the body of a response. It calls finish once: with clean set
// when the response was read completely, else when reading failed or the body was
// closed early.
type responseBody struct {
	source   io.ReadCloser
	received atomic.Int64
	finish   func(clean bool)
	once     sync.Once
}

// Read implements io.Reader. If the response is truncated, Read returns an *Error
// with Progress ResponseTruncated.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.received.Add(int64(n))
	switch {
	case err == io.EOF:
		b.once.Do(func() { b.finish(true) })
	case err != nil:
		b.once.Do(func() { b.finish(false) })
		err = &Error{Progress: ResponseTruncated, Cause: merry.Wrap(ErrTruncated, merry.WithCause(err), merry.AppendMessage(err.Error()))}
	}
	return n, err
}

// Close implements io.Closer. If the response was not read completely, Close ends
// the request, and its connection is not reused.
func (b *responseBody) Close() error {
	b.once.Do(func() { b.finish(false) })
	return nil
}

// Limits of DiscardBody. Callers wait for it, and a server writes a short body together
// with its header.
const (
	maxDiscardedBody                = 64 << 10
	discardBodyTimeout clock.Millis = 60
)

// DiscardBody reads a response body that nobody needs to its end and closes it, so that the
// connection can be reused. A body that is long, or that does not end soon, is closed
// before its end, together with its connection; the error is then not nil if the read was
// interrupted.
func DiscardBody(response *http.Response) error {
	timer := time.AfterFunc(discardBodyTimeout.Duration(), func() { _ = response.Body.Close() })
	defer timer.Stop()
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBody))
	return errors.Join(err, response.Body.Close())
}
