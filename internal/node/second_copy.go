package node

import (
	"context"
	"errors"
	"net/http"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// secondCopyDelay is the time without a response after which a repeatable request is
// sent to its target a second time. Usual service times are a few milliseconds, and a
// key is to be served again within 2 s.
const secondCopyDelay clock.Millis = 1000

// secondCopyPollInterval is the interval at which the conditions for a second copy are
// checked again. It is below probeInterval (150 ms).
const secondCopyPollInterval clock.Millis = 100

// cancelledRequestGrace is how long after its deadline a cancelled request is still
// assumed to run. The target counts the time to the deadline from when it received the
// request, and needs some time to close the connection.
const cancelledRequestGrace clock.Millis = 500

// copyResult is the result of sending one copy of a request to the target.
type copyResult struct {
	sentAt   clock.Millis
	response *http.Response
	err      error
}

// sendToTarget sends the request to the target and returns the response. A connection to
// the target can be dead while new ones work. The node can't distinguish that from a slow
// target, because the target responds to probes in both cases. Therefore a second copy of
// a repeatable request is sent over a new connection without cancelling the first one,
// and the first response is used. The retry budget limits the additional load on a slow
// target.
func (t *targetRequest) sendToTarget(ctx context.Context) (*http.Response, error) {
	// A request that must run at most once gets a new connection: a server may close
	// an idle one at any time, and the outcome would be unknown.
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
			// The other open connections may be dead for the same reason.
			t.member.requestPool.CloseIdle(string(t.member.target.Address))
		}
		c = t.chooseCopy(c, first, cancelFirst)
	}
	return t.useCopy(c)
}

// awaitFirstCopy waits for the result of the first copy. It returns false if a second
// copy is to be sent: after secondCopyDelay, if the target has responded to a probe
// recently and the retry budget allows it.
func (t *targetRequest) awaitFirstCopy(ctx context.Context, first <-chan copyResult) (copyResult, bool) {
	for timeout := secondCopyDelay; ; timeout = secondCopyPollInterval {
		if c, ok := awaitCopy(ctx, first, timeout); ok {
			return c, true
		}
		if ctx.Err() != nil {
			return <-first, true
		}
		// A probe that was running when the connections died fails as well. The
		// condition then holds only after a later probe.
		if t.member.probes.respondedRecently(t.node.clock.Now()) && t.node.retryBudget.Withdraw() {
			return copyResult{}, false
		}
	}
}

// awaitCopy waits for the result of a copy and returns false after the timeout.
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

// chooseCopy returns the result of the copy that ended first, or that of the other one if
// the first failed. It cancels the copy that is not used.
func (t *targetRequest) chooseCopy(c copyResult, other <-chan copyResult, cancel context.CancelFunc) copyResult {
	if c.err != nil {
		otherCopy := <-other
		if otherCopy.err == nil || exchange.ProgressOf(c.err) == exchange.NotSent {
			return otherCopy
		}
		return c // this copy may have run, so the outcome is unknown
	}
	cancel()
	t.node.background.Go(func() {
		if otherCopy := <-other; otherCopy.err == nil {
			_ = otherCopy.response.Body.Close()
		}
	})
	return c
}

// useCopy returns the response of a copy and stores when it was sent.
func (t *targetRequest) useCopy(c copyResult) (*http.Response, error) {
	t.sentAt = c.sentAt
	return c.response, c.err
}

// startCopy sends one copy in the background. The returned function cancels it, and so
// does the end of ctx.
//
// Even after it was cancelled, a copy is in flight for its partition until its connection
// shows that the target has stopped working on it: no other target may work on the key
// before that, and some targets neither check grants nor stop at once. A target that
// supports cancellation closes the connection when it has stopped. If it doesn't, or if
// the connection is dead, the copy is in flight until the request's deadline, which the
// target received with the request, as if it had not been cancelled. A planned move waits
// that long only if the owner is draining, and is cancelled otherwise.
func (t *targetRequest) startCopy(ctx context.Context, newConnection bool, beforeWrite func() error) (<-chan copyResult, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	out := make(chan copyResult, 1)
	id := t.q.inFlightID
	t.member.inFlight.retain(id)
	ended := func() { t.member.inFlight.remove(id) }
	go func() {
		c := copyResult{sentAt: t.node.clock.Now()}
		c.response, c.err = t.copy(ctx, newConnection, beforeWrite, ended)
		out <- c
	}()
	return out, cancel
}

func (t *targetRequest) copy(ctx context.Context, newConnection bool, beforeWrite func() error, ended func()) (*http.Response, error) {
	address := string(t.member.target.Address)
	request, err := t.q.newOutgoing(address, t.node.clock.Now())
	if err != nil {
		ended()
		return nil, lateRejectionError{reason: reasonBadRequest}
	}
	return t.member.requestPool.Do(ctx, exchange.Request{
		Address: address, HTTP: request, RequestID: t.q.id, BeforeWrite: beforeWrite, NewConnection: newConnection,
		OnEnded: ended, EndDeadline: t.q.deadline + cancelledRequestGrace,
	})
}

// checkSecondCopyBeforeWrite is checkBeforeWrite for a second copy. It may be sent even
// while its partition is being moved: the move waits for the first copy, which would take
// until the deadline without the second one.
func (t *targetRequest) checkSecondCopyBeforeWrite() error {
	err := t.checkBeforeWrite()
	var rejection lateRejectionError
	if errors.As(err, &rejection) && rejection.reason == reasonMoving {
		return nil
	}
	return err
}
