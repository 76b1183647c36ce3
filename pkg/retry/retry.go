// Package retry limits how often a request is retried and computes the delay before
// each retry.
//
// A Budget limits retries to a fraction of requests, so that the loss of many targets
// does not multiply the load on the remaining ones. A Backoff distributes retries over
// time with full jitter, so that requests that were rejected at the same time are not
// retried at the same time.
//
// The caller decides whether a request may be retried at all: a request that provably
// did not run, or a repeatable one before the first byte of its response.
//
// # Usage
//
//	b := retry.NewBudget(retry.Options{})
//	backoff := retry.Backoff{Base: 5, Max: 200, Random: rand.Float64}
//
//	b.Deposit()
//	for attempt := 1; rejected(send()); attempt++ {
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

// Default values of Options.
const (
	defaultRatio    = 0.1
	defaultCapacity = 20
)

// unitsPerRetry is the number of units that one retry costs. The budget is stored in
// units, so that a fraction of a retry is an integer.
const unitsPerRetry = 1_000_000

// Options are the settings of a Budget.
type Options struct {
	// Ratio is the number of retries that each request adds to the budget. Zero means
	// 0.1.
	Ratio float64
	// Capacity is the largest number of retries in the budget. Zero means 20.
	Capacity int
	// Initial is the number of retries in the budget at the start, which may be a fraction.
	// Zero means Capacity.
	Initial float64
}

// Budget is a token bucket that requests fill and retries drain. It is safe for
// concurrent use and never blocks.
type Budget struct {
	units           atomic.Int64
	unitsPerRequest int64
	capacityUnits   atomic.Int64
}

// NewBudget returns a budget with the initial number of retries.
func NewBudget(o Options) *Budget {
	if o.Ratio <= 0 {
		o.Ratio = defaultRatio
	}
	if o.Capacity <= 0 {
		o.Capacity = defaultCapacity
	}
	b := &Budget{unitsPerRequest: int64(o.Ratio * unitsPerRetry)}
	capacity := int64(o.Capacity) * unitsPerRetry
	b.capacityUnits.Store(capacity)
	b.units.Store(capacity)
	if o.Initial > 0 {
		b.units.Store(min(int64(o.Initial*unitsPerRetry), capacity))
	}
	return b
}

// Deposit adds the share of one request to the budget. It is called for the first
// attempt of a request, not for retries.
func (b *Budget) Deposit() {
	for {
		old := b.units.Load()
		next := afterDeposit(old, b.unitsPerRequest, b.capacityUnits.Load())
		if next == old || b.units.CompareAndSwap(old, next) {
			return
		}
	}
}

// Withdraw removes one retry from the budget. It returns false if none remains; the
// request must then not be retried.
func (b *Budget) Withdraw() bool { return b.WithdrawN(1) }

// WithdrawN removes n retries from the budget, or none and returns false if it has fewer.
func (b *Budget) WithdrawN(n int) bool {
	for {
		old := b.units.Load()
		next, ok := afterWithdrawal(min(old, b.capacityUnits.Load()), int64(n)*unitsPerRetry)
		if !ok {
			return false
		}
		if b.units.CompareAndSwap(old, next) {
			return true
		}
	}
}

// SetCapacity changes the largest number of retries in the budget. Retries above it are lost.
func (b *Budget) SetCapacity(n int) { b.capacityUnits.Store(int64(n) * unitsPerRetry) }

// Available returns the number of whole retries in the budget.
func (b *Budget) Available() int {
	return int(min(b.units.Load(), b.capacityUnits.Load()) / unitsPerRetry)
}

// Return adds n retries that were withdrawn and not sent.
func (b *Budget) Return(n int) {
	for {
		old := b.units.Load()
		if b.units.CompareAndSwap(old, afterDeposit(old, int64(n)*unitsPerRetry, b.capacityUnits.Load())) {
			return
		}
	}
}

func afterDeposit(units, deposit, capacity int64) int64 {
	return min(units+deposit, capacity)
}

func afterWithdrawal(units, withdrawal int64) (int64, bool) {
	if units < withdrawal {
		return units, false
	}
	return units - withdrawal, true
}

// Backoff computes the delay before each retry: exponential with full jitter.
type Backoff struct {
	// Base is the longest delay before the first retry.
	Base clock.Millis
	// Max is the longest delay before any retry.
	Max clock.Millis
	// Random returns a number in [0, 1). It must be safe for concurrent use if
	// the Backoff is used concurrently.
	Random func() float64
}

// Delay returns the delay before retry number attempt, counted from 1. It is a random
// time between 0 and an upper bound that is Base for the first retry, doubles with each
// attempt and is at most Max.
func (b Backoff) Delay(attempt int) clock.Millis {
	return clock.Millis(b.Random() * float64(b.maxDelay(attempt)+1))
}

// maxDelay returns the upper bound of Delay. It doubles step by step, so that a large
// attempt number cannot cause an overflow.
func (b Backoff) maxDelay(attempt int) clock.Millis {
	d := min(b.Base, b.Max)
	for i := 1; i < attempt && d > 0 && d < b.Max; i++ {
		if d > b.Max/2 {
			return b.Max
		}
		d *= 2
	}
	return d
}
