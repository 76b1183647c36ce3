package control

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

const (
	// hotLoadFraction is the fraction of a member's fair share of its service's
	// load from which a single key is isolated. The load of a key below it can be
	// balanced by moving the key's partition.
	hotLoadFraction = 0.2
	// minHotRate is the least rate of a hot key in requests per second, so that
	// services with little load get no overrides.
	minHotRate = 20.0
	// coolThresholdFraction is the fraction of the threshold below which a key is
	// cool. The gap between the two keeps a key near the threshold from being
	// isolated and merged repeatedly.
	coolThresholdFraction = 0.5
	// hotEvaluations and coolEvaluations are how many consecutive evaluations, one
	// per second, must find a key hot or cool before its override changes. A
	// report is used in five evaluations, so a key must be hot in more than one
	// report. Setting an override is cheap, while ending one may take a move.
	hotEvaluations  = 7
	coolEvaluations = 30
	// maxOverridesPerService bounds the overrides of one service.
	maxOverridesPerService = 64
)

// hotKeyTracker counts the consecutive evaluations that found a key hot or
// cool.
type hotKeyTracker struct {
	service     wire.ServiceName
	keyHash     string
	hotCount    int
	coolCount   int
	evaluatedAt clock.Millis
}

// hotKey identifies a key by its service and hash.
type hotKey struct {
	service wire.ServiceName
	keyHash string
}

// evaluateHotKeys evaluates the reported keys, isolates keys that stay hot, and
// ends the overrides of keys that stay cool.
func (s *Service) evaluateHotKeys(ctx context.Context, ls *leaderState) {
	view := s.planningView(ls, false)
	s.updateHotKeyTrackers(ls, view)
	for _, tracker := range ls.sortedTrackers() {
		s.updateOverride(ctx, ls, view, tracker)
	}
}

// updateHotKeyTrackers evaluates every key that is reported or has an override,
// and removes the trackers of all other keys.
func (s *Service) updateHotKeyTrackers(ls *leaderState, view planningView) {
	rates := ls.keyRates(view.now)
	for _, partitions := range view.partitions {
		for _, p := range partitions {
			if state.IsOverride(p) {
				key := keyOfOverride(p)
				rates[key] = max(rates[key], view.loads[partition.ID(p.Partition)])
			}
		}
	}
	thresholds := make(map[wire.ServiceName]float64)
	for name := range view.partitions {
		thresholds[name] = hotThreshold(view, name)
	}
	for key, rate := range rates {
		threshold, ok := thresholds[key.service]
		if !ok {
			continue
		}
		ls.trackerOf(key).record(rate, threshold, view.now)
	}
	maps.DeleteFunc(ls.hotKeys, func(id wire.PartitionID, tracker *hotKeyTracker) bool {
		_, isolated := view.owners[id]
		return !isolated && tracker.evaluatedAt != view.now
	})
}

func keyOfOverride(p wire.Partition) hotKey {
	return hotKey{service: p.Service, keyHash: string(p.Partition)[len(p.Service)+len("/k"):]}
}

func (t *hotKeyTracker) record(rate, threshold float64, now clock.Millis) {
	t.evaluatedAt = now
	switch {
	case rate >= threshold:
		t.hotCount, t.coolCount = t.hotCount+1, 0
	case rate < threshold*coolThresholdFraction:
		t.hotCount, t.coolCount = 0, t.coolCount+1
	default:
		t.hotCount, t.coolCount = 0, 0
	}
}

// hotThreshold returns the rate from which a key of a service is hot, in
// requests per second.
func hotThreshold(view planningView, name wire.ServiceName) float64 {
	total, accepting := 0.0, 0
	for _, p := range view.partitions[name] {
		total += view.loads[partition.ID(p.Partition)]
	}
	for _, m := range view.members[name] {
		if !m.Draining {
			accepting++
		}
	}
	return max(minHotRate, hotLoadFraction*total/float64(max(1, accepting)))
}

// trackerOf returns the tracker of a key, and creates it if there is none.
func (ls *leaderState) trackerOf(key hotKey) *hotKeyTracker {
	id := state.OverrideID(key.service, key.keyHash)
	tracker, ok := ls.hotKeys[id]
	if !ok {
		tracker = &hotKeyTracker{service: key.service, keyHash: key.keyHash}
		ls.hotKeys[id] = tracker
	}
	return tracker
}

// keyRates returns the reported rate of each hot key, summed over all nodes.
func (ls *leaderState) keyRates(now clock.Millis) map[hotKey]float64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	rates := make(map[hotKey]float64)
	for _, record := range ls.nodes {
		if now-record.hotKeysReportedAt > reportValidity {
			continue
		}
		for _, reported := range record.hotKeys {
			rates[hotKey{service: reported.Service, keyHash: reported.KeyHash}] += reported.RequestsPerSecond
		}
	}
	return rates
}

func (ls *leaderState) sortedTrackers() []*hotKeyTracker {
	return slices.SortedFunc(maps.Values(ls.hotKeys), func(a, b *hotKeyTracker) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.keyHash, b.keyHash))
	})
}

// updateOverride sets or ends the override of a key if enough consecutive
// evaluations agree. An override ends only on the owner of the key's numbered
// partition, so that the key does not change its owner.
func (s *Service) updateOverride(ctx context.Context, ls *leaderState, view planningView, tracker *hotKeyTracker) {
	override, isolated := view.owners[state.OverrideID(tracker.service, tracker.keyHash)]
	base, ok := s.basePartition(view, tracker)
	switch {
	case !ok:
		return
	case !isolated && tracker.hotCount >= hotEvaluations && isStable(base) && countOverrides(view, tracker.service) < maxOverridesPerService:
		s.setOverride(ctx, ls, tracker, true)
	case isolated && tracker.coolCount >= coolEvaluations && isStable(base) && isStable(override) && override.Owner == base.Owner:
		s.setOverride(ctx, ls, tracker, false)
	}
}

// isStable reports whether a partition has an owner and is not in a planned
// move.
func isStable(p wire.Partition) bool { return p.Owner != "" && p.MovingTo == "" }

func countOverrides(view planningView, name wire.ServiceName) int {
	n := 0
	for _, p := range view.partitions[name] {
		if state.IsOverride(p) {
			n++
		}
	}
	return n
}

// basePartition returns the numbered partition of a key.
func (s *Service) basePartition(view planningView, tracker *hotKeyTracker) (wire.Partition, bool) {
	hash, ok := partition.ParseHash(tracker.keyHash)
	service, _ := s.Machine.Service(tracker.service)
	if !ok || service.Partitions == 0 {
		return wire.Partition{}, false
	}
	p, ok := view.owners[state.PartitionID(tracker.service, partition.OfHash(hash, service.Partitions))]
	return p, ok
}

func (s *Service) setOverride(ctx context.Context, ls *leaderState, tracker *hotKeyTracker, present bool) {
	command := wire.Command{Session: ls.session, Override: &wire.Override{Service: tracker.service, KeyHash: tracker.keyHash, Isolated: present}}
	if r, err := s.propose(ctx, command); err != nil || r.Err != nil {
		return
	}
	tracker.hotCount, tracker.coolCount = 0, 0
	s.metrics.overrideChanges.Inc()
	s.Log.Info().Str("Service", string(tracker.service)).Str("KeyHash", tracker.keyHash).Bool("Present", present).Msg("override of a hot key changed")
}

// overrideReturnMoves returns the moves, within the service's budget, of cool
// overrides to the owner of their key's numbered partition. An override can
// only end there.
func (s *Service) overrideReturnMoves(ls *leaderState, view planningView, service wire.ServiceConfig) []wire.Move {
	var moves []wire.Move
	budget := service.MoveBudget
	for _, p := range view.partitions[service.Name] {
		if p.MovingTo != "" {
			budget--
		}
	}
	for _, tracker := range ls.sortedTrackers() {
		override, isolated := view.owners[state.OverrideID(tracker.service, tracker.keyHash)]
		base, ok := s.basePartition(view, tracker)
		if tracker.service != service.Name || !isolated || !ok || tracker.coolCount < coolEvaluations || !view.earlierLeasesEnded {
			continue
		}
		if len(moves) < budget && isStable(override) && isStable(base) && override.Owner != base.Owner && view.leased[override.Owner] {
			moves = append(moves, wire.Move{Partition: override.Partition, FencingToken: override.FencingToken, To: base.Owner})
		}
	}
	return moves
}
