package registry

import (
	"maps"
	"slices"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// Instance returns the instance with the given id.
func (m *Machine) Instance(id message.InstanceID) (message.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, ok := m.state.Instances[id]
	return i, ok
}

// Instances returns all instances, sorted by id.
func (m *Machine) Instances() []message.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]message.Instance, 0, len(m.state.Instances))
	for _, id := range slices.Sorted(maps.Keys(m.state.Instances)) {
		out = append(out, m.state.Instances[id])
	}
	return out
}

// Service returns the service with the given name.
func (m *Machine) Service(name message.ServiceName) (message.ServiceSpec, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, v := range m.state.Services {
		if v.Name == name {
			return v, true
		}
	}
	return message.ServiceSpec{}, false
}

// Services returns all services.
func (m *Machine) Services() []message.ServiceSpec {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.state.Services)
}

// followed is the outcome of a command for an incarnation that was followed by another one.
var followed = Outcome{Stale, "another incarnation of the target has started since"}

// register adds or updates an instance. The incarnation before it, and others under its id
// or at its address, have ended; they are removed. Which of two incarnations came first is
// told by the sidecar beside them: their start times are from a clock that may be set back.
func (s *state) register(instance message.Instance, before *message.Incarnation) Outcome {
	if slices.Contains(s.Followed, instance.Incarnation) {
		return followed
	}
	s.recordFollowed(before)
	old, known := s.Instances[instance.Incarnation.ID]
	// Draining ends only with a new incarnation.
	wasDraining := known && old.Incarnation == instance.Incarnation && old.Draining
	instance.Draining = instance.Draining || wasDraining || slices.Contains(s.Departed, instance.Incarnation)
	for _, id := range slices.Sorted(maps.Keys(s.Instances)) {
		other := s.Instances[id].Incarnation
		if other != instance.Incarnation && (id == instance.Incarnation.ID || s.Instances[id].Peer == instance.Peer) {
			s.recordFollowed(&other)
		}
	}
	s.setInstance(instance)
	return Outcome{Status: Done}
}

// recordFollowed removes an incarnation for good, since another one has started after it.
func (s *state) recordFollowed(before *message.Incarnation) {
	if before == nil {
		return
	}
	if s.Instances[before.ID].Incarnation == *before {
		s.removeIncarnation(*before)
	}
	if !slices.Contains(s.Followed, *before) {
		s.Followed = append(s.Followed, *before)
		s.Followed = s.Followed[max(len(s.Followed)-maxFollowed, 0):]
	}
}

func (s *state) setInstance(instance message.Instance) {
	s.Instances[instance.Incarnation.ID] = instance
	s.publish(message.ItemInstance+string(instance.Incarnation.ID), instance)
}

// rememberDeparture remembers an incarnation that has left. Its process may still run, and a
// late heartbeat may register it again.
func (s *state) rememberDeparture(incarnation message.Incarnation) {
	if slices.Contains(s.Departed, incarnation) {
		return
	}
	s.Departed = append(s.Departed, incarnation)
	s.Departed = s.Departed[max(len(s.Departed)-maxDeparted, 0):]
}

// removeIncarnation removes an incarnation and unassigns its keys.
func (s *state) removeIncarnation(incarnation message.Incarnation) {
	if s.Instances[incarnation.ID].Draining {
		s.rememberDeparture(incarnation)
	}
	delete(s.Instances, incarnation.ID)
	s.unpublish(message.ItemInstance + string(incarnation.ID))
	for _, service := range slices.Sorted(maps.Keys(s.Assignments)) {
		s.unassign(service, incarnation)
	}
}

// unassign unassigns the keys of a service that an incarnation owns and cancels the moves
// of keys to it.
func (s *state) unassign(service message.ServiceName, incarnation message.Incarnation) {
	list := slices.Clone(s.Assignments[service].List)
	changed := false
	for i := range list {
		if list[i].NextOwner == incarnation {
			list[i].NextOwner, list[i].Move = message.Incarnation{}, 0
			changed = true
		}
		if list[i].Owner == incarnation {
			list[i].Owner, list[i].NextOwner, list[i].HandoverToken, list[i].Move = message.Incarnation{}, message.Incarnation{}, "", 0
			changed = true
		}
	}
	if changed {
		s.setAssignments(service, list)
	}
}

// drain marks an incarnation as draining. One that is not registered may still be, by a late
// heartbeat.
func (s *state) drain(c message.Leave) Outcome {
	if slices.Contains(s.Followed, c.Incarnation) {
		return followed
	}
	s.recordFollowed(c.Before)
	i, ok := s.Instances[c.Incarnation.ID]
	if !ok || i.Incarnation != c.Incarnation {
		s.rememberDeparture(c.Incarnation)
		return Outcome{Status: Done}
	}
	i.Draining = true
	s.setInstance(i)
	return Outcome{Status: Done}
}

// setStopping records whether the sidecar on the host of a target is stopping.
func (s *state) setStopping(c message.HostStop) Outcome {
	i, ok := s.Instances[c.Incarnation.ID]
	if !ok || i.Incarnation != c.Incarnation {
		return Outcome{Stale, "the incarnation is not registered"}
	}
	i.Stopping = c.Stopping
	s.setInstance(i)
	return Outcome{Status: Done}
}

// expire removes an incarnation that the leader considers lost.
func (s *state) expire(incarnation message.Incarnation) Outcome {
	i, ok := s.Instances[incarnation.ID]
	if !ok || i.Incarnation != incarnation {
		return Outcome{Stale, "the incarnation is not registered"}
	}
	s.removeIncarnation(incarnation)
	return Outcome{Status: Done}
}

// quarantineThreshold is the number of crashes of targets processing a request after which
// the request is quarantined: all hosts then reject it.
const quarantineThreshold = 3

// recordCrash counts a crash for each request that the target was processing. If there are
// more than maxSuspects such requests, it removes the oldest and ends their quarantine.
func (s *state) recordCrash(c message.Crash) Outcome {
	for _, f := range c.Fingerprints {
		if s.Suspects[f] == 0 {
			s.SuspectOrder = append(s.SuspectOrder, f)
		}
		s.Suspects[f]++
		if s.Suspects[f] == quarantineThreshold {
			s.publish(message.ItemQuarantine+f, true)
		}
	}
	for len(s.SuspectOrder) > maxSuspects {
		oldest := s.SuspectOrder[0]
		s.SuspectOrder = s.SuspectOrder[1:]
		delete(s.Suspects, oldest)
		s.unpublish(message.ItemQuarantine + oldest)
	}
	return Outcome{Status: Done}
}
