package exchange

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// memoryBody is a request body that never blocks.
type memoryBody struct{ bytes.Reader }

// Close implements io.Closer.
func (*memoryBody) Close() error { return nil }

// Body returns a request body from memory. It is written together with the
// header; other bodies are flushed as they arrive.
func Body(b []byte) io.ReadCloser {
	if len(b) == 0 {
		return http.NoBody
	}
	m := &memoryBody{}
	m.Reset(b)
	return m
}

// flushingBody flushes what has been written before each read, so that a body
// that arrives slowly does not hold back the header.
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

// plainWriter hides bufio.Writer's ReadFrom, which would not allow a flush
// between reads.
type plainWriter struct{ writer *bufio.Writer }

// Write implements io.Writer.
func (w plainWriter) Write(b []byte) (int, error) { return w.writer.Write(b) }

// WriteByte implements io.ByteWriter, which tells Request.Write not to add a
// buffer of its own.
func (w plainWriter) WriteByte(b byte) error { return w.writer.WriteByte(b) }

// responseBody returns the connection to the pool at the clean end of the
// response and closes it otherwise.
type responseBody struct {
	source   io.ReadCloser
	received atomic.Int64
	finish   func(clean bool)
	once     sync.Once
}

// Read implements io.Reader. An early end is an *Error with Progress Cut.
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

// Close implements io.Closer. Before the clean end it closes the connection.
func (b *responseBody) Close() error {
	b.once.Do(func() { b.finish(false) })
	return nil
}
