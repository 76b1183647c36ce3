package inbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// enforce lets a server's guard enforce timeouts.
func (s *server) enforce(t *testing.T, current func() Timeouts) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.guard.EnforceTimeouts(t.Context(), current)
	}()
	t.Cleanup(func() { <-done })
}

func readStatus(t *testing.T, c net.Conn, r *bufio.Reader) int {
	qt.Assert(t, c.SetReadDeadline(time.Now().Add(waitLimit)), qt.IsNil)
	response, err := http.ReadResponse(r, nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	qt.Assert(t, err, qt.IsNil)
	return response.StatusCode
}

// Guards against heads that never end, and against limits that stay as they were after a change.
func TestSlowHeadGets408(t *testing.T) {
	tests := map[string]string{
		"request line": "GET /fa", "name": "GET /fast HTTP/1.1\r\nHo", "value": "GET /fast HTTP/1.1\r\nHost: h", "end": "GET /fast HTTP/1.1\r\nHost: h\r\n\r",
		"after a request": "GET /fast HTTP/1.1\r\nHost: h\r\n\r\nG",
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, Peers, Limits(64, 256))
			var header atomic.Int64
			header.Store(3_600_000)
			s.enforce(t, func() Timeouts { return Timeouts{Header: clock.Millis(header.Load())} })
			c := s.dial(t, sent)
			r := bufio.NewReader(c)
			if name == "after a request" {
				qt.Assert(t, readStatus(t, c, r), qt.Equals, http.StatusOK)
			}
			time.Sleep(2 * timeoutInterval)
			qt.Assert(t, s.guard.ClosedCount(Peers.Name, SlowHead), qt.Equals, 0)
			header.Store(1)
			qt.Assert(t, readStatus(t, c, r), qt.Equals, http.StatusRequestTimeout)
			_, err := r.ReadByte()
			qt.Assert(t, err, qt.Equals, io.EOF)
			qt.Assert(t, s.guard.ClosedCount(Peers.Name, SlowHead), qt.Equals, 1)
		})
	}
}

// Guards against a client that is closed because of the time that its request takes.
func TestTimeoutsDoNotRunWhileServing(t *testing.T) {
	s := startServer(t, Callers, Limits(64, 256))
	s.enforce(t, func() Timeouts { return Timeouts{Header: 3_600_000, Idle: 1} })
	c := s.dial(t, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	eventually(t, "the request is served", func() bool { return s.guard.Held() >= connectionBytes+requestBytes })
	time.Sleep(3 * timeoutInterval)
	s.release <- struct{}{}
	qt.Assert(t, readStatus(t, c, bufio.NewReader(c)), qt.Equals, http.StatusOK)
	// The connection is idle now.
	_, err := c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
	eventually(t, "the connection is counted", func() bool { return s.guard.ClosedCount(Callers.Name, Idle) == 1 })
}

// Guards against peers that lose connections to the operator's limit for clients.
func TestIdleTimeoutSparesPeers(t *testing.T) {
	s := startServer(t, Peers, Limits(64, 256))
	s.enforce(t, func() Timeouts { return Timeouts{Idle: 1} })
	s.dial(t, "")
	time.Sleep(3 * timeoutInterval)
	qt.Assert(t, s.guard.ClosedCount(Peers.Name, Idle), qt.Equals, 0)
}

// Guards against slow bodies that hold a connection for good, and against a client that is
// closed for the time that the server takes, or because it is slow within the limit.
func TestSlowBody(t *testing.T) {
	start := time.Now()
	tests := map[string]struct {
		// received are the bytes of a read each, for which the server waited for each.
		received []int
		each     time.Duration
		want     bool
	}{
		"nothing for a window":           {nil, 0, true},
		"single bytes":                   {[]int{1, 1, 1, 1}, bodyWindow / 5, true},
		"at the lowest rate":             {[]int{250, 250, 250, 250}, bodyWindow / 4, false},
		"much at first":                  {[]int{64 << 10}, bodyWindow / 2, false},
		"waits of the server's handlers": {make([]int, 100), 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := &Account{}
			for _, n := range tt.received {
				a.awaitBody()
				a.receiveBody(n, false)
				a.bodyProgress.waited += tt.each
			}
			qt.Assert(t, a.slowBody(start.Add(100*bodyWindow)), qt.IsFalse) // no read waits
			a.awaitBody()
			passed := bodyWindow
			if len(tt.received) > 0 {
				passed = bodyWindow / 2
			}
			qt.Assert(t, a.slowBody(a.bodyProgress.waitingSince.Add(passed)), qt.Equals, tt.want)
		})
	}
}

// Guards against body times that run for heads, idle connections, complete bodies, or clients
// that wait for a 100 response.
func TestWaitsForBody(t *testing.T) {
	const head = "POST /slow HTTP/1.1\r\nHost: h\r\n"
	tests := map[string]struct {
		sent string
		want bool
	}{
		"nothing": {"", false}, "head": {head, false}, "complete": {head + "Content-Length: 1\r\n\r\nx", false},
		"no body yet": {head + "Content-Length: 2\r\n\r\n", true}, "part": {head + "Content-Length: 2\r\n\r\nx", true},
		"chunk": {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nx", true}, "after a chunk": {head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", true},
		"complete chunks": {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		"waits for 100":   {head + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n", false},
		"goes on":         {head + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nx", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var f framer
			qt.Assert(t, f.follow([]byte(tt.sent)), qt.Equals, len(tt.sent))
			qt.Assert(t, f.insideBody(), qt.Equals, tt.want)
		})
	}
	s := startServer(t, Peers, Limits(64, 256))
	c := s.dial(t, tests["part"].sent)
	find := func() (account *Account) {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		for a := range s.guard.accounts[Peers.Name] {
			account = a
		}
		return account
	}
	eventually(t, "the server waits for the body", func() bool {
		a := find()
		if a == nil {
			return false
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		// As if it had waited for the window.
		a.bodyProgress.waited = bodyWindow
		return !a.bodyProgress.waitingSince.IsZero()
	})
	s.guard.checkTimeouts(Timeouts{})
	_, err := c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, s.guard.ClosedCount(Peers.Name, SlowBody), qt.Equals, 1)
}

// Guards against clients that read no response and keep it in memory, and against a client that is
// closed although it reads.
func TestSlowReader(t *testing.T) {
	const large = 64 << 20
	for name, want := range map[string]int{"reads nothing": 1, "reads": 0} {
		t.Run(name, func(t *testing.T) {
			g := NewGuard(Limits(1024, 256))
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			l := g.Listener(raw, Callers)
			defer func() { _ = l.Close() }()
			client, err := net.Dial("tcp", raw.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = client.Close() }()
			served, err := l.Accept()
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = served.Close() }()
			written := make(chan error, 1)
			go func() {
				_, err := served.Write(make([]byte, large))
				written <- err
			}()
			a := AccountOf(served)
			// check plays the end of a window.
			check := func() {
				eventually(t, "a write waits", func() bool {
					a.mu.Lock()
					defer a.mu.Unlock()
					a.readProgress.waited = readWindow
					return !a.readProgress.waitingSince.IsZero()
				})
				g.checkTimeouts(Timeouts{})
			}
			// The first window has the bytes that the kernel of the client takes.
			last := int64(-1)
			eventually(t, "the kernels take no more", func() bool {
				time.Sleep(50 * time.Millisecond)
				taken, err := acknowledged(a.raw)
				qt.Assert(t, err, qt.IsNil)
				same := taken == last && taken > 0
				last = taken
				return same
			})
			check()
			qt.Assert(t, g.ClosedCount(Callers.Name, SlowReader), qt.Equals, 0)
			if want == 0 {
				_, err = io.CopyN(io.Discard, client, large/2)
				qt.Assert(t, err, qt.IsNil)
			}
			check()
			qt.Assert(t, g.ClosedCount(Callers.Name, SlowReader), qt.Equals, want)
			if want == 0 {
				_, err = io.CopyN(io.Discard, client, large-large/2)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, <-written, qt.IsNil)
			} else {
				qt.Assert(t, <-written, qt.IsNotNil)
			}
		})
	}
}
