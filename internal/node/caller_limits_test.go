package node

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/control"
	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

const (
	// limitedNodes is the number of nodes that share the rate of a caller.
	limitedNodes = 5
	// limitedRate is the rate limit of a caller in requests per second.
	limitedRate = 60.0
)

// startRealControl starts a control group of one replica whose configuration limits each
// caller to limitedRate. It returns its address.
func startRealControl(t *testing.T) wire.Address {
	var listeners []net.Listener
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		listeners = append(listeners, l)
	}
	address := wire.Address(listeners[0].Addr().String())
	s := settings.Control{
		Group: "g", Name: "control-a", DataFolder: t.TempDir(), Replicas: map[wire.ReplicaID]wire.Address{"control-a": address},
		MetricsListen: wire.Address(listeners[1].Addr().String()),
	}
	runInBackground(t, func(ctx context.Context) error {
		return control.Runner{}.RunWithListeners(ctx, s, zerolog.Nop(), listeners[0], listeners[1])
	})
	client := rpc.NewClient(string(address))
	defer client.Close()
	identity := callUntilResponse[wire.IdentityResponse](t, client, wire.MethodReplicaIdentity, wire.IdentityRequest{Group: "g"})
	replica := wire.ReplicaMember{Name: identity.Name, Identity: identity.Identity, Address: address, Voter: true}
	callUntilResponse[wire.Ack](t, client, wire.MethodReplicaBootstrap, wire.BootstrapRequest{Group: "g", Members: []wire.ReplicaMember{replica}})
	callUntilResponse[wire.ApplyResponse](t, client, wire.MethodOperatorApply, wire.ApplyRequest{Group: "g", RequestID: "r", Configuration: wire.Configuration{
		Regions: []wire.RegionConfig{}, Services: []wire.ServiceConfig{{Name: "courier"}},
		Routes:       []wire.RouteConfig{{Name: "courier", Service: "courier", Methods: []string{"GET"}, Path: "/courier/", Repeatable: true, Class: wire.RouteClassNormal, DeadlineMillis: 10000}},
		CallerLimits: []wire.CallerLimit{{Class: wire.RouteClassNormal, RequestsPerSecond: limitedRate}},
	}})
	return address
}

// callUntilResponse retries a call until it succeeds. A rejection fails the test.
func callUntilResponse[Response any](t *testing.T, c *rpc.Client, method string, request any) (out Response) {
	var err error
	eventually(func() bool {
		out, err = rpc.Call[Response](t.Context(), c, method, request)
		return err == nil || rpc.IsCode(err, rpc.CodeRejected)
	})
	qt.Assert(t, err, qt.IsNil)
	return out
}

// callerLoad sends requests of one caller to several nodes until it is stopped.
type callerLoad struct {
	t       *testing.T
	caller  string
	start   clock.Millis
	stop    context.CancelFunc
	senders sync.WaitGroup

	mu         sync.Mutex
	admitted   []clock.Millis
	unexpected []string
}

// sendInterval is the delay between a response and the next request to the same node. It
// limits the load to 100 requests per second and node.
const sendInterval clock.Millis = 10

func startLoad(t *testing.T, caller string, nodes []*node) *callerLoad {
	ctx, stop := context.WithCancel(t.Context())
	load := &callerLoad{t: t, caller: caller, start: clock.System().Now(), stop: stop}
	for _, n := range nodes {
		load.senders.Go(func() {
			for clock.System().Sleep(ctx, sendInterval) == nil {
				load.send(n)
			}
		})
	}
	return load
}

func (l *callerLoad) send(n *node) {
	status, h, _, err := trySendRequest(http.MethodGet, string(n.settings.CallerListen), "/courier/x", map[string]string{header.Caller: l.caller}, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.unexpected = append(l.unexpected, err.Error())
	case status == http.StatusOK:
		l.admitted = append(l.admitted, clock.System().Now())
	case status != http.StatusTooManyRequests || h.Get(header.Outcome) != string(wire.OutcomeNotRun) || h.Get(header.Reason) != string(reasonCallerLimit):
		l.unexpected = append(l.unexpected, h.Get(header.Reason))
	}
}

// awaitAdmitted waits until the given number of further requests was admitted.
func (l *callerLoad) awaitAdmitted(more float64) {
	count := func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(len(l.admitted))
	}
	before := count()
	eventually(func() bool { return count() >= before+more })
}

// end stops the load and checks that no more requests were admitted than the rate and the
// specified burst allow. The burst is the rate for two seconds and one request per node.
func (l *callerLoad) end() {
	l.stop()
	l.senders.Wait()
	now := clock.System().Now()
	bound := limitedRate*((now-l.start).Duration().Seconds()+2) + limitedNodes
	recent := len(l.admitted) - slices.IndexFunc(append(l.admitted, now), func(at clock.Millis) bool { return at >= now-3000 })
	l.t.Logf("%s: %d requests in %v ms, at most %.0f; %.0f/s in the last 3 s, limit %.0f/s", l.caller, len(l.admitted), now-l.start, bound, float64(recent)/3, limitedRate)
	qt.Check(l.t, float64(len(l.admitted)) <= bound, qt.IsTrue)
	qt.Check(l.t, l.unexpected, qt.HasLen, 0)
}

// Guards against a caller that sends to one node and is limited to that node's equal share
// of its rate, against a caller that sends to all nodes and exceeds its rate, and against a
// share that does not follow a caller to another node. The test uses a real control
// replica and five nodes.
func TestCallerLimitsFollowDemand(t *testing.T) {
	fake := &fakeControl{address: startRealControl(t)}
	var nodes []*node
	for _, name := range []wire.NodeID{"a", "b", "c", "d", "e"} {
		n, _ := startNode(t, fake, name)
		startTarget(t, n, "courier", false)
		nodes = append(nodes, n)
	}
	eventually(func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool { return countNodes(n.routing.snapshot(), "a") < limitedNodes })
	})
	share := func(n int) float64 { return nodes[n].callerBudget.Share("one", limit.Normal) }
	all := startLoad(t, "all", nodes)
	one := startLoad(t, "one", nodes[:1])
	eventually(func() bool { return share(0) > 0.9 })
	t.Logf("share on one of %d nodes: %.2f", limitedNodes, share(0))
	one.awaitAdmitted(3 * limitedRate)
	one.end()
	afterMove := startLoad(t, "one", nodes[1:2])
	moveStart := clock.System().Now()
	eventually(func() bool { return share(1) > 0.8 })
	t.Logf("share on the second node %d ms after the caller moved there: %.2f, on the first: %.2f", clock.System().Now()-moveStart, share(1), share(0))
	afterMove.awaitAdmitted(3 * limitedRate)
	afterMove.end()
	all.end()
}
