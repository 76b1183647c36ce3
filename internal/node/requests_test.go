package node

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// Guards against a request with an idempotency key that runs twice, against a resend that
// gets another response than the first request, and against a key that returns the response
// of a different request.
func TestRunsAtMostOnce(t *testing.T) {
	c := qt.New(t)
	control := startControl(t)
	a, _ := startNode(t, control, "a")
	b, _ := startNode(t, control, "b")
	target := startTarget(t, a, "catalogue", true)
	awaitServing(control, a, b)
	key := uuid.Must(uuid.NewV7()).String()
	h := map[string]string{header.IdempotencyKey: key, header.Caller: "coordinator"}
	status, _, first := sendRequest(t, http.MethodPost, string(a.settings.CallerListen), "/catalogue/clinic", h, "batch of 10")
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", first))
	for _, n := range []*node{a, b} {
		status, got, resent := sendRequest(t, http.MethodPost, string(n.settings.CallerListen), "/catalogue/clinic", h, "batch of 10")
		c.Assert(status, qt.Equals, 200)
		c.Assert(resent, qt.Equals, first)
		c.Assert(got.Get(header.Replayed), qt.Equals, "true")
		c.Assert(got.Get(header.Member), qt.Equals, "")
	}
	tests := map[string]struct {
		header map[string]string
		body   string
		status int
		reason reasonCode
	}{
		"other body":   {header: h, body: "batch of 11", status: 422, reason: reasonKeyReused},
		"other caller": {header: map[string]string{header.IdempotencyKey: key}, body: "batch of 10", status: 422, reason: reasonKeyReused},
		"no key":       {body: "batch of 10", status: 400, reason: reasonNoOperation},
		"old key":      {header: map[string]string{header.IdempotencyKey: "01800000-0000-7000-8000-000000000000"}, status: 410, reason: reasonExpired},
		"future key":   {header: map[string]string{header.IdempotencyKey: "f0000000-0000-7000-8000-000000000000"}, status: 400, reason: reasonFuture},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			status, got, _ := sendRequest(t, http.MethodPost, string(b.settings.CallerListen), "/catalogue/clinic", tt.header, tt.body)
			qt.Assert(t, status, qt.Equals, tt.status)
			qt.Assert(t, got.Get(header.Reason), qt.Equals, string(tt.reason))
			qt.Assert(t, got.Get(header.Outcome), qt.Equals, "not-run")
		})
	}
	c.Assert(target.Runs(), qt.HasLen, 1)
}

// Guards against concurrent resends that run while the first request is still running.
func TestConcurrentResendsWait(t *testing.T) {
	c := qt.New(t)
	control := startControl(t)
	a, _ := startNode(t, control, "a")
	target := startTarget(t, a, "catalogue", false)
	awaitServing(control, a)
	h := map[string]string{header.IdempotencyKey: uuid.Must(uuid.NewV7()).String()}
	var resends sync.WaitGroup
	bodies := make([]string, 5)
	for n := range bodies {
		resends.Go(func() {
			_, _, bodies[n], _ = trySendRequest(http.MethodPost, string(a.settings.CallerListen), "/catalogue/clinic?work=100", h, "batch")
		})
	}
	resends.Wait()
	for _, body := range bodies {
		c.Assert(body, qt.Equals, bodies[0])
	}
	c.Assert(target.Runs(), qt.HasLen, 1)
}

// Guards against two targets working on a key at the same time during a planned move, and
// against requests that the move loses.
func TestMoveWaitsForRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	pair := startPair(t)
	a, b, first, second := pair.owner, pair.other, pair.first, pair.second
	done := make(chan string, 2)
	get := func(n *node, path string) {
		_, _, body, err := trySendRequest(http.MethodGet, string(n.settings.CallerListen), path, nil, "")
		done <- fmt.Sprint(body, err)
	}
	go get(b, "/catalogue/blanket?work=200")
	eventually(func() bool { return len(first.Runs()) == 1 })
	awaitMoveInTable(a, pair.control.startMove("blanket", b))
	go get(a, "/catalogue/blanket")
	for range 2 {
		c.Assert(<-done, qt.Contains, `"Key":"blanket"`)
	}
	c.Assert(first.Runs(), qt.HasLen, 1)
	c.Assert(second.Runs(), qt.HasLen, 1)
	c.Assert(second.Runs()[0].Start >= first.Runs()[0].End, qt.IsTrue)
}

// Guards against a request that crashes one target after another, against the quarantine of
// an unrelated request, and against the outcome not-run for a request that ran.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	c := qt.New(t)
	control := startControl(t)
	var targets []*testTarget
	var nodes []*node
	for _, name := range []wire.NodeID{"a", "b", "c"} {
		n, _ := startNode(t, control, name)
		nodes = append(nodes, n)
		targets = append(targets, startTarget(t, n, "courier", false))
	}
	address := string(nodes[0].settings.CallerListen)
	eventually(func() bool {
		status, _, _ := sendRequest(t, http.MethodGet, address, "/courier/1", nil, "")
		return status == 200 && len(nodes[0].routing.snapshot().MembersOfService("courier")) == 3
	})
	unrelated := make(chan string, 1)
	go func() {
		_, _, body, _ := trySendRequest(http.MethodGet, address, "/courier/slow?work=200", nil, "")
		unrelated <- body
	}()
	var h http.Header
	eventually(func() bool {
		_, h, _ = sendRequest(t, http.MethodGet, address, "/courier/crash", nil, "")
		return h.Get(header.Reason) == string(reasonQuarantined)
	})
	c.Assert(h.Get(header.Outcome), qt.Equals, "not-run")
	crashed := 0
	for _, target := range targets {
		select {
		case <-target.crashed:
			crashed++
		default:
		}
	}
	c.Assert(crashed, qt.Equals, 2)
	c.Assert(<-unrelated, qt.Contains, `"Key":"slow"`)
}

// Guards against a planned stop that interrupts a response, and against new requests to a node
// that has stopped.
func TestStopFinishesRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	pair := startPair(t)
	a, b, first := pair.owner, pair.other, pair.first
	awaitServing(pair.control, a, b)
	done := make(chan string, 2)
	for _, n := range []*node{a, b} {
		go func() {
			_, _, body, err := trySendRequest(http.MethodGet, string(n.settings.CallerListen), "/catalogue/blanket?chunks=20&delay=20", nil, "")
			done <- fmt.Sprint(body, err)
		}()
	}
	eventually(func() bool { return len(first.Runs()) == 2 })
	pair.stopOwner()
	for range 2 {
		body := <-done
		c.Assert(body, qt.Contains, "chunk 20 of 20")
		c.Assert(body, qt.Contains, "<nil>")
	}
	eventually(func() bool { return len(b.routing.snapshot().MembersOfService("catalogue")) == 1 })
	status, _, body := sendRequest(t, http.MethodGet, string(b.settings.CallerListen), "/catalogue/blanket", nil, "")
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	c.Assert(first.Runs(), qt.HasLen, 2)
}

// Guards against new requests to a drained target after newWorkTimeout if its partitions have
// not been moved by then.
func TestDrainBoundsNewWork(t *testing.T) {
	c := qt.New(t)
	pair := startPair(t)
	a, first := pair.owner, pair.first
	awaitServing(pair.control, a, pair.other)
	pair.control.commit(wire.Command{Drain: &wire.DrainRequest{Node: "a", Drain: true}})
	eventually(func() bool { return a.targets.current().rejecting.Load() })
	before := len(first.Runs())
	status, _, body := sendRequest(t, http.MethodGet, string(a.settings.CallerListen), "/catalogue/blanket", nil, "")
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	c.Assert(first.Runs(), qt.HasLen, before)
}

// Guards against a node that serves keys without a lease because the control group is
// unavailable, and against requests that are still running after the lease expired.
func TestWithoutControlKeysAreNotServed(t *testing.T) {
	c := qt.New(t)
	control := startControl(t)
	a, _ := startNode(t, control, "a")
	target := startTarget(t, a, "catalogue", false)
	awaitServing(control, a)
	statuses := make(chan int, 1)
	go func() {
		h := map[string]string{header.IdempotencyKey: uuid.Must(uuid.NewV7()).String()}
		status, _, _, _ := trySendRequest(http.MethodPost, string(a.settings.CallerListen), "/catalogue/blanket?work=60000", h, "")
		statuses <- status
	}()
	eventually(func() bool { return len(target.Runs()) == 1 })
	control.setDown(true)
	c.Assert(<-statuses, qt.Equals, http.StatusBadGateway)
	status, h, _ := sendRequest(t, http.MethodGet, string(a.settings.CallerListen), "/catalogue/blanket", nil, "")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(h.Get(header.Outcome), qt.Equals, "not-run")
	c.Assert(target.Runs(), qt.HasLen, 1)
	control.setDown(false)
	eventually(func() bool {
		status, _, _ := sendRequest(t, http.MethodGet, string(a.settings.CallerListen), "/catalogue/blanket", nil, "")
		return status == 200
	})
}

// Guards against a truncated response that looks complete to the caller.
func TestCutResponseIsAborted(t *testing.T) {
	c := qt.New(t)
	control := startControl(t)
	a, _ := startNode(t, control, "a")
	b, _ := startNode(t, control, "b")
	target := startTarget(t, a, "catalogue", false)
	awaitServing(control, a, b)
	// A target that ends before its response has begun is answered with a complete 502.
	begun, ends := make(chan error, 2), make(chan error, 2)
	for _, n := range []*node{a, b} {
		go func() {
			r, err := http.NewRequest(http.MethodGet, "http://"+string(n.settings.CallerListen)+"/catalogue/blanket?chunks=1000&delay=20", nil)
			if err != nil {
				begun <- err
				return
			}
			r.Close = true
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				begun <- err
				return
			}
			defer response.Body.Close()
			_, err = io.ReadFull(response.Body, make([]byte, 1))
			begun <- err
			_, err = io.Copy(io.Discard, response.Body)
			ends <- err
		}()
	}
	c.Assert(<-begun, qt.IsNil)
	c.Assert(<-begun, qt.IsNil)
	c.Assert(target.Runs(), qt.HasLen, 2)
	_ = target.server.Close()
	c.Assert(<-ends, qt.IsNotNil)
	c.Assert(<-ends, qt.IsNotNil)
}
