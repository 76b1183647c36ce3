package control

import (
	"context"
	"sync"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// expireLeases ends the members whose lease has expired. The granter rejects
// their renewals before the commands are proposed, and the next tick proposes
// lost commands again.
func (s *Service) expireLeases(ctx context.Context, ls *leaderState) {
	if !ls.granter.EarlierLeasesEnded() {
		return
	}
	expired := ls.granter.Expire(s.Machine.Incarnations())
	// The loss of a rack ends many members. Their commands are proposed
	// concurrently, because one after the other they would wait for many commits.
	var wg sync.WaitGroup
	for _, i := range expired {
		wg.Go(func() { s.expireMember(ctx, ls, i) })
	}
	wg.Wait()
}

func (s *Service) expireMember(ctx context.Context, ls *leaderState, i wire.Incarnation) {
	down := &wire.MemberDown{Incarnation: i, Reason: "lease expired", InFlight: []wire.InFlight{}}
	r, err := s.propose(ctx, wire.Command{Session: ls.session, MemberDown: down})
	if err != nil || r.Err != nil {
		return
	}
	s.metrics.expiredLeases.Inc()
	s.Log.Warn().Str("Incarnation", string(i)).Msg("lease expired")
}
