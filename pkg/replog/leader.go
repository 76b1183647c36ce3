package replog

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Limits on what a leader sends to one replica before it gets a reply.
const (
	// maxAppendBytes keeps a message small enough that it does not delay the
	// heartbeats behind it.
	maxAppendBytes   = 256 << 10
	maxAppendEntries = 1024
	// maxInflightEntries is the number of entries sent without a reply.
	maxInflightEntries Index = 8192
	// snapshotChunkBytes is sent at a time; the reply asks for the next chunk.
	snapshotChunkBytes = 256 << 10
)

// leaderState is the state of a leader, which ends with its term.
type leaderState struct {
	startTime clock.Millis
	// firstIndex is the no-op entry that starts the term. Once it is committed,
	// so are all entries of earlier terms.
	firstIndex    Index
	peers         map[Identity]*peer
	nextHeartbeat clock.Millis
	// catchUpIndex is the commit index of one heartbeat ago: a replica that holds it is
	// caught up, however busy the log is.
	catchUpIndex, nextCatchUpIndex Index

	reads    readRequests
	transfer leadershipTransfer
}

// peer is what a leader knows about another replica.
type peer struct {
	match, next Index
	// probing sends no entries until a reply shows where the logs agree.
	probing bool
	// awaitingReply is set while a probe or chunk is unanswered; a heartbeat repeats it.
	awaitingReply  bool
	heartbeatDue   bool
	replied        bool
	lastReply      clock.Millis
	round          uint64
	snapshotToSend *Snapshot
	chunkOffset    uint64
	chunkSentAt    clock.Millis
}

func (c *core) becomeLeader() {
	c.votes = nil
	c.leader = c.self
	last := c.log.last()
	c.leading = &leaderState{startTime: c.now, firstIndex: last + 1, peers: map[Identity]*peer{}, catchUpIndex: last + 1, nextCatchUpIndex: last + 1}
	c.setRole(Leader)
	c.syncPeers()
	c.appendEntries(Entry{Index: last + 1, Term: c.state.Term, Kind: EntryNoop})
	c.scheduleHeartbeats()
}

// syncPeers makes the peers match the membership in force.
func (c *core) syncPeers() {
	l := c.leading
	for id := range l.peers {
		if !slices.ContainsFunc(c.membership().all(), func(m Member) bool { return m.Identity == id }) {
			delete(l.peers, id)
		}
	}
	for _, m := range c.membership().all() {
		if m.Identity != c.self.Identity && l.peers[m.Identity] == nil {
			l.peers[m.Identity] = &peer{next: c.log.last() + 1, probing: true, heartbeatDue: true}
		}
	}
}

// clearLeaderState ends a leader's term. Requests that wait for it fail.
func (c *core) clearLeaderState() {
	if c.leading == nil {
		return
	}
	c.failReads()
	c.leading = nil
}

func (c *core) tickLeader() {
	if !c.hasActiveQuorum() {
		c.becomeFollower(c.state.Term)
		return
	}
	c.expireTransfer()
	if c.now >= c.leading.nextHeartbeat {
		c.scheduleHeartbeats()
	}
}

func (c *core) scheduleHeartbeats() {
	l := c.leading
	l.nextHeartbeat = c.now + c.heartbeatEvery
	l.catchUpIndex, l.nextCatchUpIndex = max(l.catchUpIndex, l.nextCatchUpIndex), c.commit
	for _, p := range l.peers {
		p.heartbeatDue = true
	}
}

// hasActiveQuorum says whether a majority has been heard within the election
// timeout. A new leader has that long to hear from the others.
func (c *core) hasActiveQuorum() bool {
	n := 0
	for _, v := range c.membership().Voters {
		if v.Identity == c.self.Identity || c.now-max(c.leading.peers[v.Identity].lastReply, c.leading.startTime) < c.electionTimeout {
			n++
		}
	}
	return n >= c.membership().quorum()
}

// isActive says whether the peer has answered within the election timeout.
func (c *core) isActive(p *peer) bool { return p.replied && c.now-p.lastReply < c.electionTimeout }

// propose appends a command and returns its place in the log.
func (c *core) propose(data []byte) (Index, Term, error) {
	if c.leading == nil || c.leading.transfer.target != "" {
		return 0, 0, merry.Wrap(ErrNotLeader)
	}
	n := Entry{Index: c.log.last() + 1, Term: c.state.Term, Kind: EntryCommand, Data: data}
	c.appendEntries(n)
	return n.Index, n.Term, nil
}

// proposeMembership appends a membership, which is in force from then on. The
// caller has checked that the last one is committed.
func (c *core) proposeMembership(m Membership) {
	c.appendEntries(Entry{Index: c.log.last() + 1, Term: c.state.Term, Kind: EntryMembership, Data: encodeMembership(m)})
	c.syncPeers()
}

// replicate sends each peer what it lacks, in the order of the membership.
func (c *core) replicate() {
	for _, m := range c.membership().all() {
		p := c.leading.peers[m.Identity]
		if p == nil {
			continue
		}
		if p.snapshotToSend == nil && p.next <= c.log.base {
			p.snapshotToSend, p.chunkOffset, p.awaitingReply = c.snapshot, 0, false
		}
		if p.snapshotToSend != nil {
			c.sendChunk(m, p)
		} else {
			c.sendAppend(m, p)
		}
		p.heartbeatDue = false
	}
}

func (c *core) sendAppend(to Member, p *peer) {
	var es []Entry
	if !p.probing && p.next-p.match <= maxInflightEntries {
		es = c.log.entriesAfter(p.next-1, maxAppendEntries, c.appendBytes)
	}
	probe := p.probing && !p.awaitingReply
	if len(es) == 0 && !probe && !p.heartbeatDue {
		return
	}
	t, _ := c.log.term(p.next - 1)
	m := Message{Kind: KindAppend, To: to, Index: p.next - 1, LogTerm: t, Entries: es, Commit: c.commit, Round: c.leading.reads.round}
	c.out.EarlyMessages = append(c.out.EarlyMessages, c.addSender(m))
	p.next += Index(len(es))
	p.awaitingReply = p.probing
}

// sendChunk sends the next chunk, or an empty one as a heartbeat while the last
// one is unanswered; its reply says what to send next.
func (c *core) sendChunk(to Member, p *peer) {
	if p.awaitingReply && !p.heartbeatDue {
		return
	}
	s := p.snapshotToSend
	m := Message{
		Kind: KindSnapshot, To: to, Index: s.Index, LogTerm: s.Term, Membership: s.Membership, InitialMembers: s.InitialMembers,
		Offset: p.chunkOffset, Total: s.fileInfo.dataSize, Round: c.leading.reads.round,
	}
	if !p.awaitingReply {
		m.chunkSize, m.fileInfo = int(min(c.chunkBytes, m.Total-p.chunkOffset)), s.fileInfo
		p.chunkSentAt = c.now
	}
	c.out.EarlyMessages = append(c.out.EarlyMessages, c.addSender(m))
	p.awaitingReply = true
}

// snapshotsInTransfer returns those that other replicas are being sent.
func (c *core) snapshotsInTransfer() []Index {
	var out []Index
	if c.leading == nil {
		return nil
	}
	for _, p := range c.leading.peers {
		if p.snapshotToSend != nil {
			out = append(out, p.snapshotToSend.Index)
		}
	}
	return out
}

// recordReply records that a replica follows this leader, and returns it. Answers
// to what was never sent are ignored.
func (c *core) recordReply(m Message) *peer {
	if c.leading == nil {
		return nil
	}
	p := c.leading.peers[m.From.Identity]
	if p == nil || m.Match > c.log.last() || m.Round > c.leading.reads.round {
		return nil
	}
	p.replied, p.lastReply = true, c.now
	p.round = max(p.round, m.Round)
	c.advanceReadRound()
	return p
}

func (c *core) stepAppendReply(m Message) {
	p := c.recordReply(m)
	if p == nil || p.snapshotToSend != nil {
		return
	}
	if m.Reject {
		p.decrementNext(m)
		return
	}
	c.advanceMatch(p, m.Match)
}

// decrementNext moves next back after a refused append. Late refusals are ignored.
func (p *peer) decrementNext(m Message) {
	late := m.Index <= p.match || m.Index >= p.next || (p.probing && m.Index != p.next-1)
	if late {
		return
	}
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	p.probing, p.awaitingReply = true, false
}

func (c *core) advanceMatch(p *peer, match Index) {
	if p.probing && match >= p.next-1 {
		p.probing, p.awaitingReply = false, false
	}
	if match <= p.match {
		return
	}
	p.match = match
	p.next = max(p.next, match+1)
	c.advanceCommit()
}

func (c *core) stepSnapshotReply(m Message) {
	p := c.recordReply(m)
	if p == nil || p.snapshotToSend == nil || m.Index != p.snapshotToSend.Index {
		return
	}
	if m.Match > 0 {
		p.snapshotToSend, p.probing, p.awaitingReply = nil, true, false
		p.next = m.Match + 1
		c.advanceMatch(p, m.Match)
		return
	}
	// The answer to a heartbeat repeats the offset of a chunk that may still be
	// on its way; sending it again at once would multiply the chunks in flight.
	if m.Offset <= p.chunkOffset && c.now-p.chunkSentAt < 2*c.heartbeatEvery {
		return
	}
	if m.Offset <= p.snapshotToSend.fileInfo.dataSize {
		p.chunkOffset, p.awaitingReply = m.Offset, false
	}
}

// advanceCommit commits what a majority holds, once that includes an entry of
// this term: counting copies of older entries alone does not make them safe.
func (c *core) advanceCommit() {
	m := c.membership()
	held := make([]Index, 0, len(m.Voters))
	for _, v := range m.Voters {
		held = append(held, c.matchIndex(v.Identity))
	}
	slices.Sort(held)
	n := held[len(held)-m.quorum()]
	if t, ok := c.log.term(n); ok && t == c.state.Term && n > c.commit {
		c.commit = n
	}
}

func (c *core) matchIndex(id Identity) Index {
	if id == c.self.Identity {
		return c.stable
	}
	return c.leading.peers[id].match
}

// hasCommittedInTerm says whether an entry of this leader's term is committed.
func (c *core) hasCommittedInTerm() bool { return c.leading != nil && c.commit >= c.leading.firstIndex }
