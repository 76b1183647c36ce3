package node

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

const (
	// heartbeatEvery leaves four renewals within a lease of 900 ms.
	heartbeatEvery clock.Millis = 200
	// hedgeAfter is the time after which a second heartbeat is sent.
	hedgeAfter clock.Millis = 250
	// heartbeatTimeout is shorter than a lease: a later response is of no use.
	heartbeatTimeout clock.Millis = 700
	// heartbeatPause is the wait after a failed heartbeat.
	heartbeatPause clock.Millis = 20
	// reportEvery is the interval of load and hot-key reports, which keeps their
	// cost at a node under 2 KB/s.
	reportEvery clock.Millis = 2000
	// watchWait is how long the leader may hold a watch without a change.
	watchWait clock.Millis = 2000
	// watchTimeout leaves the leader time to answer.
	watchTimeout = watchWait + 500
)

// heartbeatCall sends a heartbeat to the control group.
type heartbeatCall func(ctx context.Context, r wire.HeartbeatRequest) (wire.HeartbeatResponse, error)

// heartbeat renews the lease, registers the member and reports, until ctx ends.
func (n *node) heartbeat(ctx context.Context) error {
	for ctx.Err() == nil {
		began := n.clock.Now()
		next := heartbeatEvery
		if err := n.hedgedBeat(ctx); err != nil {
			n.metrics.heartbeats.WithLabelValues("failed").Inc()
			next = n.clock.Now() - began + heartbeatPause
			n.controlState(false)
		} else {
			n.metrics.heartbeats.WithLabelValues("ok").Inc()
			n.controlState(true)
		}
		n.waitBeat(ctx, began+next)
	}
	return nil
}

// waitBeat waits until the next heartbeat is due or asked for.
func (n *node) waitBeat(ctx context.Context, due clock.Millis) {
	left := due - n.clock.Now()
	if left <= 0 {
		return
	}
	timed, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	select {
	case <-timed.Done():
	case <-n.beatNow:
	}
}

// hurry asks for a heartbeat at once.
func (n *node) hurry() {
	select {
	case n.beatNow <- struct{}{}:
	default:
	}
}

// hedgedBeat sends a heartbeat, and a second one over a new connection when the
// first stays without a response for hedgeAfter. A leader that is slow then
// still renews the lease, and one that is paused, or behind a silent connection,
// costs less than the lease lasts.
func (n *node) hedgedBeat(ctx context.Context) error {
	results := make(chan error, 2)
	n.background.Go(func() {
		results <- n.beat(ctx, func(ctx context.Context, r wire.HeartbeatRequest) (wire.HeartbeatResponse, error) {
			return tryCall[wire.HeartbeatResponse](ctx, n.control, wire.MethodNodeHeartbeat, r, heartbeatTimeout)
		})
	})
	timed, cancel := context.WithTimeout(ctx, hedgeAfter.Duration())
	defer cancel()
	select {
	case err := <-results:
		return err
	case <-timed.Done():
	}
	n.background.Go(func() { results <- n.spareBeat(ctx) })
	if err := <-results; err == nil {
		return nil
	}
	return <-results
}

// spareBeat sends a heartbeat over connections of its own, and asks another
// replica first who leads.
func (n *node) spareBeat(ctx context.Context) error {
	n.metrics.heartbeats.WithLabelValues("hedged").Inc()
	spare := n.control.other()
	defer spare.close()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout.Duration())
	defer cancel()
	err := n.beat(ctx, func(ctx context.Context, r wire.HeartbeatRequest) (wire.HeartbeatResponse, error) {
		return callControl[wire.HeartbeatResponse](ctx, spare, wire.MethodNodeHeartbeat, r, attemptTimeout)
	})
	if err == nil {
		n.control.follow(spare)
	}
	return err
}

// beat sends one heartbeat. The order matters: the target's clock and the
// node's clock are read before the request is sent, and the table is applied
// before the lease counts as renewed.
func (n *node) beat(ctx context.Context, call heartbeatCall) error {
	m := n.targets.now()
	var targetClock clock.Millis
	hasClock := false
	if m != nil && m.target.ChecksGrants {
		targetClock, hasClock = m.readClock(ctx)
	}
	request := n.report(m)
	sent := n.clock.Now()
	response, err := call(ctx, request)
	if err != nil {
		n.shares.lost(request.Callers)
		return err
	}
	if err := n.routing.apply(response.Delta, request.KnownVersion); err != nil {
		n.log.Warn().Err(err).Msg("routing table refused")
		return err
	}
	n.routing.refreshed(sent)
	n.shares.apply(request.Callers, response.CallerShares, sent)
	if m == nil {
		return nil
	}
	if !response.Granted {
		n.targets.refused(m, response.Refusal)
		return nil
	}
	m.lease.Renewed(sent)
	if hasClock {
		m.grants.extend(targetClock + lease.DefaultTerms.Shortest())
	}
	m.grants.rouse()
	return nil
}

// report builds the heartbeat of a node with the member, if it has one.
func (n *node) report(m *member) wire.HeartbeatRequest {
	s := n.settings
	r := wire.HeartbeatRequest{
		Group: s.Group, Node: s.Name, Address: s.Advertise, FailureDomain: s.FailureDomain,
		Process: n.process, DeltaFormat: wire.DeltaFormatChanges, KnownVersion: n.routing.known(), RevisionInForce: n.routing.snapshot().Revision(),
		Stopping: n.stopping.Load(), Released: []wire.Grant{}, Loads: []wire.PartitionLoad{}, HotKeys: []wire.HotKey{},
	}
	now := n.clock.Now()
	last := n.reportedAt.Load()
	full := now-clock.Millis(last) >= reportEvery && n.reportedAt.CompareAndSwap(last, int64(now))
	if full {
		r.HotKeys = n.hotKeys.top()
	}
	r.Callers = n.shares.report(full)
	if m == nil {
		return r
	}
	r.Member = m.announced()
	r.Released = m.released()
	r.Stopping = r.Stopping || m.draining.Load()
	if full {
		r.Loads = m.inFlight.loads(now)
		r.TargetLatencyMillis = m.latency.report()
	}
	return r
}

// watch keeps the table up to date between heartbeats. It does not count for
// the table's age, which only a confirmed heartbeat renews.
func (n *node) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		known := n.routing.known()
		request := wire.WatchRequest{
			Group: n.settings.Group, Node: n.settings.Name, DeltaFormat: wire.DeltaFormatChanges,
			KnownVersion: known, WaitMillis: wire.Millis(watchWait),
		}
		response, err := tryCall[wire.WatchResponse](ctx, n.control, wire.MethodNodeWatch, request, watchTimeout)
		if err == nil && response.Delta.ToVersion > known {
			err = n.routing.apply(response.Delta, known)
		}
		if err != nil {
			_ = n.clock.Sleep(ctx, heartbeatPause)
		}
	}
	return nil
}
