package replog

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Limits on what a leader sends to one replica.
const (
	// maxAppendBytes limits the entries in one message. Larger messages would delay
	// the heartbeats behind them.
	maxAppendBytes   = 256 << 10
	maxAppendEntries = 1024
	// maxInflightEntries limits the entries sent beyond the last one that the
	// replica has acknowledged.
	maxInflightEntries Index = 8192
	// longAppendBytes is the size of the entries in a message from which heartbeats may
	// overtake it.
	longAppendBytes = 64 << 10
	// snapshotChunkBytes is the size of a snapshot chunk. The next chunk is sent
	// after the reply to the previous one.
	snapshotChunkBytes = 256 << 10
)

// leaderState is the state of a leader during one term.
type leaderState struct {
	startTime clock.Millis
	// firstIndex is the index of the no-op entry that starts the term. Once it is
	// committed, so are all entries of earlier terms.
	firstIndex    Index
	peers         map[Identity]*peer
	nextHeartbeat clock.Millis
	// catchUpIndex is the commit index of one heartbeat ago. A replica that has
	// stored this entry is caught up, even while the log grows quickly.
	// nextCatchUpIndex is the commit index at the last heartbeat.
	catchUpIndex, nextCatchUpIndex Index

	reads    readRequests
	transfer leadershipTransfer
}

// peer is the leader's view of another replica.
type peer struct {
	// addedAt is when the replica became a member, or when the leader's term began.
	addedAt clock.Millis
	// match is the last index known to match the leader's log, next the index of
	// the next entry to send.
	match, next Index
	// probing is true until a reply shows at which index the logs match. Meanwhile
	// no entries are sent.
	probing bool
	// awaitingReply is true after a probe or chunk until its reply arrives. A
	// heartbeat repeats the probe, or asks for the state of the snapshot.
	awaitingReply bool
	heartbeatDue  bool
	// longUntil is the last index of the last long append.
	longUntil Index
	// replied is true if the peer has replied in this term, at lastReply.
	replied   bool
	lastReply clock.Millis
	// round is the highest read round that the peer has replied to.
	round uint64
	// snapshotToSend is the snapshot being sent, or nil. chunkOffset is the offset
	// of its next chunk.
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

// syncPeers adds and removes peers so that they match the current membership.
func (c *core) syncPeers() {
	l := c.leading
	for id := range l.peers {
		if !slices.ContainsFunc(c.membership().all(), func(m Member) bool { return m.Identity == id }) {
			delete(l.peers, id)
		}
	}
	for _, m := range c.membership().all() {
		if m.Identity != c.self.Identity && l.peers[m.Identity] == nil {
			l.peers[m.Identity] = &peer{addedAt: c.now, next: c.log.last() + 1, probing: true, heartbeatDue: true}
		}
	}
}

// clearLeaderState discards the leader state, if there is one, and fails the
// pending read index requests.
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

// scheduleHeartbeats makes replicate send a heartbeat to every peer.
func (c *core) scheduleHeartbeats() {
	l := c.leading
	l.nextHeartbeat = c.now + c.heartbeatEvery
	l.catchUpIndex, l.nextCatchUpIndex = max(l.catchUpIndex, l.nextCatchUpIndex), c.commitIndex
	for _, p := range l.peers {
		p.heartbeatDue = true
	}
}

// hasActiveQuorum reports whether a majority of the voters has replied within the
// election timeout. For a new leader the timeout starts with its term.
func (c *core) hasActiveQuorum() bool {
	n := 0
	for _, v := range c.membership().Voters {
		if v.Identity == c.self.Identity || c.now-max(c.leading.peers[v.Identity].lastReply, c.leading.startTime) < c.electionTimeout {
			n++
		}
	}
	return n >= c.membership().quorum()
}

// isActive reports whether the peer has replied within the election timeout.
func (c *core) isActive(p *peer) bool { return p.replied && c.now-p.lastReply < c.electionTimeout }

// propose appends a command and returns its index and term.
func (c *core) propose(data []byte) (Index, Term, error) {
	if c.leading == nil || c.leading.transfer.target != "" {
		return 0, 0, merry.Wrap(ErrNotLeader)
	}
	n := Entry{Index: c.log.last() + 1, Term: c.state.Term, Kind: EntryCommand, Data: data}
	c.appendEntries(n)
	return n.Index, n.Term, nil
}

// proposeMembership appends a membership, which takes effect immediately. The
// caller must have checked that the previous one is committed.
func (c *core) proposeMembership(m Membership) {
	c.appendEntries(Entry{Index: c.log.last() + 1, Term: c.state.Term, Kind: EntryMembership, Data: encodeMembership(m)})
	c.syncPeers()
}

// replicate sends each peer the entries or snapshot chunks that it needs next, in
// the order of the membership.
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
			c.sendOvertakingHeartbeat(m, p)
			c.sendAppend(m, p)
		}
		p.heartbeatDue = false
	}
}

// sendAppend sends the next entries, a probe without entries, or a heartbeat. It does
// nothing if none of these is due.
func (c *core) sendAppend(to Member, p *peer) {
	var entries []Entry
	if !p.probing && p.next-p.match <= maxInflightEntries {
		entries = c.log.entriesAfter(p.next-1, maxAppendEntries, c.appendBytes)
	}
	probe := p.probing && !p.awaitingReply
	if len(entries) == 0 && !probe && !p.heartbeatDue {
		return
	}
	t, _ := c.log.term(p.next - 1)
	m := Message{Kind: KindAppend, To: to, Index: p.next - 1, LogTerm: t, Entries: entries, Commit: c.commitIndex, Round: c.leading.reads.round}
	c.out.EarlyMessages = append(c.out.EarlyMessages, c.addSender(m))
	p.next += Index(len(entries))
	p.awaitingReply = p.probing
	size := 0
	for _, n := range entries {
		size += len(n.Data)
	}
	if size >= c.longAppendBytes {
		p.longUntil = p.next - 1
	}
}

// sendOvertakingHeartbeat sends a due heartbeat that may overtake a long append in
// transfer, which can take longer than the election timeout. It refers to the last entry
// known to match, because the receiver would reject one that refers to entries that have
// not arrived. The heartbeat of sendAppend is sent as well, since its rejection shows that
// entries were lost.
func (c *core) sendOvertakingHeartbeat(to Member, p *peer) {
	if !p.heartbeatDue || p.probing || p.match >= p.longUntil {
		return
	}
	t, ok := c.log.term(p.match)
	if !ok {
		return
	}
	m := Message{Kind: KindAppend, To: to, Index: p.match, LogTerm: t, Commit: c.commitIndex, Round: c.leading.reads.round, overtakes: true}
	c.out.EarlyMessages = append(c.out.EarlyMessages, c.addSender(m))
}

// sendChunk sends the next chunk of a snapshot. While the reply to the previous
// chunk is missing, it sends an empty chunk as a heartbeat; the reply to that
// contains the offset to continue from.
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

// snapshotsInTransfer returns the indexes of the snapshots being sent to other
// replicas.
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

// recordReply records the time and read round of a reply and returns the peer that
// sent it. It returns nil if the sender is no member, or if the reply contains an
// index or round that this leader never sent.
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

// decrementNext moves next back after a rejected append and starts probing. It
// ignores rejections of older messages.
func (p *peer) decrementNext(m Message) {
	stale := m.Index <= p.match || m.Index >= p.next || (p.probing && m.Index != p.next-1)
	if stale {
		return
	}
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	p.probing, p.awaitingReply = true, false
}

// advanceMatch records that the peer's log matches up to the index. Probing ends once
// that includes the entry before next.
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
	// The reply to a heartbeat repeats the offset of a chunk that may still be in
	// flight. Resending the chunk immediately would multiply the chunks in flight.
	if m.Offset <= p.chunkOffset && c.now-p.chunkSentAt < 2*c.heartbeatEvery {
		return
	}
	if m.Offset <= p.snapshotToSend.fileInfo.dataSize {
		p.chunkOffset, p.awaitingReply = m.Offset, false
	}
}

// advanceCommit advances the commit index to the last entry stored by a majority,
// if that entry is of the current term. An entry of an earlier term is not safe
// when a majority has stored it: a later leader may still replace it.
func (c *core) advanceCommit() {
	m := c.membership()
	matches := make([]Index, 0, len(m.Voters))
	for _, v := range m.Voters {
		matches = append(matches, c.matchIndex(v.Identity))
	}
	slices.Sort(matches)
	n := matches[len(matches)-m.quorum()]
	if t, ok := c.log.term(n); ok && t == c.state.Term && n > c.commitIndex {
		c.commitIndex = n
	}
}

func (c *core) matchIndex(id Identity) Index {
	if id == c.self.Identity {
		return c.stableIndex
	}
	return c.leading.peers[id].match
}

// hasCommittedInTerm reports whether this replica is the leader and an entry of its
// term is committed.
func (c *core) hasCommittedInTerm() bool {
	return c.leading != nil && c.commitIndex >= c.leading.firstIndex
}
