package control

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// moveCheckInterval is the interval at which planned moves are checked.
	moveCheckInterval clock.Millis = 100
	// maxMoveWait is how long a planned move may wait for the owner's requests in
	// flight at the target. With 300 ms, moves away from a target that took 480 ms
	// per request were cancelled and planned again, and requests failed. With 1 s,
	// a request that hung on an unresponsive connection kept its key unserved for
	// up to 1.8 s, too close to the bound of 2 s.
	maxMoveWait clock.Millis = 700
	// movePauseAfterCancel is how long a partition is not moved again after a
	// cancelled move. A request that hangs until its deadline would delay the next
	// move too.
	movePauseAfterCancel clock.Millis = 3000
)

// moveInProgress is a planned move in progress, and the time at which this
// leader first saw it.
type moveInProgress struct {
	move   wire.Move
	seenAt clock.Millis
}

// cancelStalledMoves cancels planned moves that have waited for longer than
// maxMoveWait. Moves away from a draining member continue, because it must be
// without work within seconds.
func (s *Service) cancelStalledMoves(ctx context.Context, ls *leaderState) {
	now := s.Clock.Now()
	if now-ls.movesCheckedAt < moveCheckInterval {
		return
	}
	ls.movesCheckedAt = now
	stalled := ls.stalledMoves(s.Machine.PartitionList(), s.drainingMembers(), now)
	if len(stalled) == 0 {
		return
	}
	result, err := s.propose(ctx, wire.Command{Session: ls.session, MoveCancel: &wire.MoveCancel{Moves: stalled}})
	if err != nil || result.Err != nil {
		return
	}
	for _, m := range stalled {
		ls.movePausedUntil[m.Partition] = now + movePauseAfterCancel
	}
	s.metrics.cancelledMoves.Add(float64(len(stalled)))
	s.Log.Info().Int("Partitions", len(stalled)).Msg("planned moves cancelled")
}

// drainingMembers returns the members that must get no new work.
func (s *Service) drainingMembers() map[wire.Incarnation]bool {
	draining := make(map[wire.Incarnation]bool)
	for _, m := range s.Machine.MemberList() {
		if m.Draining {
			draining[m.Incarnation] = true
		}
	}
	return draining
}

// stalledMoves updates the moves in progress and returns those that have waited
// for longer than maxMoveWait. It also removes pauses that have ended.
func (ls *leaderState) stalledMoves(partitions []wire.Partition, draining map[wire.Incarnation]bool, now clock.Millis) []wire.Move {
	current := make(map[wire.PartitionID]moveInProgress)
	var stalled []wire.Move
	for _, p := range partitions {
		if p.MovingTo == "" || draining[p.Owner] {
			continue
		}
		entry := moveInProgress{move: wire.Move{Partition: p.Partition, FencingToken: p.FencingToken, To: p.MovingTo}, seenAt: now}
		if previous, ok := ls.movesInProgress[p.Partition]; ok && previous.move == entry.move {
			entry.seenAt = previous.seenAt
		}
		current[p.Partition] = entry
		if now-entry.seenAt >= maxMoveWait {
			stalled = append(stalled, entry.move)
		}
	}
	ls.movesInProgress = current
	for id, until := range ls.movePausedUntil {
		if now >= until {
			delete(ls.movePausedUntil, id)
		}
	}
	return stalled
}
