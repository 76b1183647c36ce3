// Package node implements the process that runs next to each target. It routes
// callers' requests to the owners of their keys, and protects its own target:
// only requests with a valid lease and the current fencing token reach it.
//
// # Structure
//
// The ingress side (ingress.go, attempts.go, pickers.go, peer_client.go) finds
// route, key and owner, and sends the request there. The owner's side
// (peer_server.go, owner.go, operation.go, forward.go) checks the grant and
// forwards the request to the target. If the ingress node is also the owner's
// node, the two sides call each other directly.
//
// A member (member.go) is one incarnation of the target with all state that must
// not outlive it: lease, limiter, connections, requests in flight, grants. A
// prober (probe.go) checks its liveness, and one goroutine (ownership.go) keeps
// its grants and releases up to date. The heartbeat (heartbeat.go) renews the
// lease and fetches changes of the routing table (routing.go).
//
// # Usage
//
//	s, err := settings.LoadNode("node.jsonc")
//	ctx, stop := process.SignalContext(context.Background())
//	defer stop()
//	err = node.Run(ctx, s, process.NewLogger(os.Stderr, "node", string(s.Name)))
//
// When ctx ends, the node drains its target and waits for the requests in flight
// before Run returns.
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/supervisor"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
	"github.com/gentiansail/gentiansail/pkg/retry"
)

// peerConnections is the maximum number of connections to one other node.
const peerConnections = 256

// node is the state of the process.
type node struct {
	settings  settings.Node
	log       zerolog.Logger
	clock     clock.Clock
	processID wire.ProcessID
	metrics   *nodeMetrics

	control       *controlClient
	routing       *routingTable
	targets       *targetManager
	hotKeys       *hotKeyTracker
	pickers       *memberPickers
	callerBudget  *limit.CallerBudget
	shares        *callerShares
	retryBudget   *retry.Budget
	backoff       retry.Backoff
	peerPool      *exchange.Pool
	peerCheckPool *exchange.Pool
	relays        *relayRegistry

	// processCtx is cancelled after the last request has been served.
	processCtx       context.Context
	background       sync.WaitGroup
	heartbeatNow     chan struct{} // requests a heartbeat without delay
	lastReportAt     atomic.Int64  // clock.Millis of the last heartbeat that reported loads
	controlReachable atomic.Bool   // the last call of the control group succeeded
	stopping         atomic.Bool
	ingressRequests  atomic.Int64 // requests of callers in progress
	waitingRequests  atomic.Int64 // requests that wait for a change of the routing table
}

// Run serves until ctx ends and then performs a planned stop: the target's
// partitions are moved away, new requests are rejected after at most 3 s, and
// requests in flight are finished.
func Run(ctx context.Context, s settings.Node, log zerolog.Logger) error {
	ports, err := listen(&s)
	if err != nil {
		return err
	}
	processCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n := newNode(processCtx, s, log)
	return n.run(ctx, ports, cancel)
}

func newNode(processCtx context.Context, s settings.Node, log zerolog.Logger) *node {
	clk := clock.System()
	n := &node{
		settings: s, log: log, clock: clk, processID: wire.ProcessID(uuid.NewString()),
		control:       newControlClient(clk, s.Control),
		routing:       newRoutingTable(clk),
		hotKeys:       newHotKeyTracker(clk),
		pickers:       newMemberPickers(clk),
		callerBudget:  limit.NewCallerBudget(limit.BudgetOptions{Clock: clk}),
		retryBudget:   retry.NewBudget(retry.Options{}),
		backoff:       retry.Backoff{Base: 10, Max: 200, Random: rand.Float64},
		peerPool:      exchange.NewPool(exchange.Options{Clock: clk, MaxPerAddress: peerConnections}),
		peerCheckPool: exchange.NewPool(exchange.Options{Clock: clk}),
		relays:        newRelayRegistry(),
		processCtx:    processCtx,
		heartbeatNow:  make(chan struct{}, 1),
	}
	n.shares = &callerShares{budget: n.callerBudget, nodes: 1}
	n.targets = &targetManager{clock: clk, startMember: n.startMember, onEnd: n.handleEnd}
	n.metrics = newMetrics(n)
	return n
}

// startMember starts the goroutines of an incarnation.
func (n *node) startMember(m *member) {
	n.log.Info().Str("Incarnation", string(m.incarnation)).Str("Service", string(m.target.Service)).
		Str("Address", string(m.target.Address)).Msg("target announced")
	n.metrics.incarnations.WithLabelValues("begun").Inc()
	tree := supervisor.Start(n.processCtx, "target",
		supervisor.Child{Name: "pool", Run: m.requestPool.Run},
		supervisor.Child{Name: "protocol pool", Run: m.protocolPool.Run},
		supervisor.Child{Name: "lease", Run: m.watchLease},
		supervisor.Child{Name: "probe", Policy: supervisor.Once, Run: func(ctx context.Context) error {
			return m.runProbes(ctx, m.sendProbe, func(cause endCause) { n.targets.end(m, cause) })
		}},
		supervisor.Child{Name: "drain", Run: func(ctx context.Context) error { return n.followOperatorDrain(ctx, m) }},
		supervisor.Child{Name: "return waiting", Run: func(ctx context.Context) error { return n.returnWaitingOnTableChange(ctx, m) }},
		supervisor.Child{Name: "ownership", Run: func(ctx context.Context) error {
			return m.syncOwnership(ctx, n.routing, n.requestHeartbeat)
		}},
	)
	m.stop = tree.Stop
	n.background.Go(func() {
		if err := <-tree.Done(); err != nil {
			n.log.Error().Err(err).Msg("supervision of the target failed")
			n.targets.end(m, endCause{reason: err.Error(), mayStillRun: true})
		}
	})
	n.requestHeartbeat()
}

// setControlReachable records whether the control group is reachable, and logs
// changes.
func (n *node) setControlReachable(reachable bool) {
	if n.controlReachable.Swap(reachable) == reachable {
		return
	}
	if reachable {
		n.log.Info().Msg("control group is reachable")
		return
	}
	n.log.Warn().Msg("control group is unreachable")
}
