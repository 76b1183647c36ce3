package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/header"
)

// scriptedConn is a connection whose other end sends fixed bytes and closes.
type scriptedConn struct {
	net.Conn
	response     *bytes.Reader
	bytesWritten int
}

func (c *scriptedConn) Read(b []byte) (int, error)         { return c.response.Read(b) }
func (c *scriptedConn) Write(b []byte) (int, error)        { c.bytesWritten += len(b); return len(b), nil }
func (c *scriptedConn) Close() error                       { return nil }
func (c *scriptedConn) SetDeadline(t time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(t time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(t time.Time) error { return nil }

// Guards against a response that no server should send. It must not make the node
// panic or hang, be returned for another request, be treated as complete although
// it is truncated, or make a request that was written look as if it did not run.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte("HTTP/1.1 102 Processing\r\n\r\n" + okResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nGentiansail-Request-Id: r1\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nGentiansail-Request-Id: r2\r\nGentiansail-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nGentiansail-Request-Id: r1\r\n\r\nok"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nGentiansail-Request-Id: r1\r\n\r\nuntil the end"))
	f.Add([]byte(okResponse + okResponse))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 000 Odd\r\nContent-Length: 81\r\n\r\n" + okResponse))
	f.Add([]byte("HTTP/1.1 +20 Odd\r\n\r\n" + okResponse))
	f.Add([]byte("HTTP/1.1 600 Odd\r\nGentiansail-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 102 Processing\r\nContent-Length: 81\r\n\r\n" + okResponse))
	f.Add([]byte("HTTP/1.1 204 No Content\r\nGentiansail-Request-Id: r1\r\n\r\nrest"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nGentiansail-Request-Id: r1\r\nContent-Length : 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + okResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nGentiansail-Request-Id: r1\r\n\r\n2\r\nok\r\n0\r\nX Odd: y\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &scriptedConn{response: bytes.NewReader(data)}
		p := NewPool(Options{Dial: func(context.Context, string) (net.Conn, error) { return c, nil }})
		response, err := p.Do(t.Context(), Request{Address: "a", HTTP: post(t, "127.0.0.1:1"), RequestID: "r1", RequireRequestID: true})
		qt.Assert(t, c.bytesWritten > 0, qt.IsTrue)
		if err != nil {
			qt.Assert(t, ProgressOf(err), qt.Equals, Unknown)
			qt.Assert(t, p.addressPool("a").idle, qt.HasLen, 0)
			return
		}
		qt.Assert(t, response.StatusCode >= 200 && response.StatusCode <= 599, qt.IsTrue)
		qt.Assert(t, response.Header.Get(header.RequestID), qt.Equals, "r1")
		body, err := io.ReadAll(response.Body)
		if err != nil {
			qt.Assert(t, ProgressOf(err), qt.Equals, ResponseTruncated)
			qt.Assert(t, errors.Is(err, ErrTruncated), qt.IsTrue)
			qt.Assert(t, p.addressPool("a").idle, qt.HasLen, 0)
			return
		}
		checkComplete(t, response, body)
		for name := range response.Header {
			qt.Assert(t, header.IsName(name), qt.IsTrue, qt.Commentf("%q", name))
		}
		for name, values := range response.Trailer {
			qt.Assert(t, values == nil || header.IsName(name), qt.IsTrue, qt.Commentf("%q", name))
		}
		for _, idle := range p.addressPool("a").idle {
			qt.Assert(t, idle.reader.Buffered(), qt.Equals, 0)
			qt.Assert(t, c.response.Len(), qt.Equals, 0)
		}
	})
}

// checkComplete checks that a body that was read without an error has the length
// that Content-Length states, or is chunked.
func checkComplete(t *testing.T, response *http.Response, body []byte) {
	qt.Assert(t, response.ContentLength >= 0 || len(response.TransferEncoding) > 0, qt.IsTrue)
	if response.ContentLength >= 0 {
		qt.Assert(t, int64(len(body)), qt.Equals, response.ContentLength)
	}
	contentLength := response.Header.Get("Content-Length")
	if n, err := strconv.Atoi(contentLength); err == nil && response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified {
		qt.Assert(t, len(body), qt.Equals, n)
	}
}
