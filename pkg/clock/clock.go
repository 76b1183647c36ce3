// Package clock measures time in milliseconds.
//
// All timing decisions of gentiansail (leases, elections, deadlines) use
// Millis read from one monotonic clock, so that a step of the host's wall clock
// cannot lengthen a lease. Wall time appears only where people or retention
// rules need it, as UnixMillis.
//
// # Usage
//
//	c := clock.System()
//	sent := c.Now()
//	renew()
//	validUntil := sent + lease
//
// Tests use a Manual clock and move it by hand:
//
//	m := clock.NewManual(0)
//	c := m.Clock()
//	m.Advance(900)
package clock

import (
	"context"
	"sync"
	"time"
)

// Millis is a point on the monotonic clock or a duration, in milliseconds.
type Millis int64

// UnixMillis is wall-clock time in milliseconds since 1970 (UTC).
type UnixMillis int64

// Duration converts m for use with package time.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts d, rounding towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock is the source of time of a component.
type Clock struct {
	// Now returns monotonic milliseconds since an arbitrary start.
	Now func() Millis
	// Wall returns wall-clock time.
	Wall func() UnixMillis
	// Sleep returns after the duration, or with the context's error.
	Sleep func(ctx context.Context, d Millis) error
}

// processStart anchors the monotonic clock of System.
var processStart = time.Now()

// System returns the clock of the host.
func System() Clock {
	return Clock{
		Now:   func() Millis { return FromDuration(time.Since(processStart)) },
		Wall:  func() UnixMillis { return UnixMillis(time.Now().UnixMilli()) },
		Sleep: systemSleep,
	}
}

func systemSleep(ctx context.Context, d Millis) error {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Manual is a clock that moves only when told to. It is safe for concurrent use.
type Manual struct {
	mu      sync.Mutex
	now     Millis
	changed chan struct{}
}

// NewManual returns a manual clock that starts at now.
func NewManual(now Millis) *Manual {
	return &Manual{now: now, changed: make(chan struct{})}
}

// Advance moves the clock forward by d and wakes sleepers.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	close(m.changed)
	m.changed = make(chan struct{})
}

// Clock returns m as a Clock. Its wall time equals its monotonic time.
func (m *Manual) Clock() Clock {
	return Clock{
		Now:   m.read,
		Wall:  func() UnixMillis { return UnixMillis(m.read()) },
		Sleep: m.sleep,
	}
}

func (m *Manual) read() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *Manual) sleep(ctx context.Context, d Millis) error {
	end := m.read() + d
	for {
		m.mu.Lock()
		now, changed := m.now, m.changed
		m.mu.Unlock()
		if now >= end {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
