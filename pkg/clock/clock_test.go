package clock_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a Sleep that does not return, or returns too early, when a test advances
// the clock in several steps.
func TestManualSleepEndsOnTime(t *testing.T) {
	m := clock.NewManual(100)
	c := m.Clock()
	woken := make(chan clock.Millis, 1)
	go func() {
		if c.Sleep(t.Context(), 50) == nil {
			woken <- c.Now()
		}
	}()
	for len(woken) == 0 {
		m.Advance(1)
	}
	qt.Assert(t, <-woken >= 150, qt.IsTrue)
}

func TestSleepEndsWithItsContext(t *testing.T) {
	for name, c := range map[string]clock.Clock{"manual": clock.NewManual(0).Clock(), "system": clock.System()} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			qt.Assert(t, c.Sleep(ctx, 1<<40), qt.Equals, context.Canceled)
		})
	}
}

// Guards against a System clock whose Now returns wall-clock time, which a lease must not
// be based on.
func TestSystemNowStartsNearZero(t *testing.T) {
	const hour = 3_600_000
	qt.Assert(t, clock.System().Now() < 24*hour, qt.IsTrue)
}
