package exchange

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// writeFirstConn is a connection on which a write meets the end of the connection before any
// read does.
type writeFirstConn struct {
	*net.TCPConn
	// holdWrite delays the return of the failed write until a read has met the end as well, or
	// the connection is closed.
	holdWrite              bool
	writeFailed, readEnded chan struct{}
	failWrite, endRead     func()
}

func newWriteFirstConn(raw net.Conn, holdWrite bool) *writeFirstConn {
	c := &writeFirstConn{TCPConn: raw.(*net.TCPConn), holdWrite: holdWrite, writeFailed: make(chan struct{}), readEnded: make(chan struct{})}
	c.failWrite = sync.OnceFunc(func() { close(c.writeFailed) })
	c.endRead = sync.OnceFunc(func() { close(c.readEnded) })
	return c
}

// Write implements net.Conn.
func (c *writeFirstConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.failWrite()
		if c.holdWrite {
			<-c.readEnded
		}
	}
	return n, err
}

// Read implements net.Conn.
func (c *writeFirstConn) Read(b []byte) (int, error) {
	<-c.writeFailed
	n, err := c.TCPConn.Read(b)
	if err != nil {
		c.endRead()
	}
	return n, err
}

// Close implements net.Conn.
func (c *writeFirstConn) Close() error {
	c.endRead()
	return c.TCPConn.Close()
}

// endlessBody is a request body that never ends.
type endlessBody struct{}

// Read implements io.Reader.
func (endlessBody) Read(b []byte) (int, error) { return len(b), nil }

// Close implements io.Closer.
func (endlessBody) Close() error { return nil }

// answerUpload accepts one connection, reads a part of an upload and writes a response. It then
// ends the connection with end, while the rest of the upload is being written.
func answerUpload(t *testing.T, read int64, response string, end func(*net.TCPConn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		s := c.(*net.TCPConn)
		defer s.Close()
		_ = s.SetReadBuffer(64 << 10)
		reader := bufio.NewReader(s)
		r, err := http.ReadRequest(reader)
		if !qt.Check(t, err, qt.IsNil) {
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, read)
		_, _ = io.WriteString(s, response)
		end(s)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String()
}

// resetConnection ends a connection with a reset.
func resetConnection(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// longBody is longer than what the buffers of a connection hold.
var longBody = bytes.Repeat([]byte("x"), 16<<20)

// sendUpload sends a long body, and returns what was received as the body of the response.
func sendUpload(t *testing.T, address string, streamed, holdWrite bool) (string, error) {
	p := pool(t)
	p.options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return newWriteFirstConn(raw, streamed && holdWrite), nil
	}
	r := post(t, address)
	r.Body, r.ContentLength = Body(longBody), int64(len(longBody))
	if streamed {
		r.Body, r.ContentLength, r.TransferEncoding = endlessBody{}, -1, []string{"chunked"}
	}
	response, err := p.Do(t.Context(), Request{Address: address, HTTP: r, RequestID: "r1", RequireRequestID: true, SkipMismatched: true, AllowCloseDelimited: true})
	if err != nil {
		qt.Check(t, ProgressOf(err), qt.Equals, Unknown)
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		qt.Check(t, ProgressOf(err), qt.Equals, ResponseTruncated)
		qt.Check(t, err, qt.ErrorIs, ErrTruncated)
	}
	return string(body), err
}

// uploadForms calls f with each way in which a request body is written.
func uploadForms(t *testing.T, f func(t *testing.T, streamed, holdWrite bool)) {
	t.Run("body in memory", func(t *testing.T) { f(t, false, false) })
	t.Run("streamed body", func(t *testing.T) { f(t, true, false) })
	t.Run("streamed body, read before the write returns", func(t *testing.T) { f(t, true, true) })
}

// Guards against a response that is delimited by the end of its connection, was cut off by a
// reset and is returned as complete. The kernel reports a reset to one system call only: if a
// write of the request gets it, the next read returns a regular end.
func TestResetDuringUploadIsTruncation(t *testing.T) {
	const fields = "Gentiansail-Request-Id: r1\r\n"
	responses := map[string]string{
		"no length":                     "HTTP/1.1 200 OK\r\n" + fields + "\r\npart",
		"no length, no body yet":        "HTTP/1.1 200 OK\r\n" + fields + "\r\n",
		"no length, HTTP/1.0":           "HTTP/1.0 200 OK\r\n" + fields + "\r\npart",
		"no length, long":               "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + strings.Repeat("part", 10<<10),
		"no length, Connection: close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n" + fields + "\r\npart",
		"no length, failure":            "HTTP/1.1 500 Odd\r\n" + fields + "\r\npart",
		"no length after informational": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "\r\npart",
		"no length after another":       "HTTP/1.1 200 OK\r\nGentiansail-Request-Id: r0\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n" + fields + "\r\npart",
		"length":                        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + fields + "\r\npart",
		"chunked":                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + fields + "\r\n4\r\npart\r\n",
		"chunked, in the trailer":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + fields + "\r\n4\r\npart\r\n0\r\nA: b\r\n",
		"only informational":            "HTTP/1.1 102 Processing\r\n\r\n",
		"unfinished head":               "HTTP/1.1 200 OK\r\n" + fields,
		"nothing":                       "",
	}
	for name, response := range responses {
		for _, read := range []int64{0, 100 << 10, 4 << 20} {
			t.Run(fmt.Sprintf("%s, after %d bytes", name, read), func(t *testing.T) {
				uploadForms(t, func(t *testing.T, streamed, holdWrite bool) {
					body, err := sendUpload(t, answerUpload(t, read, response, resetConnection), streamed, holdWrite)
					qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%d bytes are returned as a complete body", len(body)))
				})
			})
		}
	}
}

// failingConn is a scriptedConn whose writes fail after the first one.
type failingConn struct {
	*scriptedConn
	err error
}

// Write implements net.Conn.
func (c failingConn) Write(b []byte) (int, error) {
	if c.bytesWritten > 0 {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.err)}
	}
	return c.scriptedConn.Write(b)
}

// Guards against a connection that was lost in another way than by a reset, and whose regular
// end completes a response.
func TestEndAfterFailedWrite(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nGentiansail-Request-Id: r1\r\n\r\nbody"
	tests := map[error]bool{syscall.ECONNRESET: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.EPIPE: true}
	for writeErr, complete := range tests {
		t.Run(writeErr.Error(), func(t *testing.T) {
			p := NewPool(Options{Dial: func(context.Context, string) (net.Conn, error) {
				return failingConn{&scriptedConn{response: bytes.NewReader([]byte(response))}, writeErr}, nil
			}})
			r := post(t, "127.0.0.1:1")
			r.Body, r.ContentLength = Body(make([]byte, 64<<10)), 64<<10
			result, err := p.Do(t.Context(), Request{Address: "a", HTTP: r, RequestID: "r1", AllowCloseDelimited: true})
			qt.Assert(t, err, qt.IsNil)
			body, err := io.ReadAll(result.Body)
			qt.Assert(t, err == nil, qt.Equals, complete, qt.Commentf("%v", err))
			qt.Assert(t, string(body), qt.Equals, "body")
		})
	}
}

// Guards against rejecting a complete response to an upload that is still being written: the
// server ends its sending direction after the response, and then closes the connection, which
// resets it because of the rest of the upload.
func TestEndDuringUploadIsComplete(t *testing.T) {
	closeRegularly := func(c *net.TCPConn) { _ = c.CloseWrite() }
	responses := map[string]string{
		"no length":           "HTTP/1.1 200 OK\r\nGentiansail-Request-Id: r1\r\n\r\nwhole",
		"no length, HTTP/1.0": "HTTP/1.0 200 OK\r\nGentiansail-Request-Id: r1\r\n\r\nwhole",
		"length":              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nGentiansail-Request-Id: r1\r\n\r\nwhole",
		"chunked":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nGentiansail-Request-Id: r1\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			uploadForms(t, func(t *testing.T, streamed, holdWrite bool) {
				body, err := sendUpload(t, answerUpload(t, 0, response, closeRegularly), streamed, holdWrite)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, body, qt.Equals, "whole")
			})
		})
	}
}
