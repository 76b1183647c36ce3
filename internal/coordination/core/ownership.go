package core

import (
	"context"
	"fmt"
	"math"
	"slices"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

const (
	// planInterval is how often the leader looks for expired leases and overdue moves.
	planInterval clock.Millis = 100
	// firstAssignmentMargin is added to one heartbeat interval to get the time for which
	// the leader waits for more targets of a service whose keys are all unassigned.
	// Otherwise the first target would get all keys.
	firstAssignmentMargin clock.Millis = 150
	// defaultHeartbeatInterval is the heartbeat interval if the settings state none.
	defaultHeartbeatInterval clock.Millis = 1000
	// maxResponseDelay is how long the response to a heartbeat may be delayed for keys that
	// are about to be released to the target. Targets wait 1 s for a response.
	maxResponseDelay clock.Millis = 800
	// heartbeatWindow is the time within which the next heartbeat of an owner must be due
	// for a move to begin. The heartbeat of the next owner then still waits for its
	// response when the owner releases the keys.
	heartbeatWindow clock.Millis = 750
	// maxMoveDelay is the time after which a needed move begins even if no heartbeat of the
	// owner is due.
	maxMoveDelay clock.Millis = 1500
	// maxVacateDelay is the corresponding time for a leaving target. It is shorter because
	// such a target takes no new requests soon after its acknowledgement.
	maxVacateDelay clock.Millis = 700
	// loadsCommitInterval is how often the loads of a service are committed together with
	// its assignments, for a later leader.
	loadsCommitInterval clock.Millis = 2000
	// deregisterAfter is the time since the last heartbeat after which a target without
	// keys is removed.
	deregisterAfter clock.Millis = 20_000
)

// heartbeat responds to the heartbeat of a target.
func (l *leadership) heartbeat(ctx context.Context, h message.Heartbeat) (message.HeartbeatReply, error) {
	arrival := l.options.Clock.Now()
	if err := l.register(ctx, h.Instance, h.Before); err != nil {
		return message.HeartbeatReply{}, err
	}
	if spec, _ := l.machine.Service(h.Instance.Service); !spec.Keyed || spec.GrantsByCall {
		if spec.Keyed {
			l.leases.SeedLoads(h.Instance.Service, l.machine.Assignments(h.Instance.Service).Loads)
		}
		l.leases.RecordHeartbeat(h, arrival)
		l.leases.PresumeLease(h.Instance.Incarnation, arrival, l.leaseDuration(h.Instance.Service))
		return message.HeartbeatReply{Grants: []message.RangeGrant{}}, nil
	}
	confirmed, err := l.Confirm(ctx)
	if err != nil {
		return message.HeartbeatReply{}, err
	}
	l.leases.SeedLoads(h.Instance.Service, l.machine.Assignments(h.Instance.Service).Loads)
	if !l.leases.RecordHeartbeat(h, arrival) {
		return message.HeartbeatReply{Keyed: true, Grants: []message.RangeGrant{}}, nil
	}
	if err := l.updateAssignments(ctx, h); err != nil {
		return message.HeartbeatReply{}, err
	}
	l.delayOverloadedOwner(ctx, h.Instance, arrival+maxResponseDelay)
	l.awaitIncomingKeys(ctx, h.Instance, arrival+maxResponseDelay)
	state := l.machine.Index()
	reply, err := l.grant(h, arrival)
	if err != nil {
		return message.HeartbeatReply{}, err
	}
	l.logNewGrants(h, reply.Grants, confirmed, state, arrival)
	return reply, nil
}

// logNewGrants logs the ranges that a response grants and the heartbeat did not report.
func (l *leadership) logNewGrants(h message.Heartbeat, grants []message.RangeGrant, confirmed replog.Index, state message.Version, arrival clock.Millis) {
	var added []message.Assignment
	for _, g := range grants {
		a := message.Assignment{From: g.From, To: g.To, FencingToken: g.FencingToken, Owner: h.Instance.Incarnation}
		if !keyrange.Covered(h.Grants, a) {
			added = append(added, a)
		}
	}
	if len(added) == 0 {
		return
	}
	l.log.Info().Str("Event", "grant").Str("Service", string(h.Instance.Service)).Str("Target", string(h.Instance.Incarnation.ID)).Int("Heartbeat", h.Sequence).
		Str("Rows", describe(added)).Uint64("Term", uint64(l.Term)).Uint64("ConfirmedIndex", uint64(confirmed)).Uint64("StateIndex", uint64(state)).
		Int64("TookMillis", int64(l.options.Clock.Now()-arrival)).Msg("granting keys that the heartbeat does not report")
}

// register commits the registration of a target if it is new or has changed.
func (l *leadership) register(ctx context.Context, instance message.Instance, before *message.Incarnation) error {
	old, ok := l.machine.Instance(instance.Incarnation.ID)
	instance.Draining = instance.Draining || ok && old.Incarnation == instance.Incarnation && old.Draining
	if ok && old == instance {
		return nil
	}
	expiry := l.unknownExpiry(instance.Incarnation)
	out, err := l.propose(ctx, message.Command{Register: &instance, Before: before})
	if err == nil && out.Status != registry.Done {
		err = &rpc.Error{Code: rpc.CodeRejected, Message: out.Reason}
	}
	if err == nil && expiry != nil {
		l.endExpiry(instance.Incarnation, expiry)
	}
	l.log.Info().Err(err).Str("Event", "target").Str("Service", string(instance.Service)).Str("Target", string(instance.Incarnation.ID)).Int("Born", int(instance.Incarnation.StartTime)).
		Str("Peer", string(instance.Peer)).Int("Slots", instance.Slots).Bool("Draining", instance.Draining).Bool("Stopping", instance.Stopping).Msg("target registered")
	return err
}

// updateAssignments commits the changes of assignments that follow from a heartbeat: keys
// that the target has released go to their next owner, and the target may get unassigned
// keys or become the next owner in a planned move.
func (l *leadership) updateAssignments(ctx context.Context, h message.Heartbeat) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	target, service := h.Instance.Incarnation, h.Instance.Service
	current := l.machine.Assignments(service)
	list, released := keyrange.CompleteMoves(current.List, target, answeredVersion(h), h.Grants, h.Released)
	loads, targets := l.leases.Loads(service), l.targets(service)
	assigned, scheduled := false, false
	if isEligible(targets, target) && l.readyToAssign(service, current) {
		list, assigned = keyrange.AssignUnassigned(list, loads, targets, target)
		list, scheduled = l.scheduleMoves(service, list, loads, targets, target)
	}
	if !released && !assigned && !scheduled {
		return nil
	}
	changed := registry.ChangedAssignments(current.List, list)
	for kind, happened := range map[string]bool{"released": released, "taken": assigned, "move": scheduled} {
		if happened {
			l.metrics.keyDecisions.WithLabelValues(kind).Inc()
		}
	}
	l.log.Info().Str("Event", "keys").Str("Service", string(service)).Str("Target", string(target.ID)).Bool("Released", released).Bool("Taken", assigned).Bool("MoveBegan", scheduled).
		Str("Rows", describe(changed)).Msg("changing key assignments")
	return l.commitAssignments(ctx, service, current, changed)
}

// answeredVersion returns the version of the assignments from which the target was answered
// before it sent a heartbeat. Sidecars of earlier releases do not state it; what their targets
// do not report counts as released.
func answeredVersion(h message.Heartbeat) message.Version {
	if h.Answered == nil {
		return math.MaxInt
	}
	return *h.Answered
}

// commitAssignments commits changed assignments, provided that the old ones are still
// current.
func (l *leadership) commitAssignments(ctx context.Context, service message.ServiceName, old registry.Assignments, changed []message.Assignment) error {
	change := message.AssignmentsChange{Service: service, ExpectedVersion: old.Version, Assignments: changed, Loads: []message.Load{}}
	if now := l.options.Clock.Now(); now-l.loadsCommittedAt[service] >= loadsCommitInterval {
		change.Loads, l.loadsCommittedAt[service] = l.leases.BusiestBuckets(service), now
	}
	out, err := l.propose(ctx, message.Command{Assignments: &change})
	if err == nil && out.Status != registry.Done {
		err = &rpc.Error{Code: rpc.CodeUnavailable, Message: out.Reason}
	}
	return err
}

// describe formats the first few assignments for the log, each as
// FROM-TO:OWNER/TOKEN>NEXTOWNER.
func describe(list []message.Assignment) string {
	s := ""
	for i, a := range list {
		if i == 12 {
			return s + fmt.Sprintf(" and %d more", len(list)-i)
		}
		s += fmt.Sprintf(" %d-%d:%s/%d", a.From, a.To, a.Owner.ID, a.FencingToken)
		if a.NextOwner.ID != "" {
			s += ">" + string(a.NextOwner.ID)
		}
	}
	return s
}

// targets returns the targets of a keyed service with their capacity.
func (l *leadership) targets(service message.ServiceName) []keyrange.Target {
	var instances []message.Instance
	for _, i := range l.machine.Instances() {
		if i.Service == service {
			instances = append(instances, i)
		}
	}
	now, silenceLimit := l.options.Clock.Now(), l.leases.LeaseDuration()
	if l.grantsByCall(service) {
		silenceLimit = maxLeaseSilence
	}
	evacuated := l.machine.EvacuatedDomains()
	var out []keyrange.Target
	for _, i := range instances {
		unresponsive := l.leases.SinceLastHeartbeat(i.Incarnation, now) > silenceLimit
		out = append(out, keyrange.Target{
			Incarnation: i.Incarnation, Capacity: l.leases.Capacity(i), Eligible: !i.Draining && !i.Stopping && !unresponsive && !slices.Contains(evacuated, i.Domain),
		})
	}
	l.holdBackReturned(service, instances, out, now)
	return out
}

// isEligible reports whether a target may get keys.
func isEligible(targets []keyrange.Target, incarnation message.Incarnation) bool {
	for _, t := range targets {
		if t.Incarnation == incarnation {
			return t.Eligible
		}
	}
	return false
}

// readyToAssign reports whether keys of a service may be assigned: immediately if some
// are assigned already, otherwise once all targets have had time to send a heartbeat. Keys
// that are granted by calls are moved soon after, so that they wait only for targets that
// were all started at the same time.
func (l *leadership) readyToAssign(service message.ServiceName, assignments registry.Assignments) bool {
	for _, a := range assignments.List {
		if a.Owner.ID != "" {
			return true
		}
	}
	now := l.options.Clock.Now()
	since, known := l.unassignedSince[service]
	if !known {
		l.unassignedSince[service] = now
		return false
	}
	if l.grantsByCall(service) {
		return now-since >= firstAssignmentMargin
	}
	return now-since >= l.heartbeatInterval()+firstAssignmentMargin
}

func (l *leadership) heartbeatInterval() clock.Millis {
	if h := l.options.Settings.HeartbeatMillis; h > 0 {
		return h
	}
	return defaultHeartbeatInterval
}

// scheduleMoves schedules moves of keys to a target, from leaving targets and from the
// most overloaded one. Moves from a leaving target are scheduled if its heartbeat is due
// soon; vacateOverdue schedules the remaining ones. Moves from an overloaded target are
// also scheduled while its response is delayed, or if they are overdue.
func (l *leadership) scheduleMoves(service message.ServiceName, list []message.Assignment, loads *keyrange.Loads, targets []keyrange.Target, to message.Incarnation) ([]message.Assignment, bool) {
	now := l.options.Clock.Now()
	scheduled := false
	for _, t := range targets {
		if l.mustVacate(t, list, now) && l.heartbeatDueSoon(t.Incarnation, now) {
			others := []keyrange.Target{}
			for _, x := range targets {
				x.Eligible = x.Eligible && x.Incarnation != t.Incarnation
				others = append(others, x)
			}
			var vacating bool
			list, vacating = keyrange.VacateTo(list, loads, others, t.Incarnation, to)
			scheduled = scheduled || vacating
		}
	}
	from, ok := keyrange.MostRelievable(list, loads, targets)
	if !ok {
		delete(l.moveWantedSince, service)
		return list, scheduled
	}
	if _, known := l.moveWantedSince[service]; !known {
		l.moveWantedSince[service] = now
	}
	if overdue := now-l.moveWantedSince[service] > maxMoveDelay; !overdue && !l.delayedOwners[from] && !l.heartbeatDueSoon(from, now) {
		return list, scheduled
	}
	rebalanced, moved := keyrange.RebalanceTo(list, loads, targets, from, to)
	if moved {
		delete(l.moveWantedSince, service)
	}
	return rebalanced, scheduled || moved
}

// mustVacate reports whether a target is leaving, or its failure domain is being evacuated,
// and it has keys, or is about to get some, without a scheduled move to another target. If so,
// it records in leavingSince when this was first seen.
func (l *leadership) mustVacate(t keyrange.Target, list []message.Assignment, now clock.Millis) bool {
	i, ok := l.machine.Instance(t.Incarnation.ID)
	if !ok || !i.Draining && !i.Stopping && !l.evacuationDue(i, now) {
		delete(l.leavingSince, t.Incarnation)
		return false
	}
	for _, a := range list {
		if a.Owner == t.Incarnation && a.NextOwner.ID == "" || a.NextOwner == t.Incarnation {
			if _, known := l.leavingSince[t.Incarnation]; !known {
				l.leavingSince[t.Incarnation] = now
			}
			return true
		}
	}
	return false
}

// grant returns the response that renews the lease of a target and grants its keys. The
// lease is recorded before the grants are read.
func (l *leadership) grant(h message.Heartbeat, arrival clock.Millis) (message.HeartbeatReply, error) {
	owner := h.Instance.Incarnation
	if !l.recordLease(owner, arrival) {
		return message.HeartbeatReply{}, errExpiring()
	}
	current := l.machine.Assignments(h.Instance.Service)
	reply := message.HeartbeatReply{
		Keyed: true, Renewed: true, LeaseDurationMillis: message.Millis(l.leases.LeaseDuration()),
		Grants: keyrange.Grants(current.List, owner, h.Grants), Version: current.Version,
	}
	return reply, l.Err()
}

// recordLease records a lease that counts from a heartbeat that arrived at the given time. It
// returns false if the target is being removed.
func (l *leadership) recordLease(owner message.Incarnation, arrival clock.Millis) bool {
	l.leaseMu.Lock()
	defer l.leaseMu.Unlock()
	if l.expiring[owner] != nil {
		return false
	}
	l.leases.RecordLease(owner, arrival)
	return true
}
