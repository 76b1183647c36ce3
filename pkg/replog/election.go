package replog

// tick moves the core's time. It must be called several times per heartbeat.
func (c *core) tick() {
	if c.leading != nil {
		c.tickLeader()
		return
	}
	if c.isVoter() && c.now >= c.electionDeadline {
		c.startPreVote()
	}
}

// step handles one message. Those for another group or identity are ignored, so
// that a replica with an emptied folder does not answer for its old identity.
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
		// A pre-vote does not change the receiver's term, so its answer may
		// carry a lower one.
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
			c.startElection(true)
		}
	}
}

// ignoresVoteRequest says whether a request for a vote must not even change the term:
// this replica may not vote, or it hears a leader that did not hand over.
func (c *core) ignoresVoteRequest(m Message) bool {
	return !c.canVote() || (!m.Transfer && c.hasActiveLeader())
}

func (c *core) hasActiveLeader() bool {
	if c.leading != nil {
		return true
	}
	return c.leader.Identity != "" && c.now-c.lastLeaderContact < c.electionTimeout
}

// rejectStaleTerm tells a sender of an older term about the current one, so that a
// deposed leader steps down.
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

// startPreVote asks whether an election could succeed, without a new term: a
// replica that returns from a network partition then deposes nobody.
func (c *core) startPreVote() {
	c.leader = Member{}
	c.resetVotes(PreCandidate)
	if c.hasVoteQuorum() {
		c.startElection(false)
		return
	}
	c.requestVotes(Message{Kind: KindPreVote, Round: uint64(c.state.Term + 1)})
}

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

func (c *core) resetVotes(r Role) {
	c.resetElectionTimer()
	c.votes = map[Identity]bool{c.self.Identity: true}
	c.setRole(r)
}

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

// isUpToDate says whether the sender's log holds every entry that this one could
// have helped to commit.
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
	free := c.state.Vote == "" || c.state.Vote == m.From.Identity
	grant := free && c.leader.Identity == "" && c.leading == nil && c.isUpToDate(m)
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
