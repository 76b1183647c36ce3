package exchange

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// maxHeaderBytes bounds a response header; it is the default of http.Transport
// divided by ten.
const maxHeaderBytes = 1 << 20

// unlimited is a read budget that no response exhausts.
const unlimited = int64(1) << 62

var errHalfClose = merry.Sentinel("connection has no separate sending direction")

var errHeaderTooLong = merry.Sentinel("response header is too long")

// conn is one connection. Its reader lives as long as the connection, so that
// bytes that arrive after a response are noticed.
type conn struct {
	raw       net.Conn
	address   *addressPool
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince clock.Millis

	wrote    atomic.Bool
	givenUp  atomic.Bool
	silence  clock.Millis
	waitOn   func() bool
	remained int64 // bytes that may still be read
}

func newConn(raw net.Conn, a *addressPool) *conn {
	c := &conn{raw: raw, address: a}
	c.reader = bufio.NewReader(connReader{c})
	c.writer = bufio.NewWriter(connWriter{c})
	return c
}

// prepare resets what belongs to one request.
func (c *conn) prepare(silence clock.Millis, waitOn func() bool) error {
	c.wrote.Store(false)
	c.silence = silence
	c.waitOn = waitOn
	c.remained = maxHeaderBytes
	if err := c.raw.SetDeadline(time.Time{}); err != nil {
		return err
	}
	return c.usable()
}

// giveUp closes the sending direction and ends the reads and writes in progress.
// It fails when the connection is closed already.
func (c *conn) giveUp() error {
	c.givenUp.Store(true)
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok {
		return errHalfClose
	}
	return errors.Join(half.CloseWrite(), c.raw.SetDeadline(time.Unix(1, 0)))
}

// usable returns an error after giveUp. It is called after each change of the
// connection's deadline, which could have undone that of giveUp.
func (c *conn) usable() error {
	if c.givenUp.Load() {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// open reports whether an idle connection is still open and silent, by a read
// that neither waits nor consumes. A server that closed the connection while it
// was idle is noticed here, before any byte is written.
func (c *conn) open() bool {
	s, ok := c.raw.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

type connReader struct{ c *conn }

// Read implements io.Reader. It ends with ErrSilent when the limit passes
// without a byte and nobody asks to wait on.
func (r connReader) Read(b []byte) (int, error) {
	c := r.c
	if c.remained <= 0 {
		return 0, errHeaderTooLong
	}
	for {
		n, err := c.readWithin(b, c.silence)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.usable() != nil {
			return n, err
		}
		if c.waitOn == nil {
			return 0, c.silent()
		}
		if !c.waitOn() {
			return c.lastRead(b)
		}
	}
}

// readWithin reads once, within a time if that is above 0.
func (c *conn) readWithin(b []byte, limit clock.Millis) (int, error) {
	if limit > 0 {
		if err := c.raw.SetReadDeadline(time.Now().Add(limit.Duration())); err != nil {
			return 0, err
		}
	}
	if err := c.usable(); err != nil {
		return 0, err
	}
	n, err := c.raw.Read(b)
	// A server that honours the cancellation may end its response cleanly where
	// it stopped. Nothing that arrives after giveUp belongs to the response.
	if err := c.usable(); err != nil {
		return 0, err
	}
	c.remained -= int64(n)
	return n, err
}

// lastLook is how long a connection that was judged lost may still deliver. The
// verdict travels over another connection and can overtake bytes that were
// written before it, and bytes may arrive while it is being asked for.
const lastLook clock.Millis = 100

// lastRead returns what arrived after the last read that timed out, so that bytes
// which wait in the socket are not counted as lost.
func (c *conn) lastRead(b []byte) (int, error) {
	n, err := c.readWithin(b, lastLook)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.usable() == nil {
		return 0, c.silent()
	}
	return n, err
}

func (c *conn) silent() error {
	return merry.Wrap(ErrIdleTimeout, merry.AppendMessagef("no byte for %d ms", c.silence))
}

type connWriter struct{ c *conn }

// Write implements io.Writer and notes that bytes may have reached the server.
func (w connWriter) Write(b []byte) (int, error) {
	n, err := w.c.raw.Write(b)
	if n > 0 {
		w.c.wrote.Store(true)
	}
	return n, err
}
