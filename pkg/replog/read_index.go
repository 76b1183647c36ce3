package replog

// readRequests are the pending read index requests of a leader. A round of messages
// confirms the leadership for all requests in active. Requests that arrive during
// a round are queued and share the next one.
type readRequests struct {
	round uint64
	// queued and active contain the IDs of requests.
	queued []uint64
	active []uint64
	// index is the commit index at the start of the active round.
	index Index
}

// readResult is the outcome of a read index request. If ok is false, this replica is
// not the leader.
type readResult struct {
	readID uint64
	ok     bool
	term   Term
	index  Index
}

// requestReadIndex queues a read index request. The result appears in
// coreOutputs.ReadResults under the same ID.
func (c *core) requestReadIndex(readID uint64) {
	if c.leading == nil {
		c.out.ReadResults = append(c.out.ReadResults, readResult{readID: readID})
		return
	}
	c.leading.reads.queued = append(c.leading.reads.queued, readID)
}

// startReadRound starts a round for the queued requests, unless one is active. A new
// leader first waits until an entry of its term is committed. Until then its
// commit index may be lower than that of the previous leader.
func (c *core) startReadRound() {
	reads := &c.leading.reads
	if len(reads.active) > 0 || len(reads.queued) == 0 || !c.hasCommittedInTerm() {
		return
	}
	reads.active, reads.queued = reads.queued, nil
	reads.round++
	reads.index = c.commitIndex
	for _, p := range c.leading.peers {
		p.heartbeatDue = true
	}
	c.advanceReadRound()
}

// advanceReadRound completes the active round once a majority has replied to a
// message of this round. Replies to messages of earlier rounds do not count.
func (c *core) advanceReadRound() {
	reads := &c.leading.reads
	if len(reads.active) == 0 {
		return
	}
	n := 0
	for _, v := range c.membership().Voters {
		if v.Identity == c.self.Identity || c.leading.peers[v.Identity].round >= reads.round {
			n++
		}
	}
	if n < c.membership().quorum() {
		return
	}
	for _, id := range reads.active {
		c.out.ReadResults = append(c.out.ReadResults, readResult{id, true, c.state.Term, reads.index})
	}
	reads.active = nil
}

// failReads fails all pending read index requests when the leadership ends.
func (c *core) failReads() {
	reads := &c.leading.reads
	for _, id := range append(reads.active, reads.queued...) {
		c.out.ReadResults = append(c.out.ReadResults, readResult{readID: id})
	}
}
