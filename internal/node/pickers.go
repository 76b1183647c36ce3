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

// memberPickers holds a load balancer for each service that is not keyed.
type memberPickers struct {
	clock     clock.Clock
	mu        sync.RWMutex
	byService map[wire.ServiceName]*servicePicker
}

// servicePicker is the picker of one service and the table version of its targets.
type servicePicker struct {
	*balance.Picker
	mu           sync.Mutex
	tableVersion wire.Version
}

func newMemberPickers(c clock.Clock) *memberPickers {
	return &memberPickers{clock: c, byService: make(map[wire.ServiceName]*servicePicker)}
}

// forService returns the picker of a service, updated to the snapshot.
func (p *memberPickers) forService(service wire.ServiceName, snapshot *table.Snapshot) *servicePicker {
	p.mu.RLock()
	picker := p.byService[service]
	p.mu.RUnlock()
	if picker == nil {
		picker = p.addPicker(service)
	}
	picker.update(service, snapshot)
	return picker
}

func (p *memberPickers) addPicker(service wire.ServiceName) *servicePicker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byService[service] == nil {
		p.byService[service] = &servicePicker{Picker: balance.New(balance.Options{Clock: p.clock})}
	}
	return p.byService[service]
}

func (p *servicePicker) update(service wire.ServiceName, snapshot *table.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if snapshot.Version() <= p.tableVersion {
		return
	}
	p.tableVersion = snapshot.Version()
	var targets []balance.Target
	for _, member := range snapshot.MembersOfService(service) {
		targets = append(targets, balance.Target{ID: string(member.Incarnation), Capacity: float64(member.Slots), Cold: member.Cold})
	}
	p.Update(targets)
}

// sendToMember sends a request to a member's node. For a service that is not keyed it
// reports the result to the picker.
func (n *node) sendToMember(ctx context.Context, q *routedRequest, chosen wire.Member) *nodeReply {
	if q.keyed {
		return n.dispatch(ctx, q, chosen)
	}
	picker, id := n.pickers.forService(q.route.Service, n.routing.snapshot()), string(chosen.Incarnation)
	picker.Begin(id)
	start := n.clock.Now()
	reply := n.dispatch(ctx, q, chosen)
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

// dispatch passes a request to the owner's side, by a direct call if that is this node.
func (n *node) dispatch(ctx context.Context, q *routedRequest, chosen wire.Member) *nodeReply {
	if chosen.Node == n.settings.Name {
		return n.handleAsOwner(ctx, q)
	}
	return n.forwardToPeer(ctx, q, chosen)
}

func intField(reply *nodeReply, field string) int {
	value, _ := strconv.Atoi(reply.header.Get(field))
	return value
}
