package gate

import (
	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/admission"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Preview states what a gate would do with a request now.
type Preview struct {
	// Reason is why the request would be rejected on arrival, "" if it would be admitted or
	// queued.
	Reason hop.Reason
	// Queued is true if it would wait for a slot, for WaitMillis as far as can be expected.
	Queued     bool
	WaitMillis clock.Millis
	// RetryAfterMillis is when a rejected caller would be asked to come back.
	RetryAfterMillis clock.Millis
	Load             hop.Load
	// Cold is true if the target counts as cold.
	Cold bool
	// OwnedForMillis is how much longer the target may begin requests for the key by its present
	// grant; 0 if it owns no key or the request has none.
	OwnedForMillis clock.Millis
}

// Preview returns what would happen to a request, without admitting or counting it.
func (g *Gate) Preview(request hop.Request) Preview {
	now := g.options.Clock.Now()
	p := Preview{Load: g.Load(), Cold: g.Cold()}
	r := &TargetRequest{Request: request}
	if p.Reason = g.rejectionReason(r, now); p.Reason != "" {
		return p
	}
	if request.Key != hop.NoKey {
		g.mu.Lock()
		p.OwnedForMillis = g.ownedFor(message.Key(request.Key), now)
		g.mu.Unlock()
	}
	decision, wait, retryAfter := g.queue.Preview(newTicket(r, now))
	switch decision {
	case admission.Queued:
		p.Queued, p.WaitMillis = true, wait
	case admission.TooLate:
		p.Reason = hop.TooLate
	case admission.Overloaded:
		p.Reason, p.RetryAfterMillis = hop.Busy, retryAfter
	}
	return p
}
