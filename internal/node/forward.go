package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

// targetRequest is the forwarding of one request to the node's target.
type targetRequest struct {
	node   *node
	member *member
	q      *routedRequest
	// suspectInfo is reported to the control group if the target crashes.
	suspectInfo wire.InFlight
	permit      *limit.Permit
	// exclusive is set for a suspect, which runs alone.
	exclusive bool
	// sentID identifies the request among those sent to the target, 0 before.
	sentID      uint64
	sentAt      clock.Millis
	leaveScopes context.CancelFunc
	finishOnce  sync.Once
}

// forward waits for admission, sends the request to the target and returns the reply.
func (n *node) forward(ctx context.Context, m *member, q *routedRequest) *nodeReply {
	t := &targetRequest{node: n, member: m, q: q, suspectInfo: wire.InFlight{Fingerprint: q.fingerprint(), Path: q.path, Route: q.route.Name}}
	if reply := t.awaitAdmission(ctx); reply != nil {
		return reply
	}
	ctx = t.enterScopes(ctx)
	t.sentID = m.inFlight.sentToTarget(t.suspectInfo, q.partition)
	response, err := t.sendToTarget(ctx)
	if err != nil {
		return t.failedReply(ctx, err)
	}
	return t.newReply(response)
}

// awaitAdmission waits for a grant and a permit. It returns a rejection if there is
// none, or as soon as the request would be rejected before the write anyway. In the
// latter case the request is returned to the ingress node without waiting for a
// permit, so that it does not delay a planned move.
func (t *targetRequest) awaitAdmission(ctx context.Context) *nodeReply {
	ctx, remove := t.member.waiters.add(ctx, t.q)
	defer remove()
	// The table may have changed before the request was added to the waiters, so that
	// returnWaiting has missed it.
	if reason := t.node.checkOwnership(t.member, t.q); reason != "" {
		return unavailable(reason)
	}
	reply := t.awaitGrantAndPermit(ctx)
	if reason := returnReason(ctx); reply != nil && reason != "" {
		return unavailable(reason)
	}
	return reply
}

func (t *targetRequest) awaitGrantAndPermit(ctx context.Context) *nodeReply {
	if t.member.target.ChecksGrants && !t.node.awaitGrant(ctx, t.member, t.q) {
		return unavailable(reasonGrant)
	}
	return t.acquirePermit(ctx)
}

func (n *node) awaitGrant(ctx context.Context, m *member, q *routedRequest) bool {
	timed, cancel := context.WithTimeout(ctx, grantWaitTimeout.Duration())
	defer cancel()
	return m.grants.awaitConfirmed(timed, q.partition, q.fencingToken)
}

// acquirePermit waits for a permit of the limiter. A request that is suspected of
// crashing targets runs alone, and a quarantined one is rejected.
func (t *targetRequest) acquirePermit(ctx context.Context) *nodeReply {
	for {
		if !t.member.alive() {
			return unavailable(reasonNotOwner)
		}
		suspect, known := t.node.routing.snapshot().Suspect(t.suspectInfo.Fingerprint)
		if known && suspect.Quarantined {
			return reject(http.StatusUnprocessableEntity, reasonQuarantined)
		}
		var err error
		t.exclusive = known
		if known {
			t.permit, err = t.member.limiter.AcquireExclusive(ctx, t.q.deadline)
		} else {
			t.permit, err = t.member.limiter.Acquire(ctx, classOf(t.q.route.Class), t.q.deadline)
		}
		if err != nil && !t.member.alive() {
			return unavailable(reasonNotOwner)
		}
		if err != nil {
			return limiterRejection(err)
		}
		if t.suspectUnchanged() {
			return nil
		}
		t.permit.Done(limit.Result{Failed: true})
	}
}

// suspectUnchanged reports whether the request is still a suspect, or still none, as when
// it requested the permit, and is not quarantined.
func (t *targetRequest) suspectUnchanged() bool {
	suspect, known := t.node.routing.snapshot().Suspect(t.suspectInfo.Fingerprint)
	return known == t.exclusive && !suspect.Quarantined
}

// lateRejectionError is the error of a request that is rejected while it waits for
// admission or just before it is written.
type lateRejectionError struct{ reason reasonCode }

// Error implements error.
func (e lateRejectionError) Error() string { return string(e.reason) }

// checkBeforeWrite is the last check of lease, fencing token and suspects before the
// request is written. The request has been recorded as sent to the target by then, so
// that it becomes a suspect if the target crashes from here on.
func (t *targetRequest) checkBeforeWrite() error {
	reason := t.node.checkUnderLease(t.member, func() reasonCode {
		if !t.suspectUnchanged() {
			return reasonNotOwner
		}
		return t.node.checkOwnership(t.member, t.q)
	})
	if reason != "" {
		return lateRejectionError{reason: reason}
	}
	return nil
}

func limiterRejection(err error) *nodeReply {
	switch {
	case errors.Is(err, limit.ErrQueueFull):
		return unavailable(reasonQueueFull)
	default:
		return unavailable(reasonDeadline)
	}
}

func classOf(c wire.RouteClass) limit.Class {
	switch c {
	case wire.RouteClassCritical:
		return limit.Critical
	case wire.RouteClassBrowse:
		return limit.Browse
	}
	return limit.Normal
}

// enterScopes returns a context that is cancelled when the target's incarnation crashes
// and, for a keyed service, when the lease expires.
func (t *targetRequest) enterScopes(ctx context.Context) context.Context {
	ctx, leaveIncarnation := t.member.incarnationScope.enter(ctx)
	if t.q.partition == "" {
		t.leaveScopes = leaveIncarnation
		return ctx
	}
	ctx, leaveLease := t.member.leaseScope.enter(ctx)
	t.leaveScopes = func() {
		leaveLease()
		leaveIncarnation()
	}
	return ctx
}

// finish releases the permit and records the latency. Only the first call counts.
func (t *targetRequest) finish(r limit.Result) {
	t.finishOnce.Do(func() {
		t.observeLatency(r)
		if t.sentID != 0 {
			t.member.inFlight.targetFinished(t.sentID)
		}
		t.permit.Done(r)
		t.leaveScopes()
	})
}

// failedReply returns the reply to a request that got no response from the target.
func (t *targetRequest) failedReply(ctx context.Context, err error) *nodeReply {
	n := t.node
	var rejection lateRejectionError
	if errors.As(err, &rejection) {
		t.finish(limit.Result{Failed: true})
		if rejection.reason == reasonBadRequest {
			return reject(http.StatusBadRequest, rejection.reason)
		}
		return unavailable(rejection.reason)
	}
	n.metrics.exchangeErrors.WithLabelValues("target").Inc()
	if exchange.ProgressOf(err) == exchange.NotSent {
		t.member.probes.request()
		t.finish(limit.Result{Failed: true})
		return unavailable(reasonTargetFailed)
	}
	expired := n.clock.Now() >= t.q.deadline || errors.Is(ctx.Err(), context.DeadlineExceeded)
	t.member.awaitTargetState(n.processCtx, t.q.deadline)
	t.finish(limit.Result{Failed: true})
	if expired {
		return unknownOutcome(http.StatusGatewayTimeout, reasonNoResponse)
	}
	return unknownOutcome(http.StatusBadGateway, reasonNoResponse)
}

// newReply returns the reply for the target's response.
func (t *targetRequest) newReply(response *http.Response) *nodeReply {
	switch response.Header.Get(header.Rejected) {
	case header.RejectedGrant:
		t.member.grants.wakeUp()
		return t.rejectedByTarget(response, reasonGrant, http.StatusConflict)
	case header.RejectedOverload:
		return t.rejectedByTarget(response, reasonOverload, http.StatusServiceUnavailable)
	}
	if t.leaseExpired() {
		_ = response.Body.Close()
		t.finish(limit.Result{Failed: true})
		return unknownOutcome(http.StatusBadGateway, reasonNoResponse)
	}
	reply := &nodeReply{
		status: response.StatusCode, header: endToEnd(response.Header), outcome: wire.OutcomeComplete,
		length: contentLength(response), trailer: func() http.Header { return response.Trailer },
	}
	if response.StatusCode >= http.StatusInternalServerError {
		reply.outcome = wire.OutcomeFailed
	}
	reply.header.Set(header.InFlight, strconv.Itoa(t.member.limiter.InFlight()))
	reply.header.Set(header.Limit, strconv.Itoa(t.member.limiter.Limit()))
	reply.body = &targetBody{source: response.Body, request: t}
	return reply
}

// leaseExpired reports whether the lease of a keyed request has expired. The target
// may then have run the request after another target became the owner, because the
// request may have reached it late. The expiry of the lease cancels requests, but if
// this process was paused, it may not have cancelled this one yet.
func (t *targetRequest) leaseExpired() bool {
	return t.q.partition != "" && t.member.lease.Remaining() == 0
}

// rejectedByTarget returns the reply for a rejection by the target. The outcome is
// unknown if the status is not the one that the target protocol defines.
func (t *targetRequest) rejectedByTarget(response *http.Response, reason reasonCode, status int) *nodeReply {
	// Closes the connection, on which a faulty target may write the rejection once more.
	_ = response.Body.Close()
	shed := reason == reasonOverload
	t.finish(limit.Result{Latency: t.node.clock.Now() - t.sentAt, Shed: shed, Failed: !shed})
	if response.StatusCode != status {
		return unknownOutcome(http.StatusBadGateway, reasonNoResponse)
	}
	return unavailable(reason)
}

// contentLength returns the length of a response body, -1 if it is chunked or unknown.
func contentLength(response *http.Response) int64 {
	if len(response.TransferEncoding) > 0 {
		return -1
	}
	return response.ContentLength
}

// targetBody is the body of a target's response. Its end finishes the request.
type targetBody struct {
	source  io.ReadCloser
	request *targetRequest
}

// Read implements io.Reader. If the response is truncated, it returns the error only
// after a probe has shown whether the target still runs.
func (b *targetBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	t := b.request
	switch {
	case err == io.EOF:
		t.finish(limit.Result{Latency: t.node.clock.Now() - t.sentAt})
		if t.exclusive {
			t.node.clearSuspect(t.member, t.suspectInfo.Fingerprint)
		}
	case err != nil:
		t.node.metrics.exchangeErrors.WithLabelValues("target").Inc()
		t.member.awaitTargetState(t.node.processCtx, t.q.deadline)
		t.finish(limit.Result{Failed: true})
	}
	return n, err
}

// Close implements io.Closer. Before the end of the response it cancels the request.
// The request stays recorded as sent until a probe succeeds, because it may still crash
// the target.
func (b *targetBody) Close() error {
	_ = b.source.Close()
	b.request.finishOnce.Do(func() {
		t := b.request
		t.observeLatency(limit.Result{Failed: true})
		t.leaveScopes()
		t.node.background.Go(func() {
			t.member.awaitTargetState(t.node.processCtx, t.q.deadline)
			t.member.inFlight.targetFinished(t.sentID)
			t.permit.Done(limit.Result{Failed: true})
		})
	})
	return nil
}

// clearSuspect reports to the control group that a suspect ran alone without crashing
// the target.
func (n *node) clearSuspect(m *member, f wire.Fingerprint) {
	n.background.Go(func() {
		request := wire.ClearSuspectRequest{Group: n.settings.Group, Fingerprint: f, Incarnation: m.incarnation}
		_, err := callControl[wire.Ack](n.processCtx, n.control, wire.MethodSuspectClear, request, controlAttemptTimeout)
		if err != nil {
			n.log.Warn().Err(err).Str("Fingerprint", string(f)).Msg("suspect not cleared")
		}
	})
}
