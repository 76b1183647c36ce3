package partition

import (
	"cmp"
	"slices"
)

// Target is a possible owner.
type Target struct {
	// ID is unique among the servers of one call.
	ID string
	// Domain is the server's failure domain.
	Domain string
	// Capacity is the server's share of load relative to the others; a value
	// of zero or less counts as a very small one.
	Capacity float64
	// Accepting is false for a server that should lose its partitions.
	Accepting bool
}

// Load is the request rate of each partition, in any one unit.
type Load map[ID]float64

// Limits bound the planned moves of one call. Unowned partitions are assigned
// in addition.
type Limits struct {
	// MaxBalanceMoves is the largest number of moves that even out load.
	MaxBalanceMoves int
	// MaxDrainMoves is the largest number of moves away from servers that accept no
	// more work or are gone.
	MaxDrainMoves int
	// Pinned partitions are counted where they are and stay there.
	Pinned map[ID]bool
	// BalanceThreshold is the relative excess over the mean from which a server's load
	// is evened out; zero stands for DefaultBalanceThreshold.
	BalanceThreshold float64
	// IdleShare is the weight of a partition without any load, relative to the
	// mean load; zero stands for DefaultIdleShare. A caller whose figures rest on
	// few requests passes a larger one, so that chance moves no keys.
	IdleShare float64
}

// DefaultBalanceThreshold keeps ordinary variation of request rates from moving keys.
const DefaultBalanceThreshold = 0.1

// DefaultIdleShare spreads idle partitions, which may become busy, by their
// number.
const DefaultIdleShare = 0.2

// minCapacity stands in for capacities of zero or less.
const minCapacity = 1e-6

// Move gives a partition to a server. From is empty for a partition that has no
// owner.
type Move struct {
	Partition ID
	From      string
	To        string
}

// Plan proposes moves from the current owners; an empty owner, or one that is
// not among the servers, means that the partition is unowned. It is
// deterministic.
func Plan(current map[ID]string, servers []Target, load Load, l Limits) []Move {
	p := newPlanner(current, servers, load, l)
	if len(p.accepting) == 0 {
		return nil
	}
	p.assignUnowned()
	p.drain(l.MaxDrainMoves)
	p.balance(l.MaxBalanceMoves)
	return p.moves
}

type server struct {
	Target
	weight float64
	owned  []ID
}

func (s *server) ratio(extra float64) float64 { return (s.weight + extra) / s.Capacity }

type planner struct {
	limits    Limits
	weights   map[ID]float64
	servers   []*server
	accepting []*server
	domains   map[string]float64
	unowned   []ID
	moved     map[ID]bool
	moves     []Move
}

func newPlanner(current map[ID]string, servers []Target, load Load, l Limits) *planner {
	if l.BalanceThreshold == 0 {
		l.BalanceThreshold = DefaultBalanceThreshold
	}
	if l.IdleShare == 0 {
		l.IdleShare = DefaultIdleShare
	}
	p := &planner{limits: l, weights: weigh(current, load, l.IdleShare), domains: make(map[string]float64), moved: make(map[ID]bool)}
	byID := p.addServers(servers)
	for _, id := range sortedIDs(current) {
		s, ok := byID[current[id]]
		if !ok {
			p.unowned = append(p.unowned, id)
			continue
		}
		p.place(id, s)
	}
	return p
}

func (p *planner) addServers(servers []Target) map[string]*server {
	byID := make(map[string]*server, len(servers))
	for _, s := range servers {
		s.Capacity = max(s.Capacity, minCapacity)
		byID[s.ID] = &server{Target: s}
	}
	for _, s := range byID {
		p.servers = append(p.servers, s)
	}
	slices.SortFunc(p.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range p.servers {
		if s.Accepting {
			p.accepting = append(p.accepting, s)
		}
	}
	return byID
}

func weigh(current map[ID]string, load Load, idleShare float64) map[ID]float64 {
	total := 0.0
	// Sums of floats depend on their order, so the order must be fixed.
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

func (p *planner) place(id ID, s *server) {
	s.weight += p.weights[id]
	s.owned = append(s.owned, id)
	p.domains[s.Domain] += p.weights[id]
}

func (p *planner) transfer(id ID, from, to *server) {
	from.weight -= p.weights[id]
	from.owned = slices.DeleteFunc(from.owned, func(o ID) bool { return o == id })
	p.domains[from.Domain] -= p.weights[id]
	p.place(id, to)
	p.moved[id] = true
	p.moves = append(p.moves, Move{Partition: id, From: from.ID, To: to.ID})
}

// heaviestFirst orders partitions so that greedy placement ends near even.
func (p *planner) heaviestFirst(ids []ID) []ID {
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, func(a, b ID) int {
		return cmp.Or(cmp.Compare(p.weights[b], p.weights[a]), cmp.Compare(a, b))
	})
	return sorted
}

// lightest returns the accepting server that would have the lowest load with
// the extra weight; among equals, the one whose domain has the lowest load.
func (p *planner) lightest(extra float64) *server {
	return slices.MinFunc(p.accepting, func(a, b *server) int {
		return cmp.Or(
			cmp.Compare(a.ratio(extra), b.ratio(extra)),
			cmp.Compare(p.domains[a.Domain], p.domains[b.Domain]),
			cmp.Compare(a.ID, b.ID))
	})
}

func (p *planner) assignUnowned() {
	for _, id := range p.heaviestFirst(p.unowned) {
		to := p.lightest(p.weights[id])
		p.place(id, to)
		p.moved[id] = true
		p.moves = append(p.moves, Move{Partition: id, To: to.ID})
	}
}

func (p *planner) fixed(id ID) bool { return p.limits.Pinned[id] || p.moved[id] }

func (p *planner) drain(budget int) {
	for _, from := range p.servers {
		if from.Accepting {
			continue
		}
		for _, id := range p.heaviestFirst(from.owned) {
			if budget <= 0 {
				return
			}
			if p.fixed(id) {
				continue
			}
			p.transfer(id, from, p.lightest(p.weights[id]))
			budget--
		}
	}
}

func (p *planner) balance(budget int) {
	for ; budget > 0; budget-- {
		from := p.heaviest()
		mean := p.mean()
		to := p.lightest(0)
		excess := from.ratio(0) > mean*(1+p.limits.BalanceThreshold)
		lack := to.ratio(0) < mean*(1-p.limits.BalanceThreshold)
		if !excess && !lack {
			return
		}
		id, ok := p.bestMove(from, to)
		if !ok {
			return
		}
		p.transfer(id, from, to)
	}
}

func (p *planner) heaviest() *server {
	return slices.MaxFunc(p.accepting, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.ratio(0), b.ratio(0)), cmp.Compare(b.ID, a.ID))
	})
}

func (p *planner) mean() float64 {
	weight, capacity := 0.0, 0.0
	for _, s := range p.accepting {
		weight += s.weight
		capacity += s.Capacity
	}
	return weight / capacity
}

// minGain is the relative distance by which the new owner's load must stay below
// the load that the old owner had. Without it, a partition that makes up most of
// the difference would move back and forth as rates vary.
const minGain = 0.02

// bestMove returns the partition whose move leaves the lowest higher load.
func (p *planner) bestMove(from, to *server) (ID, bool) {
	var best ID
	limit := from.ratio(0) * (1 - minGain)
	lowest := from.ratio(0)
	found := false
	for _, id := range p.heaviestFirst(from.owned) {
		if p.fixed(id) {
			continue
		}
		w := p.weights[id]
		higher := max(from.ratio(-w), to.ratio(w))
		if to.ratio(w) <= limit && higher < lowest {
			best, lowest, found = id, higher, true
		}
	}
	return best, found
}
