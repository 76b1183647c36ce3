package control

import (
	"context"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// Register registers the methods of nodes and operators. Those of other
// replicas belong to Run.
func (s *Service) Register(server *rpc.Server) {
	rpc.Handle(server, wire.MethodNodeHeartbeat, s.serveHeartbeat)
	rpc.Handle(server, wire.MethodNodeWatch, s.serveWatch)
	rpc.Handle(server, wire.MethodNodeDown, s.down)
	rpc.Handle(server, wire.MethodOperationBegin, s.begin)
	rpc.Handle(server, wire.MethodOperationFinish, s.finish)
	rpc.Handle(server, wire.MethodSuspectClear, s.clearSuspect)
	rpc.Handle(server, wire.MethodOperatorApply, s.apply)
	rpc.Handle(server, wire.MethodOperatorStatus, s.status)
	rpc.Handle(server, wire.MethodOperatorDrain, s.drain)
	rpc.Handle(server, wire.MethodOperatorOwner, s.owner)
	rpc.Handle(server, wire.MethodOperatorAudit, s.audit)
	rpc.Handle(server, wire.MethodOperatorQuarantine, s.quarantine)
	rpc.Handle(server, wire.MethodOperatorRelease, s.release)
	rpc.Handle(server, wire.MethodOperatorConfig, s.config)
}

// apply commits a configuration. A request id that is known gets its original
// response before the configuration is checked again, because the accepted one
// has changed since.
func (s *Service) apply(ctx context.Context, r wire.ApplyRequest) (wire.ApplyResponse, error) {
	if _, err := s.enterConfirmed(ctx, r.Group); err != nil {
		return wire.ApplyResponse{}, err
	}
	if r.RequestID == "" {
		return wire.ApplyResponse{}, &rpc.Error{Code: rpc.CodeRefused, Message: "RequestID is empty"}
	}
	if a, known := s.Machine.Answer(r.RequestID); known {
		return a, nil
	}
	revision, current := s.Machine.Config()
	// A request with an old base is left to the state machine, which names the
	// change that won.
	if r.BaseRevision == revision {
		if err := s.check(current, r.Configuration); err != nil {
			return wire.ApplyResponse{Revision: revision, Refusal: err.Error()}, nil
		}
	}
	res, err := s.commit(ctx, wire.Command{Apply: &r})
	if err != nil {
		return wire.ApplyResponse{}, err
	}
	s.Log.Info().Str("Operator", string(r.Operator)).Bool("Accepted", res.Apply.Accepted).Int("Revision", int(res.Apply.Revision)).Msg("configuration decided")
	return *res.Apply, nil
}

// check applies the rules that the state machine rests on, then the rest.
func (s *Service) check(current, next wire.Configuration) error {
	if err := checkServices(current, next); err != nil {
		return err
	}
	if s.Validate == nil {
		return nil
	}
	return s.Validate(current, next)
}

// maxPartitions bounds the partitions of one service. It gives each of 3,000
// nodes more than 20 and keeps the full routing table at some megabytes.
const maxPartitions = 65536

// checkServices refuses names that cannot be part of a partition's id, and
// numbers of partitions that are impossible or would move most keys.
func checkServices(current, next wire.Configuration) error {
	counts := make(map[wire.ServiceName]int)
	for _, v := range current.Services {
		if v.Keyed {
			counts[v.Name] = v.Partitions
		}
	}
	seen := make(map[wire.ServiceName]bool)
	for _, v := range next.Services {
		old, existed := counts[v.Name]
		switch {
		case v.Name == "" || strings.Contains(string(v.Name), "/"):
			return merry.Wrap(ErrConfigurationRejected, merry.AppendMessagef("service name %q is empty or holds a slash", v.Name))
		case seen[v.Name]:
			return merry.Wrap(ErrConfigurationRejected, merry.AppendMessagef("service %s appears twice", v.Name))
		case v.Keyed && (v.Partitions < 1 || v.Partitions > maxPartitions):
			return merry.Wrap(ErrConfigurationRejected, merry.AppendMessagef("service %s: Partitions must be from 1 to %d", v.Name, maxPartitions))
		case v.Keyed && existed && v.Partitions != old:
			return merry.Wrap(ErrConfigurationRejected, merry.AppendMessagef("service %s: Partitions is fixed at %d", v.Name, old))
		}
		seen[v.Name] = true
	}
	return nil
}

// drain marks a node, or clears its mark. A name that was never heard is
// refused, because it is most likely mistyped.
func (s *Service) drain(ctx context.Context, r wire.DrainRequest) (wire.Ack, error) {
	o, err := s.enterConfirmed(ctx, r.Group)
	if err != nil {
		return wire.Ack{}, err
	}
	if !s.knowsNode(o, r.Node) {
		return wire.Ack{}, &rpc.Error{Code: rpc.CodeRefused, Message: "no node " + string(r.Node)}
	}
	return s.acknowledge(ctx, r.Group, wire.Command{Drain: &r})
}

func (s *Service) knowsNode(o *office, n wire.NodeID) bool {
	_, heard := o.node(n)
	return heard || len(s.Machine.MembersOfNode(n)) > 0 || s.Machine.IsDraining(n)
}

func (s *Service) owner(ctx context.Context, r wire.OwnerRequest) (wire.OwnerResponse, error) {
	if _, err := s.enterConfirmed(ctx, r.Group); err != nil {
		return wire.OwnerResponse{}, err
	}
	p, ok := s.Machine.Owner(r.Service, r.Key)
	if !ok {
		return wire.OwnerResponse{}, &rpc.Error{Code: rpc.CodeRefused, Message: "service " + string(r.Service) + " has no partitions"}
	}
	out := wire.OwnerResponse{Partition: p}
	if v, live := s.Machine.Member(p.Owner); live {
		out.Member = &v
	}
	return out, nil
}

// audit returns the records after an index, all of them without a limit.
func (s *Service) audit(ctx context.Context, r wire.AuditRequest) (wire.AuditResponse, error) {
	if _, err := s.enterConfirmed(ctx, r.Group); err != nil {
		return wire.AuditResponse{}, err
	}
	limit := r.Limit
	if limit <= 0 {
		limit = math.MaxInt
	}
	return wire.AuditResponse{Records: s.Machine.AuditAfter(r.After, limit)}, nil
}

func (s *Service) quarantine(ctx context.Context, r wire.QuarantineRequest) (wire.QuarantineResponse, error) {
	if _, err := s.enterConfirmed(ctx, r.Group); err != nil {
		return wire.QuarantineResponse{}, err
	}
	return wire.QuarantineResponse{Suspects: s.Machine.SuspectList()}, nil
}

func (s *Service) release(ctx context.Context, r wire.ReleaseRequest) (wire.Ack, error) {
	return s.acknowledge(ctx, r.Group, wire.Command{Release: &r})
}

func (s *Service) config(ctx context.Context, r wire.ConfigRequest) (wire.ConfigResponse, error) {
	if _, err := s.enterConfirmed(ctx, r.Group); err != nil {
		return wire.ConfigResponse{}, err
	}
	revision, c := s.Machine.Config()
	return wire.ConfigResponse{Revision: revision, Configuration: c}, nil
}

func (s *Service) status(ctx context.Context, r wire.StatusRequest) (wire.StatusResponse, error) {
	o, err := s.enterConfirmed(ctx, r.Group)
	if err != nil {
		return wire.StatusResponse{}, err
	}
	if err := s.awaitNodes(ctx, o); err != nil {
		return wire.StatusResponse{}, err
	}
	log := s.Status()
	members, partitions := s.Machine.MemberList(), s.Machine.PartitionList()
	revision, c := s.Machine.Config()
	out := wire.StatusResponse{
		Group: s.Group, Version: s.Machine.Version(), Revision: revision,
		CanLoseOne: log.CanLoseOne, Replicas: log.Replicas, Services: []wire.ServiceStatus{},
	}
	out.Nodes, out.NodesOmitted = selectNodes(s.nodeStatuses(o, members, partitions), r)
	if wholeStatus(r) {
		out.Services = serviceStatuses(c, members, partitions)
	}
	return out, nil
}

// wholeStatus reports whether a request asks for everything. Commands that wait
// ask several times a second, and only for the nodes that they wait for.
func wholeStatus(r wire.StatusRequest) bool {
	return r.Node == "" && r.BelowRevision == 0 && r.MaxNodes == 0
}

// selectNodes returns the nodes that a request asks for, and how many more its
// limit leaves out.
func selectNodes(all []wire.NodeStatus, r wire.StatusRequest) ([]wire.NodeStatus, int) {
	listed, omitted := []wire.NodeStatus{}, 0
	for _, n := range all {
		switch {
		case r.Node != "" && n.Node != r.Node:
		case r.BelowRevision > 0 && n.RevisionInForce >= r.BelowRevision:
		case r.MaxNodes > 0 && len(listed) >= r.MaxNodes:
			omitted++
		default:
			listed = append(listed, n)
		}
	}
	return listed, omitted
}

// awaitNodes waits until a new leader has been in office for the longest lease.
// A node without a target is known only by its heartbeats; a status before they
// can have arrived would leave it out, and a wait for all nodes would end too
// early. Every node that reaches the leader is heard several times by then.
func (s *Service) awaitNodes(ctx context.Context, o *office) error {
	left := o.since + lease.DefaultTerms.Longest() - s.Clock.Now()
	if left <= 0 {
		return nil
	}
	if err := s.Clock.Sleep(ctx, left); err != nil {
		return s.translate(err, rpc.CodeUnavailable)
	}
	return s.confirm(ctx, o)
}

// nodeStatuses lists every node that was heard or that has a live member.
func (s *Service) nodeStatuses(o *office, members []wire.Member, partitions []wire.Partition) []wire.NodeStatus {
	owned := make(map[wire.Incarnation]int)
	for _, p := range partitions {
		owned[p.Owner]++
	}
	byNode := make(map[wire.NodeID]wire.NodeStatus)
	for _, n := range o.names() {
		byNode[n] = s.nodeStatus(o, n)
	}
	for _, v := range members {
		n, ok := byNode[v.Node]
		if !ok {
			n = s.nodeStatus(o, v.Node)
			n.Address, n.FailureDomain = v.Address, v.FailureDomain
		}
		// The latest registration is the one that serves.
		if n.Member == nil || n.Member.RegisteredAt <= v.RegisteredAt {
			n.Member = &v
		}
		n.Owned += owned[v.Incarnation]
		byNode[v.Node] = n
	}
	out := []wire.NodeStatus{}
	for _, n := range slices.Sorted(maps.Keys(byNode)) {
		out = append(out, byNode[n])
	}
	return out
}

// neverHeard stands for a node that this leader has not heard.
const neverHeard wire.Millis = -1

func (s *Service) nodeStatus(o *office, n wire.NodeID) wire.NodeStatus {
	out := wire.NodeStatus{Node: n, Draining: s.Machine.IsDraining(n), LastHeardMillis: neverHeard}
	if h, ok := o.node(n); ok {
		out.Address, out.FailureDomain = h.address, h.domain
		out.RevisionInForce, out.KnownVersion = h.revision, h.version
		out.LastHeardMillis = wire.Millis(s.Clock.Now() - h.heard)
	}
	return out
}

func serviceStatuses(c wire.Configuration, members []wire.Member, partitions []wire.Partition) []wire.ServiceStatus {
	out := []wire.ServiceStatus{}
	for _, service := range c.Services {
		v := wire.ServiceStatus{Service: service.Name}
		for _, m := range members {
			if m.Service == service.Name {
				v.Members++
			}
		}
		for _, p := range partitions {
			if p.Service == service.Name {
				countPartition(&v, p)
			}
		}
		out = append(out, v)
	}
	return out
}

func countPartition(v *wire.ServiceStatus, p wire.Partition) {
	v.Partitions++
	if p.Owner == "" {
		v.Unowned++
	}
	if p.MovingTo != "" {
		v.Moving++
	}
}
