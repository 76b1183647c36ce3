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

// peerSilence is the time without any byte after which a connection to a node
// is taken for dead. The owner's side sends one every processingEvery. With 1.5 s
// a key behind silent connections was not served for up to 1.85 s of the 2 s that
// a loss may take.
const peerIdleTimeout clock.Millis = 900

// ask sends a request to the owning node.
func (n *node) forwardToPeer(ctx context.Context, q *request, m wire.Member) *nodeReply {
	address := string(m.Address)
	r, err := q.newOutgoing(address, n.clock.Now())
	if err != nil {
		return reject(http.StatusBadRequest, reasonBadRequest)
	}
	relayID := uuid.NewString()
	r.Header.Set(header.Service, string(q.route.Service))
	r.Header.Set(header.Route, string(q.route.Name))
	r.Header.Set(header.Member, string(q.incarnation))
	r.Header.Set(header.Attempt, strconv.Itoa(q.attempt))
	r.Header.Set(relayHeader, relayID)
	check := &relayCheck{node: n, address: address, id: relayID, ctx: ctx, repeatable: q.route.Repeatable}
	response, err := n.peerPool.Do(ctx, exchange.Request{
		Address: address, HTTP: r, RequestID: q.id, EchoRequired: true,
		Silence: peerIdleTimeout, OnSilence: check.keepWaiting,
	})
	if err != nil {
		return n.peerFailure(ctx, address, err)
	}
	return peerReply(response)
}

func (n *node) peerFailure(ctx context.Context, address string, err error) *nodeReply {
	n.metrics.exchangeErrors.WithLabelValues("peer").Inc()
	if errors.Is(err, exchange.ErrSilent) {
		// The same loss of state may have hit every other open connection.
		n.peerPool.CloseIdle(address)
	}
	var reply *nodeReply
	switch {
	case exchange.ProgressOf(err) == exchange.NotSent && errors.Is(err, exchange.ErrPool):
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

// peerReply reads what the owning node says about the outcome.
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
