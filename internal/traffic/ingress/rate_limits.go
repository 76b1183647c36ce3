package ingress

import (
	"maps"
	"net/http"
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
)

// rateLimits remembers the limits that targets name in their responses. The sidecar beside a
// target keeps them, and learns them from here after it has started again.
type rateLimits struct {
	names hop.HeaderNames

	mu        sync.Mutex
	perSecond map[message.Incarnation]float64
}

func newRateLimits(names hop.HeaderNames) *rateLimits {
	return &rateLimits{names: names, perSecond: map[message.Incarnation]float64{}}
}

// record records what a response of a target states about its limit.
func (l *rateLimits) record(i message.Incarnation, h http.Header) {
	perSecond, ok := gate.StatedRateLimit(h, l.names)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if perSecond > 0 {
		l.perSecond[i] = perSecond
	} else {
		delete(l.perSecond, i)
	}
}

// limit returns the limit that a target named last; 0 if it names none.
func (l *rateLimits) limit(i message.Incarnation) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.perSecond[i]
}

// retain forgets all targets that are not known.
func (l *rateLimits) retain(known func(message.Incarnation) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.perSecond, func(i message.Incarnation, _ float64) bool { return !known(i) })
}
