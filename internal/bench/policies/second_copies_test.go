package policies

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func findCopyTrouble(t *testing.T, name string) copyTrouble {
	for _, v := range copyTroubles() {
		if v.name == name {
			return v
		}
	}
	t.Fatalf("no trouble %q", name)
	return copyTrouble{}
}

// Guards against second copies that cost anyone a place: at 95 % load there must be none, and
// below that no more than the limit allows.
func TestExtraRunsEndWithLoad(t *testing.T) {
	with := copyPolicy{ratio: 0.2}
	for _, name := range []string{"calm", "slow neighbours"} {
		trouble := findCopyTrouble(t, name)
		full := simulateCopies(trouble, with, 0.95, 1)
		none := simulateCopies(trouble, copyPolicy{}, 0.95, 1)
		qt.Check(t, full.runs, qt.Equals, none.runs, qt.Commentf("%s", name))
		light := simulateCopies(trouble, with, 0.3, 1)
		limit := float64(light.requests)*(1+with.ratio) + copyTargets
		qt.Check(t, light.runs > light.requests && float64(light.runs) <= limit, qt.IsTrue, qt.Commentf("%s: %d runs of %d requests", name, light.runs, light.requests))
	}
}

// Guards against second copies that do not shorten the slowest answers at light load, when
// targets are slow for a while.
func TestSecondCopiesShortenSlowestAnswers(t *testing.T) {
	trouble := findCopyTrouble(t, "slow neighbours")
	slowest := func(p copyPolicy) (p99, p999 float64) {
		c := runCopySeeds(trouble, p, 0.3, Options{Seed: 1, Seeds: 3})
		qt.Assert(t, c.answered, qt.Equals, c.requests)
		slices.Sort(c.latencies)
		return quantile(c.latencies, 0.99), quantile(c.latencies, 0.999)
	}
	p99, p999 := slowest(copyPolicy{})
	for _, ratio := range []float64{0.05, 0.2} {
		p99WithCopies, p999WithCopies := slowest(copyPolicy{ratio: ratio})
		qt.Check(t, p99WithCopies < p99, qt.IsTrue, qt.Commentf("%v: %v, %v", ratio, p99WithCopies, p99))
		qt.Check(t, p999WithCopies < p999, qt.IsTrue, qt.Commentf("%v: %v, %v", ratio, p999WithCopies, p999))
	}
}

// Guards against a model whose result depends on anything but the seed.
func TestSameSeedSameCopies(t *testing.T) {
	run := func() string {
		return copyRow(0.6, "", simulateCopies(findCopyTrouble(t, "paused target"), copyPolicy{ratio: 0.2}, 0.6, 7))
	}
	qt.Assert(t, run(), qt.Equals, run())
}
