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

// server answers the n-th request of each connection with answers[n] and closes
// the connection when there is none, or an empty one. It counts requests read.
type server struct {
	address string
	runs    atomic.Int64
	conns   atomic.Int64
	ended   chan struct{} // one value for each connection closed
}

func serve(t *testing.T, answers ...string) *server {
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
			go s.answer(c, answers)
		}
	}()
	return s
}

func (s *server) answer(c net.Conn, answers []string) {
	defer func() { s.ended <- struct{}{} }()
	defer c.Close()
	br := bufio.NewReader(c)
	for _, a := range answers {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.runs.Add(1)
		if a == "silence" {
			_, _ = br.ReadByte() // until the client closes
			return
		}
		_, _ = io.WriteString(c, a)
		if !strings.HasSuffix(a, "ok") {
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

// Guards against a pledge that runs twice because the client replays it when a
// pooled connection fails. http.Transport does replay it.
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
// idle, which would turn a plain request into an unknown outcome.
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

// Guards against a response that is cut, foreign or malformed and reaches the
// caller as complete, and against reuse of its connection.
func TestDamagedResponses(t *testing.T) {
	tests := map[string]struct {
		answer   string
		request  Request
		progress Progress
		cause    error
	}{
		"short body":         {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", progress: ResponseTruncated, cause: ErrTruncated},
		"no last chunk":      {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", progress: ResponseTruncated, cause: ErrTruncated},
		"ended by close":     {answer: "HTTP/1.1 200 OK\r\n\r\npart", progress: Unknown, cause: ErrResponse},
		"foreign id":         {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nGentiansail-Request-Id: r2\r\n\r\nok", progress: Unknown, cause: ErrRequestIDMismatch},
		"no id":              {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", request: Request{RequireRequestID: true}, progress: Unknown, cause: ErrRequestIDMismatch},
		"none":               {answer: "", progress: Unknown, cause: ErrResponse},
		"switches protocols": {answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n", progress: Unknown, cause: ErrResponse},
		"silent":             {answer: "silence", request: Request{IdleTimeout: 1}, progress: Unknown, cause: ErrIdleTimeout},
		"long header":        {answer: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 2*maxHeaderBytes), progress: Unknown, cause: ErrResponse},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := serve(t, tt.answer, okResponse)
			p := pool(t)
			tt.request.Address = s.address
			_, err := send(t, p, tt.request)
			c.Assert(err, qt.ErrorIs, tt.cause)
			c.Assert(ProgressOf(err), qt.Equals, tt.progress)
			<-s.ended
			c.Assert(p.address(s.address).idle, qt.HasLen, 0)
		})
	}
}

// Guards against taking an informational response for the final one.
func TestInformationalResponse(t *testing.T) {
	c := qt.New(t)
	s := serve(t, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"+okResponse)
	seen := 0
	body, err := send(t, pool(t), Request{Address: s.address, OnInformational: func(int, http.Header) { seen++ }})
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "ok")
	c.Assert(seen, qt.Equals, 2)
}

// Guards against a request reported as unknown although nothing was sent, and
// against a wait for a connection that outlives the request.
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
	ends := make(chan error, 3)
	for range 3 {
		go func() {
			_, err := p.Do(ctx, Request{Address: s.address, HTTP: post(t, s.address)})
			ends <- err
		}()
	}
	for s.runs.Load() < 2 {
		_ = clock.System().Sleep(context.Background(), 1)
	}
	cancel()
	got := map[Progress]int{}
	for range 3 {
		err := <-ends
		c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)
		got[ProgressOf(err)]++
	}
	c.Assert(got, qt.DeepEquals, map[Progress]int{NotSent: 1, Unknown: 2})
	<-s.ended // cancellation closed the connections
	<-s.ended
}

// Guards against a request that counts as ended while its server may work on it,
// against one that never counts as ended, and against a server that does not learn
// of a cancellation.
func TestSaysWhenServerHasEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	tests := map[string]struct {
		answer string
		refuse error
		left   clock.Millis // from the start until EndBy
		stays  bool         // the server works on after the cancellation
	}{
		"complete":            {answer: okResponse, left: 600_000},
		"not written":         {refuse: io.EOF, left: 600_000},
		"honours":             {left: 600_000},
		"honours, in body":    {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", left: 600_000},
		"works on":            {left: 600_000, stays: true},
		"works on for longer": {left: 1, stays: true},
		"no bound":            {stays: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := pool(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended, ends := make(chan struct{}, 2), make(chan error, 1)
			r := Request{Address: l.Addr().String(), HTTP: post(t, l.Addr().String()), OnEnded: func() { ended <- struct{}{} }, EndDeadline: clock.System().Now() + tt.left}
			r.BeforeWrite = func() error { return tt.refuse }
			go func() {
				response, err := p.Do(ctx, r)
				if err == nil {
					_, err = io.ReadAll(response.Body)
				}
				ends <- err
			}()
			s, err := l.Accept()
			c.Assert(err, qt.IsNil)
			defer s.Close()
			if tt.refuse == nil {
				got, err := http.ReadRequest(bufio.NewReader(s))
				c.Assert(err, qt.IsNil)
				_, _ = io.Copy(io.Discard, got.Body)
				_, _ = io.WriteString(s, tt.answer)
			}
			if tt.answer != okResponse && tt.refuse == nil {
				cancel()
				_, err := s.Read(make([]byte, 1))
				c.Assert(err, qt.IsNotNil) // the server sees the cancellation
			}
			<-ends
			if tt.stays && tt.left > 1 {
				c.Assert(ended, qt.HasLen, 0)
			}
			if !tt.stays || tt.left > 1 {
				s.Close()
			}
			<-ended
			c.Assert(ended, qt.HasLen, 0)
		})
	}
}

// Guards against a server that sends on for ever after its request was given up,
// because it notices only writes that fail.
func TestClosesConnectionOfServerThatSendsOn(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	p := pool(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended, ends := make(chan struct{}), make(chan error, 1)
	r := Request{Address: l.Addr().String(), HTTP: post(t, l.Addr().String()), OnEnded: func() { close(ended) }, EndDeadline: clock.System().Now() + 600_000}
	go func() {
		response, err := p.Do(ctx, r)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		ends <- err
	}()
	s, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer s.Close()
	_, err = http.ReadRequest(bufio.NewReader(s))
	c.Assert(err, qt.IsNil)
	cancel()
	c.Assert(<-ends, qt.IsNotNil)
	for err == nil {
		_, err = s.Write(make([]byte, 64<<10))
	}
	<-ended
}

// slowCloser shows when a read begins, and ends the first closing of the sending
// direction only after a read has returned.
type slowCloser struct {
	*net.TCPConn
	begun, returned chan struct{}
	first           sync.Once
}

// Read implements net.Conn.
func (c *slowCloser) Read(b []byte) (int, error) {
	c.begun <- struct{}{}
	n, err := c.TCPConn.Read(b)
	c.returned <- struct{}{}
	return n, err
}

// CloseWrite closes the sending direction.
func (c *slowCloser) CloseWrite() error {
	err := c.TCPConn.CloseWrite()
	c.first.Do(func() { <-c.returned })
	return err
}

// Guards against a truncated response that is taken for complete: a server that
// honours a cancellation may end the response cleanly where it stopped.
func TestCleanEndAfterGivingUpIsCut(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	begun, returned := make(chan struct{}, 100), make(chan struct{}, 100)
	p := pool(t)
	p.options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return &slowCloser{TCPConn: raw.(*net.TCPConn), begun: begun, returned: returned}, nil
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
	for len(begun) > 0 {
		<-begun
		<-returned
	}
	end := make(chan error, 1)
	go func() {
		_, err := response.Body.Read(make([]byte, 1))
		end <- err
	}()
	<-begun
	cancel()
	c.Assert(ProgressOf(<-end), qt.Equals, ResponseTruncated)
	c.Assert(<-served, qt.IsNil)
}

// Guards against a live response that is cut because a piece of it was written
// while the connection was being judged: the piece waits in the socket, and the
// judge knows only that more was written than has been read.
func TestPieceDuringVerdictIsRead(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	judging, written := make(chan struct{}), make(chan struct{})
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
		<-judging
		_, _ = io.WriteString(s, "rest")
		close(written)
		_, _ = io.Copy(io.Discard, s)
		served <- err
	}()
	p := pool(t)
	r := post(t, l.Addr().String())
	r.Body, r.ContentLength = http.NoBody, 0
	asked := sync.OnceFunc(func() { close(judging) })
	response, err := p.Do(t.Context(), Request{
		Address: l.Addr().String(), HTTP: r, IdleTimeout: 50,
		OnIdleTimeout: func(started bool, received int64) bool {
			if !started || received < 4 {
				return true
			}
			asked()
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

// answerWith serves each request of one connection with the given bytes.
func answerWith(t *testing.T, bytes ...string) (address string) {
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
		for _, b := range bytes {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(s, b)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String()
}

// Guards against an extra response that is taken for the one that is due, and against
// the loss of the one that is due behind it.
func TestExtraResponseIsSkipped(t *testing.T) {
	const extra = "HTTP/1.1 200 OK\r\nThe-Id: earlier\r\nContent-Length: 5\r\n\r\nextra"
	const own = "HTTP/1.1 200 OK\r\nThe-Id: mine\r\nContent-Length: 3\r\n\r\nown"
	tests := map[string]struct {
		skip bool
		want string
	}{
		"skipped":     {skip: true, want: "own"},
		"not skipped": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address := answerWith(t, extra+own)
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

// Guards against responses without a length that are refused although the server's
// protocol allows them, and against their connections being used again.
func TestUnframedResponse(t *testing.T) {
	address := answerWith(t, "HTTP/1.1 200 OK\r\nThe-Id: mine\r\n\r\nall of it")
	p := pool(t)
	r := post(t, address)
	r.Body, r.ContentLength = http.NoBody, 0
	response, err := p.Do(t.Context(), Request{Address: address, HTTP: r, RequestID: "mine", RequestIDHeader: "The-Id", RequireRequestID: true, AllowCloseDelimited: true})
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "all of it")
	qt.Assert(t, p.address(address).idle, qt.HasLen, 0)
}

// Guards against an answer of a server that declines, which need not repeat the id,
// being taken for one that belongs to nobody.
func TestResponseThatMayLackTheID(t *testing.T) {
	address := answerWith(t, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
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
