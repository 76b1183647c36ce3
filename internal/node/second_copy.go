package node

import (
	"context"
	"errors"
	"net/http"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/copies"
)

// secondCopyDelay is the time without a response after which a repeatable request is
// sent to its target a second time. Usual service times are a few milliseconds, and a
// key is to be served again within 2 s. The delay is constant because the second copy goes to
// the same target: it helps only if the connection is dead, and not if the target is slow.
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
	if !t.q.route.Repeatable || !t.q.body.buffered() || t.exclusive {
		return t.useCopy(t.startCopy(ctx, !t.q.route.Repeatable, t.checkBeforeWrite)())
	}
	c, outcome := copies.Race[copyResult]{
		Delay:        secondCopyDelay,
		Decide:       t.mayStartSecondCopy,
		Start:        t.startRacingCopy,
		Wins:         func(c copyResult) bool { return c.err == nil },
		PrefersLater: prefersLaterCopy,
		Discard:      copyResult.discard,
		Background:   func(f func()) { t.node.background.Go(f) },
	}.Run(ctx)
	if outcome == copies.SecondWon {
		// The other open connections may be dead for the same reason.
		t.member.requestPool.CloseIdle(string(t.member.target.Address))
	}
	return t.useCopy(c)
}

// mayStartSecondCopy reports whether a second copy is to be sent: if the target has responded
// to a probe recently and the retry budget allows it.
func (t *targetRequest) mayStartSecondCopy() (send bool, pause clock.Millis) {
	// A probe that was running when the connections died fails as well. The condition then
	// holds only after a later probe.
	send = t.member.probes.respondedRecently(t.node.clock.Now()) && t.node.retryBudget.Withdraw()
	return send, secondCopyPollInterval
}

// startRacingCopy prepares the first or the second copy. The second one needs a new
// connection.
func (t *targetRequest) startRacingCopy(ctx context.Context, second bool) func() copyResult {
	if !second {
		return t.startCopy(ctx, false, t.checkBeforeWrite)
	}
	t.node.metrics.retries.Inc()
	return t.startCopy(ctx, true, t.checkSecondCopyBeforeWrite)
}

// prefersLaterCopy chooses between two copies without a response. A copy that may have run
// is preferred, because the outcome is then unknown.
func prefersLaterCopy(earlier, _ copyResult) bool {
	return exchange.ProgressOf(earlier.err) == exchange.NotSent
}

// discard closes the response of a copy that is not used.
func (c copyResult) discard() {
	if c.err == nil {
		_ = c.response.Body.Close()
	}
}

// useCopy returns the response of a copy and stores when it was sent.
func (t *targetRequest) useCopy(c copyResult) (*http.Response, error) {
	t.sentAt = c.sentAt
	return c.response, c.err
}

// startCopy prepares one copy and returns the function that sends it. The end of ctx cancels
// it.
//
// Even after it was cancelled, a copy is in flight for its partition until its connection
// shows that the target has stopped working on it: no other target may work on the key
// before that, and some targets neither check grants nor stop at once. A target that
// supports cancellation closes the connection when it has stopped. If it doesn't, or if
// the connection is dead, the copy is in flight until the request's deadline, which the
// target received with the request, as if it had not been cancelled. A planned move waits
// that long only if the owner is draining, and is cancelled otherwise.
func (t *targetRequest) startCopy(ctx context.Context, newConnection bool, beforeWrite func() error) func() copyResult {
	id := t.q.inFlightID
	t.member.inFlight.retain(id)
	ended := func() { t.member.inFlight.remove(id) }
	return func() copyResult {
		c := copyResult{sentAt: t.node.clock.Now()}
		c.response, c.err = t.copy(ctx, newConnection, beforeWrite, ended)
		return c
	}
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
