// Package copies decides when a request that may run more than once is sent a second
// time, and returns one result of the two copies.
//
// A few requests take much longer than all others: their server pauses, or their
// connection is dead. Sending such a request a second time, to another server or on a new
// connection, bounds that time at the cost of some extra work. The package has three parts
// that can be used on their own:
//
//   - Delays measures how long requests of each kind take, and yields the time after which
//     a request is among the slowest of its kind.
//   - Limit bounds the second copies of all senders to a share of the requests and a
//     burst.
//   - Race sends the copies, returns the first good result and cancels the other copy.
//
// The caller decides whether a request may be copied at all, and where the second copy
// goes. A request that must run at most once must not be copied.
//
// # Usage
//
//	delays := copies.NewDelays(clock.System())
//	limit := copies.NewLimit(copies.LimitOptions{Ratio: 0.05, Burst: 20, Senders: 40})
//
//	limit.Deposit()
//	delay, ok := delays.Quantile("search", 0.95)
//	if !ok {
//		return send(ctx, target)
//	}
//	result, outcome := copies.Race[result]{
//		Delay:        delay,
//		Decide:       func() (bool, clock.Millis) { return limit.Withdraw(1), 0 },
//		Start:        func(ctx context.Context, second bool) func() result { ... },
//		Wins:         func(r result) bool { return r.err == nil },
//		PrefersLater: func(earlier, later result) bool { return false },
//		Discard:      func(r result) { r.Close() },
//	}.Run(ctx)
package copies

import (
	"context"
	"time"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Outcome tells which copy of a request yielded its result.
type Outcome int

const (
	// OnlyFirst means that no second copy was sent.
	OnlyFirst Outcome = iota
	// FirstWon and SecondWon mean that the result is that of the first or second copy.
	FirstWon
	SecondWon
	// NoneWon means that both copies have ended and neither result was good.
	NoneWon
)

// Race is one request and the functions that send it. All functions except Discard and
// Background must be set.
type Race[T any] struct {
	// Delay is the time without a result after which Decide is called.
	Delay clock.Millis
	// Decide returns whether a second copy is sent now. If not, it is called again after the
	// pause; a pause of 0 means that no second copy is sent.
	Decide func() (send bool, pause clock.Millis)
	// Start prepares a copy and returns the function that sends it and waits for its result.
	// The result may depend on the context after that, as a response does whose body is
	// still to be read. When the context ends, the function must return soon.
	Start func(ctx context.Context, second bool) func() T
	// Wins reports whether a result is good: it ends the race and cancels the other copy.
	Wins func(T) bool
	// PrefersLater reports which of two results that are not good is returned, in the order
	// in which they came.
	PrefersLater func(earlier, later T) bool
	// Discard, if set, is called with each result that Run does not return.
	Discard func(T)
	// Background, if set, runs the function that waits for the end of a cancelled copy. The
	// default starts a goroutine.
	Background func(func())
}

// Run sends the request and returns its result. It returns as soon as there is a good
// result; the copy that was cancelled may end later. When ctx ends, both copies are
// cancelled and Run returns when they have ended.
func (r Race[T]) Run(ctx context.Context) (T, Outcome) {
	if r.Background == nil {
		r.Background = func(f func()) { go f() }
	}
	first := r.start(ctx, false)
	result, ended := r.awaitFirst(ctx, first.result)
	if ended {
		return result, OnlyFirst
	}
	second := r.start(ctx, true)
	select {
	case result = <-first.result:
		return r.settle(result, FirstWon, second, SecondWon)
	case result = <-second.result:
		return r.settle(result, SecondWon, first, FirstWon)
	}
}

// copyInFlight is a copy that was started.
type copyInFlight[T any] struct {
	result <-chan T
	cancel context.CancelFunc
}

func (r Race[T]) start(ctx context.Context, second bool) copyInFlight[T] {
	ctx, cancel := context.WithCancel(ctx)
	run, result := r.Start(ctx, second), make(chan T, 1)
	go func() { result <- run() }()
	return copyInFlight[T]{result: result, cancel: cancel}
}

// awaitFirst waits for the result of the first copy. It returns false if a second copy is to
// be sent.
func (r Race[T]) awaitFirst(ctx context.Context, first <-chan T) (result T, ended bool) {
	timer := time.NewTimer(r.Delay.Duration())
	defer timer.Stop()
	for {
		select {
		case result = <-first:
			return result, true
		case <-ctx.Done():
			return <-first, true
		case <-timer.C:
		}
		if ctx.Err() != nil {
			return <-first, true
		}
		select {
		case result = <-first: // it arrived together with the timer
			return result, true
		default:
		}
		send, pause := r.Decide()
		switch {
		case send:
			return result, false
		case pause <= 0:
			return <-first, true
		}
		timer.Reset(pause.Duration())
	}
}

// settle returns the result of the copy that ended first if that is good, and waits for the
// other one if it is not.
func (r Race[T]) settle(earlier T, outcome Outcome, other copyInFlight[T], otherOutcome Outcome) (T, Outcome) {
	if r.Wins(earlier) {
		other.cancel()
		r.Background(func() { r.discard(<-other.result) })
		return earlier, outcome
	}
	later := <-other.result
	if r.Wins(later) {
		r.discard(earlier)
		return later, otherOutcome
	}
	if r.PrefersLater(earlier, later) {
		earlier, later = later, earlier
	}
	r.discard(later)
	return earlier, NoneWon
}

func (r Race[T]) discard(result T) {
	if r.Discard != nil {
		r.Discard(result)
	}
}
