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

// leaseReserve is the lease time that must remain when a request is forwarded to the
// target. For targets that do not check grants, it limits the effect of a pause of this
// process between the check and the write.
const leaseReserve clock.Millis = 100

// announcement is the body of POST /v1/announce and /v1/withdraw.
type announcement struct {
	Service      wire.ServiceName
	Address      wire.Address
	Slots        int
	Connections  int
	ChecksGrants bool
	Cold         bool
	// Instance, if set, distinguishes successive processes at the same address.
	Instance string
}

// sameTarget reports whether two announcements come from the same process and agree in
// everything but Cold, which changes when a target has warmed up.
func (a announcement) sameTarget(other announcement) bool {
	a.Cold, other.Cold = false, false
	return a == other
}

// member is one incarnation of the node's target, with all state that must not outlive
// it.
type member struct {
	incarnation wire.Incarnation
	// sequence numbers the incarnations of this process from 1.
	sequence int
	target   announcement
	clock    clock.Clock
	lease    *lease.Holder
	limiter  *limit.Limiter
	// requestPool has the connections for requests, and protocolPool those for probes,
	// clock readings and grants. They are separate so that a target whose request
	// connections are all in use is not taken for dead.
	requestPool  *exchange.Pool
	protocolPool *exchange.Pool
	inFlight     *requestTracker
	latency      targetLatency
	grants       *grantState
	waiters      *admissionWaiters
	probes       *probeState

	// ended is closed when the incarnation ends. No request is forwarded after that.
	ended   chan struct{}
	endOnce sync.Once
	// endRecorded is closed when the control group has recorded the end and every
	// serving node knows the suspects. It is also closed, without a recorded end, if
	// the control group does not know the incarnation any more, if the report fails
	// with an error that is not retried, or if this process stops.
	endRecorded chan struct{}
	// draining is set when the target withdraws or the node stops as planned.
	draining atomic.Bool
	// rejecting is set while all new requests are rejected.
	rejecting atomic.Bool
	// stop stops the goroutines of this incarnation.
	stop context.CancelFunc
	// leaseScope ends when the lease expires, and incarnationScope when the target
	// crashes.
	leaseScope, incarnationScope cancelScope

	mu sync.Mutex
	// releases are the released grants that are reported in heartbeats until the
	// routing table no longer contains them.
	releases map[wire.PartitionID]wire.FencingToken
}

// newMember returns a new incarnation for an announcement.
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
		grants:       newGrantState(),
		waiters:      newAdmissionWaiters(),
		probes:       newProbeState(),
		ended:        make(chan struct{}),
		endRecorded:  make(chan struct{}),
		releases:     make(map[wire.PartitionID]wire.FencingToken),
	}
}

// protocolConnections is the number of the target's connections that are reserved for
// the target protocol: concurrent probes, one clock reading and one grant.
const protocolConnections = maxConcurrentProbes + 2

// alive reports whether the incarnation has not ended, so that requests may be
// forwarded.
func (m *member) alive() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// end ends the incarnation and drops its lease. It returns false if the incarnation had
// already ended.
func (m *member) end() bool {
	first := false
	m.endOnce.Do(func() {
		first = true
		m.lease.Drop()
		close(m.ended)
	})
	return first
}

// wireAnnouncement returns the description of the member for a heartbeat.
func (m *member) wireAnnouncement() *wire.Announcement {
	return &wire.Announcement{
		Incarnation: m.incarnation, Service: m.target.Service, Slots: m.target.Slots, Sequence: m.sequence,
		Connections: m.target.Connections, ChecksGrants: m.target.ChecksGrants, Cold: m.target.Cold,
	}
}

// cancelScope cancels the requests that entered it when it ends. A keyed request must
// be cancelled when the lease expires, even if the lease is renewed later, because
// another target may have owned its key in between.
type cancelScope struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// enter returns a context that ends with ctx or with the scope, and a function that
// leaves the scope.
func (s *cancelScope) enter(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	if s.ctx == nil {
		s.ctx, s.cancel = context.WithCancel(context.Background())
	}
	scopeCtx := s.ctx
	s.mu.Unlock()
	merged, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(scopeCtx, cancel)
	return merged, func() {
		stop()
		cancel()
	}
}

// end cancels the requests in the scope. Requests that enter later are in a new scope.
func (s *cancelScope) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
	s.ctx, s.cancel = nil, nil
}

// leaseCheckInterval is the maximum time between two checks of the lease.
const leaseCheckInterval clock.Millis = 50

// watchLease ends leaseScope when the lease expires or ctx ends.
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
