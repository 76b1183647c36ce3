package keyrange

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

func incarnation(id string) message.Incarnation {
	return message.Incarnation{ID: message.InstanceID(id), StartTime: 1}
}

func equalTargets(ids ...string) []Target {
	var out []Target
	for _, id := range ids {
		out = append(out, Target{Incarnation: incarnation(id), Capacity: 100, Eligible: true})
	}
	return out
}

var unassigned = []message.Assignment{{From: 0, To: Keys - 1}}

// assignAll assigns unassigned keys to each target in turn.
func assignAll(assignments []message.Assignment, l *Loads, targets []Target) []message.Assignment {
	for _, target := range targets {
		assignments, _ = AssignUnassigned(assignments, l, targets, target.Incarnation)
	}
	return assignments
}

// ratios returns the ratio of load to share of each target.
func ratios(assignments []message.Assignment, l *Loads, targets []Target) map[string]float64 {
	load, share := loadsAndShares(assignments, l, targets)
	out := map[string]float64{}
	for _, target := range targets {
		out[string(target.Incarnation.ID)] = load[target.Incarnation] / share[target.Incarnation]
	}
	return out
}

// Guards against a target that gets the keys of all long requests because requests are counted
// without regard to their work: lookups of 30 ms go to the lower keys, exports of 300 ms, a
// tenth as many, to the upper ones.
func TestKeysAreDividedByWork(t *testing.T) {
	counter := LoadCounter{}
	busyMillis := func(from, to message.Key) (sum int) {
		for k := from; k <= to; k++ {
			if k < Keys/2 {
				sum += 30 * 10
			} else {
				sum += 300
			}
		}
		return sum
	}
	for k := range message.Key(Keys) {
		if k < Keys/2 {
			for range 10 {
				counter.Add(k, 30)
			}
		} else {
			counter.Add(k, 300)
		}
	}
	var loads Loads
	for _, l := range counter.Flush() {
		loads[l.Bucket] = float64(l.Work)
	}
	targets := equalTargets("a", "b")
	work := map[message.InstanceID]int{}
	for _, a := range assignAll(unassigned, &loads, targets) {
		work[a.Owner.ID] += busyMillis(a.From, a.To)
	}
	ratio := float64(work["a"]) / float64(work["b"])
	qt.Assert(t, ratio > 0.9 && ratio < 1.1, qt.IsTrue, qt.Commentf("work of the targets in ms: %v", work))
}

// Guards against keys that stay unassigned at the first start, and against one target
// that gets all keys.
func TestAllKeysAreAssignedEvenly(t *testing.T) {
	targets := equalTargets("a", "b", "c")
	assignments := assignAll(unassigned, &Loads{}, targets)
	for _, a := range assignments {
		qt.Assert(t, a.Owner.ID, qt.Not(qt.Equals), message.InstanceID(""))
	}
	for id, ratio := range ratios(assignments, &Loads{}, targets) {
		qt.Assert(t, ratio > 0.9 && ratio < 1.1, qt.IsTrue, qt.Commentf("load of %s is %.2f of its share", id, ratio))
	}
}

// Guards against busy keys that stay with one target. Busy keys lie close together, so
// ranges of equal size are not ranges of equal load.
func TestBusyRangeIsSpread(t *testing.T) {
	c := qt.New(t)
	targets := equalTargets("a", "b", "c", "d", "e")
	assignments := assignAll(unassigned, &Loads{}, targets)
	l := &Loads{}
	for b := 100; b < 140; b++ {
		l[b] = 5
	}
	moves := 0
	for range 20 {
		from, ok := MostOverloaded(assignments, l, targets)
		if !ok {
			break
		}
		scheduled := false
		for _, target := range targets {
			if assignments, scheduled = RebalanceTo(assignments, l, targets, from, target.Incarnation); scheduled {
				moves++
				assignments, _ = CompleteMoves(assignments, from, 0, nil, nil)
				break
			}
		}
		c.Assert(scheduled, qt.IsTrue)
	}
	for id, ratio := range ratios(assignments, l, targets) {
		c.Assert(ratio < 1.3, qt.IsTrue, qt.Commentf("load of %s is %.2f of its share after %d moves", id, ratio, moves))
	}
	c.Assert(moves < 12, qt.IsTrue)
}

// Guards against a target that keeps nearly all keys because they are fragmented and no
// range is large enough for a move. After a rolling restart, one of four targets owned
// nearly all keys for 14 s.
func TestFragmentedKeysAreSpread(t *testing.T) {
	c := qt.New(t)
	targets := equalTargets("a", "b", "c", "d")
	var assignments []message.Assignment
	for i := range 64 {
		assignments = append(assignments, message.Assignment{From: message.Key(i * 1024), To: message.Key(i*1024 + 1023), Owner: incarnation("a"), FencingToken: message.FencingToken(i + 1)})
	}
	l := &Loads{}
	for b := range l {
		l[b] = 0.1
	}
	assignments = settle(assignments, l, targets, 10)
	for id, ratio := range ratios(assignments, l, targets) {
		c.Assert(ratio < 1.2, qt.IsTrue, qt.Commentf("load of %s is %.2f of its share", id, ratio))
	}
}

// add adds load, spread evenly over a range of keys.
func (l *Loads) add(from, to int, perSecond float64) {
	for k := from; k <= to; k++ {
		l[k/KeysPerBucket] += perSecond / float64(to-from+1)
	}
}

// settle simulates rounds of heartbeats of all targets, in which keys move, until no
// target is overloaded or the given number of rounds is over.
func settle(assignments []message.Assignment, l *Loads, targets []Target, rounds int) []message.Assignment {
	for range rounds {
		from, ok := MostOverloaded(assignments, l, targets)
		if !ok {
			break
		}
		for _, target := range targets {
			assignments, _ = RebalanceTo(assignments, l, targets, from, target.Incarnation)
		}
		assignments, _ = CompleteMoves(assignments, from, 0, nil, nil)
	}
	return assignments
}

// Guards against buckets that are too large to spread a hot spot: a few neighbouring keys
// get a third of all requests, ten times what one target can serve.
func TestHotNeighboursAreSpread(t *testing.T) {
	for name, keys := range map[string]int{"200 keys": 200, "60 keys": 60} {
		t.Run(name, func(t *testing.T) {
			var ids []string
			for i := range 34 {
				ids = append(ids, fmt.Sprintf("s%d", i))
			}
			targets, l := equalTargets(ids...), &Loads{}
			l.add(0, Keys-1, 1250)
			assignments := assignAll(unassigned, l, targets)
			l.add(30_000, 30_000+keys-1, 650)
			for id, ratio := range ratios(settle(assignments, l, targets, 12), l, targets) {
				qt.Check(t, ratio < 1.5, qt.IsTrue, qt.Commentf("load of %s is %.2f of its share", id, ratio))
			}
		})
	}
}

// Guards against a planned move of the only keys that a target has while others still move to
// it, so that it is granted none although it is not leaving.
func TestPlannedMoveLeavesTargetItsLastKeys(t *testing.T) {
	a, b := incarnation("a"), incarnation("b")
	for name, lastOwned := range map[string]message.Key{"460 keys": 459, "one bucket": KeysPerBucket - 1, "less than a bucket": 1} {
		t.Run(name, func(t *testing.T) {
			targets, l := equalTargets("a", "b", "c"), &Loads{}
			l.add(0, int(lastOwned), 200)
			l.add(20_000, 20_459, 300) // moves to a
			l.add(40_000, 40_459, 200)
			assignments := []message.Assignment{
				{From: 0, To: lastOwned, Owner: a}, {From: lastOwned + 1, To: 19_999, Owner: b}, {From: 20_000, To: 20_459, Owner: b, NextOwner: a},
				{From: 20_460, To: Keys - 1, Owner: b},
			}
			from, ok := MostOverloaded(assignments, l, targets)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, from, qt.Equals, a)
			for range 3 {
				assignments, _ = RebalanceTo(assignments, l, targets, from, incarnation("c"))
				qt.Assert(t, Grants(assignments, a, nil), qt.Not(qt.HasLen), 0)
			}
		})
	}
}

// Guards against a key with more load than one target can serve that blocks all other
// moves: its owner stays the most loaded target no matter what else it gives up.
func TestOneHotKeyDoesNotBlockTheOthers(t *testing.T) {
	targets, l := equalTargets("a", "b", "c", "d", "e"), &Loads{}
	l.add(0, Keys-1, 500)
	assignments := assignAll(unassigned, l, targets)
	l.add(100, 100, 2000)      // owned by a
	l.add(20_000, 24_000, 300) // owned by b
	assignments = settle(assignments, l, targets, 12)
	rest := *l
	rest[100/KeysPerBucket] = 0
	load, _ := loadsAndShares(assignments, &rest, targets)
	for _, target := range targets {
		if target.Incarnation == incarnation("a") {
			qt.Check(t, load[target.Incarnation] < 60, qt.IsTrue, qt.Commentf("the owner of the hot key has %.0f requests per second for other keys", load[target.Incarnation]))
			continue
		}
		qt.Check(t, load[target.Incarnation] < 1.3*800/4, qt.IsTrue, qt.Commentf("%s has a load of %.0f requests per second", target.Incarnation.ID, load[target.Incarnation]))
	}
}

// Guards against a grant without a new fencing token, and against a lost handover token,
// without which requests for the keys are slow at the next owner.
func TestReleasedKeysGoToNextOwner(t *testing.T) {
	moving := message.Assignment{From: 0, To: 999, Owner: incarnation("a"), FencingToken: 7, NextOwner: incarnation("b"), Move: 20}
	rest := message.Assignment{From: 1000, To: Keys - 1, Owner: incarnation("a"), FencingToken: 7}
	released := []message.RangeGrant{{From: 0, To: 499, HandoverToken: "x"}, {From: 500, To: 999, HandoverToken: "y"}}
	tests := map[string]struct {
		answered message.Version
		reported []message.RangeGrant
		want     []message.Assignment
	}{
		"last answered before the move was scheduled": {answered: 19, want: []message.Assignment{moving, rest}},
		"still processes requests for some":           {answered: 20, reported: []message.RangeGrant{{From: 900, To: 1100, FencingToken: 7}}, want: []message.Assignment{moving, rest}},
		"released": {answered: 20, reported: []message.RangeGrant{{From: 1000, To: Keys - 1, FencingToken: 7}}, want: []message.Assignment{
			{From: 0, To: 499, Owner: incarnation("b"), HandoverToken: "x"}, {From: 500, To: 999, Owner: incarnation("b"), HandoverToken: "y"}, rest,
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, _ := CompleteMoves([]message.Assignment{moving, rest}, incarnation("a"), tt.answered, tt.reported, released)
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}

// Guards against a response to a heartbeat that is longer than targets accept, and against
// a handover token that is omitted before the next owner has the keys, which makes
// requests for them slow.
func TestGrantsOmitTokensOfReportedRanges(t *testing.T) {
	assignments := []message.Assignment{
		{From: 0, To: 99, Owner: incarnation("a"), FencingToken: 5, HandoverToken: "x"},
		{From: 100, To: 199, Owner: incarnation("a"), FencingToken: 9, HandoverToken: "y"},
		{From: 300, To: 399, Owner: incarnation("a"), FencingToken: 5, NextOwner: incarnation("b")},
		{From: 400, To: Keys - 1, Owner: incarnation("b"), FencingToken: 5},
	}
	tests := map[string]struct{ reported, want []message.RangeGrant }{
		"nothing reported yet":                 {nil, []message.RangeGrant{{From: 0, To: 99, FencingToken: 5, HandoverToken: "x"}, {From: 100, To: 199, FencingToken: 9, HandoverToken: "y"}}},
		"one reported":                         {[]message.RangeGrant{{From: 0, To: 99, FencingToken: 5}}, []message.RangeGrant{{From: 0, To: 99, FencingToken: 5}, {From: 100, To: 199, FencingToken: 9, HandoverToken: "y"}}},
		"reported with an older fencing token": {[]message.RangeGrant{{From: 100, To: 199, FencingToken: 7}}, []message.RangeGrant{{From: 0, To: 99, FencingToken: 5, HandoverToken: "x"}, {From: 100, To: 199, FencingToken: 9, HandoverToken: "y"}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, Grants(assignments, incarnation("a"), tt.reported), qt.DeepEquals, tt.want)
		})
	}
}

// relocateBusyRange places a busy range at 80 random positions, one after the other. It
// returns the final assignments and, for each position, the highest ratio of load to share
// of any target.
func relocateBusyRange(targets []Target) (assignments []message.Assignment, maxRatios []float64) {
	assignments = assignAll(unassigned, &Loads{}, targets)
	random := rand.New(rand.NewPCG(3, 4))
	for range 80 {
		l := &Loads{}
		l.add(0, Keys-1, 300)
		from := random.IntN(Keys - 300)
		l.add(from, from+60+random.IntN(200), 200)
		assignments = settle(assignments, l, targets, 6)
		maxRatios = append(maxRatios, slices.Max(slices.Collect(maps.Values(ratios(assignments, l, targets)))))
	}
	return assignments, maxRatios
}

// Guards against assignments whose number grows with every move. Once the response to a
// heartbeat is longer than the target accepts, the target loses all of its keys.
func TestManyMovesKeepAssignmentsBounded(t *testing.T) {
	targets := equalTargets("a", "b", "c", "d", "e")
	assignments, _ := relocateBusyRange(targets)
	for _, target := range targets {
		qt.Check(t, countAssignments(assignments, target.Incarnation) <= maxAssignments, qt.IsTrue, qt.Commentf("%s has %d assignments", target.Incarnation.ID, countAssignments(assignments, target.Incarnation)))
	}
}

// Guards against a busy range that stays with one target because the targets have reached
// their limit of assignments.
func TestBusyRangeIsSpreadAfterManyMoves(t *testing.T) {
	_, maxRatios := relocateBusyRange(equalTargets("a", "b", "c", "d", "e"))
	last := maxRatios[len(maxRatios)-10:]
	slices.Sort(last)
	qt.Check(t, last[len(last)/2] < 1.5, qt.IsTrue, qt.Commentf("highest ratio of load to share for each of the last ten positions: %.2f", last))
}

// Guards against keys that move to a target that has begun to leave and then have to move
// once more, for which an evacuation has no time.
func TestMoveToLeavingTargetIsRedirected(t *testing.T) {
	a, b, c := incarnation("a"), incarnation("b"), incarnation("c")
	targets := equalTargets("a", "b", "c")
	targets[1].Eligible = false
	assignments := []message.Assignment{{From: 0, To: 99, Owner: a, NextOwner: b, Move: 7}, {From: 100, To: Keys - 1, Owner: a}}
	out, scheduled := Vacate(assignments, &Loads{}, targets, b)
	qt.Assert(t, scheduled, qt.IsTrue)
	qt.Check(t, out[0], qt.Equals, message.Assignment{From: 0, To: 99, Owner: a, NextOwner: c, Move: 7})
}

// Guards against a sequence of decisions after which a key has no assignment or two.
func TestAssignmentsCoverEachKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := equalTargets("a", "b", "c", "d")
		for i := range targets {
			targets[i].Capacity = rapid.Float64Range(1, 100).Draw(t, "capacity")
			targets[i].Eligible = rapid.IntRange(0, 3).Draw(t, "eligible") > 0
		}
		l := &Loads{}
		for range 30 {
			l[rapid.IntRange(0, Buckets-1).Draw(t, "bucket")] = rapid.Float64Range(0, 50).Draw(t, "load")
		}
		assignments := unassigned
		for range 20 {
			from := targets[rapid.IntRange(0, 3).Draw(t, "from")].Incarnation
			to := targets[rapid.IntRange(0, 3).Draw(t, "to")].Incarnation
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				assignments, _ = AssignUnassigned(assignments, l, targets, from)
			case 1:
				assignments, _ = RebalanceTo(assignments, l, targets, from, to)
			case 2:
				assignments, _ = Vacate(assignments, l, targets, from)
			case 3:
				lastReleased := message.Key(rapid.IntRange(0, Keys-1).Draw(t, "last released"))
				assignments, _ = CompleteMoves(assignments, from, 0, nil, []message.RangeGrant{{From: 0, To: lastReleased, HandoverToken: "h"}})
			}
			next := message.Key(0)
			for _, a := range assignments {
				if a.From != next || a.To < a.From {
					t.Fatalf("assignments do not cover each key once: %+v", assignments)
				}
				next = a.To + 1
			}
			if next != Keys {
				t.Fatalf("assignments end before key %d", next)
			}
		}
	})
}
