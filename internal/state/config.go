package state

import (
	"maps"
	"slices"

	"github.com/gentiansail/gentiansail/internal/revision"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// maxAnswers is how many apply requests are remembered. At 17,000 changes a day
// it covers resends for more than five hours.
const maxAnswers = 4096

// answer is the recorded response to one apply request.
type answer struct {
	RequestID wire.RequestID
	Response  wire.ApplyResponse
}

// Service is what the machine keeps of a service beyond its configuration.
type Service struct {
	// CreatedAt is the index from which the service has its partitions.
	CreatedAt wire.Version
	// Partitions is their number, zero for a service that is not keyed or gone.
	Partitions int
	// Recreated is set when the service had partitions before. Owners of those
	// may serve until their leases end, so the leader waits that long after
	// CreatedAt before it assigns the new ones.
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

func (m *Machine) applyConfig(r wire.ApplyRequest) Result {
	if a, ok := m.answerTo(r.RequestID); ok {
		a.Replayed = true
		return Result{Apply: &a}
	}
	a := m.decideConfig(r)
	m.Answers = append(m.Answers, answer{RequestID: r.RequestID, Response: a})
	if len(m.Answers) > maxAnswers {
		m.Answers = slices.Clone(m.Answers[len(m.Answers)-maxAnswers:])
	}
	return Result{Apply: &a}
}

func (m *Machine) answerTo(id wire.RequestID) (wire.ApplyResponse, bool) {
	i := slices.IndexFunc(m.Answers, func(a answer) bool { return a.RequestID == id })
	if i < 0 {
		return wire.ApplyResponse{}, false
	}
	return m.Answers[i].Response, true
}

func (m *Machine) decideConfig(r wire.ApplyRequest) wire.ApplyResponse {
	if r.BaseRevision != m.Revision {
		refusal := "base revision " + itoa(int(r.BaseRevision)) + " is not the current revision " + itoa(int(m.Revision))
		m.audit(string(r.Operator), "configuration refused: "+refusal, itoa(int(m.Revision)), itoa(int(m.Revision)))
		return wire.ApplyResponse{Revision: m.Revision, RejectReason: refusal}
	}
	m.Revision++
	c := change{Configuration: true}
	if names, ok := revision.Compare(m.Configuration, r.Configuration); ok {
		c.Names = &names
	}
	m.Configuration = r.Configuration
	c.Partitions = m.updateServices()
	m.change(c)
	m.audit(string(r.Operator), "configuration applied", itoa(int(r.BaseRevision)), itoa(int(m.Revision)))
	return wire.ApplyResponse{Accepted: true, Revision: m.Revision}
}

// updateServices creates and removes partitions so that they match the
// configuration, and returns those that changed.
func (m *Machine) updateServices() []wire.PartitionID {
	wanted := make(map[wire.ServiceName]int)
	for _, s := range m.Configuration.Services {
		wanted[s.Name] = 0
		if s.Keyed {
			wanted[s.Name] = max(0, s.Partitions)
		}
	}
	names := maps.Clone(wanted)
	for name := range m.Services {
		names[name] = wanted[name]
	}
	var changed []wire.PartitionID
	for _, name := range slices.Sorted(maps.Keys(names)) {
		changed = append(changed, m.updateService(name, names[name])...)
	}
	return changed
}

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
