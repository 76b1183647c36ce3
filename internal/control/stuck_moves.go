package control

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// movesEvery is the pace at which planned moves are looked at.
	movesEvery clock.Millis = 100
	// maxMove is how long a planned move may wait for the owner's requests in
	// flight at the target. With 300 ms, moves away from a target that took 480 ms
	// for a request were cancelled and planned again, which cost requests; with 1 s,
	// a request that hung on a silent connection kept its key unserved for up to
	// 1.8 s, too near to the bound of 2 s.
	maxMove clock.Millis = 700
	// movePause is how long a partition is left alone after a cancelled move. A
	// request that hangs until its deadline would hold up the next one too.
	movePause clock.Millis = 3000
)

// moving is a planned move that this leader has seen in progress.
type moving struct {
	move  wire.Move
	since clock.Millis
}

// cancelStuckMoves ends planned moves that wait for too long. Moves away from a
// leaving member go on, because it must be without work within seconds.
func (s *Service) cancelStuckMoves(ctx context.Context, o *office) {
	now := s.Clock.Now()
	if now-o.movesSeen < movesEvery {
		return
	}
	o.movesSeen = now
	stuck := o.stuckMoves(s.Machine.PartitionList(), s.leaving(), now)
	if len(stuck) == 0 {
		return
	}
	r, err := s.propose(ctx, wire.Command{Session: o.session, MoveCancel: &wire.MoveCancel{Moves: stuck}})
	if err != nil || r.Err != nil {
		return
	}
	for _, m := range stuck {
		o.paused[m.Partition] = now + movePause
	}
	s.metrics.cancelled.Add(float64(len(stuck)))
	s.Log.Info().Int("Partitions", len(stuck)).Msg("planned moves cancelled")
}

// leaving returns the members that take no new work.
func (s *Service) leaving() map[wire.Incarnation]bool {
	out := make(map[wire.Incarnation]bool)
	for _, m := range s.Machine.MemberList() {
		if m.Draining {
			out[m.Incarnation] = true
		}
	}
	return out
}

// stuckMoves updates what is known of planned moves and returns those that have
// waited for too long.
func (o *office) stuckMoves(partitions []wire.Partition, leaving map[wire.Incarnation]bool, now clock.Millis) []wire.Move {
	seen := make(map[wire.PartitionID]moving)
	var stuck []wire.Move
	for _, p := range partitions {
		if p.MovingTo == "" || leaving[p.Owner] {
			continue
		}
		v := moving{move: wire.Move{Partition: p.Partition, FencingToken: p.FencingToken, To: p.MovingTo}, since: now}
		if known, ok := o.moving[p.Partition]; ok && known.move == v.move {
			v.since = known.since
		}
		seen[p.Partition] = v
		if now-v.since >= maxMove {
			stuck = append(stuck, v.move)
		}
	}
	o.moving = seen
	for id, until := range o.paused {
		if now >= until {
			delete(o.paused, id)
		}
	}
	return stuck
}
