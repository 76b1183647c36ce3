package gate

import (
	"github.com/gentiansail/gentiansail/internal/traffic/admission"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
)

// maxOfferLinkUtilization is the utilization of the host's link from which on requests that are
// offered are rejected. Their bodies would delay everything else on the link, short calls included.
const maxOfferLinkUtilization = 0.8

// WeighOffer answers the offer of a request whose body is long for the link of this host. It
// returns the rejection that the request would get now, or a result without a reason. A
// rejected one counts as load of its key and as demand of calls. Nothing else is kept for the request.
func (g *Gate) WeighOffer(request *TargetRequest, linkUtilization float64) *Result {
	now := g.options.Clock.Now()
	result := &Result{}
	if reason := g.rejectionReason(request, now); reason != "" {
		result = Rejection(reason, 0)
		result.Load = g.Load()
		return result
	}
	if request.SecondCopy && !g.hasRoomForSecondCopy() {
		result = Rejection(hop.Busy, 0)
	} else if linkUtilization >= maxOfferLinkUtilization {
		result = Rejection(hop.Busy, g.queue.RetryAfter())
	} else {
		ticket := newTicket(request, now)
		decision, _, _ := g.queue.Preview(ticket)
		switch {
		case decision == admission.TooLate:
			result = Rejection(hop.TooLate, 0)
		case request.SecondCopy && decision != admission.Admitted:
			result = Rejection(hop.Busy, 0) // it may not wait, and no caller returns for it
		case decision == admission.Overloaded:
			result = Rejection(hop.Busy, g.queue.BookReturn(ticket))
		}
	}
	if result.Reason != "" {
		g.countKey(request) // Do counts an accepted one
	}
	if result.Reason == hop.Busy {
		g.queue.CountRejected(newTicket(request, now))
	}
	result.Load = g.Load()
	return result
}
