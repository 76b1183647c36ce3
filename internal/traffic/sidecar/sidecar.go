// Package sidecar is the process beside a target: it serves the callers on its
// host, guards its target, and keeps its copy of the core's state.
//
// It has nothing on disk. After a start it answers 503 until the core has told it
// the configuration. It goes on serving from its copy while the core cannot be
// reached; leases and the gate beside each target keep that safe.
//
// # Usage
//
//	s := sidecar.New(sidecar.Options{...})
//	err := s.Run(ctx, sidecar.Listeners{...})
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
	"github.com/gentiansail/gentiansail/internal/traffic/view"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// watchWait is how long the core may hold a watch without news; watchTimeout is
	// when the leader is given up.
	watchWait    clock.Millis = 400
	watchTimeout clock.Millis = 1200
	// newsPause is the pause after news before the next watch. News that come one by one
	// reach a sidecar at once; of many in a row it gets several together.
	newsPause clock.Millis = 50
	// checkInTimeout bounds the core's part of a check-in. Targets wait 1 s.
	checkInTimeout clock.Millis = 930
	// closePart is the part of the deployment's drain bound after which a target that
	// leaves gets its last new request: time for its keys to move, and room for a
	// request that is on its way. defaultDrain is the bound where none is stated.
	closePart                 = 0.6
	defaultDrain clock.Millis = 2000
	// idleConnection is how long an unused connection to the target is kept. Targets, or
	// something before them, forget idle connections without a word, some after 0.3 s. A
	// request that is written to such a one is reset and may count as run; a new
	// connection takes about 1 ms.
	idleConnection clock.Millis = 200
	// maxTargetConnections and maxPeerConnections bound connections to one address.
	maxTargetConnections = 100
	maxPeerConnections   = 400
	// callerIdle is above the idle limits that deployments set for callers.
	callerIdle = 75 * time.Second
	// linesPerSecond of each kind.
	linesPerSecond = 10
)

// Options configure a Sidecar.
type Options struct {
	Settings settings.Host
	Names    hop.HeaderNames
	Clock    clock.Clock
	Log      zerolog.Logger
	// Metrics takes the counters.
	Metrics prometheus.Registerer
}

// Listeners are the open sockets of a sidecar.
type Listeners struct {
	Callers, Readiness, Control, Peers net.Listener
}

// Sidecar is the process beside one target.
type Sidecar struct {
	o       Options
	log     zerolog.Logger
	core    *coreLink
	book    *view.Store
	targets *exchange.Pool
	peers   *exchange.Pool
	gate    *gate.Gate
	ingress *ingress.Ingress

	stopping atomic.Bool
	// stopBegan is when a planned stop began, in clock.Millis.
	stopBegan atomic.Int64
	checking  atomic.Bool // a crash is being looked into

	mu       sync.Mutex
	lifetime message.Incarnation
	sequence int
}

// New returns a sidecar that is not running yet.
func New(o Options) *Sidecar {
	s := &Sidecar{o: o, log: o.Log, book: view.NewStore()}
	var seeds []message.Address
	for _, a := range o.Settings.Seeds {
		seeds = append(seeds, quorum.PeerAddress(a, o.Settings.PeerPort))
	}
	s.core = newCoreLink(o.Clock, o.Log, seeds)
	s.targets = exchange.NewPool(exchange.Options{MaxPerAddress: maxTargetConnections, IdleLimit: idleConnection, Clock: o.Clock, Dial: link.Dial})
	s.peers = exchange.NewPool(exchange.Options{MaxPerAddress: maxPeerConnections, IdleLimit: peerIdle, Clock: o.Clock, Dial: link.Dial})
	s.gate = gate.New(gate.Options{Names: o.Names, Clock: o.Clock, Pool: s.targets, OnConnectionLost: s.suspectCrash})
	s.ingress = ingress.New(ingress.Options{
		Names: o.Names, Service: message.ServiceName(o.Settings.Target.Service), Host: message.HostName(o.Settings.Name),
		Domain: message.FailureDomain(o.Settings.FailureDomain), Clock: o.Clock, Views: s.book, Gate: s.gate, PeerAddress: s.address(),
		Pool: s.peers, RetryRatio: o.Settings.Bounds.RetryRatio, ExtraRetries: o.Settings.Bounds.ExtraRetries,
		Log: o.Log, LogBudget: process.NewLineBudget(o.Clock, linesPerSecond), RecordResult: newMetrics(o.Metrics, s).count,
	})
	return s
}

// peerIdle keeps connections to other hosts for less time than these keep them.
const peerIdle clock.Millis = 60_000

func (s *Sidecar) address() message.Address {
	return quorum.PeerAddress(s.o.Settings.Listen.Control, s.o.Settings.PeerPort)
}

// Ready reports whether callers are welcome.
func (s *Sidecar) Ready() bool { return s.book.Current() != nil && !s.stopping.Load() }

// Run serves until ctx ends, and then stops in order: callers are told to go
// elsewhere, requests at the target end, and only then are listeners closed.
func (s *Sidecar) Run(ctx context.Context, l Listeners, control, readiness http.Handler) error {
	defer s.core.close()
	begun := s.o.Clock.Now()
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	callers, stopCallers := context.WithCancel(serving)
	defer stopCallers()
	serve := func(name string, of context.Context, l net.Listener, h http.Handler) supervisor.Child {
		return supervisor.Child{Name: name, Run: func(tree context.Context) error {
			both, cancel := context.WithCancel(tree)
			defer context.AfterFunc(of, cancel)()
			defer cancel()
			err := process.ServeHTTPUntil(both, l, &http.Server{Handler: h, IdleTimeout: callerIdle, ReadHeaderTimeout: 10 * time.Second, ErrorLog: quiet}, s.stopLeft)
			if of.Err() != nil {
				return nil
			}
			return err
		}, Policy: supervisor.Once}
	}
	tree := supervisor.Start(serving, "sidecar",
		serve("callers", callers, l.Callers, s.ingress),
		serve("readiness", serving, l.Readiness, readiness),
		serve("control", serving, l.Control, control),
		serve("peers", serving, l.Peers, http.HandlerFunc(s.servePeer)),
		supervisor.Child{Name: "watch", Run: s.watch, Policy: supervisor.Restart},
		supervisor.Child{Name: "target connections", Run: s.targets.Run},
		supervisor.Child{Name: "peer connections", Run: s.peers.Run},
	)
	select {
	case err := <-tree.Done():
		return err
	case <-ctx.Done():
	}
	s.log.Info().Str("Event", "stop").Int64("UpMillis", int64(s.o.Clock.Now()-begun)).Msg("planned stop begins")
	s.leave(stopCallers)
	stopServing()
	return <-tree.Done()
}
