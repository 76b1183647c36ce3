package node

import (
	"context"
	"errors"
	"sync"
)

// admissionWaiters holds the requests on the owner's side that wait for a grant or a
// permit. None of them has been written to the target.
type admissionWaiters struct {
	mu      sync.Mutex
	cancels map[*routedRequest]context.CancelCauseFunc
}

func newAdmissionWaiters() *admissionWaiters {
	return &admissionWaiters{cancels: make(map[*routedRequest]context.CancelCauseFunc)}
}

// add adds a request. It returns the context for its wait and a function that removes
// the request.
func (w *admissionWaiters) add(ctx context.Context, q *routedRequest) (context.Context, func()) {
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

// cancelRejected cancels the wait of each request for which rejectionReason returns a
// reason that is not empty. The request is then rejected with that reason. It returns the
// number of cancelled waits.
func (w *admissionWaiters) cancelRejected(rejectionReason func(q *routedRequest) reasonCode) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for q, cancel := range w.cancels {
		if reason := rejectionReason(q); reason != "" {
			cancel(lateRejectionError{reason: reason})
			delete(w.cancels, q)
			count++
		}
	}
	return count
}

// returnReason returns the reason for which cancelRejected cancelled the wait with this
// context, or an empty reason.
func returnReason(ctx context.Context) reasonCode {
	var rejection lateRejectionError
	if errors.As(context.Cause(ctx), &rejection) {
		return rejection.reason
	}
	return ""
}

// returnWaiting returns requests to the ingress node that wait for a grant or permit and
// would be rejected once they have it, because their partition is being moved or their
// target accepts no new work. A planned move then waits only for the requests that were
// sent to the target, and meanwhile the ingress nodes wait for the new owner.
func (n *node) returnWaiting(m *member) {
	count := m.waiters.cancelRejected(func(q *routedRequest) reasonCode { return n.checkOwnership(m, q) })
	n.metrics.returnedToIngress.Add(float64(count))
}

// returnWaitingOnTableChange calls returnWaiting at each change of the table until ctx
// ends. It has a goroutine of its own because syncOwnership may wait for the target.
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
