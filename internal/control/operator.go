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

// Register registers the methods that nodes and operators call. Run registers
// the methods that other replicas call.
func (s *Service) Register(server *rpc.Server) {
	rpc.Handle(server, wire.MethodNodeHeartbeat, s.serveHeartbeat)
	rpc.Handle(server, wire.MethodNodeWatch, s.serveWatch)
	rpc.Handle(server, wire.MethodNodeDown, s.endMember)
	rpc.Handle(server, wire.MethodOperationBegin, s.begin)
	rpc.Handle(server, wire.MethodOperationFinish, s.finish)
	rpc.Handle(server, wire.MethodSuspectClear, s.clearSuspect)
	rpc.Handle(server, wire.MethodOperatorApply, s.apply)
	rpc.Handle(server, wire.MethodOperatorStatus, s.status)
	rpc.Handle(server, wire.MethodOperatorDrain, s.drain)
	rpc.Handle(server, wire.MethodOperatorEvacuate, s.evacuate)
	rpc.Handle(server, wire.MethodOperatorOwner, s.owner)
	rpc.Handle(server, wire.MethodOperatorAudit, s.audit)
	rpc.Handle(server, wire.MethodOperatorQuarantine, s.quarantine)
	rpc.Handle(server, wire.MethodOperatorRelease, s.release)
	rpc.Handle(server, wire.MethodOperatorConfig, s.config)
}

// apply commits a configuration. If the request id is known, it returns the
// original response without checking the configuration again, because the
// accepted configuration may have changed since.
func (s *Service) apply(ctx context.Context, r wire.ApplyRequest) (wire.ApplyResponse, error) {
	if _, err := s.requireConfirmedLeader(ctx, r.Group); err != nil {
		return wire.ApplyResponse{}, err
	}
	if r.RequestID == "" {
		return wire.ApplyResponse{}, &rpc.Error{Code: rpc.CodeRejected, Message: "RequestID is empty"}
	}
	if response, known := s.Machine.RecordedResponse(r.RequestID); known {
		return response, nil
	}
	revision, current := s.Machine.Config()
	// A request with an outdated base revision is left to the state machine, whose
	// rejection names the conflicting change.
	if r.BaseRevision == revision {
		if err := s.checkConfiguration(current, r.Configuration); err != nil {
			return wire.ApplyResponse{Revision: revision, RejectReason: err.Error()}, nil
		}
	}
	res, err := s.commit(ctx, wire.Command{Apply: &r})
	if err != nil {
		return wire.ApplyResponse{}, err
	}
	s.Log.Info().Str("Operator", string(r.Operator)).Bool("Accepted", res.Apply.Accepted).Int("Revision", int(res.Apply.Revision)).Msg("configuration decided")
	return *res.Apply, nil
}

// checkConfiguration applies the rules that the state machine depends on, and
// then Options.Validate.
func (s *Service) checkConfiguration(current, next wire.Configuration) error {
	if err := checkServices(current, next); err != nil {
		return err
	}
	if s.Validate == nil {
		return nil
	}
	return s.Validate(current, next)
}

// maxPartitions bounds the partitions of one service. It gives each of 3,000
// nodes more than 20 and keeps the full routing table to a few megabytes.
const maxPartitions = 65536

// checkServices rejects service names that cannot be part of a partition's id,
// and numbers of partitions that are out of range or would move most keys.
func checkServices(current, next wire.Configuration) error {
	partitions := make(map[wire.ServiceName]int)
	for _, service := range current.Services {
		if service.Keyed {
			partitions[service.Name] = service.Partitions
		}
	}
	seen := make(map[wire.ServiceName]bool)
	for _, service := range next.Services {
		fixed, existed := partitions[service.Name]
		switch {
		case service.Name == "" || strings.Contains(string(service.Name), "/"):
			return merry.Wrap(ErrConfigurationRejected, merry.AppendMessagef("service name %q is empty or contains a slash", service.Name))
		case seen[service.Name]:
			return merry.Wrap(ErrConfigurationRejected, merry.AppendMessagef("service %s appears twice", service.Name))
		case service.Keyed && (service.Partitions < 1 || service.Partitions > maxPartitions):
			return merry.Wrap(ErrConfigurationRejected, merry.AppendMessagef("service %s: Partitions must be from 1 to %d", service.Name, maxPartitions))
		case service.Keyed && existed && service.Partitions != fixed:
			return merry.Wrap(ErrConfigurationRejected, merry.AppendMessagef("service %s: Partitions cannot be changed from %d", service.Name, fixed))
		}
		seen[service.Name] = true
	}
	return nil
}

// drain marks a node as draining, or clears the mark. It rejects an unknown
// node name, because it is most likely mistyped.
func (s *Service) drain(ctx context.Context, r wire.DrainRequest) (wire.Ack, error) {
	ls, err := s.requireConfirmedLeader(ctx, r.Group)
	if err != nil {
		return wire.Ack{}, err
	}
	if !s.isKnownNode(ls, r.Node) {
		return wire.Ack{}, &rpc.Error{Code: rpc.CodeRejected, Message: "no node " + string(r.Node)}
	}
	return s.acknowledge(ctx, r.Group, wire.Command{Drain: &r})
}

// evacuate begins or ends the evacuation of a failure domain. The domain may have no node
// yet: those that register later get no work either.
func (s *Service) evacuate(ctx context.Context, r wire.EvacuateRequest) (wire.Ack, error) {
	if _, err := s.requireConfirmedLeader(ctx, r.Group); err != nil {
		return wire.Ack{}, err
	}
	return s.acknowledge(ctx, r.Group, wire.Command{Evacuate: &r})
}

func (s *Service) isKnownNode(ls *leaderState, n wire.NodeID) bool {
	_, reported := ls.nodeRecord(n)
	return reported || len(s.Machine.MembersOfNode(n)) > 0 || s.Machine.IsDraining(n)
}

func (s *Service) owner(ctx context.Context, r wire.OwnerRequest) (wire.OwnerResponse, error) {
	if _, err := s.requireConfirmedLeader(ctx, r.Group); err != nil {
		return wire.OwnerResponse{}, err
	}
	p, ok := s.Machine.PartitionOfKey(r.Service, r.Key)
	if !ok {
		return wire.OwnerResponse{}, &rpc.Error{Code: rpc.CodeRejected, Message: "service " + string(r.Service) + " has no partitions"}
	}
	out := wire.OwnerResponse{Partition: p}
	if v, live := s.Machine.Member(p.Owner); live {
		out.Member = &v
	}
	return out, nil
}

// audit returns the records after an index. Without a limit it returns all of
// them.
func (s *Service) audit(ctx context.Context, r wire.AuditRequest) (wire.AuditResponse, error) {
	if _, err := s.requireConfirmedLeader(ctx, r.Group); err != nil {
		return wire.AuditResponse{}, err
	}
	limit := r.Limit
	if limit <= 0 {
		limit = math.MaxInt
	}
	return wire.AuditResponse{Records: s.Machine.AuditRecordsAfter(r.After, limit)}, nil
}

func (s *Service) quarantine(ctx context.Context, r wire.QuarantineRequest) (wire.QuarantineResponse, error) {
	if _, err := s.requireConfirmedLeader(ctx, r.Group); err != nil {
		return wire.QuarantineResponse{}, err
	}
	return wire.QuarantineResponse{Suspects: s.Machine.SuspectList()}, nil
}

func (s *Service) release(ctx context.Context, r wire.ReleaseRequest) (wire.Ack, error) {
	return s.acknowledge(ctx, r.Group, wire.Command{Release: &r})
}

func (s *Service) config(ctx context.Context, r wire.ConfigRequest) (wire.ConfigResponse, error) {
	if _, err := s.requireConfirmedLeader(ctx, r.Group); err != nil {
		return wire.ConfigResponse{}, err
	}
	revision, c := s.Machine.Config()
	return wire.ConfigResponse{Revision: revision, Configuration: c}, nil
}

func (s *Service) status(ctx context.Context, r wire.StatusRequest) (wire.StatusResponse, error) {
	ls, err := s.requireConfirmedLeader(ctx, r.Group)
	if err != nil {
		return wire.StatusResponse{}, err
	}
	if err := s.waitForNodeReports(ctx, ls); err != nil {
		return wire.StatusResponse{}, err
	}
	logStatus := s.Status()
	members, partitions := s.Machine.MemberList(), s.Machine.PartitionList()
	revision, c := s.Machine.Config()
	out := wire.StatusResponse{
		Group: s.Group, Version: s.Machine.Version(), Revision: revision,
		CanLoseOne: logStatus.CanLoseOne, Replicas: logStatus.Replicas, Services: []wire.ServiceStatus{},
		EvacuatedDomains: s.Machine.EvacuatedDomains(),
	}
	out.Nodes, out.NodesOmitted = selectNodes(s.nodeStatuses(ls, members, partitions), r)
	if isFullRequest(r) {
		out.Services = serviceStatuses(c, members, partitions)
	}
	return out, nil
}

// isFullRequest reports whether a request asks for the complete status.
// Commands that wait for nodes send several requests per second, and only for
// these nodes.
func isFullRequest(r wire.StatusRequest) bool {
	return r.Node == "" && r.BelowRevision == 0 && r.MaxNodes == 0
}

// selectNodes returns the nodes that a request asks for, and the number of
// further ones that its limit omits.
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

// waitForNodeReports waits until the leadership term has lasted for the longest
// lease. The leader knows a node without a target only by its heartbeats. An
// earlier status could omit such a node, and a command that waits for all nodes
// would end too early. Within this time, every node that reaches the leader
// sends several heartbeats.
func (s *Service) waitForNodeReports(ctx context.Context, ls *leaderState) error {
	remaining := ls.startedAt + lease.DefaultTerms.MaxDuration() - s.Clock.Now()
	if remaining <= 0 {
		return nil
	}
	if err := s.Clock.Sleep(ctx, remaining); err != nil {
		return s.rpcError(err, rpc.CodeUnavailable)
	}
	return s.confirm(ctx, ls)
}

// nodeStatuses returns the status of every node that has sent a heartbeat in
// this leadership term or has a live member.
func (s *Service) nodeStatuses(ls *leaderState, members []wire.Member, partitions []wire.Partition) []wire.NodeStatus {
	owned := make(map[wire.Incarnation]int)
	for _, p := range partitions {
		owned[p.Owner]++
	}
	byNode := make(map[wire.NodeID]wire.NodeStatus)
	for _, n := range ls.nodeNames() {
		byNode[n] = s.nodeStatus(ls, n)
	}
	for _, v := range members {
		n, ok := byNode[v.Node]
		if !ok {
			n = s.nodeStatus(ls, v.Node)
			n.Address, n.FailureDomain = v.Address, v.FailureDomain
		}
		// The latest registered member of a node is the one that serves.
		if n.Member == nil || n.Member.RegisteredAt <= v.RegisteredAt {
			n.Member = &v
		}
		n.Owned += owned[v.Incarnation]
		byNode[v.Node] = n
	}
	for name, n := range byNode {
		n.Draining = n.Draining || s.Machine.IsEvacuated(n.FailureDomain)
		byNode[name] = n
	}
	out := []wire.NodeStatus{}
	for _, n := range slices.Sorted(maps.Keys(byNode)) {
		out = append(out, byNode[n])
	}
	return out
}

// noHeartbeat is the LastHeartbeatMillis of a node without a heartbeat in this
// leadership term.
const noHeartbeat wire.Millis = -1

func (s *Service) nodeStatus(ls *leaderState, n wire.NodeID) wire.NodeStatus {
	out := wire.NodeStatus{Node: n, Draining: s.Machine.IsDraining(n), LastHeartbeatMillis: noHeartbeat}
	if record, ok := ls.nodeRecord(n); ok {
		out.Address, out.FailureDomain = record.address, record.domain
		out.RevisionInForce, out.KnownVersion = record.revision, record.version
		out.LastHeartbeatMillis = wire.Millis(s.Clock.Now() - record.lastHeartbeat)
	}
	return out
}

func serviceStatuses(c wire.Configuration, members []wire.Member, partitions []wire.Partition) []wire.ServiceStatus {
	out := []wire.ServiceStatus{}
	for _, service := range c.Services {
		status := wire.ServiceStatus{Service: service.Name}
		for _, m := range members {
			if m.Service == service.Name {
				status.Members++
			}
		}
		for _, p := range partitions {
			if p.Service == service.Name {
				countPartition(&status, p)
			}
		}
		out = append(out, status)
	}
	return out
}

func countPartition(status *wire.ServiceStatus, p wire.Partition) {
	status.Partitions++
	if p.Owner == "" {
		status.Unowned++
	}
	if p.MovingTo != "" {
		status.Moving++
	}
}
