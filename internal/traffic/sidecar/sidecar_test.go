package sidecar

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against new work for a leaving target after the deployment's bound, where
// that is shorter than the usual one.
func TestCloseAfterKeepsTheBound(t *testing.T) {
	for name, tt := range map[string]struct{ bound, want clock.Millis }{
		"usual":      {2000, 1200},
		"short":      {500, 300},
		"not stated": {0, 1200},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Sidecar{o: Options{Settings: settings.Host{Bounds: settings.HostBounds{DrainMillis: tt.bound}}}}
			qt.Assert(t, s.closeAfter(), qt.Equals, tt.want)
		})
	}
}
