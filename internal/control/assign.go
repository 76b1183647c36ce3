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
	// reportWait is how long a new leader waits for heartbeats of the registered
	// members before it assigns unowned partitions without them: one heartbeat
	// interval of 200 ms, plus the retry of a lost heartbeat.
	reportWait clock.Millis = 300
	// firstAssignmentDelay is the time between the first member of a service and
	// the service's first assignment. Targets announce themselves every second.
	// Without the delay the first member would own all partitions, and most keys
	// would move as soon as other members join.
	firstAssignmentDelay clock.Millis = 1000
	// planInterval is the interval of planning while the state does not change. It
	// is needed for delays that end without a change of the state.
	planInterval clock.Millis = 100
	// drainBatches and minDrainMoves bound the concurrent moves away from draining
	// members. A batch takes one or two heartbeats, so a member with up to
	// 48 partitions owns none after three batches. A draining target must stop
	// receiving new requests within 3 s.
	drainBatches  = 3
	minDrainMoves = 16
)

// assignmentDelay is the start of the time for which the first assignment of a
// service is delayed. A service that is created again gets a new delay.
type assignmentDelay struct {
	createdAt wire.Version
	since     clock.Millis
}

// planningView is the input of one planning pass.
type planningView struct {
	now clock.Millis
	// earlierLeasesEnded is set when all leases of earlier leaders have ended.
	earlierLeasesEnded bool
	// reported are the members that sent a heartbeat in this leadership term.
	reported map[wire.Incarnation]bool
	// leased are the reported members that hold a lease. Only their partitions are
	// moved: other owners cannot release partitions, so theirs are assigned after
	// the lease has expired.
	leased     map[wire.Incarnation]bool
	members    map[wire.ServiceName][]wire.Member
	partitions map[wire.ServiceName][]wire.Partition
	owners     map[wire.PartitionID]wire.Partition
	loads      partition.Load
	// balanceLoad allows moves that balance load.
	balanceLoad bool
}

// assignPartitions assigns unowned partitions to members and starts planned
// moves. While the state does not change, it plans only once in planInterval.
func (s *Service) assignPartitions(ctx context.Context, ls *leaderState, balanceLoad bool) {
	version := s.Machine.LastTableChange()
	if version == ls.plannedVersion && !balanceLoad && s.Clock.Now()-ls.plannedAt < planInterval {
		return
	}
	view := s.planningView(ls, balanceLoad)
	assignments, moves := s.plan(ls, view)
	ls.plannedAt, ls.plannedVersion = view.now, version
	s.commitAssignments(ctx, ls, assignments)
	s.commitMoves(ctx, ls, moves)
}

func (s *Service) planningView(ls *leaderState, balanceLoad bool) planningView {
	view := planningView{
		now: s.Clock.Now(), earlierLeasesEnded: ls.granter.EarlierLeasesEnded(), reported: ls.reportedMembers(), loads: ls.loads(), balanceLoad: balanceLoad,
		members:    make(map[wire.ServiceName][]wire.Member),
		partitions: make(map[wire.ServiceName][]wire.Partition),
		owners:     make(map[wire.PartitionID]wire.Partition),
		leased:     make(map[wire.Incarnation]bool),
	}
	for _, m := range s.Machine.MemberList() {
		view.members[m.Service] = append(view.members[m.Service], m)
		view.leased[m.Incarnation] = view.reported[m.Incarnation] && ls.granter.HasLease(m.Incarnation)
	}
	for _, p := range s.Machine.PartitionList() {
		view.partitions[p.Service] = append(view.partitions[p.Service], p)
		view.owners[p.Partition] = p
	}
	return view
}

func (s *Service) plan(ls *leaderState, view planningView) (assignments, moves []wire.Move) {
	_, config := s.Machine.Config()
	for _, service := range config.Services {
		if !service.Keyed || len(view.members[service.Name]) == 0 || s.delaysAssignment(ls, view, service.Name) {
			continue
		}
		returnMoves := s.overrideReturnMoves(ls, view, service)
		for _, m := range partition.Plan(s.planInput(ls, view, service, returnMoves)) {
			p := view.owners[wire.PartitionID(m.Partition)]
			move := wire.Move{Partition: p.Partition, FencingToken: p.FencingToken, To: wire.Incarnation(m.To)}
			if m.From == "" {
				assignments = append(assignments, move)
				continue
			}
			moves = append(moves, move)
		}
		moves = append(moves, returnMoves...)
	}
	return assignments, moves
}

// delaysAssignment reports whether the unowned partitions of a service must not
// be assigned yet.
func (s *Service) delaysAssignment(ls *leaderState, view planningView, name wire.ServiceName) bool {
	serviceState, _ := s.Machine.Service(name)
	delay, ok := ls.assignmentDelays[name]
	if !ok || delay.createdAt != serviceState.CreatedAt {
		delay = assignmentDelay{createdAt: serviceState.CreatedAt, since: view.now}
		if first := ls.firstHeartbeat(view.members[name]); !serviceState.Recreated && first < delay.since {
			delay.since = first
		}
		ls.assignmentDelays[name] = delay
	}
	switch {
	case serviceState.Recreated && view.now-delay.since < lease.DefaultTerms.MaxDuration():
		return true
	case neverOwned(view.partitions[name]):
		return view.now-delay.since < firstAssignmentDelay
	}
	return view.now-ls.startedAt < reportWait && !allReported(view, name)
}

func neverOwned(partitions []wire.Partition) bool {
	for _, p := range partitions {
		if p.FencingToken != 0 {
			return false
		}
	}
	return true
}

func allReported(view planningView, name wire.ServiceName) bool {
	for _, m := range view.members[name] {
		if !view.reported[m.Incarnation] {
			return false
		}
	}
	return true
}

// firstHeartbeat returns the time of the first heartbeat in this leadership
// term from a node of the given members.
func (ls *leaderState) firstHeartbeat(members []wire.Member) clock.Millis {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	first := clock.Millis(1<<62 - 1)
	for _, m := range members {
		if record, ok := ls.nodes[m.Node]; ok {
			first = min(first, record.firstHeartbeat)
		}
	}
	return first
}

// planInput returns the arguments of partition.Plan for a service. A partition
// in a planned move counts as the new owner's and is pinned.
func (s *Service) planInput(ls *leaderState, view planningView, service wire.ServiceConfig, returnMoves []wire.Move) (map[partition.ID]string, []partition.Target, partition.Load, partition.Limits) {
	draining := make(map[wire.Incarnation]bool)
	var targets []partition.Target
	for _, m := range view.members[service.Name] {
		accepting := view.reported[m.Incarnation] && !m.Draining
		draining[m.Incarnation] = m.Draining
		targets = append(targets, partition.Target{ID: string(m.Incarnation), Domain: string(m.FailureDomain), Capacity: float64(m.Slots) * ls.speedOf(m.Incarnation), Accepting: accepting})
	}
	current := make(map[partition.ID]string)
	pinned := make(map[partition.ID]bool)
	var counts moveCounts
	for _, p := range view.partitions[service.Name] {
		id := partition.ID(p.Partition)
		current[id] = string(p.Owner)
		if p.MovingTo != "" {
			current[id] = string(p.MovingTo)
		}
		_, paused := ls.movePausedUntil[p.Partition]
		pinned[id] = p.MovingTo != "" || !view.leased[p.Owner] || (paused && !draining[p.Owner])
		counts.count(p, draining[p.Owner])
	}
	for _, m := range returnMoves {
		pinned[partition.ID(m.Partition)] = true
		counts.balanceMoves++
	}
	limits := counts.limits(view, service, pinned)
	limits.IdleShare = ls.idleShare(view.partitions[service.Name], len(targets))
	return current, targets, view.loads, limits
}

// moveCounts counts, for one service, the partitions of draining members and
// the planned moves in progress.
type moveCounts struct{ ownedByDraining, drainMoves, balanceMoves int }

func (n *moveCounts) count(p wire.Partition, ownerDraining bool) {
	switch {
	case ownerDraining && p.MovingTo != "":
		n.ownedByDraining++
		n.drainMoves++
	case ownerDraining:
		n.ownedByDraining++
	case p.MovingTo != "":
		n.balanceMoves++
	}
}

// limits returns how many more moves may start. Moves that balance load keep to
// the service's budget. Moves away from draining members have their own budget,
// because a draining target must stop receiving new requests within seconds,
// however small the service's budget is.
func (n moveCounts) limits(view planningView, service wire.ServiceConfig, pinned map[partition.ID]bool) partition.Limits {
	limits := partition.Limits{Pinned: pinned}
	if !view.earlierLeasesEnded {
		return limits
	}
	limits.MaxDrainMoves = max(service.MoveBudget, (n.ownedByDraining+drainBatches-1)/drainBatches, minDrainMoves) - n.drainMoves
	if view.balanceLoad {
		limits.MaxBalanceMoves = service.MoveBudget - n.balanceMoves
	}
	return limits
}

func (s *Service) commitAssignments(ctx context.Context, ls *leaderState, moves []wire.Move) {
	if len(moves) == 0 {
		return
	}
	command := wire.Command{Session: ls.session, Assign: &wire.Assign{Moves: moves, Reason: "unowned"}}
	if r, err := s.propose(ctx, command); err != nil || r.Err != nil {
		ls.plannedVersion = 0
		return
	}
	s.metrics.assignedPartitions.Add(float64(len(moves)))
	s.Log.Info().Int("Partitions", len(moves)).Msg("unowned partitions assigned")
}

func (s *Service) commitMoves(ctx context.Context, ls *leaderState, moves []wire.Move) {
	if len(moves) == 0 {
		return
	}
	command := wire.Command{Session: ls.session, MoveStart: &wire.MoveStart{Moves: moves}}
	if r, err := s.propose(ctx, command); err != nil || r.Err != nil {
		ls.plannedVersion = 0
		return
	}
	s.metrics.plannedMoves.Add(float64(len(moves)))
	s.Log.Info().Int("Partitions", len(moves)).Msg("planned moves started")
}

// countUnowned returns the number of partitions without an owner.
func countUnowned(m *state.Machine) int {
	count := 0
	for _, p := range m.PartitionList() {
		if p.Owner == "" {
			count++
		}
	}
	return count
}
