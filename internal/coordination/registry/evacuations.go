package registry

import (
	"fmt"
	"maps"
	"slices"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

const (
	// maxEvacuations bounds the failure domains that are evacuated at once. Each is published
	// to all sidecars.
	maxEvacuations = 256
	// maxDomainBytes bounds the name of a failure domain.
	maxDomainBytes = 128
)

// setEvacuation begins or ends the evacuation of a failure domain. An order that has taken
// effect already is acknowledged again. A domain may have no targets yet.
func (s *state) setEvacuation(c message.Evacuation) Outcome {
	if reason := InvalidDomain(c.Domain); reason != "" {
		return Outcome{Invalid, reason}
	}
	if !c.Active {
		delete(s.Evacuated, c.Domain)
		s.unpublish(message.ItemEvacuation + string(c.Domain))
		return Outcome{Status: Done}
	}
	if !s.Evacuated[c.Domain] && len(s.Evacuated) >= maxEvacuations {
		return Outcome{Invalid, fmt.Sprintf("%d failure domains are evacuated already", maxEvacuations)}
	}
	s.Evacuated[c.Domain] = true
	s.publish(message.ItemEvacuation+string(c.Domain), true)
	return Outcome{Status: Done}
}

// InvalidDomain returns why a name cannot be that of a failure domain, or "" if it can.
func InvalidDomain(d message.FailureDomain) string {
	if d == "" {
		return "the failure domain is missing"
	}
	if len(d) > maxDomainBytes {
		return fmt.Sprintf("the name of the failure domain is longer than %d bytes", maxDomainBytes)
	}
	for i := range len(d) {
		if d[i] <= ' ' || d[i] > '~' || d[i] == '/' {
			return "the name of the failure domain has a slash, a space or a character that is not printable ASCII"
		}
	}
	return ""
}

// Evacuated reports whether a failure domain is evacuated.
func (m *Machine) Evacuated(d message.FailureDomain) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Evacuated[d]
}

// EvacuatedDomains returns the evacuated failure domains, sorted by name.
func (m *Machine) EvacuatedDomains() []message.FailureDomain {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.state.Evacuated))
}
