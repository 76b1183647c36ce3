package partition_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/pkg/partition"
)

func ExamplePlan() {
	current := map[partition.ID]string{"catalogue/0": "a", "catalogue/1": "a", "catalogue/2": ""}
	servers := []partition.Target{{ID: "a", Capacity: 10, Accepting: true}, {ID: "b", Capacity: 10, Accepting: true}}
	for _, m := range partition.Plan(current, servers, nil, partition.Limits{MaxBalanceMoves: 1}) {
		fmt.Println(m.Partition, m.To)
	}
	// Output: catalogue/2 b
}

// Guards against two releases that place the same key differently.
func TestOfIsStable(t *testing.T) {
	qt.Assert(t, partition.OfKey("clinic-17", 256), qt.Equals, partition.Number(189))
	h, ok := partition.ParseHash(partition.FormatHash(0x1f))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, h, qt.Equals, uint64(0x1f))
	_, ok = partition.ParseHash("1f")
	qt.Assert(t, ok, qt.IsFalse)
}

type situation struct {
	current map[partition.ID]string
	servers []partition.Target
	load    partition.Load
	limits  partition.Limits
}

func draw(t *rapid.T) situation {
	s := situation{current: map[partition.ID]string{}, load: partition.Load{}}
	names := []string{"", "gone"}
	for i := range rapid.IntRange(1, 8).Draw(t, "servers") {
		name := fmt.Sprint("s", i)
		names = append(names, name)
		s.servers = append(s.servers, partition.Target{
			ID: name, Domain: fmt.Sprint("d", i%3),
			Capacity:  float64(rapid.IntRange(5, 20).Draw(t, "capacity")),
			Accepting: rapid.IntRange(0, 3).Draw(t, "accepting") > 0,
		})
	}
	for i := range rapid.IntRange(1, 64).Draw(t, "partitions") {
		id := partition.ID(fmt.Sprint("svc/", i))
		s.current[id] = rapid.SampledFrom(names).Draw(t, "owner")
		s.load[id] = float64(rapid.IntRange(0, 100).Draw(t, "load"))
	}
	s.limits = partition.Limits{MaxBalanceMoves: rapid.IntRange(0, 5).Draw(t, "balance"), MaxDrainMoves: rapid.IntRange(0, 20).Draw(t, "drain")}
	return s
}

// Guards against partitions left without an owner, moves past the budget, moves
// to servers that leave, double moves, and results that depend on map order.
func TestPlanKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := draw(t)
		moves := partition.Plan(s.current, s.servers, s.load, s.limits)
		require(t, slices.Equal(partition.Plan(s.current, s.servers, s.load, s.limits), moves), "plan is not deterministic")
		accepting := map[string]bool{}
		known := map[string]bool{}
		for _, v := range s.servers {
			known[v.ID] = true
			if v.Accepting {
				accepting[v.ID] = true
			}
		}
		unowned, planned := 0, 0
		for _, o := range s.current {
			if !known[o] {
				unowned++
			}
		}
		seen := map[partition.ID]bool{}
		for _, m := range moves {
			require(t, !seen[m.Partition], "%s moves twice", m.Partition)
			seen[m.Partition] = true
			require(t, accepting[m.To], "%s goes to %s, which accepts nothing", m.Partition, m.To)
			if m.From == "" {
				unowned--
				continue
			}
			require(t, m.From == s.current[m.Partition], "%s does not own %s", m.From, m.Partition)
			planned++
		}
		if len(accepting) > 0 {
			require(t, unowned == 0, "%d partitions stay unowned", unowned)
		}
		require(t, planned <= s.limits.MaxBalanceMoves+s.limits.MaxDrainMoves, "%d planned moves", planned)
	})
}

// Guards against uneven load by capacity, and against more moves than the loss
// or the arrival of one server makes necessary.
func TestPlanIsNearEvenWithLittleChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "servers")
		const count = 256
		current := map[partition.ID]string{}
		for i := range count {
			current[partition.ID(fmt.Sprint("svc/", i))] = ""
		}
		var servers []partition.Target
		total := 0.0
		for i := range n {
			c := float64(rapid.IntRange(10, 20).Draw(t, "capacity"))
			total += c
			servers = append(servers, partition.Target{ID: fmt.Sprint("s", i), Capacity: c, Accepting: true})
		}
		run(current, servers, 0)
		requireEven(t, current, servers, total)
		added := partition.Target{ID: "new", Capacity: 10, Accepting: true}
		moves := run(current, append(servers, added), count)
		fair := float64(count) * 10 / (total + 10)
		require(t, float64(moves) <= 1.2*fair+float64(n), "%d moves, %f fair", moves, fair)
		requireEven(t, current, append(servers, added), total+10)
		require(t, run(current, append(servers, added), count) == 0, "a second plan moves again")
	})
}

func run(current map[partition.ID]string, servers []partition.Target, budget int) int {
	moves := partition.Plan(current, servers, nil, partition.Limits{MaxBalanceMoves: budget})
	for _, m := range moves {
		current[m.Partition] = m.To
	}
	return len(moves)
}

func requireEven(t *rapid.T, current map[partition.ID]string, servers []partition.Target, total float64) {
	owned := map[string]int{}
	for _, o := range current {
		owned[o]++
	}
	for _, s := range servers {
		fair := float64(len(current)) * s.Capacity / total
		got := float64(owned[s.ID])
		require(t, got <= fair*1.1+1 && got >= fair*0.9-1, "%s owns %f, fair is %f", s.ID, got, fair)
	}
}

// require stands in for quicktest, which rapid.T does not satisfy.
func require(t *rapid.T, ok bool, format string, args ...any) {
	if !ok {
		t.Fatalf(format, args...)
	}
}
