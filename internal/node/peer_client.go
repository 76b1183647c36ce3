package node

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// peerIdleTimeout is the time without any byte after which a connection to another node
// is taken for dead. The owner's side sends an interim response at each
// interimResponseInterval. With 1.5 s, a key behind dead connections was not served for
// up to 1.85 s, and the limit after a loss is 2 s.
const peerIdleTimeout clock.Millis = 900

// forwardToPeer sends a request to the owning node and returns its reply.
func (n *node) forwardToPeer(ctx context.Context, q *routedRequest, owner wire.Member) *nodeReply {
	address := string(owner.Address)
	request, err := q.newOutgoing(address, n.clock.Now())
	if err != nil {
		return reject(http.StatusBadRequest, reasonBadRequest)
	}
	relayID := uuid.NewString()
	request.Header.Set(header.Service, string(q.route.Service))
	request.Header.Set(header.Route, string(q.route.Name))
	request.Header.Set(header.Member, string(q.incarnation))
	request.Header.Set(header.Attempt, strconv.Itoa(q.attempt))
	request.Header.Set(relayHeader, relayID)
	check := &relayCheck{node: n, address: address, id: relayID, ctx: ctx, repeatable: q.route.Repeatable}
	response, err := n.peerPool.Do(ctx, exchange.Request{
		Address: address, HTTP: request, RequestID: q.id, RequireRequestID: true,
		IdleTimeout: peerIdleTimeout, OnIdleTimeout: check.keepWaiting,
	})
	if err != nil {
		return n.peerFailure(ctx, address, err)
	}
	return peerReply(response)
}

// peerFailure returns the reply for a failed exchange with the owning node.
func (n *node) peerFailure(ctx context.Context, address string, err error) *nodeReply {
	n.metrics.exchangeErrors.WithLabelValues("peer").Inc()
	if errors.Is(err, exchange.ErrIdleTimeout) {
		// The other open connections may be dead for the same reason.
		n.peerPool.CloseIdle(address)
	}
	var reply *nodeReply
	switch {
	case exchange.ProgressOf(err) == exchange.NotSent && errors.Is(err, exchange.ErrPoolExhausted):
		return unavailable(reasonQueueFull)
	case exchange.ProgressOf(err) == exchange.NotSent:
		return unavailable(reasonUnreachable)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reply = unknownOutcome(http.StatusGatewayTimeout, reasonNoResponse)
	default:
		reply = unknownOutcome(http.StatusBadGateway, reasonNoResponse)
	}
	reply.connectionLost = true
	return reply
}

// peerReply returns the reply for the response of the owning node. Without a valid
// outcome in its header, the outcome is unknown.
func peerReply(response *http.Response) *nodeReply {
	h := response.Header
	reply := &nodeReply{
		status: response.StatusCode, header: endToEnd(h), outcome: wire.Outcome(h.Get(header.Outcome)),
		reason: reasonCode(h.Get(header.Reason)), replayed: h.Get(header.Replayed) != "",
		body: response.Body, length: contentLength(response), trailer: func() http.Header { return response.Trailer },
	}
	for _, f := range []string{header.InFlight, header.Limit} {
		if v := h.Get(f); v != "" {
			reply.header.Set(f, v)
		}
	}
	switch reply.outcome {
	case wire.OutcomeComplete, wire.OutcomeFailed, wire.OutcomeNotRun, wire.OutcomeUnknown:
		return reply
	}
	reply.close()
	reply = unknownOutcome(http.StatusBadGateway, reasonNoResponse)
	reply.connectionLost = true
	return reply
}
