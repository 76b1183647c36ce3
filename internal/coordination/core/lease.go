package core

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/delivery"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/internal/rpc"
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
func (c *Core) grantsByCall(service message.ServiceName) bool {
	spec, _ := c.machine.Service(service)
	return spec.Keyed && spec.GrantsByCall
}

// leaseDuration returns the duration of the leases of a service.
func (c *Core) leaseDuration(service message.ServiceName) clock.Millis {
	if c.grantsByCall(service) {
		return min(delivery.LeaseDuration, c.leases.LeaseDuration())
	}
	return c.leases.LeaseDuration()
}

// lease gives the sidecar of a target a lease of the target's keys, and completes the moves
// of the keys that the target has released.
func (c *Core) lease(ctx context.Context, r message.LeaseRequest) (message.LeaseReply, error) {
	out, err := c.processLease(ctx, r)
	c.metrics.countResult(c.metrics.leases, err)
	return out, err
}

func (c *Core) processLease(ctx context.Context, r message.LeaseRequest) (message.LeaseReply, error) {
	arrival := c.options.Clock.Now()
	if err := c.requireLeader(); err != nil {
		return message.LeaseReply{}, err
	}
	if _, err := c.quorum.Confirm(ctx); err != nil {
		return message.LeaseReply{}, err
	}
	c.leases.SeedLoads(r.Service, c.machine.Assignments(r.Service).Loads)
	c.mu.Lock()
	defer c.mu.Unlock()
	i, ok := c.machine.Instance(r.Incarnation.ID)
	if !ok || i.Incarnation != r.Incarnation || !c.grantsByCall(i.Service) {
		return message.LeaseReply{Ranges: []message.LeasedRange{}}, nil
	}
	duration := c.leaseDuration(i.Service)
	c.leases.RecordCallLease(r.Incarnation, arrival, duration)
	if err := c.recordReleases(ctx, i, r); err != nil {
		return message.LeaseReply{}, err
	}
	ranges := keyrange.Leased(c.machine.Assignments(i.Service).List, r.Incarnation)
	return message.LeaseReply{Renewed: true, DurationMillis: message.Millis(duration), Ranges: ranges, Digest: digestOf(ranges)}, nil
}

// recordReleases commits what a sidecar reports: keys that its target has released go to
// their next owner, and ranges that it refused get a higher fencing token. The caller must
// hold c.mu.
func (c *Core) recordReleases(ctx context.Context, i message.Instance, r message.LeaseRequest) error {
	if len(r.Released)+len(r.Refused) == 0 {
		return nil
	}
	current := c.machine.Assignments(i.Service)
	list, completed := keyrange.CompleteReleased(current.List, i.Incarnation, r.Released)
	list, raised := keyrange.RaiseTokens(list, i.Incarnation, r.Refused)
	if !completed && !raised {
		return nil
	}
	return c.commitPlan(ctx, i.Service, current, list, map[string]bool{"released": completed, "raised": raised})
}

// commitPlan commits changed assignments and logs what has changed. The caller must hold
// c.mu.
func (c *Core) commitPlan(ctx context.Context, service message.ServiceName, current registry.Assignments, list []message.Assignment, kinds map[string]bool) error {
	changed := registry.ChangedAssignments(current.List, list)
	line := c.log.Info().Str("Event", "keys").Str("Service", string(service)).Str("Rows", describe(changed))
	for kind, happened := range kinds {
		if happened {
			c.metrics.keyDecisions.WithLabelValues(kind).Inc()
			line = line.Bool(kind, true)
		}
	}
	line.Msg("changing key assignments")
	return c.commitAssignments(ctx, service, current, changed)
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
func (c *Core) watchLease(ctx context.Context, w message.LeaseWatch) (message.LeaseReply, error) {
	if err := c.requireLeader(); err != nil {
		return message.LeaseReply{}, err
	}
	digest := ""
	c.waitWhile(ctx, c.options.Clock.Now()+min(clock.Millis(w.WaitMillis), maxWatchWait), func() bool {
		digest = digestOf(keyrange.Leased(c.machine.Assignments(w.Service).List, w.Incarnation))
		return digest == w.Digest && c.isLeader()
	})
	if !c.isLeader() {
		return message.LeaseReply{}, &rpc.Error{Code: rpc.CodeNotLeader, Message: "another replica leads", Leader: c.quorum.Leader()}
	}
	return message.LeaseReply{Ranges: []message.LeasedRange{}, Digest: digest}, nil
}

// planByCall commits the changes of assignments that a service needs whose targets take
// grants by calls. Unlike moves that travel with heartbeats, these need no particular moment.
func (c *Core) planByCall(ctx context.Context, service message.ServiceName) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.machine.Assignments(service)
	list, kinds := c.nextAssignments(service, current)
	for _, happened := range kinds {
		if happened {
			return c.commitPlan(ctx, service, current, list, kinds)
		}
	}
	return nil
}

// nextAssignments returns the assignments that a service whose targets take grants by calls
// should have, and the kinds of changes. The caller must hold c.mu.
func (c *Core) nextAssignments(service message.ServiceName, current registry.Assignments) ([]message.Assignment, map[string]bool) {
	c.leases.SeedLoads(service, current.Loads)
	now, loads, targets := c.options.Clock.Now(), c.leases.Loads(service), c.targets(service)
	list, kinds := current.List, map[string]bool{}
	if c.readyToAssign(service, current) {
		list, kinds["taken"] = keyrange.AssignAll(list, loads, targets)
	}
	for _, t := range targets {
		if c.mustVacate(t, list, now) {
			var vacated bool
			list, vacated = keyrange.Vacate(list, loads, targets, t.Incarnation)
			kinds["vacated"] = kinds["vacated"] || vacated
		}
	}
	if now-c.rebalancedAt[service] >= rebalanceInterval {
		if list, kinds["move"] = keyrange.Rebalance(list, loads, targets); kinds["move"] {
			c.rebalancedAt[service] = now
		}
	}
	list, kinds["joined"] = keyrange.JoinSettled(list, c.settledToken(current.Version, now))
	return list, kinds
}

// settledToken returns the highest fencing token that is older than settleTime. The newest
// token so far is at most the version of the assignments. The caller must hold c.mu.
func (c *Core) settledToken(newest message.Version, now clock.Millis) message.FencingToken {
	if now-c.settlingSince >= settleTime {
		c.settled, c.settling, c.settlingSince = c.settling, message.FencingToken(newest), now
	}
	return c.settled
}
