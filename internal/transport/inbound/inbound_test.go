package inbound

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// waitLimit only ends a test that would otherwise hang.
const waitLimit = 10 * time.Second

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !f(); time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("%s", what))
	}
}

// server serves requests whose handler waits until release is closed, except for those to
// /fast.
type server struct {
	guard   *Guard
	address string
	release chan struct{}
	closed  []Closed
	mu      sync.Mutex
}

func startServer(t *testing.T, d Door, options Options) *server {
	s := &server{release: make(chan struct{})}
	options.OnClose = func(c Closed) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closed = append(s.closed, c)
	}
	s.guard = NewGuard(options)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s.address = l.Addr().String()
	h := &http.Server{Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fast" {
			return
		}
		_, _ = io.ReadAll(io.LimitReader(r.Body, int64(d.heldBody)))
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
	})), ConnContext: ConnContext, ConnState: ConnState, MaxHeaderBytes: MaxHeaderBytes, ReadHeaderTimeout: waitLimit}
	served := make(chan error, 1)
	go func() { served <- h.Serve(s.guard.Listener(l, d)) }()
	t.Cleanup(func() {
		close(s.release)
		_ = h.Close()
		<-served
	})
	return s
}

func (s *server) dial(t *testing.T, request string) net.Conn {
	c, err := net.Dial("tcp", s.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, request)
	qt.Assert(t, err, qt.IsNil)
	return c
}

// fast returns the error of an ordinary request.
func (s *server) fast() error {
	r, err := http.Get("http://" + s.address + "/fast")
	if err != nil {
		return err
	}
	return r.Body.Close()
}

// Guards against memory that is held without a bound, or for connections that have ended.
func TestHeldStaysInBudget(t *testing.T) {
	const budget = 4 << 20
	fields := strings.Builder{}
	for i := range 2000 {
		fmt.Fprintf(&fields, "%x:\r\n", 0x100+i)
	}
	tests := map[string]string{
		"fields":         "GET /slow HTTP/1.1\r\nHost: h\r\n" + fields.String() + "\r\n",
		"unfinished":     "GET /slow HTTP/1.1\r\nHost: h\r\n" + fields.String(),
		"body":           "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 90000),
		"chunked body":   "POST /slow HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n" + strings.Repeat("x", 60000),
		"sent ahead":     strings.Repeat("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", 100),
		"no request yet": "",
	}
	for name, request := range tests {
		t.Run(name, func(t *testing.T) {
			const crowd = 120
			s := startServer(t, Peers, Options{MaxBytes: budget, Descriptors: 4000})
			for range crowd {
				s.dial(t, request)
			}
			eventually(t, "the memory of closed connections is released", func() bool { return s.guard.Held() <= budget })
			qt.Assert(t, s.fast(), qt.IsNil)
			eventually(t, "only open connections are charged", func() bool { return s.guard.leaving.Load() == 0 })
		})
	}
}

// Guards against a connection that holds little and is closed in place of one that holds much.
func TestClosesThoseThatHoldMost(t *testing.T) {
	s := startServer(t, Peers, Options{MaxBytes: 2 << 20, Descriptors: 4000})
	small := s.dial(t, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	for range 20 {
		s.dial(t, "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n"+strings.Repeat("x", 60000))
	}
	eventually(t, "connections are closed", func() bool { return s.guard.ClosedCount(Peers.Name, Memory) > 0 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.closed {
		qt.Assert(t, c.Remote, qt.Not(qt.Equals), small.LocalAddr().String())
		qt.Assert(t, c.Bytes > connectionBytes+requestBytes, qt.IsTrue)
	}
}

// holdingConn charges bytes to another connection while it is being closed.
type holdingConn struct {
	net.Conn
	onClose func()
}

func (c holdingConn) Close() error {
	c.onClose()
	return nil
}

func (c holdingConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// Guards against an ordinary connection that is closed because the budget is exceeded once more
// while other connections are being closed for it.
func TestClosesNoMoreWhileOthersAreClosed(t *testing.T) {
	const crowd, crowdBytes = 10, 1 << 20
	g := NewGuard(Options{MaxBytes: crowd * crowdBytes / 2, Descriptors: 4000})
	accounts := map[*Account]struct{}{}
	g.accounts[Peers.Name] = accounts
	newAccount := func(held int64, c net.Conn) *Account {
		a := &Account{guard: g, door: Peers, raw: c, held: held}
		a.progress()
		accounts[a] = struct{}{}
		g.held.Add(held)
		return a
	}
	ordinary := newAccount(connectionBytes, nil)
	ordinary.raw = holdingConn{onClose: func() {}}
	for range crowd {
		newAccount(crowdBytes, holdingConn{onClose: func() { ordinary.Hold(1) }})
	}
	ordinary.Hold(1)
	qt.Assert(t, ordinary.Closed(), qt.IsFalse)
	qt.Assert(t, g.Held()-g.leaving.Load() <= g.options.MaxBytes, qt.IsTrue)
	// 10 MB are held and the budget is 5 MB, of which 85% remain.
	qt.Assert(t, g.ClosedCount(Peers.Name, Memory), qt.Equals, 6)
}

// Guards against a listener that uses the descriptors of others, or that turns new callers away
// because of idle connections.
func TestConnectionsOfListener(t *testing.T) {
	s := startServer(t, Metrics, Options{MaxBytes: 64 << 20, Descriptors: 100})
	for range 5 * Metrics.minConnections {
		s.dial(t, "")
		qt.Assert(t, s.guard.Connections()[Metrics.Name] <= Metrics.minConnections, qt.IsTrue)
	}
	qt.Assert(t, s.fast(), qt.IsNil)
	http.DefaultClient.CloseIdleConnections()
	qt.Assert(t, s.guard.ClosedCount(Metrics.Name, Descriptors) > 0, qt.IsTrue)
}

// Guards against an account that is charged for more than its connection holds, so that calm
// callers would be closed after a while.
func TestAccountIsSettledAfterRequests(t *testing.T) {
	s := startServer(t, Peers, Limits(64, 256))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for range 300 {
		r, err := client.Post("http://"+s.address+"/fast", "text/plain", strings.NewReader(strings.Repeat("x\n", 20_000)))
		qt.Assert(t, err, qt.IsNil)
		_, err = io.Copy(io.Discard, r.Body)
		qt.Assert(t, err, qt.IsNil)
		_ = r.Body.Close()
	}
	qt.Assert(t, s.guard.ClosedCount(Peers.Name, Memory), qt.Equals, 0)
	client.CloseIdleConnections()
	eventually(t, "nothing is held", func() bool { return s.guard.Held() == 0 })
}

// Guards against default limits that clients inside the platform's limits meet.
func TestLimitsOfSmallMachine(t *testing.T) {
	g := NewGuard(Limits(184, 4100))
	const ordinaryConnections = 500
	head := HeadCost([]byte(strings.Repeat("X-Field: value\r\n", 20))) + 4096*headByteCost
	qt.Assert(t, g.MaxConnections(Callers) > 2*ordinaryConnections, qt.IsTrue)
	qt.Assert(t, ordinaryConnections*(connectionBytes+requestBytes+head) < g.options.MaxBytes, qt.IsTrue)
	largestHead := int64(16<<10*headByteCost + 16<<10/3*fieldBytes)
	qt.Assert(t, largestHead < g.options.MaxBytes/4, qt.IsTrue)
}

// Guards against bodies with many short lines that are charged like fields of a head, so that
// ordinary connections are closed although little memory is held.
func TestLinesOfBodyAreNoFields(t *testing.T) {
	const connections = 100
	s := startServer(t, Peers, Limits(184, 4100))
	body := strings.Repeat("\n", 24<<10)
	for range connections {
		c, err := net.Dial("tcp", s.address)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		qt.Assert(t, err, qt.IsNil)
	}
	// 32 KB for a connection with a request, and 1.5 bytes for each byte of the body.
	want := int64(connections * (68 << 10))
	eventually(t, "all requests have arrived, or connections were closed", func() bool {
		return s.guard.Held() >= want || s.guard.ClosedCount(Peers.Name, Memory) > 0
	})
	qt.Assert(t, s.guard.ClosedCount(Peers.Name, Memory), qt.Equals, 0)
	qt.Assert(t, s.guard.Held() <= connections*(74<<10), qt.IsTrue, qt.Commentf("%d bytes are held", s.guard.Held()))
}

// Guards against a head that costs less because it comes with the end of a body.
func TestLongestHead(t *testing.T) {
	tests := map[string]struct {
		read string
		want int
	}{
		"nothing":                   {"", 0},
		"one head":                  {"GET / HTTP/1.1\r\nA: 1\r\n\r\n", 3},
		"end of a body and a head":  {"x\n\ny\n\nGET / HTTP/1.1\r\nA: 1\r\nB: 2\r\n", 3},
		"two heads":                 {"GET / HTTP/1.1\nA: 1\nB: 2\n\nGET / HTTP/1.1\n\n", 4},
		"empty lines":               {"\n\n\n\n", 1},
		"rest of a line in between": {" 1\r\nA: 1\r\n", 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { qt.Assert(t, longestHead([]byte(tt.read)), qt.Equals, tt.want) })
	}
}
