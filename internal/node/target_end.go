package node

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// downReportTimeout is the timeout of one attempt to report an end. It covers the commit,
// and the lease duration that the leader waits if the target may still run.
const downReportTimeout clock.Millis = 1500

// endRecordedTimeout is the minimum time to wait for the state of a target after a failed
// exchange. It covers failing probes, the commit and one lease duration.
const endRecordedTimeout clock.Millis = 3000

// handleEnd handles the end of an incarnation. If the target crashed, it collects the
// requests that were sent to it as suspects and cancels them. It reports the end and the
// suspects to the control group in the background; the cancelled requests get their
// replies once every serving node knows the suspects. It does not block.
func (n *node) handleEnd(m *member, cause endCause) {
	level := zerolog.InfoLevel
	if cause.crashed || cause.unknownToControl {
		level = zerolog.WarnLevel
	}
	n.log.WithLevel(level).Str("Incarnation", string(m.incarnation)).Str("Service", string(m.target.Service)).
		Str("Reason", cause.reason).Bool("Crashed", cause.crashed).Msg("target ended")
	n.metrics.incarnations.WithLabelValues("ended").Inc()
	// The suspects are collected before the requests are cancelled, which would remove
	// them.
	var suspects []wire.InFlight
	if cause.crashed {
		suspects = m.inFlight.suspects()
		m.incarnationScope.end()
	}
	m.leaseScope.end()
	// Requests that wait for a grant or a permit will soon have another owner.
	m.waiters.cancelRejected(func(*routedRequest) reasonCode { return reasonNotOwner })
	n.background.Go(func() {
		defer m.stop()
		defer close(m.endRecorded)
		n.reportDown(m, cause, suspects)
	})
}

// reportDown reports the end until the control group has recorded it, and then waits
// until every serving node knows the suspects. If the control group does not know the
// incarnation any more, there is nothing to report.
func (n *node) reportDown(m *member, cause endCause, suspects []wire.InFlight) {
	if cause.unknownToControl {
		return
	}
	request := wire.DownRequest{
		Group: n.settings.Group, Node: n.settings.Name, Incarnation: m.incarnation,
		Reason: cause.reason, Crashed: cause.crashed, MayStillRun: cause.mayStillRun, InFlight: suspects,
	}
	_, err := callControl[wire.DownResponse](n.processCtx, n.control, wire.MethodNodeDown, request, downReportTimeout)
	if err != nil {
		n.log.Warn().Err(err).Str("Incarnation", string(m.incarnation)).Msg("end of target not recorded")
	}
	n.requestHeartbeat()
	if len(suspects) == 0 {
		return
	}
	// A serving node has a valid lease, so its routing table is at most one lease
	// duration old.
	_ = n.clock.Sleep(n.processCtx, lease.DefaultTerms.MaxDuration())
}

// awaitTargetState waits after a failed exchange until it is known whether the target has
// crashed: until a probe that started after the failure succeeds, or until the target's
// end is recorded. Until then the request must stay recorded as sent to the target.
//
// The wait ends at the deadline, but not before endRecordedTimeout. Without a limit, the
// caller would wait forever while the control group is unreachable.
func (m *member) awaitTargetState(ctx context.Context, deadline clock.Millis) {
	timeout := max(deadline-m.clock.Now(), endRecordedTimeout)
	timed, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	for m.alive() && !m.probeSucceeds(timed) && timed.Err() == nil {
	}
	if m.alive() {
		return
	}
	select {
	case <-m.endRecorded:
	case <-timed.Done():
	}
}

// probeSucceeds reports whether a probe that starts after the call succeeds.
func (m *member) probeSucceeds(ctx context.Context) bool {
	probe := m.probes.request()
	select {
	case <-probe.done:
		return probe.succeeded
	case <-m.ended:
	case <-ctx.Done():
	}
	return false
}
