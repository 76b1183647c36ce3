package policies

import (
	"math/rand/v2"
	"slices"

	"github.com/gentiansail/gentiansail/pkg/balance"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// chooser selects the target of each request at one ingress node. begin and end are
// called when a request is sent to a target and when it has ended.
type chooser struct {
	update func([]balance.Target)
	pick   func(key int, exclude func(string) bool) (string, bool)
	begin  func(string)
	end    func(string, balance.Result)
}

// newChooser returns the chooser of one ingress node.
type newChooser func(c clock.Clock, r *rand.Rand) chooser

// members is the state shared by the choosers of all baselines.
type members struct {
	targets  []balance.Target
	inFlight map[string]int
}

// chooser returns a chooser that calls pick with the targets that are not excluded.
func (m *members) chooser(pick func(candidates []balance.Target) string) chooser {
	m.inFlight = make(map[string]int)
	return chooser{
		update: func(t []balance.Target) { m.targets = slices.Clone(t) },
		begin:  func(id string) { m.inFlight[id]++ },
		end:    func(id string, _ balance.Result) { m.inFlight[id]-- },
		pick: func(_ int, exclude func(string) bool) (string, bool) {
			candidates := slices.DeleteFunc(slices.Clone(m.targets), func(t balance.Target) bool { return exclude(t.ID) })
			if len(candidates) == 0 {
				return "", false
			}
			return pick(candidates), true
		},
	}
}

func randomChoice(_ clock.Clock, r *rand.Rand) chooser {
	var m members
	return m.chooser(func(candidates []balance.Target) string { return candidates[r.IntN(len(candidates))].ID })
}

func roundRobin(_ clock.Clock, r *rand.Rand) chooser {
	var m members
	next := r.IntN(1000)
	return m.chooser(func(candidates []balance.Target) string {
		next++
		return candidates[next%len(candidates)].ID
	})
}

// twoChoices draws two targets and selects the one with fewer requests in flight from
// this ingress node.
func twoChoices(_ clock.Clock, r *rand.Rand) chooser {
	var m members
	return m.chooser(func(candidates []balance.Target) string {
		a, b := candidates[r.IntN(len(candidates))].ID, candidates[r.IntN(len(candidates))].ID
		if m.inFlight[b] < m.inFlight[a] {
			return b
		}
		return a
	})
}

// balancePicker selects targets with pkg/balance.
func balancePicker(c clock.Clock, r *rand.Rand) chooser {
	p := balance.New(balance.Options{Clock: c, Random: r.Float64})
	return chooser{
		update: p.Update,
		begin:  p.Begin,
		end:    p.End,
		pick:   func(_ int, exclude func(string) bool) (string, bool) { return p.Pick(exclude) },
	}
}
