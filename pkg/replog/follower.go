package replog

// maxSnapshotBytes is the maximum size of a snapshot's data. It limits the memory
// that an incoming snapshot can use.
const maxSnapshotBytes = 1 << 30

// incomingSnapshot is a snapshot that is being received in chunks. Chunks from
// different leaders or terms are not combined, because replicas may encode equal
// state differently.
type incomingSnapshot struct {
	from  Identity
	term  Term
	index Index
	total uint64
	// chunks are the received parts of the data. Joining them on each message
	// would copy all of the data again and block the loop.
	chunks   [][]byte
	received uint64
}

// acceptLeader records a message from the leader of the current term and resets
// the election timer. It returns false if this replica is itself the leader, which
// the protocol rules out.
func (c *core) acceptLeader(m Message) bool {
	if c.leading != nil {
		c.setFault("replica %s is also leader of term %d", m.From.Identity, m.Term)
		return false
	}
	if c.role != Follower {
		c.becomeFollower(m.Term)
	}
	c.leader = m.From
	c.lastLeaderContact = c.now
	c.resetElectionTimer()
	return true
}

func (c *core) stepAppend(m Message) {
	if !c.acceptLeader(m) {
		return
	}
	reply := Message{Kind: KindAppendReply, To: m.From, Index: m.Index, Round: m.Round}
	prev, prevTerm, entries := c.skipCommitted(m)
	if t, ok := c.log.term(prev); !ok || t != prevTerm {
		reply.Reject, reply.Hint = true, c.conflictHint(prev)
		c.send(reply)
		return
	}
	c.mergeEntries(entries)
	reply.Match = prev + Index(len(entries))
	if newCommit := min(m.Commit, reply.Match); newCommit > c.commitIndex {
		c.commitIndex = newCommit
	}
	c.send(reply)
}

// skipCommitted returns the previous index, previous term and entries of an append
// without the entries up to the commit index. Those are equal in all logs, and
// this log may have discarded them in a compaction.
func (c *core) skipCommitted(m Message) (Index, Term, []Entry) {
	if m.Index >= c.commitIndex {
		return m.Index, m.LogTerm, m.Entries
	}
	known := min(c.commitIndex-m.Index, Index(len(m.Entries)))
	t, _ := c.log.term(c.commitIndex)
	return c.commitIndex, t, m.Entries[known:]
}

// conflictHint returns the index at which the leader should check next whether the
// logs match. It skips all entries of the conflicting term, so that a long
// conflicting suffix takes few round trips.
func (c *core) conflictHint(prev Index) Index {
	if prev > c.log.last() {
		return c.log.last()
	}
	return max(c.log.firstOfTerm(prev)-1, c.commitIndex)
}

// mergeEntries appends the entries that the log does not contain. It first removes
// a suffix that conflicts with them.
func (c *core) mergeEntries(entries []Entry) {
	for i, n := range entries {
		t, ok := c.log.term(n.Index)
		if ok && t == n.Term {
			continue
		}
		if ok {
			c.truncate(n.Index - 1)
		}
		if c.fault == nil {
			c.appendEntries(entries[i:]...)
		}
		return
	}
}

func (c *core) stepSnapshot(m Message) {
	if !c.acceptLeader(m) {
		return
	}
	reply := Message{Kind: KindSnapshotReply, To: m.From, Index: m.Index, Round: m.Round}
	switch {
	case c.coversSnapshot(m):
		reply.Match = m.Index
	case c.pendingSnapshot != nil && c.pendingSnapshot.Index >= m.Index:
		// The snapshot is complete but not durable yet. The reply to one of the
		// leader's next heartbeats reports the match.
		reply.Offset = m.Total
	case c.addChunk(m):
		c.saveIncoming(m)
		reply.Offset = m.Total
	default:
		reply.Offset = c.incoming.received
	}
	c.send(reply)
}

// coversSnapshot reports whether the log already contains the snapshot's last
// entry. If so, it advances the commit index to that entry and keeps the log,
// because entries after the snapshot may have been acknowledged.
func (c *core) coversSnapshot(m Message) bool {
	if m.Index <= c.commitIndex {
		return true
	}
	t, ok := c.log.term(m.Index)
	if !ok || t != m.LogTerm {
		return false
	}
	c.commitIndex = m.Index
	c.incoming = incomingSnapshot{}
	return true
}

// addChunk adds a chunk to the incoming snapshot and reports whether the snapshot
// is complete.
func (c *core) addChunk(m Message) bool {
	incoming := &c.incoming
	if incoming.from != m.From.Identity || incoming.term != m.Term || incoming.index != m.Index || incoming.total != m.Total {
		*incoming = incomingSnapshot{from: m.From.Identity, term: m.Term, index: m.Index, total: m.Total}
	}
	if m.Offset == incoming.received && len(m.Chunk) > 0 {
		incoming.chunks = append(incoming.chunks, m.Chunk)
		incoming.received += uint64(len(m.Chunk))
	}
	return incoming.received == incoming.total
}

// saveIncoming requests that the complete incoming snapshot be made durable outside
// the loop.
func (c *core) saveIncoming(m Message) {
	c.pendingSnapshot = &Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Membership, InitialMembers: m.InitialMembers}
	c.out.Save = &saveJob{snapshot: c.pendingSnapshot, chunks: c.incoming.chunks}
	c.incoming = incomingSnapshot{}
}

// incomingSaved is called when a snapshot from saveIncoming is durable. It installs
// the snapshot, or returns false if the snapshot is no longer needed. The
// snapshot contains only committed entries, so it is valid even if the term or the
// leader has changed.
func (c *core) incomingSaved(s *Snapshot) bool {
	if c.pendingSnapshot != s {
		return false
	}
	c.pendingSnapshot = nil
	if s.Index <= c.commitIndex {
		return false
	}
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		c.commitIndex = s.Index
		return false
	}
	if c.leading != nil {
		c.setFault("snapshot %d of term %d conflicts with the log of this leader", s.Index, s.Term)
		return false
	}
	c.installSnapshot(s)
	return true
}

// installSnapshot replaces the log and the state machine by the snapshot.
func (c *core) installSnapshot(s *Snapshot) {
	c.log.reset(s.Index, s.Term)
	c.stableIndex, c.commitIndex, c.deliveredIndex = s.Index, s.Index, s.Index
	c.snapshot, c.initialMembers = s.withoutData(), s.InitialMembers
	c.memberships = []indexedMembership{{s.Index, s.Membership}}
	c.out.Install = s
}
