package replog

import (
	"math/rand/v2"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// GroupID names a group of replicas.
type GroupID string

// ReplicaID is the name of a replica from its settings.
type ReplicaID string

// Identity is the random id of a replica's data folder.
type Identity string

// Term numbers the periods of leadership; each has at most one leader.
type Term uint64

// Index is the position of an entry in the log, from 1.
type Index uint64

// Errors of the package.
var (
	// ErrNotLeader says that the request was not carried out, because this
	// replica is not the leader or is handing over leadership.
	ErrNotLeader = merry.Sentinel("replica is not the leader")
	// ErrOutcomeUnknown says that a proposed entry may or may not be committed.
	ErrOutcomeUnknown = merry.Sentinel("outcome of the proposal is unknown")
	// ErrTooLarge refuses a proposal over MaxEntryBytes.
	ErrTooLarge = merry.Sentinel("entry is too large")
	// ErrNotEmpty refuses a bootstrap of a replica that holds another group.
	ErrNotEmpty = merry.Sentinel("replica is not empty")
	// ErrInvalidMember refuses members without name or identity, or duplicates.
	ErrInvalidMember = merry.Sentinel("invalid member")
	// ErrMemberResponsive refuses to replace an identity that the leader still hears.
	ErrMemberResponsive = merry.Sentinel("the identity to be replaced still answers")
	// ErrTransferFailed says that no other replica took over leadership in time.
	ErrTransferFailed = merry.Sentinel("leadership was not transferred")
	// ErrStorage says that a file operation failed. The process must stop.
	ErrStorage = merry.Sentinel("storage failed")
	// ErrCorrupt says that a file of the data folder is damaged.
	ErrCorrupt = merry.Sentinel("data folder is corrupt")
	// ErrInvalidMessage refuses an encoded message.
	ErrInvalidMessage = merry.Sentinel("invalid message")
	// ErrInvalidOptions refuses options that cannot work.
	ErrInvalidOptions = merry.Sentinel("invalid options")
	// ErrInconsistentState says that Snapshot or Restore failed, or that the log holds an
	// entry that contradicts the protocol. The process must stop.
	ErrInconsistentState = merry.Sentinel("replica state is inconsistent")
)

// MaxEntryBytes is the largest proposal. It bounds a message and a log frame.
const MaxEntryBytes = 8 << 20

// Member is one replica of a group.
type Member struct {
	Name     ReplicaID
	Identity Identity
	Address  string
}

// EntryKind says what an entry is for.
type EntryKind uint8

const (
	// EntryNoop starts a term.
	EntryNoop EntryKind = iota + 1
	// EntryCommand carries proposed data.
	EntryCommand
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// Role is what a replica does in its current term.
type Role int

const (
	// Follower accepts entries from a leader.
	Follower Role = iota
	// PreCandidate asks whether an election could succeed.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader appends entries and replicates them.
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role in lower case.
func (r Role) String() string {
	if r < 0 || int(r) >= len(roleNames) {
		return "unknown"
	}
	return roleNames[r]
}

// Snapshot is the state of the machine after the entry at Index.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	// InitialMembers holds the members that Bootstrap was called with.
	InitialMembers []Member
	Data           []byte
	// fileInfo describes the file, once there is one. The core keeps a snapshot
	// without its data: chunks for a replica that is behind are read from the
	// file.
	fileInfo snapshotFileInfo
}

// withoutData returns the snapshot as the core keeps it.
func (s *Snapshot) withoutData() *Snapshot {
	kept := *s
	kept.Data = nil
	return &kept
}

// snapshotFileInfo is the place of a snapshot's data in its file, and the checksums
// that the file begins with and that cover what comes before the data.
type snapshotFileInfo struct {
	dataOffset     int64
	dataSize       uint64
	checksum       uint32
	headerChecksum uint32
}

// Options configure a Replica. All fields but OnRoleChange are required.
type Options struct {
	// Folder holds the replica's files; it is created if it does not exist.
	Folder  string
	Group   GroupID
	Name    ReplicaID
	Address string
	Clock   clock.Clock
	// Random draws election timeouts. The replica uses it from one goroutine.
	Random *rand.Rand
	// HeartbeatEvery is the interval between a leader's messages to each replica.
	HeartbeatEvery clock.Millis
	// ElectionTimeout is T; each wait for a leader is drawn from [T, 2T).
	ElectionTimeout clock.Millis
	// SnapshotEvery is the least number of applied entries between snapshots; the
	// next one is not taken before the last one is written. As many older entries
	// are kept, so that a replica that restarts catches up from the log, and up to
	// 8 times as many while a replica that answers is further behind.
	SnapshotEvery int
	// Send sends a message to m.To. It must not block and may lose the message.
	Send func(m Message)
	// Apply is called in order, once for each committed EntryCommand, from the
	// goroutine that also calls Snapshot and Restore.
	Apply func(e Entry) any
	// Snapshot captures the machine's state and returns a function that encodes
	// it, to at most 1 GiB. Snapshot is called in order with Apply, which waits
	// for it; the returned function is called once, on another goroutine, and
	// must not see what is applied in the meantime. A planned stop waits for it.
	Snapshot func() (func() ([]byte, error), error)
	// Restore replaces the machine's state by what Snapshot's function returned.
	Restore func([]byte) error
	// OnRoleChange is told about each change of role or term. It must not block.
	OnRoleChange func(Role, Term)
}

func (options Options) validate() error {
	problems := map[string]bool{
		"Folder is empty":                       options.Folder == "",
		"Group is empty":                        options.Group == "",
		"Name is empty":                         options.Name == "",
		"Clock is not set":                      options.Clock.Now == nil || options.Clock.Sleep == nil,
		"Random is nil":                         options.Random == nil,
		"HeartbeatEvery is not positive":        options.HeartbeatEvery <= 0,
		"ElectionTimeout is below 2 heartbeats": options.ElectionTimeout < 2*options.HeartbeatEvery,
		"SnapshotEvery is not positive":         options.SnapshotEvery <= 0,
		"a function field is nil":               options.Send == nil || options.Apply == nil || options.Snapshot == nil || options.Restore == nil,
	}
	for text, invalid := range problems {
		if invalid {
			return merry.Wrap(ErrInvalidOptions, merry.AppendMessage(text))
		}
	}
	return nil
}
