package replog

// confirmations are requests to prove leadership. One round is in flight at a
// time; requests that arrive meanwhile share the next one.
type confirmations struct {
	round   uint64
	queued []uint64
	active  []uint64
	// index is the commit index when the active round began.
	index Index
}

// confirmation is the outcome of a request.
type confirmation struct {
	token uint64
	ok    bool
	term  Term
	index Index
}

// requestReadIndex asks for a confirmation of leadership. The outcome appears in a batch.
func (c *core) requestReadIndex(token uint64) {
	if c.lead == nil {
		c.out.Confirmed = append(c.out.Confirmed, confirmation{token: token})
		return
	}
	c.lead.reads.queued = append(c.lead.reads.queued, token)
}

// startConfirmation begins a round. It waits for a committed entry of this term,
// before which the commit index may be behind that of the previous leader.
func (c *core) startConfirmation() {
	f := &c.lead.reads
	if len(f.active) > 0 || len(f.queued) == 0 || !c.leadsWithCommit() {
		return
	}
	f.active, f.queued = f.queued, nil
	f.round++
	f.index = c.commit
	for _, p := range c.lead.peers {
		p.heartbeatDue = true
	}
	c.advanceConfirmation()
}

// advanceConfirmation completes the round when a majority has answered a message
// of it. Earlier rounds' answers carry a lower number and do not count.
func (c *core) advanceConfirmation() {
	f := &c.lead.reads
	if len(f.active) == 0 {
		return
	}
	n := 0
	for _, v := range c.membership().Voters {
		if v.Identity == c.self.Identity || c.lead.peers[v.Identity].round >= f.round {
			n++
		}
	}
	if n < c.membership().quorum() {
		return
	}
	for _, t := range f.active {
		c.out.Confirmed = append(c.out.Confirmed, confirmation{t, true, c.state.Term, f.index})
	}
	f.active = nil
}

func (c *core) failConfirmations() {
	f := &c.lead.reads
	for _, t := range append(f.active, f.queued...) {
		c.out.Confirmed = append(c.out.Confirmed, confirmation{token: t})
	}
}
