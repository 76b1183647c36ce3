package retry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against retries exceeding the saved-up capacity plus the ratio of
// requests, in any order of calls.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Ratio: rapid.Float64Range(0.01, 1).Draw(t, "ratio"), Capacity: rapid.IntRange(1, 50).Draw(t, "capacity")}
		b := NewBudget(o)
		requests, retries := 0, 0
		for _, deposit := range rapid.SliceOf(rapid.Bool()).Draw(t, "calls") {
			if deposit {
				b.Deposit()
				requests++
			} else if b.Withdraw() {
				retries++
			}
		}
		bound := float64(o.Capacity) + o.Ratio*float64(requests)
		if float64(retries) > bound+1e-6 {
			t.Fatalf("%d retries, bound %v", retries, bound)
		}
	})
}

// Guards against a delay outside [0, ceiling], and against overflow on large
// attempt numbers.
func TestDelayStaysWithinCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Backoff{Base: clock.Millis(rapid.Int64Range(0, 1<<40).Draw(t, "base")), Max: clock.Millis(rapid.Int64Range(0, 1<<50).Draw(t, "max"))}
		b.Random = func() float64 { return 0.999999999999 }
		attempt := rapid.IntRange(1, 1000).Draw(t, "attempt")
		d, next := b.ceiling(attempt), b.ceiling(attempt+1)
		if d < 0 || d > b.Max || next < d || b.Delay(attempt) > d {
			t.Fatalf("ceiling %d, next %d, delay %d", d, next, b.Delay(attempt))
		}
	})
}

func TestBudgetRefillsByRatio(t *testing.T) {
	b := NewBudget(Options{Ratio: 0.5, Capacity: 1})
	qt.Assert(t, b.Withdraw(), qt.IsTrue)
	b.Deposit()
	qt.Assert(t, b.Withdraw(), qt.IsFalse)
	b.Deposit()
	qt.Assert(t, b.Withdraw(), qt.IsTrue)
}

func BenchmarkDepositWithdraw(b *testing.B) {
	budget := NewBudget(Options{})
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			budget.Deposit()
			budget.Withdraw()
		}
	})
}

func ExampleBudget() {
	b := NewBudget(Options{Ratio: 0.1, Capacity: 2})
	fmt.Println(b.Withdraw(), b.Withdraw(), b.Withdraw())
	for range 10 {
		b.Deposit()
	}
	fmt.Println(b.Withdraw())
	// Output:
	// true true false
	// true
}
