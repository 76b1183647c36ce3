package node

import (
	"context"
	"errors"
	"net/http"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// secondCopyAfter is the time without a response after which a repeatable
// request is sent to its target once more. A service time of a few milliseconds
// is usual, and a key is to be served again within 2 s.
const secondCopyDelay clock.Millis = 1000

// secondCopyPause is the time until the condition for a second copy is looked at
// again. Probes are 150 ms apart.
const secondCopyPollInterval clock.Millis = 100

// cancelGrace is added to the deadline of a cancelled request. A target counts
// the deadline from when it received the request, and closes a little later.
const cancelledRequestGrace clock.Millis = 500

// copied is one copy of a request at the target.
type copyResult struct {
	sent     clock.Millis
	response *http.Response
	err      error
}

// exchange sends the request to the target and returns the response. A target's
// connection can go silent for good while new ones work, and a slow target looks
// the same from here: probes of both are answered. Therefore the first copy of a
// repeatable request is left to finish while a second one goes over a new
// connection, and the first response counts. The retry budget bounds what that
// adds to the load of a slow target.
func (t *targetRequest) sendToTarget(ctx context.Context) (*http.Response, error) {
	// A server may close an idle connection at any time, which would make the
	// outcome of a request that must not repeat unknown.
	first, cancelFirst := t.startCopy(ctx, !t.q.route.Repeatable, t.checkBeforeWrite)
	if !t.q.route.Repeatable || !t.q.body.buffered() || t.exclusive {
		return t.useCopy(<-first)
	}
	if c, ok := t.awaitFirstCopy(ctx, first); ok {
		return t.useCopy(c)
	}
	t.node.metrics.retries.Inc()
	second, cancelSecond := t.startCopy(ctx, true, t.checkSecondCopyBeforeWrite)
	var c copyResult
	select {
	case c = <-first:
		c = t.chooseCopy(c, second, cancelSecond)
	case c = <-second:
		if c.err == nil {
			// The same loss of state may have hit every other open connection.
			t.member.requestPool.CloseIdle(string(t.member.target.Address))
		}
		c = t.chooseCopy(c, first, cancelFirst)
	}
	return t.useCopy(c)
}

// awaitFirst waits for the first copy until a second one is due: after
// secondCopyAfter, once the latest probe was answered and the budget allows it.
func (t *targetRequest) awaitFirstCopy(ctx context.Context, first <-chan copyResult) (copyResult, bool) {
	for timeout := secondCopyDelay; ; timeout = secondCopyPollInterval {
		if c, ok := awaitCopy(ctx, first, timeout); ok {
			return c, true
		}
		if ctx.Err() != nil {
			return <-first, true
		}
		// The probe that was under way when connections went silent fails too.
		if t.member.probes.respondedRecently(t.node.clock.Now()) && t.node.retryBudget.Withdraw() {
			return copyResult{}, false
		}
	}
}

// awaitCopy waits for a copy for a time.
func awaitCopy(ctx context.Context, result <-chan copyResult, timeout clock.Millis) (copyResult, bool) {
	timed, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	select {
	case c := <-result:
		return c, true
	case <-timed.Done():
		return copyResult{}, false
	}
}

// choose returns the copy that ended first, or the other one if that failed.
func (t *targetRequest) chooseCopy(c copyResult, other <-chan copyResult, cancel context.CancelFunc) copyResult {
	if c.err != nil {
		otherCopy := <-other
		if otherCopy.err == nil || exchange.ProgressOf(c.err) == exchange.NotSent {
			return otherCopy
		}
		return c // it may have run, whatever became of the other
	}
	cancel()
	t.node.background.Go(func() {
		if otherCopy := <-other; otherCopy.err == nil {
			_ = otherCopy.response.Body.Close()
		}
	})
	return c
}

func (t *targetRequest) useCopy(c copyResult) (*http.Response, error) {
	t.sentAt = c.sent
	return c.response, c.err
}

// send sends one copy. It ends with ctx or by the returned function.
//
// A copy counts as in flight for its partition until its connection shows that
// the target has ended it, also when it was cancelled: another target must not
// work on the key before that, and not every target checks grants or stops at
// once. A target that honours cancellation closes the connection when it has
// stopped. One that does not, or whose connection went silent, is waited for
// until the request's deadline, which it was told, like for a request that was
// not cancelled. A planned move waits that long only for a leaving owner, and is
// called off otherwise.
func (t *targetRequest) startCopy(ctx context.Context, newConnection bool, beforeWrite func() error) (<-chan copyResult, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	out := make(chan copyResult, 1)
	id := t.q.inFlightID
	t.member.inFlight.retain(id)
	ended := func() { t.member.inFlight.remove(id) }
	go func() {
		c := copyResult{sent: t.node.clock.Now()}
		c.response, c.err = t.copy(ctx, newConnection, beforeWrite, ended)
		out <- c
	}()
	return out, cancel
}

func (t *targetRequest) copy(ctx context.Context, newConnection bool, beforeWrite func() error, ended func()) (*http.Response, error) {
	address := string(t.member.target.Address)
	r, err := t.q.newOutgoing(address, t.node.clock.Now())
	if err != nil {
		ended()
		return nil, lateRejectionError{reason: reasonBadRequest}
	}
	return t.member.requestPool.Do(ctx, exchange.Request{
		Address: address, HTTP: r, RequestID: t.q.id, BeforeWrite: beforeWrite, Fresh: newConnection,
		Ended: ended, EndBy: t.q.deadline + cancelledRequestGrace,
	})
}

// recheckCopy is recheck for a second copy. It may still begin when its partition
// is moving: the move waits for the first copy, and without the second one that
// would last until the deadline.
func (t *targetRequest) checkSecondCopyBeforeWrite() error {
	err := t.checkBeforeWrite()
	var rejection lateRejectionError
	if errors.As(err, &rejection) && rejection.reason == reasonMoving {
		return nil
	}
	return err
}
