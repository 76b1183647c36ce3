package control

import (
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/balance"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// speedStep is the factor by which an estimate must differ from the speed in
	// use before keys move because of it.
	speedStep = 1.25
	// recoverAfter is how long a member must look faster before it is planned
	// for as faster. A straggler that comes and goes would otherwise move the
	// same keys each time, while a late return costs only some imbalance.
	recoverAfter clock.Millis = 10000
	// latencyLife is how long a reported latency counts. A member without
	// requests reports none and is tried again at full speed afterwards.
	latencyLife clock.Millis = 60000
	// latencyGrain is added to each latency. Nodes measure whole milliseconds and
	// their own delay with them, so small differences mean nothing.
	latencyGrain = 2.0
)

// memberSpeed is the part of its capacity that planning assumes a member can
// use, and since when estimates have been higher; 0 if they are not.
type memberSpeed struct {
	used   float64
	faster clock.Millis
}

// judgeSpeeds compares the members of each service by the latency of their
// targets.
func (o *office) judgeSpeeds(members []wire.Member, now clock.Millis) {
	services := make(map[wire.ServiceName]map[string]float64)
	latencies := o.latencies(now)
	for _, m := range members {
		if services[m.Service] == nil {
			services[m.Service] = make(map[string]float64)
		}
		services[m.Service][string(m.Incarnation)] = latencies[m.Incarnation]
	}
	speeds := make(map[wire.Incarnation]memberSpeed, len(members))
	for _, known := range services {
		for id, estimate := range balance.Speeds(known) {
			i := wire.Incarnation(id)
			speeds[i] = memberSpeed{used: o.speedOf(i), faster: o.speeds[i].faster}.follow(estimate, now)
		}
	}
	o.speeds = speeds
}

// latencies returns the reported latencies in milliseconds, without those that
// are too old.
func (o *office) latencies(now clock.Millis) map[wire.Incarnation]float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[wire.Incarnation]float64, len(o.nodes))
	for _, n := range o.nodes {
		if n.latency > 0 && now-n.latencyAt < latencyLife {
			out[n.incarnation] = n.latency + latencyGrain
		}
	}
	return out
}

// follow takes over a clearly lower estimate at once, and a higher one when it
// has stayed higher.
func (v memberSpeed) follow(estimate float64, now clock.Millis) memberSpeed {
	higher := estimate > v.used*speedStep || (estimate == 1 && v.used < 1)
	switch {
	case estimate < v.used/speedStep:
		return memberSpeed{used: estimate}
	case !higher:
		return memberSpeed{used: v.used}
	case v.faster == 0:
		return memberSpeed{used: v.used, faster: now}
	case now-v.faster >= recoverAfter:
		return memberSpeed{used: estimate}
	}
	return v
}

// speedOf returns the speed to plan with; members without an estimate count as
// fast.
func (o *office) speedOf(i wire.Incarnation) float64 {
	if v, ok := o.speeds[i]; ok {
		return v.used
	}
	return 1
}
