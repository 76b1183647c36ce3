package ingress

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/view"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against rejections of one service of a split that shift callers to the other one: where
// a served one attempt of 20 and callers came back, b ran 432 of 500 for a weight of .25.
func TestSplitKeepsSharesWhileOneServiceIsShort(t *testing.T) {
	const callers, weight, patience, pause = 500, 0.75, 2000, 100
	for name, tt := range map[string]struct {
		room     float64 // the part of the requests to a that it serves
		instance message.Instance
		evacuate bool
		paused   bool
	}{
		"room for all": {room: 1},
		"full":         {room: 0.05},
		"draining":     {instance: message.Instance{Draining: true}},
		"evacuated":    {evacuate: true},
		"paused":       {paused: true},
		"cold":         {room: 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			m, random := clock.NewManual(1000), rand.New(rand.NewPCG(1, 2))
			in := newSplitIngress(t, m.Clock(), weight, tt.instance, tt.evacuate)
			if tt.paused {
				for range 3 {
					in.balancer.RecordSent("i-a")
					in.balancer.RecordFailure("i-a", true)
				}
			}
			offered, served := map[message.ServiceName]int{}, map[message.ServiceName]int{}
			for i := range callers {
				m.Advance(40) // so that callers of the same content can be told apart
				var first message.ServiceName
				for left := patience; left > 0; left -= pause {
					r := httptest.NewRequest(http.MethodGet, "/board/1", nil)
					r.Host = "mesh.example"
					r.Header.Set(names.RequestID, fmt.Sprint(i, "-", left))
					r.Header.Set(names.RemainingMillis, strconv.Itoa(left))
					req, reason := in.readRequest(httptest.NewRecorder(), r, in.options.Views.Current(), m.Clock().Now())
					qt.Assert(t, string(reason), qt.Equals, "")
					if first == "" {
						first = req.service
						offered[first]++
					}
					qt.Assert(t, req.service, qt.Equals, first, qt.Commentf("a caller that was rejected is moved to another service"))
					if req.service == "b" || random.Float64() < tt.room {
						served[req.service]++
						break
					}
					in.recordFailed(req)
					m.Advance(pause)
				}
				if n := offered["a"] + offered["b"]; n >= 20 {
					share := float64(offered["a"]) / float64(n)
					qt.Assert(t, math.Abs(share-weight) < 0.1, qt.IsTrue, qt.Commentf("a has %.3f of %d callers", share, n))
				}
			}
			t.Logf("offered %v, served %v", offered, served)
			qt.Check(t, math.Abs(float64(served["b"])/callers-(1-weight)) < 0.01, qt.IsTrue, qt.Commentf("b runs %d of %d", served["b"], callers))
		})
	}
}

func newSplitIngress(t *testing.T, clk clock.Clock, weight float64, a message.Instance, evacuate bool) *Ingress {
	a.Incarnation, a.Service, a.Slots, a.Domain = message.Incarnation{ID: "i-a", StartTime: 1}, "a", 8, "east"
	elements := map[string]any{
		message.ItemRoute + "r":     message.Route{Name: "r", HostName: "mesh.example", Prefix: "/board/", Repeatable: true, MaxAttempts: 2, Splits: []message.Split{{Service: "a", Weight: weight}, {Service: "b", Weight: 1 - weight}}},
		message.ItemService + "a":   message.ServiceSpec{Name: "a"},
		message.ItemService + "b":   message.ServiceSpec{Name: "b"},
		message.ItemInstance + "ia": a,
		message.ItemInstance + "ib": message.Instance{Incarnation: message.Incarnation{ID: "i-b", StartTime: 1}, Service: "b", Slots: 8},
	}
	if evacuate {
		elements[message.ItemEvacuation+"east"] = message.Evacuation{Domain: "east"}
	}
	items := []message.Item{}
	for name, element := range elements {
		text, err := json.Marshal(element)
		qt.Assert(t, err, qt.IsNil)
		items = append(items, message.Item{Name: name, Text: string(text)})
	}
	views := view.NewStore()
	qt.Assert(t, views.Apply(message.WatchReply{Version: 1, Full: true, Items: items}), qt.IsNil)
	return New(Options{Names: names, Clock: clk, Views: views, Gate: gate.New(gate.Options{Clock: clk}), Log: zerolog.Nop(), LogBudget: process.NewLineLimiter(clk, 10)})
}
