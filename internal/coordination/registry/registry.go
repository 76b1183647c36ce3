// Package registry is the deterministic state machine of the core: the operator's
// configuration, the targets that announced themselves, and who holds which keys.
//
// It is built from log entries alone. Time, leases and loads are soft state of the
// leader and live elsewhere. Everything that sidecars need is published as
// elements with the version of their last change, so that a sidecar that knows
// version 41 gets what changed after it and nothing else.
//
// # Usage
//
//	m := registry.New()
//	outcome := m.Apply(entry).(registry.Outcome)
//	reply := m.Since(41)
package registry

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/delta"
	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// Bounds of what the state keeps.
const (
	// maxDigests covers hundreds of changes that may be sent again much later.
	maxDigests = 4096
	// maxRemoved bounds the names of removed elements; a sidecar that is further
	// behind gets everything.
	maxRemoved = 8192
	// maxSuspects bounds the requests that are counted as suspects.
	maxSuspects = 4096
)

// Status says what became of a command.
type Status int

const (
	// Done: the command took effect, now or before.
	Done Status = iota
	// Conflict: the command builds on a version that is not the current one.
	Conflict
	// Invalid: the command can never take effect.
	Invalid
	// Stale: the command speaks of a lifetime that has been replaced.
	Stale
)

// Outcome is the result of a command.
type Outcome struct {
	Status Status
	Reason string
}

// Machine is the state machine. It is safe for concurrent use; Apply, Capture and
// Restore are called in the order of the log.
type Machine struct {
	mu      sync.Mutex
	s       state
	changed chan struct{}
	// replies are those of Since at the present index: most sidecars know the same
	// version and get the same changes.
	replies map[message.Version]message.WatchReply
}

// state is what a snapshot holds.
type state struct {
	Index     message.Version
	Revision  Revision
	Routes    []message.Route
	Services  []message.ServiceSpec
	Limits    string
	Digests   []string
	Instances map[message.InstanceID]message.Instance
	Rows      map[message.ServiceName]Assignments
	// Suspects counts the targets that died while they ran a request.
	Suspects map[string]int
	// Order of the suspects, oldest first.
	SuspectOrder []string
	Items        map[string]message.Item
	Removed      []removal
	// Floor is the version after which Removed is complete.
	Floor message.Version
}

// Revision names the configuration in force.
type Revision struct {
	// Version is the operator's number; 0 before the first configuration.
	Version int
	Digest  string
}

// Rows are the ranges of a keyed service in the order of keys.
type Assignments struct {
	Version message.Version
	List    []message.Assignment
	// Loads are those that the leader measured at the last change.
	Loads []message.Load
}

type removal struct {
	Name    string
	Version message.Version
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{changed: make(chan struct{})}
	m.s.init()
	return m
}

func (s *state) init() {
	if s.Instances == nil {
		s.Instances = map[message.InstanceID]message.Instance{}
	}
	if s.Rows == nil {
		s.Rows = map[message.ServiceName]Assignments{}
	}
	if s.Suspects == nil {
		s.Suspects = map[string]int{}
	}
	if s.Items == nil {
		s.Items = map[string]message.Item{}
	}
}

// Apply applies a command and returns its Outcome.
func (m *Machine) Apply(e replog.Entry) any {
	var c message.Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return Outcome{Invalid, "command cannot be read: " + err.Error()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.s.Index = message.Version(e.Index)
	out := m.s.apply(c)
	m.replies = nil
	close(m.changed)
	m.changed = make(chan struct{})
	return out
}

func (s *state) apply(c message.Command) Outcome {
	switch {
	case c.Change != nil:
		return s.change(*c.Change)
	case c.Register != nil:
		return s.register(*c.Register)
	case c.Leave != nil:
		return s.leave(*c.Leave)
	case c.HostStop != nil:
		return s.hostStop(*c.HostStop)
	case c.Expire != nil:
		return s.expire(*c.Expire)
	case c.Assignments != nil:
		return s.replaceRows(*c.Assignments)
	case c.Crash != nil:
		return s.crash(*c.Crash)
	}
	return Outcome{Invalid, "unknown command"}
}

// Capture returns a function that encodes the state as it is now.
func (m *Machine) Capture() (func() ([]byte, error), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := json.Marshal(&m.s)
	return func() ([]byte, error) { return data, err }, err
}

// Restore replaces the state by a captured one.
func (m *Machine) Restore(data []byte) error {
	var s state
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	s.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.s, m.replies = s, nil
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

// Changed returns a channel that closes with the next command.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Since returns what changed after a version, and the version it is complete to.
func (m *Machine) ChangesSince(known message.Version) message.WatchReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	if out, ok := m.replies[known]; ok {
		return out
	}
	out, err := delta.Pack(m.s.since(known))
	if err != nil {
		// It writes to memory what was read from JSON.
		panic(err)
	}
	if m.replies == nil {
		m.replies = map[message.Version]message.WatchReply{}
	}
	m.replies[known] = out
	return out
}

func (s *state) since(known message.Version) message.WatchReply {
	out := message.WatchReply{Version: s.Index, Full: known < s.Floor || known == 0, Items: []message.Item{}, Removed: []string{}}
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
			if _, again := s.Items[r.Name]; !again {
				out.Removed = append(out.Removed, r.Name)
			}
		}
	}
	return out
}

// publish sets an element. An unchanged one keeps its version.
func (s *state) publish(name string, element any) {
	data, err := json.Marshal(element)
	if err != nil {
		// The types of this package hold nothing that cannot be encoded.
		panic(err)
	}
	if old, ok := s.Items[name]; ok && old.Text == string(data) {
		return
	}
	s.Items[name] = message.Item{Name: name, Version: s.Index, Text: string(data)}
}

func (s *state) withdraw(name string) {
	if _, ok := s.Items[name]; !ok {
		return
	}
	delete(s.Items, name)
	s.Removed = append(s.Removed, removal{name, s.Index})
	if len(s.Removed) > maxRemoved {
		cut := len(s.Removed) / 2
		s.Floor = s.Removed[cut-1].Version
		s.Removed = slices.Clone(s.Removed[cut:])
	}
}
