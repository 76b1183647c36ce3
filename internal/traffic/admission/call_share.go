package admission

import (
	"math"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// maxCallShare bounds the share of the slots' time that calls get while new requests wait.
	// The rest keeps new requests from starving, and lets two services that call each other
	// finish what they run: each always starts some of what the other waits for.
	maxCallShare = 0.75
	// maxCallAdvance bounds how much work, in milliseconds a slot, calls or new requests may be
	// behind their share and still catch up.
	maxCallAdvance = 200.0
	// maxReservedShare bounds the slots that are kept free for calls, but one of several is kept
	// if calls ask for that much. Calls go first, so a few free slots suffice for them to begin
	// at once.
	maxReservedShare = 0.125
	// callUsageHalfLife is the half-life of the work of calls that counts as recent.
	callUsageHalfLife clock.Millis = 1000
	// reservedCheckInterval is the time after which a free slot that is kept for calls is looked
	// at again. No event marks the end of that: the work of calls just decays.
	reservedCheckInterval clock.Millis = 50
)

// callShare divides the time of a target's slots between calls and new requests.
type callShare struct {
	// advance is how much work, in milliseconds of slot time, calls are ahead of their share.
	advance float64
	// recent is the work of the calls that arrived, in milliseconds of slot time, decayed as of
	// updated.
	recent  float64
	updated clock.Millis
	// running is the number of calls that have a slot.
	running int
}

// goFirst reports whether a waiting call goes before a waiting new request.
func (s *callShare) goFirst() bool { return s.advance <= 0 }

// recordContended records that a call or a new request got a slot while the other kind waited.
func (s *callShare) recordContended(call bool, duration float64, slots int) {
	if call {
		s.advance += duration * (1 - maxCallShare)
	} else {
		s.advance -= duration * maxCallShare
	}
	limit := maxCallAdvance * float64(max(slots, 1))
	s.advance = max(-limit, min(s.advance, limit))
}

// recordDemand records the expected duration of a call that arrives.
func (s *callShare) recordDemand(duration float64, now clock.Millis) {
	s.decay(now)
	s.recent += duration
}

func (s *callShare) begin(t *Ticket) {
	if t.Call {
		s.running++
	}
}

func (s *callShare) end(t *Ticket) {
	if t.Call {
		s.running--
	}
}

func (s *callShare) decay(now clock.Millis) {
	s.recent *= math.Exp2(-float64(now-s.updated) / float64(callUsageHalfLife))
	s.updated = now
}

// reserved returns how many free slots are kept for calls. Services whose runs wait for calls
// to each other could otherwise fill all their slots with runs that wait.
func (s *callShare) reserved(slots int, now clock.Millis) int {
	asked := int(s.usage(slots, now)*float64(slots) + 0.5)
	most := min(max(int(maxReservedShare*float64(slots)), 1), slots-1)
	return max(min(asked, most)-s.running, 0)
}

// usage returns the share of the slots' time that calls have lately asked for, at most
// maxCallShare.
func (s *callShare) usage(slots int, now clock.Millis) float64 {
	s.decay(now)
	perMilli := s.recent * math.Ln2 / float64(callUsageHalfLife)
	return min(perMilli/float64(max(slots, 1)), maxCallShare)
}
