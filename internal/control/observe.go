package control

import (
	"maps"
	"slices"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

const (
	// reportLife is how long a node's last report of loads counts.
	reportLife clock.Millis = 2000
	// loadShare is the weight of a new report in the running mean. With a
	// heartbeat every 200 ms the mean follows a change within about 2 s.
	loadShare = 0.2
)

// observation is what a leader heard from one node during its time in office.
type observation struct {
	first       clock.Millis
	heard       clock.Millis
	incarnation wire.Incarnation
	address     wire.Address
	domain      wire.FailureDomain
	revision    wire.Revision
	version     wire.Version
	loads       partition.Load
	hotKeys     []wire.HotKey
}

func (o *office) observe(r wire.HeartbeatRequest, received clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, ok := o.nodes[r.Node]
	if !ok {
		n = &observation{first: received}
		o.nodes[r.Node] = n
	}
	if received < n.heard {
		return
	}
	n.heard, n.address, n.domain = received, r.Address, r.FailureDomain
	n.revision, n.version, n.hotKeys = r.RevisionInForce, r.KnownVersion, r.HotKeys
	n.incarnation = ""
	if r.Member != nil {
		n.incarnation = r.Member.Incarnation
	}
	n.loads = smooth(n.loads, r.Loads)
}

// smooth keeps a running mean for the partitions of the new report and drops all
// others, which the node no longer serves.
func smooth(old partition.Load, reported []wire.PartitionLoad) partition.Load {
	mean := make(partition.Load, len(reported))
	for _, l := range reported {
		id := partition.ID(l.Partition)
		mean[id] = l.RequestsPerSecond
		if before, ok := old[id]; ok {
			mean[id] = before + loadShare*(l.RequestsPerSecond-before)
		}
	}
	return mean
}

// heardMembers returns the incarnations heard during this time in office.
func (o *office) heardMembers() map[wire.Incarnation]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	heard := make(map[wire.Incarnation]bool, len(o.nodes))
	for _, n := range o.nodes {
		heard[n.incarnation] = true
	}
	return heard
}

// loads sums the request rates over all nodes with a recent report.
func (o *office) loads(now clock.Millis) partition.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	sum := make(partition.Load)
	for _, n := range o.nodes {
		if now-n.heard > reportLife {
			continue
		}
		for id, l := range n.loads {
			sum[id] += l
		}
	}
	return sum
}

// node returns a copy of what was heard from a node.
func (o *office) node(name wire.NodeID) (observation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, ok := o.nodes[name]
	if !ok {
		return observation{}, false
	}
	return *n, true
}

// names returns the nodes heard during this time in office.
func (o *office) names() []wire.NodeID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.nodes))
}
