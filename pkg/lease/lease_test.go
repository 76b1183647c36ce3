package lease_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

func Example() {
	m := clock.NewManual(0)
	g := lease.NewGranter[string](m.Clock(), lease.DefaultTerms)
	h := lease.NewHolder(m.Clock(), lease.DefaultTerms)
	m.Advance(1000)
	if sent := h.Now(); g.Renew("dsm-a-1", g.Now()) {
		h.Renewed(sent)
	}
	m.Advance(899)
	fmt.Println(h.Remaining(), g.Expire([]string{"dsm-a-1"}))
	m.Advance(3)
	fmt.Println(h.Remaining(), g.Expire([]string{"dsm-a-1"}))
	// Output:
	// 1 []
	// 0 [dsm-a-1]
}

// Guards against a lease that expires at the granter while it is still valid at the
// holder because the holder's clock is slower, within MaxDrift.
func TestLeaseNeverEndsAtGranterBeforeHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The rate of the holder's clock, up to 999 parts per million slow or fast.
		rate := 1 + float64(rapid.IntRange(-999, 999).Draw(t, "rate"))/1e6
		delay := rapid.IntRange(0, 2000).Draw(t, "delay")
		wait := rapid.IntRange(0, 3000).Draw(t, "wait")
		sentAt, receivedAt := 5000, 5000+delay
		granterClock, holderClock := clock.NewManual(0), clock.NewManual(0)
		g := lease.NewGranter[int](granterClock.Clock(), lease.DefaultTerms)
		h := lease.NewHolder(holderClock.Clock(), lease.DefaultTerms)
		granterClock.Advance(clock.Millis(receivedAt))
		g.Renew(1, g.Now())
		h.Renewed(clock.Millis(float64(sentAt) * rate))
		now := receivedAt + wait
		granterClock.Advance(clock.Millis(wait))
		holderClock.Advance(clock.Millis(float64(now) * rate))
		if len(g.Expire([]int{1})) > 0 && h.Remaining() > 0 {
			t.Fatalf("expired at the granter with %d ms remaining at the holder", h.Remaining())
		}
	})
}

// Guards against a new granter that expires the leases which its predecessor granted just
// before the takeover, and against a granted renewal of an expired lease.
func TestGranterAwaitsEarlierLeasesAndRejectsExpiredMembers(t *testing.T) {
	m := clock.NewManual(0)
	g := lease.NewGranter[string](m.Clock(), lease.DefaultTerms)
	m.Advance(10000)
	g.Reset()
	m.Advance(lease.DefaultTerms.MaxDuration() - 1)
	qt.Assert(t, g.EarlierLeasesEnded(), qt.IsFalse)
	qt.Assert(t, g.Expire([]string{"a"}), qt.HasLen, 0)
	m.Advance(1)
	qt.Assert(t, g.EarlierLeasesEnded(), qt.IsTrue)
	qt.Assert(t, g.Expire([]string{"a"}), qt.DeepEquals, []string{"a"})
	qt.Assert(t, g.Renew("a", g.Now()), qt.IsFalse)
}

// Guards against a late response that shortens a lease, and against a lease that is
// still valid after Drop.
func TestHolderKeepsLatestRenewal(t *testing.T) {
	m := clock.NewManual(100)
	h := lease.NewHolder(m.Clock(), lease.DefaultTerms)
	qt.Assert(t, h.Remaining(), qt.Equals, clock.Millis(0))
	h.Renewed(100)
	h.Renewed(50)
	qt.Assert(t, h.Remaining(), qt.Equals, clock.Millis(900))
	h.Drop()
	qt.Assert(t, h.Remaining(), qt.Equals, clock.Millis(0))
}

// Guards against leases that expire because the granter itself was slow. A renewal
// without a response and a stall of the granter delay expiry, both for a bounded time.
func TestGranterDelayPostponesExpiry(t *testing.T) {
	tests := map[string]struct {
		setup       func(g *lease.Granter[string], now clock.Millis)
		wait        clock.Millis
		wantExpired int
	}{
		"no renewal":                   {setup: func(*lease.Granter[string], clock.Millis) {}, wantExpired: 1},
		"renewal pending":              {setup: func(g *lease.Granter[string], now clock.Millis) { g.RecordPending("a", now) }, wantExpired: 0},
		"renewal pending for too long": {setup: func(g *lease.Granter[string], now clock.Millis) { g.RecordPending("a", now) }, wait: 1000, wantExpired: 1},
		"granter was stalled":          {setup: func(g *lease.Granter[string], _ clock.Millis) { g.DelayExpiry(300) }, wait: 299, wantExpired: 0},
		"granter was stalled long ago": {setup: func(g *lease.Granter[string], _ clock.Millis) { g.DelayExpiry(300) }, wait: 300, wantExpired: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := clock.NewManual(0)
			g := lease.NewGranter[string](m.Clock(), lease.DefaultTerms)
			m.Advance(1000)
			tt.setup(g, g.Now())
			m.Advance(tt.wait)
			qt.Assert(t, g.Expire([]string{"a"}), qt.HasLen, tt.wantExpired)
		})
	}
}
