// Package table is the routing table of a node: routes, services, members,
// partition owners and suspects, as of one version of the control group's state.
//
// A Table applies deltas and provides snapshots. Snapshots are immutable, so a request
// that looks up its route, partition and owner in one snapshot uses one version of the
// table. The current snapshot is read through an atomic pointer without a lock. Applying a
// delta copies only the services that it changes.
//
// A table rejects a delta with a lower version or revision than its own, so that it never
// goes back. It also rejects a delta that starts after its version or revision, and one
// whose change, applied to the table's configuration, gives another checksum than the
// stated one. After a rejection for any reason but an old delta, the node requests the full
// table by stating version zero.
//
// # Usage
//
//	t := table.New()
//	err := t.Apply(response.Delta)
//	s := t.Snapshot()
//	route, ok := s.Route(r.Method, r.URL.Path)
//	key, ok := route.Key(r)
//	p, ok := s.PartitionOfKey(route.Service, key)
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

// Errors of Apply, which leave the table unchanged.
var (
	// ErrOldDelta means that the delta ends at a lower version or revision than the
	// table has.
	ErrOldDelta = merry.Sentinel("delta is older than the routing table")
	// ErrGap means that the delta starts after the table's version or revision, or that
	// its change cannot be applied to the table's configuration.
	ErrGap = merry.Sentinel("delta does not fit the version of the routing table")
	// ErrInvalidDelta means that the delta is inconsistent or exceeds a limit.
	ErrInvalidDelta = merry.Sentinel("invalid delta")
)

// Table holds the latest snapshot. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
}

// New returns an empty table at version zero.
func New() *Table {
	t := &Table{}
	t.current.Store(emptySnapshot())
	return t
}

// Snapshot returns the latest version of the table.
func (t *Table) Snapshot() *Snapshot { return t.current.Load() }

// Apply brings the table to the delta's version.
func (t *Table) Apply(d wire.Delta) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	if err := checkDelta(old, d); err != nil {
		return err
	}
	configuration, err := newConfiguration(old, d)
	if err != nil {
		return err
	}
	if err := checkPartitions(configuration); err != nil {
		return err
	}
	t.current.Store(nextSnapshot(old, d, configuration))
	return nil
}

// checkDelta returns an error unless the delta is consistent and fits the version and
// revision of the table.
func checkDelta(old *Snapshot, d wire.Delta) error {
	switch {
	case d.ToVersion < old.version:
		return merry.Wrap(ErrOldDelta, merry.AppendMessagef("delta ends at version %d, table has %d", d.ToVersion, old.version))
	case d.Revision < old.revision:
		return merry.Wrap(ErrOldDelta, merry.AppendMessagef("delta has revision %d, table has %d", d.Revision, old.revision))
	case !d.Full && d.FromVersion > old.version:
		return merry.Wrap(ErrGap, merry.AppendMessagef("delta starts at version %d, table has %d", d.FromVersion, old.version))
	case d.Revision != old.revision && d.Configuration == nil && d.ConfigurationChange == nil:
		return merry.Wrap(ErrInvalidDelta, merry.AppendMessagef("revision %d without its configuration", d.Revision))
	case d.Configuration != nil && d.ConfigurationChange != nil:
		return merry.Wrap(ErrInvalidDelta, merry.AppendMessage("delta has both a whole configuration and a change"))
	case d.Full && d.Configuration == nil:
		return merry.Wrap(ErrInvalidDelta, merry.AppendMessage("full table without a configuration"))
	}
	return nil
}

// checkPartitions limits the number of partitions per service, for which the table
// allocates memory.
func checkPartitions(c *wire.Configuration) error {
	if c == nil {
		return nil
	}
	for _, s := range c.Services {
		if s.Partitions > config.MaxPartitions {
			return merry.Wrap(ErrInvalidDelta, merry.AppendMessagef("service %q has %d partitions, the limit is %d", s.Name, s.Partitions, config.MaxPartitions))
		}
	}
	return nil
}

// newConfiguration returns the configuration after the delta, or nil if the delta does not
// change it.
func newConfiguration(old *Snapshot, d wire.Delta) (*wire.Configuration, error) {
	c := d.ConfigurationChange
	if c == nil {
		return d.Configuration, nil
	}
	if c.FromRevision > old.revision {
		return nil, merry.Wrap(ErrGap, merry.AppendMessagef("change starts at revision %d, table has %d", c.FromRevision, old.revision))
	}
	next, err := revision.Apply(old.configuration, *c)
	if err != nil {
		return nil, merry.Wrap(ErrGap, merry.WithCause(err), merry.AppendMessagef("change from revision %d to %d: %s", old.revision, d.Revision, err))
	}
	return &next, nil
}

// Snapshot is one version of the routing table. It is immutable.
type Snapshot struct {
	version       wire.Version
	revision      wire.Revision
	configuration wire.Configuration
	routes        []Route
	services      map[wire.ServiceName]*serviceTable
	members       map[wire.Incarnation]wire.Member
	suspects      map[wire.Fingerprint]wire.Suspect
}

// serviceTable is the part of the table that belongs to one service.
type serviceTable struct {
	config  wire.ServiceConfig
	members []wire.Member
	// numbered has the partitions by number. The ID of a partition that the table has not
	// received is empty.
	numbered []wire.Partition
	// overrides has the partitions of isolated keys by key hash.
	overrides map[uint64]wire.Partition
}

func emptySnapshot() *Snapshot {
	return &Snapshot{
		services: make(map[wire.ServiceName]*serviceTable),
		members:  make(map[wire.Incarnation]wire.Member),
		suspects: make(map[wire.Fingerprint]wire.Suspect),
	}
}

// nextSnapshot returns the snapshot after the delta. The configuration is nil if the delta
// does not change it.
func nextSnapshot(old *Snapshot, d wire.Delta, configuration *wire.Configuration) *Snapshot {
	if d.Full {
		old = emptySnapshot()
	}
	s := *old
	s.version, s.revision = d.ToVersion, d.Revision
	membersChanged := make(map[wire.ServiceName]bool)
	s.applySuspects(d)
	s.applyMembers(d, membersChanged)
	if configuration != nil {
		s.applyConfiguration(*configuration)
	}
	s.applyPartitions(d, membersChanged)
	s.rebuildMemberLists(membersChanged, configuration != nil)
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

func (s *Snapshot) applyMembers(d wire.Delta, membersChanged map[wire.ServiceName]bool) {
	if len(d.Members)+len(d.RemovedMembers) == 0 {
		return
	}
	s.members = maps.Clone(s.members)
	for _, v := range d.Members {
		s.members[v.Incarnation] = v
		membersChanged[v.Service] = true
	}
	for _, i := range d.RemovedMembers {
		membersChanged[s.members[i].Service] = true
		delete(s.members, i)
	}
}

// applyConfiguration replaces the configuration. Services whose number of partitions is
// unchanged keep their partitions.
func (s *Snapshot) applyConfiguration(c wire.Configuration) {
	s.configuration = c
	s.routes = sortRoutes(c.Routes)
	services := make(map[wire.ServiceName]*serviceTable, len(c.Services))
	for _, v := range c.Services {
		services[v.Name] = withConfig(s.services[v.Name], v)
	}
	s.services = services
}

// withConfig returns the table of a service with a new configuration. It keeps the
// partitions of the old table, which may be nil, if their number is unchanged.
func withConfig(old *serviceTable, c wire.ServiceConfig) *serviceTable {
	count := 0
	if c.Keyed {
		count = max(0, c.Partitions)
	}
	if old != nil && len(old.numbered) == count {
		updated := *old
		updated.config = c
		return &updated
	}
	v := &serviceTable{config: c, numbered: make([]wire.Partition, count), overrides: make(map[uint64]wire.Partition)}
	if old != nil {
		v.members = old.members
	}
	return v
}

func (s *Snapshot) applyPartitions(d wire.Delta, membersChanged map[wire.ServiceName]bool) {
	copies := make(map[wire.ServiceName]*serviceTable)
	writable := func(name wire.ServiceName) *serviceTable {
		if v, ok := copies[name]; ok {
			return v
		}
		old, ok := s.services[name]
		if !ok {
			return nil
		}
		v := *old
		v.numbered, v.overrides = slices.Clone(old.numbered), maps.Clone(old.overrides)
		copies[name] = &v
		return &v
	}
	for _, id := range d.RemovedPartitions {
		if v := writable(serviceOf(id)); v != nil {
			v.remove(id)
		}
	}
	for _, p := range d.Partitions {
		if v := writable(p.Service); v != nil {
			v.put(p)
		}
	}
	s.replaceServices(copies)
}

// replaceServices replaces the tables of the given services.
func (s *Snapshot) replaceServices(replacements map[wire.ServiceName]*serviceTable) {
	if len(replacements) == 0 {
		return
	}
	s.services = maps.Clone(s.services)
	maps.Copy(s.services, replacements)
}

// rebuildMemberLists rebuilds the member lists of the services whose members changed, or of
// all services, in the order of incarnations.
func (s *Snapshot) rebuildMemberLists(membersChanged map[wire.ServiceName]bool, all bool) {
	copies := make(map[wire.ServiceName]*serviceTable)
	for name, old := range s.services {
		if !membersChanged[name] && !all {
			continue
		}
		v := *old
		v.members = nil
		copies[name] = &v
	}
	for _, m := range s.members {
		if v, ok := copies[m.Service]; ok {
			v.members = append(v.members, m)
		}
	}
	for _, v := range copies {
		slices.SortFunc(v.members, func(a, b wire.Member) int {
			return strings.Compare(string(a.Incarnation), string(b.Incarnation))
		})
	}
	s.replaceServices(copies)
}

// serviceOf returns the service in a partition's ID, which is the part before the last
// slash. Names of services contain no slash.
func serviceOf(id wire.PartitionID) wire.ServiceName {
	i := strings.LastIndexByte(string(id), '/')
	return wire.ServiceName(id[:max(0, i)])
}
