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

// turn is one request's time at the target.
type turn struct {
	node   *node
	member *member
	q      *request
	mark   wire.InFlight
	permit *limit.Permit
	alone  bool
	ticket uint64
	sent   clock.Millis
	leave  context.CancelFunc
	once   sync.Once
}

// forward hands a request to the target, at most once.
func (n *node) forward(ctx context.Context, m *member, q *request) *reply {
	t := &turn{node: n, member: m, q: q, mark: wire.InFlight{Fingerprint: q.fingerprint(), Path: q.path, Route: q.route.Name}}
	if p := t.wait(ctx); p != nil {
		return p
	}
	ctx = t.enterScopes(ctx)
	t.ticket = m.inFlight.toTarget(t.mark, q.partition)
	response, err := t.exchange(ctx)
	if err != nil {
		return t.failed(ctx, err)
	}
	return t.reply(response)
}

// wait waits for a grant and a permit. It returns a refusal when there is none,
// or when the request would be refused before it is written: it is then handed
// back at once, in place of holding up a planned move until its turn.
func (t *turn) wait(ctx context.Context) *reply {
	ctx, leave := t.member.waiters.enter(ctx, t.q)
	defer leave()
	// The table may have changed just before handBack could find the request.
	if why := t.node.owns(t.member, t.q); why != "" {
		return unavailable(why)
	}
	p := t.awaitPermit(ctx)
	if why := handedBack(ctx); p != nil && why != "" {
		return unavailable(why)
	}
	return p
}

func (t *turn) awaitPermit(ctx context.Context) *reply {
	if t.member.target.ChecksGrants && !t.node.awaitGrant(ctx, t.member, t.q) {
		return unavailable(reasonGrant)
	}
	return t.admit(ctx)
}

func (n *node) awaitGrant(ctx context.Context, m *member, q *request) bool {
	timed, cancel := context.WithTimeout(ctx, grantWait.Duration())
	defer cancel()
	return m.grants.wait(timed, q.partition, q.epoch)
}

// admit waits for a permit. A suspect runs alone; a quarantined request does
// not run.
func (t *turn) admit(ctx context.Context) *reply {
	for {
		if !t.member.alive() {
			return unavailable(reasonNotOwner)
		}
		suspect, known := t.node.routing.snapshot().Suspect(t.mark.Fingerprint)
		if known && suspect.Quarantined {
			return refuse(http.StatusUnprocessableEntity, reasonQuarantined)
		}
		var err error
		t.alone = known
		if known {
			t.permit, err = t.member.limiter.AcquireAlone(ctx, t.q.deadline)
		} else {
			t.permit, err = t.member.limiter.Acquire(ctx, classOf(t.q.route.Class), t.q.deadline)
		}
		if err != nil && !t.member.alive() {
			return unavailable(reasonNotOwner)
		}
		if err != nil {
			return limited(err)
		}
		if t.stillAsAdmitted() {
			return nil
		}
		t.permit.Done(limit.Result{Failed: true})
	}
}

// stillAsAdmitted reports whether the request did not become a suspect, or was
// cleared, while it waited.
func (t *turn) stillAsAdmitted() bool {
	suspect, known := t.node.routing.snapshot().Suspect(t.mark.Fingerprint)
	return known == t.alone && !suspect.Quarantined
}

// errRefusedLate carries the reason of a refusal out of an exchange.
type errRefusedLate struct{ why reason }

// Error implements error.
func (e errRefusedLate) Error() string { return string(e.why) }

// recheck is the last look at lease, epoch and suspects before the request is
// written. The request counts as being at the target already, so that a target
// that dies from here on makes it a suspect.
func (t *turn) recheck() error {
	why := t.node.underLease(t.member, func() reason {
		if !t.stillAsAdmitted() {
			return reasonNotOwner
		}
		return t.node.owns(t.member, t.q)
	})
	if why != "" {
		return errRefusedLate{why: why}
	}
	return nil
}

func limited(err error) *reply {
	switch {
	case errors.Is(err, limit.ErrFull):
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

// enterScopes ties the request to the target's life and, for a keyed service,
// to the lease.
func (t *turn) enterScopes(ctx context.Context) context.Context {
	ctx, leaveLife := t.member.life.enter(ctx)
	if t.q.partition == "" {
		t.leave = leaveLife
		return ctx
	}
	ctx, leaveTerm := t.member.term.enter(ctx)
	t.leave = func() {
		leaveTerm()
		leaveLife()
	}
	return ctx
}

// end gives back what the turn holds.
func (t *turn) end(r limit.Result) {
	t.once.Do(func() {
		t.observeLatency(r)
		if t.ticket != 0 {
			t.member.inFlight.fromTarget(t.ticket)
		}
		t.permit.Done(r)
		t.leave()
	})
}

// failed translates an exchange without a response.
func (t *turn) failed(ctx context.Context, err error) *reply {
	n := t.node
	var late errRefusedLate
	if errors.As(err, &late) {
		t.end(limit.Result{Failed: true})
		if late.why == reasonBadRequest {
			return refuse(http.StatusBadRequest, late.why)
		}
		return unavailable(late.why)
	}
	n.metrics.exchangeErrors.WithLabelValues("target").Inc()
	if exchange.ProgressOf(err) == exchange.NotSent {
		t.member.probes.now()
		t.end(limit.Result{Failed: true})
		return unavailable(reasonTargetFailed)
	}
	expired := n.clock.Now() >= t.q.deadline || errors.Is(ctx.Err(), context.DeadlineExceeded)
	t.member.awaitTarget(n.alive, t.q.deadline)
	t.end(limit.Result{Failed: true})
	if expired {
		return unknown(http.StatusGatewayTimeout, reasonNoResponse)
	}
	return unknown(http.StatusBadGateway, reasonNoResponse)
}

// reply passes on the target's response.
func (t *turn) reply(response *http.Response) *reply {
	switch response.Header.Get(header.Refused) {
	case header.RefusedGrant:
		t.member.grants.rouse()
		return t.refusedByTarget(response, reasonGrant, http.StatusConflict)
	case header.RefusedOverload:
		return t.refusedByTarget(response, reasonOverload, http.StatusServiceUnavailable)
	}
	if t.lapsed() {
		_ = response.Body.Close()
		t.end(limit.Result{Failed: true})
		return unknown(http.StatusBadGateway, reasonNoResponse)
	}
	p := &reply{
		status: response.StatusCode, header: endToEnd(response.Header), outcome: wire.OutcomeComplete,
		length: lengthOf(response), trailer: func() http.Header { return response.Trailer },
	}
	if response.StatusCode >= http.StatusInternalServerError {
		p.outcome = wire.OutcomeFailed
	}
	p.header.Set(header.InFlight, strconv.Itoa(t.member.limiter.InFlight()))
	p.header.Set(header.Limit, strconv.Itoa(t.member.limiter.Limit()))
	p.body = &turnBody{source: response.Body, turn: t}
	return p
}

// lapsed reports whether the lease has ended since the request was written. The
// target may then have run it after another one became the owner: its bytes can
// be late, and this process can have been paused, so that nothing has cancelled
// the request yet.
func (t *turn) lapsed() bool {
	return t.q.partition != "" && t.member.lease.Remaining() == 0
}

// refusedByTarget handles a refusal, which counts only with the status that the
// target protocol gives it.
func (t *turn) refusedByTarget(response *http.Response, why reason, status int) *reply {
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProtocolBytes))
	_ = response.Body.Close()
	shed := why == reasonOverload
	t.end(limit.Result{Latency: t.node.clock.Now() - t.sent, Shed: shed, Failed: err != nil || !shed})
	if response.StatusCode != status {
		return unknown(http.StatusBadGateway, reasonNoResponse)
	}
	return unavailable(why)
}

// lengthOf returns the length to announce, -1 for a chunked response.
func lengthOf(response *http.Response) int64 {
	if len(response.TransferEncoding) > 0 {
		return -1
	}
	return response.ContentLength
}

// turnBody ends the turn with the response.
type turnBody struct {
	source io.ReadCloser
	turn   *turn
}

// Read implements io.Reader. After a cut, the error is returned only when the
// target's fate is known.
func (b *turnBody) Read(p []byte) (int, error) {
	c, err := b.source.Read(p)
	t := b.turn
	switch {
	case err == io.EOF:
		t.end(limit.Result{Latency: t.node.clock.Now() - t.sent})
		if t.alone {
			t.node.clearSuspect(t.member, t.mark.Fingerprint)
		}
	case err != nil:
		t.node.metrics.exchangeErrors.WithLabelValues("target").Inc()
		t.member.awaitTarget(t.node.alive, t.q.deadline)
		t.end(limit.Result{Failed: true})
	}
	return c, err
}

// Close implements io.Closer. Before the end of the response it cancels the
// request; the target may die of it even then.
func (b *turnBody) Close() error {
	_ = b.source.Close()
	b.turn.once.Do(func() {
		t := b.turn
		t.observeLatency(limit.Result{Failed: true})
		t.leave()
		t.node.background.Go(func() {
			t.member.awaitTarget(t.node.alive, t.q.deadline)
			t.member.inFlight.fromTarget(t.ticket)
			t.permit.Done(limit.Result{Failed: true})
		})
	})
	return nil
}

// clearSuspect reports that a suspect ran alone to its end.
func (n *node) clearSuspect(m *member, f wire.Fingerprint) {
	n.background.Go(func() {
		request := wire.ClearSuspectRequest{Group: n.settings.Group, Fingerprint: f, Incarnation: m.incarnation}
		_, err := callControl[wire.Ack](n.alive, n.control, wire.MethodSuspectClear, request, attemptTimeout)
		if err != nil {
			n.log.Warn().Err(err).Str("Fingerprint", string(f)).Msg("suspect not cleared")
		}
	})
}
