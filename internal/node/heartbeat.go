package node

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

const (
	// heartbeatEvery leaves four renewals within a lease of 900 ms.
	heartbeatInterval clock.Millis = 200
	// hedgeAfter is the time after which a second heartbeat is sent.
	hedgeDelay clock.Millis = 250
	// heartbeatTimeout is shorter than a lease: a later response is of no use.
	heartbeatTimeout clock.Millis = 700
	// heartbeatPause is the wait after a failed heartbeat.
	heartbeatRetryDelay clock.Millis = 20
	// reportEvery is the interval of load and hot-key reports, which keeps their
	// cost at a node under 2 KB/s.
	reportInterval clock.Millis = 2000
	// watchWait is how long the leader may hold a watch without a change.
	maxWatchWait clock.Millis = 2000
	// watchTimeout leaves the leader time to answer.
	watchTimeout = maxWatchWait + 500
)

// heartbeatCall sends a heartbeat to the control group.
type heartbeatFunc func(ctx context.Context, r wire.HeartbeatRequest) (wire.HeartbeatResponse, error)

// heartbeat renews the lease, registers the member and reports, until ctx ends.
func (n *node) runHeartbeats(ctx context.Context) error {
	for ctx.Err() == nil {
		start := n.clock.Now()
		interval := heartbeatInterval
		if err := n.sendHedgedHeartbeat(ctx); err != nil {
			n.metrics.heartbeats.WithLabelValues("failed").Inc()
			interval = n.clock.Now() - start + heartbeatRetryDelay
			n.setControlReachable(false)
		} else {
			n.metrics.heartbeats.WithLabelValues("ok").Inc()
			n.setControlReachable(true)
		}
		n.waitForNextHeartbeat(ctx, start+interval)
	}
	return nil
}

// waitBeat waits until the next heartbeat is due or asked for.
func (n *node) waitForNextHeartbeat(ctx context.Context, due clock.Millis) {
	remaining := due - n.clock.Now()
	if remaining <= 0 {
		return
	}
	timed, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	select {
	case <-timed.Done():
	case <-n.heartbeatNow:
	}
}

// hurry asks for a heartbeat at once.
func (n *node) requestHeartbeat() {
	select {
	case n.heartbeatNow <- struct{}{}:
	default:
	}
}

// hedgedBeat sends a heartbeat, and a second one over a new connection when the
// first stays without a response for hedgeAfter. A leader that is slow then
// still renews the lease, and one that is paused, or behind a silent connection,
// costs less than the lease lasts.
func (n *node) sendHedgedHeartbeat(ctx context.Context) error {
	results := make(chan error, 2)
	n.background.Go(func() {
		results <- n.sendHeartbeat(ctx, func(ctx context.Context, r wire.HeartbeatRequest) (wire.HeartbeatResponse, error) {
			return tryCall[wire.HeartbeatResponse](ctx, n.control, wire.MethodNodeHeartbeat, r, heartbeatTimeout)
		})
	})
	timed, cancel := context.WithTimeout(ctx, hedgeDelay.Duration())
	defer cancel()
	select {
	case err := <-results:
		return err
	case <-timed.Done():
	}
	n.background.Go(func() { results <- n.sendHedge(ctx) })
	if err := <-results; err == nil {
		return nil
	}
	return <-results
}

// spareBeat sends a heartbeat over connections of its own, and asks another
// replica first who leads.
func (n *node) sendHedge(ctx context.Context) error {
	n.metrics.heartbeats.WithLabelValues("hedged").Inc()
	hedgeClient := n.control.newHedgeClient()
	defer hedgeClient.close()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout.Duration())
	defer cancel()
	err := n.sendHeartbeat(ctx, func(ctx context.Context, r wire.HeartbeatRequest) (wire.HeartbeatResponse, error) {
		return callControl[wire.HeartbeatResponse](ctx, hedgeClient, wire.MethodNodeHeartbeat, r, controlAttemptTimeout)
	})
	if err == nil {
		n.control.adoptLeader(hedgeClient)
	}
	return err
}

// beat sends one heartbeat. The order matters: the target's clock and the
// node's clock are read before the request is sent, and the table is applied
// before the lease counts as renewed.
func (n *node) sendHeartbeat(ctx context.Context, call heartbeatFunc) error {
	m := n.targets.current()
	var targetClock clock.Millis
	clockRead := false
	if m != nil && m.target.ChecksGrants {
		targetClock, clockRead = m.readClock(ctx)
	}
	request := n.newHeartbeatRequest(m)
	sentAt := n.clock.Now()
	response, err := call(ctx, request)
	if err != nil {
		n.shares.reportLost(request.Callers)
		return err
	}
	if err := n.routing.apply(response.Delta, request.KnownVersion); err != nil {
		n.log.Warn().Err(err).Msg("routing table refused")
		return err
	}
	n.routing.confirm(sentAt)
	n.shares.apply(request.Callers, response.CallerShares, sentAt)
	if m == nil {
		return nil
	}
	if !response.Granted {
		n.targets.leaseRejected(m, response.Refusal)
		return nil
	}
	m.lease.Renewed(sentAt)
	if clockRead {
		m.grants.extendDeadline(targetClock + lease.DefaultTerms.Shortest())
	}
	m.grants.wakeUp()
	return nil
}

// report builds the heartbeat of a node with the member, if it has one.
func (n *node) newHeartbeatRequest(m *member) wire.HeartbeatRequest {
	s := n.settings
	r := wire.HeartbeatRequest{
		Group: s.Group, Node: s.Name, Address: s.Advertise, FailureDomain: s.FailureDomain,
		Process: n.processID, DeltaFormat: wire.DeltaFormatChanges, KnownVersion: n.routing.knownVersion(), RevisionInForce: n.routing.snapshot().Revision(),
		Stopping: n.stopping.Load(), Released: []wire.Grant{}, Loads: []wire.PartitionLoad{}, HotKeys: []wire.HotKey{},
	}
	now := n.clock.Now()
	lastReportAt := n.lastReportAt.Load()
	reportDue := now-clock.Millis(lastReportAt) >= reportInterval && n.lastReportAt.CompareAndSwap(lastReportAt, int64(now))
	if reportDue {
		r.HotKeys = n.hotKeys.top()
	}
	r.Callers = n.shares.nextReport(reportDue)
	if m == nil {
		return r
	}
	r.Member = m.wireAnnouncement()
	r.Released = m.releasedGrants()
	r.Stopping = r.Stopping || m.draining.Load()
	if reportDue {
		r.Loads = m.inFlight.loads(now)
		r.TargetLatencyMillis = m.latency.report()
	}
	return r
}

// watch keeps the table up to date between heartbeats. It does not count for
// the table's age, which only a confirmed heartbeat renews.
func (n *node) watchTable(ctx context.Context) error {
	for ctx.Err() == nil {
		known := n.routing.knownVersion()
		request := wire.WatchRequest{
			Group: n.settings.Group, Node: n.settings.Name, DeltaFormat: wire.DeltaFormatChanges,
			KnownVersion: known, WaitMillis: wire.Millis(maxWatchWait),
		}
		response, err := tryCall[wire.WatchResponse](ctx, n.control, wire.MethodNodeWatch, request, watchTimeout)
		if err == nil && response.Delta.ToVersion > known {
			err = n.routing.apply(response.Delta, known)
		}
		if err != nil {
			_ = n.clock.Sleep(ctx, heartbeatRetryDelay)
		}
	}
	return nil
}
