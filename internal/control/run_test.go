package control_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/gentiansail/gentiansail/internal/control"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// controlReplica is one control replica on the loopback interface.
type controlReplica struct {
	settings settings.Control
	stop     context.CancelFunc
	done     chan error
	client   *rpc.Client
}

type cluster struct {
	t        *testing.T
	replicas []*controlReplica
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t}
	replicas := map[wire.ReplicaID]wire.Address{}
	var listeners []net.Listener
	for i := range 3 {
		l := c.listen("127.0.0.1:0")
		listeners = append(listeners, l)
		name := wire.ReplicaID(fmt.Sprint("control-", i))
		replicas[name] = wire.Address(l.Addr().String())
		c.replicas = append(c.replicas, &controlReplica{settings: settings.Control{Group: "tz", Name: name, DataFolder: t.TempDir(), Replicas: replicas}})
	}
	for i, replica := range c.replicas {
		replica.client = rpc.NewClient(string(replicas[replica.settings.Name]))
		c.start(replica, listeners[i])
	}
	t.Cleanup(func() {
		for _, replica := range c.replicas {
			replica.client.Close()
			replica.stop()
		}
		for _, replica := range c.replicas {
			qt.Check(t, <-replica.done, qt.IsNil)
		}
	})
	return c
}

func (c *cluster) listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	qt.Assert(c.t, err, qt.IsNil)
	return l
}

func (c *cluster) start(replica *controlReplica, l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	metrics := c.listen("127.0.0.1:0")
	replica.settings.MetricsListen = wire.Address(metrics.Addr().String())
	replica.stop, replica.done = cancel, make(chan error, 1)
	go func() {
		replica.done <- control.Runner{}.RunWithListeners(ctx, replica.settings, zerolog.Nop(), l, metrics)
	}()
}

// bootstrap reads the identity of every replica and bootstraps the group.
func (c *cluster) bootstrap() {
	request := wire.BootstrapRequest{Group: "tz"}
	for _, replica := range c.replicas {
		id := call[wire.IdentityResponse](c, replica.client, wire.MethodReplicaIdentity, wire.IdentityRequest{Group: "tz"})
		request.Members = append(request.Members, wire.ReplicaMember{Name: id.Name, Identity: id.Identity, Address: wire.Address(replica.client.Address()), Voter: true})
	}
	for _, replica := range c.replicas {
		call[wire.Ack](c, replica.client, wire.MethodReplicaBootstrap, request)
	}
}

// call calls one replica until the call succeeds.
func call[Response any](c *cluster, client *rpc.Client, method string, request any) Response {
	c.t.Helper()
	return callAny[Response](c, []*controlReplica{{client: client}}, method, request)
}

// callLeader calls the replicas in turn until a call succeeds.
func callLeader[Response any](c *cluster, method string, request any) Response {
	c.t.Helper()
	return callAny[Response](c, c.replicas, method, request)
}

// waitTimeout bounds each wait for a condition.
const waitTimeout = 20 * time.Second

func callAny[Response any](c *cluster, replicas []*controlReplica, method string, request any) Response {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	for {
		for _, replica := range replicas {
			attempt, done := context.WithTimeout(ctx, time.Second)
			out, err := rpc.Call[Response](attempt, replica.client, method, request)
			done()
			if err == nil {
				return out
			}
			qt.Assert(c.t, ctx.Err(), qt.IsNil, qt.Commentf("%s: %v", method, err))
		}
	}
}

func (c *cluster) status() wire.StatusResponse {
	return callLeader[wire.StatusResponse](c, wire.MethodOperatorStatus, wire.StatusRequest{Group: "tz"})
}

// awaitStatus requests the status until it meets a condition.
func (c *cluster) awaitStatus(wanted func(wire.StatusResponse) bool) wire.StatusResponse {
	end := time.Now().Add(waitTimeout)
	for {
		s := c.status()
		if wanted(s) {
			return s
		}
		qt.Assert(c.t, time.Now().Before(end), qt.IsTrue, qt.Commentf("%+v", s))
	}
}

// awaitHealthy waits until the group could lose any one replica.
func (c *cluster) awaitHealthy() wire.StatusResponse {
	return c.awaitStatus(func(s wire.StatusResponse) bool { return s.CanLoseOne && len(s.Replicas) == len(c.replicas) })
}

func (c *cluster) leader(s wire.StatusResponse) *controlReplica {
	for _, r := range s.Replicas {
		for _, replica := range c.replicas {
			if r.Leader && r.Name == replica.settings.Name {
				return replica
			}
		}
	}
	c.t.Fatal("status names no leader")
	return nil
}

func (c *cluster) restart(replica *controlReplica) {
	address := replica.client.Address()
	replica.stop()
	qt.Assert(c.t, <-replica.done, qt.IsNil)
	c.start(replica, c.listen(address))
}

// Guards against acknowledged changes that are lost with the leader, calls that
// a planned stop aborts, a replica that is never admitted again after it lost
// its data, and a health check that succeeds on a replica without a group.
func TestGroupSurvivesStopOfLeaderAndLossOfAFolder(t *testing.T) {
	c := newCluster(t)
	qt.Assert(t, c.replicas[0].health(t), qt.Equals, http.StatusServiceUnavailable)
	c.bootstrap()
	leader := c.leader(c.awaitHealthy())
	qt.Assert(t, leader.health(t), qt.Equals, http.StatusOK)
	apply := wire.ApplyRequest{Group: "tz", Operator: "uzi", RequestID: "r1", Configuration: wire.Configuration{
		Services: []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: 8, MoveBudget: 2}},
	}}
	first := callLeader[wire.ApplyResponse](c, wire.MethodOperatorApply, apply)
	qt.Assert(t, first.Accepted, qt.IsTrue)
	poll := make(chan error, 1)
	go func() {
		_, err := rpc.Call[wire.WatchResponse](context.Background(), leader.client, wire.MethodNodeWatch, wire.WatchRequest{Group: "tz", KnownVersion: 1 << 40, WaitMillis: 20000})
		poll <- err
	}()
	c.restart(leader)
	err := <-poll
	qt.Assert(t, rpc.IsCode(err, rpc.CodeUnavailable) || rpc.IsCode(err, rpc.CodeNotLeader) || errors.Is(err, rpc.ErrConnect), qt.IsTrue, qt.Commentf("%v", err))
	repeated := callLeader[wire.ApplyResponse](c, wire.MethodOperatorApply, apply)
	qt.Assert(t, repeated, qt.Equals, wire.ApplyResponse{Accepted: true, Revision: 1, Replayed: true})
	c.awaitHealthy()

	cleared := c.replicas[0]
	before := call[wire.IdentityResponse](c, cleared.client, wire.MethodReplicaIdentity, wire.IdentityRequest{Group: "tz"})
	cleared.settings.DataFolder = t.TempDir()
	c.restart(cleared)
	last := c.awaitStatus(func(s wire.StatusResponse) bool {
		return s.CanLoseOne && slices.ContainsFunc(s.Replicas, func(r wire.ReplicaStatus) bool {
			return r.Name == cleared.settings.Name && r.Identity != before.Identity && r.Voter
		})
	})
	qt.Assert(t, last.Services, qt.HasLen, 1)
	qt.Assert(t, last.Services[0].Partitions, qt.Equals, 8)
}

// Guards against a bootstrap request that names only some of the replicas. It
// would create a group of one, which has no majority over the others.
func TestBootstrapNeedsEveryReplica(t *testing.T) {
	c := newCluster(t)
	client := c.replicas[0].client
	id := call[wire.IdentityResponse](c, client, wire.MethodReplicaIdentity, wire.IdentityRequest{Group: "tz"})
	_, err := rpc.Call[wire.Ack](t.Context(), client, wire.MethodReplicaBootstrap, wire.BootstrapRequest{Group: "tz", Members: []wire.ReplicaMember{
		{Name: id.Name, Identity: id.Identity, Address: wire.Address(client.Address()), Voter: true},
	}})
	qt.Assert(t, rpc.IsCode(err, rpc.CodeRejected), qt.IsTrue, qt.Commentf("%v", err))
	id = call[wire.IdentityResponse](c, client, wire.MethodReplicaIdentity, wire.IdentityRequest{Group: "tz"})
	qt.Assert(t, id.Empty, qt.IsTrue)
	c.bootstrap()
}

// health returns the HTTP status code of a replica's health check.
func (r *controlReplica) health(t *testing.T) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + string(r.settings.MetricsListen) + "/healthz")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	return response.StatusCode
}

// node simulates a node process: it renews the lease of one member and applies
// routing table deltas.
type node struct {
	name   string
	table  *table.Table
	cancel context.CancelFunc
	done   chan struct{}
}

func (c *cluster) startNode(name string) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{name: name, table: table.New(), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		for i := 0; clock.System().Sleep(ctx, 100) == nil; {
			if !n.sendHeartbeat(ctx, c.replicas[i%len(c.replicas)].client) {
				i++
			}
		}
	}()
	c.t.Cleanup(n.stop)
	return n
}

func (n *node) stop() {
	n.cancel()
	<-n.done
}

func (n *node) sendHeartbeat(ctx context.Context, client *rpc.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request := wire.HeartbeatRequest{
		Group: "tz", Node: wire.NodeID(n.name), Process: wire.ProcessID(n.name), KnownVersion: n.table.Snapshot().Version(),
		Member: &wire.Announcement{Incarnation: wire.Incarnation(n.name), Service: "catalogue", Slots: 10, Sequence: 1},
	}
	out, err := rpc.Call[wire.HeartbeatResponse](ctx, client, wire.MethodNodeHeartbeat, request)
	return err == nil && n.table.Apply(out.Delta) == nil
}

// awaitOwned waits until the members own these numbers of partitions in the
// node's table, and logs the time that it took.
func (n *node) awaitOwned(t *testing.T, want map[wire.Incarnation]int) {
	t.Helper()
	begin := time.Now()
	for {
		got := map[wire.Incarnation]int{}
		for i := range want {
			got[i] = len(n.table.Snapshot().PartitionsOwnedBy(i))
		}
		if maps.Equal(got, want) {
			t.Logf("%v after %v", want, time.Since(begin))
			return
		}
		qt.Assert(t, time.Since(begin) < waitTimeout, qt.IsTrue, qt.Commentf("%v", got))
		qt.Assert(t, clock.System().Sleep(t.Context(), 5), qt.IsNil)
	}
}

// Guards against partitions that are not reassigned after the loss of a member,
// and against a change of the leader that takes partitions from members that
// renew their leases.
func TestPartitionsFollowMembersThroughLossAndChangeOfLeader(t *testing.T) {
	c := newCluster(t)
	c.bootstrap()
	leader := c.leader(c.awaitHealthy())
	a, b := c.startNode("i1"), c.startNode("i2")
	callLeader[wire.ApplyResponse](c, wire.MethodOperatorApply, wire.ApplyRequest{Group: "tz", Operator: "uzi", RequestID: "r1", Configuration: wire.Configuration{
		Services: []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: 8, MoveBudget: 2}},
	}})
	b.awaitOwned(t, map[wire.Incarnation]int{"i1": 4, "i2": 4})
	ownedBefore := b.table.Snapshot().PartitionsOwnedBy("i1")
	c.restart(leader)
	c.awaitHealthy()
	b.awaitOwned(t, map[wire.Incarnation]int{"i1": 4, "i2": 4})
	qt.Assert(t, b.table.Snapshot().PartitionsOwnedBy("i1"), qt.DeepEquals, ownedBefore)
	a.stop()
	b.awaitOwned(t, map[wire.Incarnation]int{"i1": 0, "i2": 8})
}
