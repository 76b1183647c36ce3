package partition

import (
	"cmp"
	"slices"
)

// Target is a possible owner of partitions.
type Target struct {
	// ID is unique among the targets of one call.
	ID string
	// Domain is the failure domain of the target.
	Domain string
	// Capacity is the load that the target can take relative to the other targets.
	// A value of zero or less counts as a very small one.
	Capacity float64
	// Accepting is false for a target that is to be drained: its partitions move to
	// others.
	Accepting bool
}

// Load is the request rate of each partition. The unit does not matter, but must be the
// same for all.
type Load map[ID]float64

// Limits are the limits of one call. They do not apply to the assignment of unowned
// partitions.
type Limits struct {
	// MaxBalanceMoves is the largest number of moves that balance load.
	MaxBalanceMoves int
	// MaxDrainMoves is the largest number of moves away from targets that do not accept
	// partitions, because they are draining or have been lost.
	MaxDrainMoves int
	// Pinned partitions are not moved. They count as load of their owners.
	Pinned map[ID]bool
	// BalanceThreshold is the relative difference from the mean beyond which a target's
	// load is balanced. Zero means DefaultBalanceThreshold.
	BalanceThreshold float64
	// IdleShare is the weight of a partition without load, relative to the mean load.
	// Zero means DefaultIdleShare. A caller whose loads are based on few requests
	// passes a larger value, so that random variation moves no keys.
	IdleShare float64
}

// DefaultBalanceThreshold keeps ordinary variation of request rates from moving keys.
const DefaultBalanceThreshold = 0.1

// DefaultIdleShare distributes idle partitions, which may become busy, by their number.
const DefaultIdleShare = 0.2

// minCapacity replaces capacities of zero or less.
const minCapacity = 1e-6

// Move assigns a partition to another target. From is empty for a partition without an
// owner.
type Move struct {
	Partition ID
	From      string
	To        string
}

// Plan returns moves that change the current ownership of partitions. A partition is
// unowned if its owner is empty or not among the targets. Plan is deterministic.
func Plan(current map[ID]string, targets []Target, load Load, l Limits) []Move {
	p := newPlanner(current, targets, load, l)
	if len(p.accepting) == 0 {
		return nil
	}
	p.assignUnowned()
	p.drain(l.MaxDrainMoves)
	p.balance(l.MaxBalanceMoves)
	return p.moves
}

// targetLoad is a target with the partitions that it owns and the sum of their weights.
type targetLoad struct {
	Target
	weight float64
	owned  []ID
}

// ratio returns the load of the target with an extra weight, relative to its capacity.
func (t *targetLoad) ratio(extra float64) float64 { return (t.weight + extra) / t.Capacity }

type planner struct {
	limits        Limits
	weights       map[ID]float64
	targets       []*targetLoad // sorted by ID
	accepting     []*targetLoad
	domainWeights map[string]float64
	unowned       []ID
	moved         map[ID]bool
	moves         []Move
}

func newPlanner(current map[ID]string, targets []Target, load Load, l Limits) *planner {
	if l.BalanceThreshold == 0 {
		l.BalanceThreshold = DefaultBalanceThreshold
	}
	if l.IdleShare == 0 {
		l.IdleShare = DefaultIdleShare
	}
	p := &planner{limits: l, weights: partitionWeights(current, load, l.IdleShare), domainWeights: make(map[string]float64), moved: make(map[ID]bool)}
	byID := p.addTargets(targets)
	for _, id := range sortedIDs(current) {
		t, ok := byID[current[id]]
		if !ok {
			p.unowned = append(p.unowned, id)
			continue
		}
		p.addOwned(id, t)
	}
	return p
}

func (p *planner) addTargets(targets []Target) map[string]*targetLoad {
	byID := make(map[string]*targetLoad, len(targets))
	for _, t := range targets {
		t.Capacity = max(t.Capacity, minCapacity)
		byID[t.ID] = &targetLoad{Target: t}
	}
	for _, t := range byID {
		p.targets = append(p.targets, t)
	}
	slices.SortFunc(p.targets, func(a, b *targetLoad) int { return cmp.Compare(a.ID, b.ID) })
	for _, t := range p.targets {
		if t.Accepting {
			p.accepting = append(p.accepting, t)
		}
	}
	return byID
}

// partitionWeights returns the weight of each partition: its load plus idleShare of the
// mean load. Without any load, all partitions have the same weight.
func partitionWeights(current map[ID]string, load Load, idleShare float64) map[ID]float64 {
	total := 0.0
	// The sum of floats depends on their order, so the order must be fixed.
	ids := sortedIDs(current)
	for _, id := range ids {
		total += max(load[id], 0)
	}
	weights := make(map[ID]float64, len(current))
	for _, id := range ids {
		if total == 0 {
			weights[id] = 1
			continue
		}
		weights[id] = max(load[id], 0) + idleShare*total/float64(len(ids))
	}
	return weights
}

func sortedIDs(current map[ID]string) []ID {
	ids := make([]ID, 0, len(current))
	for id := range current {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// addOwned adds a partition to those that t owns.
func (p *planner) addOwned(id ID, t *targetLoad) {
	t.weight += p.weights[id]
	t.owned = append(t.owned, id)
	p.domainWeights[t.Domain] += p.weights[id]
}

// transfer adds a move to the plan.
func (p *planner) transfer(id ID, from, to *targetLoad) {
	from.weight -= p.weights[id]
	from.owned = slices.DeleteFunc(from.owned, func(owned ID) bool { return owned == id })
	p.domainWeights[from.Domain] -= p.weights[id]
	p.addOwned(id, to)
	p.moved[id] = true
	p.moves = append(p.moves, Move{Partition: id, From: from.ID, To: to.ID})
}

// heaviestFirst returns the partitions in descending order of weight. In this order,
// greedy assignment gives nearly even loads.
func (p *planner) heaviestFirst(ids []ID) []ID {
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, func(a, b ID) int {
		return cmp.Or(cmp.Compare(p.weights[b], p.weights[a]), cmp.Compare(a, b))
	})
	return sorted
}

// lightest returns the accepting target that would have the lowest load with the extra
// weight; among equals, one in the domain with the lowest weight.
func (p *planner) lightest(extra float64) *targetLoad {
	return slices.MinFunc(p.accepting, func(a, b *targetLoad) int {
		return cmp.Or(
			cmp.Compare(a.ratio(extra), b.ratio(extra)),
			cmp.Compare(p.domainWeights[a.Domain], p.domainWeights[b.Domain]),
			cmp.Compare(a.ID, b.ID))
	})
}

func (p *planner) assignUnowned() {
	for _, id := range p.heaviestFirst(p.unowned) {
		to := p.lightest(p.weights[id])
		p.addOwned(id, to)
		p.moved[id] = true
		p.moves = append(p.moves, Move{Partition: id, To: to.ID})
	}
}

// isFixed reports whether the plan must not move the partition: it is pinned, or the plan
// has moved it already.
func (p *planner) isFixed(id ID) bool { return p.limits.Pinned[id] || p.moved[id] }

// drain plans moves away from targets that do not accept partitions.
func (p *planner) drain(maxMoves int) {
	for _, from := range p.targets {
		if from.Accepting {
			continue
		}
		for _, id := range p.heaviestFirst(from.owned) {
			if maxMoves <= 0 {
				return
			}
			if p.isFixed(id) {
				continue
			}
			p.transfer(id, from, p.lightest(p.weights[id]))
			maxMoves--
		}
	}
}

// balance plans moves from the target with the highest load to the one with the lowest,
// while one of the two differs from the mean by more than the threshold.
func (p *planner) balance(maxMoves int) {
	for ; maxMoves > 0; maxMoves-- {
		from := p.heaviest()
		mean := p.meanLoad()
		// The loads are compared as they are, without extra weight.
		to := p.lightest(0)
		overloaded := from.ratio(0) > mean*(1+p.limits.BalanceThreshold)
		underloaded := to.ratio(0) < mean*(1-p.limits.BalanceThreshold)
		if !overloaded && !underloaded {
			return
		}
		id, ok := p.bestMove(from, to)
		if !ok {
			return
		}
		p.transfer(id, from, to)
	}
}

// heaviest returns the accepting target with the highest load, without extra weight.
func (p *planner) heaviest() *targetLoad {
	return slices.MaxFunc(p.accepting, func(a, b *targetLoad) int {
		return cmp.Or(cmp.Compare(a.ratio(0), b.ratio(0)), cmp.Compare(b.ID, a.ID))
	})
}

// meanLoad returns the load of all accepting targets relative to their capacity.
func (p *planner) meanLoad() float64 {
	weight, capacity := 0.0, 0.0
	for _, t := range p.accepting {
		weight += t.weight
		capacity += t.Capacity
	}
	return weight / capacity
}

// minGain is the relative difference by which the new owner's load must stay below the
// previous load of the old owner. Without it, a partition that accounts for most of the
// difference would move back and forth as rates vary.
const minGain = 0.02

// bestMove returns the partition whose move minimizes the higher of the two loads. It
// returns false if no move reduces that load enough.
func (p *planner) bestMove(from, to *targetLoad) (ID, bool) {
	var best ID
	maxNewOwnerLoad := from.ratio(0) * (1 - minGain)
	lowest := from.ratio(0)
	found := false
	for _, id := range p.heaviestFirst(from.owned) {
		if p.isFixed(id) {
			continue
		}
		weight := p.weights[id]
		higher := max(from.ratio(-weight), to.ratio(weight))
		if to.ratio(weight) <= maxNewOwnerLoad && higher < lowest {
			best, lowest, found = id, higher, true
		}
	}
	return best, found
}
