package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// newGate returns the gate of a target with one slot.
func newGate(address string) *Gate {
	g := New(Options{Names: hop.HeaderNames{RequestID: "Test-Id", RemainingMillis: "Test-Left", Instance: "Test-Instance", Signature: "Test-Signature", NotRun: "Test-Not-Run", RateLimit: "Test-Limit"}, Clock: clock.System(), Pool: exchange.NewPool(exchange.Options{})})
	g.SetTarget(Target{Incarnation: message.Incarnation{ID: "i-1", StartTime: 1}, Service: "pledges", Address: address, Slots: 1})
	return g
}

func newRequest(remaining clock.Millis) *TargetRequest {
	return &TargetRequest{Request: hop.Request{Service: "pledges", Route: "r", RemainingMillis: remaining, ObjectiveMillis: remaining, Key: hop.NoKey}, ID: "q", Method: http.MethodPost, URI: "/pledge/1", Host: "mesh.example", Header: http.Header{}}
}

// Guards against a queued request that is rejected only after the caller's host has timed
// out. That host would then report an unknown outcome, although the request has not run.
// It happens when the target does not respond to the requests before it.
func TestQueueWaitEndsBeforeCallersDeadline(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	defer server.Close()
	defer close(release)
	g := newGate(server.Listener.Addr().String())
	firstCtx, cancelFirst := context.WithCancel(t.Context())
	firstDone := make(chan struct{})
	go func() {
		defer close(firstDone)
		g.Do(firstCtx, newRequest(60_000)).Close()
	}()
	<-arrived
	// The context lasts 30 s and the request only 200 ms, so only the request's remaining
	// time can end the wait.
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	result := g.Do(ctx, newRequest(200))
	qt.Check(t, result.Reason, qt.Equals, hop.TooLate)
	qt.Check(t, result.MayHaveReachedTarget, qt.IsFalse)
	qt.Check(t, ctx.Err(), qt.IsNil)
	cancelFirst()
	<-firstDone
}

// Guards against a rejection that is passed on only at the caller's deadline, because the
// target never ends its body. The request has not run, so its caller can be told at once.
func TestRejectionWithEndlessBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s, err := l.Accept()
		if err != nil {
			return
		}
		defer s.Close()
		if _, err = http.ReadRequest(bufio.NewReader(s)); err != nil {
			return
		}
		_, err = io.WriteString(s, "HTTP/1.1 503 Service Unavailable\r\nTest-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(s, "1\r\nx\r\n")
			time.Sleep(20 * time.Millisecond)
		}
	}()
	defer func() {
		_ = l.Close()
		<-closed
	}()
	g := newGate(l.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	start := time.Now()
	result := g.Do(ctx, newRequest(30_000))
	defer result.Close()
	qt.Check(t, result.Reason, qt.Equals, hop.RejectedByTarget)
	qt.Check(t, time.Since(start) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
	running, _, _, _ := g.queue.Load()
	qt.Check(t, running, qt.Equals, 0)
}

// Guards against a request that may have run and is reported as not run, because the target
// writes an earlier refusal once more: without an id, or with the id of a request that is
// sent to it again after the refusal.
func TestRefusalWrittenTwice(t *testing.T) {
	tests := map[string]struct{ id, secondRequest string }{
		"refusal without id":           {"", "r2"},
		"same request is sent again":   {"Test-Id: r1\r\n", "r1"},
		"refusal with id of the first": {"Test-Id: r1\r\n", "r2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			refusal := "HTTP/1.1 503 Service Unavailable\r\nTest-Not-Run: 1\r\n" + tt.id + "Content-Length: 0\r\n\r\n"
			connections := make(chan struct{}, 8)
			var refused atomic.Bool
			serve := func(s net.Conn) {
				defer func() { connections <- struct{}{} }()
				defer s.Close()
				reader := bufio.NewReader(s)
				for refusedHere := false; ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if !refused.Swap(true) {
						refusedHere = true
						_, _ = io.WriteString(s, refusal)
						continue
					}
					if refusedHere {
						_, _ = io.WriteString(s, refusal)
					}
					_, _ = io.WriteString(s, "HTTP/1.1 200 OK\r\nTest-Signature: signed\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nContent-Length: 3\r\n\r\nran")
				}
			}
			accepted := make(chan int, 1)
			go func() {
				n := 0
				for {
					s, err := l.Accept()
					if err != nil {
						accepted <- n
						return
					}
					n++
					go serve(s)
				}
			}()
			g := newGate(l.Addr().String())
			do := func(id string) *Result {
				request := newRequest(2000)
				request.ID = id
				request.Header.Set("Test-Id", id)
				return g.Do(t.Context(), request)
			}
			qt.Check(t, do("r1").Reason, qt.Equals, hop.RejectedByTarget)
			second := do(tt.secondRequest)
			qt.Check(t, string(second.Reason), qt.Equals, "")
			qt.Check(t, second.Status, qt.Equals, http.StatusOK)
			second.Close()
			qt.Check(t, l.Close(), qt.IsNil)
			for range <-accepted {
				<-connections
			}
		})
	}
}
