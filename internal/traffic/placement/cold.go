package placement

import (
	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// isCold reports whether the target has said that it is cold.
func (s *targetState) isCold(now clock.Millis) bool { return now < s.loadTime+s.load.ColdMillis }

// isLimited reports whether the target is cold, or new and not heard from yet.
func (s *targetState) isLimited(now clock.Millis) bool {
	return s.isCold(now) || s.loadTime == 0 && now < s.newUntil
}

// serviceMillis returns the service time of the target; 0 if it is not known. What a cold
// target has reported says nothing about the time after that.
func (s *targetState) serviceMillis(now clock.Millis) float64 {
	if s.load.ColdMillis > 0 && !s.isCold(now) {
		return 0
	}
	return float64(s.load.ServiceMillis)
}

// ExpectCold tells the balancer that targets of a service start cold, for the given time. A
// target that joins others of which the load is known gets few requests until it has
// responded. Otherwise all hosts would send it some at once, since it looks idle.
func (b *Balancer) ExpectCold(instances []message.Instance, coldMillis clock.Millis) {
	if coldMillis <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	othersKnown := false
	for _, instance := range instances {
		if s := b.targets[instance.Incarnation.ID]; s != nil && s.loadTime > 0 {
			othersKnown = true
		}
	}
	for _, instance := range instances {
		if b.targets[instance.Incarnation.ID] == nil && othersKnown {
			b.state(instance.Incarnation.ID).newUntil = b.clock.Now() + coldMillis
		}
	}
}

// chooseLimited returns a cold or new target at random, or nil. Together, all hosts choose it
// for the share of requests that it takes: 1/n of those of the service, reduced by how much
// slower it is than warm targets. By cost, each host would choose it first while it is idle or
// never. onlyWarm is true if the choice must be made among the others. The caller must hold b.mu.
func (b *Balancer) chooseLimited(instances []message.Instance, available func(message.Instance, *targetState) bool, meanMillis float64, now clock.Millis) (target *message.Instance, onlyWarm bool) {
	count, limited := 0, 0
	for _, instance := range instances {
		if s := b.state(instance.Incarnation.ID); available(instance, s) {
			count++
			if s.isLimited(now) {
				limited++
			}
		}
	}
	if limited == 0 || limited == count {
		return nil, false
	}
	remaining := b.random() * float64(count)
	for i, instance := range instances {
		s := b.state(instance.Incarnation.ID)
		if !available(instance, s) || !s.isLimited(now) || s.inFlight > 0 || s.load.Waiting > 0 && now-s.loadTime <= maxLoadAge {
			continue
		}
		share := newTargetShare
		if s.isCold(now) {
			share = min(meanMillis/max(float64(s.load.ServiceMillis), 1), 1)
		}
		if remaining < share {
			return &instances[i], true
		}
		remaining -= share
	}
	return nil, true
}
