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
