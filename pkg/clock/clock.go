// Package clock measures time in milliseconds.
//
// All timing decisions of gentiansail (leases, elections, deadlines) use Millis of one
// monotonic clock, so that a step of the host's wall clock cannot extend a lease. Wall
// time, as UnixMillis, is used only for output to people and for retention periods.
//
// # Usage
//
//	c := clock.System()
//	sent := c.Now()
//	renew()
//	validUntil := sent + lease
//
// Tests use a Manual clock and advance it explicitly:
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

// Millis is a time of the monotonic clock or a duration, in milliseconds.
type Millis int64

// UnixMillis is wall-clock time in milliseconds since 1970 (UTC).
type UnixMillis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a time.Duration, rounding towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock is the time source of a component.
type Clock struct {
	// Now returns monotonic milliseconds since an arbitrary start.
	Now func() Millis
	// Wall returns wall-clock time.
	Wall func() UnixMillis
	// Sleep returns nil after the duration d, or the error of ctx if it ends earlier.
	Sleep func(ctx context.Context, d Millis) error
}

// processStart is the time zero of the monotonic clock of System.
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

// Manual is a clock that advances only by calls of Advance. It is safe for concurrent
// use.
type Manual struct {
	mu  sync.Mutex
	now Millis
	// advanced is closed and replaced by Advance.
	advanced chan struct{}
}

// NewManual returns a manual clock that starts at now.
func NewManual(now Millis) *Manual {
	return &Manual{now: now, advanced: make(chan struct{})}
}

// Advance moves the clock forward by d and wakes the goroutines whose sleep has ended.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	close(m.advanced)
	m.advanced = make(chan struct{})
}

// Clock returns m as a Clock. The wall time equals the monotonic time.
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
		now, advanced := m.now, m.advanced
		m.mu.Unlock()
		if now >= end {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
