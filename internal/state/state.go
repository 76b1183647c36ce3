// Package state is the deterministic state machine of a control group.
//
// The state of a Machine depends only on the log entries that it has applied, so all
// replicas that have applied the same entries have the same state and byte-identical
// snapshots. The only source of time is Command.ProposedAt. The machine keeps the maximum
// that it has seen, so that its time does not go back when the wall clock of a new leader
// is behind. The state does not depend on random numbers or host names.
//
// A command that may be based on outdated state names the incarnation, the fencing token
// or the leader session that it expects. If the current state differs, the command changes
// nothing and its Result has an error. Therefore a command can be resent safely after its
// response was lost.
//
// Ownership follows three rules. A partition is assigned to an owner only while it has
// none, or when its previous owner releases it in a planned move. It loses its owner only
// through MemberDown of that owner, or MoveRelease by that owner with the current fencing
// token. The fencing token of a partition is the index of the log entry that assigned its
// owner, so it only increases.
//
// # Usage
//
//	m := state.New("tz")
//	result := m.Apply(7, data)
//	if result.Err != nil {
//		// rejected; the routing table and the operations are unchanged
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

// Errors of rejected commands and of Restore.
var (
	// ErrInvalidCommand means that a log entry is not a command of this version.
	ErrInvalidCommand = merry.Sentinel("invalid command")
	// ErrStale means that the state that the command expects, such as a live member, a
	// fencing token or an owner, has changed.
	ErrStale = merry.Sentinel("command is based on outdated state")
	// ErrSessionEnded means that the command is from a leader session that another one has
	// replaced.
	ErrSessionEnded = merry.Sentinel("leader session has ended")
	// ErrNotFound means that the command names an object that does not exist.
	ErrNotFound = merry.Sentinel("not found")
	// ErrIncarnationEnded means that the incarnation was registered before and has ended.
	ErrIncarnationEnded = merry.Sentinel("incarnation has ended")
	// ErrLimitReached means that a bounded part of the state has reached its limit.
	ErrLimitReached = merry.Sentinel("limit reached")
	// ErrInvalidSnapshot means that a snapshot cannot be read.
	ErrInvalidSnapshot = merry.Sentinel("invalid snapshot")
)

// Result is the outcome of one command.
type Result struct {
	// Err is set when the command was rejected.
	Err error
	// Version is the log index of the command.
	Version wire.Version
	// Begin is the response to a Begin command.
	Begin *wire.BeginResponse
	// Apply is the response to an Apply command.
	Apply *wire.ApplyResponse
}

// Machine is the state of one control group.
type Machine struct {
	mu sync.RWMutex
	contents
	// changed is closed and replaced when the routing table changes.
	changed chan struct{}
	// byNode lists the live incarnations of each node. It is derived from Members.
	byNode map[wire.NodeID][]wire.Incarnation
	// recordLimit is maxRecordBytes, or less in tests.
	recordLimit int
}

// contents is the part of the state that snapshots contain. Maps are never nil, and
// encoding/json sorts their keys, so equal states have equal encodings. shallowCopy must
// copy each new field whose content is changed in place.
type contents struct {
	Group             wire.GroupID
	Index             wire.Version
	TableVersion      wire.Version
	Now               wire.UnixMillis
	Session           wire.SessionID
	Leader            wire.ReplicaID
	Revision          wire.Revision
	Configuration     wire.Configuration
	RecordedResponses []recordedResponse `json:"Answers"`
	Services          map[wire.ServiceName]Service
	Members           map[wire.Incarnation]wire.Member
	Ended             map[wire.Incarnation]endedIncarnation
	Draining          map[wire.NodeID]bool
	// Evacuated are the failure domains whose nodes get no work. Snapshots of earlier
	// releases have none.
	Evacuated  map[wire.FailureDomain]bool
	Partitions map[wire.PartitionID]wire.Partition
	Operations recordStore `json:"-"`
	Suspects   map[wire.Fingerprint]suspect
	Audit      []wire.AuditRecord
	History    []tableChange
	// HistoryStart is the version after which History is complete.
	HistoryStart wire.Version
}

// New returns the initial state of a group.
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
		Ended:         make(map[wire.Incarnation]endedIncarnation),
		Draining:      make(map[wire.NodeID]bool),
		Evacuated:     make(map[wire.FailureDomain]bool),
		Partitions:    make(map[wire.PartitionID]wire.Partition),
		Suspects:      make(map[wire.Fingerprint]suspect),
	}
}

// Apply applies the log entry at index. It rejects entries that have already been
// applied.
func (m *Machine) Apply(index wire.Version, data []byte) Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.Index {
		return Result{Err: merry.Wrap(ErrStale, merry.AppendMessagef("index %d is already applied", index)), Version: index}
	}
	m.Index = index
	// Entries that the replicated log adds itself contain no command.
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
	previousTableVersion := m.TableVersion
	r := m.dispatch(c)
	r.Version = m.Index
	if m.TableVersion != previousTableVersion {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return r
}

func (m *Machine) dispatch(c wire.Command) Result {
	switch {
	case c.Begin != nil:
		return m.beginOperation(*c.Begin)
	case c.Finish != nil:
		return Result{Err: m.finishOperation(*c.Finish)}
	case c.Apply != nil:
		return m.applyConfig(*c.Apply)
	}
	return Result{Err: m.dispatchTableCommand(c)}
}

func (m *Machine) dispatchTableCommand(c wire.Command) error {
	switch {
	case c.RegisterMember != nil:
		return m.registerMember(c.RegisterMember.Member)
	case c.MemberDown != nil:
		return m.memberDown(*c.MemberDown)
	case c.MoveStart != nil:
		return m.startMoves(*c.MoveStart)
	case c.MoveCancel != nil:
		return m.cancelMoves(*c.MoveCancel)
	case c.MoveRelease != nil:
		return m.releasePartitions(*c.MoveRelease)
	case c.Assign != nil:
		return m.assignPartitions(*c.Assign)
	case c.Override != nil:
		return m.applyOverride(*c.Override)
	case c.Drain != nil:
		return m.setDrain(*c.Drain)
	case c.Evacuate != nil:
		return m.setEvacuation(*c.Evacuate)
	case c.ClearSuspect != nil:
		return m.clearSuspect(*c.ClearSuspect)
	case c.Release != nil:
		return m.releaseQuarantine(*c.Release)
	case c.LeaderStart != nil:
		return m.leaderStart(*c.LeaderStart)
	}
	return merry.Wrap(ErrInvalidCommand, merry.AppendMessage("command has no known type"))
}

func (m *Machine) leaderStart(l wire.LeaderStart) error {
	if l.Session == "" {
		return merry.Wrap(ErrInvalidCommand, merry.AppendMessage("empty session"))
	}
	// The same session means that the command was resent.
	if m.Session == l.Session {
		return nil
	}
	m.recordAudit(string(l.Replica), "leader started", string(m.Session), string(l.Session))
	m.Session, m.Leader = l.Session, l.Replica
	return nil
}
