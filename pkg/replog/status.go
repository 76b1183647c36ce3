package replog

import "github.com/gentiansail/gentiansail/pkg/clock"

// Status is the state of a replica. Only the leader fills in the members' progress
// and CanLoseOne.
type Status struct {
	Group GroupID
	Self  Member
	Role  Role
	Term  Term
	// Leader is empty while no leader is known.
	Leader       Member
	CommitIndex  Index
	AppliedIndex Index
	// LastIndex is the index of the last log entry.
	LastIndex Index
	// SnapshotIndex is the index of the newest durable snapshot, 0 if there is none.
	SnapshotIndex Index
	Voters        []MemberStatus
	Learners      []MemberStatus
	// CanLoseOne is true if, after the loss of any one voter, a majority of the
	// voters would still be caught up and have replied within the election timeout.
	CanLoseOne bool
}

// MemberStatus is a member's replication progress as known to the leader.
type MemberStatus struct {
	Member
	// CaughtUp is true if the member is responsive and has stored the current
	// membership and all entries that were committed one heartbeat ago.
	CaughtUp bool
	// LastContact is the time since the member's last reply: 0 for the leader
	// itself, NeverContacted if the member has not replied in this term.
	LastContact clock.Millis
	// Silence is how long the leader has waited for a reply of the member: since the last
	// reply or, without one in this term, since it became a member or the leader's term
	// began. It is 0 for the leader itself and on other replicas.
	Silence clock.Millis
	// Match is the last index that the member is known to have stored.
	Match Index
}

// NeverContacted is the LastContact of a member that has not replied in this term.
const NeverContacted clock.Millis = -1

// publishedStatus is the status that the loop last published, with the time of
// each member's last reply. The fields that depend on the current time are
// computed on reading, so that they are right even while a slow disk blocks the
// loop.
type publishedStatus struct {
	status    Status
	lastReply map[Identity]clock.Millis
	// silentSince has the start of Silence for each other member, on the leader only.
	silentSince   map[Identity]clock.Millis
	activeTimeout clock.Millis
}

// Status returns the replica's state after the last inputs that it handled.
func (r *Replica) Status() Status {
	p := r.status.Load()
	return p.statusAt(r.options.Clock.Now())
}

func (p *publishedStatus) statusAt(now clock.Millis) Status {
	s := p.status
	s.Voters = p.withLastContact(s.Voters, now)
	s.Learners = p.withLastContact(s.Learners, now)
	caughtUp := 0
	for _, v := range s.Voters {
		if v.CaughtUp {
			caughtUp++
		}
	}
	s.CanLoseOne = s.Role == Leader && caughtUp-1 >= len(s.Voters)/2+1
	return s
}

func (p *publishedStatus) withLastContact(ms []MemberStatus, now clock.Millis) []MemberStatus {
	out := make([]MemberStatus, 0, len(ms))
	for _, m := range ms {
		if at, ok := p.lastReply[m.Identity]; ok {
			m.LastContact = now - at
			m.CaughtUp = m.CaughtUp && m.LastContact < p.activeTimeout
		}
		if since, ok := p.silentSince[m.Identity]; ok {
			m.Silence = now - since
		}
		out = append(out, m)
	}
	return out
}

// publish makes the loop's state visible to Status.
func (n *loop) publish() {
	n.replica.status.Store(newPublishedStatus(n.engine.core, n.appliedIndex))
}

func newPublishedStatus(c *core, appliedIndex Index) *publishedStatus {
	p := &publishedStatus{activeTimeout: c.electionTimeout, lastReply: map[Identity]clock.Millis{}, silentSince: map[Identity]clock.Millis{}}
	p.status = Status{
		Group: c.group, Self: c.self, Role: c.role, Term: c.state.Term, Leader: c.leader,
		CommitIndex: c.commitIndex, AppliedIndex: appliedIndex, LastIndex: c.log.last(),
	}
	if c.snapshot != nil {
		p.status.SnapshotIndex = c.snapshot.Index
	}
	for _, m := range c.membership().Voters {
		p.status.Voters = append(p.status.Voters, c.memberStatus(m, p))
	}
	for _, m := range c.membership().Learners {
		p.status.Learners = append(p.status.Learners, c.memberStatus(m, p))
	}
	return p
}

func (c *core) memberStatus(m Member, p *publishedStatus) MemberStatus {
	s := MemberStatus{Member: m, LastContact: NeverContacted}
	if c.leading == nil {
		return s
	}
	if m.Identity == c.self.Identity {
		s.CaughtUp, s.LastContact, s.Match = true, 0, c.stableIndex
		return s
	}
	if q := c.leading.peers[m.Identity]; q != nil {
		s.Match, s.CaughtUp = q.match, c.caughtUp(q)
		p.silentSince[m.Identity] = max(q.lastReply, q.addedAt)
		if q.replied {
			p.lastReply[m.Identity] = q.lastReply
		}
	}
	return s
}
