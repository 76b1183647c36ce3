package core

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/delivery"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// rebalanceInterval is the pause between two moves that relieve overloaded targets of a
// service that takes grants by calls. The load of moved keys shows only at their new owner
// after a while.
const rebalanceInterval clock.Millis = 300

// maxLeaseSilence is the time without a request for a lease or a heartbeat after which a
// target gets no more keys. Two requests in a row have then failed or were never sent.
const maxLeaseSilence clock.Millis = 1000

// settleTime is the age from which on a grant can be joined with its neighbours.
const settleTime clock.Millis = 2000

// grantsByCall reports whether the targets of a service take their keys by calls.
func (l *leadership) grantsByCall(service message.ServiceName) bool {
	spec, _ := l.machine.Service(service)
	return spec.Keyed && spec.GrantsByCall
}

// leaseDuration returns the duration of the leases of a service.
func (l *leadership) leaseDuration(service message.ServiceName) clock.Millis {
	if l.grantsByCall(service) {
		return min(delivery.LeaseDuration, l.leases.LeaseDuration())
	}
	return l.leases.LeaseDuration()
}

func (l *leadership) lease(ctx context.Context, r message.LeaseRequest) (message.LeaseReply, error) {
	arrival := l.options.Clock.Now()
	if _, err := l.Confirm(ctx); err != nil {
		return message.LeaseReply{}, err
	}
	l.leases.SeedLoads(r.Service, l.machine.Assignments(r.Service).Loads)
	return l.answerLease(ctx, r, arrival)
}

// answerLease answers a request for a lease that arrived at the given time.
func (l *leadership) answerLease(ctx context.Context, r message.LeaseRequest, arrival clock.Millis) (message.LeaseReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.machine.Instance(r.Incarnation.ID)
	if !ok || i.Incarnation != r.Incarnation || !l.grantsByCall(i.Service) {
		return message.LeaseReply{Ranges: []message.LeasedRange{}}, nil
	}
	duration := l.leaseDuration(i.Service)
	if !l.recordCallLease(r.Incarnation, arrival, duration) {
		return message.LeaseReply{}, errExpiring()
	}
	if err := l.recordReleases(ctx, i, r); err != nil {
		return message.LeaseReply{}, err
	}
	ranges := keyrange.Leased(l.machine.Assignments(i.Service).List, r.Incarnation)
	return message.LeaseReply{Renewed: true, DurationMillis: message.Millis(duration), Ranges: ranges, Digest: digestOf(ranges)}, l.Err()
}

// recordCallLease is recordLease for a service that takes grants by calls.
func (l *leadership) recordCallLease(owner message.Incarnation, arrival, duration clock.Millis) bool {
	l.leaseMu.Lock()
	defer l.leaseMu.Unlock()
	if l.expiring[owner] != nil {
		return false
	}
	l.leases.RecordCallLease(owner, arrival, duration)
	return true
}

// recordReleases commits what a sidecar reports: keys that its target has released go to
// their next owner, and ranges that it refused get a higher fencing token. The caller must
// hold l.mu.
func (l *leadership) recordReleases(ctx context.Context, i message.Instance, r message.LeaseRequest) error {
	if len(r.Released)+len(r.Refused) == 0 {
		return nil
	}
	current := l.machine.Assignments(i.Service)
	list, completed := keyrange.CompleteReleased(current.List, i.Incarnation, r.Released)
	list, raised := keyrange.RaiseTokens(list, i.Incarnation, r.Refused)
	if !completed && !raised {
		return nil
	}
	return l.commitPlan(ctx, i.Service, current, list, map[string]bool{"released": completed, "raised": raised})
}

// commitPlan commits changed assignments and logs what has changed. The caller must hold
// l.mu.
func (l *leadership) commitPlan(ctx context.Context, service message.ServiceName, current registry.Assignments, list []message.Assignment, kinds map[string]bool) error {
	changed := registry.ChangedAssignments(current.List, list)
	line := l.log.Info().Str("Event", "keys").Str("Service", string(service)).Str("Rows", describe(changed))
	for kind, happened := range kinds {
		if happened {
			l.metrics.keyDecisions.WithLabelValues(kind).Inc()
			line = line.Bool(kind, true)
		}
	}
	line.Msg("changing key assignments")
	return l.commitAssignments(ctx, service, current, changed)
}

// digestOf identifies the ranges of a target.
func digestOf(ranges []message.LeasedRange) string {
	hash := xxhash.New()
	for _, r := range ranges {
		for _, n := range []int{int(r.From), int(r.To), int(r.FencingToken), int(r.Move)} {
			_, _ = hash.WriteString(strconv.Itoa(n) + " ")
		}
	}
	return strconv.FormatUint(hash.Sum64(), 36)
}

// watchLease responds when the ranges of a target are no longer those that its sidecar
// knows. It renews nothing: a lease counts from a request that is answered at once.
func (l *leadership) watchLease(ctx context.Context, w message.LeaseWatch) (message.LeaseReply, error) {
	digest := ""
	l.waitWhile(ctx, l.options.Clock.Now()+min(clock.Millis(w.WaitMillis), maxWatchWait), func() bool {
		digest = digestOf(keyrange.Leased(l.machine.Assignments(w.Service).List, w.Incarnation))
		return digest == w.Digest
	})
	if err := l.Err(); err != nil {
		return message.LeaseReply{}, err
	}
	return message.LeaseReply{Ranges: []message.LeasedRange{}, Digest: digest}, nil
}

// planByCall commits the changes of assignments that a service needs whose targets take
// grants by calls. Unlike moves that travel with heartbeats, these need no particular moment.
func (l *leadership) planByCall(ctx context.Context, service message.ServiceName) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.machine.Assignments(service)
	list, kinds := l.nextAssignments(service, current)
	for _, happened := range kinds {
		if happened {
			return l.commitPlan(ctx, service, current, list, kinds)
		}
	}
	return nil
}

// nextAssignments returns the assignments that a service whose targets take grants by calls
// should have, and the kinds of changes. The caller must hold l.mu.
func (l *leadership) nextAssignments(service message.ServiceName, current registry.Assignments) ([]message.Assignment, map[string]bool) {
	l.leases.SeedLoads(service, current.Loads)
	now, loads, targets := l.options.Clock.Now(), l.leases.Loads(service), l.targets(service)
	list, kinds := current.List, map[string]bool{}
	if l.readyToAssign(service, current) {
		list, kinds["taken"] = keyrange.AssignAll(list, loads, targets)
	}
	for _, t := range targets {
		if l.mustVacate(t, list, now) {
			var vacated bool
			list, vacated = keyrange.Vacate(list, loads, targets, t.Incarnation)
			kinds["vacated"] = kinds["vacated"] || vacated
		}
	}
	if now-l.rebalancedAt[service] >= rebalanceInterval {
		if list, kinds["move"] = keyrange.Rebalance(list, loads, targets); kinds["move"] {
			l.rebalancedAt[service] = now
		}
	}
	list, kinds["joined"] = keyrange.JoinSettled(list, l.settledToken(current.Version, now))
	return list, kinds
}

// settledToken returns the highest fencing token that is older than settleTime. The newest
// token so far is at most the version of the assignments. The caller must hold l.mu.
func (l *leadership) settledToken(newest message.Version, now clock.Millis) message.FencingToken {
	if now-l.settlingSince >= settleTime {
		l.settled, l.settling, l.settlingSince = l.settling, message.FencingToken(newest), now
	}
	return l.settled
}
