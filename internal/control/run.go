package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/replication"
	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/supervisor"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

const (
	// heartbeatInterval and electionTimeout keep an election under 600 ms at a
	// latency of about 1 ms between replicas.
	heartbeatInterval clock.Millis = 50
	electionTimeout   clock.Millis = 250
	// entriesPerSnapshot bounds the log that a restart replays.
	entriesPerSnapshot = 20000
	// transferTimeout bounds the transfer of leadership in a planned stop.
	transferTimeout clock.Millis = 1000
)

// Runner runs a control replica.
type Runner struct {
	// Validate checks a configuration against the accepted one, in addition to
	// the rules that the state machine depends on. It may be nil.
	Validate func(current, next wire.Configuration) error
}

// Run runs a control replica until ctx ends. The end of ctx begins a planned
// stop, which transfers leadership and finishes calls in progress.
func Run(ctx context.Context, s settings.Control, log zerolog.Logger) error {
	return Runner{}.Run(ctx, s, log)
}

// Run is like the function Run, with the checks of the Runner.
func (r Runner) Run(ctx context.Context, s settings.Control, log zerolog.Logger) error {
	listener, err := listen(s.Listen)
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	metricsListener, err := listen(s.MetricsListen)
	if err != nil {
		return err
	}
	defer func() { _ = metricsListener.Close() }()
	return r.RunWithListeners(ctx, s, log, listener, metricsListener)
}

func listen(a wire.Address) (net.Listener, error) {
	l, err := net.Listen("tcp", string(a))
	if err != nil {
		return nil, merry.Wrap(ErrFailed, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return l, nil
}

// RunWithListeners is like Run, with listeners that are already open.
func (r Runner) RunWithListeners(ctx context.Context, s settings.Control, log zerolog.Logger, rpcListener, metricsListener net.Listener) error {
	c, err := openComponents(ctx, s, r.Validate, log)
	if err != nil {
		return err
	}
	defer c.peers.close()
	// The end of ctx only begins the planned stop. The components keep running
	// until the stop ends them.
	tree := supervisor.Start(context.WithoutCancel(ctx), "control", c.children(rpcListener, metricsListener)...)
	select {
	case err := <-tree.Done():
		return merry.Wrap(ErrFailed, merry.WithCause(err), merry.AppendMessagef("%v", err))
	case <-ctx.Done():
	}
	c.stop(context.WithoutCancel(ctx), tree)
	return <-tree.Done()
}

// components are the running components of a control replica.
type components struct {
	service  *Service
	replica  *replog.Replica
	peers    *peers
	handlers *replicaHandlers
	registry *prometheus.Registry
	log      zerolog.Logger
	// cancelReplica ends the replicated log. Closing stopServing ends the RPC
	// server, and serverDone is closed when its calls have ended.
	cancelReplica context.CancelFunc
	stopServing   chan struct{}
	serverDone    chan struct{}
}

func openComponents(ctx context.Context, s settings.Control, validate func(current, next wire.Configuration) error, log zerolog.Logger) (*components, error) {
	c := &components{registry: newRegistry(), log: log, stopServing: make(chan struct{}), serverDone: make(chan struct{})}
	c.peers = newPeers(s.Group, s.Name, s.Replicas, c.registry)
	machine := state.New(s.Group)
	c.service = New(Options{
		Group: s.Group, Replica: s.Name, Clock: clock.System(), Machine: machine,
		Propose: c.propose, Confirm: c.confirm, Status: c.status,
		Validate: validate, NewID: uuid.NewString, Log: log, Registry: c.registry,
	})
	ctx, c.cancelReplica = context.WithCancel(context.WithoutCancel(ctx))
	replica, err := replog.Open(ctx, c.replogOptions(s, machine))
	if err != nil {
		c.cancelReplica()
		return nil, merry.Wrap(ErrFailed, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	c.replica = replica
	promauto.With(c.registry).NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "gentiansail", Subsystem: "control", Name: "term", Help: "Term of the replicated log; it grows with each election.",
	}, func() float64 { return float64(replica.Status().Term) })
	c.handlers = &replicaHandlers{group: s.Group, configured: s.Replicas, replica: replica, peers: c.peers, parts: replication.NewAssembler(), clock: clock.System(), log: log}
	return c, nil
}

func newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

func (c *components) replogOptions(s settings.Control, m *state.Machine) replog.Options {
	return replog.Options{
		Folder: s.DataFolder, Group: replog.GroupID(s.Group), Name: replog.ReplicaID(s.Name),
		Address: string(s.Replicas[s.Name]), Clock: clock.System(),
		Random:         rand.New(rand.NewPCG(rand.Uint64(), uint64(time.Now().UnixNano()))),
		HeartbeatEvery: heartbeatInterval, ElectionTimeout: electionTimeout, SnapshotEvery: entriesPerSnapshot,
		Send:     c.peers.send,
		Apply:    func(e replog.Entry) any { return m.Apply(wire.Version(e.Index), e.Data) },
		Snapshot: m.Capture, Restore: m.Restore,
		OnRoleChange: func(r replog.Role, _ replog.Term) { c.service.SetLeading(r == replog.Leader) },
	}
}

func (c *components) propose(ctx context.Context, command []byte) (any, error) {
	v, err := c.replica.Propose(ctx, command)
	return v, errorFromLog(err)
}

func (c *components) confirm(ctx context.Context) (wire.Version, error) {
	_, index, err := c.replica.ReadIndex(ctx)
	if errors.Is(err, replog.ErrNotLeader) {
		return 0, errorFromLog(err)
	}
	return wire.Version(index), err
}

func (c *components) status() Status { return statusOf(c.replica.Status()) }

func (c *components) health() error {
	if c.status().Leader == "" {
		return merry.Wrap(ErrNotLeader, merry.AppendMessage("no leader is known"))
	}
	return nil
}

func (c *components) children(rpcListener, metricsListener net.Listener) []supervisor.Child {
	server := rpc.NewServer()
	c.service.Register(server)
	c.handlers.register(server)
	metrics := func(ctx context.Context) error {
		return process.ServeMetrics(ctx, metricsListener, c.registry, c.health, nil)
	}
	children := []supervisor.Child{
		{Name: "log", Run: c.awaitLog, Policy: supervisor.Once},
		{Name: "calls", Run: func(ctx context.Context) error { return c.serve(ctx, server, rpcListener) }, Policy: supervisor.Once},
		{Name: "metrics", Run: metrics, Policy: supervisor.Fatal},
		{Name: "confirmations", Run: c.service.RunConfirmations, Policy: supervisor.Fatal},
		{Name: "duties", Run: c.service.Run, Policy: supervisor.Restart, OnRestart: c.reportRestart},
		{Name: "admission", Run: c.handlers.requestAdmission, Policy: supervisor.Once},
	}
	return append(children, c.peers.children()...)
}

func (c *components) reportRestart(err error) {
	c.log.Error().Err(err).Msg("periodic tasks of the leader failed; restarting them")
}

// awaitLog waits for the end of the replicated log. An error of the log ends
// the process, because nothing may be acknowledged after a failed fsync.
func (c *components) awaitLog(ctx context.Context) error {
	unregister := context.AfterFunc(ctx, c.cancelReplica)
	defer unregister()
	return <-c.replica.Done()
}

// serve handles calls until the planned stop, and returns when calls in
// progress have ended.
func (c *components) serve(ctx context.Context, server *rpc.Server, listener net.Listener) error {
	defer close(c.serverDone)
	unregister := context.AfterFunc(ctx, c.service.Stop)
	defer unregister()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-c.stopServing:
			cancel()
		case <-ctx.Done():
		}
	}()
	return server.Serve(ctx, listener)
}

// stop performs a planned stop. Its order lets calls in progress finish: first
// it transfers leadership while this replica still sends and receives messages,
// then it waits for the last calls, then it stops the other components.
func (c *components) stop(ctx context.Context, tree *supervisor.Tree) {
	c.log.Info().Msg("planned stop")
	c.service.Stop()
	transferCtx, cancel := context.WithTimeout(ctx, transferTimeout.Duration())
	defer cancel()
	// The transfer fails on a replica that does not lead or is alone in its group;
	// the stop continues without it.
	_ = c.replica.TransferLeadership(transferCtx)
	close(c.stopServing)
	<-c.serverDone
	tree.Stop()
}
