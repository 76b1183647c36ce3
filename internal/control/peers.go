package control

import (
	"context"
	"encoding/base64"
	"maps"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/supervisor"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
	"github.com/gentiansail/gentiansail/pkg/ring"
)

const (
	// peerRing holds about 13 s of heartbeats, or a burst of entries. What is
	// refused beyond it, the protocol repeats.
	peerRing = 256
	// sendTimeout bounds a notification to a peer whose host does not answer.
	// It is twice the longest election timeout.
	sendTimeout clock.Millis = 1000
)

// peers send the messages of the replicated log. Each peer has its own ring and
// goroutine, so that one that does not answer delays no other.
type peers struct {
	group wire.GroupID
	byID  map[wire.ReplicaID]*peer
	lost  *prometheus.CounterVec
}

type peer struct {
	client   *rpc.Client
	messages *ring.Ring[replog.Message]
	lost     prometheus.Counter
}

func newPeers(g wire.GroupID, self wire.ReplicaID, all map[wire.ReplicaID]wire.Address, r *prometheus.Registry) *peers {
	lost := promauto.With(r).NewCounterVec(prometheus.CounterOpts{
		Namespace: "gentiansail", Subsystem: "control", Name: "lost_messages_total",
		Help: "Messages of the replicated log that were not sent, by replica.",
	}, []string{"replica"})
	p := &peers{group: g, byID: make(map[wire.ReplicaID]*peer), lost: lost}
	for id, address := range all {
		if id == self {
			continue
		}
		p.byID[id] = &peer{
			client:   rpc.NewClient(string(address)),
			messages: ring.New[replog.Message](peerRing),
			lost:     lost.WithLabelValues(string(id)),
		}
	}
	return p
}

// send queues a message without blocking.
func (p *peers) send(m replog.Message) {
	to, ok := p.byID[wire.ReplicaID(m.To.Name)]
	if !ok {
		return
	}
	if !to.messages.Offer(m) {
		to.lost.Inc()
	}
}

// children returns one sending task for each peer.
func (p *peers) children() []supervisor.Child {
	var out []supervisor.Child
	for _, id := range slices.Sorted(maps.Keys(p.byID)) {
		to := p.byID[id]
		run := func(ctx context.Context) error { return to.run(ctx, p.group) }
		out = append(out, supervisor.Child{Name: "messages to " + string(id), Run: run, Policy: supervisor.Restart})
	}
	return out
}

func (p *peer) run(ctx context.Context, g wire.GroupID) error {
	for {
		m, err := p.messages.Take(ctx)
		if err != nil {
			return nil
		}
		if p.notify(ctx, g, m) != nil {
			p.lost.Inc()
			p.discard()
		}
	}
}

// discard drops what waits for a peer that cannot be reached, because messages
// that arrive after it returns should be recent ones.
func (p *peer) discard() {
	for {
		select {
		case <-p.messages.Items():
			p.lost.Inc()
		default:
			return
		}
	}
}

func (p *peer) notify(ctx context.Context, g wire.GroupID, m replog.Message) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
	defer cancel()
	data := base64.StdEncoding.EncodeToString(m.Encode())
	return p.client.Notify(ctx, wire.MethodReplicaMessage, wire.ReplicaMessage{Group: g, Data: data})
}

func (p *peers) close() {
	for _, to := range p.byID {
		to.client.Close()
	}
}
