package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nGentiansail-Request-Id: r1\r\n\r\nok"

// server writes responses[n] for the n-th request of each connection. It closes the
// connection after the last response, and after a response that does not end in
// "ok", such as an empty one. In place of the response "silence" it sends nothing
// until the client closes the connection.
type server struct {
	address string
	runs    atomic.Int64  // requests read
	conns   atomic.Int64  // connections accepted
	ended   chan struct{} // receives one value for each connection closed
}

func serve(t *testing.T, responses ...string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	s := &server{address: l.Addr().String(), ended: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.respond(c, responses)
		}
	}()
	return s
}

func (s *server) respond(c net.Conn, responses []string) {
	defer func() { s.ended <- struct{}{} }()
	defer c.Close()
	br := bufio.NewReader(c)
	for _, response := range responses {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.runs.Add(1)
		if response == "silence" {
			_, _ = br.ReadByte() // blocks until the client closes
			return
		}
		_, _ = io.WriteString(c, response)
		if !strings.HasSuffix(response, "ok") {
			return
		}
	}
}

func post(t *testing.T, address string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/pledges/1", Body([]byte("batch")))
	qt.Assert(t, err, qt.IsNil)
	r.ContentLength = 5
	r.Header.Set(header.IdempotencyKey, "k1")
	r.GetBody = func() (io.ReadCloser, error) { return Body([]byte("batch")), nil }
	return r
}

func pool(t *testing.T) *Pool {
	p := NewPool(Options{MaxPerAddress: 2})
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = p.Run(ctx)
	})
	return p
}

func send(t *testing.T, p *Pool, r Request) (string, error) {
	r.HTTP = post(t, r.Address)
	r.RequestID = "r1"
	response, err := p.Do(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return string(b), err
}

// Guards against a request that runs twice because the client replays it when a
// pooled connection fails. The first half shows that http.Transport replays it.
func TestNeverReplays(t *testing.T) {
	c := qt.New(t)
	s := serve(t, okResponse, "")
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	for range 2 {
		response, err := tr.RoundTrip(post(t, s.address))
		c.Assert(err, qt.IsNil)
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	c.Assert(s.runs.Load(), qt.Equals, int64(3), qt.Commentf("the second request ran twice"))

	s = serve(t, okResponse, "")
	p := pool(t)
	_, err := send(t, p, Request{Address: s.address})
	c.Assert(err, qt.IsNil)
	_, err = send(t, p, Request{Address: s.address})
	c.Assert(ProgressOf(err), qt.Equals, Unknown)
	c.Assert(s.runs.Load(), qt.Equals, int64(2))
	c.Assert(s.conns.Load(), qt.Equals, int64(1))
}

// Guards against writing to a connection that the server closed while it was
// idle. The outcome of such a request would be unknown.
func TestClosedIdleConnection(t *testing.T) {
	c := qt.New(t)
	s := serve(t, okResponse)
	p := pool(t)
	for n := range 2 {
		body, err := send(t, p, Request{Address: s.address})
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
		<-s.ended
		c.Assert(s.conns.Load(), qt.Equals, int64(n+1))
	}
}

// Guards against a response that is truncated, malformed or belongs to another
// request and is returned as complete, and against reuse of its connection.
func TestDamagedResponses(t *testing.T) {
	tests := map[string]struct {
		response string
		request  Request
		progress Progress
		cause    error
	}{
		"short body":            {response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", progress: ResponseTruncated, cause: ErrTruncated},
		"no final chunk":        {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", progress: ResponseTruncated, cause: ErrTruncated},
		"close-delimited":       {response: "HTTP/1.1 200 OK\r\n\r\npart", progress: Unknown, cause: ErrResponse},
		"id of another request": {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nGentiansail-Request-Id: r2\r\n\r\nok", progress: Unknown, cause: ErrRequestIDMismatch},
		"no id":                 {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", request: Request{RequireRequestID: true}, progress: Unknown, cause: ErrRequestIDMismatch},
		"empty":                 {response: "", progress: Unknown, cause: ErrResponse},
		"switches protocols":    {response: "HTTP/1.1 101 Switching Protocols\r\n\r\n", progress: Unknown, cause: ErrResponse},
		"no response":           {response: "silence", request: Request{IdleTimeout: 1}, progress: Unknown, cause: ErrIdleTimeout},
		"long header":           {response: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 2*maxHeaderBytes), progress: Unknown, cause: ErrResponse},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := serve(t, tt.response, okResponse)
			p := pool(t)
			tt.request.Address = s.address
			_, err := send(t, p, tt.request)
			c.Assert(err, qt.ErrorIs, tt.cause)
			c.Assert(ProgressOf(err), qt.Equals, tt.progress)
			<-s.ended
			c.Assert(p.addressPool(s.address).idle, qt.HasLen, 0)
		})
	}
}

// Guards against treating an informational response as the final one.
func TestInformationalResponse(t *testing.T) {
	c := qt.New(t)
	s := serve(t, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"+okResponse)
	seen := 0
	body, err := send(t, pool(t), Request{Address: s.address, OnInformational: func(int, http.Header) { seen++ }})
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "ok")
	c.Assert(seen, qt.Equals, 2)
}

// Guards against Progress Unknown for a request of which nothing was written, and
// against a wait for a free connection that continues after the context has ended.
func TestNotSent(t *testing.T) {
	c := qt.New(t)
	s := serve(t, "silence")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l.Close()
	p := pool(t)
	_, err = send(t, p, Request{Address: l.Addr().String()})
	c.Assert(err, qt.ErrorIs, ErrConnectionRefused)
	c.Assert(ProgressOf(err), qt.Equals, NotSent)

	_, err = send(t, p, Request{Address: s.address, BeforeWrite: func() error { return io.EOF }})
	c.Assert(err, qt.ErrorIs, ErrBeforeWrite)
	c.Assert(ProgressOf(err), qt.Equals, NotSent)

	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan error, 3)
	for range 3 {
		go func() {
			_, err := p.Do(ctx, Request{Address: s.address, HTTP: post(t, s.address)})
			results <- err
		}()
	}
	for s.runs.Load() < 2 {
		_ = clock.System().Sleep(context.Background(), 1)
	}
	cancel()
	got := map[Progress]int{}
	for range 3 {
		err := <-results
		c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)
		got[ProgressOf(err)]++
	}
	c.Assert(got, qt.DeepEquals, map[Progress]int{NotSent: 1, Unknown: 2})
	<-s.ended // cancellation closed the connections
	<-s.ended
}

// Guards against OnEnded being called while the server may still work on the
// request, against OnEnded never being called, and against a cancellation that does
// not reach the server.
func TestOnEndedIsCalledWhenServerHasEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	tests := map[string]struct {
		response       string
		beforeWriteErr error
		endAfter       clock.Millis // from the start until EndDeadline
		continues      bool         // the server keeps working after the cancellation
	}{
		"complete":                           {response: okResponse, endAfter: 600_000},
		"not written":                        {beforeWriteErr: io.EOF, endAfter: 600_000},
		"server stops before the response":   {endAfter: 600_000},
		"server stops in the body":           {response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", endAfter: 600_000},
		"server ends before the deadline":    {endAfter: 600_000, continues: true},
		"server continues past the deadline": {endAfter: 1, continues: true},
		"no deadline":                        {continues: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := pool(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended, result := make(chan struct{}, 2), make(chan error, 1)
			r := Request{Address: l.Addr().String(), HTTP: post(t, l.Addr().String()), OnEnded: func() { ended <- struct{}{} }, EndDeadline: clock.System().Now() + tt.endAfter}
			r.BeforeWrite = func() error { return tt.beforeWriteErr }
			go func() {
				response, err := p.Do(ctx, r)
				if err == nil {
					_, err = io.ReadAll(response.Body)
				}
				result <- err
			}()
			s, err := l.Accept()
			c.Assert(err, qt.IsNil)
			defer s.Close()
			if tt.beforeWriteErr == nil {
				got, err := http.ReadRequest(bufio.NewReader(s))
				c.Assert(err, qt.IsNil)
				_, _ = io.Copy(io.Discard, got.Body)
				_, _ = io.WriteString(s, tt.response)
			}
			if tt.response != okResponse && tt.beforeWriteErr == nil {
				cancel()
				_, err := s.Read(make([]byte, 1))
				c.Assert(err, qt.IsNotNil) // the server sees the cancellation
			}
			<-result
			if tt.continues && tt.endAfter > 1 {
				c.Assert(ended, qt.HasLen, 0)
			}
			if !tt.continues || tt.endAfter > 1 {
				s.Close()
			}
			<-ended
			c.Assert(ended, qt.HasLen, 0)
		})
	}
}

// Guards against a server that keeps sending for ever after the cancellation of its
// request. Such a server ignores the end of the sending direction and notices only
// writes that fail.
func TestCancelClosesConnectionOfSendingServer(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	p := pool(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended, result := make(chan struct{}), make(chan error, 1)
	r := Request{Address: l.Addr().String(), HTTP: post(t, l.Addr().String()), OnEnded: func() { close(ended) }, EndDeadline: clock.System().Now() + 600_000}
	go func() {
		response, err := p.Do(ctx, r)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		result <- err
	}()
	s, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer s.Close()
	_, err = http.ReadRequest(bufio.NewReader(s))
	c.Assert(err, qt.IsNil)
	cancel()
	c.Assert(<-result, qt.IsNotNil)
	for err == nil {
		_, err = s.Write(make([]byte, 64<<10))
	}
	<-ended
}

// slowHalfCloser reports on readStarted and returned when a read starts and returns.
// Its first CloseWrite returns only after a read has returned.
type slowHalfCloser struct {
	*net.TCPConn
	readStarted, returned chan struct{}
	first                 sync.Once
}

// Read implements net.Conn.
func (c *slowHalfCloser) Read(b []byte) (int, error) {
	c.readStarted <- struct{}{}
	n, err := c.TCPConn.Read(b)
	c.returned <- struct{}{}
	return n, err
}

// CloseWrite closes the sending direction, and waits for a read on the first call.
func (c *slowHalfCloser) CloseWrite() error {
	err := c.TCPConn.CloseWrite()
	c.first.Do(func() { <-c.returned })
	return err
}

// Guards against a truncated response that is treated as complete: a server that
// honours a cancellation may end its response in valid form at the point where it
// stopped. Here the read returns the end before cancel has set its deadline.
func TestResponseEndAfterCancelIsTruncation(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	readStarted, returned := make(chan struct{}, 100), make(chan struct{}, 100)
	p := pool(t)
	p.options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return &slowHalfCloser{TCPConn: raw.(*net.TCPConn), readStarted: readStarted, returned: returned}, nil
	}
	served := make(chan error, 1)
	go func() {
		s, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		defer s.Close()
		_, err = http.ReadRequest(bufio.NewReader(s))
		_, _ = io.WriteString(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
		_, _ = io.Copy(io.Discard, s)
		_, _ = io.WriteString(s, "0\r\n\r\n")
		served <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := post(t, l.Addr().String())
	r.Body, r.ContentLength = http.NoBody, 0
	response, err := p.Do(ctx, Request{Address: l.Addr().String(), HTTP: r, OnEnded: func() {}, EndDeadline: clock.System().Now() + 600_000})
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(response.Body, make([]byte, 4))
	c.Assert(err, qt.IsNil)
	for len(readStarted) > 0 {
		<-readStarted
		<-returned
	}
	readErr := make(chan error, 1)
	go func() {
		_, err := response.Body.Read(make([]byte, 1))
		readErr <- err
	}()
	<-readStarted
	cancel()
	c.Assert(ProgressOf(<-readErr), qt.Equals, ResponseTruncated)
	c.Assert(<-served, qt.IsNil)
}

// Guards against truncating a live response of which a part was written while
// OnIdleTimeout was running. The part is in the socket buffer, and OnIdleTimeout
// knows only that the server has written more than was read.
func TestBytesWrittenDuringOnIdleTimeoutAreRead(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	callbackStarted, written := make(chan struct{}), make(chan struct{})
	served := make(chan error, 1)
	go func() {
		s, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		defer s.Close()
		_, err = http.ReadRequest(bufio.NewReader(s))
		_, _ = io.WriteString(s, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart")
		<-callbackStarted
		_, _ = io.WriteString(s, "rest")
		close(written)
		_, _ = io.Copy(io.Discard, s)
		served <- err
	}()
	p := pool(t)
	r := post(t, l.Addr().String())
	r.Body, r.ContentLength = http.NoBody, 0
	signalStart := sync.OnceFunc(func() { close(callbackStarted) })
	response, err := p.Do(t.Context(), Request{
		Address: l.Addr().String(), HTTP: r, IdleTimeout: 50,
		OnIdleTimeout: func(started bool, received int64) bool {
			if !started || received < 4 {
				return true
			}
			signalStart()
			<-written
			return false
		},
	})
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, "partrest")
	c.Assert(response.Body.Close(), qt.IsNil)
	p.CloseIdle(l.Addr().String())
	c.Assert(<-served, qt.IsNil)
}

// serveOnce accepts one connection and writes one of the given responses for each
// request on it.
func serveOnce(t *testing.T, responses ...string) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s, err := l.Accept()
		if err != nil {
			return
		}
		defer s.Close()
		r := bufio.NewReader(s)
		for _, response := range responses {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(s, response)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String()
}

// Guards against returning a late response to an earlier request as the response to
// this one, and against losing the matching response that follows it.
func TestMismatchedResponseIsSkipped(t *testing.T) {
	const mismatched = "HTTP/1.1 200 OK\r\nThe-Id: earlier\r\nContent-Length: 5\r\n\r\nextra"
	const matching = "HTTP/1.1 200 OK\r\nThe-Id: mine\r\nContent-Length: 3\r\n\r\nown"
	tests := map[string]struct {
		skip bool
		want string
	}{
		"skipped":     {skip: true, want: "own"},
		"not skipped": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address := serveOnce(t, mismatched+matching)
			p := pool(t)
			r := post(t, address)
			r.Body, r.ContentLength = http.NoBody, 0
			response, err := p.Do(t.Context(), Request{Address: address, HTTP: r, RequestID: "mine", RequestIDHeader: "The-Id", RequireRequestID: true, SkipMismatched: tt.skip})
			if tt.want == "" {
				qt.Assert(t, err, qt.ErrorIs, ErrRequestIDMismatch)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			body, err := io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(body), qt.Equals, tt.want)
			p.CloseIdle(address)
		})
	}
}

// Guards against rejecting close-delimited responses although AllowCloseDelimited is
// set, and against reuse of their connections.
func TestCloseDelimitedResponse(t *testing.T) {
	address := serveOnce(t, "HTTP/1.1 200 OK\r\nThe-Id: mine\r\n\r\nall of it")
	p := pool(t)
	r := post(t, address)
	r.Body, r.ContentLength = http.NoBody, 0
	response, err := p.Do(t.Context(), Request{Address: address, HTTP: r, RequestID: "mine", RequestIDHeader: "The-Id", RequireRequestID: true, AllowCloseDelimited: true})
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "all of it")
	qt.Assert(t, p.addressPool(address).idle, qt.HasLen, 0)
}

// Guards against rejecting a response without a request id although
// MayOmitRequestID allows it. A server that declines a request need not repeat the
// id.
func TestMayOmitRequestID(t *testing.T) {
	address := serveOnce(t, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	p := pool(t)
	r := post(t, address)
	r.Body, r.ContentLength = http.NoBody, 0
	response, err := p.Do(t.Context(), Request{
		Address: address, HTTP: r, RequestID: "mine", RequestIDHeader: "The-Id", RequireRequestID: true,
		MayOmitRequestID: func(r *http.Response) bool { return r.Header.Get("Not-Run") != "" },
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	p.CloseIdle(address)
}

// Guards against a response whose header broke off and that is returned as a complete one
// with an empty or short body.
func TestHeaderThatBreaksOff(t *testing.T) {
	tests := map[string]string{
		"body of known length": "HTTP/1.1 200 OK\r\nThe-Id: mine\r\nThe-Signature: 3e1b\r\nContent-Length: 25\r\n\r\n",
		"length first":         "HTTP/1.1 200 OK\r\nContent-Length: 25\r\nThe-Id: mine\r\nThe-Signature: 3e1b\r\n\r\n",
		"chunked body":         "HTTP/1.1 200 OK\r\nThe-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n",
		"close-delimited body": "HTTP/1.1 200 OK\r\nThe-Id: mine\r\nThe-Signature: 3e1b\r\n\r\n",
		"no body":              "HTTP/1.1 200 OK\r\nThe-Id: mine\r\nContent-Length: 0\r\n\r\n",
		"bare line feeds":      "HTTP/1.1 200 OK\nThe-Id: mine\nThe-Signature: 3e1b\n\n",
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			for length := range len(head) {
				address := serveOnce(t, head[:length])
				r := post(t, address)
				r.Body, r.ContentLength = http.NoBody, 0
				response, err := pool(t).Do(t.Context(), Request{Address: address, HTTP: r, RequestID: "mine", RequestIDHeader: "The-Id", RequireRequestID: true, SkipMismatched: true, AllowCloseDelimited: true})
				if err == nil {
					body, readErr := io.ReadAll(response.Body)
					qt.Check(t, readErr, qt.IsNotNil, qt.Commentf("%q: %q", head[:length], body))
					continue
				}
				qt.Check(t, ProgressOf(err), qt.Equals, Unknown, qt.Commentf("%q", head[:length]))
			}
		})
	}
}
