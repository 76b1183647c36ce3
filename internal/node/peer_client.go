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
const peerSilence clock.Millis = 900

// ask sends a request to the owning node.
func (n *node) ask(ctx context.Context, q *request, m wire.Member) *reply {
	address := string(m.Address)
	r, err := q.outgoing(address, n.clock.Now())
	if err != nil {
		return refuse(http.StatusBadRequest, reasonBadRequest)
	}
	relay := uuid.NewString()
	r.Header.Set(header.Service, string(q.route.Service))
	r.Header.Set(header.Route, string(q.route.Name))
	r.Header.Set(header.Member, string(q.member))
	r.Header.Set(header.Attempt, strconv.Itoa(q.attempt))
	r.Header.Set(relayField, relay)
	check := &relayCheck{node: n, address: address, id: relay, ctx: ctx, repeatable: q.route.Repeatable}
	response, err := n.peers.Do(ctx, exchange.Request{
		Address: address, HTTP: r, RequestID: q.id, EchoRequired: true,
		Silence: peerSilence, OnSilence: check.waitOn,
	})
	if err != nil {
		return n.hopFailed(ctx, address, err)
	}
	return peerReply(response)
}

func (n *node) hopFailed(ctx context.Context, address string, err error) *reply {
	n.metrics.exchangeErrors.WithLabelValues("peer").Inc()
	if errors.Is(err, exchange.ErrSilent) {
		// The same loss of state may have hit every other open connection.
		n.peers.CloseIdle(address)
	}
	var p *reply
	switch {
	case exchange.ProgressOf(err) == exchange.NotSent && errors.Is(err, exchange.ErrPool):
		return unavailable(reasonQueueFull)
	case exchange.ProgressOf(err) == exchange.NotSent:
		return unavailable(reasonUnreachable)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		p = unknown(http.StatusGatewayTimeout, reasonNoResponse)
	default:
		p = unknown(http.StatusBadGateway, reasonNoResponse)
	}
	p.lostHop = true
	return p
}

// peerReply reads what the owning node says about the outcome.
func peerReply(response *http.Response) *reply {
	h := response.Header
	p := &reply{
		status: response.StatusCode, header: endToEnd(h), outcome: wire.Outcome(h.Get(header.Outcome)),
		reason: reason(h.Get(header.Reason)), replayed: h.Get(header.Replayed) != "",
		body: response.Body, length: lengthOf(response), trailer: func() http.Header { return response.Trailer },
	}
	for _, f := range []string{header.InFlight, header.Limit} {
		if v := h.Get(f); v != "" {
			p.header.Set(f, v)
		}
	}
	switch p.outcome {
	case wire.OutcomeComplete, wire.OutcomeFailed, wire.OutcomeNotRun, wire.OutcomeUnknown:
		return p
	}
	p.close()
	p = unknown(http.StatusBadGateway, reasonNoResponse)
	p.lostHop = true
	return p
}
