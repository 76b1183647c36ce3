package ingress

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against an explanation that differs from what then happens to the request, and against
// one that changes it.
func TestExplanationsComeTrue(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Signature, "signed")
	}))
	defer server.Close()
	rapid.Check(t, func(rt *rapid.T) {
		clk := clock.System()
		in := newKeyedIngress(t, clk, exchange.NewPool(exchange.Options{}), "here")
		in.options.PeerAddress = "here"
		g := gate.New(gate.Options{Names: names, Clock: clk, Pool: exchange.NewPool(exchange.Options{}), OnConnectionLost: func(message.Incarnation, []string) {}})
		in.options.Gate = g
		apply := func(version message.Version, name string, element any) {
			text, err := json.Marshal(element)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, in.options.Views.Apply(message.WatchReply{Version: version, Items: []message.Item{{Name: name, Text: string(text)}}}), qt.IsNil)
		}
		chance := func(name string) bool { return rapid.IntRange(0, 5).Draw(rt, name) == 0 }
		path := rapid.SampledFrom([]string{"/browse/1", "/browse/2?x=1", "/nothing"}).Draw(rt, "path")
		key := rapid.SampledFrom([]string{"", "77", "99999"}).Draw(rt, "key")
		remaining := rapid.SampledFrom([]int{1, 20, 5000}).Draw(rt, "remaining")
		slots := 8
		if remaining < 1000 && chance("no slots") {
			slots = 0
		}
		instance := message.Instance{Incarnation: message.Incarnation{ID: "i-1", StartTime: 1}, Service: "catalogue", Peer: "here", Domain: "b", Slots: 8, Draining: chance("draining")}
		apply(2, message.ItemInstance+"i-1", instance)
		if chance("no owner") {
			apply(3, message.ItemRangeOwners+"catalogue/0", []message.RangeOwner{{From: 0, To: 65535}})
		}
		if chance("evacuated") {
			apply(4, message.ItemEvacuation+"b", true)
		}
		if chance("limits") {
			apply(5, message.ItemLimits+"x", message.CallerLimits{MaxHeaderBytes: 20})
		}
		if !chance("no heartbeat") {
			g.SetTarget(gate.Target{Incarnation: instance.Incarnation, Service: "catalogue", Address: server.Listener.Addr().String(), Slots: slots, Keyed: true})
		}
		if !chance("no grant") {
			g.SetGrants(instance.Incarnation, []gate.KeyGrant{{From: 0, To: 65535, Expiry: clk.Now() + 60_000}})
		}
		if chance("host stops") {
			in.RejectAfter(clk.Now() + 100)
		}
		if chance("gate stops") {
			g.Stop()
		}
		ask := func() Explanation {
			e, err := in.Explain(Question{HostName: "mesh.example", Path: path, Key: key, RemainingMillis: clock.Millis(remaining)}, func(_ message.Instance, q hop.Request) (gate.Preview, error) {
				return g.Preview(q), nil
			})
			qt.Assert(t, err, qt.IsNil)
			return e
		}
		e := ask()
		ask()
		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Host = "mesh.example"
		r.Header.Set(names.RequestID, "1")
		r.Header.Set(names.RemainingMillis, fmt.Sprint(remaining))
		if key != "" {
			r.Header.Set(names.Key, key)
		}
		w := httptest.NewRecorder()
		in.ServeHTTP(w, r)
		if remaining == 1 {
			return // whether 1 ms is over when the request is sent depends on the machine
		}
		reason := e.Reason
		if reason == "" {
			reason = e.Services[0].Reason
		}
		got, _ := strings.CutPrefix(strings.TrimSpace(w.Body.String()), "gentiansail: ")
		if e.Refused() != (w.Code != http.StatusOK) || string(reason) != got {
			rt.Fatalf("explained %q, got %d %q", reason, w.Code, got)
		}
	})
}
