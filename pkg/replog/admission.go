package replog

import (
	"slices"

	"github.com/ansel1/merry/v2"
)

// admit performs the next step of making m a voter. The caller repeats the call
// until it returns true. The steps are: remove another identity with m's name, add
// m as a learner, and promote m to voter once it has caught up. Each step appends
// a membership, and the next step waits until that one is committed. admit returns
// true only after m has stored the entry that promoted it, so the group keeps a
// working majority if any one replica is lost right afterwards.
func (c *core) admit(m Member) (bool, error) {
	if err := m.validate(); err != nil {
		return false, err
	}
	if c.leading == nil || c.leading.transfer.target != "" {
		return false, merry.Wrap(ErrNotLeader)
	}
	current := c.membership()
	if !c.hasCommittedInTerm() || c.membershipIndex() > c.commitIndex {
		return false, nil
	}
	if current.isVoter(m.Identity) {
		return m.Identity == c.self.Identity || c.caughtUp(c.leading.peers[m.Identity]), nil
	}
	if i := slices.IndexFunc(current.all(), func(x Member) bool { return x.Name == m.Name && x.Identity != m.Identity }); i >= 0 {
		return false, c.proposeRemoval(current.all()[i])
	}
	if !current.isLearner(m.Identity) {
		if len(current.Voters)+len(current.Learners) >= maxMembers {
			return false, merry.Wrap(ErrInvalidMember, merry.AppendMessage("group already has the maximum number of members"))
		}
		c.proposeMembership(current.withLearner(m))
		return false, nil
	}
	if c.caughtUp(c.leading.peers[m.Identity]) {
		c.proposeMembership(current.withVoter(m))
	}
	return false, nil
}

// proposeRemoval removes a member that is unresponsive. A leader cannot tell that
// during the first election timeout of its term, and returns ErrMemberResponsive.
func (c *core) proposeRemoval(old Member) error {
	p := c.leading.peers[old.Identity]
	if p == nil || c.isActive(p) || c.now-c.leading.startTime < c.electionTimeout {
		return merry.Wrap(ErrMemberResponsive, merry.AppendMessagef("%s with identity %s", old.Name, old.Identity))
	}
	c.proposeMembership(c.membership().without(old.Identity))
	return nil
}

// caughtUp reports whether the peer is responsive and has stored the current
// membership and all entries that were committed one heartbeat ago.
func (c *core) caughtUp(p *peer) bool {
	return c.isActive(p) && p.match >= c.leading.catchUpIndex && p.match >= c.membershipIndex()
}

// removeMember removes a member that is unresponsive or leaving. It does nothing if m is
// not a member. While an earlier membership change is uncommitted it returns ErrNotLeader,
// and the caller must retry.
func (c *core) removeMember(m Member, leaving bool) error {
	if c.leading == nil || c.leading.transfer.target != "" || !c.hasCommittedInTerm() || c.membershipIndex() > c.commitIndex {
		return merry.Wrap(ErrNotLeader)
	}
	if indexOfIdentity(c.membership().all(), m.Identity) < 0 {
		return nil
	}
	if leaving && m.Identity != c.self.Identity {
		c.proposeMembership(c.membership().without(m.Identity))
		return nil
	}
	return c.proposeRemoval(m)
}
