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

// system is a control group with a fleet.
type system struct {
	cluster *cluster.Cluster
	folder  string
	leader  *cluster.Replica
	fleet   *fleet
	client  *rpc.Client
}

func startSystem(ctx context.Context, o options, nodes int) (*system, error) {
	folder, err := os.MkdirTemp("", "gentiansail-capacity-")
	if err != nil {
		return nil, err
	}
	b := &system{folder: folder}
	if err := b.start(ctx, o, nodes); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *system) start(ctx context.Context, o options, nodes int) error {
	c, err := cluster.Start(ctx, cluster.Options{Gentiansail: o.gentiansail, Standin: o.standin, Folder: b.folder, Replicas: 3, Group: group})
	if err != nil {
		return err
	}
	b.cluster = c
	if err := c.Bootstrap(ctx); err != nil {
		return err
	}
	if err := b.findLeader(ctx); err != nil {
		return err
	}
	if _, err := b.apply(ctx, 0, configuration(o.services, nodes*o.partitionsPerNode, 1)); err != nil {
		return err
	}
	control := c.Control()
	// The leader first, so that no node begins with a redirect.
	slices.SortStableFunc(control, func(a, _ wire.Address) int {
		if string(a) == b.client.Address() {
			return -1
		}
		return 0
	})
	b.fleet = startFleet(ctx, nodes, group, service, control, o.format())
	if err := b.waitAssigned(ctx, nodes); err != nil {
		return err
	}
	// The first assignment must have reached the nodes before bytes are counted.
	return clock.System().Sleep(ctx, settleTime)
}

func (b *system) close() {
	if b.fleet != nil {
		b.fleet.close()
	}
	if b.client != nil {
		b.client.Close()
	}
	if b.cluster != nil {
		b.cluster.Close()
	}
	_ = os.RemoveAll(b.folder)
}

// format is the form of delta that the stand-ins understand.
func (o options) format() wire.DeltaFormat {
	if o.wholeConfigurations {
		return 0
	}
	return wire.DeltaFormatChanges
}

// configuration has one keyed service, and others that only make it larger. The
// deadline of a route is what changes between revisions.
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

// apply makes a configuration the accepted one. It follows the leader, which may
// change on a busy host, and repeats the same request until it is answered.
func (b *system) apply(ctx context.Context, base wire.Revision, c wire.Configuration) (wire.Revision, error) {
	request := wire.ApplyRequest{
		Group: group, Operator: "capacity", RequestID: wire.RequestID(uuid.NewString()), BaseRevision: base, Configuration: c,
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	for {
		timed, stop := context.WithTimeout(ctx, callTimeout.Duration())
		r, err := rpc.Call[wire.ApplyResponse](timed, b.client, wire.MethodOperatorApply, request)
		stop()
		switch {
		case err == nil && !r.Accepted:
			return 0, errors.New(r.RejectReason)
		case err == nil:
			return r.Revision, nil
		}
		if findErr := b.findLeader(ctx); findErr != nil {
			return 0, errors.Join(err, findErr)
		}
	}
}

// findLeader points the client at the current leader.
func (b *system) findLeader(ctx context.Context) error {
	status, err := b.cluster.Operator().FetchStatus(ctx)
	if err != nil {
		return err
	}
	for _, r := range status.Replicas {
		if !r.Leader || (b.client != nil && b.client.Address() == string(r.Address)) {
			continue
		}
		if b.client != nil {
			b.client.Close()
		}
		b.client = rpc.NewClient(string(r.Address))
	}
	if b.client == nil {
		return errNoLeader
	}
	for _, r := range b.cluster.Replicas {
		if string(r.Addr()) == b.client.Address() {
			b.leader = r
		}
	}
	return nil
}

func (b *system) waitAssigned(ctx context.Context, nodes int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	return b.cluster.WaitStatus(ctx, func(s wire.StatusResponse) error {
		for _, v := range s.Services {
			if v.Service == service && (v.Members < nodes || v.Unowned > 0 || v.Moving > 0) {
				return fmt.Errorf("%d members, %d unowned, %d moving", v.Members, v.Unowned, v.Moving)
			}
		}
		return nil
	})
}
