package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/view"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a gate that rejects requests later than the bound allows: after a restart of
// the sidecar or a time out of touch it does not know how old an evacuation is.
func TestEvacuationCountsFromBeforeItsCommit(t *testing.T) {
	const now = 10_000
	for name, tt := range map[string]struct {
		bound, confirmed clock.Millis
		keyed            bool
		want             clock.Millis
	}{
		"without keys":          {5000, 9800, false, 10_800},
		"keyed":                 {5000, 9800, true, 13_800},
		"first view":            {5000, 0, true, 0},
		"out of touch for long": {5000, 2000, true, 6000},
		"no bound set":          {0, 9800, true, 13_800},
		"short bound":           {1000, 9800, true, 10_600},
	} {
		t.Run(name, func(t *testing.T) {
			m := clock.NewManual(now)
			s := &Sidecar{options: Options{Clock: m.Clock(), Settings: settings.Host{FailureDomain: "b", Target: settings.HostTarget{Service: "finder"}, Bounds: settings.HostBounds{EvacuateMillis: tt.bound}}}, log: zerolog.Nop(), views: view.NewStore()}
			s.gate = gate.New(gate.Options{Clock: m.Clock()})
			s.viewConfirmed.Store(int64(tt.confirmed))
			service := message.Item{Name: message.ItemService + "finder", Text: `{"Name":"finder","MaxConnections":1,"GrantsByCall":false,"Source":"{}","ColdPerSecond":0,"ColdMillis":0,"Keyed":` + map[bool]string{true: "true", false: "false"}[tt.keyed] + `}`}
			evacuation := func(domain string) message.Item {
				return message.Item{Name: message.ItemEvacuation + domain, Text: "true"}
			}
			apply := func(version message.Version, full bool, items []message.Item, removed ...string) {
				qt.Assert(t, s.views.Apply(message.WatchReply{Version: version, Full: full, Items: items, Removed: removed}), qt.IsNil)
				s.observeEvacuation()
			}
			apply(1, true, []message.Item{service, evacuation("a")})
			begun, _ := s.gate.Evacuation()
			qt.Assert(t, begun, qt.IsFalse, qt.Commentf("another domain is evacuated"))
			apply(2, false, []message.Item{evacuation("b")})
			begun, from := s.gate.Evacuation()
			qt.Assert(t, begun, qt.IsTrue)
			qt.Assert(t, from, qt.Equals, tt.want)
			s.viewConfirmed.Store(now)
			s.observeEvacuation()
			_, from = s.gate.Evacuation()
			qt.Assert(t, from, qt.Equals, tt.want, qt.Commentf("seen again later"))
			apply(3, false, []message.Item{}, message.ItemEvacuation+"b")
			begun, _ = s.gate.Evacuation()
			qt.Assert(t, begun, qt.IsFalse)
		})
	}
}

// Guards against queued requests that stay at an evacuated target because the view with the
// evacuation was seen before the gate had been told of it.
func TestQueueIsRejectedAfterGateLearnsOfEvacuation(t *testing.T) {
	s, _ := newTestSidecar(t, clock.System())
	s.options.Settings.FailureDomain = "b"
	service := message.Item{Name: message.ItemService + "finder", Text: `{"Name":"finder","MaxConnections":1,"GrantsByCall":false,"Source":"{}","ColdPerSecond":0,"ColdMillis":0,"Keyed":false}`}
	qt.Assert(t, s.views.Apply(message.WatchReply{Version: 1, Full: true, Items: []message.Item{service}}), qt.IsNil)
	s.gate.SetTarget(gate.Target{Incarnation: message.Incarnation{ID: "i-1", StartTime: 1}, Service: "finder", Address: "127.0.0.1:9", Slots: 0})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.runEvacuations(ctx) }()
	defer func() {
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	}()
	result := make(chan hop.Reason, 1)
	go func() {
		result <- s.gate.Do(t.Context(), &gate.TargetRequest{Request: hop.Request{Service: "finder", Route: "r", RemainingMillis: 10_000, ObjectiveMillis: 10_000, Key: hop.NoKey}, ID: "q", Method: http.MethodGet, URI: "/a", Host: "mesh.example", Header: http.Header{}}).Reason
	}()
	for s.gate.Load().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, s.views.Apply(message.WatchReply{Version: 2, Items: []message.Item{{Name: message.ItemEvacuation + "b", Text: "true"}}}), qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	s.observeEvacuation()
	select {
	case reason := <-result:
		qt.Assert(t, reason, qt.Equals, hop.NoTarget)
	case <-time.After(2 * time.Second):
		t.Fatal("the request still waits 2 s after the gate was told of the evacuation")
	}
}
