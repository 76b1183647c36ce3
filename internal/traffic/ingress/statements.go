package ingress

import (
	"maps"
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// unlistedMemory is how long the statements of a target are kept that is no longer listed.
// The core removes targets that it cannot reach, and their later heartbeats register them
// again.
const unlistedMemory clock.Millis = 600_000

// statements holds what targets have stated about themselves in their responses.
type statements[V any] struct {
	clock clock.Clock

	mu       sync.Mutex
	byTarget map[message.Incarnation]statement[V]
}

type statement[V any] struct {
	value V
	// unlistedSince is when the target was first found not to be listed; 0 if it is listed.
	unlistedSince clock.Millis
}

func newStatements[V any](clk clock.Clock) *statements[V] {
	return &statements[V]{clock: clk, byTarget: map[message.Incarnation]statement[V]{}}
}

func (s *statements[V]) set(i message.Incarnation, value V) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byTarget[i] = statement[V]{value: value}
}

// setFirst sets the value of a target that has none.
func (s *statements[V]) setFirst(i message.Incarnation, value V) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.byTarget[i]; !ok {
		s.byTarget[i] = statement[V]{value: value}
	}
}

func (s *statements[V]) remove(i message.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byTarget, i)
}

func (s *statements[V]) get(i message.Incarnation) (value V, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.byTarget[i]
	return found.value, ok
}

func (s *statements[V]) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byTarget) == 0
}

// forgetUnlisted removes the statements of targets that have not been listed for
// unlistedMemory. It must be called when the list has changed.
func (s *statements[V]) forgetUnlisted(isListed func(message.Incarnation) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for i, x := range s.byTarget {
		switch {
		case isListed(i):
			x.unlistedSince = 0
		case x.unlistedSince == 0:
			x.unlistedSince = now
		}
		s.byTarget[i] = x
	}
	maps.DeleteFunc(s.byTarget, func(_ message.Incarnation, x statement[V]) bool {
		return x.unlistedSince > 0 && now-x.unlistedSince >= unlistedMemory
	})
}
