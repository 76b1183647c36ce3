// Package view holds a sidecar's copy of the state that the core publishes: routes,
// services, targets and the owners of key ranges.
//
// A View is immutable, so a request can use the same view from beginning to end. The
// Store applies changes from the core and never goes back to an older version.
//
// # Usage
//
//	store := view.NewStore()
//	err := store.Apply(reply)
//	route := store.Current().Match(host, path)
package view

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// ErrInvalidElement means that a published element could not be decoded.
var ErrInvalidElement = merry.Sentinel("published element cannot be decoded")

// View is the published state at one version.
type View struct {
	Version message.Version
	// Revision is the version of the configuration; 0 if there is none.
	Revision int
	// Limits are those of callers.
	Limits message.CallerLimits
	// routes is keyed by host name and then by path prefix.
	routes        map[string]map[string]*message.Route
	services      map[message.ServiceName]message.ServiceSpec
	instances     map[message.ServiceName][]message.Instance // sorted by ID
	instancesByID map[message.InstanceID]message.Instance
	rangeOwners   map[message.ServiceName][]message.RangeOwner // sorted by key
	quarantined   map[string]bool                              // by fingerprint
	evacuated     map[message.FailureDomain]bool
}

// Match returns the route with the longest prefix that matches a request, or nil.
// Route prefixes end with a slash, so only parts of the path that end with a slash are
// looked up.
func (v *View) Match(host, path string) *message.Route {
	routesByPrefix := v.routes[host]
	for slash := strings.LastIndexByte(path, '/'); slash >= 0; slash = strings.LastIndexByte(path[:slash], '/') {
		if route := routesByPrefix[path[:slash+1]]; route != nil {
			return route
		}
	}
	return nil
}

// Service returns the service with the given name.
func (v *View) Service(name message.ServiceName) (message.ServiceSpec, bool) {
	spec, ok := v.services[name]
	return spec, ok
}

// Instances returns the targets of a service.
func (v *View) Instances(name message.ServiceName) []message.Instance { return v.instances[name] }

// Instance returns the target with the given ID.
func (v *View) Instance(id message.InstanceID) (message.Instance, bool) {
	instance, ok := v.instancesByID[id]
	return instance, ok
}

// TargetCount returns the number of targets of all services.
func (v *View) TargetCount() int { return len(v.instancesByID) }

// Owner returns the target that owns a key. It returns false if the key is unassigned or
// its owner is not among the published targets.
func (v *View) Owner(name message.ServiceName, key message.Key) (message.Instance, bool) {
	r, ok := v.RangeOf(name, key)
	if !ok || r.Owner == "" {
		return message.Instance{}, false
	}
	instance, ok := v.instancesByID[r.Owner]
	return instance, ok
}

// RangeOf returns the published key range that contains a key.
func (v *View) RangeOf(name message.ServiceName, key message.Key) (message.RangeOwner, bool) {
	ranges := v.rangeOwners[name]
	i, found := slices.BinarySearchFunc(ranges, key, func(r message.RangeOwner, k message.Key) int {
		switch {
		case r.To < k:
			return -1
		case r.From > k:
			return 1
		}
		return 0
	})
	if !found {
		return message.RangeOwner{}, false
	}
	return ranges[i], true
}

// ShadowedPrefixes returns the shorter prefixes, with the host name of a route, that match all
// requests of the route too. The longest is first.
func (v *View) ShadowedPrefixes(route *message.Route) []string {
	out := []string{}
	for prefix := range v.routes[route.HostName] {
		if len(prefix) < len(route.Prefix) && strings.HasPrefix(route.Prefix, prefix) {
			out = append(out, prefix)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return len(b) - len(a) })
	return out
}

// Quarantined reports whether requests with a fingerprint are rejected because they have
// crashed several targets.
func (v *View) Quarantined(fingerprint string) bool { return v.quarantined[fingerprint] }

// Evacuated reports whether the targets of a failure domain are to get no requests.
func (v *View) Evacuated(domain message.FailureDomain) bool { return v.evacuated[domain] }

// Available returns the targets of a service outside evacuated failure domains.
func (v *View) Available(name message.ServiceName) []message.Instance {
	instances := v.instances[name]
	if len(v.evacuated) == 0 {
		return instances
	}
	var out []message.Instance
	for _, i := range instances {
		if !v.evacuated[i.Domain] {
			out = append(out, i)
		}
	}
	return out
}

// Store holds the newest view.
type Store struct {
	mu       sync.Mutex
	elements elements
	current  atomic.Pointer[View]
	changed  chan struct{}
}

// elements maps kind and name to the decoded value of each published element.
type elements map[string]map[string]any

func (e elements) set(kind, name string, value any) {
	if e[kind] == nil {
		e[kind] = map[string]any{}
	}
	e[kind][name] = value
}

// NewStore returns a store without a view.
func NewStore() *Store {
	return &Store{elements: elements{}, changed: make(chan struct{})}
}

// Current returns the newest view, or nil if there is none yet.
func (s *Store) Current() *View { return s.current.Load() }

// Changed returns a channel that is closed when a newer view is available.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply applies a reply from the core. A reply older than the current view is ignored:
// it comes from a replica that is no longer the leader.
func (s *Store) Apply(reply message.WatchReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if old != nil && reply.Version < old.Version {
		return nil
	}
	if old != nil && !reply.Full && len(reply.Items)+len(reply.Removed) == 0 {
		return nil
	}
	// All items are decoded before any is applied, so that an error leaves the store
	// unchanged.
	decoded := elements{}
	for _, item := range reply.Items {
		kind, name := splitName(item.Name)
		value, err := decode(kind, []byte(item.Text))
		if err != nil {
			return merry.Wrap(ErrInvalidElement, merry.WithCause(err), merry.AppendMessagef("%s: %v", item.Name, err))
		}
		decoded.set(kind, name, value)
	}
	if reply.Full {
		s.elements, old = elements{}, nil
	}
	changedKinds := map[string]bool{}
	for _, removed := range reply.Removed {
		kind, name := splitName(removed)
		delete(s.elements[kind], name)
		changedKinds[kind] = true
	}
	for kind, values := range decoded {
		changedKinds[kind] = true
		for name, value := range values {
			s.elements.set(kind, name, value)
		}
	}
	s.current.Store(s.elements.buildView(reply.Version, old, changedKinds))
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// splitName splits the name of an element into its kind, with the slash, and the rest.
func splitName(elementName string) (kind, rest string) {
	kind, rest, _ = strings.Cut(elementName, "/")
	return kind + "/", rest
}

// configurationVersion is the published element with the version of the configuration.
type configurationVersion struct{ Version int }

// decode decodes an element of a kind. It returns nil for kinds without content.
func decode(kind string, text []byte) (any, error) {
	switch kind {
	case message.ItemRoute:
		return unmarshal[message.Route](text)
	case message.ItemService:
		return unmarshal[message.ServiceSpec](text)
	case message.ItemInstance:
		return unmarshal[message.Instance](text)
	case message.ItemRangeOwners:
		return unmarshal[[]message.RangeOwner](text)
	case message.ItemLimits:
		return unmarshal[message.CallerLimits](text)
	case message.ItemRevision:
		return unmarshal[configurationVersion](text)
	}
	return nil, nil
}

func unmarshal[T any](text []byte) (any, error) {
	var value T
	err := json.Unmarshal(text, &value)
	return &value, err
}

// buildView returns the view of a version. Kinds of elements that have not changed are
// shared with the previous view, which may be nil, so that a change of one key range does
// not rebuild thousands of routes.
func (e elements) buildView(version message.Version, previous *View, changedKinds map[string]bool) *View {
	v := &View{Version: version}
	if previous != nil {
		*v = *previous
		v.Version = version
	}
	changed := func(kind string) bool { return previous == nil || changedKinds[kind] }
	if changed(message.ItemRoute) {
		v.routes = indexRoutes(e[message.ItemRoute])
	}
	if changed(message.ItemService) {
		v.services = map[message.ServiceName]message.ServiceSpec{}
		for _, value := range e[message.ItemService] {
			spec := value.(*message.ServiceSpec)
			v.services[spec.Name] = *spec
		}
	}
	if changed(message.ItemInstance) {
		v.instancesByID, v.instances = indexInstances(e[message.ItemInstance])
	}
	if changed(message.ItemRangeOwners) {
		v.rangeOwners = mergeRangeOwners(e[message.ItemRangeOwners])
	}
	if changed(message.ItemQuarantine) {
		v.quarantined = map[string]bool{}
		for fingerprint := range e[message.ItemQuarantine] {
			v.quarantined[fingerprint] = true
		}
	}
	if changed(message.ItemEvacuation) {
		v.evacuated = map[message.FailureDomain]bool{}
		for domain := range e[message.ItemEvacuation] {
			v.evacuated[message.FailureDomain(domain)] = true
		}
	}
	if changed(message.ItemLimits) {
		v.Limits = message.CallerLimits{}
		for _, value := range e[message.ItemLimits] {
			v.Limits = *value.(*message.CallerLimits)
		}
	}
	if changed(message.ItemRevision) {
		for _, value := range e[message.ItemRevision] {
			v.Revision = value.(*configurationVersion).Version
		}
	}
	return v
}

// indexRoutes returns the routes by host name and path prefix. If two routes have the
// same host name and prefix, the one whose name sorts first is used.
func indexRoutes(elementsByName map[string]any) map[string]map[string]*message.Route {
	out := map[string]map[string]*message.Route{}
	for _, value := range elementsByName {
		route := value.(*message.Route)
		if out[route.HostName] == nil {
			out[route.HostName] = map[string]*message.Route{}
		}
		if other := out[route.HostName][route.Prefix]; other == nil || route.Name < other.Name {
			out[route.HostName][route.Prefix] = route
		}
	}
	return out
}

// mergeRangeOwners joins the published sections of each service and sorts them by key.
// The name of a section starts with the name of its service.
func mergeRangeOwners(elementsByName map[string]any) map[message.ServiceName][]message.RangeOwner {
	out := map[message.ServiceName][]message.RangeOwner{}
	for name, value := range elementsByName {
		service, _, _ := strings.Cut(name, "/")
		out[message.ServiceName(service)] = append(out[message.ServiceName(service)], *value.(*[]message.RangeOwner)...)
	}
	for _, ranges := range out {
		slices.SortFunc(ranges, func(a, b message.RangeOwner) int { return int(a.From - b.From) })
	}
	return out
}

// indexInstances returns the targets by ID, and by service in the order of their IDs.
func indexInstances(elementsByName map[string]any) (map[message.InstanceID]message.Instance, map[message.ServiceName][]message.Instance) {
	byID, byService := map[message.InstanceID]message.Instance{}, map[message.ServiceName][]message.Instance{}
	for _, value := range elementsByName {
		instance := *value.(*message.Instance)
		byID[instance.Incarnation.ID] = instance
		byService[instance.Service] = append(byService[instance.Service], instance)
	}
	for _, instances := range byService {
		slices.SortFunc(instances, func(a, b message.Instance) int {
			return strings.Compare(string(a.Incarnation.ID), string(b.Incarnation.ID))
		})
	}
	return byID, byService
}
