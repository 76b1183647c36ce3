package grant

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

var incarnation = message.Incarnation{ID: "i-1", StartTime: 1}

func heartbeat(sequence int) message.Heartbeat {
	return message.Heartbeat{Instance: message.Instance{Incarnation: incarnation, Service: "catalogue", Slots: 10}, Sequence: sequence}
}

// Guards against keys that are assigned to a new owner while the previous owner may still
// have a lease. This can happen if the previous owner's clock runs 2 % slow, or if an
// earlier leader granted the lease.
func TestExpired(t *testing.T) {
	tests := map[string]struct {
		granted, newLeader bool
		after              clock.Millis
		want               bool
	}{
		"lease in force":                       {granted: true, after: 4000},
		"lease over, but not on a slow clock":  {granted: true, after: 4070},
		"lease over":                           {granted: true, after: 4300, want: true},
		"new leader within one lease duration": {newLeader: true, after: 4000},
		"new leader after one lease duration":  {newLeader: true, after: 4300, want: true},
		"new leader counts from its election":  {granted: true, newLeader: true, after: 4000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := clock.NewManual(1000)
			clk := m.Clock()
			leases := NewLeaseTable(clk, 4000)
			if tt.granted {
				leases.RecordHeartbeat(heartbeat(1), clk.Now())
				leases.RecordLease(incarnation, clk.Now())
			}
			if tt.newLeader {
				m.Advance(500)
				leases.BeginTerm()
			}
			m.Advance(tt.after)
			qt.Assert(t, leases.Expired(incarnation, clk.Now(), leases.LeaseDuration()), qt.Equals, tt.want)
		})
	}
}

// Guards against a delayed heartbeat that is recorded as the latest one although a newer
// one has already arrived.
func TestOutdatedHeartbeatIsIgnored(t *testing.T) {
	m := clock.NewManual(1000)
	leases := NewLeaseTable(m.Clock(), 4000)
	qt.Assert(t, leases.RecordHeartbeat(heartbeat(5), 1000), qt.IsTrue)
	qt.Assert(t, leases.RecordHeartbeat(heartbeat(4), 3000), qt.IsFalse)
	m.Advance(4000)
	qt.Assert(t, leases.SinceLastHeartbeat(incarnation, 5000), qt.Equals, clock.Millis(4000))
}

// Guards against assignments that are based on outdated loads: a load must halve in
// loadHalfLife when no more requests are reported.
func TestLoadsDecay(t *testing.T) {
	m := clock.NewManual(1000)
	leases := NewLeaseTable(m.Clock(), 4000)
	h := heartbeat(1)
	h.Loads = []message.Load{{Bucket: 7, Work: 288}}
	leases.RecordHeartbeat(h, 1000)
	before := leases.Loads("catalogue")[7]
	m.Advance(loadHalfLife)
	after := leases.Loads("catalogue")[7]
	qt.Assert(t, after > before*0.45 && after < before*0.55, qt.IsTrue, qt.Commentf("load %.1f before, %.1f after", before, after))
}

// Guards against a new leader that ignores the loads measured by an earlier leader, and
// against seeded loads that replace measured ones.
func TestNewLeaderStartsWithSeededLoads(t *testing.T) {
	m := clock.NewManual(1000)
	leases := NewLeaseTable(m.Clock(), 4000)
	h := heartbeat(1)
	h.Loads = []message.Load{{Bucket: 7, Work: 288}}
	leases.RecordHeartbeat(h, 1000)
	busiest := leases.BusiestBuckets("catalogue")
	qt.Assert(t, busiest, qt.HasLen, 1)
	next := NewLeaseTable(m.Clock(), 4000)
	next.SeedLoads("catalogue", busiest)
	before, after := leases.Loads("catalogue")[7], next.Loads("catalogue")[7]
	qt.Assert(t, after > before*0.98 && after < before*1.02, qt.IsTrue, qt.Commentf("load %.1f before, %.1f after", before, after))
	next.RecordHeartbeat(heartbeat(1), 1000)
	next.SeedLoads("catalogue", []message.Load{{Bucket: 9, Work: 1000}})
	qt.Assert(t, next.Loads("catalogue")[9], qt.Equals, 0.0)
}

// Guards against a cold target that gets a full share of the keys at once, and against one
// that keeps a small share when it is warm.
func TestCapacityFollowsHeartbeats(t *testing.T) {
	m := clock.NewManual(1000)
	leases := NewLeaseTable(m.Clock(), 4000)
	stated := func(v float64) *float64 { return &v }
	for i, tt := range []struct {
		capacity *float64
		want     float64
	}{{nil, 10 * keyrange.WorkPerSlot}, {stated(60), 60}, {stated(1000), 1000}} {
		h := heartbeat(i + 1)
		h.Capacity = tt.capacity
		leases.RecordHeartbeat(h, m.Clock().Now())
		qt.Assert(t, leases.Capacity(h.Instance), qt.Equals, tt.want)
	}
}
