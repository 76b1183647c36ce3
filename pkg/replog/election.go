package replog

// tick moves the core's time. It must be called several times per heartbeat.
func (c *core) tick() {
	if c.lead != nil {
		c.tickLeader()
		return
	}
	if c.isVoter() && c.now >= c.electionDeadline {
		c.preCampaign()
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
	case m.Kind == KindVote && c.ignoresVote(m):
		return
	case m.Kind == KindPreVoteReply && m.Term < c.state.Term:
		// A pre-vote does not change the receiver's term, so its answer may
		// carry a lower one.
	case m.Term < c.state.Term:
		c.refuseStale(m)
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
		if c.lead == nil && c.isVoter() {
			c.campaign(true)
		}
	}
}

// ignoresVote says whether a request for a vote must not even change the term:
// this replica may not vote, or it hears a leader that did not hand over.
func (c *core) ignoresVote(m Message) bool {
	return !c.mayVote() || (!m.Transfer && c.hearsLeader())
}

func (c *core) hearsLeader() bool {
	if c.lead != nil {
		return true
	}
	return c.leader.Identity != "" && c.now-c.leaderHeard < c.electionTimeout
}

// refuseStale tells a sender of an older term about the current one, so that a
// deposed leader steps down.
func (c *core) refuseStale(m Message) {
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
	c.dropLeadership()
	c.votes = nil
	c.leader = Member{}
	c.resetElection()
	c.setRole(Follower)
}

func (c *core) resetElection() {
	c.electionDeadline = c.now + c.electionTimeout
	c.electionDeadline += randomBelow(c.random, c.electionTimeout)
}

// preCampaign asks whether an election could succeed, without a new term: a
// replica that returns from a network partition then deposes nobody.
func (c *core) preCampaign() {
	c.leader = Member{}
	c.startVotes(PreCandidate)
	if c.wins() {
		c.campaign(false)
		return
	}
	c.askVoters(Message{Kind: KindPreVote, Round: uint64(c.state.Term + 1)})
}

func (c *core) campaign(transfer bool) {
	c.enterTerm(c.state.Term + 1)
	c.state.Vote = c.self.Identity
	c.leader = Member{}
	c.startVotes(Candidate)
	if c.wins() {
		c.becomeLeader()
		return
	}
	c.askVoters(Message{Kind: KindVote, Transfer: transfer})
}

func (c *core) startVotes(r Role) {
	c.resetElection()
	c.votes = map[Identity]bool{c.self.Identity: true}
	c.setRole(r)
}

func (c *core) askVoters(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, v := range c.membership().Voters {
		if v.Identity == c.self.Identity {
			continue
		}
		m.To = v
		c.send(m)
	}
}

func (c *core) wins() bool {
	n := 0
	for _, v := range c.membership().Voters {
		if c.votes[v.Identity] {
			n++
		}
	}
	return n >= c.membership().quorum()
}

// upToDate says whether the sender's log holds every entry that this one could
// have helped to commit.
func (c *core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *core) stepPreVote(m Message) {
	if !c.mayVote() {
		return
	}
	grant := Term(m.Round) > c.state.Term && !c.hearsLeader() && c.upToDate(m)
	c.send(Message{Kind: KindPreVoteReply, To: m.From, Round: m.Round, Reject: !grant})
}

func (c *core) stepPreVoteReply(m Message) {
	if c.role != PreCandidate || m.Reject || m.Round != uint64(c.state.Term+1) {
		return
	}
	c.votes[m.From.Identity] = true
	if c.wins() {
		c.campaign(false)
	}
}

func (c *core) stepVote(m Message) {
	free := c.state.Vote == "" || c.state.Vote == m.From.Identity
	grant := free && c.leader.Identity == "" && c.lead == nil && c.upToDate(m)
	if grant {
		c.state.Vote = m.From.Identity
		c.stateDirty = true
		c.resetElection()
	}
	c.send(Message{Kind: KindVoteReply, To: m.From, Reject: !grant})
}

func (c *core) stepVoteReply(m Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From.Identity] = true
	if c.wins() {
		c.becomeLeader()
	}
}
