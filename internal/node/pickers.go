package node

import (
	"context"
	"strconv"
	"sync"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/balance"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// pickers holds the choice among members for each service that is not keyed.
type memberPickers struct {
	clock     clock.Clock
	mu        sync.RWMutex
	byService map[wire.ServiceName]*servicePicker
}

// servicePicker is a picker and the table version that it was updated to.
type servicePicker struct {
	*balance.Picker
	mu      sync.Mutex
	version wire.Version
}

func newPickers(c clock.Clock) *memberPickers {
	return &memberPickers{clock: c, byService: make(map[wire.ServiceName]*servicePicker)}
}

// of returns the picker of a service, up to date with the snapshot.
func (p *memberPickers) forService(name wire.ServiceName, snapshot *table.Snapshot) *servicePicker {
	p.mu.RLock()
	picker := p.byService[name]
	p.mu.RUnlock()
	if picker == nil {
		picker = p.addPicker(name)
	}
	picker.update(name, snapshot)
	return picker
}

func (p *memberPickers) addPicker(name wire.ServiceName) *servicePicker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byService[name] == nil {
		p.byService[name] = &servicePicker{Picker: balance.New(balance.Options{Clock: p.clock})}
	}
	return p.byService[name]
}

func (v *servicePicker) update(name wire.ServiceName, snapshot *table.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if snapshot.Version() <= v.version {
		return
	}
	v.version = snapshot.Version()
	var targets []balance.Target
	for _, m := range snapshot.Members(name) {
		targets = append(targets, balance.Target{ID: string(m.Incarnation), Capacity: float64(m.Slots), Cold: m.Cold})
	}
	v.Update(targets)
}

// send hands a request to a member's node and observes what comes back.
func (n *node) sendToMember(ctx context.Context, q *request, m wire.Member) *nodeReply {
	if q.keyed {
		return n.dispatch(ctx, q, m)
	}
	picker, id := n.pickers.forService(q.route.Service, n.routing.snapshot()), string(m.Incarnation)
	picker.Begin(id)
	start := n.clock.Now()
	reply := n.dispatch(ctx, q, m)
	result := balance.Result{
		Failed:   reply.outcome == wire.OutcomeUnknown || (reply.notRun() && isRoutingRejection(reply.reason)),
		Shed:     reply.reason == reasonOverload || reply.reason == reasonQueueFull,
		InFlight: intField(reply, header.InFlight), Limit: intField(reply, header.Limit),
	}
	reply.body = &closeHookBody{ReadCloser: reply.body, onClose: func() {
		result.Latency = n.clock.Now() - start
		picker.End(id, result)
	}}
	return reply
}

// hop reaches the owner's side: by a call on this node, or over the network.
func (n *node) dispatch(ctx context.Context, q *request, m wire.Member) *nodeReply {
	if m.Node == n.settings.Name {
		return n.handleAsOwner(ctx, q)
	}
	return n.forwardToPeer(ctx, q, m)
}

func intField(reply *nodeReply, field string) int {
	v, _ := strconv.Atoi(reply.header.Get(field))
	return v
}
