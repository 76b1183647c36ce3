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

// host is one control replica on loopback.
type host struct {
	settings settings.Control
	stop     context.CancelFunc
	done     chan error
	client   *rpc.Client
}

type cluster struct {
	t     *testing.T
	hosts []*host
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
		c.hosts = append(c.hosts, &host{settings: settings.Control{Group: "tz", Name: name, DataFolder: t.TempDir(), Replicas: replicas}})
	}
	for i, h := range c.hosts {
		h.client = rpc.NewClient(string(replicas[h.settings.Name]))
		c.start(h, listeners[i])
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			h.client.Close()
			h.stop()
		}
		for _, h := range c.hosts {
			qt.Check(t, <-h.done, qt.IsNil)
		}
	})
	return c
}

func (c *cluster) listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	qt.Assert(c.t, err, qt.IsNil)
	return l
}

func (c *cluster) start(h *host, l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	metrics := c.listen("127.0.0.1:0")
	h.settings.MetricsListen = wire.Address(metrics.Addr().String())
	h.stop, h.done = cancel, make(chan error, 1)
	go func() { h.done <- control.Runner{}.RunWithListeners(ctx, h.settings, zerolog.Nop(), l, metrics) }()
}

// found contacts every replica and founds the group.
func (c *cluster) found() {
	request := wire.BootstrapRequest{Group: "tz"}
	for _, h := range c.hosts {
		id := ask[wire.IdentityResponse](c, h.client, wire.MethodReplicaIdentity, wire.IdentityRequest{Group: "tz"})
		request.Members = append(request.Members, wire.ReplicaMember{Name: id.Name, Identity: id.Identity, Address: wire.Address(h.client.Address()), Voter: true})
	}
	for _, h := range c.hosts {
		ask[wire.Ack](c, h.client, wire.MethodReplicaBootstrap, request)
	}
}

// ask calls one replica until it answers.
func ask[Response any](c *cluster, client *rpc.Client, method string, request any) Response {
	c.t.Helper()
	return askAny[Response](c, []*host{{client: client}}, method, request)
}

// askLeader calls the replicas in turn until one answers.
func askLeader[Response any](c *cluster, method string, request any) Response {
	c.t.Helper()
	return askAny[Response](c, c.hosts, method, request)
}

// giveUp ends a test that would wait for ever.
const giveUp = 20 * time.Second

func askAny[Response any](c *cluster, hosts []*host, method string, request any) Response {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), giveUp)
	defer cancel()
	for {
		for _, h := range hosts {
			attempt, done := context.WithTimeout(ctx, time.Second)
			out, err := rpc.Call[Response](attempt, h.client, method, request)
			done()
			if err == nil {
				return out
			}
			qt.Assert(c.t, ctx.Err(), qt.IsNil, qt.Commentf("%s: %v", method, err))
		}
	}
}

func (c *cluster) status() wire.StatusResponse {
	return askLeader[wire.StatusResponse](c, wire.MethodOperatorStatus, wire.StatusRequest{Group: "tz"})
}

// await asks for the status until it is as wanted.
func (c *cluster) await(wanted func(wire.StatusResponse) bool) wire.StatusResponse {
	end := time.Now().Add(giveUp)
	for {
		s := c.status()
		if wanted(s) {
			return s
		}
		qt.Assert(c.t, time.Now().Before(end), qt.IsTrue, qt.Commentf("%+v", s))
	}
}

// awaitHealthy waits until the loss of any one replica would be survived.
func (c *cluster) awaitHealthy() wire.StatusResponse {
	return c.await(func(s wire.StatusResponse) bool { return s.CanLoseOne && len(s.Replicas) == len(c.hosts) })
}

func (c *cluster) leader(s wire.StatusResponse) *host {
	for _, r := range s.Replicas {
		for _, h := range c.hosts {
			if r.Leader && r.Name == h.settings.Name {
				return h
			}
		}
	}
	c.t.Fatal("status names no leader")
	return nil
}

func (c *cluster) restart(h *host) {
	address := h.client.Address()
	h.stop()
	qt.Assert(c.t, <-h.done, qt.IsNil)
	c.start(h, c.listen(address))
}

// Guards against acknowledged changes that are lost with the leader, calls that
// a planned stop cuts off, an emptied replica that is never admitted again, and
// a health check that reports a replica without a group as able to work.
func TestGroupSurvivesStopOfLeaderAndLossOfAFolder(t *testing.T) {
	c := newCluster(t)
	qt.Assert(t, c.hosts[0].health(t), qt.Equals, http.StatusServiceUnavailable)
	c.found()
	leader := c.leader(c.awaitHealthy())
	qt.Assert(t, leader.health(t), qt.Equals, http.StatusOK)
	apply := wire.ApplyRequest{Group: "tz", Operator: "uzi", RequestID: "r1", Configuration: wire.Configuration{
		Services: []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: 8, MoveBudget: 2}},
	}}
	first := askLeader[wire.ApplyResponse](c, wire.MethodOperatorApply, apply)
	qt.Assert(t, first.Accepted, qt.IsTrue)
	poll := make(chan error, 1)
	go func() {
		_, err := rpc.Call[wire.WatchResponse](context.Background(), leader.client, wire.MethodNodeWatch, wire.WatchRequest{Group: "tz", KnownVersion: 1 << 40, WaitMillis: 20000})
		poll <- err
	}()
	c.restart(leader)
	err := <-poll
	qt.Assert(t, rpc.IsCode(err, rpc.CodeUnavailable) || rpc.IsCode(err, rpc.CodeNotLeader) || errors.Is(err, rpc.ErrConnect), qt.IsTrue, qt.Commentf("%v", err))
	again := askLeader[wire.ApplyResponse](c, wire.MethodOperatorApply, apply)
	qt.Assert(t, again, qt.Equals, wire.ApplyResponse{Accepted: true, Revision: 1, Replayed: true})
	c.awaitHealthy()

	emptied := c.hosts[0]
	before := ask[wire.IdentityResponse](c, emptied.client, wire.MethodReplicaIdentity, wire.IdentityRequest{Group: "tz"})
	emptied.settings.DataFolder = t.TempDir()
	c.restart(emptied)
	last := c.await(func(s wire.StatusResponse) bool {
		return s.CanLoseOne && slices.ContainsFunc(s.Replicas, func(r wire.ReplicaStatus) bool {
			return r.Name == emptied.settings.Name && r.Identity != before.Identity && r.Voter
		})
	})
	qt.Assert(t, last.Services, qt.HasLen, 1)
	qt.Assert(t, last.Services[0].Partitions, qt.Equals, 8)
}

// Guards against a group of one, whose majority would not bind the other
// replicas: bootstrap with some of the addresses must be refused.
func TestBootstrapNeedsEveryReplica(t *testing.T) {
	c := newCluster(t)
	client := c.hosts[0].client
	id := ask[wire.IdentityResponse](c, client, wire.MethodReplicaIdentity, wire.IdentityRequest{Group: "tz"})
	_, err := rpc.Call[wire.Ack](t.Context(), client, wire.MethodReplicaBootstrap, wire.BootstrapRequest{Group: "tz", Members: []wire.ReplicaMember{
		{Name: id.Name, Identity: id.Identity, Address: wire.Address(client.Address()), Voter: true},
	}})
	qt.Assert(t, rpc.IsCode(err, rpc.CodeRefused), qt.IsTrue, qt.Commentf("%v", err))
	id = ask[wire.IdentityResponse](c, client, wire.MethodReplicaIdentity, wire.IdentityRequest{Group: "tz"})
	qt.Assert(t, id.Empty, qt.IsTrue)
	c.found()
}

// health returns the status code of a replica's health check.
func (h *host) health(t *testing.T) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + string(h.settings.MetricsListen) + "/healthz")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Body.Close(), qt.IsNil)
	return r.StatusCode
}

// node stands in for a node process: it renews its lease and keeps a table.
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
			if !n.beat(ctx, c.hosts[i%len(c.hosts)].client) {
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

func (n *node) beat(ctx context.Context, client *rpc.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request := wire.HeartbeatRequest{
		Group: "tz", Node: wire.NodeID(n.name), Process: wire.ProcessID(n.name), KnownVersion: n.table.Snapshot().Version(),
		Member: &wire.Announcement{Incarnation: wire.Incarnation(n.name), Service: "catalogue", Slots: 10, Sequence: 1},
	}
	out, err := rpc.Call[wire.HeartbeatResponse](ctx, client, wire.MethodNodeHeartbeat, request)
	return err == nil && n.table.Apply(out.Delta) == nil
}

// await waits until the node's table gives the members these numbers of
// partitions.
func (n *node) await(t *testing.T, want map[wire.Incarnation]int) {
	t.Helper()
	begin := time.Now()
	for {
		got := map[wire.Incarnation]int{}
		for i := range want {
			got[i] = len(n.table.Snapshot().Owned(i))
		}
		if maps.Equal(got, want) {
			t.Logf("%v after %v", want, time.Since(begin))
			return
		}
		qt.Assert(t, time.Since(begin) < giveUp, qt.IsTrue, qt.Commentf("%v", got))
		qt.Assert(t, clock.System().Sleep(t.Context(), 5), qt.IsNil)
	}
}

// Guards against partitions that stay with a lost member, and against a leader
// change that takes partitions from members that renew their leases.
func TestPartitionsFollowMembersThroughLossAndChangeOfLeader(t *testing.T) {
	c := newCluster(t)
	c.found()
	leader := c.leader(c.awaitHealthy())
	a, b := c.startNode("i1"), c.startNode("i2")
	askLeader[wire.ApplyResponse](c, wire.MethodOperatorApply, wire.ApplyRequest{Group: "tz", Operator: "uzi", RequestID: "r1", Configuration: wire.Configuration{
		Services: []wire.ServiceConfig{{Name: "catalogue", Keyed: true, Partitions: 8, MoveBudget: 2}},
	}})
	b.await(t, map[wire.Incarnation]int{"i1": 4, "i2": 4})
	epochs := b.table.Snapshot().Owned("i1")
	c.restart(leader)
	c.awaitHealthy()
	b.await(t, map[wire.Incarnation]int{"i1": 4, "i2": 4})
	qt.Assert(t, b.table.Snapshot().Owned("i1"), qt.DeepEquals, epochs)
	a.stop()
	b.await(t, map[wire.Incarnation]int{"i1": 0, "i2": 8})
}
