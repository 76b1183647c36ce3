package gate

import (
	"context"
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

// Guards against a request that waits before a target which answers nobody until the
// caller's host gives it up: that host would have to call its outcome unknown, though it
// has not run.
func TestWaitEndsBeforeTheCallersTime(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	defer server.Close()
	defer close(release)
	g := New(Options{Names: hop.HeaderNames{RequestID: "Test-Id", RemainingMillis: "Test-Left", Instance: "Test-Instance", Signature: "Test-Signature", NotRun: "Test-Not-Run"}, Clock: clock.System(), Pool: exchange.NewPool(exchange.Options{})})
	g.SetTarget(Target{Incarnation: message.Incarnation{ID: "i-1", StartTime: 1}, Service: "pledges", Address: server.Listener.Addr().String(), Slots: 1})
	job := func(left clock.Millis) *TargetRequest {
		return &TargetRequest{Request: hop.Request{Service: "pledges", Route: "r", RemainingMillis: left, ObjectiveMillis: left, Key: hop.NoKey}, ID: "q", Method: http.MethodPost, URI: "/pledge/1", Host: "mesh.example", Header: http.Header{}}
	}
	running, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Do(running, job(60_000)).Close()
	}()
	<-arrived
	// The caller's host waits on; what counts is the time that it stated.
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	a := g.Do(ctx, job(200))
	qt.Check(t, a.Reason, qt.Equals, hop.TooLate)
	qt.Check(t, a.MayHaveReachedTarget, qt.IsFalse)
	qt.Check(t, ctx.Err(), qt.IsNil)
	stop()
	<-done
}
