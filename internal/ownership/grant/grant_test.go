package grant

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

var lifetime = message.Incarnation{ID: "i-1", StartTime: 1}

func checkIn(sequence int) message.Heartbeat {
	return message.Heartbeat{Instance: message.Instance{Incarnation: lifetime, Service: "catalogue", Slots: 10}, Sequence: sequence}
}

// Guards against keys that go to another target while the lease of the first may
// still be in force, by a clock that runs 2 % slow or under a leader that did not
// give the lease.
func TestExpired(t *testing.T) {
	tests := map[string]struct {
		granted, newLeader bool
		after              clock.Millis
		want               bool
	}{
		"lease in force":                       {granted: true, after: 4000},
		"lease over, but not by a slow clock":  {granted: true, after: 4070},
		"lease over":                           {granted: true, after: 4300, want: true},
		"new leader waits out unknown leases":  {newLeader: true, after: 4000},
		"new leader after the longest lease":   {newLeader: true, after: 4300, want: true},
		"new leader counts from its own begin": {granted: true, newLeader: true, after: 4000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := clock.NewManual(1000)
			k := m.Clock()
			b := NewLeaseTable(k, 4000)
			if tt.granted {
				b.RecordHeartbeat(checkIn(1), k.Now())
				b.RecordLease(lifetime, k.Now())
			}
			if tt.newLeader {
				m.Advance(500)
				b.BeginTerm()
			}
			m.Advance(tt.after)
			qt.Assert(t, b.Expired(lifetime, k.Now()), qt.Equals, tt.want)
		})
	}
}

// Guards against a late check-in that is taken for a sign of life.
func TestLateCheckInIsNotHeard(t *testing.T) {
	m := clock.NewManual(1000)
	b := NewLeaseTable(m.Clock(), 4000)
	qt.Assert(t, b.RecordHeartbeat(checkIn(5), 1000), qt.IsTrue)
	qt.Assert(t, b.RecordHeartbeat(checkIn(4), 3000), qt.IsFalse)
	m.Advance(4000)
	qt.Assert(t, b.SinceLastHeartbeat(lifetime, 5000), qt.Equals, clock.Millis(4000))
}

// Guards against busy keys of the past that hold the present division in place.
func TestLoadsFade(t *testing.T) {
	m := clock.NewManual(1000)
	b := NewLeaseTable(m.Clock(), 4000)
	c := checkIn(1)
	c.Loads = []message.Load{{Bucket: 7, Requests: 288}}
	b.RecordHeartbeat(c, 1000)
	before := b.Loads("catalogue")[7]
	m.Advance(loadHalfLife)
	after := b.Loads("catalogue")[7]
	qt.Assert(t, after > before*0.45 && after < before*0.55, qt.IsTrue, qt.Commentf("%.1f, then %.1f", before, after))
}

// Guards against a leader that divides keys evenly although an earlier one had
// measured which are busy, and against kept figures that outweigh measured ones.
func TestLoadsOutliveTheLeader(t *testing.T) {
	m := clock.NewManual(1000)
	b := NewLeaseTable(m.Clock(), 4000)
	c := checkIn(1)
	c.Loads = []message.Load{{Bucket: 7, Requests: 288}}
	b.RecordHeartbeat(c, 1000)
	kept := b.BusiestBuckets("catalogue")
	qt.Assert(t, kept, qt.HasLen, 1)
	next := NewLeaseTable(m.Clock(), 4000)
	next.SeedLoads("catalogue", kept)
	before, after := b.Loads("catalogue")[7], next.Loads("catalogue")[7]
	qt.Assert(t, after > before*0.98 && after < before*1.02, qt.IsTrue, qt.Commentf("%.1f, then %.1f", before, after))
	next.RecordHeartbeat(checkIn(1), 1000)
	next.SeedLoads("catalogue", []message.Load{{Bucket: 9, Requests: 1000}})
	qt.Assert(t, next.Loads("catalogue")[9], qt.Equals, 0.0)
}
