// Package node is the process in the slot next to each target. It takes
// requests of callers to the owners of their keys, and guards its own target:
// only requests under a valid lease and the right epoch reach it.
//
// # Parts
//
// The ingress side (ingress.go, attempts.go, pickers.go, peer_client.go) finds
// route, key and owner, and sends the request there. The owner's side
// (peer_server.go, owner.go, once.go, forward.go) checks the grant and hands the
// request to the target. A request whose ingress node is the owner's node passes
// both sides by direct calls.
//
// A member (member.go) is one incarnation of the target with all that must not
// outlive it: lease, limiter, connections, requests in flight, grants. It is
// watched by a prober (probe.go); its grants and releases are kept up by one
// goroutine (ownership.go). The heartbeat (heartbeat.go) renews the lease and
// brings the routing table (routing.go).
//
// # Usage
//
//	s, err := settings.LoadNode("node.jsonc")
//	ctx, stop := process.SignalContext(context.Background())
//	defer stop()
//	err = node.Run(ctx, s, process.NewLogger(os.Stderr, "node", string(s.Name)))
//
// When ctx ends, the node drains its target and finishes the requests in flight
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

// peerConnections bounds the connections to one other node.
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

	// alive ends when the process has nothing left to do.
	processCtx       context.Context
	background       sync.WaitGroup
	heartbeatNow     chan struct{}
	lastReportAt     atomic.Int64 // clock.Millis of the latest report of loads
	controlReachable atomic.Bool  // the control group answers
	stopping         atomic.Bool
	ingressRequests  atomic.Int64
	waitingRequests  atomic.Int64
}

// Run serves until ctx ends, then stops as planned: the target's partitions are
// moved away, no new work is taken after 3 s, and requests in flight are
// finished.
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
		routing:       newRouting(clk),
		hotKeys:       newHotKeys(clk),
		pickers:       newPickers(clk),
		callerBudget:  limit.NewCallerBudget(limit.BudgetOptions{Clock: clk}),
		retryBudget:   retry.NewBudget(retry.Options{}),
		backoff:       retry.Backoff{Base: 10, Max: 200, Random: rand.Float64},
		peerPool:      exchange.NewPool(exchange.Options{Clock: clk, MaxPerAddress: peerConnections}),
		peerCheckPool: exchange.NewPool(exchange.Options{Clock: clk}),
		relays:        newRelays(),
		processCtx:    processCtx,
		heartbeatNow:  make(chan struct{}, 1),
	}
	n.shares = &callerShares{budget: n.callerBudget, nodes: 1}
	n.targets = &targetManager{clock: clk, startMember: n.startMember, onEnd: n.handleEnd}
	n.metrics = newMetrics(n)
	return n
}

// startMember runs the goroutines of an incarnation.
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
		supervisor.Child{Name: "hand back", Run: func(ctx context.Context) error { return n.returnWaitingOnTableChange(ctx, m) }},
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

// controlState logs when the control group becomes reachable or unreachable.
func (n *node) setControlReachable(reachable bool) {
	if n.controlReachable.Swap(reachable) == reachable {
		return
	}
	if reachable {
		n.log.Info().Msg("control group answers")
		return
	}
	n.log.Warn().Msg("control group does not answer")
}
