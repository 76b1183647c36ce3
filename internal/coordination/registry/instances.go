package registry

import (
	"maps"
	"slices"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// Instance returns the instance with an id.
func (m *Machine) Instance(id message.InstanceID) (message.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, ok := m.s.Instances[id]
	return i, ok
}

// Instances returns all instances, in the order of their ids.
func (m *Machine) Instances() []message.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]message.Instance, 0, len(m.s.Instances))
	for _, id := range slices.Sorted(maps.Keys(m.s.Instances)) {
		out = append(out, m.s.Instances[id])
	}
	return out
}

// Keyed reports whether a service is known and divided by key.
func (m *Machine) Keyed(name message.ServiceName) (known, keyed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, v := range m.s.Services {
		if v.Name == name {
			return true, v.Keyed
		}
	}
	return false, false
}

// register adds a target or changes what is known of it. A later start under the
// same id, or at the same address, shows that the earlier lifetime has ended.
func (s *state) register(n message.Instance) Outcome {
	old, known := s.Instances[n.Incarnation.ID]
	if known && old.Incarnation.StartTime > n.Incarnation.StartTime {
		return Outcome{Stale, "a later lifetime of the target is registered"}
	}
	for _, o := range s.Instances {
		if o.Peer == n.Peer && o.Incarnation.ID != n.Incarnation.ID && o.Incarnation.StartTime > n.Incarnation.StartTime {
			return Outcome{Stale, "a later target is registered at the address"}
		}
	}
	if known && old.Incarnation == n.Incarnation {
		// Nothing but a new lifetime ends a drain.
		n.Draining = n.Draining || old.Draining
	}
	for _, id := range slices.Sorted(maps.Keys(s.Instances)) {
		o := s.Instances[id]
		if o.Incarnation != n.Incarnation && (id == n.Incarnation.ID || o.Peer == n.Peer) {
			s.remove(o.Incarnation)
		}
	}
	s.set(n)
	return Outcome{Status: Done}
}

func (s *state) set(n message.Instance) {
	s.Instances[n.Incarnation.ID] = n
	s.publish(message.ItemInstance+string(n.Incarnation.ID), n)
}

// remove takes a lifetime out and frees its keys.
func (s *state) remove(l message.Incarnation) {
	delete(s.Instances, l.ID)
	s.withdraw(message.ItemInstance + string(l.ID))
	for _, name := range slices.Sorted(maps.Keys(s.Rows)) {
		s.free(name, l)
	}
}

func (s *state) free(name message.ServiceName, l message.Incarnation) {
	list := slices.Clone(s.Rows[name].List)
	touched := false
	for i := range list {
		if list[i].NextOwner == l {
			list[i].NextOwner = message.Incarnation{}
			touched = true
		}
		if list[i].Owner == l {
			list[i].Owner, list[i].NextOwner, list[i].HandoverToken = message.Incarnation{}, message.Incarnation{}, ""
			touched = true
		}
	}
	if touched {
		s.setRows(name, list)
	}
}

func (s *state) leave(c message.Leave) Outcome {
	i, ok := s.Instances[c.Incarnation.ID]
	if !ok || i.Incarnation.StartTime > c.Incarnation.StartTime {
		// There is nothing to send to, which is what was asked for.
		return Outcome{Status: Done}
	}
	i.Draining = true
	s.set(i)
	return Outcome{Status: Done}
}

func (s *state) hostStop(c message.HostStop) Outcome {
	i, ok := s.Instances[c.Incarnation.ID]
	if !ok || i.Incarnation != c.Incarnation {
		return Outcome{Stale, "the lifetime is not registered"}
	}
	i.Stopping = c.Stopping
	s.set(i)
	return Outcome{Status: Done}
}

func (s *state) expire(l message.Incarnation) Outcome {
	i, ok := s.Instances[l.ID]
	if !ok || i.Incarnation != l {
		return Outcome{Stale, "the lifetime is not registered"}
	}
	s.remove(l)
	return Outcome{Status: Done}
}

// quarantineAfter is the number of targets that a request may crash before it is
// refused everywhere.
const quarantineAfter = 3

// crash counts the requests that a target ran when it died.
func (s *state) crash(c message.Crash) Outcome {
	for _, f := range c.Fingerprints {
		if s.Suspects[f] == 0 {
			s.SuspectOrder = append(s.SuspectOrder, f)
		}
		s.Suspects[f]++
		if s.Suspects[f] == quarantineAfter {
			s.publish(message.ItemQuarantine+f, true)
		}
	}
	for len(s.SuspectOrder) > maxSuspects {
		oldest := s.SuspectOrder[0]
		s.SuspectOrder = s.SuspectOrder[1:]
		delete(s.Suspects, oldest)
		s.withdraw(message.ItemQuarantine + oldest)
	}
	return Outcome{Status: Done}
}
