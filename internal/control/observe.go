package control

import (
	"maps"
	"slices"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

const (
	// reportLife is how long a node's last report of hot keys counts.
	reportLife clock.Millis = 2000
	// loadSamples is the number of one-second samples that the running mean of a
	// partition's load covers. Shorter means follow chance: with 100 requests/s
	// at an upstream, one second varies by 10%, half a minute by 2%.
	loadSamples = 30
	// priorRequests is how many requests of a member weigh as much as the
	// assumption that all partitions are equal. It keeps the standard deviation
	// of a member's weight under 1/(2·√500) = 2.2% at any rate of independent
	// requests, against a threshold of 10%. A fixed number for each partition was
	// too weak for members with few partitions.
	priorRequests = 500
)

// sampledLoad is the running mean of a partition's request rate.
type sampledLoad struct {
	mean    float64
	samples int
}

// observation is what a leader heard from one node during its time in office.
type observation struct {
	first       clock.Millis
	heard       clock.Millis
	incarnation wire.Incarnation
	address     wire.Address
	domain      wire.FailureDomain
	revision    wire.Revision
	version     wire.Version
	hotKeys     []wire.HotKey
	// sums and reports collect the reported rates since the last sample.
	sums    partition.Load
	reports int
}

func (o *office) observe(r wire.HeartbeatRequest, received clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, ok := o.nodes[r.Node]
	if !ok {
		n = &observation{first: received, sums: make(partition.Load)}
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
	n.reports++
	for _, l := range r.Loads {
		n.sums[partition.ID(l.Partition)] += max(0, l.RequestsPerSecond)
	}
}

// sample folds the reports since the last sample into the running means. Only
// the owner's report of a partition counts; a partition that it leaves out had
// no requests. Without a report the mean stays, so that the partitions of a lost
// owner are assigned by their last known load.
func (o *office) sample(partitions []wire.Partition) {
	o.mu.Lock()
	defer o.mu.Unlock()
	byMember := make(map[wire.Incarnation]*observation, len(o.nodes))
	for _, n := range o.nodes {
		byMember[n.incarnation] = n
	}
	means := make(map[wire.PartitionID]sampledLoad, len(partitions))
	for _, p := range partitions {
		mean := o.means[p.Partition]
		if n, ok := byMember[p.Owner]; ok && p.Owner != "" && n.reports > 0 {
			mean = mean.add(n.sums[partition.ID(p.Partition)] / float64(n.reports))
		}
		means[p.Partition] = mean
	}
	o.means = means
	for _, n := range o.nodes {
		n.sums, n.reports = make(partition.Load), 0
	}
}

// add gives the first samples equal weight, and later ones a fixed share.
func (l sampledLoad) add(rate float64) sampledLoad {
	l.samples = min(l.samples+1, loadSamples)
	l.mean += (rate - l.mean) / float64(l.samples)
	return l
}

// loads returns the mean request rates.
func (o *office) loads() partition.Load {
	loads := make(partition.Load, len(o.means))
	for id, l := range o.means {
		loads[partition.ID(id)] = l.mean
	}
	return loads
}

// idleShare returns the weight of an idle partition for partition.Plan. The
// fewer requests the means rest on, the more the number of partitions counts in
// place of their load.
func (o *office) idleShare(ps []wire.Partition, members int) float64 {
	requests := 0.0
	for _, p := range ps {
		l := o.means[p.Partition]
		requests += l.mean * float64(l.samples)
	}
	if requests == 0 {
		return partition.DefaultIdleShare
	}
	return max(partition.DefaultIdleShare, priorRequests*float64(members)/requests)
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
