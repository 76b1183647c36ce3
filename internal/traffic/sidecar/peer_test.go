package sidecar

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/placement"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against other hosts that fill the link of a target with free slots.
func TestBusyLinkCountsAsLoad(t *testing.T) {
	idle := hop.Load{Running: 2, Slots: 9}
	tests := map[string]struct {
		load        hop.Load
		utilization float64
		want        int // running and waiting
	}{
		"bandwidth not known": {load: idle, utilization: 0, want: 2},
		"link less busy":      {load: idle, utilization: 0.1, want: 2},
		"link half used":      {load: idle, utilization: 0.5, want: 9},
		"link full":           {load: idle, utilization: 0.8, want: 36},
		"burst":               {load: idle, utilization: 1.7, want: 81},
		"slots busier":        {load: hop.Load{Running: 9, Waiting: 4, Slots: 9}, utilization: 0.5, want: 13},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := addLinkLoad(tt.load, tt.utilization)
			qt.Check(t, got.Running, qt.Equals, tt.load.Running)
			qt.Check(t, got.Running+got.Waiting, qt.Equals, tt.want)
		})
	}
}

// Guards against calls that all go to the fastest target after the link of its host has filled: in
// 100 choices of hosts that hear of it and of a target half as fast with busy slots.
func TestFullLinkOutweighsSpeed(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	instances := []message.Instance{
		{Incarnation: message.Incarnation{ID: "fast", StartTime: 1}, Slots: 9},
		{Incarnation: message.Incarnation{ID: "slow", StartTime: 1}, Slots: 9},
	}
	for utilization, most := range map[float64]int{0.3: 100, 0.8: 10} {
		fast := 0
		for range 100 {
			b := placement.New(clock.NewManual(1000).Clock(), "a", random.Float64)
			for id, load := range map[message.InstanceID]hop.Load{
				"fast": addLinkLoad(hop.Load{Running: 4, Slots: 9, ServiceMillis: 30}, utilization),
				"slow": {Running: 8, Slots: 9, ServiceMillis: 60},
			} {
				b.RecordSent(id)
				b.RecordResponse(id, load, false)
			}
			if chosen, ok := b.Choose(instances, nil); ok && chosen.Incarnation.ID == "fast" {
				fast++
			}
		}
		qt.Check(t, fast <= most && fast >= most-10, qt.IsTrue, qt.Commentf("%v: %d", utilization, fast))
	}
}
