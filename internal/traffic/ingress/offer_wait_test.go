package ingress

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
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

// newTwoTargetIngress returns an ingress for a service without keys and with two targets, see
// startOfferPeer.
func newTwoTargetIngress(t *testing.T, offered func(*http.Request), sent func(hop.Request)) *Ingress {
	first, _ := startOfferPeer(t, offered, sent)
	second, _ := startOfferPeer(t, offered, sent)
	in := newKeyedIngress(t, clock.System(), exchange.NewPool(exchange.Options{}), first)
	in.options.OfferedBody = 1800
	items := []message.Item{}
	for name, element := range map[string]any{
		message.ItemService + "catalogue": message.ServiceSpec{Name: "catalogue"},
		message.ItemInstance + "i-2":      message.Instance{Incarnation: message.Incarnation{ID: "i-2", StartTime: 1}, Service: "catalogue", Peer: message.Address(second), Slots: 8},
	} {
		text, err := json.Marshal(element)
		qt.Assert(t, err, qt.IsNil)
		items = append(items, message.Item{Name: name, Text: string(text)})
	}
	qt.Assert(t, in.options.Views.Apply(message.WatchReply{Version: 2, Items: items}), qt.IsNil)
	return in
}

// serveUnansweredOffer serves a request until its time is up. Neither of the two targets answers
// offers.
func serveUnansweredOffer(t *testing.T) (in *Ingress, w *httptest.ResponseRecorder) {
	in = newTwoTargetIngress(t, func(r *http.Request) { <-r.Context().Done() }, func(hop.Request) {})
	r := newLongBrowse(1)
	r.Header.Set(names.RemainingMillis, "300")
	w = httptest.NewRecorder()
	in.ServeHTTP(w, r)
	return in, w
}

// Guards against a target that is paused as unreachable because the time of a request was up
// before it was sent there.
func TestUnansweredOfferPausesNoOtherTarget(t *testing.T) {
	in, w := serveUnansweredOffer(t)
	qt.Check(t, w.Body.String(), qt.Contains, string(hop.TooLate))
	for _, c := range in.balancer.Candidates(in.options.Views.Current().Available("catalogue")) {
		qt.Check(t, c.Skipped, qt.Equals, "", qt.Commentf("%s", c.Instance.Incarnation.ID))
	}
}

// Guards against a host that answers no offers and counts as idle, so that bodies are sent to it
// without an offer.
func TestUnansweredOfferCountsAsFailure(t *testing.T) {
	in, _ := serveUnansweredOffer(t)
	failing := 0
	for _, c := range in.balancer.Candidates(in.options.Views.Current().Available("catalogue")) {
		qt.Check(t, in.balancer.HasFreeSlots(c.Instance), qt.IsFalse, qt.Commentf("%s", c.Instance.Incarnation.ID))
		if c.FailureRate > 0 {
			failing++
		}
	}
	qt.Check(t, failing, qt.Equals, 1)
}

// Guards against a request that spends all of its time on one host that does not answer offers,
// though it has not been sent and another target is free.
func TestUnansweredOfferLeavesTimeForOtherTarget(t *testing.T) {
	offers, sent := atomic.Int64{}, atomic.Int64{}
	blockFirst := func(r *http.Request) {
		if offers.Add(1) == 1 {
			<-r.Context().Done()
		}
	}
	in := newTwoTargetIngress(t, blockFirst, func(hop.Request) { sent.Add(1) })
	r := newLongBrowse(1)
	r.Header.Set(names.RemainingMillis, "5000")
	w := httptest.NewRecorder()
	in.ServeHTTP(w, r)
	qt.Check(t, w.Code, qt.Equals, http.StatusOK)
	qt.Check(t, sent.Load(), qt.Equals, int64(1))
}
