package control

import (
	"context"
	"maps"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/gentiansail/gentiansail/internal/coordination/replication"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/supervisor"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// peers sends the messages of the replicated log to the other replicas. Each
// peer has its own queues and goroutines, so that a peer that does not respond
// does not delay the others.
type peers struct {
	byID map[wire.ReplicaID]*peer
}

type peer struct {
	client *rpc.Client
	sender *replication.Sender
}

func newPeers(g wire.GroupID, self wire.ReplicaID, all map[wire.ReplicaID]wire.Address, r *prometheus.Registry) *peers {
	lostMessages := promauto.With(r).NewCounterVec(prometheus.CounterOpts{
		Namespace: "gentiansail", Subsystem: "control", Name: "lost_messages_total",
		Help: "Messages of the replicated log that were not sent, by replica.",
	}, []string{"replica"})
	p := &peers{byID: make(map[wire.ReplicaID]*peer)}
	for id, address := range all {
		if id == self {
			continue
		}
		client := rpc.NewClient(string(address))
		p.byID[id] = &peer{client: client, sender: replication.NewSender(replication.Options{
			From: string(self), Client: client, PartMethod: wire.MethodReplicaMessagePart,
			Notify: func(ctx context.Context, data string) error {
				return client.Notify(ctx, wire.MethodReplicaMessage, wire.ReplicaMessage{Group: g, Data: data})
			},
			OnLost: lostMessages.WithLabelValues(string(id)).Inc,
		})}
	}
	return p
}

// send queues a message without blocking. It drops the message if the queue is
// full.
func (p *peers) send(m replog.Message) {
	if receiver, ok := p.byID[wire.ReplicaID(m.To.Name)]; ok {
		receiver.sender.Offer(m)
	}
}

// children returns one task per peer that sends its messages.
func (p *peers) children() []supervisor.Child {
	var children []supervisor.Child
	for _, id := range slices.Sorted(maps.Keys(p.byID)) {
		children = append(children, supervisor.Child{Name: "messages to " + string(id), Run: p.byID[id].sender.Run, Policy: supervisor.Restart})
	}
	return children
}

func (p *peers) close() {
	for _, receiver := range p.byID {
		receiver.client.Close()
	}
}
