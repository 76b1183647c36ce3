package ingress

import (
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// deadlineTolerance is how far the deadlines of two attempts of a caller may differ: callers
	// state the time that is left, and messages take a while.
	deadlineTolerance clock.Millis = 30
	// maxReturns bounds the callers that are remembered.
	maxReturns = 8192
)

// returns remembers the callers whose requests failed, so that they are known when they come
// back with another id: by the content of the request and the time at which they give up, which
// stays the same. A caller that is known has the latency objective of its first attempt. This
// puts a request that has missed its objective behind those that can still meet theirs, so a
// caller gains nothing by passing for another one that failed.
type returns struct {
	clock clock.Clock

	mu        sync.Mutex
	byContent map[string][]failedAttempt
	// order holds the fingerprints in the order in which they were recorded.
	order []string
}

// failedAttempt is the last attempt of a caller.
type failedAttempt struct {
	// firstArrival is when the first attempt arrived.
	firstArrival clock.Millis
	// giveUp is when the caller gives up.
	giveUp clock.Millis
	// service is the service that the attempt was sent to. If the traffic of the route is split,
	// the caller gets the same one again, or rejections would shift requests to the others.
	service message.ServiceName
}

func newReturns(clk clock.Clock) *returns {
	return &returns{clock: clk, byContent: map[string][]failedAttempt{}}
}

// record remembers a request that failed.
func (s *returns) record(fingerprint string, a failedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.order) >= maxReturns {
		s.removeOldest()
	}
	s.order = append(s.order, fingerprint)
	s.byContent[fingerprint] = append(s.byContent[fingerprint], a)
}

// removeOldest removes the attempt that was recorded first. The caller must hold s.mu.
func (s *returns) removeOldest() {
	oldest := s.order[0]
	s.order = s.order[1:]
	if attempts := s.byContent[oldest]; len(attempts) > 1 {
		s.byContent[oldest] = attempts[1:]
	} else {
		delete(s.byContent, oldest)
	}
}

// take returns the last attempt of a caller, if the caller is known, and forgets the caller.
func (s *returns) take(fingerprint string, giveUp clock.Millis) (last failedAttempt, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := s.byContent[fingerprint]
	for i, a := range attempts {
		if difference := a.giveUp - giveUp; difference >= -deadlineTolerance && difference <= deadlineTolerance {
			// The entry in order stays and removes another attempt of the same content later.
			attempts[i].giveUp = 0
			return a, true
		}
	}
	return failedAttempt{}, false
}
