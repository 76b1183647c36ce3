package ingress

import (
	"math"
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// maxSplitRoutes bounds the routes whose sequences are kept, over all configurations.
const maxSplitRoutes = 10_000

// goldenRatio is the fractional part of the golden ratio. Its multiples, modulo 1, are spread
// evenly over [0, 1) after any number of steps.
const goldenRatio = math.Phi - 1

// splitDraws draws the services of routes whose traffic is split. The share of each service
// follows its weight closely even over few requests, and does not depend on which of the
// services have room: a request that its service rejects counts for that service, and none is
// moved to another one.
type splitDraws struct {
	random func() float64

	mu sync.Mutex
	// last holds the number in [0, 1) that was last used for each route.
	last map[string]float64
}

func newSplitDraws(random func() float64) *splitDraws {
	return &splitDraws{random: random, last: map[string]float64{}}
}

// draw returns the service of the next request of a route.
func (s *splitDraws) draw(r *message.Route) message.ServiceName {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, known := s.last[r.Name]
	if !known {
		// Hosts that start together must not send their first requests to the same service.
		last = s.random()
		if len(s.last) >= maxSplitRoutes {
			clear(s.last)
		}
	}
	_, next := math.Modf(last + goldenRatio)
	s.last[r.Name] = next
	return chooseService(r, next)
}

// hasPart reports whether a route sends a part of its requests to a service.
func hasPart(r *message.Route, service message.ServiceName) bool {
	for _, s := range r.Splits {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// chooseService chooses one of the services of a route by weight. The argument random is
// a random number in [0, 1).
func chooseService(r *message.Route, random float64) message.ServiceName {
	sum := 0.0
	for _, s := range r.Splits {
		sum += s.Weight
	}
	random *= sum
	for _, s := range r.Splits {
		if random -= s.Weight; random < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	// Rounding has left random at 0 or above.
	for _, s := range r.Splits {
		if s.Weight > 0 {
			return s.Service
		}
	}
	return ""
}
