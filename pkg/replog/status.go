package replog

import "github.com/gentiansail/gentiansail/pkg/clock"

// Status describes a replica. On one that does not lead, the members carry no
// figures and CanLoseOne is false.
type Status struct {
	Group GroupID
	Self  Member
	Role  Role
	Term  Term
	// Leader is empty while no leader is known.
	Leader        Member
	CommitIndex   Index
	AppliedIndex  Index
	LastIndex     Index
	SnapshotIndex Index
	Voters        []MemberStatus
	Learners      []MemberStatus
	// CanLoseOne is true only if a majority of caught-up voters, heard within one
	// election timeout, would remain after the loss of any one voter.
	CanLoseOne bool
}

// MemberStatus is what a leader knows about a member.
type MemberStatus struct {
	Member
	// CaughtUp says that the member answers and holds the membership in force and
	// all that was committed one heartbeat ago.
	CaughtUp bool
	// LastContact is the time since the member's last answer, 0 for the leader
	// itself and NeverContacted if it has not answered in this term.
	LastContact clock.Millis
	// Match is the last index that the member is known to hold.
	Match Index
}

// NeverContacted is the LastContact of a member that has not answered.
const NeverContacted clock.Millis = -1

// publishedStatus is published by the loop. Ages are computed when it is read, so
// that it tells the truth while the loop waits for a slow disk.
type publishedStatus struct {
	status        Status
	lastReply     map[Identity]clock.Millis
	activeTimeout clock.Millis
}

// Status returns the replica's state after the last input it handled.
func (r *Replica) Status() Status {
	p := r.status.Load()
	return p.statusAt(r.options.Clock.Now())
}

func (p *publishedStatus) statusAt(now clock.Millis) Status {
	s := p.status
	s.Voters = p.withLastContact(s.Voters, now)
	s.Learners = p.withLastContact(s.Learners, now)
	healthy := 0
	for _, v := range s.Voters {
		if v.CaughtUp {
			healthy++
		}
	}
	s.CanLoseOne = s.Role == Leader && healthy-1 >= len(s.Voters)/2+1
	return s
}

func (p *publishedStatus) withLastContact(ms []MemberStatus, now clock.Millis) []MemberStatus {
	out := make([]MemberStatus, 0, len(ms))
	for _, m := range ms {
		if at, ok := p.lastReply[m.Identity]; ok {
			m.LastContact = now - at
			m.CaughtUp = m.CaughtUp && m.LastContact < p.activeTimeout
		}
		out = append(out, m)
	}
	return out
}

// publish makes the loop's state visible to Status.
func (n *loop) publish() {
	n.replica.status.Store(newPublishedStatus(n.engine.core, n.applied))
}

func newPublishedStatus(c *core, applied Index) *publishedStatus {
	p := &publishedStatus{activeTimeout: c.electionTimeout, lastReply: map[Identity]clock.Millis{}}
	p.status = Status{
		Group: c.group, Self: c.self, Role: c.role, Term: c.state.Term, Leader: c.leader,
		CommitIndex: c.commit, AppliedIndex: applied, LastIndex: c.log.last(),
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
		s.CaughtUp, s.LastContact, s.Match = true, 0, c.stable
		return s
	}
	if q := c.leading.peers[m.Identity]; q != nil {
		s.Match, s.CaughtUp = q.match, c.caughtUp(q)
		if q.replied {
			p.lastReply[m.Identity] = q.lastReply
		}
	}
	return s
}
