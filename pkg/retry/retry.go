// Package retry decides how often and how late a request is sent again.
//
// A Budget bounds retries to a fraction of requests, so that the loss of many
// targets does not multiply the load on those that remain. A Backoff spreads
// retries over time with full jitter, so that requests refused together do not
// return together.
//
// Whether a request may be sent again at all is not decided here: only one that
// provably did not run, or a repeatable one before the first byte of its
// response.
//
// # Usage
//
//	b := retry.NewBudget(retry.Options{})
//	backoff := retry.Backoff{Base: 5, Max: 200, Random: rand.Float64}
//
//	b.Deposit()
//	for attempt := 1; refused(send()); attempt++ {
//		delay := backoff.Delay(attempt)
//		if c.Now()+delay >= deadline || !b.Withdraw() {
//			break
//		}
//		_ = c.Sleep(ctx, delay)
//	}
package retry

import (
	"sync/atomic"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Defaults of Options.
const (
	defaultRatio    = 0.1
	defaultCapacity = 20
)

// tokenUnits is the number of stored units in one retry, so that a fraction of a
// retry fits an integer.
const tokenUnits = 1_000_000

// Options are the settings of a Budget.
type Options struct {
	// Ratio is the number of retries that each request pays for. Zero means 0.1.
	Ratio float64
	// Capacity is the number of retries that can be saved up, and the number
	// available at the start. Zero means 20.
	Capacity int
}

// Budget is a token bucket that requests fill and retries empty. It is safe for
// concurrent use and never blocks.
type Budget struct {
	units    atomic.Int64
	perUse   int64
	capacity int64
}

// NewBudget returns a full budget.
func NewBudget(o Options) *Budget {
	if o.Ratio <= 0 {
		o.Ratio = defaultRatio
	}
	if o.Capacity <= 0 {
		o.Capacity = defaultCapacity
	}
	b := &Budget{
		perUse:   int64(o.Ratio * tokenUnits),
		capacity: int64(o.Capacity) * tokenUnits,
	}
	b.units.Store(b.capacity)
	return b
}

// Deposit records one request (a first attempt, not a retry).
func (b *Budget) Deposit() {
	for {
		old := b.units.Load()
		next := deposited(old, b.perUse, b.capacity)
		if next == old || b.units.CompareAndSwap(old, next) {
			return
		}
	}
}

// Withdraw takes one retry from the budget. It returns false when none is left;
// the request must then not be sent again.
func (b *Budget) Withdraw() bool {
	for {
		old := b.units.Load()
		next, ok := withdrawn(old)
		if !ok {
			return false
		}
		if b.units.CompareAndSwap(old, next) {
			return true
		}
	}
}

func deposited(units, perUse, capacity int64) int64 {
	return min(units+perUse, capacity)
}

func withdrawn(units int64) (int64, bool) {
	if units < tokenUnits {
		return units, false
	}
	return units - tokenUnits, true
}

// Backoff gives the delay before each retry: exponential with full jitter.
type Backoff struct {
	// Base is the longest delay before the first retry.
	Base clock.Millis
	// Max bounds the longest delay of every retry.
	Max clock.Millis
	// Random returns a number in [0, 1). It must be safe for concurrent use if
	// the Backoff is used concurrently.
	Random func() float64
}

// Delay returns the delay before retry number attempt, counted from 1: a random
// time from 0 up to Base doubled with each attempt, and up to Max.
func (b Backoff) Delay(attempt int) clock.Millis {
	return clock.Millis(b.Random() * float64(b.ceiling(attempt)+1))
}

// ceiling doubles step by step, so that a large attempt cannot overflow.
func (b Backoff) ceiling(attempt int) clock.Millis {
	d := min(b.Base, b.Max)
	for i := 1; i < attempt && d > 0 && d < b.Max; i++ {
		if d > b.Max/2 {
			return b.Max
		}
		d *= 2
	}
	return d
}
