package control

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

const (
	// rehear is how long a new leader waits for the heartbeats of members that
	// the log knows before it assigns unowned partitions without them: one
	// heartbeat period of 200 ms and time for a lost one's retry.
	rehear clock.Millis = 300
	// gather is how long the first assignment of a service waits after its
	// first member. Targets announce themselves every second; without the wait
	// the first one would own everything and most keys would move right away.
	gather clock.Millis = 1000
	// replanEvery is the pace of planning while nothing changes, for waits that
	// end by time alone.
	replanEvery clock.Millis = 100
	// drainRounds and minDrain bound the moves away from leaving members at a
	// time. A round takes a heartbeat or two, so a member with up to
	// 48 partitions is empty after three rounds, within the bound of 3 s on new
	// work for a leaving target.
	drainRounds = 3
	minDrain    = 16
)

// hold delays the first assignment of a service.
type hold struct {
	createdAt wire.Version
	since     clock.Millis
}

// view is the input of one planning pass.
type view struct {
	now       clock.Millis
	waitedOut bool
	heard     map[wire.Incarnation]bool
	// serving are the heard members that hold a lease. Planned moves start from
	// them alone: any other owner cannot release, and its partitions are
	// assigned when its lease has expired.
	serving    map[wire.Incarnation]bool
	members    map[wire.ServiceName][]wire.Member
	partitions map[wire.ServiceName][]wire.Partition
	owners     map[wire.PartitionID]wire.Partition
	loads      partition.Load
	byLoad     bool
}

// assign gives unowned partitions to members and starts planned moves. Without
// a change of the state it plans at a lower pace.
func (s *Service) assign(ctx context.Context, o *office, byLoad bool) {
	version := s.Machine.LastChange()
	if version == o.planned && !byLoad && s.Clock.Now()-o.assigned < replanEvery {
		return
	}
	v := s.view(o, byLoad)
	assigned, moves := s.plan(o, v)
	o.assigned, o.planned = v.now, version
	s.commitAssignments(ctx, o, assigned)
	s.commitMoves(ctx, o, moves)
}

func (s *Service) view(o *office, byLoad bool) view {
	v := view{
		now: s.Clock.Now(), waitedOut: o.granter.WaitedOut(), heard: o.heardMembers(), loads: o.loads(), byLoad: byLoad,
		members:    make(map[wire.ServiceName][]wire.Member),
		partitions: make(map[wire.ServiceName][]wire.Partition),
		owners:     make(map[wire.PartitionID]wire.Partition),
		serving:    make(map[wire.Incarnation]bool),
	}
	for _, m := range s.Machine.MemberList() {
		v.members[m.Service] = append(v.members[m.Service], m)
		v.serving[m.Incarnation] = v.heard[m.Incarnation] && o.granter.Holds(m.Incarnation)
	}
	for _, p := range s.Machine.PartitionList() {
		v.partitions[p.Service] = append(v.partitions[p.Service], p)
		v.owners[p.Partition] = p
	}
	return v
}

func (s *Service) plan(o *office, v view) (assigned, moves []wire.Move) {
	_, c := s.Machine.Config()
	for _, service := range c.Services {
		if !service.Keyed || len(v.members[service.Name]) == 0 || s.mustWait(o, v, service.Name) {
			continue
		}
		cooling := s.coolingMoves(o, v, service)
		for _, m := range partition.Plan(s.planInput(o, v, service, cooling)) {
			p := v.owners[wire.PartitionID(m.Partition)]
			move := wire.Move{Partition: p.Partition, FencingToken: p.FencingToken, To: wire.Incarnation(m.To)}
			if m.From == "" {
				assigned = append(assigned, move)
				continue
			}
			moves = append(moves, move)
		}
		moves = append(moves, cooling...)
	}
	return assigned, moves
}

// mustWait delays the assignment of a service's unowned partitions.
func (s *Service) mustWait(o *office, v view, name wire.ServiceName) bool {
	created, _ := s.Machine.Service(name)
	h, ok := o.held[name]
	if !ok || h.createdAt != created.CreatedAt {
		h = hold{createdAt: created.CreatedAt, since: v.now}
		if oldest := o.firstHeard(v.members[name]); !created.Recreated && oldest < h.since {
			h.since = oldest
		}
		o.held[name] = h
	}
	switch {
	case created.Recreated && v.now-h.since < lease.DefaultTerms.Longest():
		return true
	case neverOwned(v.partitions[name]):
		return v.now-h.since < gather
	}
	return v.now-o.since < rehear && !allHeard(v, name)
}

func neverOwned(ps []wire.Partition) bool {
	for _, p := range ps {
		if p.FencingToken != 0 {
			return false
		}
	}
	return true
}

func allHeard(v view, name wire.ServiceName) bool {
	for _, m := range v.members[name] {
		if !v.heard[m.Incarnation] {
			return false
		}
	}
	return true
}

// firstHeard returns when the first of the members was heard in this office.
func (o *office) firstHeard(members []wire.Member) clock.Millis {
	o.mu.Lock()
	defer o.mu.Unlock()
	first := clock.Millis(1<<62 - 1)
	for _, m := range members {
		if n, ok := o.nodes[m.Node]; ok {
			first = min(first, n.first)
		}
	}
	return first
}

// planInput prepares a service for partition.Plan. A partition in a planned move
// counts for its new owner and stays as it is.
func (s *Service) planInput(o *office, v view, service wire.ServiceConfig, cooling []wire.Move) (map[partition.ID]string, []partition.Server, partition.Load, partition.Limits) {
	draining := make(map[wire.Incarnation]bool)
	var servers []partition.Server
	for _, m := range v.members[service.Name] {
		accepting := v.heard[m.Incarnation] && !m.Draining
		draining[m.Incarnation] = m.Draining
		servers = append(servers, partition.Server{ID: string(m.Incarnation), Domain: string(m.FailureDomain), Capacity: float64(m.Slots) * o.speedOf(m.Incarnation), Accepting: accepting})
	}
	current := make(map[partition.ID]string)
	pinned := make(map[partition.ID]bool)
	var n moveCounts
	for _, p := range v.partitions[service.Name] {
		id := partition.ID(p.Partition)
		current[id] = string(p.Owner)
		if p.MovingTo != "" {
			current[id] = string(p.MovingTo)
		}
		_, paused := o.paused[p.Partition]
		pinned[id] = p.MovingTo != "" || !v.serving[p.Owner] || (paused && !draining[p.Owner])
		n.count(p, draining[p.Owner])
	}
	for _, m := range cooling {
		pinned[partition.ID(m.Partition)] = true
		n.balancing++
	}
	l := n.limits(v, service, pinned)
	l.IdleShare = o.idleShare(v.partitions[service.Name], len(servers))
	return current, servers, v.loads, l
}

// moveCounts are the planned moves in progress of one service, and the
// partitions of members that leave.
type moveCounts struct{ leaving, draining, balancing int }

func (n *moveCounts) count(p wire.Partition, ownerLeaves bool) {
	switch {
	case ownerLeaves && p.MovingTo != "":
		n.leaving++
		n.draining++
	case ownerLeaves:
		n.leaving++
	case p.MovingTo != "":
		n.balancing++
	}
}

// limits splits the budgets. Moves of load keep to the service's budget; moves
// away from leaving members have their own, because a leaving target must be
// without new work within seconds however small the budget is.
func (n moveCounts) limits(v view, service wire.ServiceConfig, pinned map[partition.ID]bool) partition.Limits {
	l := partition.Limits{Pinned: pinned}
	if !v.waitedOut {
		return l
	}
	l.Drain = max(service.MoveBudget, (n.leaving+drainRounds-1)/drainRounds, minDrain) - n.draining
	if v.byLoad {
		l.Balance = service.MoveBudget - n.balancing
	}
	return l
}

func (s *Service) commitAssignments(ctx context.Context, o *office, moves []wire.Move) {
	if len(moves) == 0 {
		return
	}
	c := wire.Command{Session: o.session, Assign: &wire.Assign{Moves: moves, Reason: "unowned"}}
	if r, err := s.propose(ctx, c); err != nil || r.Err != nil {
		o.planned = 0
		return
	}
	s.metrics.assigned.Add(float64(len(moves)))
	s.Log.Info().Int("Partitions", len(moves)).Msg("unowned partitions assigned")
}

func (s *Service) commitMoves(ctx context.Context, o *office, moves []wire.Move) {
	if len(moves) == 0 {
		return
	}
	c := wire.Command{Session: o.session, MoveStart: &wire.MoveStart{Moves: moves}}
	if r, err := s.propose(ctx, c); err != nil || r.Err != nil {
		o.planned = 0
		return
	}
	s.metrics.moved.Add(float64(len(moves)))
	s.Log.Info().Int("Partitions", len(moves)).Msg("planned moves started")
}

// unowned counts the partitions without an owner.
func unowned(m *state.Machine) int {
	n := 0
	for _, p := range m.PartitionList() {
		if p.Owner == "" {
			n++
		}
	}
	return n
}
