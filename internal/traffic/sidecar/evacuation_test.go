package sidecar

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
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
