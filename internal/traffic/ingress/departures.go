package ingress

import (
	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// departures remembers since when targets have said in their responses that they are
// leaving. Other hosts learn it from the core, which may not know it yet or be out of reach.
type departures struct {
	clock clock.Clock
	// rejectDelay is the time during which a leaving target may still get requests that no
	// other target can run.
	rejectDelay clock.Millis
	since       *statements[clock.Millis]
}

func newDepartures(clk clock.Clock, rejectDelay clock.Millis) *departures {
	return &departures{clock: clk, rejectDelay: rejectDelay, since: newStatements[clock.Millis](clk)}
}

// record records that a target is leaving.
func (d *departures) record(i message.Incarnation) { d.since.setFirst(i, d.clock.Now()) }

// hasLeft reports whether a target may get no more requests.
func (d *departures) hasLeft(i message.Incarnation) bool {
	since, leaving := d.since.get(i)
	return leaving && d.clock.Now()-since >= d.rejectDelay
}

// mark returns the instances with those that are leaving marked as stopping, or as draining
// once they may get no more requests. It does not change the given list.
func (d *departures) mark(instances []message.Instance) []message.Instance {
	if d.since.empty() {
		return instances
	}
	out := make([]message.Instance, 0, len(instances))
	for _, i := range instances {
		if _, leaving := d.since.get(i.Incarnation); leaving {
			i.Stopping = true
			i.Draining = i.Draining || d.hasLeft(i.Incarnation)
		}
		out = append(out, i)
	}
	return out
}
