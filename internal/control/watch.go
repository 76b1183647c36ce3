package control

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// maxWatch bounds a long poll, so that a node whose connection is gone does not
// occupy a call for long.
const maxWatch clock.Millis = 30000

// watchSettle bounds the responses to one node to 40 a second while many members
// register or end at once. It adds to the time until a moved key is served, of
// which the budget leaves 300 ms for commit, grant and delivery.
const watchSettle clock.Millis = 25

// answerWatch is serveWatch without the routing table. It waits for watchSettle
// after a change, so that changes that follow each other closely travel together.
// Then it confirms leadership, so that a node never learns a table from a replica
// that has been deposed.
func (s *Service) answerWatch(ctx context.Context, r wire.WatchRequest) error {
	o, err := s.enter(r.Group)
	if err != nil {
		return err
	}
	if err := s.awaitChange(ctx, o, r); err != nil {
		return err
	}
	if err := s.Clock.Sleep(ctx, watchSettle); err != nil {
		return err
	}
	return s.confirm(ctx, o)
}

func (s *Service) awaitChange(ctx context.Context, o *office, r wire.WatchRequest) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := make(chan error, 1)
	go func() { timeout <- s.Clock.Sleep(ctx, min(maxWatch, clock.Millis(r.WaitMillis))) }()
	for {
		// Taken before the comparison, so that no change falls in between.
		changed := s.Machine.Changed()
		if s.Machine.LastChange() > r.KnownVersion {
			return nil
		}
		select {
		case <-changed:
		case err := <-timeout:
			return err
		case <-o.ended:
			return s.notLeader()
		case <-s.stopping:
			return &rpc.Error{Code: rpc.CodeUnavailable, Message: "this replica is stopping"}
		}
	}
}
