package integration

import (
	"testing"

	"github.com/Shopify/toxiproxy/v2/toxics"
	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// slowLink is the delay in ms of each direction of a slow link. A lease renewal then
// takes 180 ms, a fifth of a lease, and ends before the node's next heartbeat is due.
const slowLink = 90

// Guards against new requests to a leaving target, and against interrupted requests,
// during a planned stop of a node whose links to the control group and from other nodes
// are slow, or that reaches only the control leader: its target must get no new
// requests after leavingBound, and no request in flight may be lost.
func TestNetworkPlannedStop(t *testing.T) {
	f := startFaultsWith(t, cluster.Options{Links: true, Services: map[wire.ServiceName]cluster.Service{
		"catalogue": {Targets: 2, ChecksGrants: true}, "pledges": {Targets: 2},
	}})
	for _, h := range []*cluster.Host{f.hostsOf("catalogue")[0], f.hostsOf("pledges")[0]} {
		name := cluster.Endpoint(h.Name)
		links := []*cluster.Link{f.Link(cluster.Peers, name)}
		for _, r := range f.Replicas {
			links = append(links, f.Link(name, cluster.Endpoint(r.Name)))
		}
		for _, l := range links {
			for _, s := range []cluster.Stream{cluster.Requests, cluster.Responses} {
				qt.Assert(t, l.Add(s, "latency", &toxics.LatencyToxic{Latency: slowLink}), qt.IsNil)
			}
		}
		t.Logf("%s: all links are slow", h.Name)
		f.stopWithWork(h, h.Node)
		for _, l := range links {
			l.Heal(f.ctx)
		}
		leader := f.leader()
		for _, r := range f.Replicas {
			if r != leader {
				qt.Assert(t, f.Cut(name, cluster.Endpoint(r.Name)), qt.IsNil)
			}
		}
		t.Logf("%s: cut from the followers", h.Name)
		f.stopWithWork(h, h.Node)
		for _, r := range f.Replicas {
			f.Heal(f.ctx, name, cluster.Endpoint(r.Name))
		}
	}
	f.finish(nil)
	qt.Check(t, f.truncated, qt.HasLen, 0)
	qt.Check(t, f.lostResponses, qt.HasLen, 0)
	qt.Check(t, f.unknownOutcomes, qt.HasLen, 0)
}
