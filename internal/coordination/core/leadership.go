package core

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/quorum"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/grant"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// leadership is what a leader knows and decides in one term of the log. Nothing of it is
// used in a later term: other replicas may have led in between.
type leadership struct {
	*quorum.Leadership
	core    *Core
	options Options
	log     zerolog.Logger
	metrics *metrics
	// machine has the state of the opening of the log to which the term belongs.
	machine *registry.Machine
	leases  *grant.LeaseTable
	// commit commits an encoded command in the term.
	commit func(context.Context, []byte) (any, error)

	// changesMu guards pendingChanges, which are the changes and orders being committed by
	// digest, and orders.
	changesMu      sync.Mutex
	pendingChanges map[string]*pendingChange
	// orders are the latest orders for each failure domain.
	orders map[message.FailureDomain]*evacuationOrders

	// mu serializes changes of assignments: it is held while one is decided and committed.
	mu sync.Mutex
	// unassignedSince is when all keys of a service were first seen to be unassigned.
	unassignedSince map[message.ServiceName]clock.Millis
	// leavingSince is when an owner was first seen to be leaving.
	leavingSince map[message.Incarnation]clock.Millis
	// moveWantedSince is when a service was first seen to need a planned move.
	moveWantedSince map[message.ServiceName]clock.Millis
	// loadsCommittedAt is when the loads of a service were last committed.
	loadsCommittedAt map[message.ServiceName]clock.Millis
	// delayedOwners are overloaded targets whose heartbeat responses are delayed until
	// another target sends a heartbeat.
	delayedOwners map[message.Incarnation]bool
	// rebalancedAt is when a move between targets of a service that takes grants by calls was
	// last scheduled.
	rebalancedAt map[message.ServiceName]clock.Millis
	// settled and settling are log indexes. Grants up to settled are old enough to be joined.
	settled, settling message.FencingToken
	settlingSince     clock.Millis
	evacuations       evacuations

	// leaseMu makes a lease and an expiry exclude each other: a target is removed only if it has no
	// lease, and gets none from then on. It is never held during a commit. A response to a heartbeat
	// that waited for all changes that others have queued up would arrive too late to be accepted.
	leaseMu sync.Mutex
	// expiring are the last removals of targets that are being proposed, or were with an outcome
	// that is not known.
	expiring map[message.Incarnation]*expiry
}

// expiry is a removal of a target.
type expiry struct {
	// unknown is true once the proposal has ended without a known outcome.
	unknown bool
}

// newLeadership returns what a leader knows at the beginning of its term. All leases count
// from now, since they may have been granted until the election.
func (c *Core) newLeadership(l *quorum.Leadership, machine *registry.Machine) *leadership {
	leaseDuration := defaultLeaseDuration
	if limit := c.options.Settings.Bounds.MaxLeaseMillis; limit != 0 {
		leaseDuration = min(defaultLeaseDuration, max(limit, 1))
	}
	return &leadership{
		Leadership: l, core: c, options: c.options, log: c.log, metrics: c.metrics,
		machine: machine, commit: l.Propose, leases: grant.NewLeaseTable(c.options.Clock, leaseDuration), pendingChanges: map[string]*pendingChange{},
		unassignedSince: map[message.ServiceName]clock.Millis{}, leavingSince: map[message.Incarnation]clock.Millis{},
		moveWantedSince: map[message.ServiceName]clock.Millis{}, loadsCommittedAt: map[message.ServiceName]clock.Millis{},
		delayedOwners: map[message.Incarnation]bool{}, rebalancedAt: map[message.ServiceName]clock.Millis{},
		expiring: map[message.Incarnation]*expiry{}, orders: map[message.FailureDomain]*evacuationOrders{},
		evacuations: newEvacuations(),
	}
}

// propose commits a command and returns its outcome.
func (l *leadership) propose(ctx context.Context, command message.Command) (registry.Outcome, error) {
	return l.proposeWithin(ctx, command, proposeTimeout)
}

func (l *leadership) proposeWithin(ctx context.Context, command message.Command, timeout clock.Millis) (registry.Outcome, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return registry.Outcome{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	out, err := l.commit(ctx, data)
	if err != nil {
		return registry.Outcome{}, err
	}
	return out.(registry.Outcome), nil
}

func (l *leadership) leave(ctx context.Context, m message.Leave) (struct{}, error) {
	out, err := l.propose(ctx, message.Command{Leave: &m})
	if err == nil && out.Status != registry.Done {
		err = &rpc.Error{Code: rpc.CodeRejected, Message: out.Reason}
	}
	l.log.Info().Err(err).Str("Event", "target-leaves").Str("Target", string(m.Incarnation.ID)).Bool("Gone", m.Final).Int("Status", int(out.Status)).Msg("target is draining")
	return struct{}{}, err
}

func (l *leadership) hostStop(ctx context.Context, h message.HostStop) (struct{}, error) {
	_, err := l.propose(ctx, message.Command{HostStop: &h})
	return struct{}{}, err
}

func (l *leadership) crash(ctx context.Context, r message.Crash) (struct{}, error) {
	_, err := l.propose(ctx, message.Command{Crash: &r})
	if i, ok := l.machine.Instance(r.Incarnation.ID); err == nil && r.Ended && ok && i.Incarnation == r.Incarnation && l.grantsByCall(i.Service) {
		// The keys of a process that has ended need not wait for its lease.
		l.mu.Lock()
		err = l.expire(ctx, r.Incarnation)
		l.mu.Unlock()
		l.core.wakePlanner()
	}
	l.log.Warn().Err(err).Str("Event", "target-crashed").Str("Target", string(r.Incarnation.ID)).Bool("Ended", r.Ended).Strs("Fingerprints", r.Fingerprints).Msg("a target died while it processed requests")
	return struct{}{}, err
}
