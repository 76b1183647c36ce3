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

// Term is the number of a leadership term. Each term has at most one leader.
type Term uint64

// Index is the position of an entry in the log. The first entry has index 1.
type Index uint64

// Errors of the package.
var (
	// ErrNotLeader means that the request had no effect because this replica is
	// not the leader, is transferring leadership or has stopped.
	ErrNotLeader = merry.Sentinel("replica is not the leader")
	// ErrOutcomeUnknown means that the proposed entry may or may not be committed.
	ErrOutcomeUnknown = merry.Sentinel("outcome of the proposal is unknown")
	// ErrTooLarge rejects a proposal larger than MaxEntryBytes.
	ErrTooLarge = merry.Sentinel("entry is too large")
	// ErrNotEmpty rejects Bootstrap on a replica that has different initial members.
	ErrNotEmpty = merry.Sentinel("replica is not empty")
	// ErrInvalidMember rejects a member that is incomplete or not allowed, such as
	// one without a name or a duplicate.
	ErrInvalidMember = merry.Sentinel("invalid member")
	// ErrMemberResponsive rejects the removal of a member that has replied within
	// the election timeout or whose state the leader does not know yet.
	ErrMemberResponsive = merry.Sentinel("member to be removed may still be responsive")
	// ErrTransferFailed means that no other replica became leader in time.
	ErrTransferFailed = merry.Sentinel("leadership was not transferred")
	// ErrStorage means that a file operation failed. The process must exit.
	ErrStorage = merry.Sentinel("storage failed")
	// ErrCorrupt means that a file in the data folder is damaged.
	ErrCorrupt = merry.Sentinel("data folder is corrupt")
	// ErrInvalidMessage means that an encoded message could not be decoded.
	ErrInvalidMessage = merry.Sentinel("invalid message")
	// ErrInvalidOptions means that an option is missing or out of range.
	ErrInvalidOptions = merry.Sentinel("invalid options")
	// ErrInconsistentState means that Options.Snapshot or Options.Restore failed,
	// or that the replica detected a violation of the protocol. The process must
	// exit.
	ErrInconsistentState = merry.Sentinel("replica state is inconsistent")
)

// MaxEntryBytes is the maximum size of a proposal. It limits the size of messages
// and log frames.
const MaxEntryBytes = 8 << 20

// Member is one replica of a group.
type Member struct {
	Name     ReplicaID
	Identity Identity
	Address  string
}

// EntryKind is the type of an entry.
type EntryKind uint8

const (
	// EntryNoop is the empty entry that a leader appends at the start of its term.
	EntryNoop EntryKind = iota + 1
	// EntryCommand contains the data of a proposal.
	EntryCommand
	// EntryMembership contains an encoded Membership.
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// Role is the role of a replica in its current term.
type Role int

const (
	// Follower accepts entries from a leader.
	Follower Role = iota
	// PreCandidate asks the voters whether an election could succeed.
	PreCandidate
	// Candidate requests votes.
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

// Snapshot is the state after the entry at Index. Data is the encoded state
// machine.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	// InitialMembers are the members that Bootstrap was called with.
	InitialMembers []Member
	Data           []byte
	// fileInfo describes the snapshot's file and is zero until the file is written.
	// Chunks for a replica that is behind are read from this file.
	fileInfo snapshotFileInfo
}

// withoutData returns a copy without Data. The core keeps only such copies, to
// save memory.
func (s *Snapshot) withoutData() *Snapshot {
	copied := *s
	copied.Data = nil
	return &copied
}

// snapshotFileInfo locates the data within a snapshot's file. checksum is the one
// at the start of the file; headerChecksum covers only the part of the file
// between checksum and the data.
type snapshotFileInfo struct {
	dataOffset     int64
	dataSize       uint64
	checksum       uint32
	headerChecksum uint32
}

// Options configures a Replica. Address and OnRoleChange may be empty.
type Options struct {
	// Folder is the data folder; Open creates it if it does not exist.
	Folder  string
	Group   GroupID
	Name    ReplicaID
	Address string
	Clock   clock.Clock
	// Random is the source of randomized election timeouts. The replica uses it
	// from one goroutine.
	Random *rand.Rand
	// HeartbeatEvery is the interval between a leader's messages to each replica.
	HeartbeatEvery clock.Millis
	// ElectionTimeout is the minimum election timeout T. A follower's actual
	// timeout is drawn from [T, 2T).
	ElectionTimeout clock.Millis
	// SnapshotEvery is the number of applied entries after which a snapshot is captured.
	// Fewer entries suffice if together they have at least 8 MiB and are as large as
	// the last snapshot. A snapshot is not captured before the previous one is written. The
	// log keeps this many entries before the snapshot, so that a restarted replica
	// can catch up from the log, and up to 8 times as many while a responsive
	// replica is further behind, but no more than 4 times the size above.
	SnapshotEvery int
	// Send sends a message to m.To. It must not block and may lose the message.
	Send func(m Message)
	// Apply is called in log order, once for each committed EntryCommand, from the
	// goroutine that also calls Snapshot and Restore.
	Apply func(e Entry) any
	// Snapshot captures the state of the state machine and returns a function that
	// encodes it to at most 1 GiB. Apply is not called until Snapshot returns. The
	// returned function is called at most once, in another goroutine; its result
	// must not include entries applied after the capture. A planned stop waits for
	// it to return.
	Snapshot func() (func() ([]byte, error), error)
	// Restore replaces the state of the state machine with an encoded snapshot.
	Restore func([]byte) error
	// OnRoleChange is called after each change of role or term. It must not block.
	OnRoleChange func(Role, Term)
}

func (o Options) validate() error {
	problems := map[string]bool{
		"Folder is empty":                       o.Folder == "",
		"Group is empty":                        o.Group == "",
		"Name is empty":                         o.Name == "",
		"Clock is not set":                      o.Clock.Now == nil || o.Clock.Sleep == nil,
		"Random is nil":                         o.Random == nil,
		"HeartbeatEvery is not positive":        o.HeartbeatEvery <= 0,
		"ElectionTimeout is below 2 heartbeats": o.ElectionTimeout < 2*o.HeartbeatEvery,
		"SnapshotEvery is not positive":         o.SnapshotEvery <= 0,
		"a function field is nil":               o.Send == nil || o.Apply == nil || o.Snapshot == nil || o.Restore == nil,
	}
	for text, invalid := range problems {
		if invalid {
			return merry.Wrap(ErrInvalidOptions, merry.AppendMessage(text))
		}
	}
	return nil
}
