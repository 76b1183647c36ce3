package gate

import (
	"math"
	"net/http"
	"strconv"

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
}

// parseRateLimit returns the limit that a response names. ok is false if it names none; a
// value that is no number of requests is no limit.
func parseRateLimit(h http.Header, name string) (perSecond float64, ok bool) {
	text := h.Get(name)
	if text == "" {
		return 0, false
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	return perSecond, err == nil && perSecond >= 0 && perSecond <= math.MaxFloat32
}

// observeRateLimit applies the limit that a response names. A response without one ends the
// limit, if it has the signature of the target and its request began after the limit was
// named last: responses may overtake each other.
func (g *Gate) observeRateLimit(incarnation message.Incarnation, h http.Header, begin clock.Millis) {
	before, now := g.updateRateLimit(incarnation, h, begin)
	if now != before && g.options.OnRateLimit != nil {
		g.options.OnRateLimit(incarnation, before, now)
	}
}

// updateRateLimit returns the requests a second before and after a response.
func (g *Gate) updateRateLimit(incarnation message.Incarnation, h http.Header, begin clock.Millis) (before, now float64) {
	perSecond, named := parseRateLimit(h, g.options.Names.RateLimit)
	g.mu.Lock()
	defer g.mu.Unlock()
	before = g.rateLimit.perSecond
	switch {
	case g.target.Incarnation != incarnation:
		return before, before
	case named:
		// A limit of 0 must not end the limit.
		g.rateLimit = rateLimit{perSecond: max(perSecond, 0.001), namedAt: g.options.Clock.Now()}
	case h.Get(g.options.Names.RateLimit) == "" && h.Get(g.options.Names.Signature) != "" && begin > g.rateLimit.namedAt:
		g.rateLimit = rateLimit{}
	}
	now = g.rateLimit.perSecond
	if now != before {
		g.queue.SetRate(now)
	}
	return before, now
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
