// Package ring joins goroutines by bounded queues.
//
// Each duty of a process runs in its own goroutine and receives its work from a
// Ring. A full ring is a visible event that the producer must decide about:
// Offer refuses, Put waits. Nothing grows without bound.
//
// # Usage
//
//	r := ring.New[Message](256)
//	if !r.Offer(m) {
//		// count the refusal; the protocol repeats the message
//	}
//	m, err := r.Take(ctx)
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue, safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds an item without waiting. It returns false when the ring is full.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds an item and waits for room. It returns the context's error when the
// context ends first.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes the oldest item and waits for one. It returns the context's
// error when the context ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Items returns the receiving side for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.items) }

// Rejected returns how many items Offer has refused.
func (r *Ring[T]) Rejected() uint64 { return r.refused.Load() }
