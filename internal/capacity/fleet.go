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
	// heartbeatEvery is the interval of a node's heartbeats.
	heartbeatEvery clock.Millis = 200
	// watchWait is how long a node lets the leader hold a watch.
	watchWait clock.Millis = 2000
	// callTimeout bounds a call besides the time that a watch is held.
	callTimeout clock.Millis = 2000
)

// standinNode does what a node does towards the control group.
type standinNode struct {
	id      wire.NodeID
	group   wire.GroupID
	service wire.ServiceName
	domain  wire.FailureDomain
	// format is the form of delta that the node understands.
	format  wire.DeltaFormat
	process wire.ProcessID
	control []wire.Address
	// lose ends the node without a word, as the loss of its host does.
	lose     context.CancelFunc
	mu       sync.Mutex
	clients  map[wire.Address]*rpc.Client
	leader   wire.Address
	member   wire.Announcement
	view     view
	failures int
}

// view is what a stand-in keeps of the routing table. 300 whole tables in one
// process would cost more than the control group that is measured.
type view struct {
	version  wire.Version
	revision wire.Revision
	moving   map[wire.PartitionID]wire.FencingToken
}

// change is the part of a wire.Delta that a stand-in reads.
type change struct {
	FromVersion wire.Version
	ToVersion   wire.Version
	Full        bool
	Revision    wire.Revision
	Partitions  json.RawMessage
}

type heartbeatResponse struct {
	Granted bool
	Refusal string
	Delta   change
}

type watchResponse struct {
	Delta change
}

// announce starts a new incarnation, as a node does when its lease is refused.
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

// client returns a client of the replica that is taken for the leader.
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
	nodes []*standinNode
	stop  context.CancelFunc
	ends  sync.WaitGroup
}

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
		// Spread heartbeats over the interval, as independent nodes would.
		delay := heartbeatEvery * clock.Millis(i) / clock.Millis(n)
		f.ends.Go(func() { v.heartbeat(ctx, delay) })
		f.ends.Go(func() { v.watch(ctx) })
	}
	return f
}

func (f *fleet) close() {
	f.stop()
	f.ends.Wait()
	for _, v := range f.nodes {
		for _, c := range v.clients {
			c.Close()
		}
	}
}

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
	low, _, _ := f.nodes[0].seen()
	for _, v := range f.nodes[:n] {
		version, _, _ := v.seen()
		low = min(low, version)
	}
	return low
}

// lowestRevision returns the lowest revision that any node has in its table.
func (f *fleet) lowestRevision() wire.Revision {
	_, low, _ := f.nodes[0].seen()
	for _, v := range f.nodes {
		_, revision, _ := v.seen()
		low = min(low, revision)
	}
	return low
}

// seen returns the version and revision of the view, and the grants that are
// moving away. A stand-in has no requests in flight, so it releases at once.
func (v *standinNode) seen() (wire.Version, wire.Revision, []wire.Grant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	grants := []wire.Grant{}
	for p, e := range v.view.moving {
		grants = append(grants, wire.Grant{Partition: p, FencingToken: e})
	}
	return v.view.version, v.view.revision, grants
}

func (v *standinNode) heartbeat(ctx context.Context, delay clock.Millis) {
	c := clock.System()
	for c.Sleep(ctx, delay) == nil {
		delay = heartbeatEvery
		version, revision, grants := v.seen()
		member, client := v.announcement(), v.client()
		request := wire.HeartbeatRequest{
			Group: v.group, Node: v.id, Process: v.process, Address: "127.0.0.1:1", FailureDomain: v.domain,
			DeltaFormat: v.format, KnownVersion: version, RevisionInForce: revision, Member: &member,
			Released: grants, Loads: []wire.PartitionLoad{}, HotKeys: []wire.HotKey{},
		}
		timed, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		response, err := rpc.Call[heartbeatResponse](timed, client, wire.MethodNodeHeartbeat, request)
		cancel()
		v.note(ctx, client, err)
		if err != nil {
			continue
		}
		if !response.Granted {
			v.note(ctx, client, errors.New(response.Refusal))
			v.announce()
		}
		v.apply(response.Delta)
	}
}

func (v *standinNode) watch(ctx context.Context) {
	for ctx.Err() == nil {
		version, _, _ := v.seen()
		request := wire.WatchRequest{
			Group: v.group, Node: v.id, DeltaFormat: v.format,
			KnownVersion: version, WaitMillis: wire.Millis(watchWait),
		}
		client := v.client()
		timed, cancel := context.WithTimeout(ctx, (watchWait + callTimeout).Duration())
		response, err := rpc.Call[watchResponse](timed, client, wire.MethodNodeWatch, request)
		cancel()
		v.note(ctx, client, err)
		if err != nil {
			_ = clock.System().Sleep(ctx, heartbeatEvery)
			continue
		}
		v.apply(response.Delta)
	}
}

// note counts a failed call and chooses another replica for the next one.
func (v *standinNode) note(ctx context.Context, asked *rpc.Client, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failures++
	if v.leader != wire.Address(asked.Address()) {
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

// apply brings the view forward. Heartbeat and watch may carry the same changes;
// the second has no effect.
func (v *standinNode) apply(d change) {
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
