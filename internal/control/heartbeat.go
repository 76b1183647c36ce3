package control

import (
	"context"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// answerHeartbeat is serveHeartbeat without the routing table. The order matters:
// the time of receipt is taken first, and leadership is confirmed after it.
func (s *Service) answerHeartbeat(ctx context.Context, r wire.HeartbeatRequest) (wire.HeartbeatResponse, error) {
	o, err := s.enter(r.Group)
	if err != nil {
		return wire.HeartbeatResponse{}, err
	}
	received := o.granter.Now()
	if r.Member != nil {
		o.granter.Heard(r.Member.Incarnation, received)
	}
	if err := s.confirm(ctx, o); err != nil {
		return wire.HeartbeatResponse{}, err
	}
	o.observe(r, received)
	refusal, err := s.renew(ctx, o, r, received)
	if err != nil {
		return wire.HeartbeatResponse{}, err
	}
	if refusal != "" {
		o.granter.Dismiss(r.Member.Incarnation)
	}
	s.takeReleases(ctx, o, r)
	s.metrics.countHeartbeat(refusal)
	return wire.HeartbeatResponse{
		Granted:      refusal == "",
		LeaseMillis:  wire.Millis(lease.DefaultTerms.Duration),
		Refusal:      refusal,
		CallerShares: o.callers.answer(r, received, o.granter.Now()),
	}, nil
}

// renew registers and renews the member of a heartbeat. It returns why the lease
// is refused, empty if it is granted.
func (s *Service) renew(ctx context.Context, o *office, r wire.HeartbeatRequest, received clock.Millis) (string, error) {
	if r.Member == nil {
		return "", nil
	}
	refusal, err := s.ensureMember(ctx, r)
	if err != nil || refusal != "" {
		return refusal, err
	}
	if !o.granter.Renew(r.Member.Incarnation, received) {
		return "lease has expired", nil
	}
	return "", nil
}

// ensureMember makes the member of a heartbeat known to the state machine.
func (s *Service) ensureMember(ctx context.Context, r wire.HeartbeatRequest) (string, error) {
	wanted := memberOf(r)
	v, live := s.Machine.Registered(wanted.Incarnation)
	if live && v.Node != r.Node {
		return "incarnation belongs to another node", nil
	}
	if live {
		return s.updateMember(ctx, v, wanted)
	}
	if _, _, ended := s.Machine.NodeOf(wanted.Incarnation); ended {
		return "incarnation has ended", nil
	}
	return s.registerMember(ctx, r.Member, wanted)
}

func memberOf(r wire.HeartbeatRequest) wire.Member {
	a := r.Member
	return wire.Member{
		Node: r.Node, Incarnation: a.Incarnation, Service: a.Service, Address: r.Address,
		FailureDomain: r.FailureDomain, Slots: a.Slots, Connections: a.Connections,
		ChecksGrants: a.ChecksGrants, Cold: a.Cold, Draining: r.Stopping,
		Process: r.Process, Sequence: a.Sequence,
	}
}

func (s *Service) updateMember(ctx context.Context, v, wanted wire.Member) (string, error) {
	if s.superseded(v) {
		return "a later incarnation of this node has registered", nil
	}
	wanted.RegisteredAt = v.RegisteredAt
	wanted.Draining = wanted.Draining || v.Draining
	if v == wanted {
		return "", nil
	}
	r, err := s.propose(ctx, wire.Command{RegisterMember: &wire.RegisterMember{Member: wanted}})
	return refusalOf(r.Err), err
}

// registerMember makes a new incarnation known and deals with older ones of the
// same node. Where the same process vouches that its earlier targets run no more
// work, their partitions are free at once. In all other cases, after a restart
// of the process above all, an old target may still run work that it was given:
// its partitions stay its own until its lease has expired or its own process
// reports its end. superseded refuses its renewals.
func (s *Service) registerMember(ctx context.Context, a *wire.Announcement, wanted wire.Member) (string, error) {
	for _, v := range s.Machine.MembersOfNode(wanted.Node) {
		if !sameProcess(v, wanted) {
			continue
		}
		if v.Sequence >= wanted.Sequence {
			return "a later announcement of this process has registered", nil
		}
		if !a.EarlierEnded {
			continue
		}
		if err := s.replace(ctx, v); err != nil {
			return "", err
		}
	}
	r, err := s.propose(ctx, wire.Command{RegisterMember: &wire.RegisterMember{Member: wanted}})
	if err == nil && r.Err == nil {
		s.Log.Info().Str("Node", string(wanted.Node)).Str("Incarnation", string(wanted.Incarnation)).Str("Service", string(wanted.Service)).Msg("member registered")
	}
	return refusalOf(r.Err), err
}

// replace ends a member that its own process has replaced.
func (s *Service) replace(ctx context.Context, v wire.Member) error {
	down := &wire.MemberDown{Incarnation: v.Incarnation, Reason: "replaced", InFlight: []wire.InFlight{}}
	if _, err := s.propose(ctx, wire.Command{MemberDown: down}); err != nil {
		return err
	}
	s.Log.Info().Str("Node", string(v.Node)).Str("Incarnation", string(v.Incarnation)).Msg("member replaced by its own process")
	return nil
}

func refusalOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func sameProcess(a, b wire.Member) bool { return a.Process != "" && a.Process == b.Process }

// superseded reports whether the node has registered another incarnation since.
// Its rule needs the log alone, so it holds across leaders.
func (s *Service) superseded(v wire.Member) bool {
	for _, w := range s.Machine.MembersOfNode(v.Node) {
		later := w.RegisteredAt > v.RegisteredAt
		if sameProcess(v, w) {
			later = w.Sequence > v.Sequence
		}
		if later && w.Incarnation != v.Incarnation {
			return true
		}
	}
	return false
}

// takeReleases commits the releases that a node reports. The node repeats them
// until its table shows that they took effect, so errors need no answer.
func (s *Service) takeReleases(ctx context.Context, o *office, r wire.HeartbeatRequest) {
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
		s.metrics.released.Add(float64(len(release.Grants)))
	}
}

// down ends an incarnation on the word of its node.
func (s *Service) down(ctx context.Context, r wire.DownRequest) (wire.DownResponse, error) {
	o, err := s.enterConfirmed(ctx, r.Group)
	if err != nil {
		return wire.DownResponse{}, err
	}
	node, live, known := s.Machine.NodeOf(r.Incarnation)
	if !known || node != r.Node {
		return wire.DownResponse{}, &rpc.Error{Code: rpc.CodeRefused, Message: "node " + string(r.Node) + " has no incarnation " + string(r.Incarnation)}
	}
	if live && r.MayStillRun {
		if err := s.waitOut(ctx, o, r.Incarnation); err != nil {
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

// waitOut refuses a member's renewals and waits until its lease has ended.
func (s *Service) waitOut(ctx context.Context, o *office, i wire.Incarnation) error {
	o.granter.Refuse(i)
	if err := s.Clock.Sleep(ctx, o.granter.Remaining(i)); err != nil {
		return s.translate(err, rpc.CodeUnavailable)
	}
	if s.currentOffice() != o {
		return s.notLeader()
	}
	return nil
}
