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
type pickers struct {
	clock clock.Clock
	mu    sync.RWMutex
	all   map[wire.ServiceName]*servicePicker
}

// servicePicker is a picker and the table version that it was updated to.
type servicePicker struct {
	*balance.Picker
	mu      sync.Mutex
	version wire.Version
}

func newPickers(c clock.Clock) *pickers {
	return &pickers{clock: c, all: make(map[wire.ServiceName]*servicePicker)}
}

// of returns the picker of a service, up to date with the snapshot.
func (p *pickers) of(name wire.ServiceName, s *table.Snapshot) *servicePicker {
	p.mu.RLock()
	v := p.all[name]
	p.mu.RUnlock()
	if v == nil {
		v = p.add(name)
	}
	v.update(name, s)
	return v
}

func (p *pickers) add(name wire.ServiceName) *servicePicker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all[name] == nil {
		p.all[name] = &servicePicker{Picker: balance.New(balance.Options{Clock: p.clock})}
	}
	return p.all[name]
}

func (v *servicePicker) update(name wire.ServiceName, s *table.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Version() <= v.version {
		return
	}
	v.version = s.Version()
	var targets []balance.Target
	for _, m := range s.Members(name) {
		targets = append(targets, balance.Target{ID: string(m.Incarnation), Capacity: float64(m.Slots), Cold: m.Cold})
	}
	v.Update(targets)
}

// send hands a request to a member's node and observes what comes back.
func (n *node) send(ctx context.Context, q *request, m wire.Member) *reply {
	if q.keyed {
		return n.hop(ctx, q, m)
	}
	picker, id := n.pickers.of(q.route.Service, n.routing.snapshot()), string(m.Incarnation)
	picker.Begin(id)
	began := n.clock.Now()
	p := n.hop(ctx, q, m)
	r := balance.Result{
		Failed:   p.outcome == wire.OutcomeUnknown || (p.notRun() && corrects(p.reason)),
		Shed:     p.reason == reasonOverload || p.reason == reasonQueueFull,
		InFlight: intOf(p, header.InFlight), Limit: intOf(p, header.Limit),
	}
	p.body = &endingBody{ReadCloser: p.body, end: func() {
		r.Latency = n.clock.Now() - began
		picker.End(id, r)
	}}
	return p
}

// hop reaches the owner's side: by a call on this node, or over the network.
func (n *node) hop(ctx context.Context, q *request, m wire.Member) *reply {
	if m.Node == n.settings.Name {
		return n.own(ctx, q)
	}
	return n.ask(ctx, q, m)
}

func intOf(p *reply, field string) int {
	v, _ := strconv.Atoi(p.header.Get(field))
	return v
}
