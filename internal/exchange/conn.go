package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// maxHeaderBytes bounds a response header. Decoded, a header of short fields takes up to
// 30 times as much memory.
const maxHeaderBytes = 64 << 10

// unlimitedBytes is a read budget that no response exhausts.
const unlimitedBytes = int64(1) << 62

var errNoHalfClose = merry.Sentinel("connection cannot close its sending direction alone")

var errHeaderTooLong = merry.Sentinel("response header is too long")

// conn is one connection. The same reader serves all its responses, so that
// surplus bytes after a response are detected.
type conn struct {
	raw         net.Conn
	addressPool *addressPool
	reader      *bufio.Reader
	writer      *bufio.Writer
	idleSince   clock.Millis

	wroteAny    atomic.Bool
	cancelled   atomic.Bool
	writeMu     sync.Mutex // held during each write
	writeErr    error      // of the first write that failed
	idleTimeout clock.Millis
	keepWaiting func() bool
	readBudget  int64 // bytes that may still be read for the current header or body
	head        headScanner
}

func newConn(raw net.Conn, a *addressPool) *conn {
	c := &conn{raw: raw, addressPool: a}
	c.reader = bufio.NewReader(connReader{c})
	c.writer = bufio.NewWriter(connWriter{c})
	return c
}

// prepare resets the state of the previous request.
func (c *conn) prepare(idleTimeout clock.Millis, keepWaiting func() bool) error {
	c.wroteAny.Store(false)
	c.idleTimeout = idleTimeout
	c.keepWaiting = keepWaiting
	c.readBudget = maxHeaderBytes
	c.head = headScanner{}
	if err := c.raw.SetDeadline(time.Time{}); err != nil {
		return err
	}
	return c.cancelErr()
}

// cancel closes the sending direction and makes the reads and writes in progress
// return. It fails if the connection is already closed.
func (c *conn) cancel() error {
	c.cancelled.Store(true)
	writeCloser, ok := c.raw.(interface{ CloseWrite() error })
	if !ok {
		return errNoHalfClose
	}
	return errors.Join(writeCloser.CloseWrite(), c.raw.SetDeadline(time.Unix(1, 0)))
}

// cancelErr returns an error after cancel. It must be called after each change of
// the connection's deadline, because the change may have replaced the deadline
// that cancel set.
func (c *conn) cancelErr() error {
	if c.cancelled.Load() {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// isOpen reports whether an idle connection is still open and has no unread bytes.
// It peeks at the socket without blocking. This detects a server that closed the
// connection while it was idle before any byte is written.
func (c *conn) isOpen() bool {
	sc, ok := c.raw.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	rawConn, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// statusLinePrefix is a pattern of the beginning of each HTTP/1.x response. 'd' stands for any
// digit, 's' for the first digit of a status code and '\n' for the end of that code.
const statusLinePrefix = "HTTP/1.d sdd\n"

var errInvalidStatusLine = merry.Sentinel("bytes are not the beginning of an HTTP/1.x response with a status code from 100 to 599")

// checkStatusLine reads the beginning of a response and returns an error as soon as it
// differs from statusLinePrefix. http.ReadResponse would read on until the line ends. It
// also accepts codes such as "000" and "+20", which look like those of informational
// responses, so that the body would be read as the final response. checkStatusLine leaves
// errors of the connection to the next read.
func (c *conn) checkStatusLine() error {
	for n := 1; n <= len(statusLinePrefix); n++ {
		b, err := c.reader.Peek(n)
		if err != nil {
			return nil
		}
		if !matchesStatusLine(statusLinePrefix[n-1], b[n-1]) {
			return merry.Wrap(errInvalidStatusLine, merry.AppendMessagef("%q", b))
		}
	}
	return nil
}

// matchesStatusLine reports whether a byte matches a byte of statusLinePrefix.
func matchesStatusLine(pattern, b byte) bool {
	switch pattern {
	case 'd':
		return '0' <= b && b <= '9'
	case 's':
		return '1' <= b && b <= '5'
	case '\n':
		return b == ' ' || b == '\r' || b == '\n' // the reason phrase may be missing
	}
	return b == pattern
}

type connReader struct{ c *conn }

// Read implements io.Reader. It returns ErrIdleTimeout when no byte arrives within
// the idle timeout, unless keepWaiting returns true.
func (r connReader) Read(b []byte) (int, error) {
	c := r.c
	if c.readBudget <= 0 {
		return 0, errHeaderTooLong
	}
	if c.head.err != nil {
		return 0, c.head.err
	}
	for {
		n, err := c.readWithTimeout(b, c.idleTimeout)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.cancelErr() != nil {
			return n, err
		}
		if c.keepWaiting == nil {
			return 0, c.idleTimeoutError()
		}
		if !c.keepWaiting() {
			return c.finalRead(b)
		}
	}
}

// readWithTimeout reads once. A timeout of 0 sets no deadline.
func (c *conn) readWithTimeout(b []byte, timeout clock.Millis) (int, error) {
	if timeout > 0 {
		if err := c.raw.SetReadDeadline(time.Now().Add(timeout.Duration())); err != nil {
			return 0, err
		}
	}
	if err := c.cancelErr(); err != nil {
		return 0, err
	}
	n, err := c.raw.Read(b)
	// A server that honours the cancellation may end its response in valid form at
	// the point where it stopped. Bytes that arrive after cancel must therefore not
	// complete the response.
	if err := c.cancelErr(); err != nil {
		return 0, err
	}
	if err == io.EOF {
		err = c.endOfStream()
	}
	c.readBudget -= int64(n)
	if err := c.head.scan(b[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// endOfStream returns the error of a read that met the end of the connection. The kernel
// reports a reset or a timeout of the connection to one system call only. If a write got it,
// reads return a regular end although the server has not ended the stream.
func (c *conn) endOfStream() error {
	// Ends a write in progress, which may have got the error already.
	_ = c.raw.SetWriteDeadline(time.Unix(1, 0))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	var code syscall.Errno
	// EPIPE means that the server had ended the stream before it reset the connection.
	if errors.As(c.writeErr, &code) && code != syscall.EPIPE {
		return c.writeErr
	}
	return io.EOF
}

// finalReadTimeout bounds the last read of a connection that keepWaiting reported
// as lost. keepWaiting may ask the server over another connection, and the answer can
// arrive before bytes that the server wrote earlier on this one. Bytes may also
// arrive here while keepWaiting waits for the answer.
const finalReadTimeout clock.Millis = 100

// finalRead returns bytes that arrived after the last read that timed out, so that
// bytes in the socket buffer are not treated as lost.
func (c *conn) finalRead(b []byte) (int, error) {
	n, err := c.readWithTimeout(b, finalReadTimeout)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.cancelErr() == nil {
		return 0, c.idleTimeoutError()
	}
	return n, err
}

func (c *conn) idleTimeoutError() error {
	return merry.Wrap(ErrIdleTimeout, merry.AppendMessagef("no byte for %d ms", c.idleTimeout))
}

// endedInWrite reports whether a write has failed because the server ended the connection.
// Reads then do not block, and what the server has sent before can still be read.
func (c *conn) endedInWrite() bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return errors.Is(c.writeErr, syscall.EPIPE) || errors.Is(c.writeErr, syscall.ECONNRESET)
}

type connWriter struct{ c *conn }

// Write implements io.Writer and records whether bytes may have reached the
// server.
func (w connWriter) Write(b []byte) (int, error) {
	c := w.c
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.raw.Write(b)
	if n > 0 {
		c.wroteAny.Store(true)
	}
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}
