package ingress

import (
	"sync"

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

	mu    sync.Mutex
	since map[message.Incarnation]clock.Millis
}

func newDepartures(clk clock.Clock, rejectDelay clock.Millis) *departures {
	return &departures{clock: clk, rejectDelay: rejectDelay, since: map[message.Incarnation]clock.Millis{}}
}

// record records that a target is leaving.
func (d *departures) record(i message.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.since[i]; !known {
		d.since[i] = d.clock.Now()
	}
}

// hasLeft reports whether a target may get no more requests.
func (d *departures) hasLeft(i message.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, leaving := d.since[i]
	return leaving && d.clock.Now()-since >= d.rejectDelay
}

// mark returns the instances with those that are leaving marked as stopping, or as draining
// once they may get no more requests. It does not change the given list.
func (d *departures) mark(instances []message.Instance) []message.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.since) == 0 {
		return instances
	}
	now := d.clock.Now()
	out := make([]message.Instance, 0, len(instances))
	for _, i := range instances {
		if since, leaving := d.since[i.Incarnation]; leaving {
			i.Stopping = true
			i.Draining = i.Draining || now-since >= d.rejectDelay
		}
		out = append(out, i)
	}
	return out
}

// retain forgets all targets that are not known.
func (d *departures) retain(known func(message.Incarnation) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.since {
		if !known(i) {
			delete(d.since, i)
		}
	}
}
