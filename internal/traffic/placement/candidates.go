package placement

import (
	"cmp"
	"slices"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Reasons for which a target is skipped.
const (
	SkippedDraining = "draining"
	SkippedStopping = "host-stopping"
	SkippedTried    = "tried"
	SkippedPaused   = "paused"
)

// Candidate is a target as Choose judges it.
type Candidate struct {
	Instance message.Instance
	// Skipped is the reason why the target is not chosen, "" if it may be.
	Skipped string
	// Cost is the expected time until the response in milliseconds, with penalties. Choose adds
	// up to Jitter times the cost at random.
	Cost, Jitter float64
	// Load is what the target's host reported last, LoadAge ago; LoadAge is -1 if it never did.
	Load    hop.Load
	LoadAge clock.Millis
	// InFlight is the number of this sidecar's requests without a response.
	InFlight    int
	FailureRate float64
	// Limited is true for a target that is cold, or new and not heard from yet. Choose takes it
	// at random for a share of the requests.
	Limited bool
}

// Candidates returns the targets as Choose would judge them now for a request that was sent to
// none yet, in the order of their cost. Those that are skipped come last. It changes nothing
// that Choose depends on.
func (b *Balancer) Candidates(instances []message.Instance) []Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(instances, false)
	if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Skipped == "" }) {
		candidates = b.candidates(instances, true)
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		if (a.Skipped == "") != (b.Skipped == "") {
			return cmp.Compare(a.Skipped, b.Skipped)
		}
		return cmp.Compare(a.Cost, b.Cost)
	})
	return candidates
}

func (b *Balancer) candidates(instances []message.Instance, stopping bool) []Candidate {
	now := b.clock.Now()
	meanMillis := b.meanServiceMillis(instances, now)
	out := make([]Candidate, 0, len(instances))
	for _, instance := range instances {
		s := b.known(instance.Incarnation.ID)
		c := Candidate{
			Instance: instance, Skipped: skipReason(instance, s, nil, stopping, now),
			Cost: b.cost(instance, s, meanMillis, now), Jitter: s.jitter(now), Load: s.load, LoadAge: -1,
			InFlight: s.inFlight, FailureRate: s.decayedFailureRate(now), Limited: s.isLimited(now),
		}
		if s.loadTime > 0 {
			c.LoadAge = now - s.loadTime
		}
		out = append(out, c)
	}
	return out
}

// skipReason returns why a target is not chosen, or "" if it may be. The argument stopping
// states whether the choice is made among the targets whose hosts are stopping.
func skipReason(instance message.Instance, s *targetState, tried map[message.InstanceID]bool, stopping bool, now clock.Millis) string {
	switch {
	case instance.Draining:
		return SkippedDraining
	case instance.Stopping != stopping:
		return SkippedStopping
	case tried[instance.Incarnation.ID]:
		return SkippedTried
	case now < s.pausedUntil:
		return SkippedPaused
	}
	return ""
}
