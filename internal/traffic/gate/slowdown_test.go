package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a reported slowdown that is not used, that outlasts its 400 ms or the target's
// incarnation, or that is missing in the caller's response.
func TestReportedSlowdownDecidesOnRequests(t *testing.T) {
	const work, remaining = 40, 60
	m, load := clock.NewManual(1000), "1,0,1,100"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.Advance(work)
		w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
		w.Header().Set("Test-Signature", "signed")
		w.Header().Set("Test-Load", load)
	}))
	defer server.Close()
	g := newGate(server.Listener.Addr().String())
	target, _ := g.Target()
	g = New(Options{Names: hop.HeaderNames{RequestID: "Test-Id", Signature: "Test-Signature", TargetLoad: "Test-Load"}, Clock: m.Clock(), Pool: exchange.NewPool(exchange.Options{})})
	g.SetTarget(target)
	send := func() hop.Reason {
		request := newRequest(remaining)
		request.Header.Set("Test-Id", "q")
		result := g.Do(t.Context(), request)
		defer result.Close()
		if result.Reason == "" {
			qt.Check(t, result.Header.Get("Test-Load"), qt.Equals, load)
		}
		return result.Reason
	}
	qt.Assert(t, send(), qt.Equals, hop.Reason(""))
	load = "1,0,1,1000"
	qt.Assert(t, send(), qt.Equals, hop.Reason(""))
	qt.Check(t, send(), qt.Equals, hop.TooLate)
	m.Advance(401)
	qt.Check(t, send(), qt.Equals, hop.Reason(""))
	qt.Check(t, send(), qt.Equals, hop.TooLate)
	target.Incarnation.StartTime++
	g.SetTarget(target)
	qt.Check(t, send(), qt.Equals, hop.Reason(""))
}
