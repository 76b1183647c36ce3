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
	g := New(Options{Names: hop.HeaderNames{RequestID: "Test-Id", RemainingMillis: "Test-Left", Instance: "Test-Instance", Signature: "Test-Signature", NotRun: "Test-Not-Run"}, Clock: clock.System(), Pool: exchange.NewPool(exchange.Options{})})
	g.SetTarget(Target{Incarnation: message.Incarnation{ID: "i-1", StartTime: 1}, Service: "pledges", Address: server.Listener.Addr().String(), Slots: 1})
	newRequest := func(remaining clock.Millis) *TargetRequest {
		return &TargetRequest{Request: hop.Request{Service: "pledges", Route: "r", RemainingMillis: remaining, ObjectiveMillis: remaining, Key: hop.NoKey}, ID: "q", Method: http.MethodPost, URI: "/pledge/1", Host: "mesh.example", Header: http.Header{}}
	}
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
