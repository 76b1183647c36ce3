package policies

import (
	"container/heap"
	"context"

	"github.com/gentiansail/gentiansail/internal/bench/measure"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// millis is model time.
type millis = measure.Millis

// events is a queue that runs functions in order of their model time. Functions with
// the same time run in the order in which they were added.
type events struct {
	now   millis
	count int
	queue eventQueue
}

type event struct {
	at       millis
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(v any)   { *q = append(*q, v.(event)) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	v := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return v
}

// scheduleAt schedules run at time t, or now if t has passed.
func (e *events) scheduleAt(t millis, run func()) {
	e.count++
	heap.Push(&e.queue, event{at: max(t, e.now), sequence: e.count, run: run})
}

// scheduleAfter schedules run at d from now.
func (e *events) scheduleAfter(d millis, run func()) { e.scheduleAt(e.now+d, run) }

// run executes events until the queue is empty.
func (e *events) run() {
	for len(e.queue) > 0 {
		v := heap.Pop(&e.queue).(event)
		e.now = v.at
		v.run()
	}
}

// clock returns a clock that reads model time. Components of a model run must not sleep.
func (e *events) clock() clock.Clock {
	return clock.Clock{
		Now:   func() clock.Millis { return clock.Millis(e.now) },
		Wall:  func() clock.UnixMillis { return clock.UnixMillis(e.now) },
		Sleep: func(context.Context, clock.Millis) error { return context.Canceled },
	}
}
