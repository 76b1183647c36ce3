package gate

import (
	"net/http"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// rateLimitMemory is how long a rate limit counts as the speed of the target without a
// response that names it. A target that is believed to be slow gets no keys, and so would
// never say that it is not.
const rateLimitMemory clock.Millis = 10_000

// rateLimit is the limit that a target names for the requests from all hosts together.
type rateLimit struct {
	// perSecond is 0 if there is no limit.
	perSecond float64
	// namedAt is when a response named the limit last.
	namedAt clock.Millis
	// known is true once a response to this process has stated whether there is a limit.
	known bool
}

// minRateLimit stands for a limit of 0, which would mean no limit.
const minRateLimit = 0.001

// StatedRateLimit returns the limit that a response of a target states. ok is false if it
// states nothing about a limit: it has no signature, or a value that is no number of requests.
func StatedRateLimit(h http.Header, names hop.HeaderNames) (perSecond float64, ok bool) {
	text := h.Get(names.RateLimit)
	if text == "" {
		return 0, h.Get(names.Signature) != ""
	}
	if perSecond, ok = hop.ParseRateLimit(text); !ok {
		return 0, false
	}
	return max(perSecond, minRateLimit), true
}

// observeRateLimit applies what a response states about the limit.
func (g *Gate) observeRateLimit(incarnation message.Incarnation, h http.Header, begin clock.Millis) {
	if perSecond, ok := StatedRateLimit(h, g.options.Names); ok {
		g.changeRateLimit(incarnation, func(now clock.Millis) { g.rateLimit.update(perSecond, begin, now) })
	}
}

// adoptRateLimit applies the limit that is known on a caller's host, until a response states
// it: this process may have started again beside a target that named its limit before.
func (g *Gate) adoptRateLimit(perSecond float64) {
	if perSecond <= 0 {
		return
	}
	target, _ := g.Target()
	g.changeRateLimit(target.Incarnation, func(now clock.Millis) {
		if !g.rateLimit.known && g.rateLimit.perSecond == 0 {
			g.rateLimit = rateLimit{perSecond: perSecond, namedAt: now - 1}
		}
	})
}

// changeRateLimit changes the limit of an incarnation. The change is made with g.mu held.
func (g *Gate) changeRateLimit(incarnation message.Incarnation, change func(now clock.Millis)) {
	g.mu.Lock()
	if g.target.Incarnation != incarnation {
		g.mu.Unlock()
		return
	}
	before := g.rateLimit.perSecond
	change(g.options.Clock.Now())
	now := g.rateLimit.perSecond
	if now != before {
		g.queue.SetRate(now)
	}
	g.mu.Unlock()
	if now != before && g.options.OnRateLimit != nil {
		g.options.OnRateLimit(incarnation, before, now)
	}
}

// update records what a response to a request that began at the given time states. A
// response without a limit ends the limit only if its request began after the limit was named
// last: responses may overtake each other.
func (l *rateLimit) update(perSecond float64, begin, now clock.Millis) {
	l.known = true
	switch {
	case perSecond > 0:
		l.perSecond, l.namedAt = perSecond, now
	case begin > l.namedAt:
		l.perSecond = 0
	}
}

// RateLimit returns the requests a second that the target takes; 0 if it names no limit.
func (g *Gate) RateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rateLimit.perSecond
}

// limitSpeed lowers the reported speed of a target to the limit that it names, so that
// callers' hosts and the core send it less.
func (l rateLimit) limitSpeed(load hop.Load, now clock.Millis) hop.Load {
	if l.perSecond > 0 && now-l.namedAt < rateLimitMemory {
		load.ServiceMillis = max(load.ServiceMillis, clock.Millis(float64(load.Slots)*1000/l.perSecond))
	}
	return load
}
