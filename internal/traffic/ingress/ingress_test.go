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
	Instance: "Test-Instance", Signature: "Test-Signature", NotRun: "Test-Not-Run",
}

// keyed returns an ingress side for which one target behind a peer holds all keys.
func keyed(t *testing.T, k clock.Clock, pool *exchange.Pool, peer string) *Ingress {
	b := view.NewStore()
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
	qt.Assert(t, b.Apply(message.WatchReply{Version: 1, Full: true, Items: items}), qt.IsNil)
	return New(Options{
		Names: names, Clock: k, Views: b, Gate: gate.New(gate.Options{Clock: k}), Pool: pool,
		RetryRatio: 0.2, ExtraRetries: 64, Log: zerolog.Nop(), LogBudget: process.NewLineBudget(k, 10),
	})
}

func browse(g *Ingress, n int) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/browse/1", nil)
	r.Host = "mesh.example"
	r.Header.Set(names.RequestID, fmt.Sprint(n))
	r.Header.Set(names.Key, "77")
	g.ServeHTTP(w, r)
	return w
}

// Guards against the flood of requests for one key that fills the link of its holder:
// most are refused on the callers' hosts, at once and truthfully, and the core still
// hears of them as load of the key.
func TestHotKeyIsRefusedAtTheCallersHost(t *testing.T) {
	arrived := atomic.Int64{}
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		hop.Reply{Reason: hop.Busy, RetryMillis: 250}.SetHeader(w.Header())
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer peer.Close()
	m := clock.NewManual(1000)
	g := keyed(t, m.Clock(), exchange.NewPool(exchange.Options{}), peer.Listener.Addr().String())
	const asked = 200
	for n := range asked {
		m.Advance(10)
		w := browse(g, n)
		qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "0.250")
	}
	counted := 0
	for _, s := range g.TakeRejectedLoads() {
		qt.Check(t, string(s.Service), qt.Equals, "catalogue")
		for _, l := range s.Loads {
			counted += l.Requests
		}
	}
	qt.Check(t, int(arrived.Load())+counted, qt.Equals, asked)
	qt.Check(t, arrived.Load() < asked/3, qt.IsTrue, qt.Commentf("%d reached the holder's host", arrived.Load()))
}

// Guards against requests that each wait for a connection to a host that is gone: no
// other target may run them, so they are refused at once while the host is left alone.
func TestLostHolderIsNotDialledForEachRequest(t *testing.T) {
	m := clock.NewManual(1000)
	dialled := 0
	pool := exchange.NewPool(exchange.Options{Dial: func(context.Context, string) (net.Conn, error) {
		dialled++
		return nil, errors.New("no route to host")
	}})
	g := keyed(t, m.Clock(), pool, "10.0.0.1:1")
	for n := range 100 {
		m.Advance(20)
		w := browse(g, n)
		qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
	}
	// Of 2 s, each request of the first 300 ms may find out by itself; then the pauses are
	// 600 and 1200 ms.
	qt.Check(t, dialled <= 25, qt.IsTrue, qt.Commentf("%d of 100 were tried", dialled))
}

// Guards against a log that states an answer which nobody got.
func TestLogOfACallerWhoLeft(t *testing.T) {
	arrived := make(chan struct{})
	peer := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}))
	defer peer.Close()
	g := keyed(t, clock.System(), exchange.NewPool(exchange.Options{}), peer.Listener.Addr().String())
	var lines bytes.Buffer
	g.o.Log = zerolog.New(&lines)
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-arrived
		leave()
	}()
	r := httptest.NewRequest(http.MethodGet, "/browse/1", nil).WithContext(ctx)
	r.Host = "mesh.example"
	r.Header.Set(names.RequestID, "q-1")
	r.Header.Set(names.Key, "77")
	func() {
		defer func() { qt.Check(t, recover(), qt.Equals, http.ErrAbortHandler) }()
		g.ServeHTTP(httptest.NewRecorder(), r)
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
