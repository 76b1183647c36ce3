// Package grant keeps the leases that the leader of the core gave to targets of
// keyed services, and what their check-ins told of load and speed.
//
// A lease is counted by the target from when it sent its check-in, on a clock that
// may run slow; the book counts from when the check-in arrived, which is later, and
// adds the slowness. So a lease ends in the book after it has ended at the target.
// A new leader knows of no lease that an earlier one gave. It counts each target
// that it has not heard as holding a lease since its own election: the earlier
// leader proved its leadership by a round that began after each check-in.
//
// The book is soft state; it is safe for concurrent use.
//
// # Usage
//
//	b := grant.NewBook(clock.System(), 4000)
//	b.Lead()                       // on election
//	if b.Hear(checkIn, now) {      // a check-in that is not out of order
//		until := b.Grant(lifetime, now)
//	}
//	if b.Expired(lifetime, now) { ... }
package grant

import (
	"slices"
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// slowPercent is by how much a target's clock may run slow.
	slowPercent = 2
	// expiryMargin covers the rounding of both clocks and a late timer at the target.
	expiryMargin clock.Millis = 100
	// loadHalfLife is how fast old requests stop to count. Busy keys change within
	// seconds.
	loadHalfLife clock.Millis = 2000
)

// Book keeps leases and loads of one leader.
type LeaseTable struct {
	clock clock.Clock
	hold  clock.Millis

	mu      sync.Mutex
	since   clock.Millis
	targets map[message.Incarnation]*target
	loads   map[message.ServiceName]*loads
}

type target struct {
	sequence int
	heard    clock.Millis
	// interval is the time between its last two check-ins.
	interval clock.Millis
	until    clock.Millis
	// serviceMillis is the average time for a request; 0 while unknown.
	serviceMillis clock.Millis
	slots         int
}

type loads struct {
	at  clock.Millis
	sum keyrange.Loads
}

// NewBook returns an empty book for leases of the given length.
func NewLeaseTable(k clock.Clock, hold clock.Millis) *LeaseTable {
	b := &LeaseTable{clock: k, hold: hold}
	b.BeginTerm()
	return b
}

// Hold returns the length of a lease.
func (b *LeaseTable) LeaseDuration() clock.Millis { return b.hold }

// Lead forgets what belongs to an earlier leadership.
func (b *LeaseTable) BeginTerm() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = b.clock.Now()
	b.targets = map[message.Incarnation]*target{}
	b.loads = map[message.ServiceName]*loads{}
}

// Since returns when this leadership began.
func (b *LeaseTable) TermStart() clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.since
}

// Hear notes a check-in that arrived at a time. It returns false for one that is
// older than another that was heard: it says nothing of the present.
func (b *LeaseTable) RecordHeartbeat(c message.Heartbeat, at clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[c.Instance.Incarnation]
	if t == nil {
		t = &target{heard: at}
		b.targets[c.Instance.Incarnation] = t
	}
	if c.Sequence < t.sequence {
		return false
	}
	if at > t.heard {
		t.interval = at - t.heard
	}
	t.sequence, t.heard, t.slots = c.Sequence, at, c.Instance.Slots
	if c.ServiceMillis > 0 {
		t.serviceMillis = clock.Millis(c.ServiceMillis)
	}
	b.addLoads(c.Instance.Service, c.Loads, at)
	return true
}

// HearLoads notes requests that were reported between check-ins.
func (b *LeaseTable) RecordLoads(name message.ServiceName, more []message.Load) {
	if len(more) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLoads(name, more, b.clock.Now())
}

func (b *LeaseTable) addLoads(name message.ServiceName, more []message.Load, at clock.Millis) {
	l := b.loads[name]
	if l == nil {
		l = &loads{at: at}
		b.loads[name] = l
	}
	l.decay(at)
	// A sum that halves each half-life counts for 1.44 half-lives of requests.
	const seconds = 1.44 * float64(loadHalfLife) / 1000
	for _, x := range more {
		if x.Bucket >= 0 && x.Bucket < keyrange.Buckets {
			l.sum[x.Bucket] += float64(x.Requests) / seconds
		}
	}
}

func (l *loads) decay(now clock.Millis) {
	const step = 200 // ms; finer steps change nothing that matters
	for l.at+step <= now {
		n := min((now-l.at)/step, 200)
		factor := 1.0
		for range n {
			factor *= 0.933 // half in ten steps
		}
		for i := range l.sum {
			l.sum[i] *= factor
		}
		l.at += n * step
		if n == 200 {
			l.at = now
		}
	}
}

// Loads returns the requests a second of a service by bucket.
func (b *LeaseTable) Loads(name message.ServiceName) *keyrange.Loads {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[name]
	if l == nil {
		return &keyrange.Loads{}
	}
	l.decay(b.clock.Now())
	sum := l.sum
	return &sum
}

// keptLoads is the number of buckets that are kept for a later leader, and keptPer
// the time in seconds over which their requests are stated.
const (
	keptLoads = 128
	keptPer   = 100
)

// Busiest returns the busiest buckets of a service, for a later leader.
func (b *LeaseTable) BusiestBuckets(name message.ServiceName) []message.Load {
	sum := b.Loads(name)
	out := []message.Load{}
	for i, v := range sum {
		if n := int(v * keptPer); n > 0 {
			out = append(out, message.Load{Bucket: i, Requests: n})
		}
	}
	slices.SortFunc(out, func(x, y message.Load) int { return y.Requests - x.Requests })
	return out[:min(len(out), keptLoads)]
}

// Expect seeds the loads of a service with what an earlier leader measured, if this
// one has heard of no requests yet.
func (b *LeaseTable) SeedLoads(name message.ServiceName, kept []message.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.loads[name] != nil {
		return
	}
	l := &loads{at: b.clock.Now()}
	for _, x := range kept {
		if x.Bucket >= 0 && x.Bucket < keyrange.Buckets {
			l.sum[x.Bucket] = float64(x.Requests) / keptPer
		}
	}
	b.loads[name] = l
}

// Grant notes a lease that answers a check-in that arrived at a time.
func (b *LeaseTable) RecordLease(l message.Incarnation, at clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[l]; t != nil {
		t.until = max(t.until, b.end(at))
	}
}

func (b *LeaseTable) end(at clock.Millis) clock.Millis {
	return at + b.hold + b.hold*slowPercent/100 + expiryMargin
}

// Expired reports whether no lease of a lifetime can be in force.
func (b *LeaseTable) Expired(l message.Incarnation, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := b.end(b.since)
	if t := b.targets[l]; t != nil {
		until = max(until, t.until)
	}
	return now > until
}

// Silent returns how long a lifetime has not been heard, at most since the
// beginning of this leadership.
func (b *LeaseTable) SinceLastHeartbeat(l message.Incarnation, now clock.Millis) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[l]; t != nil {
		return now - t.heard
	}
	return now - b.since
}

// NextCheckIn returns in how many milliseconds a lifetime is expected to check in
// again; ok is false if it is not known.
func (b *LeaseTable) UntilNextHeartbeat(l message.Incarnation, now clock.Millis) (in clock.Millis, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[l]
	if t == nil || t.interval == 0 {
		return 0, false
	}
	return t.heard + t.interval - now, true
}

// unknownServiceMillis stands for the time of a request while none was measured.
const unknownServiceMillis = 100

// Capacity returns the requests a second that a target can serve, as far as known:
// its slots by the mean time of a request. Targets that were not measured count
// with the mean of those that were.
func (b *LeaseTable) Capacity(i message.Instance, mean clock.Millis) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	took := mean
	if t := b.targets[i.Incarnation]; t != nil && t.serviceMillis > 0 {
		took = t.serviceMillis
	}
	return float64(max(i.Slots, 1)) * 1000 / float64(max(took, 1))
}

// MeanServiceMillis returns the mean time of a request at the given instances.
func (b *LeaseTable) MeanServiceMillis(all []message.Instance) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum, n := clock.Millis(0), clock.Millis(0)
	for _, i := range all {
		if t := b.targets[i.Incarnation]; t != nil && t.serviceMillis > 0 {
			sum, n = sum+t.serviceMillis, n+1
		}
	}
	if n == 0 {
		return unknownServiceMillis
	}
	return sum / n
}
