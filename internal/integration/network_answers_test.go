package integration

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/Shopify/toxiproxy/v2/toxics"
	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/integration/history"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// concurrentCallers is the number of concurrent requests for one key.
	concurrentCallers = 40
	// concurrentDeadline is longer than the idle timeout after which a node closes a
	// connection, and short, because some of the faults block all responses.
	concurrentDeadline clock.Millis = 2000
)

// Guards against wrong or partial responses, and against second runs of operations,
// when responses are late, out of order or truncated, and when callers disconnect: each
// caller must get the complete response to its own request, or a transfer that visibly
// fails.
func TestNetworkAnswers(t *testing.T) {
	n := startNetwork(t)
	n.startLoad(n.Hosts...)
	owner := n.Hosts[1]
	name := cluster.Endpoint(owner.Name)
	hops := map[string]*cluster.Link{
		"caller to node": n.Link(cluster.Callers, name),
		"node to node":   n.Link(cluster.Peers, name),
		"node to target": n.Link(name, name+"-target"),
	}
	faults := map[string]struct {
		kind  string
		toxic toxics.Toxic
		// hop, if not empty, is the only hop that has this fault.
		hop string
		// cuts states that the fault can stop every response on its hop.
		cuts bool
	}{
		"late and out of order": {kind: "latency", toxic: &toxics.LatencyToxic{Latency: 30, Jitter: 30}},
		"in small fragments":    {kind: "slicer", toxic: &toxics.SlicerToxic{AverageSize: 8, SizeVariation: 4, Delay: 100}},
		"truncated":             {kind: "limit_data", toxic: &toxics.LimitDataToxic{Bytes: 500}, cuts: true},
		"reset":                 {kind: "reset_peer", toxic: &toxics.ResetToxic{Timeout: 5}, cuts: true},
		// A node closes a connection that is idle for 1 s. The response to one
		// request must not be taken as the response to the next one.
		"later than the idle timeout": {kind: "latency", toxic: &toxics.LatencyToxic{Latency: 1700}, hop: "node to node", cuts: true},
	}
	for _, hop := range slices.Sorted(maps.Keys(hops)) {
		for _, fault := range slices.Sorted(maps.Keys(faults)) {
			if only := faults[fault].hop; only != "" && only != hop {
				continue
			}
			k := n.keyOf(owner)
			l, tt := hops[hop], faults[fault]
			qt.Assert(t, l.Add(cluster.Responses, tt.kind, tt.toxic), qt.IsNil)
			n.abandonRequest(k)
			complete := n.sendConcurrently(k)
			l.Heal(n.ctx)
			t.Logf("%s, %s: %d of %d complete", hop, fault, complete, concurrentCallers)
			qt.Check(t, tt.cuts || complete > 0, qt.IsTrue, qt.Commentf("%s, %s: no response is complete", hop, fault))
		}
	}
	qt.Assert(t, n.WaitReady(n.ctx), qt.IsNil)
	qt.Check(t, n.truncatedCount() > 0, qt.IsTrue)
	n.stopAndCheck()
}

// sendConcurrently sends requests for one key from many callers at once through all
// nodes, and returns the number of complete responses.
func (n *network) sendConcurrently(k string) int {
	out := make([]history.Response, concurrentCallers)
	var group sync.WaitGroup
	for i := range out {
		group.Go(func() {
			method := http.MethodGet
			if i%4 == 0 {
				method = http.MethodPost
			}
			r := n.request(method, k, "")
			r.Deadline = concurrentDeadline
			if method == http.MethodPost {
				out[i] = n.resend(r, i, n.Hosts)
				return
			}
			out[i] = n.send(n.Hosts[i%len(n.Hosts)], r)
		})
	}
	group.Wait()
	complete := 0
	for _, r := range out {
		if r.Outcome == wire.OutcomeComplete && r.Whole {
			complete++
		}
	}
	return complete
}

// abandonRequest sends a request whose caller disconnects while it runs, and resends
// it through another node. An operation that has begun must not be reported as not
// run.
func (n *network) abandonRequest(k string) {
	n.t.Helper()
	r := n.request(http.MethodPost, k, "&work=100")
	ctx, disconnect := context.WithCancel(n.ctx)
	defer disconnect()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = n.Hosts[0].Do(ctx, r)
	}()
	began := false
	n.waitUntil("the request runs or has ended", func() bool {
		began = n.hasBegun(r)
		select {
		case <-done:
			return true
		default:
			return began
		}
	})
	disconnect()
	<-done
	out := n.resend(r, 1, n.Hosts)
	qt.Check(n.t, began && out.Outcome == wire.OutcomeNotRun, qt.IsFalse, qt.Commentf("%s had begun, but is reported as not run", out.Sent))
}

// hasBegun reports whether any target has begun to run an operation.
func (n *network) hasBegun(r cluster.Request) bool {
	n.t.Helper()
	for _, h := range n.Hosts {
		for _, v := range n.runs(h) {
			if v.IdempotencyKey == string(r.Key) {
				return true
			}
		}
	}
	return false
}

// truncatedCount returns the number of incomplete responses.
func (n *network) truncatedCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, r := range n.responses {
		if !r.Whole {
			count++
		}
	}
	return count
}
