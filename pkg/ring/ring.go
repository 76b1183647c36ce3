// Package ring connects goroutines by bounded queues.
//
// Each component of a process runs in its own goroutine and receives its work from a
// Ring. The producer decides what happens when a ring is full: Offer rejects the item,
// Put waits. No queue grows without bound.
//
// # Usage
//
//	r := ring.New[Message](256)
//	if !r.Offer(m) {
//		// The ring is full: drop m. The protocol sends the message again.
//	}
//	m, err := r.Take(ctx)
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue, safe for concurrent use.
type Ring[T any] struct {
	items    chan T
	rejected atomic.Uint64
}

// New returns a ring for at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds an item without waiting. It returns false when the ring is full.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Put adds an item. It waits while the ring is full, and returns the error of ctx if
// ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes and returns the oldest item. It waits while the ring is empty, and
// returns the error of ctx if ctx ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Items returns the channel of the items, for receiving in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// Rejected returns the number of items that Offer has rejected.
func (r *Ring[T]) Rejected() uint64 { return r.rejected.Load() }
