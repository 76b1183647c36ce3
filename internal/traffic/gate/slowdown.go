package gate

import (
	"net/http"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
)

// observeSlowdown passes on to the queue how long work takes at the target now. The other
// figures of the reported load are known here, since all requests pass through the gate.
func (g *Gate) observeSlowdown(incarnation message.Incarnation, h http.Header) {
	load, ok := hop.ParseTargetLoad(h.Get(g.options.Names.TargetLoad))
	if !ok || load.SlowdownPercent == 0 {
		return
	}
	g.mu.Lock()
	current := g.target.Incarnation == incarnation
	g.mu.Unlock()
	if current {
		g.queue.ReportSlowdown(load.SlowdownPercent)
	}
}
