package admission

import (
	"slices"

	"github.com/gentiansail/gentiansail/internal/traffic/coldstart"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Cold returns the limiter of requests to a cold target. Each request that gets a slot is
// counted there at Ticket.Begun.
func (q *Queue) Cold() *coldstart.Limiter { return q.cold }

// Begun returns when the request got its slot.
func (t *Ticket) Begun() clock.Millis { return t.begun }

// Update assigns slots after a change of the limiter.
func (q *Queue) Update() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.assignSlots()
}

// turn returns the time until a request may begin behind the given number of others, by the
// pace that the target names and by what it takes while it is cold.
func (q *Queue) turn(now clock.Millis, before int) clock.Millis {
	return max(q.pace.wait(now, before), q.cold.Wait(now, before))
}

// rejectBeyondTurn rejects the tickets whose turn would come too late because the target has
// turned cold after they were queued.
func (q *Queue) rejectBeyondTurn(now clock.Millis) {
	if len(q.waiting) == 0 || !q.cold.Cold(now) {
		return
	}
	slices.SortStableFunc(q.waiting, func(a, b *Ticket) int {
		if q.preferred(a, b, now) {
			return -1
		}
		return 1
	})
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if now+q.turn(now, len(kept)) > t.latestStart {
			t.decide(Overloaded)
			continue
		}
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}
