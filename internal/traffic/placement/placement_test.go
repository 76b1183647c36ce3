package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

func at(id, domain string) message.Instance {
	return message.Instance{Incarnation: message.Incarnation{ID: message.InstanceID(id), StartTime: 1}, Domain: message.FailureDomain(domain), Slots: 10}
}

func load(running int, took clock.Millis) hop.Load {
	return hop.Load{Running: running, Slots: 10, ServiceMillis: took}
}

// Guards against a slow or full target that gets as much work as the others, and
// against traffic between failure domains while the own one has room.
func TestChoose(t *testing.T) {
	tests := map[string]struct {
		near, far hop.Load
		nearState func(*message.Instance)
		want      string
	}{
		"both idle, own domain":       {near: load(0, 60), far: load(0, 60), want: "near"},
		"own domain full":             {near: load(10, 60), far: load(2, 60), want: "far"},
		"own domain is a straggler":   {near: load(2, 180), far: load(2, 60), want: "far"},
		"own domain a little busier":  {near: load(4, 60), far: load(2, 60), want: "near"},
		"own domain drains":           {near: load(0, 60), far: load(9, 60), nearState: func(i *message.Instance) { i.Draining = true }, want: "far"},
		"host of own domain is going": {near: load(0, 60), far: load(9, 60), nearState: func(i *message.Instance) { i.Stopping = true }, want: "far"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := clock.NewManual(1000)
			p := New(m.Clock(), "a", func() float64 { return 0 })
			near, far := at("near", "a"), at("far", "b")
			if tt.nearState != nil {
				tt.nearState(&near)
			}
			for id, l := range map[message.InstanceID]hop.Load{"near": tt.near, "far": tt.far} {
				p.RecordSent(id)
				p.RecordResponse(id, l, false)
			}
			got, ok := p.Choose([]message.Instance{near, far}, nil)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, string(got.Incarnation.ID), qt.Equals, tt.want)
		})
	}
}

// Guards against requests that keep going to a target that cannot be reached, and
// against one that is never tried again.
func TestFailedTargetIsLeftAlone(t *testing.T) {
	m := clock.NewManual(1000)
	p := New(m.Clock(), "a", func() float64 { return 0 })
	only := []message.Instance{at("x", "a")}
	p.RecordSent("x")
	p.RecordFailure("x", true)
	_, ok := p.Choose(only, nil)
	qt.Assert(t, ok, qt.IsFalse)
	m.Advance(firstPause)
	_, ok = p.Choose(only, nil)
	qt.Assert(t, ok, qt.IsTrue)
	p.RecordSent("x")
	p.RecordFailure("x", true)
	m.Advance(firstPause)
	_, ok = p.Choose(only, nil)
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("the pause doubles"))
}

// Guards against many requests that go to one target between two of its reports.
func TestOwnRequestsCount(t *testing.T) {
	m := clock.NewManual(1000)
	p := New(m.Clock(), "a", func() float64 { return 0 })
	all := []message.Instance{at("x", "a"), at("y", "a")}
	chosen := map[string]int{}
	for range 20 {
		i, _ := p.Choose(all, nil)
		p.RecordSent(i.Incarnation.ID)
		chosen[string(i.Incarnation.ID)]++
	}
	qt.Assert(t, chosen, qt.DeepEquals, map[string]int{"x": 10, "y": 10})
}

// Guards against a target that answers its health questions and loses its answers,
// and that gets as much work as the others, and against one that is never tried again.
func TestFailingTargetGetsLess(t *testing.T) {
	m := clock.NewManual(1000)
	p := New(m.Clock(), "a", func() float64 { return 0 })
	all := []message.Instance{at("bad", "a"), at("good", "b")}
	toBad := 0
	for i := range 1000 {
		x, _ := p.Choose(all, nil)
		bad := x.Incarnation.ID == "bad"
		if bad {
			toBad++
		}
		p.RecordSent(x.Incarnation.ID)
		p.RecordResponse(x.Incarnation.ID, load(4, 60), bad && i%2 == 0)
		m.Advance(10)
	}
	qt.Assert(t, toBad > 3 && toBad < 300, qt.IsTrue, qt.Commentf("%d of 1000", toBad))
	m.Advance(20_000)
	x, _ := p.Choose(all, nil)
	qt.Assert(t, string(x.Incarnation.ID), qt.Equals, "bad", qt.Commentf("forgiven in the own domain"))
}
