// Package control is the control process: one replica of a control group.
//
// Service is its core. It answers the calls of nodes and operators, renews and
// expires leases, and decides who owns which partition. It reaches the
// replicated log through function fields only, so its tests need neither files
// nor sockets. Run joins a Service to a replog.Replica, the RPC server and the
// other replicas.
//
// Only the leader answers, and only after a majority has confirmed its
// leadership in a round that began after the call arrived. All soft state
// (lease renewals, loads, who was heard) belongs to one time in office and is
// dropped with it. A new leader does not know which leases its predecessor
// renewed, so it ends no member before every such lease must have ended;
// renewals of members that the log knows may be granted at once, as they only
// extend what the log already says.
//
// Commands that rest on soft state carry the session of the office. The state
// machine refuses them after another session has started, so a decision that is
// delayed across two elections cannot take effect.
//
// # Usage
//
//	err := control.Run(ctx, settings, log)
//
// The core alone:
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
	// components failed for good.
	ErrFailed = merry.Sentinel("control replica failed")
)

const (
	// proposeTimeout bounds a commit. Two elections fit into it.
	proposeTimeout clock.Millis = 2000
	// confirmTimeout bounds a confirmation round; a renewal is worthless after
	// the lease duration of 900 ms.
	confirmTimeout clock.Millis = 900
	// dutyEvery is the pace of expiry and assignment. It adds to the time
	// without an owner, of which the budget leaves 200 ms.
	dutyEvery clock.Millis = 20
	// stallAfter is how late the leader's duties may be before it counts as
	// stalled. A commit on a busy disk takes less.
	stallAfter clock.Millis = 200
	// maxHold bounds the delay of expiry after a stall.
	maxHold clock.Millis = 500
	// sampleEvery is the pace of decisions that rest on load.
	sampleEvery clock.Millis = 1000
)

// Options are the parts of a Service.
type Options struct {
	Group   wire.GroupID
	Replica wire.ReplicaID
	Clock   clock.Clock
	Machine *state.Machine
	// Propose commits a command and returns the machine's result. Its errors
	// are ErrNotLeader, ErrTooLarge and ErrOutcomeUnknown.
	Propose func(ctx context.Context, command []byte) (any, error)
	// Confirm confirms leadership by a round that begins after the call; the
	// machine has applied all entries up to the returned index.
	Confirm func(ctx context.Context) (wire.Version, error)
	// Status describes the replicated log.
	Status func() Status
	// Validate checks a configuration against the accepted one, in addition to
	// the rules that the state machine rests on. It may be nil.
	Validate func(current, next wire.Configuration) error
	// NewID returns a random id.
	NewID    func() string
	Log      zerolog.Logger
	Registry *prometheus.Registry
}

// Status is what a Service needs to know of the replicated log.
type Status struct {
	// Leader is the address of the leader, empty while unknown.
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
	office *office
}

// New returns a service that does not lead.
func New(o Options) *Service {
	s := &Service{Options: o, deltas: newDeltaCache(o.Machine), stopping: make(chan struct{})}
	s.metrics = newMetrics(o.Registry, o.Machine)
	s.confirmer = newConfirmer(o.Confirm, s.metrics.confirmRounds.Inc)
	return s
}

// office is the soft state of one time as leader.
type office struct {
	session wire.SessionID
	granter *lease.Granter[wire.Incarnation]
	since   clock.Millis
	// ended is closed when leadership is lost.
	ended chan struct{}

	mu    sync.Mutex
	nodes map[wire.NodeID]*observation

	callers *callerShares

	// The rest belongs to the goroutine that performs the duties.
	hot map[wire.PartitionID]*heat
	// held is when this leader first saw a service whose assignment must wait.
	held map[wire.ServiceName]hold
	// started is set once the session is in the log.
	started bool
	// means are the loads of partitions.
	means map[wire.PartitionID]sampledLoad
	// speeds are the parts of their capacity that members can use.
	speeds map[wire.Incarnation]memberSpeed
	// planned is the version of the state for which assign found nothing to do.
	planned wire.Version
	// moving and paused are for planned moves that do not complete.
	moving    map[wire.PartitionID]moving
	paused    map[wire.PartitionID]clock.Millis
	movesSeen clock.Millis
	// sampled and assigned are the times of the last passes.
	sampled  clock.Millis
	assigned clock.Millis
}

// SetLeading tells the service that this replica has won or lost an election.
func (s *Service) SetLeading(leading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.office != nil {
		close(s.office.ended)
		s.office = nil
		s.metrics.leading.Set(0)
		s.Log.Info().Msg("no longer leading")
	}
	if !leading {
		return
	}
	s.office = &office{
		session: wire.SessionID(s.NewID()),
		granter: lease.NewGranter[wire.Incarnation](s.Clock, lease.DefaultTerms),
		since:   s.Clock.Now(),
		ended:   make(chan struct{}),
		nodes:   make(map[wire.NodeID]*observation),
		callers: newCallerShares(s.Clock.Now()),
		hot:     make(map[wire.PartitionID]*heat),
		held:    make(map[wire.ServiceName]hold),
		paused:  make(map[wire.PartitionID]clock.Millis),
	}
	s.metrics.leading.Set(1)
	s.Log.Info().Str("Session", string(s.office.session)).Msg("leading")
}

// Stop ends calls that wait for a change, so that a planned stop need not.
func (s *Service) Stop() { s.stopOnce.Do(func() { close(s.stopping) }) }

// Run confirms leadership for waiting calls and performs the leader's duties
// until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	last := s.Clock.Now()
	for s.Clock.Sleep(ctx, dutyEvery) == nil {
		s.excuseStall(s.Clock.Now() - last)
		last = s.Clock.Now()
		s.Tick(ctx)
	}
	return nil
}

// excuseStall delays expiry after this process did not run for a while: the
// renewals that arrived meanwhile are still unread. Without it a leader that was
// paused or starved for a lease duration ends all of its members at once, and
// their registrations keep it busy.
func (s *Service) excuseStall(since clock.Millis) {
	if o := s.currentOffice(); o != nil && since > stallAfter {
		s.metrics.stalls.Inc()
		o.granter.Hold(min(since, maxHold))
	}
}

// RunConfirmations runs the confirmation rounds until ctx ends.
func (s *Service) RunConfirmations(ctx context.Context) error { return s.confirmer.run(ctx) }

// Tick performs the leader's duties once; it does nothing on other replicas.
func (s *Service) Tick(ctx context.Context) {
	o := s.currentOffice()
	if o == nil || !s.start(ctx, o) {
		return
	}
	s.expire(ctx, o)
	s.cancelStuckMoves(ctx, o)
	now := s.Clock.Now()
	sampled := now-o.sampled >= sampleEvery
	if sampled {
		o.sampled = now
		o.sample(s.Machine.PartitionList(), now)
		o.judgeSpeeds(s.Machine.MemberList(), now)
		s.countNodes(o, now)
	}
	// Decisions that rest on load wait until every member can have reported.
	byLoad := sampled && o.granter.WaitedOut()
	if byLoad {
		s.judgeHotKeys(ctx, o)
	}
	s.assign(ctx, o, byLoad)
}

// start puts the session into the log.
func (s *Service) start(ctx context.Context, o *office) bool {
	if o.started {
		return true
	}
	r, err := s.propose(ctx, wire.Command{LeaderStart: &wire.LeaderStart{Replica: s.Replica, Session: o.session}})
	o.started = err == nil && r.Err == nil
	return o.started
}

func (s *Service) currentOffice() *office {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.office
}

// enter checks the group of a call and returns the current office.
func (s *Service) enter(g wire.GroupID) (*office, error) {
	if g != s.Group {
		return nil, &rpc.Error{Code: rpc.CodeRefused, Message: "this replica belongs to group " + string(s.Group)}
	}
	o := s.currentOffice()
	if o == nil {
		return nil, s.notLeader()
	}
	return o, nil
}

// enterConfirmed is enter for calls that read: leadership is confirmed by a
// round that began after the call, and the office is still the same.
func (s *Service) enterConfirmed(ctx context.Context, g wire.GroupID) (*office, error) {
	o, err := s.enter(g)
	if err != nil {
		return nil, err
	}
	return o, s.confirm(ctx, o)
}

func (s *Service) confirm(ctx context.Context, o *office) error {
	if err := s.confirmer.wait(ctx); err != nil {
		return s.translate(err, rpc.CodeUnavailable)
	}
	if s.currentOffice() != o {
		return s.notLeader()
	}
	return nil
}

func (s *Service) notLeader() error {
	return &rpc.Error{Code: rpc.CodeNotLeader, Message: "this replica does not lead", Leader: string(s.Status().Leader)}
}

// translate turns errors of the log into errors of the protocol.
func (s *Service) translate(err error, otherwise rpc.Code) error {
	switch {
	case errors.Is(err, ErrNotLeader):
		return s.notLeader()
	case errors.Is(err, ErrTooLarge):
		return &rpc.Error{Code: rpc.CodeRefused, Message: err.Error()}
	case errors.Is(err, ErrOutcomeUnknown):
		return &rpc.Error{Code: rpc.CodeUnknown, Message: err.Error()}
	}
	return &rpc.Error{Code: otherwise, Message: err.Error()}
}

// propose commits a command and returns the machine's result. Errors are ready
// for the protocol.
func (s *Service) propose(ctx context.Context, c wire.Command) (state.Result, error) {
	c.ProposedAt = wire.UnixMillis(s.Clock.Wall())
	data, err := json.Marshal(c)
	if err != nil {
		return state.Result{}, &rpc.Error{Code: rpc.CodeRefused, Message: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	v, err := s.Propose(ctx, data)
	if err != nil {
		s.metrics.proposals.WithLabelValues("error").Inc()
		return state.Result{}, s.translate(err, rpc.CodeUnknown)
	}
	r, ok := v.(state.Result)
	if !ok {
		return state.Result{}, &rpc.Error{Code: rpc.CodeUnknown, Message: "the log returned no result"}
	}
	s.metrics.countProposal(r.Err)
	return r, nil
}

// commit is propose for commands whose refusal is final.
func (s *Service) commit(ctx context.Context, c wire.Command) (state.Result, error) {
	r, err := s.propose(ctx, c)
	if err != nil {
		return r, err
	}
	if r.Err != nil {
		return r, &rpc.Error{Code: rpc.CodeRefused, Message: r.Err.Error()}
	}
	return r, nil
}
