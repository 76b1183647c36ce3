package control

import (
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/balance"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// minSpeedChange is the factor by which an estimate must differ from the
	// planned speed before keys move because of it.
	minSpeedChange = 1.25
	// recoveryDelay is how long the estimates of a member must be higher before
	// planning uses a higher speed. Without it, a member that is slow from time to
	// time would move the same keys each time. A late recovery only costs some
	// imbalance.
	recoveryDelay clock.Millis = 10000
	// latencyValidity is how long a reported latency is used. A member without
	// requests reports none, and is planned with full speed again afterwards.
	latencyValidity clock.Millis = 60000
	// latencyOffset is added to each latency, in milliseconds. Nodes measure whole
	// milliseconds that include their own delay, so small differences must not
	// matter.
	latencyOffset = 2.0
)

// memberSpeed is the fraction of its capacity that planning assumes a member
// can use, and the time since which estimates have been higher, or 0 if they
// are not.
type memberSpeed struct {
	planned     float64
	fasterSince clock.Millis
}

// updateSpeeds estimates the speed of members by comparing the latencies of the
// targets of each service.
func (ls *leaderState) updateSpeeds(members []wire.Member, now clock.Millis) {
	latenciesByService := make(map[wire.ServiceName]map[string]float64)
	latencies := ls.latencies(now)
	for _, m := range members {
		if latenciesByService[m.Service] == nil {
			latenciesByService[m.Service] = make(map[string]float64)
		}
		latenciesByService[m.Service][string(m.Incarnation)] = latencies[m.Incarnation]
	}
	speeds := make(map[wire.Incarnation]memberSpeed, len(members))
	for _, byIncarnation := range latenciesByService {
		for id, estimate := range balance.RelativeSpeeds(byIncarnation) {
			i := wire.Incarnation(id)
			speeds[i] = memberSpeed{planned: ls.speedOf(i), fasterSince: ls.speeds[i].fasterSince}.update(estimate, now)
		}
	}
	ls.speeds = speeds
}

// latencies returns the reported latencies in milliseconds that are still
// valid, plus latencyOffset.
func (ls *leaderState) latencies(now clock.Millis) map[wire.Incarnation]float64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	latencies := make(map[wire.Incarnation]float64, len(ls.nodes))
	for _, r := range ls.nodes {
		if r.targetLatency > 0 && now-r.latencyReportedAt < latencyValidity {
			latencies[r.incarnation] = r.targetLatency + latencyOffset
		}
	}
	return latencies
}

// update returns the speed after a new estimate. An estimate that is lower by
// more than the factor minSpeedChange is used at once. A higher one is used only
// if all estimates of the last recoveryDelay were higher than the planned speed
// by more than that factor, or were the full speed 1.
func (m memberSpeed) update(estimate float64, now clock.Millis) memberSpeed {
	higher := estimate > m.planned*minSpeedChange || (estimate == 1 && m.planned < 1)
	switch {
	case estimate < m.planned/minSpeedChange:
		return memberSpeed{planned: estimate}
	case !higher:
		return memberSpeed{planned: m.planned}
	case m.fasterSince == 0:
		return memberSpeed{planned: m.planned, fasterSince: now}
	case now-m.fasterSince >= recoveryDelay:
		return memberSpeed{planned: estimate}
	}
	return m
}

// speedOf returns the planned speed of a member, which is 1 without an
// estimate.
func (ls *leaderState) speedOf(i wire.Incarnation) float64 {
	if m, ok := ls.speeds[i]; ok {
		return m.planned
	}
	return 1
}
