package hotkey

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a true decayed rate outside [Rate − MaxError, Rate] for a reported key,
// for any order and times of requests.
func TestRatesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := clock.NewManual(0)
		halfLife := clock.Millis(rapid.IntRange(1, 2000).Draw(t, "halfLife"))
		s := New(rapid.IntRange(1, 200).Draw(t, "capacity"), halfLife, m.Clock())
		trueCounts := map[uint64]float64{}
		keys := rapid.Uint64Range(0, 40)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			step := clock.Millis(rapid.IntRange(0, 300).Draw(t, "step"))
			m.Advance(step)
			for k := range trueCounts {
				trueCounts[k] *= math.Exp2(-float64(step) / float64(halfLife))
			}
			k := keys.Draw(t, "key")
			s.Observe(k)
			trueCounts[k]++
		}
		for _, item := range s.Top(1000) {
			rate := trueCounts[item.Key] * 1000 * math.Ln2 / float64(halfLife)
			// After a thousand half-lives, values near the smallest float64 lose precision.
			const tolerance = 1e-300
			if rate > item.Rate*(1+1e-9)+tolerance || rate < (item.Rate-item.MaxError)*(1-1e-9)-1e-9*item.Rate-tolerance {
				t.Fatalf("key %d: true rate %v, reported %v with maximum error %v", item.Key, rate, item.Rate, item.MaxError)
			}
		}
	})
}

// Guards against the loss of a key with more than 1/counters of all requests, which the
// space-saving algorithm guarantees to keep.
func TestFrequentKeyIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := clock.NewManual(0)
		s := New(20, 1000, m.Clock())
		hot := rapid.Uint64().Draw(t, "hot")
		for i, k := range rapid.SliceOfN(rapid.Uint64(), 50, 200).Draw(t, "keys") {
			s.Observe(k)
			if i%4 == 0 {
				s.Observe(hot)
				s.Observe(hot)
			}
		}
		if top := s.Top(1); top[0].Key != hot {
			t.Fatalf("most frequent key is %d, want %d", top[0].Key, hot)
		}
	})
}

func BenchmarkObserveZipf(b *testing.B) {
	s := New(1024, 5000, clock.System())
	b.RunParallel(func(p *testing.PB) {
		z := rand.NewZipf(rand.New(rand.NewPCG(1, rand.Uint64())), 1.1, 1, 1_000_000)
		for p.Next() {
			s.Observe(z.Uint64() * 0x9e3779b97f4a7c15)
		}
	})
}

func ExampleSketch() {
	m := clock.NewManual(0)
	s := New(64, 1000, m.Clock())
	for range 3 {
		s.Observe(7)
	}
	s.Observe(8)
	fmt.Println(s.Top(1)[0].Key)
	m.Advance(10_000)
	s.Observe(8)
	fmt.Println(s.Top(1)[0].Key)
	// Output:
	// 7
	// 8
}
