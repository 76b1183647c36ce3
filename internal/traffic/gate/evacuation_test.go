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

// Guards against requests that reach a target after the evacuation of its failure domain is in
// force: after a restart of the target, from the queue, or as soon as the evacuation is seen
// a second time with a later limit.
func TestEvacuatedTargetGetsNoRequests(t *testing.T) {
	m := clock.NewManual(1000)
	g := New(Options{Clock: m.Clock(), Pool: exchange.NewPool(exchange.Options{})})
	g.SetTarget(Target{Incarnation: message.Incarnation{ID: "i-1", StartTime: 1}, Service: "pledges", Slots: 1})
	reason := func() hop.Reason { return g.rejectionReason(newRequest(500), m.Clock().Now()) }
	qt.Assert(t, g.BeginEvacuation(1200), qt.IsTrue)
	qt.Assert(t, g.BeginEvacuation(9000), qt.IsFalse)
	m.Advance(199)
	qt.Check(t, reason(), qt.Equals, hop.Reason(""))
	m.Advance(1)
	qt.Check(t, reason(), qt.Equals, hop.NoTarget)
	qt.Check(t, g.checkBeforeWrite(newRequest(500), &coldCount{limiter: g.queue.Cold()}), qt.Equals, errNotAllowed)
	g.SetTarget(Target{Incarnation: message.Incarnation{ID: "i-1", StartTime: 2}, Service: "pledges", Slots: 1})
	qt.Check(t, reason(), qt.Equals, hop.NoTarget)
	qt.Assert(t, g.EndEvacuation(), qt.IsTrue)
	qt.Assert(t, g.EndEvacuation(), qt.IsFalse)
	qt.Check(t, reason(), qt.Equals, hop.Reason(""))
}

// Guards against queued requests that wait for a slot of an evacuated target until their time
// is over, although another target could run them.
func TestQueueOfEvacuatedTargetIsRejected(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	defer server.Close()
	defer close(release)
	g := newGate(server.Listener.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	first, second := make(chan struct{}), make(chan hop.Reason, 1)
	go func() {
		defer close(first)
		g.Do(ctx, newRequest(60_000)).Close()
	}()
	<-arrived
	go func() { second <- g.Do(t.Context(), newRequest(60_000)).Reason }()
	for g.Load().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	g.RejectEvacuated()
	qt.Assert(t, g.Load().Waiting, qt.Equals, 1, qt.Commentf("no evacuation has begun"))
	g.BeginEvacuation(0)
	g.RejectEvacuated()
	qt.Check(t, <-second, qt.Equals, hop.NoTarget)
	cancel()
	<-first
}
