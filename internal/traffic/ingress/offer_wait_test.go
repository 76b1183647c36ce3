package ingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// startOfferPeer starts a peer of a target whose slots are all in use. It calls offered for each
// offer, which it accepts afterwards, and sent for each request.
func startOfferPeer(t *testing.T, offered func(*http.Request), sent func(hop.Request)) (address string, connections *atomic.Int64) {
	connections = &atomic.Int64{}
	peer := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		reply := hop.Reply{Load: hop.Load{Running: 8, Slots: 8, ServiceMillis: 20}}
		reply.SetHeader(w.Header())
		if _, ok, _ := hop.ParseOffer(r.Header); ok {
			offered(r)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		request, err := hop.ParseRequest(r.Header)
		qt.Check(t, err, qt.IsNil)
		sent(request)
	}))
	peer.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	peer.Start()
	t.Cleanup(peer.Close)
	return peer.Listener.Addr().String(), connections
}

func newLongBrowse(id int) *http.Request {
	r := newBrowse(id)
	r.Method, r.Body, r.ContentLength = http.MethodPost, io.NopCloser(bytes.NewReader(make([]byte, 4000))), 4000
	return r
}

// Guards against a connection that is closed after each offer, so that each long body needs a new
// one.
func TestOfferKeepsItsConnection(t *testing.T) {
	offers := 0
	address, connections := startOfferPeer(t, func(*http.Request) { offers++ }, func(hop.Request) {})
	in := newKeyedIngress(t, clock.NewManual(1000).Clock(), exchange.NewPool(exchange.Options{}), address)
	in.options.OfferedBody = 1800
	for id := range 3 {
		w := httptest.NewRecorder()
		in.ServeHTTP(w, newLongBrowse(id+1))
		qt.Check(t, w.Code, qt.Equals, http.StatusOK)
	}
	qt.Check(t, offers, qt.Equals, 3)
	qt.Check(t, connections.Load(), qt.Equals, int64(1))
}

// Guards against a request that runs after its caller has left: the time of the offer counted as
// time left.
func TestTimeOfOfferIsNotTimeLeft(t *testing.T) {
	manual := clock.NewManual(1000)
	var got hop.Request
	address, _ := startOfferPeer(t, func(*http.Request) { manual.Advance(300) }, func(q hop.Request) { got = q })
	in := newKeyedIngress(t, manual.Clock(), exchange.NewPool(exchange.Options{}), address)
	in.options.OfferedBody = 1800
	r := newLongBrowse(1)
	r.Header.Set(names.RemainingMillis, "2000")
	in.ServeHTTP(httptest.NewRecorder(), r)
	qt.Check(t, got.RemainingMillis, qt.Equals, clock.Millis(1700))
	qt.Check(t, got.ObjectiveMillis, qt.Equals, clock.Millis(1700))
}
