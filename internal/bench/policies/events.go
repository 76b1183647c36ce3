package policies

import (
	"container/heap"
	"context"

	"github.com/gentiansail/gentiansail/internal/bench/measure"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// millis is model time.
type millis = measure.Millis

// events runs functions in the order of their time; those of the same time in
// the order in which they were added.
type events struct {
	now   millis
	count int
	queue eventQueue
}

type event struct {
	at     millis
	number int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(v any)   { *q = append(*q, v.(event)) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	v := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return v
}

func (e *events) at(t millis, run func()) {
	e.count++
	heap.Push(&e.queue, event{at: max(t, e.now), number: e.count, run: run})
}

func (e *events) after(d millis, run func()) { e.at(e.now+d, run) }

// run executes all events.
func (e *events) run() {
	for len(e.queue) > 0 {
		v := heap.Pop(&e.queue).(event)
		e.now = v.at
		v.run()
	}
}

// clock lets components read model time. Nothing in a model run sleeps.
func (e *events) clock() clock.Clock {
	return clock.Clock{
		Now:   func() clock.Millis { return clock.Millis(e.now) },
		Wall:  func() clock.UnixMillis { return clock.UnixMillis(e.now) },
		Sleep: func(context.Context, clock.Millis) error { return context.Canceled },
	}
}
