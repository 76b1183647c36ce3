package core

import (
	"context"
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// copyWindow is the time after an order within which the same order may be a late copy of
	// it. Operators resend an order for 4 s and wait 1 s for the response to each copy.
	copyWindow clock.Millis = 5000
	// vacateSpread is the time over which the targets of an evacuated failure domain begin to
	// give up their keys by calls, so that not all keys of the domain are without an owner at
	// the same moment. Keys that are granted in responses move with heartbeats, which are
	// spread out already.
	vacateSpread clock.Millis = 1000
)

// evacuationOrders are the times at which orders for a failure domain last arrived at a
// leader; 0 if there was none in its term.
type evacuationOrders struct {
	began, ended clock.Millis
}

// last returns when orders of a kind and of the opposite kind last arrived.
func (o *evacuationOrders) last(active bool) (same, opposite clock.Millis) {
	if active {
		return o.began, o.ended
	}
	return o.ended, o.began
}

func (o *evacuationOrders) record(active bool, now clock.Millis) {
	if active {
		o.began = now
		return
	}
	o.ended = now
}

// Evacuate begins or ends the evacuation of a failure domain. The targets of an evacuated
// domain get no requests and own no keys, including those that register later. If it returns
// an error, the order may still take effect.
func (c *Core) Evacuate(ctx context.Context, domain message.FailureDomain, active bool) (registry.Outcome, error) {
	start := c.options.Clock.Now()
	out, err := serve(ctx, c, message.Evacuation{Domain: domain, Active: active}, (*leadership).evacuate)
	c.metrics.evacuations.WithLabelValues(map[bool]string{true: "begin", false: "end"}[active], outcomeName(out, err)).Inc()
	c.log.Info().Err(err).Str("Event", "evacuation").Str("Domain", string(domain[:min(len(domain), maxLoggedDomain)])).Bool("Active", active).Int("Status", int(out.Status)).Str("Reason", out.Reason).
		Int64("TookMillis", int64(c.options.Clock.Now()-start)).Msg("order to evacuate a failure domain, or to end that")
	c.wakePlanner()
	return out, err
}

// maxReturnTime is the time after the end of an evacuation for which it is remembered. Targets
// are cold for less.
const maxReturnTime clock.Millis = 600_000

// maxLoggedDomain bounds the bytes of an operator's failure domain that are logged.
const maxLoggedDomain = 128

func (l *leadership) evacuate(ctx context.Context, e message.Evacuation) (registry.Outcome, error) {
	if reason := registry.InvalidDomain(e.Domain); reason != "" {
		return registry.Outcome{Status: registry.Invalid, Reason: reason}, nil
	}
	if l.machine.Configuration().Revision.Version == 0 && l.tooFewReplicas() {
		return registry.Outcome{}, merry.Wrap(ErrTooFewReplicas)
	}
	return l.commitOnce(ctx, evacuationKey(e.Domain, e.Active), message.Command{Evacuation: &e}, func() (registry.Outcome, bool) { return l.checkCopy(e) })
}

// evacuationKey identifies an order among the commands that are being committed. Digests of
// changes contain no space.
func evacuationKey(domain message.FailureDomain, active bool) string {
	return fmt.Sprintf("evacuation %s %t", domain, active)
}

// checkCopy decides an order that may be a late copy of one that was followed by its opposite.
// A copy cannot be told from a new order. Carried out, it would undo the later order without
// the operator's knowledge, so it is rejected, and a new order has to be sent again later.
// Other orders are recorded. The caller must hold l.changesMu.
func (l *leadership) checkCopy(e message.Evacuation) (registry.Outcome, bool) {
	now := l.options.Clock.Now()
	orders := l.orders[e.Domain]
	if orders == nil {
		// Times outside the window no longer matter.
		for domain, o := range l.orders {
			if now-max(o.began, o.ended) > copyWindow {
				delete(l.orders, domain)
			}
		}
		orders = &evacuationOrders{}
		l.orders[e.Domain] = orders
	}
	same, opposite := orders.last(e.Active)
	undone := l.machine.Evacuated(e.Domain) != e.Active || l.pendingChanges[evacuationKey(e.Domain, !e.Active)] != nil
	if undone && same > 0 && opposite >= same && now-same < copyWindow {
		return registry.Outcome{Status: registry.Conflict, Reason: fmt.Sprintf("the same order was sent %d ms ago and the opposite one since; send it again %d ms after the former if it is a new one", now-same, copyWindow)}, true
	}
	orders.record(e.Active, now)
	return registry.Outcome{}, false
}

// evacuations are the times at which a leader first saw that failure domains were evacuated,
// and that they no longer were.
type evacuations struct {
	seen, ended map[message.FailureDomain]clock.Millis
}

func newEvacuations() evacuations {
	return evacuations{seen: map[message.FailureDomain]clock.Millis{}, ended: map[message.FailureDomain]clock.Millis{}}
}

// observeEvacuations records which failure domains are evacuated.
func (l *leadership) observeEvacuations() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, current := l.options.Clock.Now(), l.machine.EvacuatedDomains()
	for _, d := range current {
		if _, known := l.evacuations.seen[d]; !known {
			l.evacuations.seen[d] = now
		}
		delete(l.evacuations.ended, d)
	}
	for d := range l.evacuations.seen {
		if !slices.Contains(current, d) {
			delete(l.evacuations.seen, d)
			l.evacuations.ended[d] = now
		}
	}
	for d, ended := range l.evacuations.ended {
		if now-ended > maxReturnTime {
			delete(l.evacuations.ended, d)
		}
	}
}

// evacuationDue reports whether a target must give up its keys now because its failure domain
// is evacuated. The caller must hold l.mu.
func (l *leadership) evacuationDue(i message.Instance, now clock.Millis) bool {
	if !l.machine.Evacuated(i.Domain) {
		return false
	}
	if !l.grantsByCall(i.Service) {
		return true
	}
	seen, known := l.evacuations.seen[i.Domain]
	if !known {
		return false
	}
	return now-seen >= clock.Millis(xxhash.Sum64String(string(i.Incarnation.ID))%uint64(vacateSpread))
}

// holdBackReturned marks targets as not eligible for keys whose failure domain was evacuated
// until recently, for as long as targets of the service are cold after a start: they may have
// turned cold meanwhile. They are eligible if there are no others. The caller must hold l.mu.
func (l *leadership) holdBackReturned(service message.ServiceName, instances []message.Instance, targets []keyrange.Target, now clock.Millis) {
	spec, _ := l.machine.Service(service)
	if spec.ColdPerSecond <= 0 || len(l.evacuations.ended) == 0 {
		return
	}
	var returned []int
	others := false
	for n, i := range instances {
		ended, known := l.evacuations.ended[i.Domain]
		if known && now-ended < clock.Millis(spec.ColdMillis) {
			returned = append(returned, n)
			continue
		}
		others = others || targets[n].Eligible
	}
	if !others {
		return
	}
	for _, n := range returned {
		targets[n].Eligible = false
	}
}
