package node

import (
	"context"
	"errors"
	"sync"

	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// maxTableAge is the age above which a routing table is not used. It keeps the
// time until a change of the configuration is in effect everywhere within 6 s.
const maxTableAge clock.Millis = 4000

// routingTable is the node's copy of the routing table and the time of its last
// confirmation by the control group.
type routingTable struct {
	clock clock.Clock
	table *table.Table

	mu             sync.Mutex
	confirmedOnce  bool
	confirmedAt    clock.Millis  // send time of the request that last confirmed the table
	needsFullTable bool          // the last delta could not be applied
	changeCh       chan struct{} // closed and replaced at each change
}

func newRoutingTable(c clock.Clock) *routingTable {
	return &routingTable{clock: c, table: table.New(), changeCh: make(chan struct{})}
}

func (r *routingTable) snapshot() *table.Snapshot { return r.table.Snapshot() }

// knownVersion returns the version to send in a request for changes. Zero requests
// the full table.
func (r *routingTable) knownVersion() wire.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.needsFullTable {
		return 0
	}
	return r.snapshot().Version()
}

// apply applies a delta. known is the version that the request contained. A delta
// that is older than the table is ignored if another response has overtaken it, but
// is an error if the leader's version was below the known one.
func (r *routingTable) apply(d wire.Delta, known wire.Version) error {
	err := r.table.Apply(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.needsFullTable = false
		close(r.changeCh)
		r.changeCh = make(chan struct{})
	case errors.Is(err, table.ErrOldDelta) && d.ToVersion >= known && d.ToVersion < r.snapshot().Version():
		return nil
	case errors.Is(err, table.ErrGap), errors.Is(err, table.ErrInvalidDelta):
		r.needsFullTable = true
	}
	return err
}

// confirm records that a majority of the control group has confirmed the table to be
// complete at the time at which a request was sent.
func (r *routingTable) confirm(sent clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = max(r.confirmedAt, sent)
	if !r.confirmedOnce {
		r.confirmedOnce = true
		close(r.changeCh)
		r.changeCh = make(chan struct{})
	}
}

// fresh reports whether the table was confirmed within maxTableAge. Only a fresh
// table is used for routing.
func (r *routingTable) fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedOnce && r.clock.Now()-r.confirmedAt <= maxTableAge
}

// age returns the time since the table was last confirmed.
func (r *routingTable) age() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now() - r.confirmedAt
}

// changed returns a channel that is closed at the next change of the table or at
// its first confirmation. To miss no change, call it before reading a snapshot.
func (r *routingTable) changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changeCh
}

// waitForChange waits until the table changes, the timeout passes, or ctx ends. It
// reports whether the table has changed.
func (r *routingTable) waitForChange(ctx context.Context, changed <-chan struct{}, timeout clock.Millis) bool {
	if timeout <= 0 {
		return false
	}
	timed, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	select {
	case <-changed:
		return true
	case <-timed.Done():
		return false
	}
}
