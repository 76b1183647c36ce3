package control

import (
	"maps"
	"slices"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

const (
	// reportLife is how long a node's last report counts. Nodes report every two
	// seconds, and leave the lists of their other heartbeats empty; one report
	// may be lost.
	reportLife clock.Millis = 5000
	// loadWindow is the time that the running mean of a partition's load covers.
	// Shorter means follow chance: with 100 requests/s at an upstream, one second
	// varies by 10%, half a minute by 2%.
	loadWindow clock.Millis = 30000
	// priorRequests is how many requests of a member weigh as much as the
	// assumption that all partitions are equal. It keeps the standard deviation
	// of a member's weight under 1/(2·√500) = 2.2% at any rate of independent
	// requests, against a threshold of 10%. A fixed number for each partition was
	// too weak for members with few partitions.
	priorRequests = 500
)

// sampledLoad is the running mean of a partition's request rate, and the time
// that it covers.
type sampledLoad struct {
	mean    float64
	covered clock.Millis
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
	hotKeysAt   clock.Millis
	// sums and reports collect the rates that were reported since the last
	// sample. The latest report came at loadsAt, the one before the last sample
	// at sampledAt.
	sums      partition.Load
	reports   int
	loadsAt   clock.Millis
	sampledAt clock.Millis
	// latency is the last reported latency of the member's target, in
	// milliseconds; 0 while unknown.
	latency   float64
	latencyAt clock.Millis
}

func (o *office) observe(r wire.HeartbeatRequest, received clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, ok := o.nodes[r.Node]
	if !ok {
		n = &observation{first: received, sums: make(partition.Load), sampledAt: received}
		o.nodes[r.Node] = n
	}
	if received < n.heard {
		return
	}
	n.heard, n.address, n.domain = received, r.Address, r.FailureDomain
	n.revision, n.version = r.RevisionInForce, r.KnownVersion
	n.observeMember(r.Member, received)
	n.observeReports(r, received)
}

func (n *observation) observeMember(a *wire.Announcement, received clock.Millis) {
	i := wire.Incarnation("")
	if a != nil {
		i = a.Incarnation
	}
	if i == n.incarnation {
		return
	}
	n.incarnation, n.sampledAt = i, received
	n.sums, n.reports = make(partition.Load), 0
	n.latency = 0
}

func (n *observation) observeReports(r wire.HeartbeatRequest, received clock.Millis) {
	if len(r.HotKeys) > 0 {
		n.hotKeys, n.hotKeysAt = r.HotKeys, received
	}
	if r.TargetLatencyMillis != nil {
		n.latency, n.latencyAt = *r.TargetLatencyMillis, received
	}
	if len(r.Loads) == 0 {
		return
	}
	n.reports++
	n.loadsAt = received
	for _, l := range r.Loads {
		n.sums[partition.ID(l.Partition)] += max(0, l.RequestsPerSecond)
	}
}

// sample is what a node reported between two samples.
type sample struct {
	rates   partition.Load
	reports float64
	covered clock.Millis
}

// takeSample returns false while there is nothing new. A member that is heard
// but has reported no load for long has none.
func (n *observation) takeSample(now clock.Millis) (sample, bool) {
	silent := now - n.sampledAt
	switch {
	case n.reports > 0:
		v := sample{rates: n.sums, reports: float64(n.reports), covered: min(reportLife, max(1, n.loadsAt-n.sampledAt))}
		n.sums, n.reports, n.sampledAt = make(partition.Load), 0, n.loadsAt
		return v, true
	case silent > reportLife && now-n.heard < reportLife:
		n.sampledAt = now
		return sample{reports: 1, covered: reportLife}, true
	}
	return sample{}, false
}

// sample folds the reports since the last sample into the running means. Only
// the owner's report of a partition counts; a partition that it leaves out had
// no requests. Without a report the mean stays, so that the partitions of a lost
// owner are assigned by their last known load.
func (o *office) sample(partitions []wire.Partition, now clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	samples := make(map[wire.Incarnation]sample, len(o.nodes))
	for _, n := range o.nodes {
		if v, ok := n.takeSample(now); ok {
			samples[n.incarnation] = v
		}
	}
	means := make(map[wire.PartitionID]sampledLoad, len(partitions))
	for _, p := range partitions {
		mean := o.means[p.Partition]
		if v, ok := samples[p.Owner]; ok && p.Owner != "" {
			mean = mean.add(v.rates[partition.ID(p.Partition)]/v.reports, v.covered)
		}
		means[p.Partition] = mean
	}
	o.means = means
}

// add weighs a rate by the part of the window that it covers.
func (l sampledLoad) add(rate float64, covered clock.Millis) sampledLoad {
	l.covered = min(l.covered+covered, loadWindow)
	l.mean += (rate - l.mean) * float64(covered) / float64(l.covered)
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
		requests += l.mean * l.covered.Duration().Seconds()
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
