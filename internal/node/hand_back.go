package node

import (
	"context"
	"errors"
	"sync"
)

// waiters are the requests on the owner's side that wait for a grant or a
// permit. None of them has been written to the target.
type waiters struct {
	mu  sync.Mutex
	all map[*request]context.CancelCauseFunc
}

func newWaiters() *waiters {
	return &waiters{all: make(map[*request]context.CancelCauseFunc)}
}

// enter returns a context for the wait of a request, and the function that ends
// the wait.
func (w *waiters) enter(ctx context.Context, q *request) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all[q] = cancel
	return ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.all, q)
		cancel(nil)
	}
}

// handBack ends the waits of those requests for which refused returns a reason,
// and returns their number.
func (w *waiters) handBack(refused func(q *request) reason) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for q, cancel := range w.all {
		if why := refused(q); why != "" {
			cancel(errRefusedLate{why: why})
			delete(w.all, q)
			count++
		}
	}
	return count
}

// handedBack returns the reason for which a wait was ended by handBack.
func handedBack(ctx context.Context) reason {
	var late errRefusedLate
	if errors.As(context.Cause(ctx), &late) {
		return late.why
	}
	return ""
}

// handBack ends the waits of requests that would be refused at their turn,
// because their partition is to move or their target takes no new work. A planned
// move then waits only for the requests at the target, and the ingress nodes wait
// for the new owner meanwhile.
func (n *node) handBack(m *member) {
	count := m.waiters.handBack(func(q *request) reason { return n.owns(m, q) })
	n.metrics.handedBack.Add(float64(count))
}

// followTable hands requests back with each change of the table. It is a
// goroutine of its own because the one that keeps the grants waits for the target.
func (n *node) followTable(ctx context.Context, m *member) error {
	for {
		changed := n.routing.changed()
		n.handBack(m)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
