package state

import (
	"maps"
	"slices"

	"github.com/gentiansail/gentiansail/internal/revision"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// maxRecordedResponses is the number of apply requests whose responses are kept for
// resends. At 17,000 changes a day it covers resends for more than five hours.
const maxRecordedResponses = 4096

// recordedResponse is the recorded response to one apply request.
type recordedResponse struct {
	RequestID wire.RequestID
	Response  wire.ApplyResponse
}

// Service is the state of a service that is not part of its configuration.
type Service struct {
	// CreatedAt is the index of the entry that created the partitions of the service.
	CreatedAt wire.Version
	// Partitions is the number of partitions. It is zero for a service that is not
	// keyed or no longer configured.
	Partitions int
	// Recreated is set when the service had other partitions before. Their owners may
	// serve until their leases end, so the leader waits that long after CreatedAt
	// before it assigns the new partitions.
	Recreated bool
}

func emptyConfiguration() wire.Configuration {
	return wire.Configuration{
		CallerLimits: []wire.CallerLimit{},
		Regions:      []wire.RegionConfig{},
		Routes:       []wire.RouteConfig{},
		Services:     []wire.ServiceConfig{},
	}
}

// applyConfig applies a request to replace the configuration. For a request that was
// applied before, it returns the recorded response.
func (m *Machine) applyConfig(r wire.ApplyRequest) Result {
	if response, ok := m.findResponse(r.RequestID); ok {
		response.Replayed = true
		return Result{Apply: &response}
	}
	response := m.replaceConfig(r)
	m.RecordedResponses = append(m.RecordedResponses, recordedResponse{RequestID: r.RequestID, Response: response})
	if len(m.RecordedResponses) > maxRecordedResponses {
		m.RecordedResponses = slices.Clone(m.RecordedResponses[len(m.RecordedResponses)-maxRecordedResponses:])
	}
	return Result{Apply: &response}
}

func (m *Machine) findResponse(id wire.RequestID) (wire.ApplyResponse, bool) {
	i := slices.IndexFunc(m.RecordedResponses, func(r recordedResponse) bool { return r.RequestID == id })
	if i < 0 {
		return wire.ApplyResponse{}, false
	}
	return m.RecordedResponses[i].Response, true
}

// replaceConfig replaces the configuration if the request is based on the current
// revision.
func (m *Machine) replaceConfig(r wire.ApplyRequest) wire.ApplyResponse {
	if r.BaseRevision != m.Revision {
		reason := "base revision " + itoa(int(r.BaseRevision)) + " is not the current revision " + itoa(int(m.Revision))
		m.recordAudit(string(r.Operator), "configuration refused: "+reason, itoa(int(m.Revision)), itoa(int(m.Revision)))
		return wire.ApplyResponse{Revision: m.Revision, RejectReason: reason}
	}
	m.Revision++
	c := tableChange{Configuration: true}
	if names, ok := revision.Compare(m.Configuration, r.Configuration); ok {
		c.Names = &names
	}
	m.Configuration = r.Configuration
	c.Partitions = m.updateServices()
	m.recordChange(c)
	m.recordAudit(string(r.Operator), "configuration applied", itoa(int(r.BaseRevision)), itoa(int(m.Revision)))
	return wire.ApplyResponse{Accepted: true, Revision: m.Revision}
}

// updateServices creates and removes partitions so that they match the configuration, and
// returns those that were created or removed.
func (m *Machine) updateServices() []wire.PartitionID {
	configured := make(map[wire.ServiceName]int)
	for _, s := range m.Configuration.Services {
		configured[s.Name] = 0
		if s.Keyed {
			configured[s.Name] = max(0, s.Partitions)
		}
	}
	counts := maps.Clone(configured)
	for name := range m.Services {
		counts[name] = configured[name]
	}
	var changed []wire.PartitionID
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		changed = append(changed, m.updateService(name, counts[name])...)
	}
	return changed
}

// updateService replaces the partitions of a service if their number differs from count,
// and returns the partitions that were removed or created.
func (m *Machine) updateService(name wire.ServiceName, count int) []wire.PartitionID {
	old, known := m.Services[name]
	if known && old.Partitions == count {
		return nil
	}
	changed := m.removePartitions(name)
	m.Services[name] = Service{CreatedAt: m.Index, Partitions: count, Recreated: old.Recreated || old.Partitions > 0}
	for n := range count {
		id := PartitionID(name, partition.Number(n))
		m.Partitions[id] = wire.Partition{Partition: id, Service: name}
		changed = append(changed, id)
	}
	return changed
}

func (m *Machine) removePartitions(name wire.ServiceName) []wire.PartitionID {
	var removed []wire.PartitionID
	for _, id := range slices.Sorted(maps.Keys(m.Partitions)) {
		if m.Partitions[id].Service == name {
			delete(m.Partitions, id)
			removed = append(removed, id)
		}
	}
	return removed
}
