// Package grant keeps the leases that the leader of the core has granted to targets of
// keyed services, and the loads and speeds that the targets report in their heartbeats.
//
// A target counts its lease from when it sent the heartbeat, on a clock that may run
// slow. LeaseTable counts from when the heartbeat arrived, which is later, and adds a
// margin for the slow clock. So a lease ends in the table after it has ended at the
// target.
//
// A new leader does not know the leases that earlier leaders granted. It treats each
// target without a recorded lease as if it had granted one at its own election. That is
// late enough: an earlier leader confirmed its leadership with a round of the log that
// began after the heartbeat arrived, so it granted no lease to a heartbeat that arrived
// after the election.
//
// The table is kept in memory only. It is safe for concurrent use.
//
// # Usage
//
//	t := grant.NewLeaseTable(clock.System(), 4000) // on election
//	if t.RecordHeartbeat(heartbeat, now) { // false if it arrived out of order
//		t.RecordLease(incarnation, now)
//	}
//	if t.Expired(incarnation, now, 4000) { ... }
package grant

import (
	"slices"
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// clockSlownessPercent is the largest lag of a target's clock, in percent of the elapsed
	// time.
	clockSlownessPercent = 2
	// expiryMargin covers the rounding of both clocks and a late timer at the target.
	expiryMargin clock.Millis = 100
	// loadHalfLife is the half-life of the weight of past requests. It is short because
	// busy keys change within seconds.
	loadHalfLife clock.Millis = 2000
)

// LeaseTable holds the leases and loads of one leadership term.
type LeaseTable struct {
	clock         clock.Clock
	leaseDuration clock.Millis

	mu        sync.Mutex
	termStart clock.Millis
	targets   map[message.Incarnation]*targetState
	loads     map[message.ServiceName]*decayingLoads
}

// targetState is the state that is recorded for one incarnation.
type targetState struct {
	// sequence is the sequence number of the latest recorded heartbeat.
	sequence      int
	lastHeartbeat clock.Millis
	// interval is the time between its last two heartbeats.
	interval clock.Millis
	leaseEnd clock.Millis
	// capacity is the work that it can do in a second; 0 while unknown.
	capacity float64
	slots    int
}

// decayingLoads are the loads of a service, which lose weight over time.
type decayingLoads struct {
	// asOf is the time to which the values have been decayed.
	asOf   clock.Millis
	values keyrange.Loads
}

// NewLeaseTable returns an empty table for leases of the given duration.
func NewLeaseTable(clk clock.Clock, leaseDuration clock.Millis) *LeaseTable {
	t := &LeaseTable{clock: clk, leaseDuration: leaseDuration}
	t.BeginTerm()
	return t
}

// LeaseDuration returns the duration of a lease.
func (t *LeaseTable) LeaseDuration() clock.Millis { return t.leaseDuration }

// BeginTerm starts a leadership term now and drops all state of earlier ones.
func (t *LeaseTable) BeginTerm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.termStart = t.clock.Now()
	t.targets = map[message.Incarnation]*targetState{}
	t.loads = map[message.ServiceName]*decayingLoads{}
}

// TermStart returns when the leadership term began.
func (t *LeaseTable) TermStart() clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.termStart
}

// RecordHeartbeat records a heartbeat that arrived at the given time. If a heartbeat with
// a higher sequence number has been recorded already, it does nothing and returns false.
func (t *LeaseTable) RecordHeartbeat(h message.Heartbeat, at clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[h.Instance.Incarnation]
	if s == nil {
		s = &targetState{lastHeartbeat: at}
		t.targets[h.Instance.Incarnation] = s
	}
	if h.Sequence < s.sequence {
		return false
	}
	if at > s.lastHeartbeat {
		s.interval = at - s.lastHeartbeat
	}
	s.sequence, s.lastHeartbeat, s.slots = h.Sequence, at, h.Instance.Slots
	if h.Capacity != nil {
		s.capacity = *h.Capacity
	}
	t.addLoads(h.Instance.Service, h.Loads, at)
	return true
}

// RecordLoads records requests that were reported outside of heartbeats.
func (t *LeaseTable) RecordLoads(name message.ServiceName, reported []message.Load) {
	if len(reported) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addLoads(name, reported, t.clock.Now())
}

func (t *LeaseTable) addLoads(name message.ServiceName, reported []message.Load, asOf clock.Millis) {
	if len(reported) == 0 {
		return // SeedLoads may still follow
	}
	l := t.loads[name]
	if l == nil {
		l = &decayingLoads{asOf: asOf}
		t.loads[name] = l
	}
	l.decay(asOf)
	// With a constant rate, a sum that halves in each half-life converges to the requests
	// of 1/ln 2 = 1.44 half-lives.
	const seconds = 1.44 * float64(loadHalfLife) / 1000
	for _, x := range reported {
		if x.Bucket >= 0 && x.Bucket < keyrange.Buckets {
			l.values[x.Bucket] += float64(x.Work) / seconds
		}
	}
}

// decay reduces the loads according to the time since asOf, in steps.
func (l *decayingLoads) decay(now clock.Millis) {
	const step = 200 // ms; short against the half-life
	for l.asOf+step <= now {
		n := min((now-l.asOf)/step, 200) // 200 steps leave a millionth
		factor := 1.0
		for range n {
			factor *= 0.933 // halves in ten steps
		}
		for i := range l.values {
			l.values[i] *= factor
		}
		l.asOf += n * step
		if n == 200 {
			l.asOf = now
		}
	}
}

// Loads returns the requests per second of a service by bucket.
func (t *LeaseTable) Loads(name message.ServiceName) *keyrange.Loads {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.loads[name]
	if l == nil {
		return &keyrange.Loads{}
	}
	l.decay(t.clock.Now())
	values := l.values
	return &values
}

const (
	// maxBusiestBuckets is the number of buckets whose loads are kept for a later leader.
	maxBusiestBuckets = 128
	// busiestBucketsPeriodSeconds is the period for which BusiestBuckets states the number
	// of requests.
	busiestBucketsPeriodSeconds = 100
)

// BusiestBuckets returns the loads of the busiest buckets of a service, as requests in
// 100 s. A later leader passes them to SeedLoads.
func (t *LeaseTable) BusiestBuckets(name message.ServiceName) []message.Load {
	loads := t.Loads(name)
	out := []message.Load{}
	for i, v := range loads {
		if n := int(v * busiestBucketsPeriodSeconds); n > 0 {
			out = append(out, message.Load{Bucket: i, Work: n})
		}
	}
	slices.SortFunc(out, func(x, y message.Load) int { return y.Work - x.Work })
	return out[:min(len(out), maxBusiestBuckets)]
}

// SeedLoads initializes the loads of a service with the BusiestBuckets of an earlier
// leader. It does nothing if a heartbeat or loads of the service have been recorded in
// this term.
func (t *LeaseTable) SeedLoads(name message.ServiceName, busiest []message.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loads[name] != nil {
		return
	}
	l := &decayingLoads{asOf: t.clock.Now()}
	for _, x := range busiest {
		if x.Bucket >= 0 && x.Bucket < keyrange.Buckets {
			l.values[x.Bucket] = float64(x.Work) / busiestBucketsPeriodSeconds
		}
	}
	t.loads[name] = l
}

// RecordLease records the lease granted in the response to a heartbeat that arrived at
// the given time.
func (t *LeaseTable) RecordLease(i message.Incarnation, at clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[i]; s != nil {
		s.leaseEnd = max(s.leaseEnd, latestEnd(at, t.leaseDuration))
	}
}

// RecordCallLease records the lease that is given to the sidecar of a target for a request
// that arrived at the given time.
func (t *LeaseTable) RecordCallLease(i message.Incarnation, at, duration clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[i]
	if s == nil {
		s = &targetState{}
		t.targets[i] = s
	}
	s.lastHeartbeat = max(s.lastHeartbeat, at)
	s.leaseEnd = max(s.leaseEnd, latestEnd(at, duration))
}

// PresumeLease records a lease for a target that has none yet. A target that has just been
// registered may get keys before its sidecar asks for its first lease, and must not be taken
// for one that fell silent.
func (t *LeaseTable) PresumeLease(i message.Incarnation, at, duration clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[i]; s != nil && s.leaseEnd == 0 {
		s.leaseEnd = latestEnd(at, duration)
	}
}

// latestEnd returns the latest time at which a target may still rely on a lease that was
// granted at the given time.
func latestEnd(at, duration clock.Millis) clock.Millis {
	return at + duration + duration*clockSlownessPercent/100 + expiryMargin
}

// Expired reports whether all leases that an incarnation may have been granted have
// ended. The duration is that of the leases of its service.
func (t *LeaseTable) Expired(i message.Incarnation, now, duration clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	end := latestEnd(t.termStart, duration)
	if s := t.targets[i]; s != nil {
		end = max(end, s.leaseEnd)
	}
	return now > end
}

// SinceLastHeartbeat returns the time since the last heartbeat of an incarnation, or
// since the start of the leadership term if there was none.
func (t *LeaseTable) SinceLastHeartbeat(i message.Incarnation, now clock.Millis) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[i]; s != nil {
		return now - s.lastHeartbeat
	}
	return now - t.termStart
}

// UntilNextHeartbeat returns the time until the next heartbeat of an incarnation is
// expected, negative if it is overdue; ok is false if its interval is not known yet.
func (t *LeaseTable) UntilNextHeartbeat(i message.Incarnation, now clock.Millis) (wait clock.Millis, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[i]
	if s == nil || s.interval == 0 {
		return 0, false
	}
	return s.lastHeartbeat + s.interval - now, true
}

// Capacity returns the work that a target can do in a second. For a target that has not stated
// it, that is the work of its slots.
func (t *LeaseTable) Capacity(i message.Instance) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[i.Incarnation]; s != nil && s.capacity > 0 {
		return s.capacity
	}
	return float64(max(i.Slots, 1)) * keyrange.WorkPerSlot
}
