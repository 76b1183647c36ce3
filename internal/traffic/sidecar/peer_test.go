package sidecar

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/traffic/hop"
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
		"link half used":      {load: idle, utilization: 0.4, want: 5},
		"link full":           {load: idle, utilization: 0.8, want: 9},
		"slots busier":        {load: hop.Load{Running: 9, Waiting: 4, Slots: 9}, utilization: 0.8, want: 13},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := addLinkLoad(tt.load, tt.utilization)
			qt.Check(t, got.Running, qt.Equals, tt.load.Running)
			qt.Check(t, got.Running+got.Waiting, qt.Equals, tt.want)
		})
	}
}
