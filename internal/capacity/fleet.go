package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// heartbeatInterval is the interval between the heartbeats of a node.
	heartbeatInterval clock.Millis = 200
	// watchWait is how long the leader may delay the response to a watch.
	watchWait clock.Millis = 2000
	// callTimeout limits a call. A watch may take watchWait longer.
	callTimeout clock.Millis = 2000
)

// standinNode sends the heartbeats and watches of one node to the control group.
type standinNode struct {
	id      wire.NodeID
	group   wire.GroupID
	service wire.ServiceName
	domain  wire.FailureDomain
	// format is the delta format that the node requests.
	format  wire.DeltaFormat
	process wire.ProcessID
	control []wire.Address
	// lose stops the node without notifying the control group, as the loss of its
	// host does.
	lose     context.CancelFunc
	mu       sync.Mutex
	clients  map[wire.Address]*rpc.Client
	leader   wire.Address
	member   wire.Announcement
	view     view
	failures int
}

// view is the part of the routing table that a stand-in keeps. 300 whole tables in
// one process would use more resources than the measured control group.
type view struct {
	version  wire.Version
	revision wire.Revision
	moving   map[wire.PartitionID]wire.FencingToken
}

// deltaFields holds the fields of a wire.Delta that a stand-in reads.
type deltaFields struct {
	FromVersion wire.Version
	ToVersion   wire.Version
	Full        bool
	Revision    wire.Revision
	Partitions  json.RawMessage
}

type heartbeatResponse struct {
	Granted bool
	Refusal string
	Delta   deltaFields
}

type watchResponse struct {
	Delta deltaFields
}

// announce starts a new incarnation, as a node does when its lease is rejected.
func (v *standinNode) announce() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.member = wire.Announcement{
		Incarnation: wire.Incarnation(uuid.NewString()), Service: v.service,
		Slots: 10, Connections: 130, ChecksGrants: true, Sequence: v.member.Sequence + 1,
	}
}

func (v *standinNode) announcement() wire.Announcement {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.member
}

// client returns a client of the replica that the node assumes to be the leader.
func (v *standinNode) client() *rpc.Client {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.clients[v.leader]
	if c == nil {
		c = rpc.NewClient(string(v.leader))
		v.clients[v.leader] = c
	}
	return c
}

// fleet is a set of stand-in nodes.
type fleet struct {
	nodes   []*standinNode
	stop    context.CancelFunc
	running sync.WaitGroup
}

// startFleet starts n stand-in nodes.
func startFleet(ctx context.Context, n int, group wire.GroupID, service wire.ServiceName, control []wire.Address, format wire.DeltaFormat) *fleet {
	ctx, stop := context.WithCancel(ctx)
	f := &fleet{stop: stop}
	for i := range n {
		ctx, lose := context.WithCancel(ctx)
		v := &standinNode{
			id: wire.NodeID(fmt.Sprintf("node-%d", i)), group: group, service: service, format: format,
			domain:  wire.FailureDomain([]string{"dsm-a", "dsm-b", "dsm-c"}[i%3]),
			process: wire.ProcessID(uuid.NewString()),
			control: control, leader: control[0], clients: make(map[wire.Address]*rpc.Client),
			lose: lose,
			view: view{moving: make(map[wire.PartitionID]wire.FencingToken)},
		}
		v.announce()
		f.nodes = append(f.nodes, v)
		// Spread heartbeats over the interval, like those of independent nodes.
		delay := heartbeatInterval * clock.Millis(i) / clock.Millis(n)
		f.running.Go(func() { v.heartbeat(ctx, delay) })
		f.running.Go(func() { v.watch(ctx) })
	}
	return f
}

func (f *fleet) close() {
	f.stop()
	f.running.Wait()
	for _, v := range f.nodes {
		for _, c := range v.clients {
			c.Close()
		}
	}
}

// traffic returns the bytes that all nodes have sent and received.
func (f *fleet) traffic() (sent, received float64) {
	for _, v := range f.nodes {
		v.mu.Lock()
		for _, c := range v.clients {
			s, r := c.Traffic()
			sent += float64(s)
			received += float64(r)
		}
		v.mu.Unlock()
	}
	return sent, received
}

// failed returns the number of failed calls of all nodes.
func (f *fleet) failed() int {
	sum := 0
	for _, v := range f.nodes {
		v.mu.Lock()
		sum += v.failures
		v.mu.Unlock()
	}
	return sum
}

// lowestVersion returns the lowest table version among the first n nodes.
func (f *fleet) lowestVersion(n int) wire.Version {
	lowest, _, _ := f.nodes[0].snapshot()
	for _, v := range f.nodes[:n] {
		version, _, _ := v.snapshot()
		lowest = min(lowest, version)
	}
	return lowest
}

// lowestRevision returns the lowest configuration revision among all nodes.
func (f *fleet) lowestRevision() wire.Revision {
	_, lowest, _ := f.nodes[0].snapshot()
	for _, v := range f.nodes {
		_, revision, _ := v.snapshot()
		lowest = min(lowest, revision)
	}
	return lowest
}

// snapshot returns the version and revision of the view, and the grants that move
// to another owner. A stand-in has no requests in flight, so it reports these grants
// as released at once.
func (v *standinNode) snapshot() (wire.Version, wire.Revision, []wire.Grant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	grants := []wire.Grant{}
	for p, e := range v.view.moving {
		grants = append(grants, wire.Grant{Partition: p, FencingToken: e})
	}
	return v.view.version, v.view.revision, grants
}

// heartbeat sends heartbeats, the first after delay, until ctx ends.
func (v *standinNode) heartbeat(ctx context.Context, delay clock.Millis) {
	c := clock.System()
	for c.Sleep(ctx, delay) == nil {
		delay = heartbeatInterval
		version, revision, grants := v.snapshot()
		member, client := v.announcement(), v.client()
		request := wire.HeartbeatRequest{
			Group: v.group, Node: v.id, Process: v.process, Address: "127.0.0.1:1", FailureDomain: v.domain,
			DeltaFormat: v.format, KnownVersion: version, RevisionInForce: revision, Member: &member,
			Released: grants, Loads: []wire.PartitionLoad{}, HotKeys: []wire.HotKey{},
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		response, err := rpc.Call[heartbeatResponse](callCtx, client, wire.MethodNodeHeartbeat, request)
		cancel()
		v.recordFailure(ctx, client, err)
		if err != nil {
			continue
		}
		if !response.Granted {
			v.recordFailure(ctx, client, errors.New(response.Refusal))
			v.announce()
		}
		v.apply(response.Delta)
	}
}

// watch sends one watch after another until ctx ends.
func (v *standinNode) watch(ctx context.Context) {
	for ctx.Err() == nil {
		version, _, _ := v.snapshot()
		request := wire.WatchRequest{
			Group: v.group, Node: v.id, DeltaFormat: v.format,
			KnownVersion: version, WaitMillis: wire.Millis(watchWait),
		}
		client := v.client()
		callCtx, cancel := context.WithTimeout(ctx, (watchWait + callTimeout).Duration())
		response, err := rpc.Call[watchResponse](callCtx, client, wire.MethodNodeWatch, request)
		cancel()
		v.recordFailure(ctx, client, err)
		if err != nil {
			_ = clock.System().Sleep(ctx, heartbeatInterval)
			continue
		}
		v.apply(response.Delta)
	}
}

// recordFailure counts a failed call and selects another replica for the next one.
// It does nothing if err is nil or ctx has ended.
func (v *standinNode) recordFailure(ctx context.Context, client *rpc.Client, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failures++
	if v.leader != wire.Address(client.Address()) {
		return
	}
	var e *rpc.Error
	if errors.As(err, &e) && e.Leader != "" {
		v.leader = wire.Address(e.Leader)
		return
	}
	i := slices.Index(v.control, v.leader)
	v.leader = v.control[(i+1)%len(v.control)]
}

// apply updates the view from a delta. The responses to a heartbeat and a watch may
// contain the same changes; applying them again has no effect.
func (v *standinNode) apply(d deltaFields) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if d.ToVersion < v.view.version || (!d.Full && d.FromVersion > v.view.version) {
		return
	}
	v.view.version, v.view.revision = d.ToVersion, d.Revision
	if d.Full {
		clear(v.view.moving)
	}
	if len(v.view.moving) == 0 && !bytes.Contains(d.Partitions, []byte(v.member.Incarnation)) {
		return
	}
	var partitions wire.PartitionList
	if json.Unmarshal(d.Partitions, &partitions) != nil {
		return
	}
	for _, p := range partitions {
		delete(v.view.moving, p.Partition)
		if p.Owner == v.member.Incarnation && p.MovingTo != "" {
			v.view.moving[p.Partition] = p.FencingToken
		}
	}
}
