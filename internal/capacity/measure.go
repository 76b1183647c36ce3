package main

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	group   = wire.GroupID("demo")
	service = wire.ServiceName("catalogue")
	// changes is how many configuration changes are timed.
	changes = 20
	// maxRecords covers the audit records of one loss.
	maxRecords = 1000
	// settleTime is longer than a heartbeat interval and a watch.
	settleTime clock.Millis = 1000
	// readyTimeout bounds the start of a fleet.
	readyTimeout clock.Millis = 30_000
)

var errNoLeader = errors.New("no leader")

// measureNodes measures an idle control group with a fleet, then the time until
// a change of the configuration is known to all nodes.
func measureNodes(ctx context.Context, o options, nodes int) (sample, error) {
	b, err := startSystem(ctx, o, nodes)
	if err != nil {
		return sample{}, err
	}
	defer b.close()
	idle, err := b.window(ctx, o.window, float64(nodes))
	if err != nil {
		return sample{}, err
	}
	_, before := b.fleet.traffic()
	began := clock.System().Now()
	worst, err := b.changeConfiguration(ctx, o, nodes*o.partitionsPerNode)
	if err != nil {
		return sample{}, err
	}
	_, after := b.fleet.traffic()
	took := float64(clock.System().Now()-began) / 1000
	loss, lossBytes, err := b.loseNode(ctx, nodes, idle[4].value)
	if err != nil {
		return sample{}, err
	}
	perChange := ((after-before)/float64(nodes) - idle[4].value*took) / changes
	idle = append(idle,
		quantity{"received by a node for a change, B", perChange},
		quantity{"received by a node for a loss, B", lossBytes},
		quantity{"loss of a node: new owners known to all, ms", float64(loss)},
		quantity{"slowest of 20 changes known to all, ms", float64(worst)},
		quantity{"failed calls", float64(b.fleet.failed())})
	return sample{size: float64(nodes), values: idle}, nil
}

// window measures processor time and bytes over a time without changes.
func (b *system) window(ctx context.Context, w clock.Millis, nodes float64) ([]quantity, error) {
	c := clock.System()
	before, err := b.usage()
	if err != nil {
		return nil, err
	}
	sent, received := b.fleet.traffic()
	began := c.Now()
	if err := c.Sleep(ctx, w); err != nil {
		return nil, err
	}
	seconds := float64(c.Now()-began) / 1000
	after, err := b.usage()
	if err != nil {
		return nil, err
	}
	sent2, received2 := b.fleet.traffic()
	return []quantity{
		{"leader, % of a core", 100 * (after[0].cpuSeconds - before[0].cpuSeconds) / seconds},
		{"busiest follower, % of a core", 100 * (after[1].cpuSeconds - before[1].cpuSeconds) / seconds},
		{"leader memory, MB", after[0].residentBytes / 1e6},
		{"sent by a node, B/s", (sent2 - sent) / seconds / nodes},
		{"received by a node, B/s", (received2 - received) / seconds / nodes},
	}, nil
}

// usage returns that of the leader, then that of the busiest follower so far.
func (b *system) usage() ([2]usage, error) {
	var out [2]usage
	for _, r := range b.cluster.Replicas {
		u, err := usageOf(r.PID())
		if err != nil {
			return out, err
		}
		switch {
		case r == b.leader:
			out[0] = u
		case u.cpuSeconds > out[1].cpuSeconds:
			out[1] = u
		}
	}
	return out, nil
}

// changeConfiguration returns the longest time from the request to the moment
// at which the last node had the new revision in its table.
func (b *system) changeConfiguration(ctx context.Context, o options, partitions int) (clock.Millis, error) {
	c := clock.System()
	var worst clock.Millis
	for i := range changes {
		began := c.Now()
		revision, err := b.apply(ctx, wire.Revision(i+1), configuration(o.services, partitions, i+2))
		if err != nil {
			return 0, err
		}
		for b.fleet.lowestRevision() < revision {
			if err := c.Sleep(ctx, 1); err != nil {
				return 0, err
			}
			if c.Now()-began > readyTimeout {
				return 0, fmt.Errorf("revision %d is not known to all nodes", revision)
			}
		}
		worst = max(worst, c.Now()-began)
	}
	return worst, nil
}

// loseNode ends one stand-in and returns the time until all others know the new
// owners of its partitions, and the bytes that each received for it.
func (b *system) loseNode(ctx context.Context, nodes int, idleBytes float64) (clock.Millis, float64, error) {
	c := clock.System()
	known := b.fleet.lowestVersion(nodes)
	_, before := b.fleet.traffic()
	began := c.Now()
	b.fleet.nodes[nodes-1].lose()
	if err := b.waitMembers(ctx, nodes-1); err != nil {
		return 0, 0, err
	}
	changed, err := rpc.Call[wire.AuditResponse](ctx, b.client, wire.MethodOperatorAudit, wire.AuditRequest{Group: group, After: known, Limit: maxRecords})
	if err != nil {
		return 0, 0, err
	}
	if len(changed.Records) == 0 {
		return 0, 0, errors.New("the audit trail shows no loss")
	}
	for last := changed.Records[len(changed.Records)-1].Index; b.fleet.lowestVersion(nodes-1) < last; {
		if err := c.Sleep(ctx, 1); err != nil {
			return 0, 0, err
		}
		if c.Now()-began > readyTimeout {
			return 0, 0, fmt.Errorf("version %d is not known to all nodes", last)
		}
	}
	took := c.Now() - began
	_, after := b.fleet.traffic()
	return took, (after-before)/float64(nodes-1) - idleBytes*float64(took)/1000, nil
}

// waitMembers waits until the service has exactly n members and every partition
// has an owner.
func (b *system) waitMembers(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	return b.cluster.WaitStatus(ctx, func(s wire.StatusResponse) error {
		for _, v := range s.Services {
			if v.Service == service && (v.Members != n || v.Unowned > 0) {
				return fmt.Errorf("%d members, %d unowned", v.Members, v.Unowned)
			}
		}
		return nil
	})
}

// measureOperations runs Begin and Finish at a fixed rate.
func measureOperations(ctx context.Context, o options, rate int) (sample, error) {
	b, err := startSystem(ctx, o, 3)
	if err != nil {
		return sample{}, err
	}
	defer b.close()
	before, err := b.usage()
	if err != nil {
		return sample{}, err
	}
	c := clock.System()
	began := c.Now()
	done, failed, slowest := b.operations(ctx, rate, o.window)
	seconds := float64(c.Now()-began) / 1000
	after, err := b.usage()
	if err != nil {
		return sample{}, err
	}
	return sample{size: float64(rate), values: []quantity{
		{"completed/s", float64(done) / seconds},
		{"failed", float64(failed)},
		{"slowest Begin, ms", float64(slowest)},
		{"leader, % of a core", 100 * (after[0].cpuSeconds - before[0].cpuSeconds) / seconds},
		{"busiest follower, % of a core", 100 * (after[1].cpuSeconds - before[1].cpuSeconds) / seconds},
		{"leader memory, B for each operation", (after[0].residentBytes - before[0].residentBytes) / max(float64(done), 1)},
	}}, nil
}

func (b *system) operations(ctx context.Context, rate int, w clock.Millis) (done, failed, slowest int64) {
	c := clock.System()
	var ok, bad, worst atomic.Int64
	var running sync.WaitGroup
	began := c.Now()
	for i := 0; ; i++ {
		due := began + clock.Millis(i*1000/rate)
		if due-began >= w || (due > c.Now() && c.Sleep(ctx, due-c.Now()) != nil) {
			break
		}
		running.Go(func() {
			took, err := b.operation(ctx)
			if err != nil {
				bad.Add(1)
				return
			}
			ok.Add(1)
			for v := worst.Load(); int64(took) > v && !worst.CompareAndSwap(v, int64(took)); v = worst.Load() {
				continue
			}
		})
	}
	running.Wait()
	return ok.Load(), bad.Load(), worst.Load()
}

// operation records one operation with a response of 200 bytes, and returns the
// time that Begin took, which is what it adds to the request.
func (b *system) operation(ctx context.Context) (clock.Millis, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	id, err := uuid.NewV7()
	if err != nil {
		return 0, err
	}
	c := clock.System()
	began := c.Now()
	key, execution := wire.OperationKey(id.String()), wire.ExecutionID(uuid.NewString())
	r, err := rpc.Call[wire.BeginResponse](ctx, b.client, wire.MethodOperationBegin, wire.BeginRequest{
		Group: group, Service: service, Route: "browse", Caller: "capacity", Key: key,
		Fingerprint: "00000000000000ff", Execution: execution, Incarnation: b.fleet.nodes[0].announcement().Incarnation,
	})
	took := c.Now() - began
	if err != nil {
		return 0, err
	}
	if r.Decision != wire.DecisionRun {
		return 0, fmt.Errorf("decision %s", r.Decision)
	}
	_, err = rpc.Call[wire.Ack](ctx, b.client, wire.MethodOperationFinish, wire.FinishRequest{
		Group: group, Service: service, Key: key, Execution: execution,
		Result: wire.OperationResult{Outcome: wire.OutcomeComplete, Status: 200, Body: string(make([]byte, 0, 200)), BodyKept: true, Header: wire.OperationResultHeader{}},
	})
	return took, err
}

// measureTable measures the memory of a node's routing table.
func measureTable(members, partitionsPerMember int) sample {
	delta := wire.Delta{Full: true, ToVersion: 1, Revision: 1}
	c := configuration(0, members*partitionsPerMember, 1)
	delta.Configuration = &c
	for i := range members {
		m := wire.Member{Node: wire.NodeID(fmt.Sprintf("node-%d", i)), Incarnation: wire.Incarnation(uuid.NewString()), Service: service, Address: "127.0.0.1:1", FailureDomain: "dsm-a", Slots: 10}
		delta.Members = append(delta.Members, m)
		for k := range partitionsPerMember {
			delta.Partitions = append(delta.Partitions, wire.Partition{
				Partition: wire.PartitionID(fmt.Sprintf("%s/%d", service, i*partitionsPerMember+k)), Service: service, Owner: m.Incarnation, FencingToken: 1,
			})
		}
	}
	before := heap()
	t := table.New()
	began := clock.System().Now()
	err := t.Apply(delta)
	took := clock.System().Now() - began
	after := heap()
	runtime.KeepAlive(delta)
	runtime.KeepAlive(t)
	if err != nil {
		took = -1
	}
	return sample{size: float64(members), values: []quantity{
		{"table, MB", (after - before) / 1e6},
		{"apply of a full table, ms", float64(took)},
	}}
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
