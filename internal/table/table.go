// Package table is the routing table of a node: routes, services, members,
// partition owners and suspects, as of one version of the control group's state.
//
// A Table takes deltas in and hands out snapshots. A snapshot never changes, so
// a request that looks up its route, partition and owner sees one version
// throughout. Lookups read the snapshot through an atomic pointer and take no
// lock; applying a delta copies only the services that it touches.
//
// A table never goes back: a delta with a lower version or revision is refused,
// and so is one that starts after the table's version, or whose change of the
// configuration does not lead from the table's revision to a configuration with
// the stated checksum. After a refused delta that is not merely old the node asks
// for the full table by stating version zero.
//
// # Usage
//
//	t := table.New()
//	err := t.Apply(response.Delta)
//	s := t.Snapshot()
//	route, ok := s.Route(r.Method, r.URL.Path)
//	key, ok := route.Key(r)
//	p, ok := s.Partition(route.Service, key)
//	owner, ok := s.Member(p.Owner)
package table

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/config"
	"github.com/gentiansail/gentiansail/internal/revision"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// Errors of Apply. The table is unchanged.
var (
	// ErrOldDelta means that the delta ends at a lower version or revision than the
	// table has.
	ErrOldDelta = merry.Sentinel("delta is older than the routing table")
	// ErrGap means that the delta starts after the table's version or revision, or
	// that its change does not fit the table's configuration.
	ErrGap = merry.Sentinel("delta does not connect to the routing table")
	// ErrInvalidDelta means that the delta contradicts itself.
	ErrInvalidDelta = merry.Sentinel("invalid delta")
)

// Table holds the latest snapshot. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
}

// New returns a table at version zero, without any route.
func New() *Table {
	t := &Table{}
	t.current.Store(empty())
	return t
}

// Snapshot returns the latest version of the table.
func (t *Table) Snapshot() *Snapshot { return t.current.Load() }

// Apply brings the table to the delta's version.
func (t *Table) Apply(d wire.Delta) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	if err := check(old, d); err != nil {
		return err
	}
	c, err := configurationAfter(old, d)
	if err != nil {
		return err
	}
	if err := checkPartitions(c); err != nil {
		return err
	}
	t.current.Store(next(old, d, c))
	return nil
}

func check(old *Snapshot, d wire.Delta) error {
	switch {
	case d.ToVersion < old.version:
		return merry.Wrap(ErrOldDelta, merry.AppendMessagef("version %d, table has %d", d.ToVersion, old.version))
	case d.Revision < old.revision:
		return merry.Wrap(ErrOldDelta, merry.AppendMessagef("revision %d, table has %d", d.Revision, old.revision))
	case !d.Full && d.FromVersion > old.version:
		return merry.Wrap(ErrGap, merry.AppendMessagef("starts at %d, table has %d", d.FromVersion, old.version))
	case d.Revision != old.revision && d.Configuration == nil && d.ConfigurationChange == nil:
		return merry.Wrap(ErrInvalidDelta, merry.AppendMessagef("revision %d without its configuration", d.Revision))
	case d.Configuration != nil && d.ConfigurationChange != nil:
		return merry.Wrap(ErrInvalidDelta, merry.AppendMessage("a whole configuration and a change of it"))
	case d.Full && d.Configuration == nil:
		return merry.Wrap(ErrInvalidDelta, merry.AppendMessage("full table without configuration"))
	}
	return nil
}

// checkPartitions bounds the memory that a configuration reserves.
func checkPartitions(c *wire.Configuration) error {
	if c == nil {
		return nil
	}
	for _, s := range c.Services {
		if s.Partitions > config.MaxPartitions {
			return merry.Wrap(ErrInvalidDelta, merry.AppendMessagef("service %q has %d partitions, at most %d are possible", s.Name, s.Partitions, config.MaxPartitions))
		}
	}
	return nil
}

// configurationAfter returns the configuration that the delta leads to, nil when
// it stays the same.
func configurationAfter(old *Snapshot, d wire.Delta) (*wire.Configuration, error) {
	c := d.ConfigurationChange
	if c == nil {
		return d.Configuration, nil
	}
	if c.FromRevision > old.revision {
		return nil, merry.Wrap(ErrGap, merry.AppendMessagef("change starts at revision %d, table has %d", c.FromRevision, old.revision))
	}
	next, err := revision.Apply(old.configuration, *c)
	if err != nil {
		return nil, merry.Wrap(ErrGap, merry.WithCause(err), merry.AppendMessagef("revision %d to %d: %s", old.revision, d.Revision, err))
	}
	return &next, nil
}

// Snapshot is one version of the routing table. It never changes.
type Snapshot struct {
	version       wire.Version
	revision      wire.Revision
	configuration wire.Configuration
	routes        []Route
	services      map[wire.ServiceName]*service
	members       map[wire.Incarnation]wire.Member
	suspects      map[wire.Fingerprint]wire.Suspect
}

// service is the part of the table that belongs to one service.
type service struct {
	config    wire.ServiceConfig
	members   []wire.Member
	numbered  []wire.Partition
	overrides map[uint64]wire.Partition
}

func empty() *Snapshot {
	return &Snapshot{
		services: make(map[wire.ServiceName]*service),
		members:  make(map[wire.Incarnation]wire.Member),
		suspects: make(map[wire.Fingerprint]wire.Suspect),
	}
}

// next returns the snapshot after the delta; c is the configuration that it leads
// to, nil when that stays the same.
func next(old *Snapshot, d wire.Delta, c *wire.Configuration) *Snapshot {
	if d.Full {
		old = empty()
	}
	s := *old
	s.version, s.revision = d.ToVersion, d.Revision
	touched := make(map[wire.ServiceName]bool)
	s.applySuspects(d)
	s.applyMembers(d, touched)
	if c != nil {
		s.applyConfiguration(*c)
	}
	s.applyPartitions(d, touched)
	s.listMembers(touched, c != nil)
	return &s
}

func (s *Snapshot) applySuspects(d wire.Delta) {
	if len(d.Suspects)+len(d.RemovedSuspects) == 0 {
		return
	}
	s.suspects = maps.Clone(s.suspects)
	for _, v := range d.Suspects {
		s.suspects[v.Fingerprint] = v
	}
	for _, f := range d.RemovedSuspects {
		delete(s.suspects, f)
	}
}

func (s *Snapshot) applyMembers(d wire.Delta, touched map[wire.ServiceName]bool) {
	if len(d.Members)+len(d.RemovedMembers) == 0 {
		return
	}
	s.members = maps.Clone(s.members)
	for _, v := range d.Members {
		s.members[v.Incarnation] = v
		touched[v.Service] = true
	}
	for _, i := range d.RemovedMembers {
		touched[s.members[i].Service] = true
		delete(s.members, i)
	}
}

// applyConfiguration keeps the partitions of services whose number of
// partitions stays the same.
func (s *Snapshot) applyConfiguration(c wire.Configuration) {
	s.configuration = c
	s.routes = sortRoutes(c.Routes)
	services := make(map[wire.ServiceName]*service, len(c.Services))
	for _, v := range c.Services {
		services[v.Name] = reconfigure(s.services[v.Name], v)
	}
	s.services = services
}

func reconfigure(old *service, c wire.ServiceConfig) *service {
	count := 0
	if c.Keyed {
		count = max(0, c.Partitions)
	}
	if old != nil && len(old.numbered) == count {
		kept := *old
		kept.config = c
		return &kept
	}
	v := &service{config: c, numbered: make([]wire.Partition, count), overrides: make(map[uint64]wire.Partition)}
	if old != nil {
		v.members = old.members
	}
	return v
}

func (s *Snapshot) applyPartitions(d wire.Delta, touched map[wire.ServiceName]bool) {
	edited := make(map[wire.ServiceName]*service)
	edit := func(name wire.ServiceName) *service {
		if v, ok := edited[name]; ok {
			return v
		}
		old, ok := s.services[name]
		if !ok {
			return nil
		}
		v := *old
		v.numbered, v.overrides = slices.Clone(old.numbered), maps.Clone(old.overrides)
		edited[name] = &v
		return &v
	}
	for _, id := range d.RemovedPartitions {
		if v := edit(serviceOf(id)); v != nil {
			v.remove(id)
		}
	}
	for _, p := range d.Partitions {
		if v := edit(p.Service); v != nil {
			v.put(p)
		}
	}
	s.replace(edited)
}

func (s *Snapshot) replace(edited map[wire.ServiceName]*service) {
	if len(edited) == 0 {
		return
	}
	s.services = maps.Clone(s.services)
	maps.Copy(s.services, edited)
}

// listMembers lists the members of the touched services anew, in the order of
// their incarnations.
func (s *Snapshot) listMembers(touched map[wire.ServiceName]bool, all bool) {
	edited := make(map[wire.ServiceName]*service)
	for name, old := range s.services {
		if !touched[name] && !all {
			continue
		}
		v := *old
		v.members = nil
		edited[name] = &v
	}
	for _, m := range s.members {
		if v, ok := edited[m.Service]; ok {
			v.members = append(v.members, m)
		}
	}
	for _, v := range edited {
		slices.SortFunc(v.members, func(a, b wire.Member) int {
			return strings.Compare(string(a.Incarnation), string(b.Incarnation))
		})
	}
	s.replace(edited)
}

// serviceOf returns the service in a partition's id. Names of services hold no
// slash, so the last one separates.
func serviceOf(id wire.PartitionID) wire.ServiceName {
	i := strings.LastIndexByte(string(id), '/')
	return wire.ServiceName(id[:max(0, i)])
}
