// Package state is the deterministic state machine of a control group.
//
// A Machine is built only from log entries, so every replica that has applied
// the same entries holds the same state, and its snapshot has the same bytes.
// Time enters only through Command.ProposedAt; the machine keeps the maximum it
// has seen, so that its time never goes back when a new leader's wall clock is
// behind. Randomness and host names never enter.
//
// Each command that could rest on stale information names the incarnation, the
// epoch or the leader session that it expects. Where that no longer holds, the
// command changes nothing and its Result carries an error. Hence a command may
// be sent again after a lost response.
//
// Ownership follows three rules. A partition gets an owner only while it has
// none. It loses its owner only through MemberDown of that owner or MoveRelease
// by that owner under the current epoch. Its epoch is the index of the entry
// that gave it its owner, so it only grows.
//
// # Usage
//
//	m := state.New("tz")
//	result := m.Apply(7, data)
//	if result.Err != nil {
//		// refused; nothing changed
//	}
//	delta := m.Delta(known)
//	encode, err := m.Capture() // between two entries
//	snapshot, err := encode()  // at any time, on any goroutine
//
// Apply, Capture and Restore are called from one goroutine; all other methods are safe
// for concurrent use with them.
package state

import (
	"encoding/json"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// Errors of refused commands and of this package.
var (
	// ErrInvalidCommand means that a log entry is not a command of this version.
	ErrInvalidCommand = merry.Sentinel("invalid command")
	// ErrStale means that the member, epoch or override that the command expects
	// is no longer there.
	ErrStale = merry.Sentinel("command rests on stale information")
	// ErrSessionEnded means that another leader session has started since.
	ErrSessionEnded = merry.Sentinel("leader session has ended")
	// ErrNotFound means that the command names something that never existed.
	ErrNotFound = merry.Sentinel("not found")
	// ErrIncarnationEnded means that the incarnation was registered before and has ended.
	ErrIncarnationEnded = merry.Sentinel("incarnation has ended")
	// ErrLimitReached means that a bounded part of the state is full.
	ErrLimitReached = merry.Sentinel("limit reached")
	// ErrInvalidSnapshot means that a snapshot cannot be read.
	ErrInvalidSnapshot = merry.Sentinel("invalid snapshot")
)

// Result is the outcome of one command.
type Result struct {
	// Err is set when the command was refused and changed nothing.
	Err error
	// Version is the index of the command.
	Version wire.Version
	// Begin is the answer to a Begin command.
	Begin *wire.BeginResponse
	// Apply is the answer to an Apply command.
	Apply *wire.ApplyResponse
}

// Machine is the state of one control group.
type Machine struct {
	mu sync.RWMutex
	contents
	changed chan struct{}
	// byNode lists the live incarnations of each node. It follows from Members.
	byNode map[wire.NodeID][]wire.Incarnation
	// recordLimit is maxRecordBytes, and smaller in tests.
	recordLimit int
}

// contents is what a snapshot holds. Maps are never nil, so that equal states
// have equal encodings; encoding/json sorts their keys. A new field must be
// copied by capture, unless its content is never changed in place.
type contents struct {
	Group         wire.GroupID
	Index         wire.Version
	TableVersion  wire.Version
	Now           wire.UnixMillis
	Session       wire.SessionID
	Leader        wire.ReplicaID
	Revision      wire.Revision
	Configuration wire.Configuration
	Answers       []answer
	Services      map[wire.ServiceName]Service
	Members       map[wire.Incarnation]wire.Member
	Ended         map[wire.Incarnation]ended
	Draining      map[wire.NodeID]bool
	Partitions    map[wire.PartitionID]wire.Partition
	Operations    records `json:"-"`
	Suspects      map[wire.Fingerprint]suspect
	Audit         []wire.AuditRecord
	History       []change
	// HistoryStart is the version from which History is complete.
	HistoryStart wire.Version
}

// New returns the state of a group before its first command.
func New(g wire.GroupID) *Machine {
	m := &Machine{changed: make(chan struct{}), byNode: make(map[wire.NodeID][]wire.Incarnation), recordLimit: maxRecordBytes}
	m.contents = emptyContents()
	m.Group = g
	return m
}

func emptyContents() contents {
	return contents{
		Configuration: emptyConfiguration(),
		Services:      make(map[wire.ServiceName]Service),
		Members:       make(map[wire.Incarnation]wire.Member),
		Ended:         make(map[wire.Incarnation]ended),
		Draining:      make(map[wire.NodeID]bool),
		Partitions:    make(map[wire.PartitionID]wire.Partition),
		Suspects:      make(map[wire.Fingerprint]suspect),
	}
}

// Apply applies the log entry at index. Entries that are already applied are
// not applied again.
func (m *Machine) Apply(index wire.Version, data []byte) Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.Index {
		return Result{Err: merry.Wrap(ErrStale, merry.AppendMessagef("index %d is already applied", index)), Version: index}
	}
	m.Index = index
	// The log's own entries carry no command.
	if len(data) == 0 {
		return Result{Version: index}
	}
	var c wire.Command
	if err := json.Unmarshal(data, &c); err != nil {
		return Result{Err: merry.Wrap(ErrInvalidCommand, merry.WithCause(err), merry.AppendMessage(err.Error())), Version: index}
	}
	return m.apply(c)
}

func (m *Machine) apply(c wire.Command) Result {
	m.Now = max(m.Now, c.ProposedAt)
	m.pruneOperations()
	if c.Session != "" && c.Session != m.Session {
		return Result{Err: ErrSessionEnded, Version: m.Index}
	}
	before := m.TableVersion
	r := m.dispatch(c)
	r.Version = m.Index
	if m.TableVersion != before {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return r
}

func (m *Machine) dispatch(c wire.Command) Result {
	switch {
	case c.Begin != nil:
		return m.begin(*c.Begin)
	case c.Finish != nil:
		return Result{Err: m.finish(*c.Finish)}
	case c.Apply != nil:
		return m.applyConfig(*c.Apply)
	}
	return Result{Err: m.dispatchTable(c)}
}

func (m *Machine) dispatchTable(c wire.Command) error {
	switch {
	case c.RegisterMember != nil:
		return m.register(c.RegisterMember.Member)
	case c.MemberDown != nil:
		return m.memberDown(*c.MemberDown)
	case c.MoveStart != nil:
		return m.moveStart(*c.MoveStart)
	case c.MoveCancel != nil:
		return m.moveCancel(*c.MoveCancel)
	case c.MoveRelease != nil:
		return m.moveRelease(*c.MoveRelease)
	case c.Assign != nil:
		return m.assign(*c.Assign)
	case c.Override != nil:
		return m.override(*c.Override)
	case c.Drain != nil:
		return m.drain(*c.Drain)
	case c.ClearSuspect != nil:
		return m.clearSuspect(*c.ClearSuspect)
	case c.Release != nil:
		return m.releaseQuarantine(*c.Release)
	case c.LeaderStart != nil:
		return m.leaderStart(*c.LeaderStart)
	}
	return merry.Wrap(ErrInvalidCommand, merry.AppendMessage("no known field is present"))
}

func (m *Machine) leaderStart(l wire.LeaderStart) error {
	if l.Session == "" {
		return merry.Wrap(ErrInvalidCommand, merry.AppendMessage("empty session"))
	}
	// The same session again is a resend.
	if m.Session == l.Session {
		return nil
	}
	m.audit(string(l.Replica), "leader started", string(m.Session), string(l.Session))
	m.Session, m.Leader = l.Session, l.Replica
	return nil
}
