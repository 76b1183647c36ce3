package ingress

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/view"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

var names = hop.HeaderNames{
	RequestID: "Test-Id", RemainingMillis: "Test-Left", Key: "Test-Key", CallerService: "Test-Caller",
	Instance: "Test-Instance", Signature: "Test-Signature", NotRun: "Test-Not-Run", RateLimit: "Test-Limit",
	Leaving: "Test-Leaving",
}

// newKeyedIngress returns an ingress with a keyed service. All of its keys are owned by one
// target, whose sidecar has the given peer address.
func newKeyedIngress(t *testing.T, clk clock.Clock, pool *exchange.Pool, peer string) *Ingress {
	views := view.NewStore()
	items := []message.Item{}
	for name, element := range map[string]any{
		message.ItemRoute + "r":                 message.Route{Name: "r", HostName: "mesh.example", Prefix: "/browse/", Repeatable: true, MaxAttempts: 2, Splits: []message.Split{{Service: "catalogue", Weight: 1}}},
		message.ItemService + "catalogue":       message.ServiceSpec{Name: "catalogue", Keyed: true},
		message.ItemInstance + "i-1":            message.Instance{Incarnation: message.Incarnation{ID: "i-1", StartTime: 1}, Service: "catalogue", Peer: message.Address(peer), Slots: 8},
		message.ItemRangeOwners + "catalogue/0": []message.RangeOwner{{From: 0, To: 65535, Owner: "i-1"}},
	} {
		text, err := json.Marshal(element)
		qt.Assert(t, err, qt.IsNil)
		items = append(items, message.Item{Name: name, Text: string(text)})
	}
	qt.Assert(t, views.Apply(message.WatchReply{Version: 1, Full: true, Items: items}), qt.IsNil)
	return New(Options{
		Names: names, Clock: clk, Views: views, Gate: gate.New(gate.Options{Clock: clk}), Pool: pool,
		RetryRatio: 0.2, ExtraRetries: 64, Log: zerolog.Nop(), LogBudget: process.NewLineLimiter(clk, 10),
	})
}

// newBrowse returns a request for key 77 with the given id.
func newBrowse(id int) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/browse/1", nil)
	r.Host = "mesh.example"
	r.Header.Set(names.RequestID, fmt.Sprint(id))
	r.Header.Set(names.Key, "77")
	return r
}

// serveBrowse serves a request for key 77 with the given id.
func serveBrowse(in *Ingress, id int) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	in.ServeHTTP(w, newBrowse(id))
	return w
}

// Guards against many requests for one key that fill the link to the owner's host. Most of
// them must be rejected without delay on the callers' hosts, and still be reported to the
// core as load of the key.
func TestHotKeyIsRejectedOnCallersHost(t *testing.T) {
	arrived := atomic.Int64{}
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		hop.Reply{Reason: hop.Busy, RetryMillis: 250}.SetHeader(w.Header())
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer peer.Close()
	m := clock.NewManual(1000)
	in := newKeyedIngress(t, m.Clock(), exchange.NewPool(exchange.Options{}), peer.Listener.Addr().String())
	const total = 200
	for id := range total {
		m.Advance(10)
		w := serveBrowse(in, id)
		qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "0.250")
	}
	rejected := 0
	for _, s := range in.TakeRejectedLoads() {
		qt.Check(t, string(s.Service), qt.Equals, "catalogue")
		for _, l := range s.Loads {
			rejected += l.Work / 5 // 50 ms each, in units of 10 ms
		}
	}
	qt.Check(t, int(arrived.Load())+rejected, qt.Equals, total)
	qt.Check(t, arrived.Load() < total/3, qt.IsTrue, qt.Commentf("%d requests reached the owner's host", arrived.Load()))
}

// Guards against requests that each wait for a connection to an unreachable host. No other
// target may run them, so they must be rejected without delay until the host is tried again.
func TestUnreachableOwnerIsNotDialedForEachRequest(t *testing.T) {
	m := clock.NewManual(1000)
	dials := 0
	pool := exchange.NewPool(exchange.Options{Dial: func(context.Context, string) (net.Conn, error) {
		dials++
		return nil, errors.New("no route to host")
	}})
	in := newKeyedIngress(t, m.Clock(), pool, "10.0.0.1:1")
	for id := range 100 {
		m.Advance(20)
		w := serveBrowse(in, id)
		qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
	}
	// The test lasts 2 s. In the first 300 ms each request may dial; the following pauses are
	// 600 ms and 1200 ms.
	qt.Check(t, dials <= 25, qt.IsTrue, qt.Commentf("%d of 100 requests dialed", dials))
}

// Guards against a log line that states a response status although the caller disconnected
// before it got a response.
func TestLogOfDisconnectedCaller(t *testing.T) {
	arrived := make(chan struct{})
	peer := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}))
	defer peer.Close()
	in := newKeyedIngress(t, clock.System(), exchange.NewPool(exchange.Options{}), peer.Listener.Addr().String())
	var lines bytes.Buffer
	in.options.Log = zerolog.New(&lines)
	ctx, disconnect := context.WithCancel(t.Context())
	go func() {
		<-arrived
		disconnect()
	}()
	r := httptest.NewRequest(http.MethodGet, "/browse/1", nil).WithContext(ctx)
	r.Host = "mesh.example"
	r.Header.Set(names.RequestID, "q-1")
	r.Header.Set(names.Key, "77")
	func() {
		defer func() { qt.Check(t, recover(), qt.Equals, http.ErrAbortHandler) }()
		in.ServeHTTP(httptest.NewRecorder(), r)
	}()
	var line struct {
		Request, Reason string
		Status, Sent    int
	}
	qt.Assert(t, json.Unmarshal(lines.Bytes(), &line), qt.IsNil)
	qt.Check(t, line.Request, qt.Equals, "q-1")
	qt.Check(t, line.Reason, qt.Equals, string(hop.CallerDisconnected))
	qt.Check(t, line.Status, qt.Equals, 0)
	qt.Check(t, line.Sent, qt.Equals, 1)
}

// newStatingPeer returns the sidecar of a target that responds to each request with what
// state adds to the header. It appends the limit that each request names to limits.
func newStatingPeer(t *testing.T, limits *[]float64, state func(http.ResponseWriter)) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := hop.ParseRequest(r.Header)
		qt.Check(t, err, qt.IsNil)
		*limits = append(*limits, request.RateLimit)
		hop.Reply{}.SetHeader(w.Header())
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Signature, "signed")
		state(w)
	}))
}

// Guards against a sidecar that starts again beside a target and does not learn the limit
// that the target has named on the callers' hosts.
func TestLimitIsPassedToTargetsHost(t *testing.T) {
	var got []float64
	limit := "2.5"
	peer := newStatingPeer(t, &got, func(w http.ResponseWriter) {
		if limit != "" {
			w.Header().Set(names.RateLimit, limit)
		}
	})
	defer peer.Close()
	in := newKeyedIngress(t, clock.System(), exchange.NewPool(exchange.Options{}), peer.Listener.Addr().String())
	serveBrowse(in, 1)
	qt.Assert(t, serveBrowse(in, 2).Header().Get(names.RateLimit), qt.Equals, "2.5")
	limit = ""
	serveBrowse(in, 3)
	serveBrowse(in, 4)
	qt.Assert(t, got, qt.DeepEquals, []float64{0, 2.5, 2.5, 0})
}

// Guards against a host that forgets what a target has stated while the target is not
// listed: the core removes a target that it cannot reach, and lists it again later.
func TestStatementsOutliveAbsenceFromView(t *testing.T) {
	var got []float64
	peer := newStatingPeer(t, &got, func(w http.ResponseWriter) {
		w.Header().Set(names.RateLimit, "2.5")
		if len(got) > 1 {
			w.Header().Set(names.Leaving, "1")
		}
	})
	defer peer.Close()
	m := clock.NewManual(1000)
	in := newKeyedIngress(t, m.Clock(), exchange.NewPool(exchange.Options{}), peer.Listener.Addr().String())
	listed := in.options.Views.Current()
	element := message.ItemInstance + "i-1"
	relist := func() {
		text, err := json.Marshal(listed.Instances("catalogue")[0])
		qt.Assert(t, err, qt.IsNil)
		version := in.options.Views.Current().Version
		qt.Assert(t, in.options.Views.Apply(message.WatchReply{Version: version + 1, Removed: []string{element}}), qt.IsNil)
		in.Prune(in.options.Views.Current())
		m.Advance(5000)
		qt.Assert(t, in.options.Views.Apply(message.WatchReply{Version: version + 2, Items: []message.Item{{Name: element, Text: string(text)}}}), qt.IsNil)
		in.Prune(in.options.Views.Current())
	}
	serveBrowse(in, 1)
	relist()
	qt.Assert(t, serveBrowse(in, 2).Header().Get(names.Leaving), qt.Equals, "1")
	qt.Assert(t, got, qt.DeepEquals, []float64{0, 2.5})
	relist()
	w, last := httptest.NewRecorder(), newBrowse(3)
	last.Header.Set(names.RemainingMillis, "50")
	in.ServeHTTP(w, last)
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, got, qt.HasLen, 2)
}
