package core

import (
	"context"
	"fmt"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// planEvery is how often the leader looks for what has expired.
	planEvery clock.Millis = 100
	// settleMargin beyond one interval of check-ins is how long the leader waits for
	// more targets of a service whose keys nobody holds, so that the first does not
	// get them all.
	settleMargin clock.Millis = 150
	// defaultHeartbeat is that interval where the settings state none.
	defaultHeartbeat clock.Millis = 1000
	// parkTime is how long the answer to a check-in may wait for keys that are about
	// to be released to its target. Targets wait 1 s for an answer.
	parkTime clock.Millis = 800
	// handOverWindow is within which time the holder must check in for a move to
	// begin, so that the next holder's check-in is still waiting when it releases.
	handOverWindow clock.Millis = 750
	// moveUnaligned is after which time a wanted move begins in any case.
	moveUnaligned clock.Millis = 1500
	// vacateUnaligned is the same for a target that leaves, which takes no new work
	// soon after its acknowledgement.
	vacateUnaligned clock.Millis = 700
	// keepLoadsEvery is how often the loads of a service are committed with its rows, for
	// a later leader.
	keepLoadsEvery clock.Millis = 2000
	// forgetAfter is the silence after which a target without keys is forgotten.
	forgetAfter clock.Millis = 20_000
)

// checkIn answers what a target said of itself.
func (c *Core) checkIn(ctx context.Context, in message.Heartbeat) (message.HeartbeatReply, error) {
	out, err := c.answerCheckIn(ctx, in)
	c.metrics.outcome(c.metrics.checkIns, err)
	return out, err
}

func (c *Core) answerCheckIn(ctx context.Context, in message.Heartbeat) (message.HeartbeatReply, error) {
	at := c.o.Clock.Now()
	if err := c.requireLeader(); err != nil {
		return message.HeartbeatReply{}, err
	}
	if err := c.register(ctx, in.Instance); err != nil {
		return message.HeartbeatReply{}, err
	}
	_, keyed := c.machine.Keyed(in.Instance.Service)
	if !keyed {
		c.book.RecordHeartbeat(in, at)
		return message.HeartbeatReply{Grants: []message.RangeGrant{}}, nil
	}
	if err := c.quorum.Confirm(ctx); err != nil {
		return message.HeartbeatReply{}, err
	}
	c.book.SeedLoads(in.Instance.Service, c.machine.Assignments(in.Instance.Service).Loads)
	if !c.book.RecordHeartbeat(in, at) {
		return message.HeartbeatReply{Keyed: true, Grants: []message.RangeGrant{}}, nil
	}
	if err := c.decide(ctx, in); err != nil {
		return message.HeartbeatReply{}, err
	}
	c.parkHolder(ctx, in.Instance, at+parkTime)
	c.park(ctx, in.Instance, at+parkTime)
	return c.reply(in, at), nil
}

// register commits what is new of a target.
func (c *Core) register(ctx context.Context, n message.Instance) error {
	old, ok := c.machine.Instance(n.Incarnation.ID)
	n.Draining = n.Draining || ok && old.Incarnation == n.Incarnation && old.Draining
	if ok && old == n {
		return nil
	}
	out, err := c.propose(ctx, message.Command{Register: &n})
	if err == nil && out.Status != registry.Done {
		err = &rpc.Error{Code: rpc.CodeRefused, Message: out.Reason}
	}
	c.log.Info().Err(err).Str("Event", "target").Str("Service", string(n.Service)).Str("Target", string(n.Incarnation.ID)).Int("Born", int(n.Incarnation.StartTime)).
		Str("Peer", string(n.Peer)).Int("Slots", n.Slots).Bool("Draining", n.Draining).Bool("Stopping", n.Stopping).Msg("target registered")
	return err
}

// decide commits what a check-in allows: keys that it released go to their next
// holder, and free keys or a planned move may go to its target.
func (c *Core) decide(ctx context.Context, in message.Heartbeat) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, name := in.Instance.Incarnation, in.Instance.Service
	rows := c.machine.Assignments(name)
	list, released := keyrange.CompleteMoves(rows.List, l, in.Grants, in.Released)
	loads, servers := c.book.Loads(name), c.servers(name)
	taken, began := false, false
	if eligible(servers, l) && c.settled(name, rows) {
		list, taken = keyrange.AssignUnassigned(list, loads, servers, l)
		list, began = c.begin(name, list, loads, servers, l)
	}
	if !released && !taken && !began {
		return nil
	}
	changed := registry.ChangedAssignments(rows.List, list)
	for kind, happened := range map[string]bool{"released": released, "taken": taken, "move": began} {
		if happened {
			c.metrics.keys.WithLabelValues(kind).Inc()
		}
	}
	c.log.Info().Str("Event", "keys").Str("Service", string(name)).Str("Target", string(l.ID)).Bool("Released", released).Bool("Taken", taken).Bool("MoveBegan", began).
		Str("Rows", describe(changed)).Msg("keys change hands")
	return c.setRows(ctx, name, rows, changed)
}

// setRows commits rows that differ from those of before.
func (c *Core) setRows(ctx context.Context, name message.ServiceName, old registry.Assignments, changed []message.Assignment) error {
	change := message.AssignmentsChange{Service: name, ExpectedVersion: old.Version, Assignments: changed, Loads: []message.Load{}}
	if now := c.o.Clock.Now(); now-c.loadsKept[name] >= keepLoadsEvery {
		change.Loads, c.loadsKept[name] = c.book.BusiestBuckets(name), now
	}
	out, err := c.propose(ctx, message.Command{Assignments: &change})
	if err == nil && out.Status != registry.Done {
		err = &rpc.Error{Code: rpc.CodeUnavailable, Message: out.Reason}
	}
	return err
}

// describe prints rows for the log, the first few only.
func describe(list []message.Assignment) string {
	s := ""
	for i, r := range list {
		if i == 12 {
			return s + fmt.Sprintf(" and %d more", len(list)-i)
		}
		s += fmt.Sprintf(" %d-%d:%s/%d", r.From, r.To, r.Owner.ID, r.FencingToken)
		if r.NextOwner.ID != "" {
			s += ">" + string(r.NextOwner.ID)
		}
	}
	return s
}

// servers returns the targets of a keyed service with their capacity.
func (c *Core) servers(name message.ServiceName) []keyrange.Target {
	var all []message.Instance
	for _, i := range c.machine.Instances() {
		if i.Service == name {
			all = append(all, i)
		}
	}
	now, mean := c.o.Clock.Now(), c.book.MeanServiceMillis(all)
	var out []keyrange.Target
	for _, i := range all {
		silent := c.book.SinceLastHeartbeat(i.Incarnation, now) > c.book.LeaseDuration()
		out = append(out, keyrange.Target{
			Incarnation: i.Incarnation, Capacity: c.book.Capacity(i, mean), Eligible: !i.Draining && !i.Stopping && !silent,
		})
	}
	return out
}

func eligible(servers []keyrange.Target, l message.Incarnation) bool {
	for _, s := range servers {
		if s.Incarnation == l {
			return s.Eligible
		}
	}
	return false
}

// settled reports whether keys may be given out: at once if anybody holds some,
// else after all targets have had time to check in.
func (c *Core) settled(name message.ServiceName, rows registry.Assignments) bool {
	for _, r := range rows.List {
		if r.Owner.ID != "" {
			return true
		}
	}
	now := c.o.Clock.Now()
	first, seen := c.firstSeen[name]
	if !seen {
		c.firstSeen[name] = now
		return false
	}
	return now-first >= c.heartbeat()+settleMargin
}

func (c *Core) heartbeat() clock.Millis {
	if h := c.o.Settings.HeartbeatMillis; h > 0 {
		return h
	}
	return defaultHeartbeat
}

// begin starts a planned move to a target, if the holder is about to check in.
func (c *Core) begin(name message.ServiceName, list []message.Assignment, loads *keyrange.Loads, servers []keyrange.Target, to message.Incarnation) ([]message.Assignment, bool) {
	now := c.o.Clock.Now()
	began := false
	for _, s := range servers {
		if c.leavingSince(s, list, now) && c.soon(s.Incarnation, now) {
			only := []keyrange.Target{}
			for _, x := range servers {
				x.Eligible = x.Eligible && x.Incarnation != s.Incarnation
				only = append(only, x)
			}
			var marked bool
			list, marked = keyrange.VacateTo(list, loads, only, s.Incarnation, to)
			began = began || marked
		}
	}
	from, ok := keyrange.MostOverloaded(list, loads, servers)
	if !ok {
		delete(c.wanted, name)
		return list, began
	}
	if _, waits := c.wanted[name]; !waits {
		c.wanted[name] = now
	}
	if late := now-c.wanted[name] > moveUnaligned; !late && !c.parked[from] && !c.soon(from, now) {
		return list, began
	}
	next, marked := keyrange.RebalanceTo(list, loads, servers, from, to)
	if marked {
		delete(c.wanted, name)
	}
	return next, began || marked
}

// leavingSince notes since when a server that is not eligible holds keys, and
// reports whether it does.
func (c *Core) leavingSince(s keyrange.Target, list []message.Assignment, now clock.Millis) bool {
	i, ok := c.machine.Instance(s.Incarnation.ID)
	if !ok || !i.Draining && !i.Stopping {
		delete(c.leaving, s.Incarnation)
		return false
	}
	for _, r := range list {
		if r.Owner == s.Incarnation && r.NextOwner.ID == "" {
			if _, noted := c.leaving[s.Incarnation]; !noted {
				c.leaving[s.Incarnation] = now
			}
			return true
		}
	}
	return false
}

// reply grants what the target is to hold, and notes the lease first.
func (c *Core) reply(in message.Heartbeat, at clock.Millis) message.HeartbeatReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := in.Instance.Incarnation
	c.book.RecordLease(l, at)
	return message.HeartbeatReply{
		Keyed: true, Renewed: true, LeaseDurationMillis: message.Millis(c.book.LeaseDuration()),
		Grants: keyrange.Grants(c.machine.Assignments(in.Instance.Service).List, l, in.Grants),
	}
}
