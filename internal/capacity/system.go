package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// system is a control group of real processes with a fleet of stand-in nodes.
type system struct {
	cluster *cluster.Cluster
	folder  string
	leader  *cluster.Replica
	fleet   *fleet
	client  *rpc.Client
}

// startSystem starts a control group and a fleet, and waits until every partition
// has an owner.
func startSystem(ctx context.Context, o options, nodes int) (*system, error) {
	folder, err := os.MkdirTemp("", "gentiansail-capacity-")
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder}
	if err := s.start(ctx, o, nodes); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) start(ctx context.Context, o options, nodes int) error {
	c, err := cluster.Start(ctx, cluster.Options{Gentiansail: o.gentiansail, Standin: o.standin, Folder: s.folder, Replicas: 3, Group: group})
	if err != nil {
		return err
	}
	s.cluster = c
	if err := c.Bootstrap(ctx); err != nil {
		return err
	}
	if err := s.findLeader(ctx); err != nil {
		return err
	}
	if _, err := s.apply(ctx, 0, configuration(o.services, nodes*o.partitionsPerNode, 1)); err != nil {
		return err
	}
	control := c.Control()
	// The leader comes first, so that no node starts with a redirect.
	slices.SortStableFunc(control, func(a, _ wire.Address) int {
		if string(a) == s.client.Address() {
			return -1
		}
		return 0
	})
	s.fleet = startFleet(ctx, nodes, group, service, control, o.format())
	if err := s.waitAssigned(ctx, nodes); err != nil {
		return err
	}
	// Wait until the first assignment has reached the nodes, so that it is not part
	// of the measured bytes.
	return clock.System().Sleep(ctx, settleTime)
}

func (s *system) close() {
	if s.fleet != nil {
		s.fleet.close()
	}
	if s.client != nil {
		s.client.Close()
	}
	if s.cluster != nil {
		s.cluster.Close()
	}
	_ = os.RemoveAll(s.folder)
}

// format returns the delta format that the stand-ins request.
func (o options) format() wire.DeltaFormat {
	if o.wholeConfigurations {
		return 0
	}
	return wire.DeltaFormatChanges
}

// configuration returns a configuration with one keyed service and the given number
// of other services, which only make it larger. Callers vary the deadline to make
// revisions differ; it is in milliseconds, added to 10 s.
func configuration(services, partitions, deadline int) wire.Configuration {
	c := wire.Configuration{
		Regions: []wire.RegionConfig{{Name: "tz-coast", FailureDomains: []wire.FailureDomain{"dsm-a", "dsm-b", "dsm-c"}}},
		Services: []wire.ServiceConfig{
			{Name: service, Keyed: true, Partitions: partitions, MoveBudget: 4},
		},
		Routes: []wire.RouteConfig{
			{Name: "browse", Service: service, Methods: []string{"GET"}, Path: "/catalogue/", Repeatable: true, Class: wire.RouteClassBrowse,
				Key: &wire.KeySource{From: wire.KeyLocationPathSegment, Segment: 2}, DeadlineMillis: wire.Millis(10000 + deadline)},
		},
		CallerLimits: []wire.CallerLimit{},
	}
	for i := range services {
		name := wire.ServiceName(fmt.Sprintf("courier-%d", i))
		c.Services = append(c.Services, wire.ServiceConfig{Name: name})
		for _, kind := range []string{"offer", "pickup"} {
			c.Routes = append(c.Routes, wire.RouteConfig{
				Name: wire.RouteName(fmt.Sprintf("%s-%d", kind, i)), Service: name, Methods: []string{"GET"},
				Path: fmt.Sprintf("/courier-%d/%s/", i, kind), Repeatable: true, Class: wire.RouteClassNormal, DeadlineMillis: 10000,
			})
		}
	}
	return c
}

// apply submits a configuration and returns its revision. If a call fails, apply
// finds the leader, which may change on a busy host, and repeats the same request.
func (s *system) apply(ctx context.Context, base wire.Revision, c wire.Configuration) (wire.Revision, error) {
	request := wire.ApplyRequest{
		Group: group, Operator: "capacity", RequestID: wire.RequestID(uuid.NewString()), BaseRevision: base, Configuration: c,
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, callTimeout.Duration())
		r, err := rpc.Call[wire.ApplyResponse](callCtx, s.client, wire.MethodOperatorApply, request)
		cancelCall()
		switch {
		case err == nil && !r.Accepted:
			return 0, errors.New(r.RejectReason)
		case err == nil:
			return r.Revision, nil
		}
		if findErr := s.findLeader(ctx); findErr != nil {
			return 0, errors.Join(err, findErr)
		}
	}
}

// findLeader connects the client to the current leader.
func (s *system) findLeader(ctx context.Context) error {
	status, err := s.cluster.Operator().FetchStatus(ctx)
	if err != nil {
		return err
	}
	for _, r := range status.Replicas {
		if !r.Leader || (s.client != nil && s.client.Address() == string(r.Address)) {
			continue
		}
		if s.client != nil {
			s.client.Close()
		}
		s.client = rpc.NewClient(string(r.Address))
	}
	if s.client == nil {
		return errNoLeader
	}
	for _, r := range s.cluster.Replicas {
		if string(r.Addr()) == s.client.Address() {
			s.leader = r
		}
	}
	return nil
}

// waitAssigned waits until the service has at least the given number of members, and
// no partition is unowned or moving.
func (s *system) waitAssigned(ctx context.Context, nodes int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	return s.cluster.WaitStatus(ctx, func(status wire.StatusResponse) error {
		for _, v := range status.Services {
			if v.Service == service && (v.Members < nodes || v.Unowned > 0 || v.Moving > 0) {
				return fmt.Errorf("%d members, %d unowned, %d moving", v.Members, v.Unowned, v.Moving)
			}
		}
		return nil
	})
}
