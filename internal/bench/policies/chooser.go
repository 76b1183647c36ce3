package policies

import (
	"math/rand/v2"
	"slices"

	"github.com/gentiansail/gentiansail/pkg/balance"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// chooser chooses the target of a request at one ingress node.
type chooser struct {
	update func([]balance.Target)
	pick   func(key int, exclude func(string) bool) (string, bool)
	begin  func(string)
	end    func(string, balance.Result)
}

// newChooser makes the chooser of one ingress node.
type newChooser func(c clock.Clock, r *rand.Rand) chooser

// members is the state that all baselines need.
type members struct {
	targets  []balance.Target
	inFlight map[string]int
}

func (m *members) chooser(pick func(usable []balance.Target) string) chooser {
	m.inFlight = make(map[string]int)
	return chooser{
		update: func(t []balance.Target) { m.targets = slices.Clone(t) },
		begin:  func(id string) { m.inFlight[id]++ },
		end:    func(id string, _ balance.Result) { m.inFlight[id]-- },
		pick: func(_ int, exclude func(string) bool) (string, bool) {
			usable := slices.DeleteFunc(slices.Clone(m.targets), func(t balance.Target) bool { return exclude(t.ID) })
			if len(usable) == 0 {
				return "", false
			}
			return pick(usable), true
		},
	}
}

func randomChoice(_ clock.Clock, r *rand.Rand) chooser {
	var m members
	return m.chooser(func(usable []balance.Target) string { return usable[r.IntN(len(usable))].ID })
}

func roundRobin(_ clock.Clock, r *rand.Rand) chooser {
	var m members
	next := r.IntN(1000)
	return m.chooser(func(usable []balance.Target) string {
		next++
		return usable[next%len(usable)].ID
	})
}

// twoChoices draws two targets and takes the one with fewer requests in flight
// from this ingress node.
func twoChoices(_ clock.Clock, r *rand.Rand) chooser {
	var m members
	return m.chooser(func(usable []balance.Target) string {
		a, b := usable[r.IntN(len(usable))].ID, usable[r.IntN(len(usable))].ID
		if m.inFlight[b] < m.inFlight[a] {
			return b
		}
		return a
	})
}

func picker(c clock.Clock, r *rand.Rand) chooser {
	p := balance.New(balance.Options{Clock: c, Random: r.Float64})
	return chooser{
		update: p.Update,
		begin:  p.Begin,
		end:    p.End,
		pick:   func(_ int, exclude func(string) bool) (string, bool) { return p.Pick(exclude) },
	}
}
