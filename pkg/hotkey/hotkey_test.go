package hotkey

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a rate outside its stated bounds: the true decayed rate lies in
// [Rate − MaxError, Rate] for each reported key, whatever the order and times.
func TestRatesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := clock.NewManual(0)
		halfLife := clock.Millis(rapid.IntRange(1, 2000).Draw(t, "halfLife"))
		s := New(rapid.IntRange(1, 200).Draw(t, "capacity"), halfLife, m.Clock())
		exact := map[uint64]float64{}
		keys := rapid.Uint64Range(0, 40)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			step := clock.Millis(rapid.IntRange(0, 300).Draw(t, "step"))
			m.Advance(step)
			for k := range exact {
				exact[k] *= math.Exp2(-float64(step) / float64(halfLife))
			}
			k := keys.Draw(t, "key")
			s.Observe(k)
			exact[k]++
		}
		for _, i := range s.Top(1000) {
			rate := exact[i.Key] * 1000 * math.Ln2 / float64(halfLife)
			// After a thousand half-lives the numbers lose digits near the least float64.
			const least = 1e-300
			if rate > i.Rate*(1+1e-9)+least || rate < (i.Rate-i.MaxError)*(1-1e-9)-1e-9*i.Rate-least {
				t.Fatalf("key %d: true rate %v, reported %v with error %v", i.Key, rate, i.Rate, i.MaxError)
			}
		}
	})
}

// Guards against losing a key whose part of the traffic is above 1/counters,
// which space saving promises to keep.
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
			t.Fatalf("top is %d, want %d", top[0].Key, hot)
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
