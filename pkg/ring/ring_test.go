package ring_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/ring"
)

// Guards against a queue that grows without bound or reorders items.
func TestRingIsBoundedAndOrdered(t *testing.T) {
	r := ring.New[int](2)
	qt.Assert(t, r.Offer(1), qt.IsTrue)
	qt.Assert(t, r.Put(t.Context(), 2), qt.IsNil)
	qt.Assert(t, r.Offer(3), qt.IsFalse)
	qt.Assert(t, r.Rejected(), qt.Equals, uint64(1))
	qt.Assert(t, r.Len(), qt.Equals, 2)
	for _, want := range []int{1, 2} {
		got, err := r.Take(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, want)
	}
}

// Guards against a goroutine that cannot be stopped because it waits on a ring.
func TestWaitsEndWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	full := ring.New[int](1)
	qt.Assert(t, full.Offer(1), qt.IsTrue)
	qt.Assert(t, full.Put(ctx, 2), qt.Equals, context.Canceled)
	_, err := ring.New[int](1).Take(ctx)
	qt.Assert(t, err, qt.Equals, context.Canceled)
}
