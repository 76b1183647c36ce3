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

// Version returns the log index up to which the snapshot contains all changes.
func (s *Snapshot) Version() wire.Version { return s.version }

// Revision returns the revision of the configuration.
func (s *Snapshot) Revision() wire.Revision { return s.revision }

// Configuration returns the configuration. The caller must not change it.
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
// incarnations. The caller must not change the slice.
func (s *Snapshot) MembersOfService(name wire.ServiceName) []wire.Member {
	v, ok := s.services[name]
	if !ok {
		return nil
	}
	return v.members
}

// Suspect returns the record of a request that was in flight when a target crashed.
func (s *Snapshot) Suspect(f wire.Fingerprint) (wire.Suspect, bool) {
	v, ok := s.suspects[f]
	return v, ok
}

// PartitionOfKey returns the partition of a key: its own if the key is isolated, otherwise
// the numbered one. It returns false if the service has no partitions or the table has not
// received this one yet.
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

// PartitionByID returns the partition with an ID.
func (s *Snapshot) PartitionByID(id wire.PartitionID) (wire.Partition, bool) {
	v, ok := s.services[serviceOf(id)]
	if !ok {
		return wire.Partition{}, false
	}
	n, hash, isOverride := parsePartitionID(id)
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

// PartitionsOwnedBy returns the partitions that an incarnation owns, ordered by service. For
// each service, numbered partitions precede those of isolated keys.
func (s *Snapshot) PartitionsOwnedBy(i wire.Incarnation) []wire.Partition {
	var out []wire.Partition
	for p := range s.allPartitions {
		if p.Owner == i {
			out = append(out, p)
		}
	}
	return out
}

// allPartitions yields the partitions of all services in a deterministic order.
func (s *Snapshot) allPartitions(yield func(wire.Partition) bool) {
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

// put stores a partition. It ignores one whose ID is not valid for the service.
func (v *serviceTable) put(p wire.Partition) {
	n, hash, isOverride := parsePartitionID(p.Partition)
	switch {
	case isOverride:
		v.overrides[hash] = p
	case n >= 0 && n < len(v.numbered):
		v.numbered[n] = p
	}
}

func (v *serviceTable) remove(id wire.PartitionID) {
	n, hash, isOverride := parsePartitionID(id)
	switch {
	case isOverride:
		delete(v.overrides, hash)
	case n >= 0 && n < len(v.numbered):
		v.numbered[n] = wire.Partition{}
	}
}

// parsePartitionID parses the part of a partition's ID after the service: the number, which
// is -1 if there is none, or the key hash of an override.
func parsePartitionID(id wire.PartitionID) (number int, hash uint64, isOverride bool) {
	suffix := string(id[strings.LastIndexByte(string(id), '/')+1:])
	if digits, ok := strings.CutPrefix(suffix, "k"); ok {
		hash, ok = partition.ParseHash(digits)
		return -1, hash, ok
	}
	n, err := strconv.Atoi(suffix)
	if err != nil {
		return -1, 0, false
	}
	return n, 0, false
}

// Route is a route of the configuration, prepared for lookups.
type Route struct {
	wire.RouteConfig
}

// sortRoutes sorts routes by decreasing length of their path prefix, so that the first
// match has the longest prefix. Routes with prefixes of equal length keep their order.
func sortRoutes(configs []wire.RouteConfig) []Route {
	routes := make([]Route, 0, len(configs))
	for _, c := range configs {
		routes = append(routes, Route{RouteConfig: c})
	}
	slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Path) - len(a.Path) })
	return routes
}

// Route returns the route for a method and path: among the routes that accept the method,
// the one with the longest matching path prefix. A prefix matches whole path segments only.
func (s *Snapshot) Route(method, path string) (*Route, bool) {
	for i := range s.routes {
		r := &s.routes[i]
		if matchesPrefix(r.Path, path) && slices.Contains(r.Methods, method) {
			return r, true
		}
	}
	return nil, false
}

// RouteByName returns the route with the given name.
func (s *Snapshot) RouteByName(name wire.RouteName) (*Route, bool) {
	for i := range s.routes {
		if s.routes[i].Name == name {
			return &s.routes[i], true
		}
	}
	return nil, false
}

// matchesPrefix reports whether a path starts with a prefix that ends at a segment boundary
// of the path.
func matchesPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}

// Key returns the key of a request, and false if the request contains no key or the route
// does not define one.
func (r *Route) Key(request *http.Request) (string, bool) {
	source := r.RouteConfig.Key
	if source == nil {
		return "", false
	}
	var key string
	switch source.From {
	case wire.KeyLocationPathSegment:
		key = pathSegment(request.URL.Path, source.Segment)
	case wire.KeyLocationHeader:
		key = request.Header.Get(source.Name)
	case wire.KeyLocationQuery:
		key = request.URL.Query().Get(source.Name)
	}
	return key, key != ""
}

// pathSegment returns the n-th segment of a path, counted from 1, or "" if the path has
// fewer segments.
func pathSegment(path string, n int) string {
	remaining := strings.TrimPrefix(path, "/")
	for ; n > 1; n-- {
		_, after, ok := strings.Cut(remaining, "/")
		if !ok {
			return ""
		}
		remaining = after
	}
	first, _, _ := strings.Cut(remaining, "/")
	return first
}
