package gate

import (
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// BeginEvacuation makes the gate reject all requests from the given time on, for each
// incarnation of the target, until EndEvacuation. It returns false if the evacuation has
// begun already; an earlier time still applies then.
func (g *Gate) BeginEvacuation(rejectFrom clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.evacuated {
		g.evacuatedFrom = min(g.evacuatedFrom, rejectFrom)
		return false
	}
	g.evacuated, g.evacuatedFrom = true, rejectFrom
	return true
}

// EndEvacuation lets the target get requests again. It returns false if no evacuation has
// begun. The target may have turned cold during the evacuation.
func (g *Gate) EndEvacuation() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := g.evacuated
	g.evacuated, g.evacuatedFrom = false, 0
	return ended
}

// Evacuation returns whether an evacuation has begun and the time from which on it makes the
// gate reject requests.
func (g *Gate) Evacuation() (begun bool, rejectFrom clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuated, g.evacuatedFrom
}

// RejectEvacuated rejects all queued requests if the evacuation makes the gate reject new
// ones. Their callers' hosts can then still try other targets.
func (g *Gate) RejectEvacuated() {
	g.mu.Lock()
	closed := g.closedByEvacuation(g.options.Clock.Now())
	g.mu.Unlock()
	if closed {
		g.queue.RemoveIf(func(int) bool { return true })
	}
}

// closedByEvacuation reports whether requests are rejected because of an evacuation. The
// caller must hold g.mu.
func (g *Gate) closedByEvacuation(now clock.Millis) bool {
	return g.evacuated && now >= g.evacuatedFrom
}
