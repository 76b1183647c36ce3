// Package core implements a replica of the mesh's core. The leader serves sidecars and
// operators from the replicated registry and assigns keys to targets.
//
// Followers serve no state; their responses name the leader. Before each response that
// renews a lease, publishes state or returns the configuration, the leader confirms its
// leadership with a round of the log.
//
// # Usage
//
//	c := core.New(core.Options{...})
//	err := c.Run(ctx, listener)
package core

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/quorum"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/grant"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/supervisor"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

const (
	// defaultLeaseDuration is the duration of a lease unless the settings limit it to less.
	// It is longer than an election (1 s) and a restart of the whole core (about 3 s), so
	// that owners keep serving meanwhile. If a target dies without notice, its keys are not
	// served until its lease has ended.
	defaultLeaseDuration clock.Millis = 4500
	// proposeTimeout bounds the commit of one command.
	proposeTimeout clock.Millis = 900
)

// Options configure a Core.
type Options struct {
	Settings settings.Host
	Clock    clock.Clock
	Log      zerolog.Logger
	// Metrics is where the metrics are registered.
	Metrics prometheus.Registerer
}

// Core is one replica of the core.
type Core struct {
	options Options
	log     zerolog.Logger
	quorum  *quorum.Quorum
	machine *registry.Machine
	leases  *grant.LeaseTable
	metrics *metrics
	// leaseTableTerm is the log's term to which the lease table belongs. The status of the
	// log shows a new term before onRole is called; until then, the table still has the
	// leases of an earlier term.
	leaseTableTerm atomic.Uint64

	// changesMu guards pendingChanges, which are the changes being committed by digest.
	changesMu      sync.Mutex
	pendingChanges map[string]*pendingChange

	// mu serializes decisions about keys: grants, moves and expiries.
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
	// planNow wakes the planner.
	planNow chan struct{}
}

// New returns a Core that is not running yet.
func New(options Options) *Core {
	leaseDuration := min(defaultLeaseDuration, max(options.Settings.Bounds.MaxLeaseMillis, 1))
	if options.Settings.Bounds.MaxLeaseMillis == 0 {
		leaseDuration = defaultLeaseDuration
	}
	c := &Core{options: options, log: options.Log, machine: registry.New(), pendingChanges: map[string]*pendingChange{}, planNow: make(chan struct{}, 1), leases: grant.NewLeaseTable(options.Clock, leaseDuration)}
	c.resetPlans()
	var seeds []message.Address
	for _, a := range options.Settings.Seeds {
		seeds = append(seeds, quorum.PeerAddress(a, options.Settings.PeerPort))
	}
	c.quorum = quorum.New(quorum.Options{
		Name: options.Settings.Name, Address: c.peerAddress(), DataFolder: options.Settings.DataFolder,
		Seeds: seeds, FirstStart: options.Settings.FirstStart, VoterCount: c.voterCount(),
		Machine: quorum.StateMachine{
			Apply: c.machine.Apply, Capture: c.machine.Capture, Restore: c.machine.Restore,
			Reset: func() { _ = c.machine.Restore([]byte("{}")) },
		},
		Clock: options.Clock, Log: options.Log, OnRole: c.onRole,
	})
	c.metrics = newMetrics(options.Metrics, c)
	return c
}

// voterCount is the number of voters with which the group keeps a majority when it loses
// as many hosts as the settings require it to tolerate.
func (c *Core) voterCount() int { return 2*c.options.Settings.TolerateHosts + 1 }

func (c *Core) peerAddress() message.Address {
	return quorum.PeerAddress(c.options.Settings.Listen.Control, c.options.Settings.PeerPort)
}

// resetPlans drops the state on which pending decisions are based.
func (c *Core) resetPlans() {
	c.unassignedSince = map[message.ServiceName]clock.Millis{}
	c.leavingSince = map[message.Incarnation]clock.Millis{}
	c.moveWantedSince = map[message.ServiceName]clock.Millis{}
	c.loadsCommittedAt = map[message.ServiceName]clock.Millis{}
	c.delayedOwners = map[message.Incarnation]bool{}
	c.rebalancedAt = map[message.ServiceName]clock.Millis{}
	c.settled, c.settling, c.settlingSince = 0, 0, 0
}

// onRole is called from the event loop of the log and must not block. The lock of the lease
// table is held only briefly, and the planner resets the plans later.
func (c *Core) onRole(r replog.Role, t replog.Term) {
	c.log.Info().Str("Event", "role").Str("LogRole", r.String()).Uint64("Term", uint64(t)).Msg("role changed")
	if r == replog.Leader {
		c.leases.BeginTerm()
		c.leaseTableTerm.Store(uint64(t))
	}
}

// isLeader reports whether this replica leads and its lease table belongs to the current
// term.
func (c *Core) isLeader() bool {
	s, ok := c.quorum.Status()
	return ok && s.Role == replog.Leader && uint64(s.Term) == c.leaseTableTerm.Load()
}

// Run serves the other processes of the mesh and runs the log until ctx ends.
func (c *Core) Run(ctx context.Context, l net.Listener) error {
	server := rpc.NewServer()
	c.quorum.Register(server)
	rpc.Handle(server, message.MethodWatch, c.watch)
	rpc.Handle(server, message.MethodHeartbeat, c.heartbeat)
	rpc.Handle(server, message.MethodLease, c.lease)
	rpc.Handle(server, message.MethodLeaseWatch, c.watchLease)
	rpc.Handle(server, message.MethodLeave, c.leave)
	rpc.Handle(server, message.MethodHostStop, c.hostStop)
	rpc.Handle(server, message.MethodCrash, c.crash)
	// On shutdown, the log transfers its leadership, so the server that carries its messages
	// must stop after it.
	serverCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	peers := supervisor.Start(serverCtx, "core", supervisor.Child{Name: "peers", Run: func(ctx context.Context) error { return server.Serve(ctx, l) }})
	tasks := supervisor.Start(ctx, "core",
		supervisor.Child{Name: "log", Run: c.quorum.Run},
		supervisor.Child{Name: "planner", Run: c.runPlanner, Policy: supervisor.Restart, OnRestart: func(err error) {
			c.log.Error().Err(err).Str("Event", "planner-restarted").Msg("planner failed")
		}},
	)
	var err error
	select {
	case err = <-tasks.Done():
		stop()
		<-peers.Done()
	case err = <-peers.Done():
		tasks.Stop()
		<-tasks.Done()
	}
	return err
}

// propose commits a command and returns its outcome.
func (c *Core) propose(ctx context.Context, command message.Command) (registry.Outcome, error) {
	return c.proposeWithin(ctx, command, proposeTimeout)
}

func (c *Core) proposeWithin(ctx context.Context, command message.Command, timeout clock.Millis) (registry.Outcome, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return registry.Outcome{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	out, err := c.quorum.Propose(ctx, data)
	if err != nil {
		return registry.Outcome{}, err
	}
	return out.(registry.Outcome), nil
}

// requireLeader returns an error with the address of the leader if another replica leads.
func (c *Core) requireLeader() error {
	if c.isLeader() {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeNotLeader, Message: "another replica leads", Leader: c.quorum.Leader()}
}

// maxWatchWait bounds how long a watch stays open without a change. The sidecar needs the
// response to know that its copy of the state is still current.
const maxWatchWait clock.Millis = 1000

// watch returns the changes after the known version, or waits for them.
func (c *Core) watch(ctx context.Context, r message.WatchRequest) (message.WatchReply, error) {
	end := c.options.Clock.Now() + min(clock.Millis(r.WaitMillis), maxWatchWait)
	if err := c.requireLeader(); err != nil {
		return message.WatchReply{}, err
	}
	for _, reported := range append(r.RejectedLoads, message.ServiceLoads{Service: r.Service, Loads: r.Loads}) {
		if len(reported.Loads) > 0 {
			c.leases.SeedLoads(reported.Service, c.machine.Assignments(reported.Service).Loads)
			c.leases.RecordLoads(reported.Service, reported.Loads)
		}
	}
	if _, err := c.quorum.Confirm(ctx); err != nil {
		return message.WatchReply{}, err
	}
	for {
		changed := c.machine.Changed()
		out := c.machine.ChangesSince(r.KnownVersion)
		if len(out.Items)+len(out.Removed) > 0 || out.Packed != nil || out.Full || c.options.Clock.Now() >= end {
			out.CoreAddresses = c.voterAddresses()
			return out, nil
		}
		waitCtx, cancel := context.WithTimeout(ctx, (end - c.options.Clock.Now()).Duration())
		select {
		case <-changed:
		case <-waitCtx.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return message.WatchReply{}, ctx.Err()
		}
		if err := c.requireLeader(); err != nil {
			return message.WatchReply{}, err
		}
	}
}

func (c *Core) voterAddresses() []message.Address {
	out := []message.Address{}
	if s, ok := c.quorum.Status(); ok {
		for _, m := range s.Voters {
			out = append(out, message.Address(m.Address))
		}
	}
	return out
}

func (c *Core) leave(ctx context.Context, l message.Leave) (struct{}, error) {
	out, err := c.propose(ctx, message.Command{Leave: &l})
	c.log.Info().Err(err).Str("Event", "target-leaves").Str("Target", string(l.Incarnation.ID)).Bool("Gone", l.Final).Int("Status", int(out.Status)).Msg("target is draining")
	return struct{}{}, err
}

func (c *Core) hostStop(ctx context.Context, h message.HostStop) (struct{}, error) {
	_, err := c.propose(ctx, message.Command{HostStop: &h})
	return struct{}{}, err
}

func (c *Core) crash(ctx context.Context, r message.Crash) (struct{}, error) {
	_, err := c.propose(ctx, message.Command{Crash: &r})
	if i, ok := c.machine.Instance(r.Incarnation.ID); err == nil && r.Ended && ok && i.Incarnation == r.Incarnation && c.grantsByCall(i.Service) {
		// The keys of a process that has ended need not wait for its lease.
		_, err = c.propose(ctx, message.Command{Expire: &r.Incarnation})
		c.wakePlanner()
	}
	c.log.Warn().Err(err).Str("Event", "target-crashed").Str("Target", string(r.Incarnation.ID)).Bool("Ended", r.Ended).Strs("Fingerprints", r.Fingerprints).Msg("a target died while it processed requests")
	return struct{}{}, err
}
