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
	// peerQueueSize is enough for about 13 s of heartbeats, or a burst of entries.
	// Messages beyond it are dropped; the replication protocol sends them again.
	peerQueueSize = 256
	// sendTimeout bounds a notification to a peer whose host does not respond. It
	// is twice the longest election timeout.
	sendTimeout clock.Millis = 1000
)

// peers sends the messages of the replicated log to the other replicas. Each
// peer has its own queue and goroutine, so that a peer that does not respond
// does not delay the others.
type peers struct {
	group        wire.GroupID
	byID         map[wire.ReplicaID]*peer
	lostMessages *prometheus.CounterVec
}

type peer struct {
	client       *rpc.Client
	messages     *ring.Ring[replog.Message]
	lostMessages prometheus.Counter
}

func newPeers(g wire.GroupID, self wire.ReplicaID, all map[wire.ReplicaID]wire.Address, r *prometheus.Registry) *peers {
	lostMessages := promauto.With(r).NewCounterVec(prometheus.CounterOpts{
		Namespace: "gentiansail", Subsystem: "control", Name: "lost_messages_total",
		Help: "Messages of the replicated log that were not sent, by replica.",
	}, []string{"replica"})
	p := &peers{group: g, byID: make(map[wire.ReplicaID]*peer), lostMessages: lostMessages}
	for id, address := range all {
		if id == self {
			continue
		}
		p.byID[id] = &peer{
			client:       rpc.NewClient(string(address)),
			messages:     ring.New[replog.Message](peerQueueSize),
			lostMessages: lostMessages.WithLabelValues(string(id)),
		}
	}
	return p
}

// send queues a message without blocking. It drops the message if the queue is
// full.
func (p *peers) send(m replog.Message) {
	receiver, ok := p.byID[wire.ReplicaID(m.To.Name)]
	if !ok {
		return
	}
	if !receiver.messages.Offer(m) {
		receiver.lostMessages.Inc()
	}
}

// children returns one task per peer that sends its messages.
func (p *peers) children() []supervisor.Child {
	var children []supervisor.Child
	for _, id := range slices.Sorted(maps.Keys(p.byID)) {
		receiver := p.byID[id]
		run := func(ctx context.Context) error { return receiver.run(ctx, p.group) }
		children = append(children, supervisor.Child{Name: "messages to " + string(id), Run: run, Policy: supervisor.Restart})
	}
	return children
}

// run sends queued messages until ctx ends.
func (p *peer) run(ctx context.Context, g wire.GroupID) error {
	for {
		m, err := p.messages.Take(ctx)
		if err != nil {
			return nil
		}
		if p.notify(ctx, g, m) != nil {
			p.lostMessages.Inc()
			p.discardQueued()
		}
	}
}

// discardQueued drops the queued messages after a message could not be sent, so
// that a peer that becomes reachable again gets recent messages first.
func (p *peer) discardQueued() {
	for {
		select {
		case <-p.messages.Items():
			p.lostMessages.Inc()
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
	for _, receiver := range p.byID {
		receiver.client.Close()
	}
}
