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

// quietLog drops net/http's lines about single connections; counters show them.
var quietLog = log.New(io.Discard, "", 0)

// idleTimeout closes connections that callers leave idle. It is far above the
// time after which other nodes' pools close theirs.
const idleTimeout = 75 * time.Second

// listeners are the node's open ports.
type listeners struct {
	callers, peers, targets, metrics net.Listener
}

// listen opens the ports of the settings and fills in those that the kernel
// chose.
func listen(s *settings.Node) (listeners, error) {
	var l listeners
	open := []struct {
		address *wire.Address
		to      *net.Listener
	}{{&s.CallerListen, &l.callers}, {&s.PeerListen, &l.peers}, {&s.TargetListen, &l.targets}, {&s.MetricsListen, &l.metrics}}
	for _, v := range open {
		var err error
		if *v.to, err = net.Listen("tcp", string(*v.address)); err != nil {
			l.close()
			return l, merry.Wrap(ErrSettings, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
		*v.address = wire.Address((*v.to).Addr().String())
	}
	if _, port, err := net.SplitHostPort(string(s.Advertise)); err != nil || port == "0" {
		s.Advertise = s.PeerListen
	}
	return l, nil
}

func (l listeners) close() {
	for _, v := range []net.Listener{l.callers, l.peers, l.targets, l.metrics} {
		if v != nil {
			_ = v.Close()
		}
	}
}

// run runs the node. Callers are served until the stop is asked for, other
// nodes until the target has been drained, and the heartbeat to the very end.
func (n *node) run(ctx context.Context, l listeners, end context.CancelFunc) error {
	core := supervisor.Start(n.alive, "node", n.coreTasks(l)...)
	callers, stopCallers := context.WithCancel(n.alive)
	defer stopCallers()
	peers, stopPeers := context.WithCancel(n.alive)
	defer stopPeers()
	ends := make(chan error, 3)
	go func() { ends <- serve(callers, l.callers, n.callerHandler()) }()
	go func() { ends <- serve(peers, l.peers, n.peerHandler()) }()
	go func() { ends <- serve(peers, l.targets, n.targetHandler()) }()
	n.logStart()
	var err error
	left := cap(ends)
	select {
	case err = <-core.Done():
		core = nil
	case err = <-ends:
		left--
	case <-ctx.Done():
		n.stop(stopCallers)
	}
	stopCallers()
	stopPeers()
	for range left {
		if e := <-ends; err == nil {
			err = e
		}
	}
	end()
	if core != nil {
		if e := <-core.Done(); err == nil {
			err = e
		}
	}
	n.background.Wait()
	n.control.close()
	n.log.Info().Msg("node stopped")
	return err
}

// serve serves until ctx ends, then finishes requests in flight, each of which
// has a deadline of at most maxDeadline.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: idleTimeout, ErrorLog: quietLog}
	return process.ServeHTTP(ctx, l, s, maxDeadline.Duration())
}

func (n *node) coreTasks(l listeners) []supervisor.Child {
	return []supervisor.Child{
		{Name: "heartbeat", Run: n.heartbeat},
		{Name: "watch", Run: n.watch},
		{Name: "peer pool", Run: n.peers.Run},
		{Name: "peer check pool", Run: n.peerChecks.Run},
		{Name: "caller limits", Run: n.followLimits},
		{Name: "metrics", Run: func(ctx context.Context) error {
			return process.ServeMetrics(ctx, l.metrics, n.metrics.registry, n.health)
		}},
	}
}

// stop drains the target. Callers are taken until that is done, but not for
// longer than newWorkBound.
func (n *node) stop(stopCallers context.CancelFunc) {
	n.log.Info().Msg("node stops")
	n.stopping.Store(true)
	n.targets.close()
	n.hurry()
	timer := time.AfterFunc(newWorkBound.Duration(), stopCallers)
	defer timer.Stop()
	if m := n.targets.now(); m != nil {
		n.drain(n.alive, m, "planned stop of the node")
	}
}

// health fails while the node cannot route.
func (n *node) health() error {
	if !n.routing.usable() {
		return merry.Errorf("routing table is %d ms old", n.routing.age())
	}
	return nil
}

func (n *node) logStart() {
	s := n.settings
	n.log.Info().Str("CallerListen", string(s.CallerListen)).Str("PeerListen", string(s.PeerListen)).
		Str("TargetListen", string(s.TargetListen)).Str("MetricsListen", string(s.MetricsListen)).Msg("node started")
}

// followLimits applies the caller limits of the configuration in force, and the
// number of nodes among which the least shares are divided.
func (n *node) followLimits(ctx context.Context) error {
	for {
		changed := n.routing.changed()
		s := n.routing.snapshot()
		var rates limit.PerClass
		for _, v := range s.Configuration().CallerLimits {
			rates[classOf(v.Class)] = v.RequestsPerSecond
		}
		n.callers.SetRates(rates)
		n.shares.setNodes(nodesOf(s, n.settings.Name))
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
