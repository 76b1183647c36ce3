// Package delivery decides which calls deliver leases of key ranges to one target.
//
// The core leases ranges to the sidecar beside the target. The sidecar passes them on by
// grant calls and takes them back by release calls. A call may get no response and be
// carried out seconds later, after newer calls. Its lease counts from the arrival of the
// call, so it still ends on time, but until then the target may own the keys again,
// whatever was released in between. Ledger keeps the calls without a response, and reports
// a range as released only once no such call can still be in force:
//
//   - A grant is written within sendLimit of its decision or not at all, and its connection
//     is reset after CallTimeout. So its arrival is bounded.
//   - The duration of a grant is chosen so that it ends, on a clock that runs 2 % slow,
//     before the lease of the sidecar does. The core only has to wait for that lease, even
//     if the sidecar and all knowledge of its calls are lost.
//   - A range is released only when all of its unanswered grants have ended. It is served
//     until then, because waiting after the release would leave its keys unserved.
//   - A sidecar that has just started counts every range as granted by an unanswered call
//     of its predecessor.
//
// A Ledger is not safe for concurrent use and does no I/O.
//
// # Usage
//
//	l := delivery.NewLedger(now + leaseDuration)
//	l.SetLease(reply.Ranges, sentAt+leaseDuration)
//	for _, c := range l.Next(now, busy) {
//		... // carry out the call, then
//		l.Done(c.ID, delivery.Outcome{Kind: delivery.Applied}, now)
//	}
//	grants, released := l.Served(now), l.Released()
package delivery

import (
	"slices"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// LeaseDuration is the longest lease that the core gives a sidecar for the keys of its
// target. Keys of a target that fell silent, and of one with an unanswered grant, cannot be
// moved for that long. Shorter leases would end during an election of the core's leader.
const LeaseDuration clock.Millis = 1800

const (
	// CallTimeout is the time after the decision of a grant at which it counts as
	// unanswered and its connection is reset. Targets respond to a grant at once.
	CallTimeout clock.Millis = 200
	// sendLimit is the time after its decision within which a call must be written.
	sendLimit clock.Millis = 100
	// clockSlownessPercent is the largest lag of a target's clock, in percent of the elapsed
	// time.
	clockSlownessPercent = 2
	// roundingMargin covers the rounding of clocks and late timers.
	roundingMargin clock.Millis = 20
	// serveMargin is the part of a granted lease during which no request is begun.
	serveMargin clock.Millis = 30
	// minGain is the time by which a renewal must extend a lease to be worth a call.
	minGain clock.Millis = 250
	// urgentRemainder is the remaining time of a lease below which a renewal without a
	// response is repeated at once, and not with the next lease of the sidecar.
	urgentRemainder clock.Millis = 500
	// minGrant is the shortest lease that is worth a call.
	minGrant clock.Millis = 150
	// releaseRetryInterval is the pause before a release without a response is repeated,
	// counted from when the target has ended its work on the keys, as far as is known.
	releaseRetryInterval clock.Millis = 100
	// failurePause is the pause after a grant that was not applied.
	failurePause clock.Millis = 50
)

// lastKey is the highest key.
const lastKey message.Key = 65535

// CallKind is the kind of a call to the target.
type CallKind int

const (
	// Grant grants a range, or renews its lease.
	Grant CallKind = iota
	// Release takes a range back.
	Release
)

// Call is a call to be made to the target.
type Call struct {
	ID           int
	Kind         CallKind
	From, To     message.Key
	FencingToken message.FencingToken
	// HandoverToken and HoldMillis are set for grants.
	HandoverToken message.HandoverToken
	HoldMillis    clock.Millis
	// SendBy is the latest time at which the call may be written.
	SendBy clock.Millis
	// EndBy is the time at which the connection of the call must be reset if there is no
	// response.
	EndBy clock.Millis
	// Renewal is true if the target owned all keys of a grant before.
	Renewal bool
	// WaitedOut is, for a release, how long it was put off for unanswered grants.
	WaitedOut clock.Millis
}

// OutcomeKind is what is known about a call that has ended.
type OutcomeKind int

const (
	// Applied: the target responded that it has carried out the call.
	Applied OutcomeKind = iota
	// NotApplied: the call was not written, or the target responded that it did nothing.
	NotApplied
	// Refused: the target has seen a higher fencing token.
	Refused
	// Unanswered: the call may have been carried out, or may be later.
	Unanswered
)

// Outcome is the outcome of a call.
type Outcome struct {
	Kind OutcomeKind
	// WrittenAt is when a grant was written. The lease of the target ends no earlier than
	// its duration after that.
	WrittenAt clock.Millis
	// HandoverToken is the response to a release.
	HandoverToken message.HandoverToken
}

// ServedRange is a range for which the target may begin requests.
type ServedRange struct {
	From, To message.Key
	Until    clock.Millis
}

// segment is a range that the target owns, as far as is known.
type segment struct {
	from, to message.Key
	token    message.FencingToken
	// serveUntil is when the lease ends at the earliest, lapseAt when it ends at the latest.
	serveUntil, lapseAt clock.Millis
	// released is true from the first release call on. No request is begun any more.
	released bool
	// move is the move that the release belongs to; 0 if the core no longer lists the range.
	move message.Version
	// releaseCalls are the unanswered release calls; lastRelease is when the last one was made.
	releaseCalls []int
	lastRelease  clock.Millis
}

// call is a grant that may still take effect, or a release in flight.
type call struct {
	Call
	inFlight bool
	// until is when the lease of a grant ends at the latest, if it was or will be carried out.
	until clock.Millis
}

// sentGrant is a grant that was decided on, for MisdirectedUntil.
type sentGrant struct{ at, until clock.Millis }

// Ledger holds what is known about the ranges of one incarnation of a target.
type Ledger struct {
	leaseEnd clock.Millis
	desired  []message.LeasedRange
	segments []segment // in the order of keys
	calls    []*call
	sent     []sentGrant
	released []message.LeasedRange
	refused  []message.LeasedRange
	// retryAt is, by first key of a range, when a failed grant may be repeated.
	retryAt map[message.Key]clock.Millis
	// waitingSince is, by move and first key, when a release was first put off.
	waitingSince map[release]clock.Millis
	lastID       int
}

// release identifies a range that is to be released.
type release struct {
	move message.Version
	from message.Key
}

// NewLedger returns a ledger for a target whose earlier grants, by a process that is gone,
// end at the given time at the latest.
func NewLedger(earlierGrantsUntil clock.Millis) *Ledger {
	return &Ledger{
		calls:   []*call{{Call: Call{From: 0, To: lastKey}, until: earlierGrantsUntil}},
		retryAt: map[message.Key]clock.Millis{}, waitingSince: map[release]clock.Millis{},
	}
}

// SetLease records a reply of the core: all ranges that the target is to own, and when the
// lease of them ends.
func (l *Ledger) SetLease(ranges []message.LeasedRange, leaseEnd clock.Millis) {
	l.desired, l.leaseEnd = ranges, max(l.leaseEnd, leaseEnd)
	l.released = slices.DeleteFunc(l.released, func(r message.LeasedRange) bool {
		return !slices.ContainsFunc(ranges, func(d message.LeasedRange) bool {
			return d.Move == r.Move && d.From <= r.To && r.From <= d.To
		})
	})
	l.refused = slices.DeleteFunc(l.refused, func(r message.LeasedRange) bool { return !l.wants(r) })
	for i := range l.segments {
		s := &l.segments[i]
		if s.released && slices.ContainsFunc(ranges, func(d message.LeasedRange) bool { return d.Move == 0 && d.From <= s.from && s.to <= d.To }) {
			// The move was cancelled. The keys are granted again before they are served.
			s.released, s.releaseCalls, s.serveUntil = false, nil, 0
		}
	}
}

// wants reports whether a range with this token is to be granted.
func (l *Ledger) wants(r message.LeasedRange) bool {
	return slices.ContainsFunc(l.desired, func(d message.LeasedRange) bool {
		return d.From == r.From && d.To == r.To && d.FencingToken == r.FencingToken
	})
}

// Released returns the ranges that the target has released, until the core has moved them.
func (l *Ledger) Released() []message.LeasedRange { return slices.Clone(l.released) }

// Refused returns the ranges that the target refused, until the core has raised their token.
func (l *Ledger) Refused() []message.LeasedRange { return slices.Clone(l.refused) }

// Served returns the ranges for which the target may begin requests.
func (l *Ledger) Served(now clock.Millis) []ServedRange {
	var out []ServedRange
	for _, s := range l.segments {
		if !s.released && s.serveUntil-serveMargin > now {
			out = append(out, ServedRange{s.from, s.to, s.serveUntil - serveMargin})
		}
	}
	return out
}

// Unanswered returns the number of grants without a response that may still take effect.
func (l *Ledger) Unanswered(now clock.Millis) int {
	n := 0
	for _, c := range l.calls {
		if c.Kind == Grant && !c.inFlight && c.until > now {
			n++
		}
	}
	return n
}

// MisdirectedUntil returns when the leases of all grants that may have arrived since the
// given time have ended. A later incarnation at the same address may have got them.
func (l *Ledger) MisdirectedUntil(since clock.Millis) clock.Millis {
	end := clock.Millis(0)
	for _, g := range l.sent {
		if g.at+CallTimeout >= since {
			end = max(end, g.until)
		}
	}
	return end
}

// AnnounceFrom returns when the core may learn of a new incarnation of a target. The core
// then gives the keys of the previous one to others, and the new one may have got grants
// that were meant for it. The ledger is that of the previous incarnation, last heard of at
// the given time, or nil if the sidecar has just started. Its predecessor may then have
// made such calls, if the core still lists the previous incarnation.
func AnnounceFrom(previous *Ledger, heardAt, sidecarStarted clock.Millis, otherListed bool) clock.Millis {
	if previous != nil {
		return previous.MisdirectedUntil(heardAt)
	}
	if otherListed {
		return sidecarStarted + LeaseDuration
	}
	return 0
}

// Doubt records that the target stated that it does not own a key. The range of the key is
// granted again.
func (l *Ledger) Doubt(key message.Key) {
	for i := range l.segments {
		if s := &l.segments[i]; s.from <= key && key <= s.to {
			s.serveUntil = 0
		}
	}
}

// Next returns the calls to be made now. The function busy reports whether the target still
// works on requests for keys of a range, as far as is known.
func (l *Ledger) Next(now clock.Millis, busy func(from, to message.Key) bool) []Call {
	l.prune(now)
	var out []Call
	for _, d := range l.desired {
		if d.Move != 0 {
			out = append(out, l.release(d, now, busy)...)
		} else if c, ok := l.grant(d, l.leaseEnd, now); ok {
			out = append(out, c)
		}
	}
	return append(out, l.releaseUnlisted(now, busy)...)
}

// prune removes what has ended. Keys whose lease has lapsed during their release are
// released, without a token for the next owner.
func (l *Ledger) prune(now clock.Millis) {
	l.calls = slices.DeleteFunc(l.calls, func(c *call) bool { return !c.inFlight && c.until <= now })
	l.sent = slices.DeleteFunc(l.sent, func(g sentGrant) bool { return g.until <= now })
	l.segments = slices.DeleteFunc(l.segments, func(s segment) bool {
		if s.lapseAt > now {
			return false
		}
		if s.released {
			l.recordRelease(s, "")
		}
		return true
	})
}

func (l *Ledger) recordRelease(s segment, token message.HandoverToken) {
	if s.move != 0 {
		l.released = append(l.released, message.LeasedRange{From: s.from, To: s.to, FencingToken: s.token, HandoverToken: token, Move: s.move})
	}
}

// horizon returns when all unanswered grants of keys in a range have ended.
func (l *Ledger) horizon(from, to message.Key) clock.Millis {
	end := clock.Millis(0)
	for _, c := range l.calls {
		if c.Kind == Grant && c.From <= to && from <= c.To {
			end = max(end, c.until)
		}
	}
	return end
}

func (l *Ledger) grantInFlight(from, to message.Key) bool {
	return slices.ContainsFunc(l.calls, func(c *call) bool {
		return c.Kind == Grant && c.inFlight && c.From <= to && from <= c.To
	})
}

// servedUntil returns the time until which all keys of a range are granted with a token; 0
// if some are not. A zero token stands for any.
func (l *Ledger) servedUntil(from, to message.Key, token message.FencingToken) clock.Millis {
	next, end := from, l.leaseEnd
	for _, s := range l.segments {
		if s.to < next || s.from > to {
			continue
		}
		if s.from > next || s.released || token != 0 && s.token != token {
			return 0
		}
		end = min(end, s.serveUntil)
		next = s.to + 1
	}
	if next <= to {
		return 0
	}
	return end
}

// grant returns a grant of a range that ends by the given time, if it is worth a call.
func (l *Ledger) grant(d message.LeasedRange, endBy, now clock.Millis) (Call, bool) {
	hold := (endBy - now - CallTimeout - roundingMargin) * (100 - clockSlownessPercent) / 100
	servedUntil := l.servedUntil(d.From, d.To, d.FencingToken)
	if hold < minGrant || now+hold < servedUntil+minGain || l.grantInFlight(d.From, d.To) || l.retryAt[d.From] > now || slices.Contains(l.refused, d) {
		return Call{}, false
	}
	if l.isUnanswered(d, now) && servedUntil-now > urgentRemainder {
		return Call{}, false
	}
	c := l.add(Call{Kind: Grant, From: d.From, To: d.To, FencingToken: d.FencingToken, HandoverToken: d.HandoverToken, HoldMillis: hold, SendBy: now + sendLimit, EndBy: now + CallTimeout, Renewal: servedUntil > now})
	c.until = now + CallTimeout + hold + hold*clockSlownessPercent/100 + roundingMargin
	l.sent = append(l.sent, sentGrant{now, c.until})
	return c.Call, true
}

// isUnanswered reports whether the lease of the last grant of a range that got no response
// would end about as late as that of a new one.
func (l *Ledger) isUnanswered(d message.LeasedRange, now clock.Millis) bool {
	return slices.ContainsFunc(l.calls, func(c *call) bool {
		return c.Kind == Grant && c.ID != 0 && c.From == d.From && c.To == d.To && c.until+minGain > l.leaseEnd && c.until > now
	})
}

func (l *Ledger) add(c Call) *call {
	l.lastID++
	c.ID = l.lastID
	out := &call{Call: c, inFlight: true}
	l.calls = append(l.calls, out)
	return out
}

// release returns the calls that release a range for a move. While unanswered grants may
// take effect, the range stays granted for as long as they may last.
func (l *Ledger) release(d message.LeasedRange, now clock.Millis, busy func(from, to message.Key) bool) []Call {
	if len(l.unreleased(d, d.From, d.To+1)) == 0 {
		return nil
	}
	id := release{d.Move, d.From}
	if end := l.horizon(d.From, d.To); end > now {
		if _, known := l.waitingSince[id]; !known {
			l.waitingSince[id] = now
		}
		// A range that this process has not granted may have been released by its predecessor,
		// whose report may still be on its way to the core.
		if l.servedUntil(d.From, d.To, 0) > now {
			if c, ok := l.grant(d, min(end, l.leaseEnd), now); ok {
				return []Call{c}
			}
		}
		return nil
	}
	waitedOut := clock.Millis(0)
	if since, waited := l.waitingSince[id]; waited {
		waitedOut = now - since
		delete(l.waitingSince, id)
	}
	l.cut(d.From)
	l.cut(d.To + 1)
	next := d.From
	var out []Call
	for i := range l.segments {
		s := &l.segments[i]
		if s.to < d.From || s.from > d.To {
			continue
		}
		l.recordGap(d, next, s.from)
		next = s.to + 1
		s.released, s.move = true, d.Move
		if c, ok := l.releaseCall(s, now, busy); ok {
			c.WaitedOut = waitedOut
			out = append(out, c)
		}
	}
	l.recordGap(d, next, d.To+1)
	return out
}

// recordGap records keys that the target does not own as released.
func (l *Ledger) recordGap(d message.LeasedRange, from, end message.Key) {
	l.released = append(l.released, l.unreleased(d, from, end)...)
}

// unreleased returns the parts of a range, from a key up to before another, that are not
// recorded as released for its move.
func (l *Ledger) unreleased(d message.LeasedRange, from, end message.Key) []message.LeasedRange {
	var out []message.LeasedRange
	for from < end {
		covered, gapEnd := false, end
		for _, r := range l.released {
			switch {
			case r.Move != d.Move:
			case r.From <= from && from <= r.To:
				covered, from = true, r.To+1
			case r.From > from:
				gapEnd = min(gapEnd, r.From)
			}
		}
		if !covered {
			out = append(out, message.LeasedRange{From: from, To: gapEnd - 1, FencingToken: d.FencingToken, Move: d.Move})
			from = gapEnd
		}
	}
	return out
}

// releaseCall returns a release of a segment, unless one is in flight that may still get a
// response. A target responds when its work on the keys has ended.
func (l *Ledger) releaseCall(s *segment, now clock.Millis, busy func(from, to message.Key) bool) (Call, bool) {
	if len(s.releaseCalls) > 0 && (now-s.lastRelease < releaseRetryInterval || busy(s.from, s.to)) {
		return Call{}, false
	}
	c := l.add(Call{Kind: Release, From: s.from, To: s.to, FencingToken: s.token, SendBy: now + sendLimit, EndBy: s.lapseAt})
	s.releaseCalls, s.lastRelease = append(s.releaseCalls, c.ID), now
	return c.Call, true
}

// releaseUnlisted returns the calls that release keys that the core no longer lists.
func (l *Ledger) releaseUnlisted(now clock.Millis, busy func(from, to message.Key) bool) []Call {
	for _, d := range l.desired {
		l.cut(d.From)
		l.cut(d.To + 1)
	}
	var out []Call
	for i := range l.segments {
		s := &l.segments[i]
		if slices.ContainsFunc(l.desired, func(d message.LeasedRange) bool { return d.From <= s.from && s.to <= d.To }) {
			continue
		}
		s.released, s.move = true, 0
		if c, ok := l.releaseCall(s, now, busy); ok {
			out = append(out, c)
		}
	}
	return out
}

// cut splits the segment that contains a key and the key before it.
func (l *Ledger) cut(key message.Key) {
	for i, s := range l.segments {
		if s.from < key && key <= s.to {
			before, after := s, s
			before.to, after.from = key-1, key
			// A release of the whole segment covers both parts.
			after.releaseCalls = slices.Clone(s.releaseCalls)
			l.segments = slices.Replace(l.segments, i, i+1, before, after)
			return
		}
	}
}

// Done records the end of a call.
func (l *Ledger) Done(id int, o Outcome, now clock.Millis) {
	i := slices.IndexFunc(l.calls, func(c *call) bool { return c.ID == id && c.inFlight })
	if i < 0 {
		return
	}
	c := l.calls[i]
	if c.Kind == Grant && o.Kind == Unanswered {
		c.inFlight = false
		return
	}
	l.calls = slices.Delete(l.calls, i, i+1)
	switch {
	case c.Kind == Release:
		l.releaseDone(c, o)
	case o.Kind == Applied:
		l.granted(c, o)
	case o.Kind == Refused:
		if r := (message.LeasedRange{From: c.From, To: c.To, FencingToken: c.FencingToken, HandoverToken: c.HandoverToken}); l.wants(r) {
			l.refused = append(l.refused, r)
		}
	default:
		l.retryAt[c.From] = now + failurePause
	}
}

// granted records a grant that the target has applied.
func (l *Ledger) granted(c *call, o Outcome) {
	delete(l.retryAt, c.From)
	l.cut(c.From)
	l.cut(c.To + 1)
	granted := segment{from: c.From, to: c.To, token: c.FencingToken, serveUntil: o.WrittenAt + c.HoldMillis, lapseAt: c.until}
	l.segments = slices.DeleteFunc(l.segments, func(s segment) bool {
		inside := c.From <= s.from && s.to <= c.To
		if inside {
			granted.lapseAt = max(granted.lapseAt, s.lapseAt)
		}
		return inside
	})
	at, _ := slices.BinarySearchFunc(l.segments, c.From, func(s segment, k message.Key) int { return int(s.from - k) })
	l.segments = slices.Insert(l.segments, at, granted)
}

// releaseDone records the end of a release call.
func (l *Ledger) releaseDone(c *call, o Outcome) {
	l.segments = slices.DeleteFunc(l.segments, func(s segment) bool {
		mine := slices.Contains(s.releaseCalls, c.ID)
		if mine && o.Kind == Applied {
			l.recordRelease(s, o.HandoverToken)
		}
		return mine && o.Kind == Applied
	})
	if o.Kind != Applied && o.Kind != Unanswered {
		for i := range l.segments {
			s := &l.segments[i]
			s.releaseCalls = slices.DeleteFunc(s.releaseCalls, func(id int) bool { return id == c.ID })
		}
	}
	if o.Kind == Applied {
		// A release that was cancelled meanwhile: the target no longer owns the keys.
		for i := range l.segments {
			if s := &l.segments[i]; !s.released && s.from <= c.To && c.From <= s.to {
				s.serveUntil = 0
			}
		}
	}
}

// Settled reports whether there is nothing to do before the next reply of the core.
func (l *Ledger) Settled(now clock.Millis) bool {
	for _, d := range l.desired {
		if d.Move != 0 || l.servedUntil(d.From, d.To, d.FencingToken)-now < urgentRemainder {
			return false
		}
	}
	return true
}
