package replog

// maxSnapshotBytes bounds the memory that an incoming snapshot may take.
const maxSnapshotBytes = 1 << 30

// incomingSnapshot is a snapshot that arrives in chunks. Chunks of another leader or
// term are not combined, because replicas may encode equal state differently.
type incomingSnapshot struct {
	from  Identity
	term  Term
	index Index
	total uint64
	// chunks are the data in the pieces that arrived: joining them would copy
	// all of it again and again in the loop.
	chunks   [][]byte
	received uint64
}

// acceptLeader notes a message from the leader of the current term. It returns
// false if this replica is itself the leader.
func (c *core) acceptLeader(m Message) bool {
	if c.leading != nil {
		c.setFault("%s leads term %d as well", m.From.Identity, m.Term)
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
	if to := min(m.Commit, reply.Match); to > c.commit {
		c.commit = to
	}
	c.send(reply)
}

// skipCommitted leaves out the part of the message up to the commit index, which
// is equal in all logs and may be compacted away in this one.
func (c *core) skipCommitted(m Message) (Index, Term, []Entry) {
	if m.Index >= c.commit {
		return m.Index, m.LogTerm, m.Entries
	}
	known := min(c.commit-m.Index, Index(len(m.Entries)))
	t, _ := c.log.term(c.commit)
	return c.commit, t, m.Entries[known:]
}

// conflictHint returns an index at or below which the logs may agree. It skips a
// whole term at a time, so a long divergent tail costs few round trips.
func (c *core) conflictHint(prev Index) Index {
	if prev > c.log.last() {
		return c.log.last()
	}
	return max(c.log.firstOfTerm(prev)-1, c.commit)
}

// mergeEntries appends the entries, and replaces a suffix that conflicts with them.
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
		// All data are here, but not durable yet. The leader asks again with its
		// next heartbeat.
		reply.Offset = m.Total
	case c.addChunk(m):
		c.saveIncoming(m)
		reply.Offset = m.Total
	default:
		reply.Offset = c.incoming.received
	}
	c.send(reply)
}

// coversSnapshot says whether this log already holds all that the snapshot stands
// for. Entries after the snapshot may have been acknowledged, so a matching log
// is kept and only its commit index moves.
func (c *core) coversSnapshot(m Message) bool {
	if m.Index <= c.commit {
		return true
	}
	t, ok := c.log.term(m.Index)
	if !ok || t != m.LogTerm {
		return false
	}
	c.commit = m.Index
	c.incoming = incomingSnapshot{}
	return true
}

// addChunk adds a chunk and reports whether the snapshot is complete.
func (c *core) addChunk(m Message) bool {
	n := &c.incoming
	if n.from != m.From.Identity || n.term != m.Term || n.index != m.Index || n.total != m.Total {
		*n = incomingSnapshot{from: m.From.Identity, term: m.Term, index: m.Index, total: m.Total}
	}
	if m.Offset == n.received && len(m.Chunk) > 0 {
		n.chunks = append(n.chunks, m.Chunk)
		n.received += uint64(len(m.Chunk))
	}
	return n.received == n.total
}

// saveIncoming gives out a complete snapshot to be made durable beside the loop.
func (c *core) saveIncoming(m Message) {
	c.pendingSnapshot = &Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Membership, InitialMembers: m.InitialMembers}
	c.out.Save = &saveJob{snapshot: c.pendingSnapshot, chunks: c.incoming.chunks}
	c.incoming = incomingSnapshot{}
}

// incomingSaved takes back a snapshot from save that is durable now, and installs it
// unless it is no longer needed. All that it stands for is committed, so terms
// and leaders that came since do not matter.
func (c *core) incomingSaved(s *Snapshot) bool {
	if c.pendingSnapshot != s {
		return false
	}
	c.pendingSnapshot = nil
	if s.Index <= c.commit {
		return false
	}
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		c.commit = s.Index
		return false
	}
	if c.leading != nil {
		c.setFault("snapshot %d of term %d contradicts the log of the leader", s.Index, s.Term)
		return false
	}
	c.installSnapshot(s)
	return true
}

func (c *core) installSnapshot(s *Snapshot) {
	c.log.reset(s.Index, s.Term)
	c.stable, c.commit, c.delivered = s.Index, s.Index, s.Index
	c.snapshot, c.initial = s.withoutData(), s.InitialMembers
	c.memberships = []indexedMembership{{s.Index, s.Membership}}
	c.out.Install = s
}
