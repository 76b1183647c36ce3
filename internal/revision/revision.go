// Package revision computes and applies the difference between revisions of a
// configuration, so that only changed entries have to be sent.
//
// Compare returns the change set of two consecutive revisions: the names of the
// entries that differ. Merge combines the change sets of several revisions. From the
// merged change set and the current configuration, NewChange builds a message for
// receivers that have the first of these revisions or a later one. Apply turns the
// receiver's configuration into the current one, including the order of its entries.
// Entries that are unchanged and in the same order are not sent; all others are sent
// with their index.
//
// The message contains a checksum of the resulting configuration. A receiver whose
// configuration has a different history gets an error instead of a mixture of both.
//
// # Usage
//
//	changes, ok := revision.Compare(old, next)
//	change := revision.NewChange(changes, 7, next) // nil: send the whole configuration
//	next, err := revision.Apply(old, *change)
package revision

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// ErrChangeMismatch means that a change was made for a different configuration than
// the one it is applied to.
var ErrChangeMismatch = merry.Sentinel("change does not match the configuration")

// ChangeSet names the parts of a configuration that were added, removed, changed or
// moved between two revisions.
type ChangeSet struct {
	CallerLimits bool               `json:",omitempty"`
	Regions      bool               `json:",omitempty"`
	Routes       []wire.RouteName   `json:",omitempty"`
	Services     []wire.ServiceName `json:",omitempty"`
}

// Compare returns the change set between two configurations. It returns false if the
// whole configuration should be sent instead: a name appears twice, so that names do
// not identify entries, or more than half of the entries changed.
func Compare(old, next wire.Configuration) (ChangeSet, bool) {
	services, uniqueServices := changedNames(old.Services, next.Services, serviceName)
	routes, uniqueRoutes := changedNames(old.Routes, next.Routes, routeName)
	s := ChangeSet{
		CallerLimits: !equalLists(old.CallerLimits, next.CallerLimits),
		Regions:      !equalLists(old.Regions, next.Regions),
		Routes:       routes,
		Services:     services,
	}
	return s, uniqueServices && uniqueRoutes && s.isSmall(next)
}

// isSmall reports whether s contains at most half as many services and routes as c. The
// limit bounds the size of a history of change sets, and the cost of a change compared
// with the whole configuration.
func (s ChangeSet) isSmall(c wire.Configuration) bool {
	return 2*(len(s.Services)+len(s.Routes)) <= len(c.Services)+len(c.Routes)
}

// Merge returns the union of two change sets.
func (s ChangeSet) Merge(other ChangeSet) ChangeSet {
	return ChangeSet{
		CallerLimits: s.CallerLimits || other.CallerLimits,
		Regions:      s.Regions || other.Regions,
		Routes:       union(s.Routes, other.Routes),
		Services:     union(s.Services, other.Services),
	}
}

// NewChange returns a change that turns each revision from the given one on into the
// current configuration. The change set must cover all revisions in between. It returns
// nil if the whole configuration should be sent instead.
func NewChange(changes ChangeSet, from wire.Revision, current wire.Configuration) *wire.ConfigurationChange {
	if !changes.isSmall(current) {
		return nil
	}
	c := wire.ConfigurationChange{FromRevision: from, Checksum: Checksum(current)}
	services, removedServices := findByName(current.Services, changes.Services, serviceName)
	for _, s := range services {
		c.Services = append(c.Services, wire.IndexedService{Index: s.index, Service: s.entry})
	}
	routes, removedRoutes := findByName(current.Routes, changes.Routes, routeName)
	for _, r := range routes {
		c.Routes = append(c.Routes, wire.IndexedRoute{Index: r.index, Route: r.entry})
	}
	c.RemovedServices, c.RemovedRoutes = removedServices, removedRoutes
	if changes.Regions {
		c.Regions = &wire.RegionList{Regions: current.Regions}
	}
	if changes.CallerLimits {
		c.CallerLimits = &wire.CallerLimitList{CallerLimits: current.CallerLimits}
	}
	return &c
}

// Apply returns the old configuration with the change applied. It does not modify old.
// The error is ErrChangeMismatch.
func Apply(old wire.Configuration, c wire.ConfigurationChange) (wire.Configuration, error) {
	var services []indexedEntry[wire.ServiceConfig]
	for _, s := range c.Services {
		services = append(services, indexedEntry[wire.ServiceConfig]{index: s.Index, entry: s.Service})
	}
	var routes []indexedEntry[wire.RouteConfig]
	for _, r := range c.Routes {
		routes = append(routes, indexedEntry[wire.RouteConfig]{index: r.Index, entry: r.Route})
	}
	next := old
	var servicesOK, routesOK bool
	next.Services, servicesOK = applyEntries(old.Services, services, c.RemovedServices, serviceName)
	next.Routes, routesOK = applyEntries(old.Routes, routes, c.RemovedRoutes, routeName)
	if c.Regions != nil {
		next.Regions = c.Regions.Regions
	}
	if c.CallerLimits != nil {
		next.CallerLimits = c.CallerLimits.CallerLimits
	}
	if !servicesOK || !routesOK {
		return wire.Configuration{}, merry.Wrap(ErrChangeMismatch, merry.AppendMessage("an index is beyond the end of the list"))
	}
	if sum := Checksum(next); sum != c.Checksum {
		return wire.Configuration{}, merry.Wrap(ErrChangeMismatch, merry.AppendMessagef("checksum is %s, expected %s", sum, c.Checksum))
	}
	return next, nil
}

// Checksum returns a hash of the configuration in hexadecimal. It is computed from the
// JSON encoding of each entry. A program that does not know all fields therefore
// computes a different checksum and rejects the change, instead of applying a part of
// it.
func Checksum(c wire.Configuration) string {
	h := xxhash.New()
	writeList(h, c.Regions)
	writeList(h, c.Services)
	writeList(h, c.Routes)
	writeList(h, c.CallerLimits)
	return strconv.FormatUint(h.Sum64(), 16)
}

// writeList writes the entries and an end-of-list mark to the hash. An empty list and a
// nil one give the same hash.
func writeList[V any](h *xxhash.Digest, list []V) {
	for _, v := range list {
		data, err := json.Marshal(v)
		if err != nil {
			// Only infinite or NaN floats fail, which JSON cannot represent.
			data = []byte(err.Error())
		}
		_, _ = h.Write(append(data, '\n'))
	}
	_, _ = h.Write([]byte{'\n'})
}

func serviceName(s wire.ServiceConfig) wire.ServiceName { return s.Name }

func routeName(r wire.RouteConfig) wire.RouteName { return r.Name }

// union returns the sorted names that are in a or b.
func union[N ~string](a, b []N) []N {
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	return slices.Compact(merged)
}
