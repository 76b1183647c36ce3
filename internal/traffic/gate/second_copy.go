package gate

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/traffic/admission"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/copies"
)

// admit gives the request a slot of the target. It returns nil if the request got one, and a
// rejection otherwise.
func (g *Gate) admit(ctx context.Context, request *TargetRequest, ticket *admission.Ticket) *Result {
	if request.SecondCopy {
		return g.admitSecondCopy(ticket)
	}
	return g.waitForSlot(ctx, ticket)
}

// admitSecondCopy gives a second copy a slot if the target is warm and has enough free ones. It never
// makes the copy wait: in a queue it would take the place of a first copy, which has no other.
func (g *Gate) admitSecondCopy(ticket *admission.Ticket) *Result {
	if !g.hasRoomForSecondCopy() {
		return Rejection(hop.Busy, 0)
	}
	switch g.queue.Admit(ticket) {
	case admission.Admitted:
		return nil
	case admission.TooLate:
		return Rejection(hop.TooLate, 0)
	case admission.Queued:
		if g.queue.Cancel(ticket) {
			break
		}
		<-ticket.Decided()
		if ticket.Decision() == admission.Admitted {
			return nil
		}
	}
	return Rejection(hop.Busy, 0)
}

// hasRoomForSecondCopy reports whether the target is warm and has enough free slots for a second copy.
func (g *Gate) hasRoomForSecondCopy() bool {
	load := g.Load()
	return !g.Cold() && float64(load.Running+load.Waiting) < copies.MaxUtilization*float64(load.Slots)
}
