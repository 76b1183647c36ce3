package replog

import "github.com/ansel1/merry/v2"

// MessageKind says what a message asks or reports.
type MessageKind uint8

const (
	// KindPreVote asks whether the sender could win an election.
	KindPreVote MessageKind = iota + 1
	// KindPreVoteReply answers KindPreVote.
	KindPreVoteReply
	// KindVote asks for a vote.
	KindVote
	// KindVoteReply answers KindVote.
	KindVoteReply
	// KindAppend carries entries, the commit index and the heartbeat.
	KindAppend
	// KindAppendReply answers KindAppend.
	KindAppendReply
	// KindSnapshot carries one chunk of a snapshot.
	KindSnapshot
	// KindSnapshotReply answers KindSnapshot.
	KindSnapshotReply
	// KindTimeoutNow asks the receiver to start an election at once.
	KindTimeoutNow
)

// messageVersion is the first byte of an encoded message.
const messageVersion = 1

// Message is what replicas send each other. Which fields are set depends on the
// kind; Term is always the sender's current term.
type Message struct {
	Kind  MessageKind
	Group GroupID
	From  Member
	To    Member
	Term  Term
	// Index and LogTerm are those of the sender's last entry (votes), of the
	// entry before Entries (append; a reply repeats Index), or of the snapshot.
	Index   Index
	LogTerm Term
	Commit  Index
	// Match is the last index up to which the sender's log equals the leader's.
	Match Index
	// Hint is the index after which a refused append may succeed.
	Hint Index
	// Round is the confirmation round, or the proposed term of a pre-vote.
	// Replies repeat it.
	Round    uint64
	Reject   bool
	Transfer bool
	Entries  []Entry
	// Offset and Total describe Chunk's place in the snapshot's data; in a reply,
	// Offset is the next byte expected.
	Offset         uint64
	Total          uint64
	Chunk          []byte
	Membership     Membership
	InitialMembers []Member

	// chunkSize asks the engine to fill Chunk with as many bytes of the stored data.
	chunkSize int
	fileInfo  snapshotFileInfo
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

// DecodeMessage reads the binary form of a message, or returns ErrInvalidMessage. The
// message refers to b, which must not be changed afterwards.
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
	// Entries are appended one by one, so the count alone allocates nothing.
	for n := d.u32(); n > 0 && !d.invalid; n-- {
		m.Entries = append(m.Entries, d.entry())
	}
	if !d.finished() || version != messageVersion || flags >= flagsEnd {
		return Message{}, merry.Wrap(ErrInvalidMessage, merry.AppendMessage("encoding"))
	}
	return m, m.validate()
}

// validate checks what the protocol relies on between fields.
func (m Message) validate() error {
	fail := func(text string) error { return merry.Wrap(ErrInvalidMessage, merry.AppendMessage(text)) }
	if m.Kind < KindPreVote || m.Kind > KindTimeoutNow {
		return fail("kind")
	}
	if m.From.Identity == "" || m.To.Identity == "" {
		return fail("identity is empty")
	}
	if m.Kind != KindAppend && len(m.Entries) > 0 {
		return fail("entries in another kind than append")
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
