package replog

// tick handles the timeouts that have expired at c.now. It must be called several
// times per heartbeat interval.
func (c *core) tick() {
	if c.leading != nil {
		c.tickLeader()
		return
	}
	if c.isVoter() && c.now >= c.electionDeadline {
		c.startPreVote()
	}
}

// step handles one message. It ignores messages for another group or identity, so
// that a replica whose data folder was emptied does not reply on behalf of its
// old identity.
func (c *core) step(m Message) {
	if m.Group != c.group || m.To.Identity != c.self.Identity || m.From.Identity == c.self.Identity {
		return
	}
	switch {
	case m.Kind == KindPreVote:
		c.stepPreVote(m)
		return
	case m.Kind == KindVote && c.ignoresVoteRequest(m):
		return
	case m.Kind == KindPreVoteReply && m.Term < c.state.Term:
		// A pre-vote does not change the receiver's term, so the reply may have a
		// lower term.
	case m.Term < c.state.Term:
		c.rejectStaleTerm(m)
		return
	case m.Term > c.state.Term:
		c.becomeFollower(m.Term)
	}
	switch m.Kind {
	case KindPreVoteReply:
		c.stepPreVoteReply(m)
	case KindVote:
		c.stepVote(m)
	case KindVoteReply:
		c.stepVoteReply(m)
	case KindAppend:
		c.stepAppend(m)
	case KindSnapshot:
		c.stepSnapshot(m)
	case KindAppendReply:
		c.stepAppendReply(m)
	case KindSnapshotReply:
		c.stepSnapshotReply(m)
	case KindTimeoutNow:
		if c.leading == nil && c.isVoter() {
			// true marks a leadership transfer: voters consider the vote request even if
			// they have an active leader.
			c.startElection(true)
		}
	}
}

// ignoresVoteRequest reports whether a vote request must be ignored, including its
// term. That is the case if this replica may not vote, or if it has an active
// leader and the request is not part of a leadership transfer.
func (c *core) ignoresVoteRequest(m Message) bool {
	return !c.canVote() || (!m.Transfer && c.hasActiveLeader())
}

// hasActiveLeader reports whether this replica is the leader or has received a
// message from the leader within the election timeout.
func (c *core) hasActiveLeader() bool {
	if c.leading != nil {
		return true
	}
	return c.leader.Identity != "" && c.now-c.lastLeaderContact < c.electionTimeout
}

// rejectStaleTerm rejects a message of an older term. The reply has the current
// term, which makes a deposed leader step down.
func (c *core) rejectStaleTerm(m Message) {
	switch m.Kind {
	case KindAppend:
		c.send(Message{Kind: KindAppendReply, To: m.From, Index: m.Index, Reject: true})
	case KindSnapshot:
		c.send(Message{Kind: KindSnapshotReply, To: m.From, Index: m.Index, Reject: true})
	case KindVote:
		c.send(Message{Kind: KindVoteReply, To: m.From, Reject: true})
	}
}

// becomeFollower makes this replica a follower in term t, which may be the current
// one, without a known leader.
func (c *core) becomeFollower(t Term) {
	if t > c.state.Term {
		c.enterTerm(t)
	}
	c.clearLeaderState()
	c.votes = nil
	c.leader = Member{}
	c.resetElectionTimer()
	c.setRole(Follower)
}

func (c *core) resetElectionTimer() {
	c.electionDeadline = c.now + c.electionTimeout
	c.electionDeadline += randomBelow(c.random, c.electionTimeout)
}

// startPreVote asks the voters whether an election could succeed. It does not start
// a new term, so that a replica that returns from a network partition does not
// depose the leader.
func (c *core) startPreVote() {
	c.leader = Member{}
	c.resetVotes(PreCandidate)
	if c.hasVoteQuorum() {
		c.startElection(false)
		return
	}
	c.requestVotes(Message{Kind: KindPreVote, Round: uint64(c.state.Term + 1)})
}

// startElection starts a new term and requests votes. transfer is true if the
// leader has asked for the election to transfer its leadership.
func (c *core) startElection(transfer bool) {
	c.enterTerm(c.state.Term + 1)
	c.state.Vote = c.self.Identity
	c.leader = Member{}
	c.resetVotes(Candidate)
	if c.hasVoteQuorum() {
		c.becomeLeader()
		return
	}
	c.requestVotes(Message{Kind: KindVote, Transfer: transfer})
}

// resetVotes starts to collect votes in the given role, beginning with this replica's
// own vote.
func (c *core) resetVotes(r Role) {
	c.resetElectionTimer()
	c.votes = map[Identity]bool{c.self.Identity: true}
	c.setRole(r)
}

// requestVotes sends the request to all other voters.
func (c *core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, v := range c.membership().Voters {
		if v.Identity == c.self.Identity {
			continue
		}
		m.To = v
		c.send(m)
	}
}

func (c *core) hasVoteQuorum() bool {
	n := 0
	for _, v := range c.membership().Voters {
		if c.votes[v.Identity] {
			n++
		}
	}
	return n >= c.membership().quorum()
}

// isUpToDate reports whether the candidate's log is at least as up-to-date as this
// one, and thus contains every entry that this replica has helped to commit.
func (c *core) isUpToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *core) stepPreVote(m Message) {
	if !c.canVote() {
		return
	}
	grant := Term(m.Round) > c.state.Term && !c.hasActiveLeader() && c.isUpToDate(m)
	c.send(Message{Kind: KindPreVoteReply, To: m.From, Round: m.Round, Reject: !grant})
}

func (c *core) stepPreVoteReply(m Message) {
	if c.role != PreCandidate || m.Reject || m.Round != uint64(c.state.Term+1) {
		return
	}
	c.votes[m.From.Identity] = true
	if c.hasVoteQuorum() {
		c.startElection(false)
	}
}

func (c *core) stepVote(m Message) {
	canGrant := c.state.Vote == "" || c.state.Vote == m.From.Identity
	grant := canGrant && c.leader.Identity == "" && c.leading == nil && c.isUpToDate(m)
	if grant {
		c.state.Vote = m.From.Identity
		c.stateDirty = true
		c.resetElectionTimer()
	}
	c.send(Message{Kind: KindVoteReply, To: m.From, Reject: !grant})
}

func (c *core) stepVoteReply(m Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From.Identity] = true
	if c.hasVoteQuorum() {
		c.becomeLeader()
	}
}
