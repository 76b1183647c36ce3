// Package view is a sidecar's copy of the core's published state: routes,
// services, targets and who holds which keys.
//
// A View is immutable; requests read one view from beginning to end. The Book takes
// changes from the core and never goes back to an older version.
//
// # Usage
//
//	b := view.NewBook()
//	v, err := b.Take(reply)
//	route := v.Match(host, path)
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

// ErrInvalidElement means that a published element cannot be read.
var ErrInvalidElement = merry.Sentinel("published element cannot be read")

// View is the published state at one version.
type View struct {
	Version  message.Version
	Revision int
	// routes by host name and prefix.
	routes      map[string]map[string]*message.Route
	services    map[message.ServiceName]message.ServiceSpec
	instances   map[message.ServiceName][]message.Instance
	byID        map[message.InstanceID]message.Instance
	spans       map[message.ServiceName][]message.RangeOwner
	quarantined map[string]bool
}

// Match returns the route of a request, the one with the longest prefix, or nil.
// Prefixes end with a slash, so only the parts of the path up to a slash are looked up.
func (v *View) Match(host, path string) *message.Route {
	of := v.routes[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := of[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns a service of the configuration.
func (v *View) Service(name message.ServiceName) (message.ServiceSpec, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Instances returns the targets of a service.
func (v *View) Instances(name message.ServiceName) []message.Instance { return v.instances[name] }

// Instance returns a target.
func (v *View) Instance(id message.InstanceID) (message.Instance, bool) {
	i, ok := v.byID[id]
	return i, ok
}

// TargetCount returns the number of targets of all services.
func (v *View) TargetCount() int { return len(v.byID) }

// Owner returns the target that holds a key.
func (v *View) Owner(name message.ServiceName, key message.Key) (message.Instance, bool) {
	spans := v.spans[name]
	i, found := slices.BinarySearchFunc(spans, key, func(r message.RangeOwner, k message.Key) int {
		switch {
		case r.To < k:
			return -1
		case r.From > k:
			return 1
		}
		return 0
	})
	if !found || spans[i].Owner == "" {
		return message.Instance{}, false
	}
	n, ok := v.byID[spans[i].Owner]
	return n, ok
}

// Quarantined reports whether a request has crashed several targets.
func (v *View) Quarantined(fingerprint string) bool { return v.quarantined[fingerprint] }

// Store holds the newest view.
type Store struct {
	mu      sync.Mutex
	items   elements
	current atomic.Pointer[View]
	changed chan struct{}
}

// elements are the published elements by kind and name, decoded.
type elements map[string]map[string]any

func (e elements) set(kind, name string, v any) {
	if e[kind] == nil {
		e[kind] = map[string]any{}
	}
	e[kind][name] = v
}

// NewStore returns a book without a view.
func NewStore() *Store {
	return &Store{items: elements{}, changed: make(chan struct{})}
}

// Current returns the newest view, nil before the first.
func (b *Store) Current() *View { return b.current.Load() }

// Changed returns a channel that closes when there is a newer view.
func (b *Store) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Apply applies what the core published. An older state than the current one is
// ignored: it comes from a replica that has been replaced as the leader.
func (b *Store) Apply(r message.WatchReply) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.current.Load()
	if old != nil && r.Version < old.Version {
		return nil
	}
	if old != nil && !r.Full && len(r.Items)+len(r.Removed) == 0 {
		return nil
	}
	// All are read before any is taken in, so that an error leaves the book as it is.
	read := elements{}
	for _, i := range r.Items {
		kind, name := split(i.Name)
		v, err := decode(kind, []byte(i.Text))
		if err != nil {
			return merry.Wrap(ErrInvalidElement, merry.WithCause(err), merry.AppendMessagef("%s: %v", i.Name, err))
		}
		read.set(kind, name, v)
	}
	if r.Full {
		b.items, old = elements{}, nil
	}
	touched := map[string]bool{}
	for _, n := range r.Removed {
		kind, name := split(n)
		delete(b.items[kind], name)
		touched[kind] = true
	}
	for kind, all := range read {
		touched[kind] = true
		for name, v := range all {
			b.items.set(kind, name, v)
		}
	}
	b.current.Store(b.items.view(r.Version, old, touched))
	close(b.changed)
	b.changed = make(chan struct{})
	return nil
}

// split divides the name of an element into its kind and the rest.
func split(name string) (kind, rest string) {
	kind, rest, _ = strings.Cut(name, "/")
	return kind + "/", rest
}

// revision is the published version of the configuration.
type revision struct{ Version int }

func decode(kind string, text []byte) (any, error) {
	switch kind {
	case message.ItemRoute:
		return into[message.Route](text)
	case message.ItemService:
		return into[message.ServiceSpec](text)
	case message.ItemInstance:
		return into[message.Instance](text)
	case message.ItemRangeOwners:
		return into[[]message.RangeOwner](text)
	case message.ItemRevision:
		return into[revision](text)
	}
	return nil, nil
}

func into[T any](text []byte) (any, error) {
	var v T
	err := json.Unmarshal(text, &v)
	return &v, err
}

// view builds the view of a version. What was not touched is shared with the view
// before it, nil if there is none: a change of one row costs no pass over thousands of
// routes.
func (e elements) view(version message.Version, old *View, touched map[string]bool) *View {
	v := &View{Version: version}
	if old != nil {
		*v = *old
		v.Version = version
	}
	fresh := func(kind string) bool { return old == nil || touched[kind] }
	if fresh(message.ItemRoute) {
		v.routes = routes(e[message.ItemRoute])
	}
	if fresh(message.ItemService) {
		v.services = map[message.ServiceName]message.ServiceSpec{}
		for _, x := range e[message.ItemService] {
			s := x.(*message.ServiceSpec)
			v.services[s.Name] = *s
		}
	}
	if fresh(message.ItemInstance) {
		v.byID, v.instances = instances(e[message.ItemInstance])
	}
	if fresh(message.ItemRangeOwners) {
		v.spans = spans(e[message.ItemRangeOwners])
	}
	if fresh(message.ItemQuarantine) {
		v.quarantined = map[string]bool{}
		for print := range e[message.ItemQuarantine] {
			v.quarantined[print] = true
		}
	}
	if fresh(message.ItemRevision) {
		for _, x := range e[message.ItemRevision] {
			v.Revision = x.(*revision).Version
		}
	}
	return v
}

// routes orders routes by host name and prefix; of two alike the first by name counts.
func routes(all map[string]any) map[string]map[string]*message.Route {
	out := map[string]map[string]*message.Route{}
	for _, x := range all {
		r := x.(*message.Route)
		if out[r.HostName] == nil {
			out[r.HostName] = map[string]*message.Route{}
		}
		if other := out[r.HostName][r.Prefix]; other == nil || r.Name < other.Name {
			out[r.HostName][r.Prefix] = r
		}
	}
	return out
}

// spans joins the published sections of each service, in the order of their keys.
func spans(all map[string]any) map[message.ServiceName][]message.RangeOwner {
	out := map[message.ServiceName][]message.RangeOwner{}
	for name, x := range all {
		service, _, _ := strings.Cut(name, "/")
		out[message.ServiceName(service)] = append(out[message.ServiceName(service)], *x.(*[]message.RangeOwner)...)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b message.RangeOwner) int { return int(a.From - b.From) })
	}
	return out
}

func instances(all map[string]any) (map[message.InstanceID]message.Instance, map[message.ServiceName][]message.Instance) {
	byID, byService := map[message.InstanceID]message.Instance{}, map[message.ServiceName][]message.Instance{}
	for _, x := range all {
		i := *x.(*message.Instance)
		byID[i.Incarnation.ID] = i
		byService[i.Service] = append(byService[i.Service], i)
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b message.Instance) int {
			return strings.Compare(string(a.Incarnation.ID), string(b.Incarnation.ID))
		})
	}
	return byID, byService
}
