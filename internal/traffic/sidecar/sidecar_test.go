package sidecar

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// A draining target must get no new requests after the deployment's drain bound, even if
// that bound is shorter than the default.
func TestRejectDelayIsWithinDrainBound(t *testing.T) {
	for name, tt := range map[string]struct{ drainBound, want clock.Millis }{
		"default length": {2000, 1200},
		"short":          {500, 300},
		"not set":        {0, 1200},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Sidecar{options: Options{Settings: settings.Host{Bounds: settings.HostBounds{DrainMillis: tt.drainBound}}}}
			qt.Assert(t, s.rejectDelay(), qt.Equals, tt.want)
		})
	}
}

// A planned stop must not cut off a request while there is time left. That happened when
// the target on the host was idle early and the request was processed on another host.
func TestRemainingStopTimeUsesGracePeriod(t *testing.T) {
	for name, tt := range map[string]struct {
		graceSeconds float64
		elapsed      clock.Millis
		want         clock.Millis
	}{
		"idle early":           {6, 2900, 2600},
		"idle late":            {6, 4200, 1300},
		"grace period over":    {6, 7000, killMargin},
		"longer grace period":  {20, 2900, 16_600},
		"grace period not set": {0, 2900, 2600},
	} {
		t.Run(name, func(t *testing.T) {
			manual := clock.NewManual(5000)
			s := &Sidecar{options: Options{Clock: manual.Clock(), Settings: settings.Host{Bounds: settings.HostBounds{StopSeconds: tt.graceSeconds}}}}
			s.stopStarted.Store(int64(manual.Clock().Now()))
			manual.Advance(tt.elapsed)
			qt.Assert(t, s.remainingStopTime(), qt.Equals, tt.want.Duration())
		})
	}
}
