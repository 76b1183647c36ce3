package control

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// maxWatchWait bounds a long poll, so that the call of a node whose connection
// is lost ends in time.
const maxWatchWait clock.Millis = 30000

// changeBatchDelay is how long a response waits for further changes. It bounds
// the responses to one node to 40 per second while many members register or end
// at once. It adds to the time until a moved key is served; the budget for that
// time leaves 300 ms for commit, grant and delivery.
const changeBatchDelay clock.Millis = 25

// waitForTableChange waits until the routing table is later than the known
// version, or the wait of the request has ended. It then waits for
// changeBatchDelay, so that one response carries changes in quick succession.
// Finally it confirms leadership, so that a node never receives a table from a
// replica that is no longer the leader.
func (s *Service) waitForTableChange(ctx context.Context, r wire.WatchRequest) error {
	ls, err := s.requireLeader(r.Group)
	if err != nil {
		return err
	}
	if err := s.waitForChange(ctx, ls, r); err != nil {
		return err
	}
	if err := s.Clock.Sleep(ctx, changeBatchDelay); err != nil {
		return err
	}
	return s.confirm(ctx, ls)
}

func (s *Service) waitForChange(ctx context.Context, ls *leaderState, r wire.WatchRequest) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := make(chan error, 1)
	go func() { timeout <- s.Clock.Sleep(ctx, min(maxWatchWait, clock.Millis(r.WaitMillis))) }()
	for {
		// The channel is read before the version, so that a change between the two
		// is not missed.
		changed := s.Machine.TableChanged()
		if s.Machine.LastTableChange() > r.KnownVersion {
			return nil
		}
		select {
		case <-changed:
		case err := <-timeout:
			return err
		case <-ls.ended:
			return s.notLeaderError()
		case <-s.stopping:
			return &rpc.Error{Code: rpc.CodeUnavailable, Message: "this replica is stopping"}
		}
	}
}
