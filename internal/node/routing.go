package node

import (
	"context"
	"errors"
	"sync"

	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// maxTableAge is the age at which a routing table is not used any more. A
// change of the configuration is in effect everywhere within 6 s.
const maxTableAge clock.Millis = 4000

// routing is the node's routing table with its age.
type routingTable struct {
	clock clock.Clock
	table *table.Table

	mu             sync.Mutex
	confirmedOnce  bool
	confirmedAt    clock.Millis // when the latest confirmed version was asked for
	needsFullTable bool         // the last delta did not fit; the next request asks for the full table
	changeCh       chan struct{}
}

func newRouting(c clock.Clock) *routingTable {
	return &routingTable{clock: c, table: table.New(), changeCh: make(chan struct{})}
}

func (r *routingTable) snapshot() *table.Snapshot { return r.table.Snapshot() }

// known returns the version to state in a request: zero asks for the whole
// table.
func (r *routingTable) knownVersion() wire.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.needsFullTable {
		return 0
	}
	return r.snapshot().Version()
}

// apply brings the table forward. known is the version that the request stated.
// A delta may be overtaken by another response; it is no error as long as the
// leader was not behind the request.
func (r *routingTable) apply(d wire.Delta, known wire.Version) error {
	err := r.table.Apply(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.needsFullTable = false
		close(r.changeCh)
		r.changeCh = make(chan struct{})
	case errors.Is(err, table.ErrOld) && d.ToVersion >= known && d.ToVersion < r.snapshot().Version():
		return nil
	case errors.Is(err, table.ErrGap), errors.Is(err, table.ErrDelta):
		r.needsFullTable = true
	}
	return err
}

// refreshed records that the table is complete as of a request sent at the
// given time, as confirmed by a majority.
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

// usable reports whether the table is young enough to route by.
func (r *routingTable) fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedOnce && r.clock.Now()-r.confirmedAt <= maxTableAge
}

// age returns the time since the table was last confirmed, for metrics.
func (r *routingTable) age() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now() - r.confirmedAt
}

// changed returns a channel that closes with the next change. It must be taken
// before the snapshot that is found wanting.
func (r *routingTable) changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changeCh
}

// wait returns when the table has changed, the time is over, or ctx has ended.
// It reports whether the table has changed.
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
