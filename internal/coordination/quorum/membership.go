package quorum

import (
	"context"
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// requestAdmission asks the known replicas to admit this one, until the leader does.
func (q *Quorum) requestAdmission(ctx context.Context, s replog.Status) {
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
		_, err := rpc.Call[struct{}](ctx, q.client(string(a)), message.MethodAdmit, message.AdmitRequest{Member: q.self(s)})
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

// leading returns the replica and its status, or an error unless it leads.
func (q *Quorum) leading() (*replog.Replica, replog.Status, error) {
	r := q.replica.Load()
	if r == nil {
		return nil, replog.Status{}, unavailable(ErrNotOpen)
	}
	s := r.Status()
	if s.Role != replog.Leader {
		return nil, replog.Status{}, q.notLeader()
	}
	return r, s, nil
}

// admit makes a replica a voter, beside those that the group needs: a successor has to be
// a voter before the host that it replaces is gone.
func (q *Quorum) admit(ctx context.Context, a message.AdmitRequest) (struct{}, error) {
	r, s, err := q.leading()
	if err != nil {
		return struct{}{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout.Duration())
	defer cancel()
	if err = q.checkRoom(s, a.Member); err == nil {
		err = r.Admit(ctx, member(a.Member))
	}
	if err != nil {
		q.logPostponedAdmission(a.Member.Name, s, err)
		return struct{}{}, unavailable(err)
	}
	q.options.Log.Info().Str("Event", "admitted").Str("Replica", string(a.Member.Name)).Str("Identity", string(a.Member.Identity)).Msg("replica admitted as voter")
	return struct{}{}, nil
}

var errGroupFull = merry.Sentinel("group has as many voters as it may have")

// checkRoom returns an error if another voter would be one too many. There is room for the
// successors of all hosts that may be lost at once. A replica takes the place of a voter
// of its name.
func (q *Quorum) checkRoom(s replog.Status, m message.ReplicaMember) error {
	tolerated := max((q.options.VoterCount-1)/2, 1)
	full := len(s.Voters) >= q.options.VoterCount+tolerated
	if full && !slices.ContainsFunc(s.Voters, func(v replog.MemberStatus) bool { return v.Name == replog.ReplicaID(m.Name) }) {
		return merry.Wrap(errGroupFull)
	}
	return nil
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

// removeAfter is the silence after which a member is removed that the group does not
// need. It is short, because a lost voter beside the needed ones lets the group bear one
// loss less. A voter that returns later asks for admission again.
const removeAfter clock.Millis = 2000

// removeSilentMembers removes silent members while this replica leads.
func (q *Quorum) removeSilentMembers(ctx context.Context, r *replog.Replica) {
	for q.options.Clock.Sleep(ctx, membershipInterval) == nil {
		if s := r.Status(); s.Role == replog.Leader {
			q.removeSilentMember(ctx, r, s)
		}
	}
}

// removeSilentMember removes the member that has been silent for longest, if the group
// has the voters that it needs without it.
func (q *Quorum) removeSilentMember(ctx context.Context, r *replog.Replica, s replog.Status) {
	removable := s.Learners
	if len(s.Voters) > q.options.VoterCount {
		removable = slices.Concat(s.Voters, s.Learners)
	}
	var silent replog.MemberStatus
	for _, m := range removable {
		if m.Silence > max(removeAfter, silent.Silence) {
			silent = m
		}
	}
	if silent.Name == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout.Duration())
	defer cancel()
	err := r.Remove(ctx, silent.Member)
	q.options.Log.Info().Err(err).Str("Event", "member-removed").Str("Replica", string(silent.Name)).Int64("SilentMillis", int64(silent.Silence)).Int("Voters", len(s.Voters)).Msg("removing silent member")
}

// leaveTimeout bounds the attempt of a stopping replica to leave the group.
const leaveTimeout clock.Millis = 1000

// leaveInterval is the time between two attempts to leave the group.
const leaveInterval clock.Millis = 20

// leaveGroup removes this replica from the group before it stops, if the group has the
// voters that it needs without it. Its host may be gone for good afterwards, and two other
// disks may be lost before its silence shows that.
func (q *Quorum) leaveGroup(ctx context.Context, r *replog.Replica) {
	s := r.Status()
	if !isVoter(s) || len(s.Voters) <= q.options.VoterCount {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	var err error
	if s.Role == replog.Leader {
		err = r.TransferLeadership(ctx)
	}
	for left := false; !left && q.options.Clock.Sleep(ctx, leaveInterval) == nil; {
		if leader := q.Leader(); leader != "" && leader != string(q.options.Address) {
			_, err = rpc.Call[struct{}](ctx, q.client(leader), message.MethodResign, message.ResignRequest{Member: q.self(s)})
			left = err == nil
		}
	}
	q.options.Log.Info().Err(err).Str("Event", "group-left").Int("Voters", len(s.Voters)).Msg("leaving the group before the stop")
}

var errVoterNeeded = merry.Sentinel("group needs all of its voters")

// resign removes a voter that is stopping.
func (q *Quorum) resign(ctx context.Context, request message.ResignRequest) (struct{}, error) {
	r, s, err := q.leading()
	if err != nil {
		return struct{}{}, err
	}
	if len(s.Voters) <= q.options.VoterCount {
		return struct{}{}, rejected(errVoterNeeded)
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	if err := r.RemoveLeaving(ctx, member(request.Member)); err != nil {
		return struct{}{}, unavailable(err)
	}
	// A repeated call succeeds once the removal is committed.
	for r.RemoveLeaving(ctx, member(request.Member)) != nil {
		if err := q.options.Clock.Sleep(ctx, leaveInterval); err != nil {
			return struct{}{}, unavailable(err)
		}
	}
	q.options.Log.Info().Str("Event", "member-removed").Str("Replica", string(request.Member.Name)).Int("Voters", len(s.Voters)).Msg("removing member that is stopping")
	return struct{}{}, nil
}

// self returns this replica as a member.
func (q *Quorum) self(s replog.Status) message.ReplicaMember {
	return message.ReplicaMember{Name: message.HostName(s.Self.Name), Identity: message.Identity(s.Self.Identity), Address: q.options.Address}
}
