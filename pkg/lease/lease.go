// Package lease implements time-bounded exclusive rights that a granter grants to
// many holders. The clocks of the hosts run at nearly the same rate but may show
// different times.
//
// Each side measures the lease from a local event: the holder from before it sent
// the renewal, the granter from when it received the renewal. A renewal is sent
// before it is received, so a lease ends later at the granter than at the holder if
// the rates of their clocks differ by at most MaxDrift. Messages carry no times.
//
// A Granter determines when a lease has certainly ended. It keeps leases in memory
// only. A new granter does not know the leases that its predecessor granted, and
// therefore assumes that every member renewed its lease at the time of the takeover
// (Reset). The caller must follow one rule: it may respond to a renewal only after a
// round of messages that began after the renewal was received has confirmed that the
// granter still has its authority.
//
// # Usage
//
// The holder:
//
//	h := lease.NewHolder(clock.System(), lease.DefaultTerms)
//	sent := h.Now()
//	if renew() == nil {
//		h.Renewed(sent)
//	}
//	if h.Remaining() < 100 {
//		return errNotOwner
//	}
//
// The granter:
//
//	g := lease.NewGranter[string](clock.System(), lease.DefaultTerms)
//	g.Reset()
//	received := g.Now()
//	confirmAuthority()
//	granted := g.Renew("dsm-a-1", received)
//	for _, m := range g.Expire(members) {
//		// From now on g rejects renewals of m. Commit the removal of m.
//	}
package lease

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Terms are the parameters of a lease. Both sides must use the same ones.
type Terms struct {
	// Duration is the time for which a renewal is valid at the holder.
	Duration clock.Millis
	// MaxDrift is the largest relative difference between the rates of any
	// two clocks.
	MaxDrift float64
}

// DefaultTerms are the terms for elections of at most 600 ms. A duration of 900 ms
// lets owners continue to serve when only the leader fails, and limits the time
// without an owner to less than 2 s when leader and owner fail together. The rates of
// quartz clocks differ by less than 100 parts per million; MaxDrift is ten times that.
var DefaultTerms = Terms{Duration: 900, MaxDrift: 0.001}

// clockTick is the resolution of clock.Millis. A reading may be early by that much.
const clockTick clock.Millis = 1

// MaxDuration returns the longest time that a lease can last on any clock within
// MaxDrift, measured from the receipt of the renewal.
func (t Terms) MaxDuration() clock.Millis {
	stretched := float64(t.Duration) * (1 + t.MaxDrift)
	return clock.Millis(math.Ceil(stretched)) + clockTick
}

// MinDuration returns the shortest time that a lease can last on any clock within
// MaxDrift. A holder uses it to limit a right by the clock of a third process: the
// right ends MinDuration after a reading of that clock from before the renewal was
// sent.
func (t Terms) MinDuration() clock.Millis {
	return clock.Millis(math.Floor(float64(t.Duration) * (1 - t.MaxDrift)))
}

// Holder is the holder's side of one lease. It is safe for concurrent use.
// Remaining takes no lock because it is called before each forwarded request.
type Holder struct {
	clock clock.Clock
	terms Terms
	until atomic.Int64
}

// NewHolder returns a holder without a lease.
func NewHolder(c clock.Clock, t Terms) *Holder {
	h := &Holder{clock: c, terms: t}
	h.until.Store(math.MinInt64)
	return h
}

// Now returns the holder's time, for use with Renewed.
func (h *Holder) Now() clock.Millis { return h.clock.Now() }

// Renewed records that a renewal that was sent at the given time has been granted.
// Responses may arrive in any order: an earlier renewal never shortens the lease.
func (h *Holder) Renewed(sent clock.Millis) {
	until := int64(sent + h.terms.Duration)
	for {
		current := h.until.Load()
		if until <= current || h.until.CompareAndSwap(current, until) {
			return
		}
	}
}

// Drop ends the lease immediately, at the holder only.
func (h *Holder) Drop() { h.until.Store(math.MinInt64) }

// Remaining returns the remaining time of the lease, zero if it has ended.
func (h *Holder) Remaining() clock.Millis {
	until := h.until.Load()
	now := int64(h.clock.Now())
	if until <= now {
		return 0
	}
	return clock.Millis(until - now)
}

// Granter is the granter's side of the leases of any number of members. It is safe
// for concurrent use.
type Granter[M comparable] struct {
	clock clock.Clock
	terms Terms

	mu sync.Mutex
	// earlierLeasesEnd is the time at which all leases of earlier granters have ended.
	earlierLeasesEnd clock.Millis
	noExpiryUntil    clock.Millis
	leaseEnds        map[M]clock.Millis
	// pending holds the time of receipt of the last renewal that is not granted yet.
	pending  map[M]clock.Millis
	rejected map[M]struct{}
}

// NewGranter returns a granter whose takeover is now.
func NewGranter[M comparable](c clock.Clock, t Terms) *Granter[M] {
	g := &Granter[M]{clock: c, terms: t}
	g.Reset()
	return g
}

// Now returns the granter's time, for use with Renew and RecordPending.
func (g *Granter[M]) Now() clock.Millis { return g.clock.Now() }

// Reset starts a new leadership term. Leases of earlier granters are unknown, so no
// lease expires before Terms.MaxDuration from now.
func (g *Granter[M]) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.earlierLeasesEnd = g.clock.Now() + g.terms.MaxDuration()
	g.leaseEnds = make(map[M]clock.Millis)
	g.pending = make(map[M]clock.Millis)
	g.rejected = make(map[M]struct{})
}

// EarlierLeasesEnded reports whether all leases of earlier granters have ended.
func (g *Granter[M]) EarlierLeasesEnded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock.Now() >= g.earlierLeasesEnd
}

// Renew extends a member's lease from the time at which the renewal was received. It
// returns false if renewals of the member are rejected.
func (g *Granter[M]) Renew(m M, received clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, rejected := g.rejected[m]; rejected {
		return false
	}
	g.leaseEnds[m] = max(g.leaseEnds[m], received+g.terms.MaxDuration())
	return true
}

// RecordPending records the receipt of a renewal that is not granted yet. The member
// is alive, so its lease does not expire while the granter is slow to respond. It is
// always safe to let a lease expire later.
func (g *Granter[M]) RecordPending(m M, received clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending[m] = max(g.pending[m], received)
}

// DiscardPending undoes RecordPending for a renewal that was rejected. The lease of a
// member whose renewals are rejected for another reason can then still expire.
func (g *Granter[M]) DiscardPending(m M) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, m)
}

// DelayExpiry keeps leases from expiring for the duration d from now. The caller uses
// it when the granter's process was stalled, since renewals that arrived during the
// stall have not been read yet.
func (g *Granter[M]) DelayExpiry(d clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noExpiryUntil = max(g.noExpiryUntil, g.clock.Now()+d)
}

// Reject rejects all further renewals of a member.
func (g *Granter[M]) Reject(m M) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rejected[m] = struct{}{}
}

// HasLease reports whether this granter has renewed the member's lease, the lease may
// still be valid at the holder, and further renewals are not rejected.
func (g *Granter[M]) HasLease(m M) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, rejected := g.rejected[m]
	end, renewed := g.leaseEnds[m]
	return renewed && !rejected && g.clock.Now() < end
}

// Expire returns the given members whose leases have ended, and rejects their renewals
// from then on. The lease of a member that was never renewed counts from Reset.
func (g *Granter[M]) Expire(members []M) []M {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if now < g.noExpiryUntil {
		return nil
	}
	var expired []M
	for _, m := range members {
		if now >= g.leaseEnd(m) && !g.hasPending(m, now) {
			g.rejected[m] = struct{}{}
			expired = append(expired, m)
		}
	}
	return expired
}

// hasPending reports whether a renewal of the member may still be granted.
func (g *Granter[M]) hasPending(m M, now clock.Millis) bool {
	if _, rejected := g.rejected[m]; rejected {
		return false
	}
	received, ok := g.pending[m]
	return ok && now < received+g.terms.MaxDuration()
}

// Remaining returns the longest time for which the member's lease may still be valid
// at the holder, zero if it has certainly ended.
func (g *Granter[M]) Remaining(m M) clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, g.leaseEnd(m)-g.clock.Now())
}

// leaseEnd returns the time after which the member's lease is certainly not valid.
func (g *Granter[M]) leaseEnd(m M) clock.Millis {
	if end, ok := g.leaseEnds[m]; ok {
		return max(end, g.earlierLeasesEnd)
	}
	return g.earlierLeasesEnd
}
