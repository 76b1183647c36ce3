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
type routing struct {
	clock clock.Clock
	table *table.Table

	mu        sync.Mutex
	confirmed bool
	freshAt   clock.Millis // when the latest confirmed version was asked for
	gap       bool         // the last delta did not fit; the next request asks for the full table
	change    chan struct{}
}

func newRouting(c clock.Clock) *routing {
	return &routing{clock: c, table: table.New(), change: make(chan struct{})}
}

func (r *routing) snapshot() *table.Snapshot { return r.table.Snapshot() }

// known returns the version to state in a request: zero asks for the whole
// table.
func (r *routing) known() wire.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gap {
		return 0
	}
	return r.snapshot().Version()
}

// apply brings the table forward. known is the version that the request stated.
// A delta may be overtaken by another response; it is no error as long as the
// leader was not behind the request.
func (r *routing) apply(d wire.Delta, known wire.Version) error {
	err := r.table.Apply(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.gap = false
		close(r.change)
		r.change = make(chan struct{})
	case errors.Is(err, table.ErrOld) && d.ToVersion >= known && d.ToVersion < r.snapshot().Version():
		return nil
	case errors.Is(err, table.ErrGap), errors.Is(err, table.ErrDelta):
		r.gap = true
	}
	return err
}

// refreshed records that the table is complete as of a request sent at the
// given time, as confirmed by a majority.
func (r *routing) refreshed(sent clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freshAt = max(r.freshAt, sent)
	if !r.confirmed {
		r.confirmed = true
		close(r.change)
		r.change = make(chan struct{})
	}
}

// usable reports whether the table is young enough to route by.
func (r *routing) usable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed && r.clock.Now()-r.freshAt <= maxTableAge
}

// age returns the time since the table was last confirmed, for metrics.
func (r *routing) age() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now() - r.freshAt
}

// changed returns a channel that closes with the next change. It must be taken
// before the snapshot that is found wanting.
func (r *routing) changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.change
}

// wait returns when the table has changed, the time is over, or ctx has ended.
// It reports whether the table has changed.
func (r *routing) wait(ctx context.Context, changed <-chan struct{}, d clock.Millis) bool {
	if d <= 0 {
		return false
	}
	timed, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	select {
	case <-changed:
		return true
	case <-timed.Done():
		return false
	}
}
