package balance

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a comparison that prefers a target that is worse in one respect and
// equal in all others, and against costs that cannot be compared (NaN, zero).
func TestCostGrowsWithLoadLatencyAndErrors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := view{
			observation: observation{
				latency:          rapid.Float64Range(0, 1e5).Draw(t, "latency"),
				errorRate:        rapid.Float64Range(0, 1).Draw(t, "errorRate"),
				reportedInFlight: rapid.Float64Range(0, 1e4).Draw(t, "reportedInFlight"),
			},
			inFlight: float64(rapid.IntRange(0, 1000).Draw(t, "inFlight")),
			capacity: rapid.Float64Range(0.1, 1000).Draw(t, "capacity"),
		}
		now := clock.Millis(rapid.IntRange(0, 1e6).Draw(t, "now"))
		slower, failing, busier, smaller := v, v, v, v
		slower.latency *= 2
		failing.errorRate = min(1, v.errorRate+0.1)
		busier.inFlight++
		smaller.capacity /= 2
		if !(v.cost(now, 1) > 0) {
			t.Fatalf("cost %v of %+v", v.cost(now, 1), v)
		}
		for _, worse := range []view{slower, failing, busier, smaller} {
			if isBetter(worse, v, now) {
				t.Fatalf("%+v counts as better than %+v", worse, v)
			}
		}
		idle := view{observation: observation{latency: v.latency}, capacity: 1}
		slower = idle
		slower.latency = max(idle.latency, 1) * 2
		if !isBetter(idle, slower, now) {
			t.Fatalf("%+v does not count as better than %+v", idle, slower)
		}
	})
}

// Guards against a higher speed for a slower target than for a faster one, and against
// a speed outside [0.1, 1].
func TestSpeedFallsWithLatency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latencies := rapid.MapOf(rapid.String(), rapid.Float64Range(0, 1e6)).Draw(t, "latencies")
		speeds := RelativeSpeeds(latencies)
		for a, latencyA := range latencies {
			for b, latencyB := range latencies {
				if !(speeds[a] >= minSpeed && speeds[a] <= 1) || (latencyA > 0 && latencyA < latencyB && speeds[a] < speeds[b]) {
					t.Fatalf("speeds %v for latencies %v", speeds, latencies)
				}
			}
		}
	})
}

// Guards against a Pick that returns an excluded or removed target, or none although one
// is eligible.
func TestPickHonoursExclusion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "random"), 1))
		p := New(Options{Clock: clock.NewManual(0).Clock(), Random: random.Float64})
		eligible := map[string]bool{}
		var targets []Target
		for i := range rapid.IntRange(0, 8).Draw(t, "targets") {
			id := strconv.Itoa(i)
			targets = append(targets, Target{ID: id, Capacity: rapid.Float64Range(-1, 20).Draw(t, "capacity"), Cold: rapid.Bool().Draw(t, "cold")})
			if rapid.Bool().Draw(t, "eligible") {
				eligible[id] = true
			}
		}
		p.Update([]Target{{ID: "removed", Capacity: 100}})
		p.Update(targets)
		id, ok := p.Pick(func(id string) bool { return !eligible[id] })
		if ok != (len(eligible) > 0) || (ok && !eligible[id]) {
			t.Fatalf("picked %q (%v) of the eligible targets %v", id, ok, eligible)
		}
	})
}

// Guards against a slow, failing, overloaded or cold target that receives its full share
// of requests.
func TestWorseTargetReceivesLess(t *testing.T) {
	tests := map[string]struct {
		result Result
		cold   bool
	}{
		"slow":       {result: Result{Latency: 100}},
		"failing":    {result: Result{Latency: 1, Failed: true}},
		"shedding":   {result: Result{Latency: 1, Shed: true}},
		"overloaded": {result: Result{Latency: 10, InFlight: 50, Limit: 10}},
		"cold":       {result: Result{Latency: 10}, cold: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			p := New(Options{Clock: clock.NewManual(0).Clock(), Random: random.Float64})
			p.Update([]Target{{ID: "good", Capacity: 10}, {ID: "fair", Capacity: 10}, {ID: "worse", Capacity: 10, Cold: tt.cold}})
			picks := map[string]int{}
			for range 3000 {
				id, _ := p.Pick(nil)
				picks[id]++
				p.Begin(id)
				r := Result{Latency: 10}
				if id == "worse" {
					r = tt.result
				}
				p.End(id, r)
			}
			qt.Assert(t, picks["worse"] < 500, qt.IsTrue, qt.Commentf("picks: %v", picks))
		})
	}
}

func BenchmarkPickBeginEnd(b *testing.B) {
	p := New(Options{Clock: clock.System()})
	var targets []Target
	for i := range 100 {
		targets = append(targets, Target{ID: strconv.Itoa(i), Capacity: float64(10 + i%3)})
	}
	p.Update(targets)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id, _ := p.Pick(nil)
			p.Begin(id)
			p.End(id, Result{Latency: 10})
		}
	})
}

func ExamplePicker() {
	p := New(Options{Clock: clock.System()})
	p.Update([]Target{{ID: "refunds-1", Capacity: 20}, {ID: "refunds-2", Capacity: 20}})
	id, ok := p.Pick(func(id string) bool { return id == "refunds-1" })
	p.Begin(id)
	p.End(id, Result{Latency: 7})
	fmt.Println(id, ok)
	// Output: refunds-2 true
}
