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
	targets := []partition.Target{{ID: "a", Capacity: 10, Accepting: true}, {ID: "b", Capacity: 10, Accepting: true}}
	for _, m := range partition.Plan(current, targets, nil, partition.Limits{MaxBalanceMoves: 1}) {
		fmt.Println(m.Partition, m.To)
	}
	// Output: catalogue/2 b
}

// Guards against a release that maps a key to another partition than earlier releases.
func TestPartitionOfKeyIsStable(t *testing.T) {
	qt.Assert(t, partition.OfKey("clinic-17", 256), qt.Equals, partition.Number(189))
	h, ok := partition.ParseHash(partition.FormatHash(0x1f))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, h, qt.Equals, uint64(0x1f))
	_, ok = partition.ParseHash("1f")
	qt.Assert(t, ok, qt.IsFalse)
}

// planInput holds the arguments of Plan.
type planInput struct {
	current map[partition.ID]string
	targets []partition.Target
	load    partition.Load
	limits  partition.Limits
}

func drawPlanInput(t *rapid.T) planInput {
	in := planInput{current: map[partition.ID]string{}, load: partition.Load{}}
	owners := []string{"", "removed"}
	for i := range rapid.IntRange(1, 8).Draw(t, "targets") {
		name := fmt.Sprint("s", i)
		owners = append(owners, name)
		in.targets = append(in.targets, partition.Target{
			ID: name, Domain: fmt.Sprint("d", i%3),
			Capacity:  float64(rapid.IntRange(5, 20).Draw(t, "capacity")),
			Accepting: rapid.IntRange(0, 3).Draw(t, "accepting") > 0,
		})
	}
	for i := range rapid.IntRange(1, 64).Draw(t, "partitions") {
		id := partition.ID(fmt.Sprint("svc/", i))
		in.current[id] = rapid.SampledFrom(owners).Draw(t, "owner")
		in.load[id] = float64(rapid.IntRange(0, 100).Draw(t, "load"))
	}
	in.limits = partition.Limits{MaxBalanceMoves: rapid.IntRange(0, 5).Draw(t, "balance"), MaxDrainMoves: rapid.IntRange(0, 20).Draw(t, "drain")}
	return in
}

// Guards against partitions that stay unowned, more moves than the limits, moves to
// targets that do not accept partitions, two moves of one partition, and results that
// depend on map order.
func TestPlanIsValidAndDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawPlanInput(t)
		moves := partition.Plan(in.current, in.targets, in.load, in.limits)
		require(t, slices.Equal(partition.Plan(in.current, in.targets, in.load, in.limits), moves), "plan is not deterministic")
		accepting := map[string]bool{}
		known := map[string]bool{}
		for _, target := range in.targets {
			known[target.ID] = true
			if target.Accepting {
				accepting[target.ID] = true
			}
		}
		unowned, ownedMoves := 0, 0
		for _, owner := range in.current {
			if !known[owner] {
				unowned++
			}
		}
		moved := map[partition.ID]bool{}
		for _, m := range moves {
			require(t, !moved[m.Partition], "%s is moved twice", m.Partition)
			moved[m.Partition] = true
			require(t, accepting[m.To], "%s moves to %s, which does not accept partitions", m.Partition, m.To)
			if m.From == "" {
				unowned--
				continue
			}
			require(t, m.From == in.current[m.Partition], "%s does not own %s", m.From, m.Partition)
			ownedMoves++
		}
		if len(accepting) > 0 {
			require(t, unowned == 0, "%d partitions stay unowned", unowned)
		}
		require(t, ownedMoves <= in.limits.MaxBalanceMoves+in.limits.MaxDrainMoves, "%d moves of owned partitions", ownedMoves)
	})
}

// Guards against load that is not in proportion to capacity, and against more moves
// than an added target makes necessary.
func TestPlanBalancesWithFewMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "targets")
		const count = 256
		current := map[partition.ID]string{}
		for i := range count {
			current[partition.ID(fmt.Sprint("svc/", i))] = ""
		}
		var targets []partition.Target
		totalCapacity := 0.0
		for i := range n {
			capacity := float64(rapid.IntRange(10, 20).Draw(t, "capacity"))
			totalCapacity += capacity
			targets = append(targets, partition.Target{ID: fmt.Sprint("s", i), Capacity: capacity, Accepting: true})
		}
		applyPlan(current, targets, 0)
		requireEven(t, current, targets, totalCapacity)
		added := partition.Target{ID: "new", Capacity: 10, Accepting: true}
		moves := applyPlan(current, append(targets, added), count)
		fair := float64(count) * 10 / (totalCapacity + 10)
		require(t, float64(moves) <= 1.2*fair+float64(n), "%d moves, fair share is %f partitions", moves, fair)
		requireEven(t, current, append(targets, added), totalCapacity+10)
		require(t, applyPlan(current, append(targets, added), count) == 0, "a second plan moves partitions again")
	})
}

// applyPlan plans and applies at most maxBalanceMoves moves that balance load and the
// assignment of all unowned partitions. It returns the number of moves.
func applyPlan(current map[partition.ID]string, targets []partition.Target, maxBalanceMoves int) int {
	moves := partition.Plan(current, targets, nil, partition.Limits{MaxBalanceMoves: maxBalanceMoves})
	for _, m := range moves {
		current[m.Partition] = m.To
	}
	return len(moves)
}

// requireEven checks that each target owns a number of partitions in proportion to its
// capacity, with a tolerance of 10 % and one partition.
func requireEven(t *rapid.T, current map[partition.ID]string, targets []partition.Target, totalCapacity float64) {
	owned := map[string]int{}
	for _, owner := range current {
		owned[owner]++
	}
	for _, target := range targets {
		fair := float64(len(current)) * target.Capacity / totalCapacity
		got := float64(owned[target.ID])
		require(t, got <= fair*1.1+1 && got >= fair*0.9-1, "%s owns %f partitions, fair share is %f", target.ID, got, fair)
	}
}

// require replaces quicktest, which does not accept a rapid.T.
func require(t *rapid.T, ok bool, format string, args ...any) {
	if !ok {
		t.Fatalf(format, args...)
	}
}
