package gate

import (
	"math"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/coldstart"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

var testBounds = coldstart.Bounds{PerSecond: 2, Overage: 1.5, Slack: 3, Lasts: 4000}

// newColdGate returns the gate of a target that has been cold for longer than a second.
func newColdGate(server *httptest.Server) *Gate {
	g := newGate(server.Listener.Addr().String())
	target, _ := g.Target()
	target.Slots, target.Cold, target.ColdMillis = 4, testBounds, 3000
	g.queue.Cold().SetBounds(testBounds, g.options.Clock.Now()-2000)
	g.SetTarget(target)
	return g
}

// Guards against responses with status 421 that use up what a cold target takes, and against
// others that do not.
func TestMisdirectedRequestsDoNotCount(t *testing.T) {
	for status, want := range map[int]int64{http.StatusMisdirectedRequest: 20, http.StatusServiceUnavailable: 4} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			var arrivals atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
				w.Header().Set("Test-Not-Run", "1")
				w.WriteHeader(status)
			}))
			defer server.Close()
			g := newColdGate(server)
			for range 20 {
				request := newRequest(100)
				request.Header.Set("Test-Id", "q")
				g.Do(t.Context(), request).Close()
			}
			if status == http.StatusMisdirectedRequest {
				qt.Assert(t, arrivals.Load(), qt.Equals, want)
			} else {
				qt.Assert(t, arrivals.Load() >= 1 && arrivals.Load() <= want, qt.IsTrue, qt.Commentf("%d", arrivals.Load()))
			}
		})
	}
}

// Guards against a target that counts as warm although it has ended and will be cold when it
// is back, and against waits for a cold target that end in a rejection at the deadline.
func TestEndedTargetIsPresumedCold(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	var causes []ColdCause
	g := newColdGate(server)
	g.options.OnCold = func(_ message.Incarnation, _ bool, cause ColdCause) { causes = append(causes, cause) }
	target, _ := g.Target()
	target.ColdMillis = 0
	g.SetTarget(target)
	qt.Assert(t, g.Cold(), qt.IsFalse)
	server.Close()
	qt.Assert(t, g.Do(t.Context(), newRequest(100)).Reason, qt.Equals, hop.Unreachable)
	qt.Assert(t, g.Cold(), qt.IsTrue)
	g.SetTarget(target) // a late heartbeat
	qt.Assert(t, g.Cold(), qt.IsTrue)
	qt.Assert(t, int(g.Load().ServiceMillis), qt.Equals, 2000)
	target.Incarnation.StartTime++
	g.SetTarget(target)
	qt.Assert(t, g.Cold(), qt.IsFalse)
	qt.Assert(t, causes, qt.DeepEquals, []ColdCause{ColdReported, ColdDown, ColdReported})
}

// Guards against a cold target whose keys are a share of the load that it cannot take: 12
// requests a second of the assumed 50 ms are 600 ms of work a second.
func TestColdTargetStatesLessCapacity(t *testing.T) {
	m := clock.NewManual(10_000)
	g := New(Options{Clock: m.Clock(), Pool: exchange.NewPool(exchange.Options{})})
	target := Target{Incarnation: message.Incarnation{ID: "i-1", StartTime: 1}, Service: "catalogue", Slots: 10, Cold: coldstart.Bounds{PerSecond: 12, Overage: 1.5, Slack: 8, Lasts: 3000}}
	target.ColdMillis = 2000
	g.SetTarget(target)
	qt.Check(t, math.Round(g.Capacity()), qt.Equals, 60.0)
	m.Advance(3000)
	target.ColdMillis = 0
	g.SetTarget(target)
	qt.Check(t, g.Capacity(), qt.Equals, 1000.0)
}
