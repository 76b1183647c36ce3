package node

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

// leaseReserve is the lease time that must remain when a request is forwarded
// to the target. It bounds the effect of a pause between check and write for
// targets that do not check grants.
const leaseReserve clock.Millis = 100

// announcement is the body of POST /v1/announce and /v1/withdraw.
type announcement struct {
	Service      wire.ServiceName
	Address      wire.Address
	Slots        int
	Connections  int
	ChecksGrants bool
	Cold         bool
	// Instance, if present, differs between two processes at the same address.
	Instance string
}

// same reports whether two announcements come from the same process under the
// same terms. A target that has warmed up is still the same.
func (a announcement) sameTarget(other announcement) bool {
	a.Cold, other.Cold = false, false
	return a == other
}

// member is one incarnation of the node's target. Everything that must not
// outlive an incarnation hangs on it.
type member struct {
	incarnation wire.Incarnation
	sequence    int
	target      announcement
	clock       clock.Clock
	lease       *lease.Holder
	limiter     *limit.Limiter
	// pool carries requests; protocol carries probes, clock readings and grants,
	// so that a target with all connections in use is not taken for dead.
	requestPool  *exchange.Pool
	protocolPool *exchange.Pool
	inFlight     *requestTracker
	latency      targetLatency
	grants       *grantState
	waiters      *admissionWaiters
	probes       *probeState

	// ended is closed when nothing may be forwarded any more.
	ended   chan struct{}
	endOnce sync.Once
	// verdict is closed when the control group has recorded the end and every
	// serving node knows the suspects.
	endRecorded chan struct{}
	// draining is set by a withdrawal or a planned stop of the node.
	draining atomic.Bool
	// refusing is set once no new work is accepted at all.
	rejecting atomic.Bool
	// stop ends the goroutines of this incarnation.
	stop context.CancelFunc
	// term ends with the lease, and life with the target.
	leaseScope, incarnationScope cancelScope

	mu sync.Mutex
	// releases are moved-away grants that the control group may not know of yet.
	releases map[wire.PartitionID]wire.FencingToken
}

// newMember returns the incarnation that an announcement begins.
func newMember(c clock.Clock, a announcement, terms lease.Terms) *member {
	return &member{
		incarnation:  wire.Incarnation(uuid.NewString()),
		target:       a,
		clock:        c,
		lease:        lease.NewHolder(c, terms),
		limiter:      limit.New(limit.Options{Clock: c, Slots: a.Slots}),
		requestPool:  exchange.NewPool(exchange.Options{Clock: c, MaxPerAddress: max(a.Connections-protocolConnections, 1)}),
		protocolPool: exchange.NewPool(exchange.Options{Clock: c, MaxPerAddress: protocolConnections}),
		inFlight:     newRequestTracker(),
		grants:       newGrants(),
		waiters:      newWaiters(),
		probes:       newProbes(),
		ended:        make(chan struct{}),
		endRecorded:  make(chan struct{}),
		releases:     make(map[wire.PartitionID]wire.FencingToken),
	}
}

// reservedConnections of the target are kept for the target protocol: the probes, a
// clock reading and a grant at a time.
const protocolConnections = maxConcurrentProbes + 2

// alive reports whether requests may be forwarded.
func (m *member) alive() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// end stops forwarding. It returns false when the incarnation has ended before.
func (m *member) end() bool {
	first := false
	m.endOnce.Do(func() {
		first = true
		m.lease.Drop()
		close(m.ended)
	})
	return first
}

// announced describes the member in a heartbeat.
func (m *member) wireAnnouncement() *wire.Announcement {
	return &wire.Announcement{
		Incarnation: m.incarnation, Service: m.target.Service, Slots: m.target.Slots, Sequence: m.sequence,
		Connections: m.target.Connections, ChecksGrants: m.target.ChecksGrants, Cold: m.target.Cold,
	}
}

// scope is a time after which the requests that entered it are cancelled. A
// request of a keyed service must not outlive the time for which the lease is
// held without a gap, because another target may own its key from then on.
type cancelScope struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// enter returns a context that ends with ctx or with the scope.
func (t *cancelScope) enter(ctx context.Context) (context.Context, context.CancelFunc) {
	t.mu.Lock()
	if t.ctx == nil {
		t.ctx, t.cancel = context.WithCancel(context.Background())
	}
	scopeCtx := t.ctx
	t.mu.Unlock()
	merged, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(scopeCtx, cancel)
	return merged, func() {
		stop()
		cancel()
	}
}

// end cancels the requests of the scope; the next one begins anew.
func (t *cancelScope) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancel != nil {
		t.cancel()
	}
	t.ctx, t.cancel = nil, nil
}

// lapseCheck is the longest time between two looks at the lease.
const leaseCheckInterval clock.Millis = 50

// watchLease ends the term when the lease runs out.
func (m *member) watchLease(ctx context.Context) error {
	for {
		remaining := m.lease.Remaining()
		if remaining == 0 {
			m.leaseScope.end()
		}
		if m.clock.Sleep(ctx, min(max(remaining, 1), leaseCheckInterval)) != nil {
			m.leaseScope.end()
			return nil
		}
	}
}
