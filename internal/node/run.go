package node

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/supervisor"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

// discardLog drops net/http's log lines about single connections, which metrics
// count.
var discardLog = log.New(io.Discard, "", 0)

// idleTimeout is the time after which a server closes an idle connection. It is
// far above the time after which the connection pools of other nodes close theirs.
const idleTimeout = 75 * time.Second

// listeners are the node's listening sockets.
type listeners struct {
	callers, peers, targets, metrics net.Listener
}

// listen opens the listeners of the settings, and replaces the addresses in s by
// the actual ones, because the kernel chooses the port if the settings have 0.
func listen(s *settings.Node) (listeners, error) {
	var opened listeners
	ports := []struct {
		address  *wire.Address
		listener *net.Listener
	}{{&s.CallerListen, &opened.callers}, {&s.PeerListen, &opened.peers}, {&s.TargetListen, &opened.targets}, {&s.MetricsListen, &opened.metrics}}
	for _, port := range ports {
		var err error
		if *port.listener, err = net.Listen("tcp", string(*port.address)); err != nil {
			opened.close()
			return opened, merry.Wrap(ErrSettings, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
		*port.address = wire.Address((*port.listener).Addr().String())
	}
	if _, port, err := net.SplitHostPort(string(s.Advertise)); err != nil || port == "0" {
		s.Advertise = s.PeerListen
	}
	return opened, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.targets, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// run runs the node until ctx ends or a task fails. A planned stop ends serving in
// this order: callers (by newWorkTimeout at the latest), other nodes and the target
// once the target is drained, and the heartbeat last.
func (n *node) run(ctx context.Context, ports listeners, cancelProcess context.CancelFunc) error {
	core := supervisor.Start(n.processCtx, "node", n.coreTasks(ports)...)
	callers, stopCallers := context.WithCancel(n.processCtx)
	defer stopCallers()
	peers, stopPeers := context.WithCancel(n.processCtx)
	defer stopPeers()
	serverErrors := make(chan error, 3)
	go func() { serverErrors <- serve(callers, ports.callers, n.callerHandler()) }()
	go func() { serverErrors <- serve(peers, ports.peers, n.peerHandler()) }()
	go func() { serverErrors <- serve(peers, ports.targets, n.targetHandler()) }()
	n.logStart()
	var err error
	runningServers := cap(serverErrors)
	select {
	case err = <-core.Done():
		core = nil
	case err = <-serverErrors:
		runningServers--
	case <-ctx.Done():
		n.stop(stopCallers)
	}
	stopCallers()
	stopPeers()
	for range runningServers {
		if taskErr := <-serverErrors; err == nil {
			err = taskErr
		}
	}
	cancelProcess()
	if core != nil {
		if taskErr := <-core.Done(); err == nil {
			err = taskErr
		}
	}
	n.background.Wait()
	n.control.close()
	n.log.Info().Msg("node stopped")
	return err
}

// serve serves until ctx ends, then waits for the requests in flight, each of
// which has a deadline of at most maxDeadline.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: idleTimeout, ErrorLog: discardLog}
	return process.ServeHTTP(ctx, l, s, maxDeadline.Duration())
}

func (n *node) coreTasks(ports listeners) []supervisor.Child {
	return []supervisor.Child{
		{Name: "heartbeat", Run: n.runHeartbeats},
		{Name: "watch", Run: n.watchTable},
		{Name: "peer pool", Run: n.peerPool.Run},
		{Name: "peer check pool", Run: n.peerCheckPool.Run},
		{Name: "caller limits", Run: n.applyCallerLimits},
		{Name: "metrics", Run: func(ctx context.Context) error {
			return process.ServeMetrics(ctx, ports.metrics, n.metrics.registry, n.health, nil)
		}},
	}
}

// stop drains the target. New requests of callers are accepted until the target is
// drained, but for at most newWorkTimeout.
func (n *node) stop(stopCallers context.CancelFunc) {
	n.log.Info().Msg("node stopping")
	n.stopping.Store(true)
	n.targets.close()
	n.requestHeartbeat()
	timer := time.AfterFunc(newWorkTimeout.Duration(), stopCallers)
	defer timer.Stop()
	if m := n.targets.current(); m != nil {
		n.drain(n.processCtx, m, "planned stop of the node")
	}
}

// health returns an error while the routing table is too old to route by.
func (n *node) health() error {
	if !n.routing.fresh() {
		return merry.Errorf("routing table is %d ms old", n.routing.age())
	}
	return nil
}

func (n *node) logStart() {
	s := n.settings
	n.log.Info().Str("CallerListen", string(s.CallerListen)).Str("PeerListen", string(s.PeerListen)).
		Str("TargetListen", string(s.TargetListen)).Str("MetricsListen", string(s.MetricsListen)).Msg("node started")
}

// applyCallerLimits applies the caller limits of the current configuration and the
// number of nodes, which sets each node's minimum share, until ctx ends.
func (n *node) applyCallerLimits(ctx context.Context) error {
	for {
		changed := n.routing.changed()
		snapshot := n.routing.snapshot()
		var rates limit.PerClass
		for _, callerLimit := range snapshot.Configuration().CallerLimits {
			rates[classOf(callerLimit.Class)] = callerLimit.RequestsPerSecond
		}
		n.callerBudget.SetRates(rates)
		n.shares.setNodes(countNodes(snapshot, n.settings.Name))
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
