// Package core is a replica of the mesh's core: it answers sidecars and operators
// from the replicated registry, and decides who holds which keys while it leads.
//
// Followers answer nothing about the state; they name the leader. The leader
// proves its leadership by a round of the log before each answer that renews a
// lease, publishes state or reads the configuration.
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
	// holdLength is the length of a lease. It outlasts an election (1 s) and a
	// restart of the whole core (about 3 s), so that owners keep serving; keys of a
	// target that was lost without a word are unserved for as long.
	holdLength clock.Millis = 4500
	// proposeTimeout bounds one commit on behalf of a sidecar.
	proposeTimeout clock.Millis = 900
)

// Options configure a Core.
type Options struct {
	Settings settings.Host
	Clock    clock.Clock
	Log      zerolog.Logger
	// Metrics takes the counters.
	Metrics prometheus.Registerer
}

// Core is one replica.
type Core struct {
	o       Options
	log     zerolog.Logger
	quorum  *quorum.Quorum
	machine *registry.Machine
	book    *grant.LeaseTable
	metrics *metrics
	// ledTerm is the term for which the book was begun. The log shows a new term
	// before it tells of it; in between, the book knows only earlier leases.
	ledTerm atomic.Uint64

	// mu orders decisions about keys: what is granted and what is taken away.
	mu sync.Mutex
	// firstSeen is when a keyed service was first seen with no holder.
	firstSeen map[message.ServiceName]clock.Millis
	// leaving is when a holder was first seen to be leaving.
	leaving map[message.Incarnation]clock.Millis
	// wanted is since when a service has wanted a planned move.
	wanted map[message.ServiceName]clock.Millis
	// loadsKept is when the loads of a service were committed last.
	loadsKept map[message.ServiceName]clock.Millis
	// parked are overloaded targets whose check-ins wait for another to check in.
	parked map[message.Incarnation]bool
}

// New returns a Core that is not running yet.
func New(o Options) *Core {
	hold := min(holdLength, max(o.Settings.Bounds.MaxHoldMillis, 1))
	if o.Settings.Bounds.MaxHoldMillis == 0 {
		hold = holdLength
	}
	c := &Core{o: o, log: o.Log, machine: registry.New(), book: grant.NewLeaseTable(o.Clock, hold)}
	c.reset()
	var seeds []message.Address
	for _, a := range o.Settings.Seeds {
		seeds = append(seeds, quorum.PeerAddress(a, o.Settings.PeerPort))
	}
	c.quorum = quorum.New(quorum.Options{
		Name: o.Settings.Name, Address: c.address(), DataFolder: o.Settings.DataFolder,
		Seeds: seeds, FirstStart: o.Settings.FirstStart, VoterCount: c.voters(),
		Machine: quorum.StateMachine{
			Apply: c.machine.Apply, Capture: c.machine.Capture, Restore: c.machine.Restore,
			Reset: func() { _ = c.machine.Restore([]byte("{}")) },
		},
		Clock: o.Clock, Log: o.Log, OnRole: c.onRole,
	})
	c.metrics = newMetrics(o.Metrics, c)
	return c
}

// voters is the size of a group that keeps a majority through the stated loss.
func (c *Core) voters() int { return 2*c.o.Settings.TolerateHosts + 1 }

func (c *Core) address() message.Address {
	return quorum.PeerAddress(c.o.Settings.Listen.Control, c.o.Settings.PeerPort)
}

func (c *Core) reset() {
	c.firstSeen = map[message.ServiceName]clock.Millis{}
	c.leaving = map[message.Incarnation]clock.Millis{}
	c.wanted = map[message.ServiceName]clock.Millis{}
	c.loadsKept = map[message.ServiceName]clock.Millis{}
	c.parked = map[message.Incarnation]bool{}
}

// onRole is called by the log's loop and must not wait: the book is locked for
// moments only, and the plans are forgotten by the planner.
func (c *Core) onRole(r replog.Role, t replog.Term) {
	c.log.Info().Str("Event", "role").Str("LogRole", r.String()).Uint64("Term", uint64(t)).Msg("role changed")
	if r == replog.Leader {
		c.book.BeginTerm()
		c.ledTerm.Store(uint64(t))
	}
}

// leads reports whether this replica leads and its book belongs to the term.
func (c *Core) leads() bool {
	s, ok := c.quorum.Status()
	return ok && s.Role == replog.Leader && uint64(s.Term) == c.ledTerm.Load()
}

// Run serves the other processes of the mesh until ctx ends.
func (c *Core) Run(ctx context.Context, l net.Listener) error {
	server := rpc.NewServer()
	c.quorum.Register(server)
	rpc.Handle(server, message.MethodWatch, c.watch)
	rpc.Handle(server, message.MethodHeartbeat, c.checkIn)
	rpc.Handle(server, message.MethodLeave, c.leave)
	rpc.Handle(server, message.MethodHostStop, c.hostStop)
	rpc.Handle(server, message.MethodCrash, c.crash)
	// The log hands leadership over while the server still carries its messages.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	serve := supervisor.Start(serving, "core", supervisor.Child{Name: "peers", Run: func(ctx context.Context) error { return server.Serve(ctx, l) }})
	log := supervisor.Start(ctx, "core",
		supervisor.Child{Name: "log", Run: c.quorum.Run},
		supervisor.Child{Name: "planner", Run: c.plan, Policy: supervisor.Restart, OnRestart: func(err error) {
			c.log.Error().Err(err).Str("Event", "planner-restarted").Msg("planner failed")
		}},
	)
	var err error
	select {
	case err = <-log.Done():
		stop()
		<-serve.Done()
	case err = <-serve.Done():
		log.Stop()
		<-log.Done()
	}
	return err
}

// propose commits a command.
func (c *Core) propose(ctx context.Context, command message.Command) (registry.Outcome, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return registry.Outcome{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	out, err := c.quorum.Propose(ctx, data)
	if err != nil {
		return registry.Outcome{}, err
	}
	return out.(registry.Outcome), nil
}

// requireLeader returns an error that names the leader if this is another replica.
func (c *Core) requireLeader() error {
	if c.leads() {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeNotLeader, Message: "another replica leads", Leader: c.quorum.Leader()}
}

// maxWatchWait bounds how long a watch stays open; its answer is also the proof
// that the sidecar's copy is still current.
const maxWatchWait clock.Millis = 1000

func (c *Core) watch(ctx context.Context, r message.WatchRequest) (message.WatchReply, error) {
	end := c.o.Clock.Now() + min(clock.Millis(r.WaitMillis), maxWatchWait)
	if err := c.requireLeader(); err != nil {
		return message.WatchReply{}, err
	}
	for _, s := range append(r.RejectedLoads, message.ServiceLoads{Service: r.Service, Loads: r.Loads}) {
		if len(s.Loads) > 0 {
			c.book.SeedLoads(s.Service, c.machine.Assignments(s.Service).Loads)
			c.book.RecordLoads(s.Service, s.Loads)
		}
	}
	if err := c.quorum.Confirm(ctx); err != nil {
		return message.WatchReply{}, err
	}
	for {
		changed := c.machine.Changed()
		out := c.machine.ChangesSince(r.KnownVersion)
		if len(out.Items)+len(out.Removed) > 0 || out.Packed != nil || out.Full || c.o.Clock.Now() >= end {
			out.CoreAddresses = c.members()
			return out, nil
		}
		timed, cancel := context.WithTimeout(ctx, (end - c.o.Clock.Now()).Duration())
		select {
		case <-changed:
		case <-timed.Done():
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

func (c *Core) members() []message.Address {
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
	c.log.Info().Err(err).Str("Event", "target-leaves").Str("Target", string(l.Incarnation.ID)).Bool("Gone", l.Final).Int("Status", int(out.Status)).Msg("target takes no new work")
	return struct{}{}, err
}

func (c *Core) hostStop(ctx context.Context, h message.HostStop) (struct{}, error) {
	_, err := c.propose(ctx, message.Command{HostStop: &h})
	return struct{}{}, err
}

func (c *Core) crash(ctx context.Context, r message.Crash) (struct{}, error) {
	_, err := c.propose(ctx, message.Command{Crash: &r})
	c.log.Warn().Err(err).Str("Event", "target-crashed").Str("Target", string(r.Incarnation.ID)).Strs("Fingerprints", r.Fingerprints).Msg("requests were in flight at a target that died")
	return struct{}{}, err
}
