package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/standin"
	"github.com/gentiansail/gentiansail/internal/state"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// partitions is the number of partitions of the keyed service.
const partitions = 4

// fakeControl is a control group of one replica without log, disk or elections. It
// consists of the real state machine and an RPC server.
type fakeControl struct {
	machine *state.Machine
	address wire.Address

	mu                 sync.Mutex
	index              wire.Version
	down               bool // rejects all calls
	fullConfigurations int  // complete configurations sent, except in a node's first table
	// advertisedAddresses override the peer addresses in the nodes' heartbeats.
	advertisedAddresses map[wire.NodeID]wire.Address
}

func startControl(t *testing.T) *fakeControl {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	control := &fakeControl{machine: state.New("g"), address: wire.Address(l.Addr().String())}
	routes := []wire.RouteConfig{
		{Name: "browse", Service: "catalogue", Methods: []string{"GET"}, Path: "/catalogue/", Key: &wire.KeySource{From: wire.KeyLocationPathSegment, Segment: 2}, Repeatable: true, Class: wire.RouteClassBrowse, DeadlineMillis: 10000},
		{Name: "pledge", Service: "catalogue", Methods: []string{"POST"}, Path: "/catalogue/", Key: &wire.KeySource{From: wire.KeyLocationPathSegment, Segment: 2}, Class: wire.RouteClassCritical, DeadlineMillis: 10000},
		{Name: "courier", Service: "courier", Methods: []string{"GET"}, Path: "/courier/", Repeatable: true, Class: wire.RouteClassNormal, DeadlineMillis: 10000},
	}
	services := []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: partitions, MoveBudget: 4}, {Name: "courier"}}
	control.commit(wire.Command{Apply: &wire.ApplyRequest{RequestID: "r", Configuration: wire.Configuration{Services: services, Routes: routes}}})
	s := rpc.NewServer()
	rpc.Handle(s, wire.MethodNodeHeartbeat, control.heartbeat)
	rpc.Handle(s, wire.MethodNodeWatch, control.watch)
	rpc.Handle(s, wire.MethodNodeDown, func(_ context.Context, r wire.DownRequest) (wire.DownResponse, error) {
		return wire.DownResponse{}, control.commit(wire.Command{MemberDown: &wire.MemberDown{Incarnation: r.Incarnation, Reason: r.Reason, Crashed: r.Crashed, InFlight: r.InFlight}}).Err
	})
	rpc.Handle(s, wire.MethodOperationBegin, func(_ context.Context, r wire.BeginRequest) (wire.BeginResponse, error) {
		out := control.commit(wire.Command{Begin: &r})
		if out.Err != nil {
			return wire.BeginResponse{}, rejection(out.Err)
		}
		return *out.Begin, nil
	})
	rpc.Handle(s, wire.MethodOperationFinish, func(_ context.Context, r wire.FinishRequest) (wire.Ack, error) {
		return wire.Ack{}, rejection(control.commit(wire.Command{Finish: &r}).Err)
	})
	rpc.Handle(s, wire.MethodSuspectClear, func(_ context.Context, r wire.ClearSuspectRequest) (wire.Ack, error) {
		return wire.Ack{}, rejection(control.commit(wire.Command{ClearSuspect: &r}).Err)
	})
	runInBackground(t, func(ctx context.Context) error { return s.Serve(ctx, l) })
	return control
}

func rejection(err error) error {
	if err == nil {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeRejected, Message: err.Error()}
}

// runInBackground starts f, and cancels and awaits it at the end of the test.
func runInBackground(t *testing.T, f func(ctx context.Context) error) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return cancel
}

func (f *fakeControl) commit(c wire.Command) state.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	c.ProposedAt = wire.UnixMillis(clock.System().Wall())
	data, _ := json.Marshal(c)
	return f.machine.Apply(f.index, data)
}

func (f *fakeControl) setDown(v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = v
}

func (f *fakeControl) advertiseAddress(node wire.NodeID, address wire.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advertisedAddresses = map[wire.NodeID]wire.Address{node: address}
}

func (f *fakeControl) peerAddress(r wire.HeartbeatRequest) wire.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a, ok := f.advertisedAddresses[r.Node]; ok {
		return a
	}
	return r.Address
}

func (f *fakeControl) checkAvailable() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return &rpc.Error{Code: rpc.CodeUnavailable, Message: "fake control group is down"}
	}
	return nil
}

func (f *fakeControl) heartbeat(_ context.Context, request wire.HeartbeatRequest) (wire.HeartbeatResponse, error) {
	if err := f.checkAvailable(); err != nil {
		return wire.HeartbeatResponse{}, err
	}
	out := wire.HeartbeatResponse{Granted: true, LeaseMillis: 900}
	if announced := request.Member; announced != nil {
		m := wire.Member{Incarnation: announced.Incarnation, Node: request.Node, Address: f.peerAddress(request), Service: announced.Service, Slots: announced.Slots, Connections: announced.Connections, ChecksGrants: announced.ChecksGrants, Draining: request.Stopping}
		if err := f.commit(wire.Command{RegisterMember: &wire.RegisterMember{Member: m}}).Err; errors.Is(err, state.ErrIncarnationEnded) {
			out.Granted, out.RejectReason = false, "incarnation has ended"
		}
		if len(request.Released) > 0 {
			f.commit(wire.Command{MoveRelease: &wire.MoveRelease{Incarnation: announced.Incarnation, Grants: request.Released}})
		}
		f.assign()
	}
	out.Delta = f.delta(request.DeltaFormat, request.KnownVersion)
	return out, nil
}

func (f *fakeControl) delta(format wire.DeltaFormat, known wire.Version) wire.Delta {
	d := f.machine.DeltaInFormat(format, known)
	f.mu.Lock()
	defer f.mu.Unlock()
	if known > 0 && d.Configuration != nil {
		f.fullConfigurations++
	}
	return d
}

// assign assigns unowned partitions to the members that are not draining.
func (f *fakeControl) assign() {
	var candidates []wire.Incarnation
	for _, m := range f.machine.MemberList() {
		if m.Service == "catalogue" && !m.Draining {
			candidates = append(candidates, m.Incarnation)
		}
	}
	var moves []wire.Move
	for n, p := range f.machine.PartitionList() {
		if p.Owner == "" && len(candidates) > 0 {
			moves = append(moves, wire.Move{Partition: p.Partition, FencingToken: p.FencingToken, To: candidates[n%len(candidates)]})
		}
	}
	if len(moves) > 0 {
		f.commit(wire.Command{Assign: &wire.Assign{Moves: moves, Reason: "test"}})
	}
}

func (f *fakeControl) watch(ctx context.Context, r wire.WatchRequest) (wire.WatchResponse, error) {
	if err := f.checkAvailable(); err != nil {
		return wire.WatchResponse{}, err
	}
	changed := f.machine.TableChanged()
	if f.machine.LastTableChange() <= r.KnownVersion {
		timed, cancel := context.WithTimeout(ctx, clock.Millis(r.WaitMillis).Duration())
		defer cancel()
		select {
		case <-changed:
		case <-timed.Done():
		}
	}
	return wire.WatchResponse{Delta: f.delta(r.DeltaFormat, r.KnownVersion)}, nil
}

// testTarget is a stand-in target. A crash closes its listener and connections instead of
// ending the process.
type testTarget struct {
	*standin.Standin
	server  *http.Server
	crashed chan struct{}
}

func startTarget(t *testing.T, n *node, service wire.ServiceName, checksGrants bool) *testTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	started := &testTarget{crashed: make(chan struct{})}
	var once sync.Once
	started.Standin = standin.New(standin.Options{Service: service, Slots: 10, ChecksGrants: checksGrants, Exit: func(int) {
		once.Do(func() {
			close(started.crashed)
			_ = started.server.Close()
		})
		runtime.Goexit()
	}})
	started.server = &http.Server{Handler: started.Handler()}
	runInBackground(t, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = started.server.Close() })
		defer stop()
		_ = started.server.Serve(l)
		return nil
	})
	announcement := fmt.Sprintf(`{"Service":%q,"Address":%q,"Slots":10,"Connections":100,"ChecksGrants":%v}`, service, l.Addr(), checksGrants)
	status, _, body := sendRequest(t, http.MethodPost, string(n.settings.TargetListen), "/v1/announce", nil, announcement)
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	return started
}

// startNode starts a node. It returns the node and a function that starts its stop.
func startNode(t *testing.T, control *fakeControl, name wire.NodeID) (*node, context.CancelFunc) {
	anyPort := wire.Address("127.0.0.1:0")
	s := settings.Node{Group: "g", Name: name, CallerListen: anyPort, PeerListen: anyPort, TargetListen: anyPort, MetricsListen: anyPort, Control: []wire.Address{control.address}}
	l, err := listen(&s)
	qt.Assert(t, err, qt.IsNil)
	processCtx, cancel := context.WithCancel(context.Background())
	n := newNode(processCtx, s, zerolog.New(zerolog.NewTestWriter(t)))
	stop := runInBackground(t, func(ctx context.Context) error { return n.run(ctx, l, cancel) })
	return n, stop
}

// sendRequest sends one request over a new connection.
func sendRequest(t *testing.T, method, address, path string, h map[string]string, body string) (int, http.Header, string) {
	status, header, data, err := trySendRequest(method, address, path, h, body)
	qt.Assert(t, err, qt.IsNil)
	return status, header, data
}

func trySendRequest(method, address, path string, h map[string]string, body string) (int, http.Header, string, error) {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	r.Close = true
	for k, v := range h {
		r.Header.Set(k, v)
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(data), err
}

// eventually waits until a condition holds, at most until the timeout of the test.
func eventually(condition func() bool) {
	for !condition() {
		_ = clock.System().Sleep(context.Background(), 5)
	}
}

// awaitServing waits until every partition has an owner that is in the fresh routing
// tables of all given nodes.
func awaitServing(control *fakeControl, nodes ...*node) {
	eventually(func() bool {
		for _, n := range nodes {
			for _, p := range control.machine.PartitionList() {
				inTable, _ := n.routing.snapshot().PartitionByID(p.Partition)
				if p.Owner == "" || inTable != p || !n.routing.fresh() {
					return false
				}
			}
		}
		return true
	})
}

func (f *fakeControl) owner(key string) wire.Partition {
	p, _ := f.machine.PartitionOfKey("catalogue", key)
	return p
}

// startMove starts the move of a key's partition to the node's member. It returns the
// partition's state before the move.
func (f *fakeControl) startMove(key string, to *node) wire.Partition {
	p := f.owner(key)
	f.commit(wire.Command{MoveStart: &wire.MoveStart{Moves: []wire.Move{{Partition: p.Partition, FencingToken: p.FencingToken, To: to.targets.current().incarnation}}}})
	return p
}

// awaitMoveInTable waits until the node's table shows that the move of a partition has
// started or ended.
func awaitMoveInTable(n *node, before wire.Partition) {
	eventually(func() bool {
		inTable, _ := n.routing.snapshot().PartitionByID(before.Partition)
		return inTable.MovingTo != "" || inTable.Owner != before.Owner
	})
}

// nodePair is two nodes with one target each, of which the first owns all partitions.
type nodePair struct {
	control       *fakeControl
	owner, other  *node
	first, second *testTarget
	// stopOwner starts the stop of the owner's node.
	stopOwner context.CancelFunc
}

func startPair(t *testing.T) nodePair {
	pair := nodePair{control: startControl(t)}
	pair.owner, pair.stopOwner = startNode(t, pair.control, "a")
	pair.first = startTarget(t, pair.owner, "catalogue", true)
	awaitServing(pair.control, pair.owner)
	pair.other, _ = startNode(t, pair.control, "b")
	pair.second = startTarget(t, pair.other, "catalogue", true)
	eventually(func() bool { return len(pair.other.routing.snapshot().MembersOfService("catalogue")) == 2 })
	return pair
}
