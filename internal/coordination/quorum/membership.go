package quorum

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// requestAdmission asks the known replicas to admit this one, until the leader does.
func (q *Quorum) requestAdmission(ctx context.Context, s replog.Status) {
	self := message.ReplicaMember{Name: message.HostName(s.Self.Name), Identity: message.Identity(s.Self.Identity), Address: q.options.Address}
	asked := map[message.Address]bool{q.options.Address: true}
	addresses := append([]message.Address{message.Address(s.Leader.Address)}, q.options.Seeds...)
	for _, m := range s.Voters {
		addresses = append(addresses, message.Address(m.Address))
	}
	for len(addresses) > 0 {
		a := addresses[0]
		addresses = addresses[1:]
		if a == "" || asked[a] {
			continue
		}
		asked[a] = true
		ctx, cancel := context.WithTimeout(ctx, joinTimeout.Duration())
		_, err := rpc.Call[struct{}](ctx, q.client(string(a)), message.MethodAdmit, message.AdmitRequest{Member: self})
		cancel()
		if err == nil {
			return
		}
		// The leader may not be a seed, and a replica outside the group knows seeds only.
		var e *rpc.Error
		if errors.As(err, &e) && e.Leader != "" {
			addresses = append([]message.Address{message.Address(e.Leader)}, addresses...)
		}
		q.options.Log.Debug().Err(err).Str("Event", "admission-waits").Str("Asked", string(a)).Msg("not admitted yet")
	}
}

// admit makes a replica a voter. If the group has all voters that it needs, an
// unresponsive voter is removed first, so that a permanently lost host can be replaced.
func (q *Quorum) admit(ctx context.Context, a message.AdmitRequest) (struct{}, error) {
	r := q.replica.Load()
	if r == nil {
		return struct{}{}, unavailable(ErrNotOpen)
	}
	s := r.Status()
	if s.Role != replog.Leader {
		return struct{}{}, q.notLeader()
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout.Duration())
	defer cancel()
	err := q.removeUnresponsiveVoter(ctx, r, s, replog.ReplicaID(a.Member.Name))
	if err == nil {
		err = r.Admit(ctx, member(a.Member))
	}
	if err != nil {
		q.logPostponedAdmission(a.Member.Name, s, err)
		return struct{}{}, unavailable(err)
	}
	q.options.Log.Info().Str("Event", "admitted").Str("Replica", string(a.Member.Name)).Str("Identity", string(a.Member.Identity)).Msg("replica admitted as voter")
	return struct{}{}, nil
}

// admissionLogInterval limits how often the postponed admission of a replica is logged.
const admissionLogInterval clock.Millis = 2000

// logPostponedAdmission logs why a replica was not admitted, with the silence of each
// voter.
func (q *Quorum) logPostponedAdmission(name message.HostName, s replog.Status, cause error) {
	now := q.options.Clock.Now()
	q.mu.Lock()
	last, logged := q.postponedLoggedAt[name]
	due := !logged || now-last >= admissionLogInterval
	if due {
		q.postponedLoggedAt[name] = now
	}
	q.mu.Unlock()
	if !due {
		return
	}
	silence := zerolog.Dict()
	for _, m := range s.Voters {
		silence.Int64(string(m.Name), int64(m.Silence))
	}
	q.options.Log.Warn().Err(cause).Str("Event", "admission-postponed").Str("Replica", string(name)).Uint64("Term", uint64(s.Term)).Dict("VoterSilentMillis", silence).Msg("replica is not admitted yet")
}

// replaceVoterAfter is the silence after which a voter can be
// replaced by a replica of another name. A voter that returns in less time must not find
// itself outside the group.
const replaceVoterAfter clock.Millis = 6000

var errGroupFull = merry.Sentinel("group already has all voters it needs")

// removeUnresponsiveVoter removes the voter that has been unresponsive for longest, if the
// group has all voters that it needs. A replica with the name of a voter replaces that
// voter on admission, so then none is removed.
func (q *Quorum) removeUnresponsiveVoter(ctx context.Context, r *replog.Replica, s replog.Status, name replog.ReplicaID) error {
	if len(s.Voters) < q.options.VoterCount {
		return nil
	}
	var unresponsive *replog.MemberStatus
	for i, m := range s.Voters {
		if m.Name == name {
			return nil
		}
		if m.Silence > replaceVoterAfter && (unresponsive == nil || m.Silence > unresponsive.Silence) {
			unresponsive = &s.Voters[i]
		}
	}
	if unresponsive == nil {
		return merry.Wrap(errGroupFull)
	}
	q.options.Log.Info().Str("Event", "voter-removed").Str("Replica", string(unresponsive.Name)).Int64("SilentMillis", int64(unresponsive.Silence)).Msg("removing unresponsive voter")
	return r.Remove(ctx, unresponsive.Member)
}

