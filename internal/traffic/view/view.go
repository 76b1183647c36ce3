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

// ErrElement means that a published element cannot be read.
var ErrElement = merry.Sentinel("published element cannot be read")

// View is the published state at one version.
type View struct {
	Version  message.Version
	Revision int
	// routes by host name, the longest prefix first.
	routes      map[string][]*message.Route
	services    map[message.ServiceName]message.ServiceSpec
	instances   map[message.ServiceName][]message.Instance
	byID        map[message.InstanceID]message.Instance
	spans       map[message.ServiceName][]message.Span
	quarantined map[string]bool
}

// Match returns the route of a request, or nil.
func (v *View) Match(host, path string) *message.Route {
	for _, r := range v.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
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

// Count returns the number of targets of all services.
func (v *View) Count() int { return len(v.byID) }

// Owner returns the target that holds a key.
func (v *View) Owner(name message.ServiceName, key message.Key) (message.Instance, bool) {
	spans := v.spans[name]
	i, found := slices.BinarySearchFunc(spans, key, func(r message.Span, k message.Key) int {
		switch {
		case r.To < k:
			return -1
		case r.From > k:
			return 1
		}
		return 0
	})
	if !found || spans[i].Holder == "" {
		return message.Instance{}, false
	}
	n, ok := v.byID[spans[i].Holder]
	return n, ok
}

// Quarantined reports whether a request has crashed several targets.
func (v *View) Quarantined(fingerprint string) bool { return v.quarantined[fingerprint] }

// Book holds the newest view.
type Book struct {
	mu      sync.Mutex
	items   map[string]message.Item
	current atomic.Pointer[View]
	changed chan struct{}
}

// NewBook returns a book without a view.
func NewBook() *Book {
	return &Book{items: map[string]message.Item{}, changed: make(chan struct{})}
}

// Current returns the newest view, nil before the first.
func (b *Book) Current() *View { return b.current.Load() }

// Changed returns a channel that closes when there is a newer view.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Take applies what the core published. An older state than the current one is
// ignored: it comes from a replica that has been replaced as the leader.
func (b *Book) Take(r message.WatchReply) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.current.Load()
	if old != nil && r.Version < old.Version {
		return nil
	}
	if old != nil && !r.Full && len(r.Items)+len(r.Removed) == 0 {
		return nil
	}
	if r.Full {
		b.items = map[string]message.Item{}
	}
	for _, name := range r.Removed {
		delete(b.items, name)
	}
	for _, i := range r.Items {
		b.items[i.Name] = i
	}
	v, err := build(r.Version, b.items)
	if err != nil {
		return err
	}
	b.current.Store(v)
	close(b.changed)
	b.changed = make(chan struct{})
	return nil
}

func build(version message.Version, items map[string]message.Item) (*View, error) {
	v := &View{
		Version: version, routes: map[string][]*message.Route{}, services: map[message.ServiceName]message.ServiceSpec{},
		instances: map[message.ServiceName][]message.Instance{}, byID: map[message.InstanceID]message.Instance{},
		spans: map[message.ServiceName][]message.Span{}, quarantined: map[string]bool{},
	}
	for name, item := range items {
		if err := v.add(name, []byte(item.Text)); err != nil {
			return nil, merry.Wrap(ErrElement, merry.WithCause(err), merry.AppendMessagef("%s: %v", name, err))
		}
	}
	for _, list := range v.routes {
		slices.SortFunc(list, func(a, b *message.Route) int {
			if d := len(b.Prefix) - len(a.Prefix); d != 0 {
				return d
			}
			return strings.Compare(a.Name, b.Name)
		})
	}
	for _, list := range v.instances {
		slices.SortFunc(list, func(a, b message.Instance) int { return strings.Compare(string(a.Lifetime.ID), string(b.Lifetime.ID)) })
	}
	return v, nil
}

func (v *View) add(name string, text []byte) error {
	kind, rest, _ := strings.Cut(name, "/")
	switch kind + "/" {
	case message.ItemRoute:
		var r message.Route
		if err := json.Unmarshal(text, &r); err != nil {
			return err
		}
		v.routes[r.HostName] = append(v.routes[r.HostName], &r)
	case message.ItemService:
		var s message.ServiceSpec
		if err := json.Unmarshal(text, &s); err != nil {
			return err
		}
		v.services[s.Name] = s
	case message.ItemInstance:
		var i message.Instance
		if err := json.Unmarshal(text, &i); err != nil {
			return err
		}
		v.byID[i.Lifetime.ID] = i
		v.instances[i.Service] = append(v.instances[i.Service], i)
	case message.ItemRows:
		var spans []message.Span
		if err := json.Unmarshal(text, &spans); err != nil {
			return err
		}
		v.spans[message.ServiceName(rest)] = spans
	case message.ItemQuarantine:
		v.quarantined[rest] = true
	case message.ItemRevision:
		var r struct{ Version int }
		if err := json.Unmarshal(text, &r); err != nil {
			return err
		}
		v.Revision = r.Version
	}
	return nil
}
