package control

import (
	"maps"
	"slices"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

const (
	// reportValidity is how long a node's last report is used. Nodes report every
	// two seconds and leave the lists in their other heartbeats empty, so one
	// report may be lost.
	reportValidity clock.Millis = 5000
	// meanLoadWindow is the time over which the load of a partition is averaged.
	// Shorter averages follow random variation: at 100 requests/s to a target, the
	// rate of one second varies by 10%, that of half a minute by 2%.
	meanLoadWindow clock.Millis = 30000
	// priorRequests is the number of measured requests per member that weighs as
	// much as the assumption that all partitions have equal load. It keeps the
	// standard deviation of a member's weight under 1/(2·√500) = 2.2% at any rate
	// of independent requests; the threshold is 10%. A fixed number for each
	// partition would be too weak for members with few partitions.
	priorRequests = 500
)

// meanLoad is the running mean of a partition's requests per second, and the
// time that it covers.
type meanLoad struct {
	rate    float64
	covered clock.Millis
}

// nodeRecord is what one node has reported in the current leadership term.
type nodeRecord struct {
	firstHeartbeat    clock.Millis
	lastHeartbeat     clock.Millis
	incarnation       wire.Incarnation
	address           wire.Address
	domain            wire.FailureDomain
	revision          wire.Revision
	version           wire.Version
	hotKeys           []wire.HotKey
	hotKeysReportedAt clock.Millis
	// rateSums are the sums, by partition, of the rates reported since the last
	// sample, and loadReports is the number of these reports. The latest report
	// was received at loadsReportedAt, and the last one in an earlier sample at
	// loadsSampledAt.
	rateSums        partition.Load
	loadReports     int
	loadsReportedAt clock.Millis
	loadsSampledAt  clock.Millis
	// targetLatency is the last reported latency of the member's target in
	// milliseconds, or 0 while it is unknown.
	targetLatency     float64
	latencyReportedAt clock.Millis
}

// recordHeartbeat updates the record of a heartbeat's node. A heartbeat that
// was received before the last recorded one is ignored.
func (ls *leaderState) recordHeartbeat(request wire.HeartbeatRequest, received clock.Millis) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	r, ok := ls.nodes[request.Node]
	if !ok {
		r = &nodeRecord{firstHeartbeat: received, rateSums: make(partition.Load), loadsSampledAt: received}
		ls.nodes[request.Node] = r
	}
	if received < r.lastHeartbeat {
		return
	}
	r.lastHeartbeat, r.address, r.domain = received, request.Address, request.FailureDomain
	r.revision, r.version = request.RevisionInForce, request.KnownVersion
	r.recordMember(request.Member, received)
	r.recordReports(request, received)
}

// recordMember drops the loads and the latency of the previous incarnation when
// the node reports another one.
func (r *nodeRecord) recordMember(announcement *wire.Announcement, received clock.Millis) {
	incarnation := wire.Incarnation("")
	if announcement != nil {
		incarnation = announcement.Incarnation
	}
	if incarnation == r.incarnation {
		return
	}
	r.incarnation, r.loadsSampledAt = incarnation, received
	r.rateSums, r.loadReports = make(partition.Load), 0
	r.targetLatency = 0
}

// recordReports records the hot keys, the latency and the loads in a heartbeat.
// Heartbeats without them leave the earlier reports in place.
func (r *nodeRecord) recordReports(request wire.HeartbeatRequest, received clock.Millis) {
	if len(request.HotKeys) > 0 {
		r.hotKeys, r.hotKeysReportedAt = request.HotKeys, received
	}
	if request.TargetLatencyMillis != nil {
		r.targetLatency, r.latencyReportedAt = *request.TargetLatencyMillis, received
	}
	if len(request.Loads) == 0 {
		return
	}
	r.loadReports++
	r.loadsReportedAt = received
	for _, load := range request.Loads {
		r.rateSums[partition.ID(load.Partition)] += max(0, load.RequestsPerSecond)
	}
}

// loadSample is what a node has reported since the previous sample: the sums of
// the reported rates by partition, and the number of reports.
type loadSample struct {
	rates   partition.Load
	reports float64
	covered clock.Millis
}

// takeLoadSample returns false if there is no new report. A member that sends
// heartbeats but has reported no load for longer than reportValidity has no
// load.
func (r *nodeRecord) takeLoadSample(now clock.Millis) (loadSample, bool) {
	sinceSample := now - r.loadsSampledAt
	switch {
	case r.loadReports > 0:
		sample := loadSample{rates: r.rateSums, reports: float64(r.loadReports), covered: min(reportValidity, max(1, r.loadsReportedAt-r.loadsSampledAt))}
		r.rateSums, r.loadReports, r.loadsSampledAt = make(partition.Load), 0, r.loadsReportedAt
		return sample, true
	case sinceSample > reportValidity && now-r.lastHeartbeat < reportValidity:
		r.loadsSampledAt = now
		return loadSample{reports: 1, covered: reportValidity}, true
	}
	return loadSample{}, false
}

// updateMeanLoads adds the reports since the last sample to the running means.
// Only the owner's reports of a partition are used, and a partition that they
// omit had no requests. Without a report the mean does not change, so that the
// partitions of a lost owner are assigned by their last known load.
func (ls *leaderState) updateMeanLoads(partitions []wire.Partition, now clock.Millis) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	samples := make(map[wire.Incarnation]loadSample, len(ls.nodes))
	for _, r := range ls.nodes {
		if sample, ok := r.takeLoadSample(now); ok {
			samples[r.incarnation] = sample
		}
	}
	meanLoads := make(map[wire.PartitionID]meanLoad, len(partitions))
	for _, p := range partitions {
		mean := ls.meanLoads[p.Partition]
		if sample, ok := samples[p.Owner]; ok && p.Owner != "" {
			mean = mean.add(sample.rates[partition.ID(p.Partition)]/sample.reports, sample.covered)
		}
		meanLoads[p.Partition] = mean
	}
	ls.meanLoads = meanLoads
}

// add adds a rate, weighted by the fraction of the window that it covers.
func (m meanLoad) add(rate float64, covered clock.Millis) meanLoad {
	m.covered = min(m.covered+covered, meanLoadWindow)
	m.rate += (rate - m.rate) * float64(covered) / float64(m.covered)
	return m
}

// loads returns the mean request rates by partition.
func (ls *leaderState) loads() partition.Load {
	loads := make(partition.Load, len(ls.meanLoads))
	for id, load := range ls.meanLoads {
		loads[partition.ID(id)] = load.rate
	}
	return loads
}

// idleShare returns the weight of an idle partition for partition.Plan. The
// fewer requests the means are measured from, the higher it is, so that
// planning depends more on the number of partitions and less on their load.
func (ls *leaderState) idleShare(partitions []wire.Partition, members int) float64 {
	requests := 0.0
	for _, p := range partitions {
		load := ls.meanLoads[p.Partition]
		requests += load.rate * load.covered.Duration().Seconds()
	}
	if requests == 0 {
		return partition.DefaultIdleShare
	}
	return max(partition.DefaultIdleShare, priorRequests*float64(members)/requests)
}

// reportedMembers returns the incarnations in the last heartbeat of each node
// of this leadership term.
func (ls *leaderState) reportedMembers() map[wire.Incarnation]bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	reported := make(map[wire.Incarnation]bool, len(ls.nodes))
	for _, record := range ls.nodes {
		reported[record.incarnation] = true
	}
	return reported
}

// nodeRecord returns a copy of the record of a node.
func (ls *leaderState) nodeRecord(name wire.NodeID) (nodeRecord, bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	r, ok := ls.nodes[name]
	if !ok {
		return nodeRecord{}, false
	}
	return *r, true
}

// nodeNames returns the nodes that have sent a heartbeat in this leadership
// term.
func (ls *leaderState) nodeNames() []wire.NodeID {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return slices.Collect(maps.Keys(ls.nodes))
}
