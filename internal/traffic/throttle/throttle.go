// Package throttle rejects requests on the caller's host when the owner of their key would
// probably reject them.
//
// One key, or a few adjacent keys, can get several times the requests that their owner can
// process. All sidecars send these requests to the owner's host. Without throttling, a
// slow link to that host fills with requests and rejections until its control calls fail
// as well. Each sidecar therefore counts how many requests it had for an owner and how
// many of them the owner accepted, and sends at most a fixed multiple of the latter. The
// other requests are rejected without delay.
//
// Requests that are rejected here still count as load of their keys, so that the core
// moves the keys: TakeRejectedLoads returns that load.
//
// # Usage
//
//	l := throttle.New(clock.System(), rand.Float64)
//	if retryAfter, ok := l.Allow(owner); !ok {
//		l.CountRejected(service, key, duration)
//		return busy(retryAfter)
//	}
//	l.RecordResult(owner, accepted, retryAfter)
package throttle

import (
	"math"
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// maxSentPerAccepted is how many requests are sent for each recently accepted one. It
	// is above 1 so that the sidecar notices when an owner accepts more again.
	maxSentPerAccepted = 1.8
	// smoothingRequests is added to the number of requests when the rejection probability
	// is computed, because a few requests say little about the owner.
	smoothingRequests = 4
	// countHalfLife is the half-life of the request counts, so that old requests lose
	// their weight.
	countHalfLife clock.Millis = 1000
	// defaultRetryAfter is the pause that callers are asked for before the owner has named one.
	defaultRetryAfter clock.Millis = 400
)

// Limiter counts the requests of one sidecar by owner and limits how many are sent.
type Limiter struct {
	clock  clock.Clock
	random func() float64

	mu       sync.Mutex
	owners   map[message.InstanceID]*requestCounts
	rejected map[message.ServiceName]keyrange.LoadCounter
}

// requestCounts are the requests for the keys of one owner, decayed as of updated.
type requestCounts struct {
	updated clock.Millis
	// total includes the requests that were rejected here.
	total, accepted float64
	// retryAfter is the pause that the owner's latest rejection asked for.
	retryAfter clock.Millis
}

// New returns a limiter without counts. The function random returns numbers in [0, 1).
func New(clk clock.Clock, random func() float64) *Limiter {
	return &Limiter{clock: clk, random: random, owners: map[message.InstanceID]*requestCounts{}, rejected: map[message.ServiceName]keyrange.LoadCounter{}}
}

// decayedCounts returns the counts of an owner, decayed to the current time.
func (l *Limiter) decayedCounts(owner message.InstanceID) *requestCounts {
	now := l.clock.Now()
	c := l.owners[owner]
	if c == nil {
		c = &requestCounts{updated: now, retryAfter: defaultRetryAfter}
		l.owners[owner] = c
	}
	decay := math.Exp2(-float64(now-c.updated) / float64(countHalfLife))
	c.total, c.accepted, c.updated = c.total*decay, c.accepted*decay, now
	return c
}

// rejectProbability returns the part of the requests that are rejected. It is negative while
// the owner accepts most of them.
func (c *requestCounts) rejectProbability() float64 {
	return (c.total - maxSentPerAccepted*c.accepted) / (c.total + smoothingRequests)
}

// RejectProbability returns the part of the requests to an owner that Allow rejects now, and
// how long it tells their callers to wait. It counts nothing.
func (l *Limiter) RejectProbability(owner message.InstanceID) (probability float64, retryAfter clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.owners[owner] == nil {
		return 0, 0
	}
	c := l.decayedCounts(owner)
	return max(c.rejectProbability(), 0), c.retryAfter
}

// Allow reports whether a request may be sent to an owner. If not, it returns how long the
// caller should wait before it retries.
func (l *Limiter) Allow(owner message.InstanceID) (retryAfter clock.Millis, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.decayedCounts(owner)
	if l.random() >= c.rejectProbability() {
		return 0, true
	}
	c.total++
	return c.retryAfter, false
}

// RecordResult records whether an owner accepted a request that was sent to it, and if
// not, how long it asked the caller to wait before a retry; 0 if it did not say.
func (l *Limiter) RecordResult(owner message.InstanceID, accepted bool, retryAfter clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.decayedCounts(owner)
	c.total++
	if accepted {
		c.accepted++
		return
	}
	if retryAfter > 0 {
		c.retryAfter = retryAfter
	}
}

// CountRejected counts a request that was rejected here as load of its key. It would have taken
// its owner the given time.
func (l *Limiter) CountRejected(name message.ServiceName, key message.Key, duration clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rejected[name] == nil {
		l.rejected[name] = keyrange.LoadCounter{}
	}
	l.rejected[name].Add(key, duration)
}

// TakeRejectedLoads returns the work of the requests that were rejected here since the last call, by
// service and bucket of keys.
func (l *Limiter) TakeRejectedLoads() []message.ServiceLoads {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []message.ServiceLoads
	for name, loads := range l.rejected {
		out = append(out, message.ServiceLoads{Service: name, Loads: loads.Flush()})
	}
	clear(l.rejected)
	return out
}

// Retain removes the counts of all owners that are not known.
func (l *Limiter) Retain(known func(message.InstanceID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for owner := range l.owners {
		if !known(owner) {
			delete(l.owners, owner)
		}
	}
}
