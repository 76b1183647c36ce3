package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/integration/history"
	"github.com/gentiansail/gentiansail/internal/wire"
)

const (
	// late is the number of requests that are given up before their responses
	// arrive.
	late = 8
	// afterLate is the number of requests that follow, more than the connections
	// that could have been kept.
	afterLate = 4 * late
)

// Guards P3 against a response that arrives when its request has been given up,
// on a connection that the next request uses: the responses on open connections of
// a hop are held until nobody waits for them any more, and arrive before the next
// requests.
func TestNetworkLateResponses(t *testing.T) {
	n := startNetwork(t)
	ingress, owner := n.Hosts[0], n.Hosts[1]
	name := cluster.Endpoint(owner.Name)
	hops := []struct {
		name string
		link *cluster.Link
	}{
		{"node to node", n.Link(cluster.Peers, name)},
		{"node to target", n.Link(name, name+"-target")},
	}
	for _, hop := range hops {
		k := n.keyOf(owner)
		// The hop has open connections before their responses are held. Others work,
		// so that the target stays a member.
		n.sendAll(ingress, k, late)
		bytes, err := hop.link.HoldOpen(cluster.Responses)
		qt.Assert(t, err, qt.IsNil)
		n.sendAll(ingress, k, late)
		held := bytes.Count(fmt.Sprintf("chunk %d of %d of ", parts, parts))
		t.Logf("%s: %d responses held", hop.name, held)
		qt.Check(t, held > 0, qt.IsTrue, qt.Commentf("%s: no response is late", hop.name))
		qt.Assert(t, bytes.Stop(n.ctx), qt.IsNil)
		n.keyOf(owner)
		complete := 0
		for range afterLate / late {
			for _, r := range n.sendAll(ingress, k, late) {
				if r.Outcome == wire.OutcomeComplete {
					complete++
				}
			}
		}
		t.Logf("%s: %d of %d requests after that complete", hop.name, complete, afterLate)
		qt.Check(t, complete, qt.Equals, afterLate, qt.Commentf(hop.name))
		qt.Assert(t, n.WaitReady(n.ctx), qt.IsNil)
	}
	n.check()
}

// sendAll sends repeatable requests for one key at the same time.
func (n *network) sendAll(h *cluster.Host, key string, count int) []history.Response {
	out := make([]history.Response, count)
	var group sync.WaitGroup
	for i := range out {
		group.Go(func() { out[i] = n.send(h, n.request(http.MethodGet, key, "")) })
	}
	group.Wait()
	return out
}
