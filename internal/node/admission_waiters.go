package node

import (
	"context"
	"errors"
	"sync"
)

// waiters are the requests on the owner's side that wait for a grant or a
// permit. None of them has been written to the target.
type admissionWaiters struct {
	mu      sync.Mutex
	cancels map[*request]context.CancelCauseFunc
}

func newWaiters() *admissionWaiters {
	return &admissionWaiters{cancels: make(map[*request]context.CancelCauseFunc)}
}

// enter returns a context for the wait of a request, and the function that ends
// the wait.
func (w *admissionWaiters) add(ctx context.Context, q *request) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[q] = cancel
	return ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.cancels, q)
		cancel(nil)
	}
}

// handBack ends the waits of those requests for which refused returns a reason,
// and returns their number.
func (w *admissionWaiters) returnRejected(check func(q *request) reasonCode) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for q, cancel := range w.cancels {
		if reason := check(q); reason != "" {
			cancel(lateRejectionError{reason: reason})
			delete(w.cancels, q)
			count++
		}
	}
	return count
}

// handedBack returns the reason for which a wait was ended by handBack.
func returnReason(ctx context.Context) reasonCode {
	var rejection lateRejectionError
	if errors.As(context.Cause(ctx), &rejection) {
		return rejection.reason
	}
	return ""
}

// handBack ends the waits of requests that would be refused at their turn,
// because their partition is to move or their target takes no new work. A planned
// move then waits only for the requests at the target, and the ingress nodes wait
// for the new owner meanwhile.
func (n *node) returnWaiting(m *member) {
	count := m.waiters.returnRejected(func(q *request) reasonCode { return n.checkOwnership(m, q) })
	n.metrics.returnedToIngress.Add(float64(count))
}

// followTable hands requests back with each change of the table. It is a
// goroutine of its own because the one that keeps the grants waits for the target.
func (n *node) returnWaitingOnTableChange(ctx context.Context, m *member) error {
	for {
		changed := n.routing.changed()
		n.returnWaiting(m)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
