package ingress

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against callers who come back with a new id and are taken for new ones, and against new
// callers who are taken for one who came back because they ask for the same.
func TestReturningCallerIsKnown(t *testing.T) {
	const first, giveUp clock.Millis = 1000, 7000
	tests := map[string]struct {
		content string
		giveUp  clock.Millis
		want    bool
	}{
		"comes back":                    {"a", giveUp, true},
		"comes back over a slow link":   {"a", giveUp + 25, true},
		"asks for something else":       {"b", giveUp, false},
		"new caller asks for the same":  {"a", giveUp + 400, false},
		"gives up earlier than it said": {"a", giveUp - 400, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newReturns(clock.NewManual(first).Clock())
			s.record("a", failedAttempt{firstArrival: first, giveUp: giveUp})
			got, ok := s.take(tt.content, tt.giveUp)
			qt.Assert(t, ok, qt.Equals, tt.want)
			if !ok {
				return
			}
			qt.Check(t, got.firstArrival, qt.Equals, first)
			_, again := s.take(tt.content, tt.giveUp)
			qt.Check(t, again, qt.IsFalse, qt.Commentf("one failed attempt stands for one caller"))
		})
	}
}

// Guards against memory that grows with the failed requests.
func TestReturnsAreBounded(t *testing.T) {
	s := newReturns(clock.NewManual(1000).Clock())
	for i := range 3 * maxReturns {
		s.record(fmt.Sprint(i%100), failedAttempt{firstArrival: 1000, giveUp: clock.Millis(i)})
	}
	total := 0
	for _, attempts := range s.byContent {
		total += len(attempts)
	}
	qt.Check(t, total <= maxReturns, qt.IsTrue, qt.Commentf("%d", total))
	qt.Check(t, len(s.order) <= maxReturns, qt.IsTrue, qt.Commentf("%d", len(s.order)))
}
