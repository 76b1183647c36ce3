// Package core implements a replica of the mesh's core. The leader serves sidecars and
// operators from the replicated registry and assigns keys to targets.
//
// Followers serve no state; their responses name the leader. What a leader knows and decides
// belongs to one leadership: one term, of one opening of the log. A call is handled by the
// leadership in which it arrived, and by no later one. Before each response that renews a
// lease, publishes state or returns the configuration, the leadership is confirmed with a
// round of the log; the state that is read then is never older than that, however long the
// call waits.
//
// # Usage
//
//	c := core.New(core.Options{...})
//	err := c.Run(ctx, listener)
package core

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/quorum"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
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
	metrics *metrics
	// current is the leadership of this replica, or one that has ended because the log was
	// closed; nil if there is none.
	current atomic.Pointer[leadership]
	// planNow wakes the planner.
	planNow chan struct{}
}

// New returns a Core that is not running yet.
func New(options Options) *Core {
	c := &Core{options: options, log: options.Log, planNow: make(chan struct{}, 1)}
	var seeds []message.Address
	for _, a := range options.Settings.Seeds {
		seeds = append(seeds, quorum.PeerAddress(a, options.Settings.PeerPort))
	}
	c.quorum = quorum.New(quorum.Options{
		Name: options.Settings.Name, Address: c.peerAddress(), DataFolder: options.Settings.DataFolder,
		Seeds: seeds, FirstStart: options.Settings.FirstStart, VoterCount: c.voterCount(),
		NewMachine: func() quorum.StateMachine {
			m := registry.New()
			return quorum.StateMachine{Apply: m.Apply, Capture: m.Capture, Restore: m.Restore, State: m}
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

// onRole is called from the event loop of the log and must not block.
func (c *Core) onRole(r replog.Role, t replog.Term, l *quorum.Leadership) {
	c.log.Info().Str("Event", "role").Str("LogRole", r.String()).Uint64("Term", uint64(t)).Msg("role changed")
	if l == nil {
		c.current.Store(nil)
		return
	}
	c.current.Store(c.newLeadership(l, l.State().(*registry.Machine)))
}

// lead returns the current leadership, or an error with the address of the leader, if one is
// known.
func (c *Core) lead() (*leadership, error) {
	if l := c.current.Load(); l != nil && l.Err() == nil {
		return l, nil
	}
	return nil, &rpc.Error{Code: rpc.CodeNotLeader, Message: "another replica leads", Leader: c.quorum.Leader()}
}

// isLeader reports whether this replica leads as far as it knows.
func (c *Core) isLeader() bool {
	_, err := c.lead()
	return err == nil
}

// Run serves the other processes of the mesh and runs the log until ctx ends.
func (c *Core) Run(ctx context.Context, l net.Listener) error {
	server := rpc.NewServer()
	c.quorum.Register(server)
	handle(c, server, message.MethodWatch, (*leadership).watch)
	rpc.Handle(server, message.MethodHeartbeat, c.heartbeat)
	rpc.Handle(server, message.MethodLease, c.lease)
	handle(c, server, message.MethodLeaseWatch, (*leadership).watchLease)
	handle(c, server, message.MethodLeave, (*leadership).leave)
	handle(c, server, message.MethodHostStop, (*leadership).hostStop)
	handle(c, server, message.MethodCrash, (*leadership).crash)
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

// handle registers a method that the current leadership handles.
func handle[Request, Response any](c *Core, s *rpc.Server, method string, f func(*leadership, context.Context, Request) (Response, error)) {
	rpc.Handle(s, method, func(ctx context.Context, r Request) (Response, error) { return serve(ctx, c, r, f) })
}

// serve passes a call to the current leadership.
func serve[Request, Response any](ctx context.Context, c *Core, r Request, f func(*leadership, context.Context, Request) (Response, error)) (Response, error) {
	l, err := c.lead()
	if err != nil {
		var none Response
		return none, err
	}
	return f(l, ctx, r)
}

// heartbeat responds to the heartbeat of a target.
func (c *Core) heartbeat(ctx context.Context, h message.Heartbeat) (message.HeartbeatReply, error) {
	out, err := serve(ctx, c, h, (*leadership).heartbeat)
	c.metrics.countResult(c.metrics.heartbeats, err)
	return out, err
}

// lease gives the sidecar of a target a lease of the target's keys, and completes the moves
// of the keys that the target has released.
func (c *Core) lease(ctx context.Context, r message.LeaseRequest) (message.LeaseReply, error) {
	out, err := serve(ctx, c, r, (*leadership).lease)
	c.metrics.countResult(c.metrics.leases, err)
	return out, err
}
