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
	// lateRequests is the number of requests that are abandoned before their
	// responses arrive.
	lateRequests = 8
	// followUpRequests is the number of requests that follow: more than the
	// connections that can have stayed open.
	followUpRequests = 4 * lateRequests
)

// Guards against a caller that receives the response to another request: the response
// arrives after its request was abandoned, on a connection that the next request uses.
// The responses on open connections of a hop are held back until their requests have
// ended, and arrive before the next requests.
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
		// Opens connections on the hop before their responses are held back. New
		// connections still work, so that the target stays registered.
		n.sendAll(ingress, k, lateRequests)
		bytes, err := hop.link.HoldOpen(cluster.Responses)
		qt.Assert(t, err, qt.IsNil)
		n.sendAll(ingress, k, lateRequests)
		held := bytes.Count(fmt.Sprintf("chunk %d of %d of ", parts, parts))
		t.Logf("%s: %d responses held back", hop.name, held)
		qt.Check(t, held > 0, qt.IsTrue, qt.Commentf("%s: no response was held back", hop.name))
		qt.Assert(t, bytes.Stop(n.ctx), qt.IsNil)
		n.keyOf(owner)
		complete := 0
		for range followUpRequests / lateRequests {
			for _, r := range n.sendAll(ingress, k, lateRequests) {
				if r.Outcome == wire.OutcomeComplete {
					complete++
				}
			}
		}
		t.Logf("%s: %d of %d subsequent requests complete", hop.name, complete, followUpRequests)
		qt.Check(t, complete, qt.Equals, followUpRequests, qt.Commentf(hop.name))
		qt.Assert(t, n.WaitReady(n.ctx), qt.IsNil)
	}
	n.stopAndCheck()
}

// sendAll sends concurrent repeatable requests for one key.
func (n *network) sendAll(h *cluster.Host, key string, count int) []history.Response {
	out := make([]history.Response, count)
	var group sync.WaitGroup
	for i := range out {
		group.Go(func() { out[i] = n.send(h, n.request(http.MethodGet, key, "")) })
	}
	group.Wait()
	return out
}
