package integration

import (
	"testing"

	"github.com/Shopify/toxiproxy/v2/toxics"
	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// slowLink is the delay of each direction of a slow link: a renewal then takes
// twice as long, a fifth of a lease, and the nodes' second heartbeat is not due.
const slowLink = 90

// Guards P6 and P7 against a planned stop while the links of the leaving node to
// control and from other nodes are slow, or while it cannot reach a control replica that does not lead: its
// target gets no new work after the bound, and no request in flight is lost.
func TestNetworkPlannedStop(t *testing.T) {
	f := startFaultsWith(t, cluster.Options{Links: true, Services: map[wire.ServiceName]cluster.Service{
		"catalogue": {Targets: 2, ChecksGrants: true}, "pledges": {Targets: 2},
	}})
	for _, h := range []*cluster.Host{f.of("catalogue")[0], f.of("pledges")[0]} {
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
		f.leave(h, h.Node)
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
		f.leave(h, h.Node)
		for _, r := range f.Replicas {
			f.Heal(f.ctx, name, cluster.Endpoint(r.Name))
		}
	}
	f.finish(nil)
	qt.Check(t, f.cut, qt.HasLen, 0)
	qt.Check(t, f.broken, qt.HasLen, 0)
	qt.Check(t, f.unknown, qt.HasLen, 0)
}
