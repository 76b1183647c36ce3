package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// endless describes a response that never ends: a beginning, and a part that is repeated
// with a pause after each repetition until the caller closes the connection.
type endless struct {
	begin, repeat string
	pause         time.Duration
}

// serveEndless answers each request with an endless response. The returned channel
// receives a value when the caller has closed a connection.
func serveEndless(t *testing.T, e endless) (address string, closed <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ended := make(chan struct{}, 100)
	served := make(chan struct{})
	go func() {
		defer close(served)
		for {
			s, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { ended <- struct{}{} }()
				defer s.Close()
				if _, err := http.ReadRequest(bufio.NewReader(s)); err != nil {
					return
				}
				_, err := io.WriteString(s, e.begin)
				part := []byte(e.repeat)
				if e.pause == 0 {
					// One write of many repetitions keeps the test fast.
					part = bytes.Repeat(part, 1+8192/len(part))
				}
				for err == nil {
					_, err = s.Write(part)
					time.Sleep(e.pause)
				}
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-served
	})
	return l.Addr().String(), ended
}

// Guards against a process that runs out of memory, or holds a request until its caller
// gives up, because a server sends bytes without end that are no response. A sidecar may
// have 184 MB and run 18 requests at once, of which half is for garbage: 4 MB for each.
func TestEndlessBytesThatAreNoResponse(t *testing.T) {
	const maxBytes = 4 << 20
	// The request itself may take 30 s. Clients of a route wait about 1 s for a response.
	const maxDuration = time.Second
	tests := map[string]endless{
		"bytes without a line":          {repeat: "x"},
		"bytes without a line, slowly":  {repeat: "x", pause: 20 * time.Millisecond},
		"lines":                         {repeat: "garbage\r\n"},
		"status line":                   {begin: "HTTP/1.1 200 ", repeat: "x"},
		"header line":                   {begin: "HTTP/1.1 200 OK\r\nA: ", repeat: "x"},
		"header fields":                 {begin: "HTTP/1.1 200 OK\r\n", repeat: "a:\r\n"},
		"different header fields":       {begin: "HTTP/1.1 200 OK\r\n" + differentFields(200_000), repeat: "a:\r\n"},
		"informational responses":       {repeat: "HTTP/1.1 102 Processing\r\n\r\n"},
		"long informational responses":  {repeat: "HTTP/1.1 102 Processing\r\n" + strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 50) + "\r\n"},
		"response to another":           {begin: "HTTP/1.1 200 OK\r\nThe-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "1\r\nx\r\n"},
		"response to another, slowly":   {begin: "HTTP/1.1 200 OK\r\nThe-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "1\r\nx\r\n", pause: 20 * time.Millisecond},
		"responses to others":           {repeat: "HTTP/1.1 200 OK\r\nThe-Id: other\r\nContent-Length: 1\r\n\r\nx"},
		"response to another, unframed": {begin: "HTTP/1.1 200 OK\r\nThe-Id: other\r\n\r\n", repeat: "x", pause: 20 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, closed := serveEndless(t, tt)
			p := pool(t)
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			r := post(t, address)
			start, before := time.Now(), allocatedBytes()
			_, err := p.Do(ctx, Request{
				Address: address, HTTP: r, RequestID: "mine", RequestIDHeader: "The-Id", RequireRequestID: true,
				SkipMismatched: true, AllowCloseDelimited: true,
			})
			qt.Check(t, allocatedBytes()-before < maxBytes, qt.IsTrue, qt.Commentf("%d bytes allocated", allocatedBytes()-before))
			qt.Check(t, time.Since(start) < maxDuration, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			qt.Check(t, err, qt.Not(qt.IsNil))
			qt.Check(t, ProgressOf(err), qt.Equals, Unknown)
			cancel()
			<-closed
		})
	}
}

// differentFields returns header fields of different names.
func differentFields(n int) string {
	var b strings.Builder
	for i := range n {
		for x := i + 1; x > 0; x /= 26 {
			b.WriteByte('a' + byte(x%26))
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}

// allocatedBytes returns the bytes that this process has allocated so far, freed ones and
// those of the stand-in server included.
func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// Guards against a body without end that is kept in memory, or read after its request has
// ended.
func TestEndlessBodies(t *testing.T) {
	const maxBytes = 4 << 20
	tests := map[string]endless{
		"chunked":          {begin: "HTTP/1.1 200 OK\r\nThe-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "1\r\nx\r\n"},
		"unframed":         {begin: "HTTP/1.1 200 OK\r\nThe-Id: mine\r\n\r\n", repeat: "x"},
		"announced":        {begin: "HTTP/1.1 200 OK\r\nThe-Id: mine\r\nContent-Length: 9223372036854775807\r\n\r\n", repeat: "x"},
		"chunk extension":  {begin: "HTTP/1.1 200 OK\r\nThe-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", repeat: "x"},
		"chunk size":       {begin: "HTTP/1.1 200 OK\r\nThe-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "0"},
		"trailer":          {begin: "HTTP/1.1 200 OK\r\nThe-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", repeat: "x"},
		"trailer fields":   {begin: "HTTP/1.1 200 OK\r\nThe-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", repeat: "a:\r\n"},
		"unframed, slowly": {begin: "HTTP/1.1 200 OK\r\nThe-Id: mine\r\n\r\n", repeat: "x", pause: 20 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, closed := serveEndless(t, tt)
			p := pool(t)
			const timeout = 300 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			start, before := time.Now(), allocatedBytes()
			response, err := p.Do(ctx, Request{
				Address: address, HTTP: post(t, address), RequestID: "mine", RequestIDHeader: "The-Id", RequireRequestID: true,
				SkipMismatched: true, AllowCloseDelimited: true,
			})
			qt.Assert(t, err, qt.IsNil)
			_, err = io.Copy(io.Discard, response.Body)
			qt.Check(t, ProgressOf(err), qt.Equals, ResponseTruncated)
			qt.Check(t, allocatedBytes()-before < maxBytes, qt.IsTrue, qt.Commentf("%d bytes allocated", allocatedBytes()-before))
			qt.Check(t, time.Since(start) < timeout+time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			qt.Check(t, response.Body.Close(), qt.IsNil)
			<-closed
		})
	}
}
