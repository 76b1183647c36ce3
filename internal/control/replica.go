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

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/replication"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

const (
	// admissionInterval is the interval at which a replica that is not a voter
	// requests admission.
	admissionInterval clock.Millis = 1000
	// admissionTimeout bounds one request for admission. A later request continues
	// an admission that is not complete by then.
	admissionTimeout clock.Millis = 5000
	// admissionMargin is the time allowed for the response to arrive.
	admissionMargin clock.Millis = 1000
)

// replicaHandlers handles the calls of other replicas and of an operator who
// bootstraps a group, and requests the admission of this replica.
type replicaHandlers struct {
	group wire.GroupID
	// configured are the replicas in the settings, including this one.
	configured map[wire.ReplicaID]wire.Address
	replica    *replog.Replica
	peers      *peers
	// parts joins the parts of long messages from other replicas.
	parts *replication.Assembler
	clock clock.Clock
	log   zerolog.Logger
}

func (h *replicaHandlers) register(server *rpc.Server) {
	rpc.Handle(server, wire.MethodReplicaMessage, h.message)
	rpc.Handle(server, wire.MethodReplicaMessagePart, h.messagePart)
	rpc.Handle(server, wire.MethodReplicaIdentity, h.identity)
	rpc.Handle(server, wire.MethodReplicaBootstrap, h.bootstrap)
	rpc.Handle(server, wire.MethodReplicaAdmit, h.admit)
}

func (h *replicaHandlers) checkGroup(g wire.GroupID) error {
	if g == h.group {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeRejected, Message: "this replica belongs to group " + string(h.group)}
}

func (h *replicaHandlers) message(_ context.Context, r wire.ReplicaMessage) (struct{}, error) {
	if err := h.checkGroup(r.Group); err != nil {
		return struct{}{}, err
	}
	data, err := base64.StdEncoding.DecodeString(r.Data)
	if err != nil {
		return struct{}{}, &rpc.Error{Code: rpc.CodeRejected, Message: err.Error()}
	}
	return struct{}{}, h.deliver(data)
}

// messagePart receives a part of a long message. The message itself names its group.
func (h *replicaHandlers) messagePart(_ context.Context, part message.LogPart) (struct{}, error) {
	data, err := h.parts.Add(part)
	if err != nil {
		return struct{}{}, &rpc.Error{Code: rpc.CodeRejected, Message: err.Error()}
	}
	if data == nil {
		return struct{}{}, nil
	}
	return struct{}{}, h.deliver(data)
}

func (h *replicaHandlers) deliver(data []byte) error {
	m, err := replog.DecodeMessage(data)
	if err != nil {
		return &rpc.Error{Code: rpc.CodeRejected, Message: err.Error()}
	}
	h.replica.Deliver(m)
	return nil
}

func (h *replicaHandlers) identity(_ context.Context, r wire.IdentityRequest) (wire.IdentityResponse, error) {
	if err := h.checkGroup(r.Group); err != nil {
		return wire.IdentityResponse{}, err
	}
	status := h.replica.Status()
	return wire.IdentityResponse{
		Name:     wire.ReplicaID(status.Self.Name),
		Identity: wire.Identity(status.Self.Identity),
		Empty:    len(status.Voters) == 0,
	}, nil
}

func (h *replicaHandlers) bootstrap(_ context.Context, r wire.BootstrapRequest) (wire.Ack, error) {
	if err := h.checkGroup(r.Group); err != nil {
		return wire.Ack{}, err
	}
	if err := h.checkMembers(r.Members); err != nil {
		return wire.Ack{}, err
	}
	var members []replog.Member
	for _, m := range r.Members {
		members = append(members, toMember(m))
	}
	if err := h.replica.Bootstrap(members); err != nil {
		return wire.Ack{}, &rpc.Error{Code: rpc.CodeRejected, Message: err.Error()}
	}
	h.log.Info().Int("Members", len(members)).Msg("group bootstrapped")
	return wire.Ack{}, nil
}

// checkMembers requires exactly the replicas in the settings. A group of only
// some of them would have no majority over the others, which could be
// bootstrapped as a second group. Addresses may differ, because messages are
// sent by name.
func (h *replicaHandlers) checkMembers(members []wire.ReplicaMember) error {
	requested := []wire.ReplicaID{}
	for _, m := range members {
		requested = append(requested, m.Name)
	}
	slices.Sort(requested)
	want := slices.Sorted(maps.Keys(h.configured))
	if slices.Equal(requested, want) {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeRejected, Message: fmt.Sprintf("the settings name the replicas %v, but the request names %v", want, requested)}
}

func toMember(m wire.ReplicaMember) replog.Member {
	return replog.Member{Name: replog.ReplicaID(m.Name), Identity: replog.Identity(m.Identity), Address: string(m.Address)}
}

// admit makes a replica with a new identity a voter, if this replica leads.
// Only replicas in the settings are admitted, with their address in the
// settings.
func (h *replicaHandlers) admit(ctx context.Context, r wire.AdmitRequest) (wire.Ack, error) {
	if err := h.checkGroup(r.Group); err != nil {
		return wire.Ack{}, err
	}
	p, ok := h.peers.byID[r.Member.Name]
	if !ok || wire.Address(p.client.Address()) != r.Member.Address {
		return wire.Ack{}, &rpc.Error{Code: rpc.CodeRejected, Message: "no replica " + string(r.Member.Name) + " with this address in the settings"}
	}
	ctx, cancel := context.WithTimeout(ctx, admissionTimeout.Duration())
	defer cancel()
	if err := h.replica.Admit(ctx, toMember(r.Member)); err != nil {
		return wire.Ack{}, h.rpcError(err)
	}
	h.log.Info().Str("Replica", string(r.Member.Name)).Str("Identity", string(r.Member.Identity)).Msg("replica admitted as a voter")
	return wire.Ack{}, nil
}

// rpcError converts an error of the replicated log to an RPC error.
func (h *replicaHandlers) rpcError(err error) error {
	switch {
	case errors.Is(err, replog.ErrNotLeader):
		return &rpc.Error{Code: rpc.CodeNotLeader, Message: err.Error(), Leader: h.replica.Status().Leader.Address}
	case errors.Is(err, replog.ErrInvalidMember):
		return &rpc.Error{Code: rpc.CodeRejected, Message: err.Error()}
	}
	return &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
}

// requestAdmission requests admission from the other replicas until this
// identity is a voter. While the group is not bootstrapped, no leader is found
// and the requests continue.
func (h *replicaHandlers) requestAdmission(ctx context.Context) error {
	for !h.isVoter() {
		for _, p := range h.peers.byID {
			h.requestAdmissionFrom(ctx, p)
		}
		if h.clock.Sleep(ctx, admissionInterval) != nil {
			return nil
		}
	}
	return nil
}

func (h *replicaHandlers) isVoter() bool {
	status := h.replica.Status()
	return slices.ContainsFunc(status.Voters, func(m replog.MemberStatus) bool { return m.Identity == status.Self.Identity })
}

func (h *replicaHandlers) requestAdmissionFrom(ctx context.Context, p *peer) {
	if h.isVoter() {
		return
	}
	self := h.replica.Status().Self
	request := wire.AdmitRequest{Group: h.group, Member: wire.ReplicaMember{
		Name: wire.ReplicaID(self.Name), Identity: wire.Identity(self.Identity), Address: wire.Address(self.Address), Voter: true,
	}}
	ctx, cancel := context.WithTimeout(ctx, (admissionTimeout + admissionMargin).Duration())
	defer cancel()
	// The response is ignored: isVoter reads the result from the replica's own
	// log.
	_, _ = rpc.Call[wire.Ack](ctx, p.client, wire.MethodReplicaAdmit, request)
}

// statusOf converts the status of the replicated log.
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
		LastContactMillis: wire.Millis(m.LastContact), MatchIndex: wire.Version(m.Match),
	}
}

// errorFromLog converts errors of the replicated log to errors of this package.
func errorFromLog(err error) error {
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
