package table

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// Version returns the log index up to which the snapshot is complete.
func (s *Snapshot) Version() wire.Version { return s.version }

// Revision returns the revision of the configuration in force.
func (s *Snapshot) Revision() wire.Revision { return s.revision }

// Configuration returns the configuration in force. It must not be changed.
func (s *Snapshot) Configuration() wire.Configuration { return s.configuration }

// Service returns the configuration of a service.
func (s *Snapshot) Service(name wire.ServiceName) (wire.ServiceConfig, bool) {
	v, ok := s.services[name]
	if !ok {
		return wire.ServiceConfig{}, false
	}
	return v.config, true
}

// Member returns a live member.
func (s *Snapshot) Member(i wire.Incarnation) (wire.Member, bool) {
	m, ok := s.members[i]
	return m, ok
}

// MembersOfService returns the live members of a service in the order of their
// incarnations. The slice must not be changed.
func (s *Snapshot) MembersOfService(name wire.ServiceName) []wire.Member {
	v, ok := s.services[name]
	if !ok {
		return nil
	}
	return v.members
}

// Suspect returns the record of a request that was in flight when a target
// died.
func (s *Snapshot) Suspect(f wire.Fingerprint) (wire.Suspect, bool) {
	v, ok := s.suspects[f]
	return v, ok
}

// PartitionOfKey returns the partition of a key: its own one if the key is isolated,
// else the numbered one. It returns false when the service has no partitions or
// the table does not hold this one yet.
func (s *Snapshot) PartitionOfKey(name wire.ServiceName, key string) (wire.Partition, bool) {
	return s.PartitionOfHash(name, partition.Hash(key))
}

// PartitionOfHash is Partition for a key's hash.
func (s *Snapshot) PartitionOfHash(name wire.ServiceName, hash uint64) (wire.Partition, bool) {
	v, ok := s.services[name]
	if !ok || len(v.numbered) == 0 {
		return wire.Partition{}, false
	}
	if p, ok := v.overrides[hash]; ok {
		return p, true
	}
	p := v.numbered[partition.OfHash(hash, len(v.numbered))]
	return p, p.Partition != ""
}

// PartitionByID returns a partition by its id.
func (s *Snapshot) PartitionByID(id wire.PartitionID) (wire.Partition, bool) {
	v, ok := s.services[serviceOf(id)]
	if !ok {
		return wire.Partition{}, false
	}
	n, hash, isOverride := parse(id)
	if isOverride {
		p, ok := v.overrides[hash]
		return p, ok
	}
	if n < 0 || n >= len(v.numbered) {
		return wire.Partition{}, false
	}
	p := v.numbered[n]
	return p, p.Partition != ""
}

// PartitionsOwnedBy returns the partitions that an incarnation owns, in the order of their
// services and ids.
func (s *Snapshot) PartitionsOwnedBy(i wire.Incarnation) []wire.Partition {
	var out []wire.Partition
	for p := range s.each {
		if p.Owner == i {
			out = append(out, p)
		}
	}
	return out
}

// each yields the partitions of all services in a fixed order.
func (s *Snapshot) each(yield func(wire.Partition) bool) {
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		for _, p := range v.numbered {
			if p.Partition != "" && !yield(p) {
				return
			}
		}
		for _, h := range slices.Sorted(maps.Keys(v.overrides)) {
			if !yield(v.overrides[h]) {
				return
			}
		}
	}
}

func (v *service) put(p wire.Partition) {
	n, hash, isOverride := parse(p.Partition)
	switch {
	case isOverride:
		v.overrides[hash] = p
	case n >= 0 && n < len(v.numbered):
		v.numbered[n] = p
	}
}

func (v *service) remove(id wire.PartitionID) {
	n, hash, isOverride := parse(id)
	switch {
	case isOverride:
		delete(v.overrides, hash)
	case n >= 0 && n < len(v.numbered):
		v.numbered[n] = wire.Partition{}
	}
}

// parse reads the part of a partition's id after the service. The number is -1
// when there is none.
func parse(id wire.PartitionID) (number int, hash uint64, isOverride bool) {
	local := string(id[strings.LastIndexByte(string(id), '/')+1:])
	if digits, ok := strings.CutPrefix(local, "k"); ok {
		hash, ok = partition.ParseHash(digits)
		return -1, hash, ok
	}
	n, err := strconv.Atoi(local)
	if err != nil {
		return -1, 0, false
	}
	return n, 0, false
}

// Route is a route of the configuration, prepared for lookups.
type Route struct {
	wire.RouteConfig
}

// sortRoutes orders routes by descending length of their prefix, so that the
// first match is the longest. Routes of equal prefix keep their order.
func sortRoutes(configs []wire.RouteConfig) []Route {
	routes := make([]Route, 0, len(configs))
	for _, c := range configs {
		routes = append(routes, Route{RouteConfig: c})
	}
	slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Path) - len(a.Path) })
	return routes
}

// Route returns the route for a method and path: of those that take the method,
// the one with the longest matching path prefix. A prefix matches whole path
// segments only.
func (s *Snapshot) Route(method, path string) (*Route, bool) {
	for i := range s.routes {
		r := &s.routes[i]
		if matches(r.Path, path) && slices.Contains(r.Methods, method) {
			return r, true
		}
	}
	return nil, false
}

// RouteByName returns the route with a name.
func (s *Snapshot) RouteByName(name wire.RouteName) (*Route, bool) {
	for i := range s.routes {
		if s.routes[i].Name == name {
			return &s.routes[i], true
		}
	}
	return nil, false
}

func matches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}

// Key returns the key of a request, and false when the request carries none or
// the route has no key.
func (r *Route) Key(request *http.Request) (string, bool) {
	k := r.RouteConfig.Key
	if k == nil {
		return "", false
	}
	var key string
	switch k.From {
	case wire.KeyLocationPathSegment:
		key = segment(request.URL.Path, k.Segment)
	case wire.KeyLocationHeader:
		key = request.Header.Get(k.Name)
	case wire.KeyLocationQuery:
		key = request.URL.Query().Get(k.Name)
	}
	return key, key != ""
}

// segment returns the n-th segment of a path, counted from 1.
func segment(path string, n int) string {
	rest := strings.TrimPrefix(path, "/")
	for ; n > 1; n-- {
		_, after, ok := strings.Cut(rest, "/")
		if !ok {
			return ""
		}
		rest = after
	}
	s, _, _ := strings.Cut(rest, "/")
	return s
}
