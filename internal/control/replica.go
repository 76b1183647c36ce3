package control

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

const (
	// admitEvery is how often a replica that is not a member asks again.
	admitEvery clock.Millis = 1000
	// admitTimeout bounds one request for admission. A step that is not finished
	// by then goes on with the next request.
	admitTimeout clock.Millis = 5000
)

// replicaCalls answers the calls of other replicas and of the operator who
// founds a group, and asks for admission.
type replicaCalls struct {
	group wire.GroupID
	// settings are the replicas that the settings name, this one included.
	settings map[wire.ReplicaID]wire.Address
	replica  *replog.Replica
	peers    *peers
	clock    clock.Clock
	log      zerolog.Logger
}

func (c *replicaCalls) register(server *rpc.Server) {
	rpc.Handle(server, wire.MethodReplicaMessage, c.message)
	rpc.Handle(server, wire.MethodReplicaIdentity, c.identity)
	rpc.Handle(server, wire.MethodReplicaBootstrap, c.bootstrap)
	rpc.Handle(server, wire.MethodReplicaAdmit, c.admit)
}

func (c *replicaCalls) checkGroup(g wire.GroupID) error {
	if g == c.group {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeRefused, Message: "this replica belongs to group " + string(c.group)}
}

func (c *replicaCalls) message(_ context.Context, r wire.ReplicaMessage) (struct{}, error) {
	if err := c.checkGroup(r.Group); err != nil {
		return struct{}{}, err
	}
	data, err := base64.StdEncoding.DecodeString(r.Data)
	if err != nil {
		return struct{}{}, &rpc.Error{Code: rpc.CodeRefused, Message: err.Error()}
	}
	m, err := replog.DecodeMessage(data)
	if err != nil {
		return struct{}{}, &rpc.Error{Code: rpc.CodeRefused, Message: err.Error()}
	}
	c.replica.Deliver(m)
	return struct{}{}, nil
}

func (c *replicaCalls) identity(_ context.Context, r wire.IdentityRequest) (wire.IdentityResponse, error) {
	if err := c.checkGroup(r.Group); err != nil {
		return wire.IdentityResponse{}, err
	}
	status := c.replica.Status()
	return wire.IdentityResponse{
		Name:     wire.ReplicaID(status.Self.Name),
		Identity: wire.Identity(status.Self.Identity),
		Empty:    len(status.Voters) == 0,
	}, nil
}

func (c *replicaCalls) bootstrap(_ context.Context, r wire.BootstrapRequest) (wire.Ack, error) {
	if err := c.checkGroup(r.Group); err != nil {
		return wire.Ack{}, err
	}
	if err := c.checkMembers(r.Members); err != nil {
		return wire.Ack{}, err
	}
	var members []replog.Member
	for _, m := range r.Members {
		members = append(members, toMember(m))
	}
	if err := c.replica.Bootstrap(members); err != nil {
		return wire.Ack{}, &rpc.Error{Code: rpc.CodeRefused, Message: err.Error()}
	}
	c.log.Info().Int("Members", len(members)).Msg("group founded")
	return wire.Ack{}, nil
}

// checkMembers requires exactly the replicas of the settings: a group founded
// with only some of them would have no majority over the rest, which could found
// a second group. Addresses may differ, because messages go by name.
func (c *replicaCalls) checkMembers(members []wire.ReplicaMember) error {
	given := []wire.ReplicaID{}
	for _, m := range members {
		given = append(given, m.Name)
	}
	slices.Sort(given)
	want := slices.Sorted(maps.Keys(c.settings))
	if slices.Equal(given, want) {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeRefused, Message: fmt.Sprintf("the settings name the replicas %v, the request %v", want, given)}
}

func toMember(m wire.ReplicaMember) replog.Member {
	return replog.Member{Name: replog.ReplicaID(m.Name), Identity: replog.Identity(m.Identity), Address: string(m.Address)}
}

// admit lets the leader make a replica with a new identity a voter. Only names
// of the settings are admitted, at the address that the settings give.
func (c *replicaCalls) admit(ctx context.Context, r wire.AdmitRequest) (wire.Ack, error) {
	if err := c.checkGroup(r.Group); err != nil {
		return wire.Ack{}, err
	}
	p, ok := c.peers.byID[r.Member.Name]
	if !ok || wire.Address(p.client.Address()) != r.Member.Address {
		return wire.Ack{}, &rpc.Error{Code: rpc.CodeRefused, Message: "no replica " + string(r.Member.Name) + " with this address in the settings"}
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout.Duration())
	defer cancel()
	if err := c.replica.Admit(ctx, toMember(r.Member)); err != nil {
		return wire.Ack{}, c.translate(err)
	}
	c.log.Info().Str("Replica", string(r.Member.Name)).Str("Identity", string(r.Member.Identity)).Msg("replica admitted as a voter")
	return wire.Ack{}, nil
}

func (c *replicaCalls) translate(err error) error {
	switch {
	case errors.Is(err, replog.ErrNotLeader):
		return &rpc.Error{Code: rpc.CodeNotLeader, Message: err.Error(), Leader: c.replica.Status().Leader.Address}
	case errors.Is(err, replog.ErrInvalidMember):
		return &rpc.Error{Code: rpc.CodeRefused, Message: err.Error()}
	}
	return &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
}

// seekAdmission asks the other replicas for admission until this identity is a
// voter. A replica of a group that is not founded yet finds no leader and goes
// on asking.
func (c *replicaCalls) seekAdmission(ctx context.Context) error {
	for !c.isVoter() {
		for _, p := range c.peers.byID {
			c.askAdmission(ctx, p)
		}
		if c.clock.Sleep(ctx, admitEvery) != nil {
			return nil
		}
	}
	return nil
}

func (c *replicaCalls) isVoter() bool {
	status := c.replica.Status()
	return slices.ContainsFunc(status.Voters, func(m replog.MemberStatus) bool { return m.Identity == status.Self.Identity })
}

func (c *replicaCalls) askAdmission(ctx context.Context, p *peer) {
	if c.isVoter() {
		return
	}
	self := c.replica.Status().Self
	request := wire.AdmitRequest{Group: c.group, Member: wire.ReplicaMember{
		Name: wire.ReplicaID(self.Name), Identity: wire.Identity(self.Identity), Address: wire.Address(self.Address), Voter: true,
	}}
	ctx, cancel := context.WithTimeout(ctx, (admitTimeout + sendTimeout).Duration())
	defer cancel()
	// The answer is visible in the replica's own log.
	_, _ = rpc.Call[wire.Ack](ctx, p.client, wire.MethodReplicaAdmit, request)
}

// statusOf translates the status of the replicated log.
func statusOf(s replog.Status) Status {
	out := Status{Leader: wire.Address(s.Leader.Address), CanLoseOne: s.CanLoseOne, Replicas: []wire.ReplicaStatus{}}
	for _, m := range s.Voters {
		out.Replicas = append(out.Replicas, replicaStatus(s, m, true))
	}
	for _, m := range s.Learners {
		out.Replicas = append(out.Replicas, replicaStatus(s, m, false))
	}
	return out
}

func replicaStatus(s replog.Status, m replog.MemberStatus, voter bool) wire.ReplicaStatus {
	return wire.ReplicaStatus{
		Name: wire.ReplicaID(m.Name), Identity: wire.Identity(m.Identity), Address: wire.Address(m.Address),
		Voter: voter, Leader: m.Identity == s.Leader.Identity, CaughtUp: m.CaughtUp,
		LastHeardMillis: wire.Millis(m.LastHeard), MatchIndex: wire.Version(m.Match),
	}
}

// translateLog turns errors of the replicated log into those of this package.
func translateLog(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replog.ErrNotLeader):
		return merry.Wrap(ErrNotLeader, merry.WithCause(err))
	case errors.Is(err, replog.ErrTooLarge):
		return merry.Wrap(ErrTooLarge, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err), merry.AppendMessage(err.Error()))
}
