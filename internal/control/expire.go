package control

import (
	"context"
	"sync"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// expire ends the members whose lease has run out. The granter refuses their
// renewals from before the command is proposed, and a command that is lost is
// proposed again at the next tick.
func (s *Service) expire(ctx context.Context, o *office) {
	if !o.granter.WaitedOut() {
		return
	}
	gone := o.granter.Expire(s.Machine.Incarnations())
	// A lost rack ends many members; one after the other they would wait for
	// many commits.
	var wg sync.WaitGroup
	for _, i := range gone {
		wg.Go(func() { s.expireMember(ctx, o, i) })
	}
	wg.Wait()
}

func (s *Service) expireMember(ctx context.Context, o *office, i wire.Incarnation) {
	down := &wire.MemberDown{Incarnation: i, Reason: "lease expired", InFlight: []wire.InFlight{}}
	r, err := s.propose(ctx, wire.Command{Session: o.session, MemberDown: down})
	if err != nil || r.Err != nil {
		return
	}
	s.metrics.expired.Inc()
	s.Log.Warn().Str("Incarnation", string(i)).Msg("lease expired")
}
