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

// heartbeat renews the lease, registers the member and reports, until ctx ends.
func (n *node) heartbeat(ctx context.Context) error {
	for ctx.Err() == nil {
		began := n.clock.Now()
		next := heartbeatEvery
		if err := n.beat(ctx); err != nil {
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

// beat sends one heartbeat. The order matters: the target's clock and the
// node's clock are read before the request is sent, and the table is applied
// before the lease counts as renewed.
func (n *node) beat(ctx context.Context) error {
	m := n.targets.now()
	var targetClock clock.Millis
	hasClock := false
	if m != nil && m.target.ChecksGrants {
		targetClock, hasClock = m.readClock(ctx)
	}
	request := n.report(m)
	sent := n.clock.Now()
	response, err := tryCall[wire.HeartbeatResponse](ctx, n.control, wire.MethodNodeHeartbeat, request, attemptTimeout)
	if err != nil {
		return err
	}
	if err := n.routing.apply(response.Delta, request.KnownVersion); err != nil {
		n.log.Warn().Err(err).Msg("routing table refused")
		return err
	}
	n.routing.refreshed(sent)
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
		Process: n.process, KnownVersion: n.routing.known(), RevisionInForce: n.routing.snapshot().Revision(),
		Stopping: n.stopping.Load(), Released: []wire.Grant{}, Loads: []wire.PartitionLoad{}, HotKeys: []wire.HotKey{},
	}
	now := n.clock.Now()
	full := now-n.reportedAt >= reportEvery
	if full {
		n.reportedAt = now
		r.HotKeys = n.hotKeys.top()
	}
	if m == nil {
		return r
	}
	r.Member = m.announced()
	r.Released = m.released()
	r.Stopping = r.Stopping || m.draining.Load()
	if full {
		r.Loads = m.inFlight.loads(now)
	}
	return r
}

// watch keeps the table up to date between heartbeats. It does not count for
// the table's age, which only a confirmed heartbeat renews.
func (n *node) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		known := n.routing.known()
		request := wire.WatchRequest{Group: n.settings.Group, Node: n.settings.Name, KnownVersion: known, WaitMillis: wire.Millis(watchWait)}
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
