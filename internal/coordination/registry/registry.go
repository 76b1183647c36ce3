// Package registry implements the deterministic state machine of the core. Its state is
// the operator's configuration, the registered targets and the assignments of keys.
//
// The state depends on log entries only. Leases, current loads and anything else that
// depends on time are kept by the leader outside this package. What sidecars need is
// published as items with the version of their last change, so that a sidecar at
// version 41 gets only the items that changed after it.
//
// # Usage
//
//	m := registry.New()
//	outcome := m.Apply(entry).(registry.Outcome)
//	reply := m.ChangesSince(41)
package registry

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/delta"
	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// Limits of the size of the state.
const (
	// maxDigests is the number of past changes that are recognized when they are resent,
	// which may be much later.
	maxDigests = 4096
	// maxRemovedItems bounds the names of removed items. A sidecar that is further behind
	// gets the whole published state.
	maxRemovedItems = 8192
	// maxSuspects bounds the requests whose crashes are counted.
	maxSuspects = 4096
	// maxDeparted bounds the departed incarnations that are remembered, and maxFollowed
	// those that were followed by another one.
	maxDeparted = 1024
	maxFollowed = 1024
)

// Status is the kind of an Outcome.
type Status int

const (
	// Done: the command has taken effect, now or when it was sent before.
	Done Status = iota
	// Conflict: the command builds on a version that is not the current one.
	Conflict
	// Invalid: the command can never take effect.
	Invalid
	// Stale: the command names an incarnation that is not registered, or that was followed
	// by another one.
	Stale
)

// Outcome is the result of a command.
type Outcome struct {
	Status Status
	Reason string
}

// Machine is the state machine. It is safe for concurrent use. Apply, Capture and Restore
// must be called in the order of the log.
type Machine struct {
	mu      sync.Mutex
	state   state
	changed chan struct{}
	// replies caches the results of ChangesSince at the current index by known version.
	// Most sidecars know the same version and get the same changes.
	replies map[message.Version]message.WatchReply
}

// state is encoded in snapshots, with its fields under their JSON names.
type state struct {
	Index     message.Version
	Revision  Revision
	Routes    []message.Route
	Services  []message.ServiceSpec
	Limits    string
	Digests   []string
	Instances map[message.InstanceID]message.Instance
	// Departed are incarnations that have left and are not registered, oldest first.
	Departed []message.Incarnation
	// Followed are incarnations after which another one started at the same address or under
	// the same id, oldest first. They are never registered again.
	Followed    []message.Incarnation
	Assignments map[message.ServiceName]Assignments `json:"Rows"`
	// Suspects counts, by fingerprint of a request, the targets that died while they
	// processed it.
	Suspects map[string]int
	// SuspectOrder lists the fingerprints in Suspects, oldest first.
	SuspectOrder []string
	// Evacuated are the failure domains whose targets get no requests. Snapshots of earlier
	// releases have none.
	Evacuated map[message.FailureDomain]bool
	Items     map[string]message.Item
	Removed   []removedItem
	// RemovedCompleteAfter is the version after which Removed lists all removals.
	RemovedCompleteAfter message.Version `json:"Floor"`
}

// Revision identifies the configuration in force.
type Revision struct {
	// Version is the number chosen by the operator; 0 before the first configuration.
	Version int
	Digest  string
}

// Assignments are the assignments of a keyed service in the order of keys.
type Assignments struct {
	Version message.Version
	List    []message.Assignment
	// Loads are the latest loads that the leader committed with a change.
	Loads []message.Load
}

type removedItem struct {
	Name    string
	Version message.Version
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{changed: make(chan struct{})}
	m.state.init()
	return m
}

func (s *state) init() {
	if s.Instances == nil {
		s.Instances = map[message.InstanceID]message.Instance{}
	}
	if s.Assignments == nil {
		s.Assignments = map[message.ServiceName]Assignments{}
	}
	if s.Suspects == nil {
		s.Suspects = map[string]int{}
	}
	if s.Evacuated == nil {
		s.Evacuated = map[message.FailureDomain]bool{}
	}
	if s.Items == nil {
		s.Items = map[string]message.Item{}
	}
}

// Apply applies a log entry and returns its Outcome.
func (m *Machine) Apply(e replog.Entry) any {
	var c message.Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return Outcome{Invalid, "malformed command: " + err.Error()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Index = message.Version(e.Index)
	outcome := m.state.apply(c)
	m.replies = nil
	close(m.changed)
	m.changed = make(chan struct{})
	return outcome
}

func (s *state) apply(c message.Command) Outcome {
	switch {
	case c.Change != nil:
		return s.applyChange(*c.Change)
	case c.Register != nil:
		return s.register(*c.Register, c.Before)
	case c.Leave != nil:
		return s.drain(*c.Leave)
	case c.HostStop != nil:
		return s.setStopping(*c.HostStop)
	case c.Expire != nil:
		return s.expire(*c.Expire)
	case c.Assignments != nil:
		return s.replaceAssignments(*c.Assignments)
	case c.Crash != nil:
		return s.recordCrash(*c.Crash)
	case c.Evacuation != nil:
		return s.setEvacuation(*c.Evacuation)
	}
	return Outcome{Invalid, "unknown command"}
}

// Capture captures the current state and returns a function that returns its encoding.
func (m *Machine) Capture() (func() ([]byte, error), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := json.Marshal(&m.state)
	return func() ([]byte, error) { return data, err }, err
}

// Restore replaces the state with an encoded one.
func (m *Machine) Restore(data []byte) error {
	var s state
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	s.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.replies = s, nil
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

// Index returns the index of the last entry that was applied.
func (m *Machine) Index() message.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Index
}

// Changed returns a channel that is closed when the next command is applied.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// ChangesSince returns the items that changed after the known version.
func (m *Machine) ChangesSince(known message.Version) message.WatchReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	if out, ok := m.replies[known]; ok {
		return out
	}
	out, err := delta.Pack(m.state.changesSince(known))
	if err != nil {
		// Items have been decoded from JSON and are written to memory, so this cannot fail.
		panic(err)
	}
	if m.replies == nil {
		m.replies = map[message.Version]message.WatchReply{}
	}
	m.replies[known] = out
	return out
}

func (s *state) changesSince(known message.Version) message.WatchReply {
	out := message.WatchReply{Version: s.Index, Full: known < s.RemovedCompleteAfter || known == 0, Items: []message.Item{}, Removed: []string{}}
	if known >= s.Index && known > 0 {
		return out
	}
	for _, i := range s.Items {
		if out.Full || i.Version > known {
			out.Items = append(out.Items, i)
		}
	}
	for _, r := range s.Removed {
		if !out.Full && r.Version > known {
			if _, republished := s.Items[r.Name]; !republished {
				out.Removed = append(out.Removed, r.Name)
			}
		}
	}
	return out
}

// publish sets an item. If its text is unchanged, it keeps its version.
func (s *state) publish(name string, content any) {
	data, err := json.Marshal(content)
	if err != nil {
		// All published types can be encoded.
		panic(err)
	}
	if old, ok := s.Items[name]; ok && old.Text == string(data) {
		return
	}
	s.Items[name] = message.Item{Name: name, Version: s.Index, Text: string(data)}
}

// unpublish removes an item. Sidecars that know it learn of the removal.
func (s *state) unpublish(name string) {
	if _, ok := s.Items[name]; !ok {
		return
	}
	delete(s.Items, name)
	s.Removed = append(s.Removed, removedItem{name, s.Index})
	if len(s.Removed) > maxRemovedItems {
		n := len(s.Removed) / 2
		s.RemovedCompleteAfter = s.Removed[n-1].Version
		s.Removed = slices.Clone(s.Removed[n:])
	}
}
