package control

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// processHeartbeat handles a heartbeat and returns the response without the
// routing table. The time of receipt must be taken before leadership is
// confirmed.
func (s *Service) processHeartbeat(ctx context.Context, r wire.HeartbeatRequest) (wire.HeartbeatResponse, error) {
	ls, err := s.requireLeader(r.Group)
	if err != nil {
		return wire.HeartbeatResponse{}, err
	}
	received := ls.granter.Now()
	if r.Member != nil {
		ls.granter.RecordPending(r.Member.Incarnation, received)
	}
	if err := s.confirm(ctx, ls); err != nil {
		return wire.HeartbeatResponse{}, err
	}
	ls.recordHeartbeat(r, received)
	rejection, err := s.renew(ctx, ls, r, received)
	if err != nil {
		return wire.HeartbeatResponse{}, err
	}
	if rejection != "" {
		ls.granter.DiscardPending(r.Member.Incarnation)
	}
	s.commitReleases(ctx, ls, r)
	s.metrics.countHeartbeat(rejection)
	return wire.HeartbeatResponse{
		Granted:      rejection == "",
		LeaseMillis:  wire.Millis(lease.DefaultTerms.Duration),
		RejectReason: rejection,
		CallerShares: ls.callerShares.respond(r, received, ls.granter.Now()),
	}, nil
}

// renew registers the member of a heartbeat and renews its lease. It returns
// the reason for which the lease is rejected, or an empty string if it is
// granted.
func (s *Service) renew(ctx context.Context, ls *leaderState, r wire.HeartbeatRequest, received clock.Millis) (string, error) {
	if r.Member == nil {
		return "", nil
	}
	rejection, err := s.ensureMember(ctx, r)
	if err != nil || rejection != "" {
		return rejection, err
	}
	if !ls.granter.Renew(r.Member.Incarnation, received) {
		return "lease has expired", nil
	}
	return "", nil
}

// ensureMember registers or updates the member of a heartbeat in the state
// machine. It returns the reason of a rejection, if any.
func (s *Service) ensureMember(ctx context.Context, r wire.HeartbeatRequest) (string, error) {
	wanted := memberOf(r)
	registered, live := s.Machine.RegisteredMember(wanted.Incarnation)
	if live && registered.Node != r.Node {
		return "incarnation belongs to another node", nil
	}
	if live {
		return s.updateMember(ctx, registered, wanted)
	}
	if _, _, ended := s.Machine.NodeOf(wanted.Incarnation); ended {
		return "incarnation has ended", nil
	}
	return s.registerMember(ctx, r.Member, wanted)
}

func memberOf(r wire.HeartbeatRequest) wire.Member {
	announcement := r.Member
	return wire.Member{
		Node: r.Node, Incarnation: announcement.Incarnation, Service: announcement.Service, Address: r.Address,
		FailureDomain: r.FailureDomain, Slots: announcement.Slots, Connections: announcement.Connections,
		ChecksGrants: announcement.ChecksGrants, Cold: announcement.Cold, Draining: r.Stopping,
		Process: r.Process, Sequence: announcement.Sequence,
	}
}

func (s *Service) updateMember(ctx context.Context, registered, wanted wire.Member) (string, error) {
	if s.superseded(registered) {
		return "a later incarnation of this node has registered", nil
	}
	wanted.RegisteredAt = registered.RegisteredAt
	wanted.Draining = wanted.Draining || registered.Draining
	if registered == wanted {
		return "", nil
	}
	r, err := s.propose(ctx, wire.Command{RegisterMember: &wire.RegisterMember{Member: wanted}})
	return rejectionOf(r.Err), err
}

// registerMember registers a new incarnation. If the announcement states that
// the earlier targets of the same process run no more work, their members are
// ended and their partitions become unowned at once. In all other cases, above
// all after a restart of the process, an old target may still run work that it
// accepted. It then keeps its partitions until its lease has expired or its own
// process reports its end; superseded makes the leader reject its renewals.
func (s *Service) registerMember(ctx context.Context, announcement *wire.Announcement, wanted wire.Member) (string, error) {
	for _, earlier := range s.Machine.MembersOfNode(wanted.Node) {
		if !sameProcess(earlier, wanted) {
			continue
		}
		if earlier.Sequence >= wanted.Sequence {
			return "a later announcement of this process has registered", nil
		}
		if !announcement.EarlierIncarnationsEnded {
			continue
		}
		if err := s.endReplacedMember(ctx, earlier); err != nil {
			return "", err
		}
	}
	r, err := s.propose(ctx, wire.Command{RegisterMember: &wire.RegisterMember{Member: wanted}})
	if err == nil && r.Err == nil {
		s.Log.Info().Str("Node", string(wanted.Node)).Str("Incarnation", string(wanted.Incarnation)).Str("Service", string(wanted.Service)).Msg("member registered")
	}
	return rejectionOf(r.Err), err
}

// endReplacedMember ends a member that its own process has replaced.
func (s *Service) endReplacedMember(ctx context.Context, v wire.Member) error {
	down := &wire.MemberDown{Incarnation: v.Incarnation, Reason: "replaced", InFlight: []wire.InFlight{}}
	if _, err := s.propose(ctx, wire.Command{MemberDown: down}); err != nil {
		return err
	}
	s.Log.Info().Str("Node", string(v.Node)).Str("Incarnation", string(v.Incarnation)).Msg("member replaced by its own process")
	return nil
}

func rejectionOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func sameProcess(a, b wire.Member) bool { return a.Process != "" && a.Process == b.Process }

// superseded reports whether the node has registered a later incarnation. It
// uses only the state in the log, so a change of the leader does not change the
// result.
func (s *Service) superseded(member wire.Member) bool {
	for _, other := range s.Machine.MembersOfNode(member.Node) {
		later := other.RegisteredAt > member.RegisteredAt
		if sameProcess(member, other) {
			later = other.Sequence > member.Sequence
		}
		if later && other.Incarnation != member.Incarnation {
			return true
		}
	}
	return false
}

// commitReleases commits the releases that a node reports. The node repeats
// them until its table shows that they took effect, so errors are ignored.
func (s *Service) commitReleases(ctx context.Context, ls *leaderState, r wire.HeartbeatRequest) {
	if r.Member == nil {
		return
	}
	release := wire.MoveRelease{Incarnation: r.Member.Incarnation}
	for _, g := range r.Released {
		p, ok := s.Machine.Partition(g.Partition)
		if ok && p.Owner == r.Member.Incarnation && p.FencingToken == g.FencingToken {
			release.Grants = append(release.Grants, g)
		}
	}
	if len(release.Grants) == 0 {
		return
	}
	if res, err := s.propose(ctx, wire.Command{MoveRelease: &release}); err == nil && res.Err == nil {
		s.metrics.releasedPartitions.Add(float64(len(release.Grants)))
	}
}

// endMember ends an incarnation that its node has reported as ended. If the
// target may still run work, it first waits until the lease has ended.
func (s *Service) endMember(ctx context.Context, r wire.DownRequest) (wire.DownResponse, error) {
	ls, err := s.requireConfirmedLeader(ctx, r.Group)
	if err != nil {
		return wire.DownResponse{}, err
	}
	node, live, known := s.Machine.NodeOf(r.Incarnation)
	if !known || node != r.Node {
		return wire.DownResponse{}, &rpc.Error{Code: rpc.CodeRejected, Message: "node " + string(r.Node) + " has no incarnation " + string(r.Incarnation)}
	}
	if live && r.MayStillRun {
		if err := s.waitForLeaseEnd(ctx, ls, r.Incarnation); err != nil {
			return wire.DownResponse{}, err
		}
	}
	down := &wire.MemberDown{Incarnation: r.Incarnation, Reason: r.Reason, Crashed: r.Crashed, InFlight: r.InFlight}
	res, err := s.commit(ctx, wire.Command{MemberDown: down})
	if err != nil {
		return wire.DownResponse{}, err
	}
	s.Log.Info().Str("Node", string(r.Node)).Str("Incarnation", string(r.Incarnation)).Str("Reason", r.Reason).Bool("Crashed", r.Crashed).Msg("member ended")
	return wire.DownResponse{Version: res.Version}, nil
}

// waitForLeaseEnd rejects further renewals of a member and waits until its
// lease has ended.
func (s *Service) waitForLeaseEnd(ctx context.Context, ls *leaderState, i wire.Incarnation) error {
	ls.granter.Reject(i)
	if err := s.Clock.Sleep(ctx, ls.granter.Remaining(i)); err != nil {
		return s.rpcError(err, rpc.CodeUnavailable)
	}
	if s.currentLeaderState() != ls {
		return s.notLeaderError()
	}
	return nil
}
