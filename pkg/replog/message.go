package replog

import "github.com/ansel1/merry/v2"

// MessageKind is the type of a message.
type MessageKind uint8

const (
	// KindPreVote asks whether the receiver would vote for the sender.
	KindPreVote MessageKind = iota + 1
	// KindPreVoteReply is the response to KindPreVote.
	KindPreVoteReply
	// KindVote requests a vote.
	KindVote
	// KindVoteReply is the response to KindVote.
	KindVoteReply
	// KindAppend replicates entries and the commit index, and is also the heartbeat.
	KindAppend
	// KindAppendReply is the response to KindAppend.
	KindAppendReply
	// KindSnapshot contains one chunk of a snapshot.
	KindSnapshot
	// KindSnapshotReply is the response to KindSnapshot.
	KindSnapshotReply
	// KindTimeoutNow tells the receiver of a leadership transfer to start an
	// election immediately.
	KindTimeoutNow
)

// messageVersion is the first byte of an encoded message.
const messageVersion = 1

// Message is a message between replicas. Which fields are set depends on the
// kind; Term is always the sender's current term.
type Message struct {
	Kind  MessageKind
	Group GroupID
	From  Member
	To    Member
	Term  Term
	// Index and LogTerm identify the sender's last entry in a vote request, the
	// entry before Entries in KindAppend, or the last entry of the snapshot in
	// KindSnapshot. Append and snapshot replies repeat the Index.
	Index   Index
	LogTerm Term
	Commit  Index
	// Match is the last index up to which the sender's log matches the leader's.
	Match Index
	// Hint is set in the rejection of an append. The leader retries with the entry
	// at this index as the previous entry.
	Hint Index
	// Round is the read round of a leader's message, or the proposed term of a
	// pre-vote. Replies repeat it.
	Round    uint64
	Reject   bool
	Transfer bool
	Entries  []Entry
	// Offset is the position of Chunk in the snapshot's data, and Total the size of
	// the data. In a reply, Offset is the next expected offset.
	Offset         uint64
	Total          uint64
	Chunk          []byte
	Membership     Membership
	InitialMembers []Member

	// If chunkSize is positive, the engine reads Chunk from the file that fileInfo
	// describes before it sends the message.
	chunkSize int
	fileInfo  snapshotFileInfo
	// overtakes is true for a heartbeat that does not refer to entries in transfer.
	overtakes bool
}

// MayOvertake reports whether the message may be delivered before messages that were sent
// earlier to the same replica, and should be if these are long. Any order is safe, but an
// append that overtakes entries it refers to makes the leader send them again.
func (m Message) MayOvertake() bool {
	switch m.Kind {
	case KindAppend:
		return m.overtakes
	case KindSnapshot:
		return false
	}
	return true
}

const (
	flagReject = 1 << iota
	flagTransfer
	flagsEnd
)

// Encode returns the binary form of the message.
func (m Message) Encode() []byte {
	e := encoder{}
	e.u8(messageVersion)
	e.u8(uint8(m.Kind))
	e.u8(m.flags())
	e.text(string(m.Group))
	e.member(m.From)
	e.member(m.To)
	for _, v := range [...]uint64{uint64(m.Term), uint64(m.Index), uint64(m.LogTerm), uint64(m.Commit), uint64(m.Match), uint64(m.Hint), m.Round, m.Offset, m.Total} {
		e.u64(v)
	}
	e.bytes(m.Chunk)
	e.membership(m.Membership)
	e.members(m.InitialMembers)
	e.u32(uint32(len(m.Entries)))
	for _, n := range m.Entries {
		e.entry(n)
	}
	return e.b
}

func (m Message) flags() uint8 {
	var f uint8
	if m.Reject {
		f |= flagReject
	}
	if m.Transfer {
		f |= flagTransfer
	}
	return f
}

// DecodeMessage decodes a message from its binary form. The error is
// ErrInvalidMessage. The message refers to b, which must not be modified
// afterwards.
func DecodeMessage(b []byte) (Message, error) {
	d := decoder{b: b}
	version := d.u8()
	m := Message{Kind: MessageKind(d.u8())}
	flags := d.u8()
	m.Reject, m.Transfer = flags&flagReject != 0, flags&flagTransfer != 0
	m.Group = GroupID(d.text())
	m.From, m.To = d.member(), d.member()
	m.Term, m.Index, m.LogTerm = Term(d.u64()), Index(d.u64()), Term(d.u64())
	m.Commit, m.Match, m.Hint = Index(d.u64()), Index(d.u64()), Index(d.u64())
	m.Round, m.Offset, m.Total = d.u64(), d.u64(), d.u64()
	m.Chunk = d.bytes()
	m.Membership = d.membership()
	m.InitialMembers = d.members()
	// Entries are appended one by one, so that a corrupt count cannot cause a large
	// allocation.
	for n := d.u32(); n > 0 && !d.invalid; n-- {
		m.Entries = append(m.Entries, d.entry())
	}
	if !d.finished() || version != messageVersion || flags >= flagsEnd {
		return Message{}, merry.Wrap(ErrInvalidMessage, merry.AppendMessage("malformed message encoding"))
	}
	return m, m.validate()
}

// validate checks the relations between fields that the protocol relies on.
func (m Message) validate() error {
	fail := func(text string) error { return merry.Wrap(ErrInvalidMessage, merry.AppendMessage(text)) }
	if m.Kind < KindPreVote || m.Kind > KindTimeoutNow {
		return fail("unknown kind")
	}
	if m.From.Identity == "" || m.To.Identity == "" {
		return fail("identity is empty")
	}
	if m.Kind != KindAppend && len(m.Entries) > 0 {
		return fail("only an append may have entries")
	}
	last := m.LogTerm
	for i, n := range m.Entries {
		if n.Index != m.Index+Index(i)+1 {
			return fail("entries are not contiguous")
		}
		if n.Term < last || n.Term > m.Term {
			return fail("entry terms are out of order")
		}
		last = n.Term
	}
	if m.Kind == KindSnapshot {
		return m.validateSnapshot()
	}
	return nil
}

func (m Message) validateSnapshot() error {
	if m.Index == 0 || m.Total > maxSnapshotBytes || m.Offset > m.Total || uint64(len(m.Chunk)) > m.Total-m.Offset {
		return merry.Wrap(ErrInvalidMessage, merry.AppendMessage("snapshot chunk is out of range"))
	}
	if err := m.Membership.validate(); err != nil {
		return merry.Wrap(ErrInvalidMessage, merry.WithCause(err), merry.AppendMessage("snapshot membership"))
	}
	return nil
}
