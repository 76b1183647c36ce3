package registry

import (
	"fmt"
	"slices"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// Configuration is the configuration in force, in the operator's order.
type Configuration struct {
	Revision Revision
	Routes   []message.Route
	Services []message.ServiceSpec
	Limits   string
}

// Configuration returns the configuration in force.
func (m *Machine) Configuration() Configuration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Configuration{
		Revision: m.state.Revision, Routes: slices.Clone(m.state.Routes), Services: slices.Clone(m.state.Services), Limits: m.state.Limits,
	}
}

// Accepted reports whether the change with a digest was accepted, now or earlier. False may
// also mean that this replica has not applied the change yet.
func (m *Machine) Accepted(digest string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.state.Digests, digest)
}

// applyChange accepts a change as a whole or rejects it. A change that was accepted before
// is acknowledged again, even if others have been accepted since: a sender resends it if
// it did not get the first acknowledgement.
func (s *state) applyChange(c message.ConfigurationChange) Outcome {
	if slices.Contains(s.Digests, c.Digest) {
		return Outcome{Status: Done}
	}
	if c.BaseVersion != s.Revision.Version {
		return Outcome{Conflict, fmt.Sprintf("the change builds on version %d, but version %d is in force", c.BaseVersion, s.Revision.Version)}
	}
	if c.Version <= s.Revision.Version {
		return Outcome{Invalid, fmt.Sprintf("version %d is not above version %d in force", c.Version, s.Revision.Version)}
	}
	routes, services, limits := s.merge(c)
	if reason := validate(routes, services); reason != "" {
		return Outcome{Invalid, reason}
	}
	s.Revision = Revision{Version: c.Version, Digest: c.Digest}
	s.Digests = append(s.Digests, c.Digest)
	if n := len(s.Digests); n > maxDigests {
		s.Digests = slices.Clone(s.Digests[n-maxDigests:])
	}
	s.publishConfiguration(routes, services)
	switch {
	case c.CallerLimits != nil:
		s.publish(message.ItemLimits, *c.CallerLimits)
	case limits == "":
		s.unpublish(message.ItemLimits)
	}
	s.Routes, s.Services, s.Limits = routes, services, limits
	s.publish(message.ItemRevision, s.Revision)
	return Outcome{Status: Done}
}

// merge returns the configuration that results from a change.
func (s *state) merge(c message.ConfigurationChange) ([]message.Route, []message.ServiceSpec, string) {
	if c.Replace {
		return c.Routes, c.Services, c.Limits
	}
	routes := upsert(s.Routes, c.Routes, c.RemoveRoutes, func(r message.Route) string { return r.Name })
	services := upsert(s.Services, c.Services, c.RemoveServices, func(v message.ServiceSpec) string { return string(v.Name) })
	limits := s.Limits
	if c.Limits != "" {
		limits = c.Limits
	}
	return routes, services, limits
}

// upsert returns the old list without the removed names. Each new element replaces the
// one of the same name or is appended.
func upsert[T any](old, updates []T, remove []string, name func(T) string) []T {
	removed := make(map[string]bool, len(remove))
	for _, n := range remove {
		removed[n] = true
	}
	out := make([]T, 0, len(old)+len(updates))
	positions := make(map[string]int, len(old)+len(updates))
	for _, x := range old {
		if n := name(x); !removed[n] {
			positions[n] = len(out)
			out = append(out, x)
		}
	}
	for _, x := range updates {
		n := name(x)
		if i, ok := positions[n]; ok {
			out[i] = x
			continue
		}
		positions[n] = len(out)
		out = append(out, x)
	}
	return out
}

// validate returns the reason why a configuration is invalid; empty if it is valid.
func validate(routes []message.Route, services []message.ServiceSpec) string {
	known := map[message.ServiceName]bool{}
	for _, v := range services {
		if v.Name == "" || known[v.Name] {
			return fmt.Sprintf("service %q has no name or a name that is used twice", v.Name)
		}
		known[v.Name] = true
	}
	names := map[string]bool{}
	for _, r := range routes {
		if r.Name == "" || names[r.Name] {
			return fmt.Sprintf("route %q has no name or a name that is used twice", r.Name)
		}
		names[r.Name] = true
		if reason := validateSplits(r, known); reason != "" {
			return reason
		}
	}
	return ""
}

func validateSplits(r message.Route, known map[message.ServiceName]bool) string {
	sum := 0.0
	for _, split := range r.Splits {
		if !known[split.Service] {
			return fmt.Sprintf("route %q refers to unknown service %q", r.Name, split.Service)
		}
		if split.Weight < 0 {
			return fmt.Sprintf("route %q has a negative weight", r.Name)
		}
		sum += split.Weight
	}
	if sum <= 0 {
		return fmt.Sprintf("the weights of route %q add up to 0", r.Name)
	}
	return ""
}

// publishConfiguration publishes new and changed elements and removes those that are no
// longer part of the configuration. It omits the text that the operator wrote, which
// sidecars don't need.
func (s *state) publishConfiguration(routes []message.Route, services []message.ServiceSpec) {
	keep := map[string]bool{}
	for _, r := range routes {
		r.Source = ""
		keep[message.ItemRoute+r.Name] = true
		s.publish(message.ItemRoute+r.Name, r)
	}
	for _, v := range services {
		v.Source = ""
		keep[message.ItemService+string(v.Name)] = true
		s.publish(message.ItemService+string(v.Name), v)
	}
	for _, r := range s.Routes {
		if !keep[message.ItemRoute+r.Name] {
			s.unpublish(message.ItemRoute + r.Name)
		}
	}
	for _, v := range s.Services {
		if !keep[message.ItemService+string(v.Name)] {
			s.unpublish(message.ItemService + string(v.Name))
		}
	}
}
