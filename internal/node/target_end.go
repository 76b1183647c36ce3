package node

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// downTimeout covers the lease duration that the leader waits out when the
// target may still run, and the commit.
const downReportTimeout clock.Millis = 1500

// verdictWait covers failed probes, the commit and one lease duration.
const endRecordedTimeout clock.Millis = 3000

// down takes the requests that a dead target had, reports the end to the
// control group, and lets those requests be answered when every serving node
// knows the suspects. It returns at once.
func (n *node) handleEnd(m *member, cause endCause) {
	level := zerolog.InfoLevel
	if cause.crashed || cause.unknownToControl {
		level = zerolog.WarnLevel
	}
	n.log.WithLevel(level).Str("Incarnation", string(m.incarnation)).Str("Service", string(m.target.Service)).
		Str("Reason", cause.reason).Bool("Crashed", cause.crashed).Msg("target ended")
	n.metrics.incarnations.WithLabelValues("ended").Inc()
	// The suspects are taken before anything else ends these requests.
	var suspects []wire.InFlight
	if cause.crashed {
		suspects = m.inFlight.suspects()
		m.incarnationScope.end()
	}
	m.leaseScope.end()
	// Requests that wait for a grant or a permit have another owner soon.
	m.waiters.returnRejected(func(*request) reasonCode { return reasonNotOwner })
	n.background.Go(func() {
		defer m.stop()
		defer close(m.endRecorded)
		n.reportDown(m, cause, suspects)
	})
}

// reportDown repeats Node.Down until it is recorded. Without the
// control group there is no verdict.
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
	// A serving node holds a valid lease, and a valid lease implies a table that
	// is at most one lease duration old.
	_ = n.clock.Sleep(n.processCtx, lease.DefaultTerms.Longest())
}

// awaitTarget decides what a failed exchange means: it returns when a probe
// that began after the failure succeeded, or when the target's end has been
// recorded. Until then the request stays among those that the target has.
//
// The wait ends at the deadline, but not before verdictWait: without the control
// group there is no verdict, and the caller is not kept for ever.
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

// probedWell waits for a probe that begins now.
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
