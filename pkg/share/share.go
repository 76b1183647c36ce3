// Package share divides a limit among many holders, so that in any window of time all of
// them together use no more than the limit, whatever is lost or cut.
//
// Each holder has a small part of the limit that it keeps without any message. The rest is
// granted on demand by a Ledger, which one process at a time keeps in memory: a leader. A
// grant is an amount that its holder may use once, within Terms.Duration on its own clock,
// counted from before it sent the request. What was granted counts for as long as a window
// may contain its use, Terms.Reuse, and what a holder returns unused can be granted again at
// once. A holder that hears nothing has its part.
//
// The part of a holder never grows, and starts empty: the holder's own work fills it, at a
// rate that the limit does not cover. So neither a restart nor a late message adds to what a
// holder may use in a window. A new ledger knows nothing of its predecessor's grants and
// grants nothing for Terms.Reuse. A holder without an answer has the fallback part, an equal
// division of the whole limit, as in releases without grants. A ledger counts it for every
// holder that has not stated its part.
//
// The caller must follow one rule: it may send an answer of a ledger only after a round of
// messages that began after the request arrived has confirmed that it still leads.
//
// # Usage
//
// The holder:
//
//	h := share.NewHolder(share.HolderOptions{
//		Clock: clock.System(), Terms: share.DefaultTerms, Process: startTime, Ratio: 0.14, Limit: 163, Holders: numberOfHosts,
//	})
//	b := h.Budget("orders")
//	b.Deposit()           // for each request
//	if b.Withdraw(1) {    // for each retry
//		send()
//	}
//
//	if request := h.NextRequest(); request != nil {
//		sent := c.Now()
//		if reply, err := ask(request); err == nil {
//			h.Apply(request, reply, sent)
//		} else {
//			h.Fail(request)
//		}
//	}
//
// The leader:
//
//	l := share.NewLedger(163, share.DefaultTerms, c.Now())
//	l.SetMembers(membersInRegistry)
//	reply := l.Answer("host-a", request, c.Now())
package share

import (
	"math"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Terms are the parameters of grants. Ledgers and holders must use the same ones.
type Terms struct {
	// Window is the length of the windows in which the limit holds.
	Window clock.Millis
	// Duration is the time for which a grant may be used.
	Duration clock.Millis
	// MaxDrift is the largest relative error of the rate of any clock.
	MaxDrift float64
}

// DefaultTerms are the terms for windows of 10 s. A longer duration would leave fewer grants
// unused, but would also keep them from other holders for longer.
var DefaultTerms = Terms{Window: 10_000, Duration: 2000, MaxDrift: 0.02}

// clockTick is the resolution of clock.Millis. Each of two readings may be early by that much.
const clockTick clock.Millis = 1

// Reuse returns the time after which an amount that was granted can be granted again: the
// time until the grant has certainly ended, and one window more.
func (t Terms) Reuse() clock.Millis {
	stretched := float64(t.Window+t.Duration) * (1 + t.MaxDrift) / (1 - t.MaxDrift)
	return clock.Millis(math.Ceil(stretched)) + 2*clockTick
}

// HolderID identifies a holder. It stays the same when the holder's process restarts.
type HolderID string

// Pool is the name of one limit among those that a ledger divides.
type Pool string

// Request is what a holder states and asks for.
type Request struct {
	// Process distinguishes the processes of a holder.
	Process int64
	// Number increases with each request of a process.
	Number int
	// Part is the part that the holder has; 0 if it has the fallback part.
	Part    int
	Asks    []Ask
	Returns []Return
}

// Ask asks for an amount of a pool.
type Ask struct {
	Pool   Pool
	Amount int
}

// Return gives back what was not used of the grant in the answer to an earlier request. The
// holder never uses it any more.
type Return struct {
	Pool   Pool
	Number int // of the request
	Amount int
}

// Reply is the answer to a Request.
type Reply struct {
	// Part is the largest part that the holder may keep.
	Part int
	// Grants are the amounts granted, in the order of the request's asks.
	Grants []int
}

// partShare is the fraction of the limit that is divided among the holders as parts. A
// holder must be able to retry at once and while it is cut off; the rest goes where the
// demand is.
const partShare = 0.5

// part returns the part of each of n holders. It is at least 1, because a smaller one could
// never be used.
func part(limit, n int) int { return max(1, int(partShare*float64(limit))/max(n, 1)) }

// fallback returns the part of each of n holders without grants.
func fallback(limit, n int) int { return max(1, limit/max(n, 1)) }
