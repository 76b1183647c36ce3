// Package control implements the control process: one replica of a control
// group.
//
// Service is its core. It responds to the calls of nodes and operators, renews
// and expires leases, and assigns partitions to members. It uses the replicated
// log through function fields only, so its tests need neither files nor
// sockets. Run connects a Service to a replog.Replica, the RPC server and the
// other replicas.
//
// Only the leader serves calls, and it responds only after a majority has
// confirmed its leadership in a round that began after the call arrived. All
// soft state (lease renewals, loads, last heartbeats) belongs to one leadership
// term and is dropped when the term ends. A new leader does not know which
// leases its predecessor renewed, so it expires no member until the longest of
// them must have ended. It may grant renewals at once to members that are
// registered in the log, because such a renewal only extends an existing
// registration.
//
// Commands that are derived from soft state carry the session of the leadership
// term. The state machine rejects them after another session has started, so a
// decision that is delayed across two elections cannot take effect.
//
// # Usage
//
//	err := control.Run(ctx, settings, log)
//
// A Service on its own, with functions in place of the replicated log:
//
//	s := control.New(control.Options{
//		Group: "tz", Replica: "control-a", Clock: clock.System(), Machine: machine,
//		Propose: propose, Confirm: confirm, Status: status, Validate: validate,
//		NewID: uuid.NewString, Log: log, Registry: prometheus.NewRegistry(),
//	})
//	s.Register(server)
//	s.SetLeading(true)
package control

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// Errors of this package. The first three are also returned by the function
// fields of Options.
var (
	// ErrNotLeader means that this replica does not lead; nothing happened.
	ErrNotLeader = merry.Sentinel("not the leader")
	// ErrOutcomeUnknown means that a command may or may not take effect.
	ErrOutcomeUnknown = merry.Sentinel("outcome of the command is unknown")
	// ErrTooLarge means that a command does not fit into a log entry; it will
	// never take effect.
	ErrTooLarge = merry.Sentinel("command is too large")
	// ErrConfigurationRejected means that a configuration is not valid.
	ErrConfigurationRejected = merry.Sentinel("configuration rejected")
	// ErrFailed means that the replica could not start, or that one of its
	// components, such as the replicated log, failed.
	ErrFailed = merry.Sentinel("control replica failed")
)

const (
	// proposeTimeout bounds a commit. Two elections fit into it.
	proposeTimeout clock.Millis = 2000
	// confirmTimeout bounds a confirmation round. It is the lease duration of
	// 900 ms: a lease that is renewed later has already expired.
	confirmTimeout clock.Millis = 900
	// tickInterval is the interval of the leader's periodic tasks, such as expiry
	// and assignment. It adds to the time that a partition has no owner; the
	// budget for that time leaves 200 ms for it.
	tickInterval clock.Millis = 20
	// stallThreshold is the time between two ticks from which the leader counts as
	// stalled. A commit on a busy disk takes less.
	stallThreshold clock.Millis = 200
	// maxExpiryDelay bounds the delay of expiry after a stall.
	maxExpiryDelay clock.Millis = 500
	// loadSampleInterval is the interval of decisions that depend on load.
	loadSampleInterval clock.Millis = 1000
)

// Options configure a Service.
type Options struct {
	Group   wire.GroupID
	Replica wire.ReplicaID
	Clock   clock.Clock
	Machine *state.Machine
	// Propose commits a command and returns the state machine's result. Its errors
	// are ErrNotLeader, ErrTooLarge and ErrOutcomeUnknown.
	Propose func(ctx context.Context, command []byte) (any, error)
	// Confirm confirms leadership by a round that begins after the call. The
	// state machine has applied all entries up to the returned index.
	Confirm func(ctx context.Context) (wire.Version, error)
	// Status describes the replicated log.
	Status func() Status
	// Validate checks a configuration against the accepted one, in addition to
	// the rules that the state machine depends on. It may be nil.
	Validate func(current, next wire.Configuration) error
	// NewID returns a random id.
	NewID    func() string
	Log      zerolog.Logger
	Registry *prometheus.Registry
}

// Status is the part of the replicated log's status that a Service uses.
type Status struct {
	// Leader is the address of the leader, or empty while it is unknown.
	Leader     wire.Address
	CanLoseOne bool
	Replicas   []wire.ReplicaStatus
}

// Service is the core of a control replica. It is safe for concurrent use.
type Service struct {
	Options
	metrics   *metrics
	confirmer *confirmer
	deltas    *deltaCache
	stopping  chan struct{}
	stopOnce  sync.Once

	mu     sync.Mutex
	leader *leaderState
}

// New returns a Service that is not the leader.
func New(o Options) *Service {
	s := &Service{Options: o, deltas: newDeltaCache(o.Machine), stopping: make(chan struct{})}
	s.metrics = newMetrics(o.Registry, o.Machine)
	s.confirmer = newConfirmer(o.Confirm, s.metrics.confirmRounds.Inc)
	return s
}

// leaderState is the soft state of one leadership term.
type leaderState struct {
	session   wire.SessionID
	granter   *lease.Granter[wire.Incarnation]
	startedAt clock.Millis
	// ended is closed when leadership is lost.
	ended chan struct{}

	mu    sync.Mutex
	nodes map[wire.NodeID]*nodeRecord

	callerShares *callerShares

	// The remaining fields are used only by the goroutine that calls Tick.

	hotKeys map[wire.PartitionID]*hotKeyTracker
	// assignmentDelays record since when the assignment of a service is delayed.
	assignmentDelays map[wire.ServiceName]assignmentDelay
	// sessionCommitted is set once the log contains the session.
	sessionCommitted bool
	meanLoads        map[wire.PartitionID]meanLoad
	// speeds are the fractions of their capacity that members can use.
	speeds map[wire.Incarnation]memberSpeed
	// plannedVersion is the version of the state that was planned last, or 0 if
	// committing that plan failed. plannedAt is the time of that planning.
	plannedVersion  wire.Version
	movesInProgress map[wire.PartitionID]moveInProgress
	// movePausedUntil lists partitions whose planned move was cancelled, with the
	// time until which they are not moved again.
	movePausedUntil map[wire.PartitionID]clock.Millis
	movesCheckedAt  clock.Millis
	loadsSampledAt  clock.Millis
	plannedAt       clock.Millis
}

// SetLeading begins a leadership term when this replica has won an election,
// and ends the current one when it has lost leadership.
func (s *Service) SetLeading(leading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != nil {
		close(s.leader.ended)
		s.leader = nil
		s.metrics.leading.Set(0)
		s.Log.Info().Msg("no longer leading")
	}
	if !leading {
		return
	}
	s.leader = &leaderState{
		session:          wire.SessionID(s.NewID()),
		granter:          lease.NewGranter[wire.Incarnation](s.Clock, lease.DefaultTerms),
		startedAt:        s.Clock.Now(),
		ended:            make(chan struct{}),
		nodes:            make(map[wire.NodeID]*nodeRecord),
		callerShares:     newCallerShares(s.Clock.Now()),
		hotKeys:          make(map[wire.PartitionID]*hotKeyTracker),
		assignmentDelays: make(map[wire.ServiceName]assignmentDelay),
		movePausedUntil:  make(map[wire.PartitionID]clock.Millis),
	}
	s.metrics.leading.Set(1)
	s.Log.Info().Str("Session", string(s.leader.session)).Msg("leading")
}

// Stop ends calls that wait for a change, so that a planned stop does not have
// to wait for them.
func (s *Service) Stop() { s.stopOnce.Do(func() { close(s.stopping) }) }

// Run performs the leader's periodic tasks until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	lastTick := s.Clock.Now()
	for s.Clock.Sleep(ctx, tickInterval) == nil {
		s.delayExpiryAfterStall(s.Clock.Now() - lastTick)
		lastTick = s.Clock.Now()
		s.Tick(ctx)
	}
	return nil
}

// delayExpiryAfterStall delays expiry when this process did not run for a
// while, because the renewals that arrived in that time are still unread.
// Without the delay, a leader that was paused or starved of CPU for a lease
// duration would expire all members at once, and their new registrations would
// keep it busy.
func (s *Service) delayExpiryAfterStall(elapsed clock.Millis) {
	if ls := s.currentLeaderState(); ls != nil && elapsed > stallThreshold {
		s.metrics.stalls.Inc()
		ls.granter.DelayExpiry(min(elapsed, maxExpiryDelay))
	}
}

// RunConfirmations runs the rounds that confirm leadership until ctx ends.
func (s *Service) RunConfirmations(ctx context.Context) error { return s.confirmer.run(ctx) }

// Tick performs the leader's periodic tasks once. It does nothing on other
// replicas.
func (s *Service) Tick(ctx context.Context) {
	ls := s.currentLeaderState()
	if ls == nil || !s.commitSession(ctx, ls) {
		return
	}
	s.expireLeases(ctx, ls)
	s.cancelStalledMoves(ctx, ls)
	now := s.Clock.Now()
	sampleDue := now-ls.loadsSampledAt >= loadSampleInterval
	if sampleDue {
		ls.loadsSampledAt = now
		ls.updateMeanLoads(s.Machine.PartitionList(), now)
		ls.updateSpeeds(s.Machine.MemberList(), now)
		s.updateNodeCounts(ls, now)
	}
	// Decisions that depend on load wait until every live member has had time to
	// report its load.
	balanceLoad := sampleDue && ls.granter.EarlierLeasesEnded()
	if balanceLoad {
		s.evaluateHotKeys(ctx, ls)
	}
	s.assignPartitions(ctx, ls, balanceLoad)
}

// commitSession commits the session to the log and reports whether the log
// contains it.
func (s *Service) commitSession(ctx context.Context, ls *leaderState) bool {
	if ls.sessionCommitted {
		return true
	}
	r, err := s.propose(ctx, wire.Command{LeaderStart: &wire.LeaderStart{Replica: s.Replica, Session: ls.session}})
	ls.sessionCommitted = err == nil && r.Err == nil
	return ls.sessionCommitted
}

func (s *Service) currentLeaderState() *leaderState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// requireLeader returns the leader's state, or an error if the call is for
// another group or this replica does not lead.
func (s *Service) requireLeader(g wire.GroupID) (*leaderState, error) {
	if g != s.Group {
		return nil, &rpc.Error{Code: rpc.CodeRejected, Message: "this replica belongs to group " + string(s.Group)}
	}
	ls := s.currentLeaderState()
	if ls == nil {
		return nil, s.notLeaderError()
	}
	return ls, nil
}

// requireConfirmedLeader is requireLeader for calls that read. A round that
// began after the call has confirmed leadership, and the leadership term is
// still the same.
func (s *Service) requireConfirmedLeader(ctx context.Context, g wire.GroupID) (*leaderState, error) {
	ls, err := s.requireLeader(g)
	if err != nil {
		return nil, err
	}
	return ls, s.confirm(ctx, ls)
}

// confirm waits for a round that confirms leadership. It returns an error if
// the leadership term has ended.
func (s *Service) confirm(ctx context.Context, ls *leaderState) error {
	if err := s.confirmer.wait(ctx); err != nil {
		return s.rpcError(err, rpc.CodeUnavailable)
	}
	if s.currentLeaderState() != ls {
		return s.notLeaderError()
	}
	return nil
}

func (s *Service) notLeaderError() error {
	return &rpc.Error{Code: rpc.CodeNotLeader, Message: "this replica does not lead", Leader: string(s.Status().Leader)}
}

// rpcError converts an error of the log to an RPC error. Errors other than
// those of this package get the code fallback.
func (s *Service) rpcError(err error, fallback rpc.Code) error {
	switch {
	case errors.Is(err, ErrNotLeader):
		return s.notLeaderError()
	case errors.Is(err, ErrTooLarge):
		return &rpc.Error{Code: rpc.CodeRejected, Message: err.Error()}
	case errors.Is(err, ErrOutcomeUnknown):
		return &rpc.Error{Code: rpc.CodeUnknown, Message: err.Error()}
	}
	return &rpc.Error{Code: fallback, Message: err.Error()}
}

// propose commits a command and returns the state machine's result. Its errors
// are RPC errors.
func (s *Service) propose(ctx context.Context, c wire.Command) (state.Result, error) {
	c.ProposedAt = wire.UnixMillis(s.Clock.Wall())
	data, err := json.Marshal(c)
	if err != nil {
		return state.Result{}, &rpc.Error{Code: rpc.CodeRejected, Message: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	v, err := s.Propose(ctx, data)
	if err != nil {
		s.metrics.proposals.WithLabelValues("error").Inc()
		return state.Result{}, s.rpcError(err, rpc.CodeUnknown)
	}
	r, ok := v.(state.Result)
	if !ok {
		return state.Result{}, &rpc.Error{Code: rpc.CodeUnknown, Message: "the log returned no result"}
	}
	s.metrics.countProposal(r.Err)
	return r, nil
}

// commit is propose for commands that are not tried again: a rejection by the
// state machine is returned as an error.
func (s *Service) commit(ctx context.Context, c wire.Command) (state.Result, error) {
	r, err := s.propose(ctx, c)
	if err != nil {
		return r, err
	}
	if r.Err != nil {
		return r, &rpc.Error{Code: rpc.CodeRejected, Message: r.Err.Error()}
	}
	return r, nil
}
