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
	// heartbeatEvery and electionTimeout keep an election under 600 ms where
	// replicas are about 1 ms apart.
	heartbeatEvery  clock.Millis = 50
	electionTimeout clock.Millis = 250
	// snapshotEvery bounds the log that a restart replays.
	snapshotEvery = 20000
	// transferTimeout bounds the handover of leadership in a planned stop.
	transferTimeout clock.Millis = 1000
)

// Runner runs a control replica.
type Runner struct {
	// Validate checks a configuration against the accepted one, in addition to
	// the rules that the state machine rests on. It may be nil.
	Validate func(current, next wire.Configuration) error
}

// Run runs a control replica until ctx ends, which is a planned stop: leadership
// is transferred and calls in progress are finished.
func Run(ctx context.Context, s settings.Control, log zerolog.Logger) error {
	return Runner{}.Run(ctx, s, log)
}

// Run is the function Run with the runner's checks.
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

// RunWithListeners is Run with listeners that are open already.
func (r Runner) RunWithListeners(ctx context.Context, s settings.Control, log zerolog.Logger, l, metricsListener net.Listener) error {
	p, err := open(ctx, s, r.Validate, log)
	if err != nil {
		return err
	}
	defer p.peers.close()
	// The end of ctx begins the planned stop; the parts run on until it is done.
	tree := supervisor.Start(context.WithoutCancel(ctx), "control", p.children(l, metricsListener)...)
	select {
	case err := <-tree.Done():
		return merry.Wrap(ErrFailed, merry.WithCause(err), merry.AppendMessagef("%v", err))
	case <-ctx.Done():
	}
	p.stop(context.WithoutCancel(ctx), tree)
	return <-tree.Done()
}

// parts are the running parts of a control replica.
type parts struct {
	service  *Service
	replica  *replog.Replica
	peers    *peers
	calls    *replicaCalls
	registry *prometheus.Registry
	log      zerolog.Logger
	// stopReplica ends the replicated log, stopServing the RPC server; served is
	// closed when the server has finished its calls.
	stopReplica context.CancelFunc
	stopServing chan struct{}
	served      chan struct{}
}

func open(ctx context.Context, s settings.Control, validate func(current, next wire.Configuration) error, log zerolog.Logger) (*parts, error) {
	p := &parts{registry: newRegistry(), log: log, stopServing: make(chan struct{}), served: make(chan struct{})}
	p.peers = newPeers(s.Group, s.Name, s.Replicas, p.registry)
	machine := state.New(s.Group)
	p.service = New(Options{
		Group: s.Group, Replica: s.Name, Clock: clock.System(), Machine: machine,
		Propose: p.propose, Confirm: p.confirm, Status: p.status,
		Validate: validate, NewID: uuid.NewString, Log: log, Registry: p.registry,
	})
	ctx, p.stopReplica = context.WithCancel(context.WithoutCancel(ctx))
	replica, err := replog.Open(ctx, p.replogOptions(s, machine))
	if err != nil {
		p.stopReplica()
		return nil, merry.Wrap(ErrFailed, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	p.replica = replica
	promauto.With(p.registry).NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "gentiansail", Subsystem: "control", Name: "term", Help: "Term of the replicated log; it grows with each election.",
	}, func() float64 { return float64(replica.Status().Term) })
	p.calls = &replicaCalls{group: s.Group, settings: s.Replicas, replica: replica, peers: p.peers, clock: clock.System(), log: log}
	return p, nil
}

func newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

func (p *parts) replogOptions(s settings.Control, m *state.Machine) replog.Options {
	return replog.Options{
		Folder: s.DataFolder, Group: replog.GroupID(s.Group), Name: replog.ReplicaID(s.Name),
		Address: string(s.Replicas[s.Name]), Clock: clock.System(),
		Random:         rand.New(rand.NewPCG(rand.Uint64(), uint64(time.Now().UnixNano()))),
		HeartbeatEvery: heartbeatEvery, ElectionTimeout: electionTimeout, SnapshotEvery: snapshotEvery,
		Send:     p.peers.send,
		Apply:    func(e replog.Entry) any { return m.Apply(wire.Version(e.Index), e.Data) },
		Snapshot: m.Capture, Restore: m.Restore,
		OnRole: func(r replog.Role, _ replog.Term) { p.service.SetLeading(r == replog.Leader) },
	}
}

func (p *parts) propose(ctx context.Context, command []byte) (any, error) {
	v, err := p.replica.Propose(ctx, command)
	return v, translateLog(err)
}

func (p *parts) confirm(ctx context.Context) (wire.Version, error) {
	_, index, err := p.replica.Confirm(ctx)
	if errors.Is(err, replog.ErrNotLeader) {
		return 0, translateLog(err)
	}
	return wire.Version(index), err
}

func (p *parts) status() Status { return statusOf(p.replica.Status()) }

func (p *parts) health() error {
	if p.status().Leader == "" {
		return merry.Wrap(ErrNotLeader, merry.AppendMessage("no leader is known"))
	}
	return nil
}

func (p *parts) children(l, metricsListener net.Listener) []supervisor.Child {
	server := rpc.NewServer()
	p.service.Register(server)
	p.calls.register(server)
	metrics := func(ctx context.Context) error {
		return process.ServeMetrics(ctx, metricsListener, p.registry, p.health)
	}
	children := []supervisor.Child{
		{Name: "log", Run: p.awaitLog, Policy: supervisor.Once},
		{Name: "calls", Run: func(ctx context.Context) error { return p.serve(ctx, server, l) }, Policy: supervisor.Once},
		{Name: "metrics", Run: metrics, Policy: supervisor.Fatal},
		{Name: "confirmations", Run: p.service.RunConfirmations, Policy: supervisor.Fatal},
		{Name: "duties", Run: p.service.Run, Policy: supervisor.Restart, OnRestart: p.reportRestart},
		{Name: "admission", Run: p.calls.seekAdmission, Policy: supervisor.Once},
	}
	return append(children, p.peers.children()...)
}

func (p *parts) reportRestart(err error) {
	p.log.Error().Err(err).Msg("leader duties failed; starting them again")
}

// awaitLog ends with the replicated log. Its failure ends the process, because
// nothing may be acknowledged after a failed fsync.
func (p *parts) awaitLog(ctx context.Context) error {
	stopped := context.AfterFunc(ctx, p.stopReplica)
	defer stopped()
	return <-p.replica.Done()
}

// serve answers calls until the planned stop, and returns when calls in progress
// have ended.
func (p *parts) serve(ctx context.Context, server *rpc.Server, l net.Listener) error {
	defer close(p.served)
	stopped := context.AfterFunc(ctx, p.service.Stop)
	defer stopped()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.stopServing:
			cancel()
		case <-ctx.Done():
		}
	}()
	return server.Serve(ctx, l)
}

// stop performs a planned stop. The order keeps calls in progress alive: the new
// leader takes over while this replica still carries messages, then the last
// calls end, then everything else.
func (p *parts) stop(ctx context.Context, tree *supervisor.Tree) {
	p.log.Info().Msg("planned stop")
	p.service.Stop()
	transfer, cancel := context.WithTimeout(ctx, transferTimeout.Duration())
	defer cancel()
	// A replica that does not lead, or leads alone, has nobody to hand over to.
	_ = p.replica.TransferLeadership(transfer)
	close(p.stopServing)
	<-p.served
	tree.Stop()
}
