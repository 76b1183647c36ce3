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
	// crowd is the number of callers who ask for one key at once.
	crowd = 40
	// crowdDeadline is longer than the silence after which a node gives up a
	// connection, and short, because some of the faults let no response pass.
	crowdDeadline clock.Millis = 2000
)

// Guards P3 and P5 against responses that are late, out of order or cut, and
// callers who leave: each caller gets the whole response to its own request, or
// a transfer that visibly fails.
func TestNetworkAnswers(t *testing.T) {
	n := startNetwork(t)
	n.load(n.Hosts...)
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
		// hop, if not empty, is the only one that the fault is put on.
		hop string
		// cuts: a response may not pass this hop.
		cuts bool
	}{
		"late and out of order": {kind: "latency", toxic: &toxics.LatencyToxic{Latency: 30, Jitter: 30}},
		"in small pieces":       {kind: "slicer", toxic: &toxics.SlicerToxic{AverageSize: 8, SizeVariation: 4, Delay: 100}},
		"cut in the middle":     {kind: "limit_data", toxic: &toxics.LimitDataToxic{Bytes: 500}, cuts: true},
		"reset":                 {kind: "reset_peer", toxic: &toxics.ResetToxic{Timeout: 5}, cuts: true},
		// A node gives up a connection that is silent for 1 s; the response to
		// the request before must not be taken for that to the next.
		"later than a silence may last": {kind: "latency", toxic: &toxics.LatencyToxic{Latency: 1700}, hop: "node to node", cuts: true},
	}
	for _, hop := range slices.Sorted(maps.Keys(hops)) {
		for _, fault := range slices.Sorted(maps.Keys(faults)) {
			if only := faults[fault].hop; only != "" && only != hop {
				continue
			}
			k := n.keyOf(owner)
			l, tt := hops[hop], faults[fault]
			qt.Assert(t, l.Add(cluster.Responses, tt.kind, tt.toxic), qt.IsNil)
			n.leave(k)
			complete := n.askAtOnce(k)
			l.Heal(n.ctx)
			t.Logf("%s, %s: %d of %d complete", hop, fault, complete, crowd)
			qt.Check(t, tt.cuts || complete > 0, qt.IsTrue, qt.Commentf("%s, %s: none is complete", hop, fault))
		}
	}
	qt.Assert(t, n.WaitReady(n.ctx), qt.IsNil)
	qt.Check(t, n.cutShort() > 0, qt.IsTrue)
	n.check()
}

// askAtOnce sends requests for one key from many callers at once through all nodes,
// and returns how many got a complete response.
func (n *network) askAtOnce(k string) int {
	out := make([]history.Response, crowd)
	var group sync.WaitGroup
	for i := range out {
		group.Go(func() {
			method := http.MethodGet
			if i%4 == 0 {
				method = http.MethodPost
			}
			r := n.request(method, k, "")
			r.Deadline = crowdDeadline
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

// leave sends a request whose caller leaves while it runs, and sends it again
// through another node.
func (n *network) leave(k string) {
	n.t.Helper()
	r := n.request(http.MethodPost, k, "&work=100")
	ctx, leave := context.WithCancel(n.ctx)
	defer leave()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = n.Hosts[0].Do(ctx, r)
	}()
	began := false
	n.wait("the request runs or has ended", func() bool {
		began = n.began(r)
		select {
		case <-done:
			return true
		default:
			return began
		}
	})
	leave()
	<-done
	out := n.resend(r, 1, n.Hosts)
	qt.Check(n.t, began && out.Outcome == wire.OutcomeNotRun, qt.IsFalse, qt.Commentf("%s had begun", out.Sent))
}

// began reports whether any target has begun to run an operation.
func (n *network) began(r cluster.Request) bool {
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

// cutShort counts the responses that visibly failed.
func (n *network) cutShort() int {
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
