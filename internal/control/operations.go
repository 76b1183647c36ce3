package control

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// begin returns the state machine's decision on whether an execution may run.
// It needs no confirmation round, because the commit confirms leadership.
func (s *Service) begin(ctx context.Context, r wire.BeginRequest) (wire.BeginResponse, error) {
	if _, err := s.requireLeader(r.Group); err != nil {
		return wire.BeginResponse{}, err
	}
	res, err := s.commit(ctx, wire.Command{Begin: &r})
	if err != nil {
		return wire.BeginResponse{}, err
	}
	s.metrics.operations.WithLabelValues(string(res.Begin.Decision)).Inc()
	return *res.Begin, nil
}

func (s *Service) finish(ctx context.Context, r wire.FinishRequest) (wire.Ack, error) {
	return s.acknowledge(ctx, r.Group, wire.Command{Finish: &r})
}

func (s *Service) clearSuspect(ctx context.Context, r wire.ClearSuspectRequest) (wire.Ack, error) {
	return s.acknowledge(ctx, r.Group, wire.Command{ClearSuspect: &r})
}

// acknowledge commits a command and returns the version of its commit.
func (s *Service) acknowledge(ctx context.Context, g wire.GroupID, c wire.Command) (wire.Ack, error) {
	if _, err := s.requireLeader(g); err != nil {
		return wire.Ack{}, err
	}
	r, err := s.commit(ctx, c)
	if err != nil {
		return wire.Ack{}, err
	}
	return wire.Ack{Version: r.Version}, nil
}
