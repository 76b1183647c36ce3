package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against second copies for targets that are full, slow, failing, leaving or unknown.
func TestHasRoom(t *testing.T) {
	tests := map[string]struct {
		load   hop.Load
		change func(*message.Instance)
		before func(*Balancer, *clock.Manual)
		want   bool
	}{
		"free":         {load: newLoad(7, 60), want: true},
		"nearly full":  {load: newLoad(8, 60)},
		"queue":        {load: hop.Load{Running: 3, Waiting: 5, Slots: 10, ServiceMillis: 60}},
		"slow or cold": {load: newLoad(0, 400)},
		"cold":         {load: hop.Load{Slots: 10, ServiceMillis: 60, ColdMillis: 500}},
		"draining":     {load: newLoad(0, 60), change: func(i *message.Instance) { i.Draining = true }},
		"stopping":     {load: newLoad(0, 60), change: func(i *message.Instance) { i.Stopping = true }},
		"old load":     {load: newLoad(0, 60), before: func(_ *Balancer, m *clock.Manual) { m.Advance(maxRoomAge + 1) }},
		"sent in meantime": {load: newLoad(4, 60), before: func(b *Balancer, _ *clock.Manual) {
			b.RecordSent("a")
			b.RecordSent("a")
			b.RecordSent("a")
			b.RecordSent("a")
		}},
		"slow first copies": {load: newLoad(0, 60), before: func(b *Balancer, _ *clock.Manual) { b.RecordSlow("a") }},
		"unreachable":       {load: newLoad(0, 60), before: func(b *Balancer, _ *clock.Manual) { b.RecordSent("a"); b.RecordFailure("a", true) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := clock.NewManual(1000)
			b := New(m.Clock(), "a", func() float64 { return 0 })
			a, other := newInstance("a", "a"), newInstance("b", "a")
			if tt.change != nil {
				tt.change(&a)
			}
			instances := []message.Instance{a, other}
			qt.Assert(t, b.HasRoom(a, instances), qt.IsFalse, qt.Commentf("not known"))
			qt.Assert(t, b.targets, qt.HasLen, 0, qt.Commentf("ExpectCold would not take the target for a new one"))
			for id, load := range map[message.InstanceID]hop.Load{"a": tt.load, "b": newLoad(0, 60)} {
				b.RecordSent(id)
				b.RecordResponse(id, load, false)
			}
			if tt.before != nil {
				tt.before(b, m)
			}
			qt.Assert(t, b.HasRoom(a, instances), qt.Equals, tt.want)
		})
	}
}

// Guards against a service that seems free although its known targets are full, and against
// a first copy that is called slow while it waits in a queue.
func TestUtilizationAndExpectedWait(t *testing.T) {
	m := clock.NewManual(1000)
	b := New(m.Clock(), "a", func() float64 { return 0 })
	instances := []message.Instance{newInstance("a", "a"), newInstance("b", "a"), newInstance("c", "a")}
	_, known := b.Utilization(instances)
	qt.Assert(t, known, qt.IsFalse)
	b.RecordSent("a")
	b.RecordResponse("a", hop.Load{Running: 10, Waiting: 9, Slots: 10, ServiceMillis: 60}, false)
	b.RecordSent("b")
	b.RecordResponse("b", newLoad(1, 60), false)
	utilization, known := b.Utilization(instances)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, utilization, qt.Equals, 1.0)
	qt.Assert(t, b.ExpectedWait(instances[0]), qt.Equals, clock.Millis(60))
	qt.Assert(t, b.ExpectedWait(instances[1]), qt.Equals, clock.Millis(0))
	qt.Assert(t, b.ExpectedWait(instances[2]), qt.Equals, clock.Millis(0))
}
