// Package revision compares two configurations and sends only what differs from
// one to a later one.
//
// Compare gives the names of what differs between two consecutive revisions.
// Merge joins the names of several steps. From the merged names and the current
// configuration, Change makes the message for everyone who has the first of
// these revisions or a later one, and Apply gives such a receiver the current
// configuration, with its order: what keeps its place relative to the others is
// not sent, and everything else is sent with its position.
//
// The message has a checksum of the configuration that results, so a receiver
// whose configuration is not of the same history gets an error instead of a
// mixture of both.
//
// # Usage
//
//	names, ok := revision.Compare(old, next)
//	change := revision.Change(names, 7, next) // nil: send the whole configuration
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

// ErrChangeMismatch means that a change does not fit the configuration that it is
// applied to.
var ErrChangeMismatch = merry.Sentinel("change does not fit the configuration")

// ChangeSet says which parts of two configurations differ: what was added, removed,
// changed or moved.
type ChangeSet struct {
	CallerLimits bool               `json:",omitempty"`
	Regions      bool               `json:",omitempty"`
	Routes       []wire.RouteName   `json:",omitempty"`
	Services     []wire.ServiceName `json:",omitempty"`
}

// Compare returns the names of what differs. It returns false when the
// difference cannot be named, because a name appears twice, or when naming it
// would not save much.
func Compare(old, next wire.Configuration) (ChangeSet, bool) {
	services, uniqueServices := differences(old.Services, next.Services, serviceName)
	routes, uniqueRoutes := differences(old.Routes, next.Routes, routeName)
	n := ChangeSet{
		CallerLimits: !same(old.CallerLimits, next.CallerLimits),
		Regions:      !same(old.Regions, next.Regions),
		Routes:       routes,
		Services:     services,
	}
	return n, uniqueServices && uniqueRoutes && n.few(next)
}

// few reports whether at most half of the services and routes are named. It
// bounds what a history of changes holds, and what a change costs compared with
// the whole configuration.
func (n ChangeSet) few(c wire.Configuration) bool {
	return 2*(len(n.Services)+len(n.Routes)) <= len(c.Services)+len(c.Routes)
}

// Merge joins the names of two steps.
func (n ChangeSet) Merge(m ChangeSet) ChangeSet {
	return ChangeSet{
		CallerLimits: n.CallerLimits || m.CallerLimits,
		Regions:      n.Regions || m.Regions,
		Routes:       union(n.Routes, m.Routes),
		Services:     union(n.Services, m.Services),
	}
}

// NewChange returns the change that leads to the current configuration from each
// revision since the given one. The names must cover all steps in between. It
// returns nil when the whole configuration should be sent.
func NewChange(n ChangeSet, from wire.Revision, current wire.Configuration) *wire.ConfigurationChange {
	if !n.few(current) {
		return nil
	}
	c := wire.ConfigurationChange{FromRevision: from, Checksum: Checksum(current)}
	services, removedServices := place(current.Services, n.Services, serviceName)
	for _, p := range services {
		c.Services = append(c.Services, wire.IndexedService{Index: p.index, Service: p.value})
	}
	routes, removedRoutes := place(current.Routes, n.Routes, routeName)
	for _, p := range routes {
		c.Routes = append(c.Routes, wire.IndexedRoute{Index: p.index, Route: p.value})
	}
	c.RemovedServices, c.RemovedRoutes = removedServices, removedRoutes
	if n.Regions {
		c.Regions = &wire.RegionList{Regions: current.Regions}
	}
	if n.CallerLimits {
		c.CallerLimits = &wire.CallerLimitList{CallerLimits: current.CallerLimits}
	}
	return &c
}

// Apply returns the configuration after the change. The old one stays as it is.
// The error is ErrChange.
func Apply(old wire.Configuration, c wire.ConfigurationChange) (wire.Configuration, error) {
	var services []placed[wire.ServiceConfig]
	for _, p := range c.Services {
		services = append(services, placed[wire.ServiceConfig]{index: p.Index, value: p.Service})
	}
	var routes []placed[wire.RouteConfig]
	for _, p := range c.Routes {
		routes = append(routes, placed[wire.RouteConfig]{index: p.Index, value: p.Route})
	}
	next := old
	var servicesFit, routesFit bool
	next.Services, servicesFit = rebuild(old.Services, services, c.RemovedServices, serviceName)
	next.Routes, routesFit = rebuild(old.Routes, routes, c.RemovedRoutes, routeName)
	if c.Regions != nil {
		next.Regions = c.Regions.Regions
	}
	if c.CallerLimits != nil {
		next.CallerLimits = c.CallerLimits.CallerLimits
	}
	if !servicesFit || !routesFit {
		return wire.Configuration{}, merry.Wrap(ErrChangeMismatch, merry.AppendMessage("a position is past the end of the list"))
	}
	if sum := Checksum(next); sum != c.Checksum {
		return wire.Configuration{}, merry.Wrap(ErrChangeMismatch, merry.AppendMessagef("checksum is %s, expected %s", sum, c.Checksum))
	}
	return next, nil
}

// Checksum returns a short text that differs for different configurations. It
// rests on the encoding of each entry, so programs that know different fields
// get different ones, and no program takes a change that it understands only in
// part.
func Checksum(c wire.Configuration) string {
	h := xxhash.New()
	sumList(h, c.Regions)
	sumList(h, c.Services)
	sumList(h, c.Routes)
	sumList(h, c.CallerLimits)
	return strconv.FormatUint(h.Sum64(), 16)
}

// sumList adds the entries and the end of the list, so that an empty list and an
// absent one are the same.
func sumList[V any](h *xxhash.Digest, list []V) {
	for _, v := range list {
		data, err := json.Marshal(v)
		if err != nil {
			// Only a float that is not a number could fail, which no JSON holds.
			data = []byte(err.Error())
		}
		_, _ = h.Write(append(data, '\n'))
	}
	_, _ = h.Write([]byte{'\n'})
}

func serviceName(s wire.ServiceConfig) wire.ServiceName { return s.Name }

func routeName(r wire.RouteConfig) wire.RouteName { return r.Name }

func union[N ~string](a, b []N) []N {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
