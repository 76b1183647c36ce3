package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// Guards against a pledge that runs twice, a resend that gets another response
// than the first, and a key that yields another request's response.
func TestRunsAtMostOnce(t *testing.T) {
	c := qt.New(t)
	f := startControl(t)
	a, _ := startNode(t, f, "a")
	b, _ := startNode(t, f, "b")
	target := startTarget(t, a, "catalogue", true)
	served(f, a, b)
	key := uuid.Must(uuid.NewV7()).String()
	h := map[string]string{header.IdempotencyKey: key, header.Caller: "coordinator"}
	status, _, first := ask(t, http.MethodPost, string(a.settings.CallerListen), "/catalogue/clinic", h, "batch of 10")
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", first))
	for _, n := range []*node{a, b} {
		status, got, again := ask(t, http.MethodPost, string(n.settings.CallerListen), "/catalogue/clinic", h, "batch of 10")
		c.Assert(status, qt.Equals, 200)
		c.Assert(again, qt.Equals, first)
		c.Assert(got.Get(header.Replayed), qt.Equals, "true")
		c.Assert(got.Get(header.Member), qt.Equals, "")
	}
	tests := map[string]struct {
		header map[string]string
		body   string
		status int
		reason reason
	}{
		"other body":   {header: h, body: "batch of 11", status: 422, reason: reasonMismatch},
		"other caller": {header: map[string]string{header.IdempotencyKey: key}, body: "batch of 10", status: 422, reason: reasonMismatch},
		"no key":       {body: "batch of 10", status: 400, reason: reasonNoOperation},
		"old key":      {header: map[string]string{header.IdempotencyKey: "01800000-0000-7000-8000-000000000000"}, status: 410, reason: reasonExpired},
		"future key":   {header: map[string]string{header.IdempotencyKey: "f0000000-0000-7000-8000-000000000000"}, status: 400, reason: reasonFuture},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			status, got, _ := ask(t, http.MethodPost, string(b.settings.CallerListen), "/catalogue/clinic", tt.header, tt.body)
			qt.Assert(t, status, qt.Equals, tt.status)
			qt.Assert(t, got.Get(header.Reason), qt.Equals, string(tt.reason))
			qt.Assert(t, got.Get(header.Outcome), qt.Equals, "not-run")
		})
	}
	c.Assert(target.Runs(), qt.HasLen, 1)
}

// Guards against two resends at once that both run, while the first still runs.
func TestConcurrentResendsWait(t *testing.T) {
	c := qt.New(t)
	f := startControl(t)
	a, _ := startNode(t, f, "a")
	target := startTarget(t, a, "catalogue", false)
	served(f, a)
	h := map[string]string{header.IdempotencyKey: uuid.Must(uuid.NewV7()).String()}
	var all sync.WaitGroup
	bodies := make([]string, 5)
	for n := range bodies {
		all.Go(func() {
			_, _, bodies[n], _ = tryAsk(http.MethodPost, string(a.settings.CallerListen), "/catalogue/clinic?work=100", h, "batch")
		})
	}
	all.Wait()
	for _, v := range bodies {
		c.Assert(v, qt.Equals, bodies[0])
	}
	c.Assert(target.Runs(), qt.HasLen, 1)
}

// Guards against a key that two targets work on at the same time during a
// planned move, and against requests lost by it.
func TestMoveWaitsForRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	v := startPair(t)
	a, b, first, second := v.owner, v.other, v.first, v.second
	done := make(chan string, 2)
	get := func(n *node, path string) {
		_, _, body, err := tryAsk(http.MethodGet, string(n.settings.CallerListen), path, nil, "")
		done <- fmt.Sprint(body, err)
	}
	go get(b, "/catalogue/blanket?work=200")
	eventually(func() bool { return len(first.Runs()) == 1 })
	knowsMove(a, v.f.startMove("blanket", b))
	go get(a, "/catalogue/blanket")
	for range 2 {
		c.Assert(<-done, qt.Contains, `"Key":"blanket"`)
	}
	c.Assert(first.Runs(), qt.HasLen, 1)
	c.Assert(second.Runs(), qt.HasLen, 1)
	c.Assert(second.Runs()[0].Start >= first.Runs()[0].End, qt.IsTrue)
}

// Guards against a request that crashes one target after the other, against
// quarantine of an unrelated request, and against "not run" for one that ran.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	c := qt.New(t)
	f := startControl(t)
	var targets []*target
	var nodes []*node
	for _, name := range []wire.NodeID{"a", "b", "c"} {
		n, _ := startNode(t, f, name)
		nodes = append(nodes, n)
		targets = append(targets, startTarget(t, n, "courier", false))
	}
	address := string(nodes[0].settings.CallerListen)
	eventually(func() bool {
		status, _, _ := ask(t, http.MethodGet, address, "/courier/1", nil, "")
		return status == 200 && len(nodes[0].routing.snapshot().Members("courier")) == 3
	})
	innocent := make(chan string, 1)
	go func() {
		_, _, body, _ := tryAsk(http.MethodGet, address, "/courier/slow?work=200", nil, "")
		innocent <- body
	}()
	var h http.Header
	eventually(func() bool {
		_, h, _ = ask(t, http.MethodGet, address, "/courier/crash", nil, "")
		return h.Get(header.Reason) == string(reasonQuarantined)
	})
	c.Assert(h.Get(header.Outcome), qt.Equals, "not-run")
	lost := 0
	for _, v := range targets {
		select {
		case <-v.crashed:
			lost++
		default:
		}
	}
	c.Assert(lost, qt.Equals, 2)
	c.Assert(<-innocent, qt.Contains, `"Key":"slow"`)
}

// Guards against a planned stop that interrupts a response, and against new
// work for a node that has left.
func TestStopFinishesRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	v := startPair(t)
	a, b, first := v.owner, v.other, v.first
	served(v.f, a, b)
	done := make(chan string, 2)
	for _, n := range []*node{a, b} {
		go func() {
			_, _, body, err := tryAsk(http.MethodGet, string(n.settings.CallerListen), "/catalogue/blanket?chunks=20&delay=20", nil, "")
			done <- fmt.Sprint(body, err)
		}()
	}
	eventually(func() bool { return len(first.Runs()) == 2 })
	v.stopOwner()
	for range 2 {
		body := <-done
		c.Assert(body, qt.Contains, "chunk 20 of 20")
		c.Assert(body, qt.Contains, "<nil>")
	}
	eventually(func() bool { return len(b.routing.snapshot().Members("catalogue")) == 1 })
	status, _, body := ask(t, http.MethodGet, string(b.settings.CallerListen), "/catalogue/blanket", nil, "")
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	c.Assert(first.Runs(), qt.HasLen, 2)
}

// Guards against new work for a drained target after the bound, when its
// partitions are not moved in time.
func TestDrainBoundsNewWork(t *testing.T) {
	c := qt.New(t)
	v := startPair(t)
	a, first := v.owner, v.first
	served(v.f, a, v.other)
	v.f.commit(wire.Command{Drain: &wire.DrainRequest{Node: "a", Drain: true}})
	eventually(func() bool { return a.targets.now().refusing.Load() })
	before := len(first.Runs())
	status, _, body := ask(t, http.MethodGet, string(a.settings.CallerListen), "/catalogue/blanket", nil, "")
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	c.Assert(first.Runs(), qt.HasLen, before)
}

// Guards against a node that serves keys without a lease, and against requests
// that outlive it.
func TestWithoutControlKeysAreNotServed(t *testing.T) {
	c := qt.New(t)
	f := startControl(t)
	a, _ := startNode(t, f, "a")
	target := startTarget(t, a, "catalogue", false)
	served(f, a)
	outlives := make(chan int, 1)
	go func() {
		h := map[string]string{header.IdempotencyKey: uuid.Must(uuid.NewV7()).String()}
		status, _, _, _ := tryAsk(http.MethodPost, string(a.settings.CallerListen), "/catalogue/blanket?work=60000", h, "")
		outlives <- status
	}()
	eventually(func() bool { return len(target.Runs()) == 1 })
	f.setSilent(true)
	c.Assert(<-outlives, qt.Equals, http.StatusBadGateway)
	status, h, _ := ask(t, http.MethodGet, string(a.settings.CallerListen), "/catalogue/blanket", nil, "")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(h.Get(header.Outcome), qt.Equals, "not-run")
	c.Assert(target.Runs(), qt.HasLen, 1)
	f.setSilent(false)
	eventually(func() bool {
		status, _, _ := ask(t, http.MethodGet, string(a.settings.CallerListen), "/catalogue/blanket", nil, "")
		return status == 200
	})
}

// Guards against a cut response that looks complete to the caller.
func TestCutResponseIsAborted(t *testing.T) {
	c := qt.New(t)
	f := startControl(t)
	a, _ := startNode(t, f, "a")
	b, _ := startNode(t, f, "b")
	target := startTarget(t, a, "catalogue", false)
	served(f, a, b)
	ends := make(chan error, 2)
	for _, n := range []*node{a, b} {
		go func() {
			_, _, _, err := tryAsk(http.MethodGet, string(n.settings.CallerListen), "/catalogue/blanket?chunks=1000&delay=20", nil, "")
			ends <- err
		}()
	}
	eventually(func() bool { return len(target.Runs()) == 2 })
	_ = target.server.Close()
	c.Assert(<-ends, qt.IsNotNil)
	c.Assert(<-ends, qt.IsNotNil)
}
