// Package lease implements time-bounded exclusive rights between a granter and
// many holders whose clocks run at nearly the same rate but show unrelated times.
//
// Both sides count from an event that they saw themselves. The holder counts
// from before it sent the renewal, the granter from when it received it. A
// renewal is sent before it is received, so the granter's count ends later than
// the holder's on any pair of clocks whose rates differ by at most the stated
// bound. No message carries a point in time.
//
// A Granter says when a lease has certainly ended. It grants nothing durable: a
// new granter does not know what its predecessor granted, and therefore treats
// every member as holding a lease that was renewed at the moment of the
// takeover (Reset). This rests on a rule that the caller keeps: a renewal is
// answered only after the granter's own authority has been confirmed by a round
// that began after the renewal was received.
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
//		// g refuses m from here on; now commit that m is gone
//	}
package lease

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Terms are the agreed figures of a lease. Both sides must use the same ones.
type Terms struct {
	// Duration is how long a renewal lasts for the holder.
	Duration clock.Millis
	// MaxDrift is the largest relative difference between the rates of any
	// two clocks.
	MaxDrift float64
}

// DefaultTerms: with elections of at most 600 ms, a duration of 900 ms lets
// owners serve on through the loss of a leader alone, and bounds the time
// without an owner to under 2 s when leader and owner are lost together. Quartz
// clocks differ by less than 100 parts per million; the bound of 1/1000 leaves a
// factor of ten.
var DefaultTerms = Terms{Duration: 900, MaxDrift: 0.001}

// clockTick is the resolution of clock.Millis, by which a reading may be early.
const clockTick clock.Millis = 1

// MaxDuration returns how long a lease can last on any clock within the bound,
// counted from the receipt of its renewal.
func (t Terms) MaxDuration() clock.Millis {
	stretched := float64(t.Duration) * (1 + t.MaxDrift)
	return clock.Millis(math.Ceil(stretched)) + clockTick
}

// MinDuration returns how long a lease lasts at least on any clock within the
// bound. A holder that passes its right on to a third clock uses this figure:
// the right ends at that clock's reading, taken before the renewal was sent,
// plus MinDuration.
func (t Terms) MinDuration() clock.Millis {
	return clock.Millis(math.Floor(float64(t.Duration) * (1 - t.MaxDrift)))
}

// Holder is the holding side of one lease. It is safe for concurrent use, and
// Remaining takes no lock because it is read before each forwarded request.
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

// Now returns the holder's time, for Renewed.
func (h *Holder) Now() clock.Millis { return h.clock.Now() }

// Renewed records a granted renewal that was sent at the given time. Responses
// may arrive out of order; an earlier one never shortens the lease.
func (h *Holder) Renewed(sent clock.Millis) {
	until := int64(sent + h.terms.Duration)
	for {
		old := h.until.Load()
		if until <= old || h.until.CompareAndSwap(old, until) {
			return
		}
	}
}

// Drop gives up the lease at once.
func (h *Holder) Drop() { h.until.Store(math.MinInt64) }

// Remaining returns how long the lease still lasts, zero when it has ended.
func (h *Holder) Remaining() clock.Millis {
	until := h.until.Load()
	now := int64(h.clock.Now())
	if until <= now {
		return 0
	}
	return clock.Millis(until - now)
}

// Granter is the granting side for any number of members. It is safe for
// concurrent use.
type Granter[M comparable] struct {
	clock clock.Clock
	terms Terms

	mu      sync.Mutex
	floor   clock.Millis
	held    clock.Millis
	ends    map[M]clock.Millis
	heard   map[M]clock.Millis
	refused map[M]struct{}
}

// NewGranter returns a granter that has taken over now.
func NewGranter[M comparable](c clock.Clock, t Terms) *Granter[M] {
	g := &Granter[M]{clock: c, terms: t}
	g.Reset()
	return g
}

// Now returns the granter's time, for Renew.
func (g *Granter[M]) Now() clock.Millis { return g.clock.Now() }

// Reset begins a new time in office: nothing is known about earlier renewals,
// so no lease counts as expired before Terms.MaxDuration from now.
func (g *Granter[M]) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.floor = g.clock.Now() + g.terms.MaxDuration()
	g.ends = make(map[M]clock.Millis)
	g.heard = make(map[M]clock.Millis)
	g.refused = make(map[M]struct{})
}

// EarlierLeasesEnded reports whether every lease of earlier granters has ended.
func (g *Granter[M]) EarlierLeasesEnded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock.Now() >= g.floor
}

// Renew extends a member's lease from the time at which the renewal was
// received. It returns false when the member is refused.
func (g *Granter[M]) Renew(m M, received clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, no := g.refused[m]; no {
		return false
	}
	g.ends[m] = max(g.ends[m], received+g.terms.MaxDuration())
	return true
}

// RecordPending records that a renewal has arrived that is not granted yet. The member
// is alive, so it does not expire while the granter is slow to answer. Waiting
// longer before a lease counts as expired is always safe.
func (g *Granter[M]) RecordPending(m M, received clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard[m] = max(g.heard[m], received)
}

// DiscardPending takes back RecordPending for a renewal that was refused, so that a member whose
// renewals are refused for another reason than its lease still expires.
func (g *Granter[M]) DiscardPending(m M) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.heard, m)
}

// DelayExpiry lets no lease expire for a time from now. A granter that was stalled
// itself uses it, since renewals that arrived meanwhile are still to be read.
func (g *Granter[M]) DelayExpiry(d clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = max(g.held, g.clock.Now()+d)
}

// Reject rejects all further renewals of a member.
func (g *Granter[M]) Reject(m M) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused[m] = struct{}{}
}

// HasLease reports whether this granter renewed the member's lease, the lease may
// still last on its holder, and further renewals are not refused.
func (g *Granter[M]) HasLease(m M) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, refused := g.refused[m]
	end, renewed := g.ends[m]
	return renewed && !refused && g.clock.Now() < end
}

// Expire returns those of the members whose lease has ended, and refuses their
// renewals from then on. A member that was never renewed counts from Reset.
func (g *Granter[M]) Expire(members []M) []M {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if now < g.held {
		return nil
	}
	var gone []M
	for _, m := range members {
		if now >= g.end(m) && !g.waits(m, now) {
			g.refused[m] = struct{}{}
			gone = append(gone, m)
		}
	}
	return gone
}

// waits reports whether the member has sent a renewal that may still be granted.
func (g *Granter[M]) waits(m M, now clock.Millis) bool {
	if _, no := g.refused[m]; no {
		return false
	}
	heard, ok := g.heard[m]
	return ok && now < heard+g.terms.MaxDuration()
}

// Remaining returns how long the member's lease may still last on its holder,
// zero when it has certainly ended.
func (g *Granter[M]) Remaining(m M) clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, g.end(m)-g.clock.Now())
}

func (g *Granter[M]) end(m M) clock.Millis {
	if e, ok := g.ends[m]; ok {
		return max(e, g.floor)
	}
	return g.floor
}
