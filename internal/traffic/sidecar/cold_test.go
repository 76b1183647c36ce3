package sidecar

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

var firstStart = message.Incarnation{ID: "i-1", StartTime: 1}

// newColdHost returns a host whose target tolerates 5 requests a second for 3 s while cold. Its
// failure domain is evacuated if that is asked for.
func newColdHost(t *testing.T, evacuated bool) *host {
	h := newHost(t)
	h.sidecar.options.Settings.FailureDomain = "a"
	h.sidecar.options.Settings.Bounds = settings.HostBounds{ColdOverage: 1.5, ColdSlack: 8}
	h.publishCold(evacuated)
	return h
}

func (h *host) publishCold(evacuated bool) {
	h.version++
	items := []message.Item{{Name: message.ItemService + "finder", Version: h.version, Text: `{"Name":"finder","ColdPerSecond":5,"ColdMillis":3000}`}}
	if evacuated {
		items = append(items, message.Item{Name: message.ItemEvacuation + "a", Version: h.version, Text: "{}"})
	}
	h.applyCold(message.WatchReply{Version: h.version, Full: true, Items: items})
}

// applyCold applies a response to a watch as the sidecar does.
func (h *host) applyCold(reply message.WatchReply) {
	h.sidecar.presumeColdAfterEvacuation(reply)
	qt.Assert(h.t, h.sidecar.views.Apply(reply), qt.IsNil)
}

// Guards against a target that the core takes for a fast one because its heartbeat counts
// only after it was passed on: the core would give it a full share of the keys.
func TestCoreLearnsThatTargetIsCold(t *testing.T) {
	h := newColdHost(t, false)
	_, err := h.sidecar.HandleHeartbeat(t.Context(), Heartbeat{Incarnation: firstStart, Service: "finder", Address: "127.0.0.1:9", Slots: 4, Sequence: 1, ColdMillis: 2500})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, int(h.core.last.Load().ServiceMillis), qt.Equals, 4*1000/5)
	qt.Assert(t, int(h.sidecar.gate.Load().ColdMillis), qt.Equals, 2500)
	h.manual.Advance(2500)
	qt.Assert(t, h.beat(firstStart, 2, false), qt.IsNil)
	qt.Assert(t, h.sidecar.gate.Load().ColdMillis, qt.Equals, clock.Millis(0))
}

// Guards against targets that turned cold shortly before the end of an evacuation, after
// their last heartbeat that has arrived.
func TestTargetIsPresumedColdAfterEvacuation(t *testing.T) {
	h := newColdHost(t, true)
	qt.Assert(t, h.beat(firstStart, 1, false), qt.IsNil)
	qt.Assert(t, h.sidecar.gate.Cold(), qt.IsFalse)
	h.publishCold(false)
	for i := range 4 {
		qt.Assert(t, h.beat(firstStart, 2+i, false), qt.IsNil)
		h.manual.Advance(999)
		qt.Assert(t, h.sidecar.gate.Cold(), qt.IsTrue)
	}
	h.manual.Advance(4)
	qt.Assert(t, h.sidecar.gate.Cold(), qt.IsFalse)
	h.publishCold(false)
	qt.Assert(t, h.sidecar.gate.Cold(), qt.IsFalse)
}

// Guards against an evacuated target that is limited as a cold one by each view until it has given
// up its keys, and against the end of an evacuation that goes unseen in a partial view.
func TestTargetIsPresumedColdOnlyWhenEvacuationEnds(t *testing.T) {
	domain := message.ItemEvacuation + "a"
	for name, tt := range map[string]struct {
		reply message.WatchReply
		want  bool
	}{
		"nothing changed":          {message.WatchReply{}, false},
		"evacuated all the while":  {message.WatchReply{Items: []message.Item{{Name: domain, Text: "true"}}}, false},
		"another evacuation ended": {message.WatchReply{Removed: []string{message.ItemEvacuation + "b"}}, false},
		"ended and begun again":    {message.WatchReply{Removed: []string{domain}, Items: []message.Item{{Name: domain, Text: "true"}}}, false},
		"ended":                    {message.WatchReply{Removed: []string{domain}}, true},
		"ended, whole state":       {message.WatchReply{Full: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newColdHost(t, true)
			qt.Assert(t, h.beat(firstStart, 1, false), qt.IsNil)
			h.version++
			tt.reply.Version = h.version
			h.applyCold(tt.reply)
			qt.Assert(t, h.sidecar.gate.Cold(), qt.Equals, tt.want)
		})
	}
}

// Guards against a burst to a target that has turned cold while the process of its sidecar was
// frozen, before the heartbeats of that time are read.
func TestSilentTargetIsPresumedCold(t *testing.T) {
	h := newColdHost(t, false)
	qt.Assert(t, h.beat(firstStart, 1, false), qt.IsNil)
	h.manual.Advance(2500)
	qt.Assert(t, h.sidecar.gate.Cold(), qt.IsFalse)
	h.manual.Advance(1)
	qt.Assert(t, h.sidecar.gate.Cold(), qt.IsTrue)
	qt.Assert(t, h.beat(firstStart, 2, false), qt.IsNil)
	qt.Assert(t, h.sidecar.gate.Cold(), qt.IsFalse)
}

// Guards against requests to a target that has started again under its id, before its first
// heartbeat is handled: it may not be known yet which of the two runs.
func TestUnprovenIncarnationIsPresumedCold(t *testing.T) {
	h := newColdHost(t, false)
	qt.Assert(t, h.beat(firstStart, 1, false), qt.IsNil)
	later := message.Incarnation{ID: firstStart.ID, StartTime: firstStart.StartTime + 500}
	qt.Assert(t, h.beat(later, 1, false), qt.ErrorIs, errUnproven)
	qt.Assert(t, h.sidecar.gate.Cold(), qt.IsTrue)
	h.manual.Advance(2000)
	qt.Assert(t, h.beat(later, 2, false), qt.IsNil)
	qt.Assert(t, h.sidecar.gate.Cold(), qt.IsFalse)
	h.sidecar.gate.PresumeCold(gate.ColdDown)
	qt.Assert(t, h.beat(later, 3, false), qt.IsNil)
	qt.Assert(t, h.sidecar.gate.Cold(), qt.IsTrue)
}
