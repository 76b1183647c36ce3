package retry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against more retries than the capacity plus the ratio of requests, for any
// order of calls.
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
		maxRetries := float64(o.Capacity) + o.Ratio*float64(requests)
		if float64(retries) > maxRetries+1e-6 {
			t.Fatalf("%d retries, maximum %v", retries, maxRetries)
		}
	})
}

// Guards against a delay outside [0, maxDelay], and against an overflow for large attempt
// numbers.
func TestDelayStaysWithinMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Backoff{Base: clock.Millis(rapid.Int64Range(0, 1<<40).Draw(t, "base")), Max: clock.Millis(rapid.Int64Range(0, 1<<50).Draw(t, "max"))}
		b.Random = func() float64 { return 0.999999999999 }
		attempt := rapid.IntRange(1, 1000).Draw(t, "attempt")
		maxDelay, nextMaxDelay := b.maxDelay(attempt), b.maxDelay(attempt+1)
		if maxDelay < 0 || maxDelay > b.Max || nextMaxDelay < maxDelay || b.Delay(attempt) > maxDelay {
			t.Fatalf("maximum %d, next maximum %d, delay %d", maxDelay, nextMaxDelay, b.Delay(attempt))
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
