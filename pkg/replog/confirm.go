package replog

// readRequests are requests to prove leadership. One round is in flight at a
// time; requests that arrive meanwhile share the next one.
type readRequests struct {
	round  uint64
	queued []uint64
	active []uint64
	// index is the commit index when the active round began.
	index Index
}

// readResult is the outcome of a request.
type readResult struct {
	readID uint64
	ok     bool
	term   Term
	index  Index
}

// requestReadIndex asks for a confirmation of leadership. The outcome appears in a batch.
func (c *core) requestReadIndex(readID uint64) {
	if c.leading == nil {
		c.out.ReadResults = append(c.out.ReadResults, readResult{readID: readID})
		return
	}
	c.leading.reads.queued = append(c.leading.reads.queued, readID)
}

// startReadRound begins a round. It waits for a committed entry of this term,
// before which the commit index may be behind that of the previous leader.
func (c *core) startReadRound() {
	f := &c.leading.reads
	if len(f.active) > 0 || len(f.queued) == 0 || !c.hasCommittedInTerm() {
		return
	}
	f.active, f.queued = f.queued, nil
	f.round++
	f.index = c.commit
	for _, p := range c.leading.peers {
		p.heartbeatDue = true
	}
	c.advanceReadRound()
}

// advanceReadRound completes the round when a majority has answered a message
// of it. Earlier rounds' answers carry a lower number and do not count.
func (c *core) advanceReadRound() {
	f := &c.leading.reads
	if len(f.active) == 0 {
		return
	}
	n := 0
	for _, v := range c.membership().Voters {
		if v.Identity == c.self.Identity || c.leading.peers[v.Identity].round >= f.round {
			n++
		}
	}
	if n < c.membership().quorum() {
		return
	}
	for _, t := range f.active {
		c.out.ReadResults = append(c.out.ReadResults, readResult{t, true, c.state.Term, f.index})
	}
	f.active = nil
}

func (c *core) failReads() {
	f := &c.leading.reads
	for _, t := range append(f.active, f.queued...) {
		c.out.ReadResults = append(c.out.ReadResults, readResult{readID: t})
	}
}
