package gate

import (
	"context"
	"errors"
	"sync"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/traffic/admission"
	"github.com/gentiansail/gentiansail/internal/traffic/coldstart"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// ColdCause states why a target counts as cold, or counts so no longer.
type ColdCause string

const (
	// ColdReported means that heartbeats of the target say so.
	ColdReported ColdCause = "reported"
	// ColdDown means that no connection to the target can be made. It will be cold when it
	// is back.
	ColdDown ColdCause = "down"
	// ColdEvacuated means that the evacuation of the target's failure domain ends.
	ColdEvacuated ColdCause = "evacuation"
	// ColdSilent means that no heartbeat has arrived for long.
	ColdSilent ColdCause = "silent"
	// ColdUnproven means that heartbeats of another incarnation arrive, which is not known
	// to run yet.
	ColdUnproven ColdCause = "incarnation-unproven"
)

// ColdOutcome is what happens to a request because its target is cold.
type ColdOutcome string

const (
	// ColdHeld means that the request waits.
	ColdHeld ColdOutcome = "held"
	// ColdRejected means that the request is rejected, at once or after it has waited.
	ColdRejected ColdOutcome = "rejected"
)

var errCold = errors.New("target is cold")

// PresumeCold makes the target count as cold: after the end of an evacuation for as long as a
// cold start lasts, otherwise until a heartbeat shows which incarnation runs.
func (g *Gate) PresumeCold(cause ColdCause) {
	now := g.options.Clock.Now()
	if cause == ColdEvacuated {
		g.queue.Cold().Presume(now)
	} else {
		g.queue.Cold().PresumeDown(now)
	}
	g.noteCold(cause)
	g.queue.Update()
}

// presumeCold makes the target count as cold if no connection to it can be made. It may start
// again under the same id and get requests before its first heartbeat.
func (g *Gate) presumeCold(ctx context.Context, err error) {
	if errors.Is(err, exchange.ErrConnectionRefused) || errors.Is(err, exchange.ErrConnect) && ctx.Err() == nil {
		g.PresumeCold(ColdDown)
	}
}

// Cold reports whether the target is or may be cold.
func (g *Gate) Cold() bool { return g.queue.Cold().Cold(g.options.Clock.Now()) }

// noteCold reports a change to OnCold. The end of a cold time is noted with the next heartbeat.
func (g *Gate) noteCold(cause ColdCause) {
	g.mu.Lock()
	cold := g.Cold()
	changed := cold != g.knownCold
	g.knownCold = cold
	incarnation := g.target.Incarnation
	g.mu.Unlock()
	if changed && g.options.OnCold != nil {
		g.options.OnCold(incarnation, cold, cause)
	}
}

// limitColdSpeed lowers the reported speed of a cold target to the rate that it tolerates, so
// that callers' hosts and the core send it less.
func (g *Gate) limitColdSpeed(load hop.Load, now clock.Millis) hop.Load {
	if perSecond, remaining := g.queue.Cold().Rate(now); perSecond > 0 {
		load.ServiceMillis = max(load.ServiceMillis, clock.Millis(float64(load.Slots)*1000/perSecond))
		load.ColdMillis = remaining
	}
	return load
}

// countCold counts a request that has waited or was rejected while the target was cold.
func (g *Gate) countCold(first admission.Decision, ticket *admission.Ticket, rejection *Result) {
	if first == admission.Admitted || first == admission.TooLate || !g.Cold() {
		return
	}
	g.noteCold(ColdSilent) // the other causes are noted when they arise
	switch {
	case rejection == nil:
		g.countColdOutcome(ColdHeld)
	case rejection.Reason == hop.Busy:
		g.countColdOutcome(ColdRejected)
	}
}

func (g *Gate) countColdOutcome(outcome ColdOutcome) {
	if g.options.OnColdRequest != nil {
		g.options.OnColdRequest(outcome)
	}
}

// releaseUnsent releases the slot of a request that was not sent to the target.
func (g *Gate) releaseUnsent(ticket *admission.Ticket) {
	g.queue.Cold().Cancel(ticket.Begun())
	g.queue.Release(ticket, 0)
}

// coldCount is the place of one request in the limiter.
type coldCount struct {
	limiter *coldstart.Limiter

	mu sync.Mutex
	// at is when the request was counted.
	at clock.Millis
	// sent is true once the request may have been written, refused if the limiter did not
	// allow that.
	sent, refused bool
}

// send counts the request as written now. It returns false if it must not be written.
func (c *coldCount) send(now clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = c.limiter.Send(c.at, now)
	c.at, c.refused = now, !c.sent
	return c.sent
}

// cancelUnsent takes the request back unless it may have been written.
func (c *coldCount) cancelUnsent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sent && !c.refused {
		c.limiter.Cancel(c.at)
	}
}

// cancel takes back a request that does not count although it was written.
func (c *coldCount) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.Cancel(c.at)
}
