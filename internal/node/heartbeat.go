package node

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

const (
	// heartbeatInterval allows four renewals within a lease of 900 ms.
	heartbeatInterval clock.Millis = 200
	// hedgeDelay is the time without a response after which a second heartbeat is sent.
	hedgeDelay clock.Millis = 250
	// heartbeatTimeout is shorter than a lease, because a response that arrives after the
	// lease has expired cannot renew it.
	heartbeatTimeout clock.Millis = 700
	// heartbeatRetryDelay is the delay after a failed heartbeat or watch.
	heartbeatRetryDelay clock.Millis = 20
	// reportInterval is the interval of the load and hot-key reports in heartbeats. It
	// keeps them under 2 KB/s per node.
	reportInterval clock.Millis = 2000
	// maxWatchWait is how long the leader may delay the response to a watch while the
	// table does not change.
	maxWatchWait clock.Millis = 2000
	// watchTimeout leaves the leader time to respond after maxWatchWait.
	watchTimeout = maxWatchWait + 500
)

// heartbeatFunc sends a heartbeat to the control group.
type heartbeatFunc func(ctx context.Context, r wire.HeartbeatRequest) (wire.HeartbeatResponse, error)

// runHeartbeats sends heartbeats until ctx ends. They register the member, renew its
// lease and report loads.
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

// waitForNextHeartbeat waits until the next heartbeat is due or requested.
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

// requestHeartbeat makes the next heartbeat start without delay.
func (n *node) requestHeartbeat() {
	select {
	case n.heartbeatNow <- struct{}{}:
	default:
	}
}

// sendHedgedHeartbeat sends a heartbeat, and a second one over a new connection if the
// first gets no response within hedgeDelay. The first one still renews the lease if the
// leader is just slow. The second one renews it in time if the leader is paused or the
// connection is dead.
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

// sendHedge sends a heartbeat over new connections, first to another replica than the
// presumed leader.
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

// sendHeartbeat sends one heartbeat and applies the response. The order matters: the
// clocks of target and node are read before the request is sent, so that the lease is
// never taken to last longer than the leader grants it, and the table is applied before
// the lease is renewed, as checkUnderLease requires.
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
		n.log.Warn().Err(err).Msg("routing table not updated")
		return err
	}
	n.routing.confirm(sentAt)
	n.shares.apply(request.Callers, response.CallerShares, sentAt)
	if m == nil {
		return nil
	}
	if !response.Granted {
		n.targets.leaseRejected(m, response.RejectReason)
		return nil
	}
	m.lease.Renewed(sentAt)
	if clockRead {
		m.grants.extendDeadline(targetClock + lease.DefaultTerms.MinDuration())
	}
	m.grants.wakeUp()
	return nil
}

// newHeartbeatRequest returns the next heartbeat. m is nil if the node has no member.
func (n *node) newHeartbeatRequest(m *member) wire.HeartbeatRequest {
	s := n.settings
	request := wire.HeartbeatRequest{
		Group: s.Group, Node: s.Name, Address: s.Advertise, FailureDomain: s.FailureDomain,
		Process: n.processID, DeltaFormat: wire.DeltaFormatChanges, KnownVersion: n.routing.knownVersion(), RevisionInForce: n.routing.snapshot().Revision(),
		Stopping: n.stopping.Load(), Released: []wire.Grant{}, Loads: []wire.PartitionLoad{}, HotKeys: []wire.HotKey{},
	}
	now := n.clock.Now()
	lastReportAt := n.lastReportAt.Load()
	reportDue := now-clock.Millis(lastReportAt) >= reportInterval && n.lastReportAt.CompareAndSwap(lastReportAt, int64(now))
	if reportDue {
		request.HotKeys = n.hotKeys.top()
	}
	request.Callers = n.shares.nextReport(reportDue)
	if m == nil {
		return request
	}
	request.Member = m.wireAnnouncement()
	request.Released = m.releasedGrants()
	request.Stopping = request.Stopping || m.draining.Load()
	if reportDue {
		request.Loads = m.inFlight.loads(now)
		request.TargetLatencyMillis = m.latency.report()
	}
	return request
}

// watchTable keeps the routing table up to date between heartbeats until ctx ends. It
// does not reset the table's age, because only heartbeats are confirmed by a majority.
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
