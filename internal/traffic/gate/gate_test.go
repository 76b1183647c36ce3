package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
