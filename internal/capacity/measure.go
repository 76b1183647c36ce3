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
	// changes is the number of configuration changes that are timed.
	changes = 20
	// maxRecords is the limit of the audit query after the loss of a node.
	maxRecords = 1000
	// settleTime is the wait for nodes to receive the first assignment. It is longer
	// than a heartbeat interval and a watch that has a change to return.
	settleTime clock.Millis = 1000
	// readyTimeout limits the start of a fleet, and the wait for nodes to receive a
	// change.
	readyTimeout clock.Millis = 30_000
)

var errNoLeader = errors.New("no leader")

// measureNodes measures an idle control group with a fleet, then the time and bytes
// until all nodes know a configuration change, and the loss of a node.
func measureNodes(ctx context.Context, o options, nodes int) (sample, error) {
	s, err := startSystem(ctx, o, nodes)
	if err != nil {
		return sample{}, err
	}
	defer s.close()
	idle, err := s.measureIdle(ctx, o.window, float64(nodes))
	if err != nil {
		return sample{}, err
	}
	_, before := s.fleet.traffic()
	start := clock.System().Now()
	longest, err := s.changeConfiguration(ctx, o, nodes*o.partitionsPerNode)
	if err != nil {
		return sample{}, err
	}
	_, after := s.fleet.traffic()
	took := float64(clock.System().Now()-start) / 1000
	loss, lossBytes, err := s.loseNode(ctx, nodes, idle[4].value)
	if err != nil {
		return sample{}, err
	}
	perChange := ((after-before)/float64(nodes) - idle[4].value*took) / changes
	idle = append(idle,
		quantity{"received by a node for a change, B", perChange},
		quantity{"received by a node for a loss, B", lossBytes},
		quantity{"loss of a node: new owners known to all, ms", float64(loss)},
		quantity{"slowest of 20 changes known to all, ms", float64(longest)},
		quantity{"failed calls", float64(s.fleet.failed())})
	return sample{size: float64(nodes), values: idle}, nil
}

// measureIdle measures processor time and bytes for the duration w without changes.
func (s *system) measureIdle(ctx context.Context, w clock.Millis, nodes float64) ([]quantity, error) {
	c := clock.System()
	before, err := s.usage()
	if err != nil {
		return nil, err
	}
	sent, received := s.fleet.traffic()
	start := c.Now()
	if err := c.Sleep(ctx, w); err != nil {
		return nil, err
	}
	seconds := float64(c.Now()-start) / 1000
	after, err := s.usage()
	if err != nil {
		return nil, err
	}
	sent2, received2 := s.fleet.traffic()
	return []quantity{
		{"leader, % of a core", 100 * (after[0].cpuSeconds - before[0].cpuSeconds) / seconds},
		{"busiest follower, % of a core", 100 * (after[1].cpuSeconds - before[1].cpuSeconds) / seconds},
		{"leader memory, MB", after[0].residentBytes / 1e6},
		{"sent by a node, B/s", (sent2 - sent) / seconds / nodes},
		{"received by a node, B/s", (received2 - received) / seconds / nodes},
	}, nil
}

// usage returns the usage of the leader and of the follower that has used most
// processor time.
func (s *system) usage() ([2]usage, error) {
	var out [2]usage
	for _, r := range s.cluster.Replicas {
		u, err := usageOf(r.PID())
		if err != nil {
			return out, err
		}
		switch {
		case r == s.leader:
			out[0] = u
		case u.cpuSeconds > out[1].cpuSeconds:
			out[1] = u
		}
	}
	return out, nil
}

// changeConfiguration applies configuration changes one after another. It returns
// the longest time from the request until all nodes had the new revision.
func (s *system) changeConfiguration(ctx context.Context, o options, partitions int) (clock.Millis, error) {
	c := clock.System()
	var longest clock.Millis
	for i := range changes {
		start := c.Now()
		revision, err := s.apply(ctx, wire.Revision(i+1), configuration(o.services, partitions, i+2))
		if err != nil {
			return 0, err
		}
		for s.fleet.lowestRevision() < revision {
			if err := c.Sleep(ctx, 1); err != nil {
				return 0, err
			}
			if c.Now()-start > readyTimeout {
				return 0, fmt.Errorf("revision %d is not known to all nodes", revision)
			}
		}
		longest = max(longest, c.Now()-start)
	}
	return longest, nil
}

// loseNode stops one stand-in. It returns the time until all others know the new
// owners of its partitions, and the mean number of bytes that each received for it,
// without the idle traffic of idleBytes per second.
func (s *system) loseNode(ctx context.Context, nodes int, idleBytes float64) (clock.Millis, float64, error) {
	c := clock.System()
	versionBefore := s.fleet.lowestVersion(nodes)
	_, before := s.fleet.traffic()
	start := c.Now()
	s.fleet.nodes[nodes-1].lose()
	if err := s.waitMembers(ctx, nodes-1); err != nil {
		return 0, 0, err
	}
	changed, err := rpc.Call[wire.AuditResponse](ctx, s.client, wire.MethodOperatorAudit, wire.AuditRequest{Group: group, After: versionBefore, Limit: maxRecords})
	if err != nil {
		return 0, 0, err
	}
	if len(changed.Records) == 0 {
		return 0, 0, errors.New("the audit trail shows no loss")
	}
	for last := changed.Records[len(changed.Records)-1].Index; s.fleet.lowestVersion(nodes-1) < last; {
		if err := c.Sleep(ctx, 1); err != nil {
			return 0, 0, err
		}
		if c.Now()-start > readyTimeout {
			return 0, 0, fmt.Errorf("version %d is not known to all nodes", last)
		}
	}
	took := c.Now() - start
	_, after := s.fleet.traffic()
	return took, (after-before)/float64(nodes-1) - idleBytes*float64(took)/1000, nil
}

// waitMembers waits until the service has exactly n members and every partition
// has an owner.
func (s *system) waitMembers(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	return s.cluster.WaitStatus(ctx, func(status wire.StatusResponse) error {
		for _, v := range status.Services {
			if v.Service == service && (v.Members != n || v.Unowned > 0) {
				return fmt.Errorf("%d members, %d unowned", v.Members, v.Unowned)
			}
		}
		return nil
	})
}

// measureOperations measures the control group while Begin and Finish are called at
// a fixed rate.
func measureOperations(ctx context.Context, o options, rate int) (sample, error) {
	s, err := startSystem(ctx, o, 3)
	if err != nil {
		return sample{}, err
	}
	defer s.close()
	before, err := s.usage()
	if err != nil {
		return sample{}, err
	}
	c := clock.System()
	start := c.Now()
	done, failed, slowest := s.operations(ctx, rate, o.window)
	seconds := float64(c.Now()-start) / 1000
	after, err := s.usage()
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

// operations starts operations at a fixed rate for the duration w. slowest is the
// longest time of a Begin call in milliseconds.
func (s *system) operations(ctx context.Context, rate int, w clock.Millis) (done, failed, slowest int64) {
	c := clock.System()
	var completedCount, errorCount, longest atomic.Int64
	var running sync.WaitGroup
	start := c.Now()
	for i := 0; ; i++ {
		due := start + clock.Millis(i*1000/rate)
		if due-start >= w || (due > c.Now() && c.Sleep(ctx, due-c.Now()) != nil) {
			break
		}
		running.Go(func() {
			took, err := s.operation(ctx)
			if err != nil {
				errorCount.Add(1)
				return
			}
			completedCount.Add(1)
			for v := longest.Load(); int64(took) > v && !longest.CompareAndSwap(v, int64(took)); v = longest.Load() {
				continue
			}
		})
	}
	running.Wait()
	return completedCount.Load(), errorCount.Load(), longest.Load()
}

// operation records one operation and returns the time that Begin took, which is
// the time that recording adds to a request.
func (s *system) operation(ctx context.Context) (clock.Millis, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	id, err := uuid.NewV7()
	if err != nil {
		return 0, err
	}
	c := clock.System()
	start := c.Now()
	key, execution := wire.OperationKey(id.String()), wire.ExecutionID(uuid.NewString())
	r, err := rpc.Call[wire.BeginResponse](ctx, s.client, wire.MethodOperationBegin, wire.BeginRequest{
		Group: group, Service: service, Route: "browse", Caller: "capacity", Key: key,
		Fingerprint: "00000000000000ff", Execution: execution, Incarnation: s.fleet.nodes[0].announcement().Incarnation,
	})
	took := c.Now() - start
	if err != nil {
		return 0, err
	}
	if r.Decision != wire.DecisionRun {
		return 0, fmt.Errorf("decision %s", r.Decision)
	}
	_, err = rpc.Call[wire.Ack](ctx, s.client, wire.MethodOperationFinish, wire.FinishRequest{
		Group: group, Service: service, Key: key, Execution: execution,
		Result: wire.OperationResult{Outcome: wire.OutcomeComplete, Status: 200, Body: string(make([]byte, 0, 200)), BodyKept: true, Header: wire.OperationResultHeader{}},
	})
	return took, err
}

// measureTable measures the memory of a node's routing table and the time to apply a
// full one.
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
	before := heapBytes()
	t := table.New()
	start := clock.System().Now()
	err := t.Apply(delta)
	took := clock.System().Now() - start
	after := heapBytes()
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

// heapBytes returns the size of the live heap objects after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
