// Package sidecar implements the process on the host of a target. It serves the callers on
// that host, controls all requests to the target, and keeps a copy of the state that the
// core publishes.
//
// A sidecar stores nothing on disk. After a start it responds with 503 until it has
// received the configuration from the core. While the core is unreachable it continues
// with its copy of the state. That is safe because targets own keys by leases, and the
// gate on each target's host checks them.
//
// # Usage
//
//	s := sidecar.New(sidecar.Options{...})
//	err := s.Run(ctx, sidecar.Listeners{...}, control, readiness)
package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/quorum"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/supervisor"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/ingress"
	"github.com/gentiansail/gentiansail/internal/traffic/link"
	"github.com/gentiansail/gentiansail/internal/traffic/pipeline"
	"github.com/gentiansail/gentiansail/internal/traffic/view"
	"github.com/gentiansail/gentiansail/internal/transport/inbound"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// maxWatchWait is how long the core may wait for changes before it responds to a
	// watch. After watchTimeout without a response the leader counts as unavailable.
	maxWatchWait clock.Millis = 400
	watchTimeout clock.Millis = 1200
	// watchPause is the pause after changes before the next watch. A single change is
	// received without delay, and changes in quick succession are received together.
	watchPause clock.Millis = 50
	// coreCallTimeout bounds a call to the core. It is below the 1 s that targets wait for
	// the response to a heartbeat.
	coreCallTimeout clock.Millis = 930
	// rejectDelayShare is the part of the deployment's drain bound during which a draining
	// target still gets new requests. Within that time its keys move to other targets. The
	// rest is for requests that are already on their way. defaultDrainBound applies if the
	// deployment sets no bound.
	rejectDelayShare               = 0.6
	defaultDrainBound clock.Millis = 2000
	// targetIdleLimit is how long an unused connection to the target is kept. Targets, or
	// proxies in front of them, drop idle connections without closing them, some after
	// 0.3 s. A request that is written to a dropped connection is reset and may have to
	// count as processed, while a new connection takes only about 1 ms.
	targetIdleLimit clock.Millis = 200
	// maxTargetConnections and maxPeerConnections bound the connections to one address.
	maxTargetConnections = 100
	maxPeerConnections   = 400
	// maxTimeout is longer than the timeouts that operators set, which package inbound enforces.
	maxTimeout = 10 * time.Minute
	// logLinesPerSecond bounds the log lines of each kind.
	logLinesPerSecond = 10
)

// Options configure a Sidecar.
type Options struct {
	Settings settings.Host
	Names    hop.HeaderNames
	Clock    clock.Clock
	Log      zerolog.Logger
	// Calls translates the calls to targets that take their keys by calls.
	Calls TargetCalls
	// ParentID returns the id of the request whose run made the request with the given id, as far
	// as the id tells; nil if ids tell nothing.
	ParentID func(id string) (parent string, ok bool)
	// Link measures the link of the host, with the connections of Listeners.Peers; nil if its
	// bandwidth is not known.
	Link *link.Meter
	// Metrics is where the sidecar registers its metrics.
	Metrics prometheus.Registerer
}

// Listeners are the listening sockets of a sidecar.
type Listeners struct {
	Callers, Readiness, Control, Peers net.Listener
}

// Sidecar is the process on the host of one target.
type Sidecar struct {
	options    Options
	log        zerolog.Logger
	core       *coreClient
	views      *view.Store
	targetPool *exchange.Pool
	peerPool   *exchange.Pool
	gate       *gate.Gate
	ingress    *ingress.Ingress
	pipeline   *pipeline.Server
	leaser     *leaser
	logBudget  *process.LineLimiter

	stopping atomic.Bool
	// stopStarted is when a planned stop started, in clock.Millis.
	stopStarted       atomic.Int64
	crashCheckRunning atomic.Bool
	// viewConfirmed is when the latest watch was sent whose response was applied, in
	// clock.Millis; 0 before the first response. The view has all changes from before.
	viewConfirmed atomic.Int64
	// evacuationMu serializes what the gate is told of evacuations.
	evacuationMu sync.Mutex
	// evacuationObserved has an entry after the gate may have been told of an evacuation.
	evacuationObserved chan struct{}

	// started is when this process started.
	started      clock.Millis
	incarnations *incarnations

	mu sync.Mutex
	// leaving is the incarnation that has said in a response that it is leaving.
	leaving message.Incarnation
}

// New returns a sidecar that is not running yet.
func New(options Options) *Sidecar {
	s := &Sidecar{options: options, log: options.Log, views: view.NewStore(), logBudget: process.NewLineLimiter(options.Clock, logLinesPerSecond), started: options.Clock.Now(), evacuationObserved: make(chan struct{}, 1)}
	s.incarnations = newIncarnations(options.Settings.HeartbeatMillis)
	var seeds []message.Address
	for _, seed := range options.Settings.Seeds {
		seeds = append(seeds, quorum.PeerAddress(seed, options.Settings.PeerPort))
	}
	s.core = newCoreClient(options.Clock, options.Log, seeds, s.linkBusy)
	if s.options.Link == nil {
		s.options.Link = link.NewMeter(options.Clock, 0)
	}
	s.targetPool = exchange.NewPool(exchange.Options{MaxPerAddress: maxTargetConnections, IdleConnTimeout: targetIdleLimit, Clock: options.Clock, Dial: link.Dial})
	s.peerPool = exchange.NewPool(exchange.Options{MaxPerAddress: maxPeerConnections, IdleConnTimeout: peerIdleLimit, Clock: options.Clock, Dial: s.options.Link.Dial})
	s.gate = gate.New(gate.Options{Names: options.Names, Clock: options.Clock, Pool: s.targetPool, OnConnectionLost: s.checkForCrash,
		OnKeyRejected: func(i message.Incarnation, key message.Key) { s.leaser.keyRejected(i, key) }, OnRateLimit: s.logRateLimit, OnLeaving: s.handleLeaving,
		OnCold: s.logCold, OnColdRequest: newColdCounter(options.Metrics)})
	s.leaser = newLeaser(s)
	m := newMetrics(options.Metrics, s)
	s.ingress = ingress.New(ingress.Options{
		Names: options.Names, Service: message.ServiceName(options.Settings.Target.Service), Host: message.HostName(options.Settings.Name),
		Domain: message.FailureDomain(options.Settings.FailureDomain), Clock: options.Clock, Views: s.views, Gate: s.gate, PeerAddress: s.peerAddress(),
		Pool: s.peerPool, RejectDelay: s.rejectDelay(), RetryRatio: options.Settings.Bounds.RetryRatio, ExtraRetries: options.Settings.Bounds.ExtraRetries,
		OfferedBody: offeredBody(options.Settings.LinkMegabits), Log: options.Log, LogBudget: s.logBudget, ParentID: options.ParentID, RecordResult: m.record,
		SecondCopies: ingress.SecondCopies{
			Ratio: options.Settings.SecondCopies.Ratio, Burst: options.Settings.SecondCopies.Burst,
			CallsPerRun: options.Settings.SecondCopies.CallsPerRun, RecordOutcome: m.recordSecondCopy,
		},
	})
	s.pipeline = pipeline.New(pipeline.Options{Handler: s.ingress, MayRunAhead: s.ingress.MayRunAhead, Clock: options.Clock})
	return s
}

// offeredBodyTime is how long the shortest body takes on a link that is offered before it is sent.
// An offer takes about 1 ms between hosts of one region.
const offeredBodyTime clock.Millis = 5

// offeredBody returns the length in bytes of the shortest body that is offered before it is sent, 0 if
// the bandwidth of the links is not known.
func offeredBody(megabits float64) int64 {
	return int64(megabits * 1e6 / 8 / 1000 * float64(offeredBodyTime))
}

// peerIdleLimit is how long an unused connection to another host is kept. It is shorter
// than the idle timeout of package inbound, after which that host closes the connection.
const peerIdleLimit clock.Millis = 60_000

// peerAddress returns the address at which other hosts reach this sidecar.
func (s *Sidecar) peerAddress() message.Address {
	return quorum.PeerAddress(s.options.Settings.Listen.Control, s.options.Settings.PeerPort)
}

// connContext is the hook of the servers of all listeners.
func (s *Sidecar) connContext(ctx context.Context, c net.Conn) context.Context {
	return s.pipeline.ConnContext(inbound.ConnContext(ctx, c), c)
}

// CallerTimeouts returns the operator's timeouts for callers.
func (s *Sidecar) CallerTimeouts() inbound.Timeouts {
	v := s.views.Current()
	if v == nil {
		return inbound.Timeouts{}
	}
	return inbound.Timeouts{Header: clock.Millis(v.Limits.HeaderTimeoutMillis), Idle: clock.Millis(v.Limits.IdleTimeoutMillis)}
}

// Ready reports whether the sidecar accepts new callers: it has a view and is not stopping.
func (s *Sidecar) Ready() bool { return s.views.Current() != nil && !s.stopping.Load() }

// Run serves until ctx ends. It then stops in order: callers move to other hosts, the
// target finishes its requests, and only then are the listeners closed.
func (s *Sidecar) Run(ctx context.Context, l Listeners, control, readiness http.Handler) error {
	defer s.core.close()
	defer s.ingress.AwaitCopies()
	servingCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	callersCtx, stopCallers := context.WithCancel(servingCtx)
	defer stopCallers()
	// serve returns a child that serves a listener until listenerCtx or the tree ends.
	serve := func(name string, listenerCtx context.Context, l net.Listener, h http.Handler) supervisor.Child {
		return supervisor.Child{Name: name, Run: func(treeCtx context.Context) error {
			serveCtx, cancel := context.WithCancel(treeCtx)
			defer context.AfterFunc(listenerCtx, cancel)()
			defer cancel()
			err := process.ServeHTTPWithTimeoutFunc(serveCtx, l, &http.Server{Handler: inbound.Handler(h), ConnContext: s.connContext, MaxHeaderBytes: inbound.MaxHeaderBytes, IdleTimeout: maxTimeout, ReadHeaderTimeout: maxTimeout, ErrorLog: discardLog}, s.remainingStopTime)
			if listenerCtx.Err() != nil {
				return nil
			}
			return err
		}, Policy: supervisor.Once}
	}
	tree := supervisor.Start(servingCtx, "sidecar",
		serve("callers", callersCtx, s.pipeline.Listener(l.Callers), s.pipeline),
		serve("readiness", servingCtx, l.Readiness, readiness),
		serve("control", servingCtx, l.Control, control),
		serve("peers", servingCtx, l.Peers, http.HandlerFunc(s.servePeer)),
		supervisor.Child{Name: "watch", Run: s.watch, Policy: supervisor.Restart},
		supervisor.Child{Name: "evacuations", Run: s.runEvacuations},
		supervisor.Child{Name: "lease renewals", Run: s.leaser.runRenewals},
		supervisor.Child{Name: "lease watch", Run: s.leaser.runWatch},
		supervisor.Child{Name: "grants", Run: s.leaser.runDelivery},
		supervisor.Child{Name: "call connections", Run: s.leaser.pool.Run},
		supervisor.Child{Name: "target connections", Run: s.targetPool.Run},
		supervisor.Child{Name: "peer connections", Run: s.peerPool.Run},
	)
	select {
	case err := <-tree.Done():
		return err
	case <-ctx.Done():
	}
	s.log.Info().Str("Event", "stop").Int64("UpMillis", int64(s.options.Clock.Now()-s.started)).Msg("planned stop started")
	s.drain(stopCallers)
	stopServing()
	return <-tree.Done()
}
