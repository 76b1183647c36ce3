package ingress

import (
	"context"
	"errors"
	"net/http"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// maxOfferWait is how long an offer waits for its answer if another target may run the request. An
// answer takes about 1 ms; one that takes this long comes from a host that is frozen or cut off, or
// has a full link.
const maxOfferWait clock.Millis = 1000

// shouldOffer reports whether a request is offered to a target before it is sent: its body is long
// for the links of the hosts, and the target is not known to have free slots. Many hosts that each
// hear little of a target send it more than it accepts, and bodies of rejected requests can fill
// its host's link until calls of a few hundred bytes miss their deadlines.
func (in *Ingress) shouldOffer(req *request, target message.Instance) bool {
	longBody := req.length < 0 || req.length >= in.options.OfferedBody
	return in.options.OfferedBody > 0 && longBody && req.length != 0 && target.Peer != in.options.PeerAddress && !in.balancer.HasFreeSlots(target)
}

// offer asks the sidecar of the target's host whether the target would accept a request. It
// returns nil if the request should be sent, and otherwise the result of the request, which has not
// been sent.
func (in *Ingress) offer(ctx context.Context, req *request, targetRequest *gate.TargetRequest, peer message.Address) *gate.Result {
	if !req.hasOwner() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxOfferWait.Duration())
		defer cancel()
	}
	header := http.Header{}
	header.Set(in.options.Names.RequestID, targetRequest.ID)
	targetRequest.Request.SetOfferHeader(header)
	httpRequest, err := gate.NewHTTPRequest(&gate.TargetRequest{Method: http.MethodGet, URI: "/", Host: targetRequest.Host, Header: header}, string(peer))
	if err != nil {
		return gate.Rejection(hop.BadRequest, 0)
	}
	response, err := in.options.Pool.Do(ctx, exchange.Request{Address: string(peer), HTTP: httpRequest, RequestID: targetRequest.ID, RequestIDHeader: in.options.Names.RequestID})
	switch {
	case err == nil:
	case exchange.ProgressOf(err) == exchange.NotSent:
		return gate.FailedExchange(ctx, err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return gate.Rejection(hop.TooLate, 0)
	case ctx.Err() != nil:
		return &gate.Result{Reply: hop.Reply{Reason: hop.CallerDisconnected}}
	default:
		return nil
	}
	_ = exchange.DiscardBody(response) // the connection is used again only after the end of the body
	reply, ok := hop.ParseReply(response.Header)
	if !ok || !reply.Reason.NotRun() {
		return nil // accepted, or by a sidecar of an earlier release
	}
	return &gate.Result{Reply: reply}
}
