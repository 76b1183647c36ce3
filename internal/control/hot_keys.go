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
	// hotShare is the part of a member's fair share of its service's load from
	// which a single key is isolated. A smaller key can be evened out together
	// with its partition.
	hotShare = 0.2
	// minHotRate keeps quiet services without overrides, in requests per second.
	minHotRate = 20.0
	// coolShare is the part of the threshold below which a key counts as cool.
	// The gap to the threshold keeps a key near it from going back and forth.
	coolShare = 0.5
	// hotRounds and coolRounds are how many evaluations in a row, one per
	// second, decide. One report counts for five of them, so a key must be hot in
	// more than one. Isolating is cheap, and ending it may cost a move.
	hotRounds  = 7
	coolRounds = 30
	// maxOverridesPerService bounds one service's part of the overrides.
	maxOverridesPerService = 64
)

// heat counts the evaluations in a row that found a key hot or cool.
type heat struct {
	service wire.ServiceName
	keyHash string
	hot     int
	cool    int
	at      clock.Millis
}

type hotKey struct {
	service wire.ServiceName
	keyHash string
}

// judgeHotKeys evaluates the reported keys, isolates those that
// stay hot, and ends overrides that stay cool.
func (s *Service) judgeHotKeys(ctx context.Context, o *office) {
	v := s.view(o, false)
	s.rate(o, v)
	for _, h := range o.sortedHeat() {
		s.applyHeat(ctx, o, v, h)
	}
}

// rate counts hot and cool rounds of every key that is reported or isolated.
func (s *Service) rate(o *office, v view) {
	rates := o.keyRates(v.now)
	for _, ps := range v.partitions {
		for _, p := range ps {
			if state.IsOverride(p) {
				k := keyOf(p)
				rates[k] = max(rates[k], v.loads[partition.ID(p.Partition)])
			}
		}
	}
	thresholds := make(map[wire.ServiceName]float64)
	for name := range v.partitions {
		thresholds[name] = hotThreshold(v, name)
	}
	for k, rate := range rates {
		limit, ok := thresholds[k.service]
		if !ok {
			continue
		}
		o.heatOf(k).count(rate, limit, v.now)
	}
	maps.DeleteFunc(o.hot, func(id wire.PartitionID, h *heat) bool {
		_, isolated := v.owners[id]
		return !isolated && h.at != v.now
	})
}

func keyOf(p wire.Partition) hotKey {
	return hotKey{service: p.Service, keyHash: string(p.Partition)[len(p.Service)+len("/k"):]}
}

func (h *heat) count(rate, limit float64, now clock.Millis) {
	h.at = now
	switch {
	case rate >= limit:
		h.hot, h.cool = h.hot+1, 0
	case rate < limit*coolShare:
		h.hot, h.cool = 0, h.cool+1
	default:
		h.hot, h.cool = 0, 0
	}
}

func hotThreshold(v view, name wire.ServiceName) float64 {
	total, accepting := 0.0, 0
	for _, p := range v.partitions[name] {
		total += v.loads[partition.ID(p.Partition)]
	}
	for _, m := range v.members[name] {
		if !m.Draining {
			accepting++
		}
	}
	return max(minHotRate, hotShare*total/float64(max(1, accepting)))
}

func (o *office) heatOf(k hotKey) *heat {
	id := state.OverrideID(k.service, k.keyHash)
	h, ok := o.hot[id]
	if !ok {
		h = &heat{service: k.service, keyHash: k.keyHash}
		o.hot[id] = h
	}
	return h
}

// keyRates sums the reports of all nodes.
func (o *office) keyRates(now clock.Millis) map[hotKey]float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	sum := make(map[hotKey]float64)
	for _, n := range o.nodes {
		if now-n.hotKeysAt > reportLife {
			continue
		}
		for _, k := range n.hotKeys {
			sum[hotKey{service: k.Service, keyHash: k.KeyHash}] += k.RequestsPerSecond
		}
	}
	return sum
}

func (o *office) sortedHeat() []*heat {
	return slices.SortedFunc(maps.Values(o.hot), func(a, b *heat) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.keyHash, b.keyHash))
	})
}

func (s *Service) applyHeat(ctx context.Context, o *office, v view, h *heat) {
	own, isolated := v.owners[state.OverrideID(h.service, h.keyHash)]
	base, ok := s.baseOf(v, h)
	switch {
	case !ok:
		return
	case !isolated && h.hot >= hotRounds && atRest(base) && overridesOf(v, h.service) < maxOverridesPerService:
		s.setOverride(ctx, o, h, true)
	case isolated && h.cool >= coolRounds && atRest(base) && atRest(own) && own.Owner == base.Owner:
		s.setOverride(ctx, o, h, false)
	}
}

func atRest(p wire.Partition) bool { return p.Owner != "" && p.MovingTo == "" }

func overridesOf(v view, name wire.ServiceName) int {
	n := 0
	for _, p := range v.partitions[name] {
		if state.IsOverride(p) {
			n++
		}
	}
	return n
}

// baseOf returns the numbered partition of a key.
func (s *Service) baseOf(v view, h *heat) (wire.Partition, bool) {
	hash, ok := partition.ParseHash(h.keyHash)
	created, _ := s.Machine.Service(h.service)
	if !ok || created.Partitions == 0 {
		return wire.Partition{}, false
	}
	p, ok := v.owners[state.PartitionID(h.service, partition.OfHash(hash, created.Partitions))]
	return p, ok
}

func (s *Service) setOverride(ctx context.Context, o *office, h *heat, present bool) {
	c := wire.Command{Session: o.session, Override: &wire.Override{Service: h.service, KeyHash: h.keyHash, Present: present}}
	if r, err := s.propose(ctx, c); err != nil || r.Err != nil {
		return
	}
	h.hot, h.cool = 0, 0
	s.metrics.overrides.Inc()
	s.Log.Info().Str("Service", string(h.service)).Str("KeyHash", h.keyHash).Bool("Present", present).Msg("override of a hot key changed")
}

// coolingMoves brings cool overrides back to the owner of their key's partition,
// where they can end, within the service's budget of moves.
func (s *Service) coolingMoves(o *office, v view, service wire.ServiceConfig) []wire.Move {
	var moves []wire.Move
	budget := service.MoveBudget
	for _, p := range v.partitions[service.Name] {
		if p.MovingTo != "" {
			budget--
		}
	}
	for _, h := range o.sortedHeat() {
		own, isolated := v.owners[state.OverrideID(h.service, h.keyHash)]
		base, ok := s.baseOf(v, h)
		if h.service != service.Name || !isolated || !ok || h.cool < coolRounds || !v.waitedOut {
			continue
		}
		if len(moves) < budget && atRest(own) && atRest(base) && own.Owner != base.Owner && v.serving[own.Owner] {
			moves = append(moves, wire.Move{Partition: own.Partition, FencingToken: own.FencingToken, To: base.Owner})
		}
	}
	return moves
}
