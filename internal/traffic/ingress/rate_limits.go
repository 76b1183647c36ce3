package ingress

import (
	"net/http"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// rateLimits remembers the limits that targets name in their responses. The sidecar beside a
// target keeps them, and learns them from here after it has started again.
type rateLimits struct {
	names     hop.HeaderNames
	perSecond *statements[float64]
}

func newRateLimits(names hop.HeaderNames, clk clock.Clock) *rateLimits {
	return &rateLimits{names: names, perSecond: newStatements[float64](clk)}
}

// record records what a response of a target states about its limit.
func (l *rateLimits) record(i message.Incarnation, h http.Header) {
	switch perSecond, ok := gate.StatedRateLimit(h, l.names); {
	case !ok:
	case perSecond > 0:
		l.perSecond.set(i, perSecond)
	default:
		l.perSecond.remove(i)
	}
}

// limit returns the limit that a target named last; 0 if it names none.
func (l *rateLimits) limit(i message.Incarnation) float64 {
	perSecond, _ := l.perSecond.get(i)
	return perSecond
}
