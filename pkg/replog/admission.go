package replog

import (
	"slices"

	"github.com/ansel1/merry/v2"
)

// admit takes the next step that makes m a voter, and reports whether it is one.
// It is called repeatedly: each step is an entry of its own, and the next one
// waits until that entry is committed. An identity that holds m's name is
// removed first, m joins as a learner, and it becomes a voter when it has caught
// up. Done also means that m holds the entry that made it a voter, so the loss
// of any one replica right afterwards leaves a working majority.
func (c *core) admit(m Member) (bool, error) {
	if err := m.validate(); err != nil {
		return false, err
	}
	if c.leading == nil || c.leading.transfer.target != "" {
		return false, merry.Wrap(ErrNotLeader)
	}
	now := c.membership()
	if !c.hasCommittedInTerm() || c.membershipIndex() > c.commit {
		return false, nil
	}
	if now.isVoter(m.Identity) {
		return m.Identity == c.self.Identity || c.caughtUp(c.leading.peers[m.Identity]), nil
	}
	if i := slices.IndexFunc(now.all(), func(x Member) bool { return x.Name == m.Name && x.Identity != m.Identity }); i >= 0 {
		return false, c.proposeRemoval(now.all()[i])
	}
	if !now.isLearner(m.Identity) {
		if len(now.Voters)+len(now.Learners) >= maxMembers {
			return false, merry.Wrap(ErrInvalidMember, merry.AppendMessage("the group is full"))
		}
		c.proposeMembership(now.withLearner(m))
		return false, nil
	}
	if c.caughtUp(c.leading.peers[m.Identity]) {
		c.proposeMembership(now.withVoter(m))
	}
	return false, nil
}

// proposeRemoval takes an identity out of the group, unless it answers or this leader is
// too new to know.
func (c *core) proposeRemoval(old Member) error {
	p := c.leading.peers[old.Identity]
	if p == nil || c.isActive(p) || c.now-c.leading.startTime < c.electionTimeout {
		return merry.Wrap(ErrMemberResponsive, merry.AppendMessagef("%s with identity %s", old.Name, old.Identity))
	}
	c.proposeMembership(c.membership().without(old.Identity))
	return nil
}

// caughtUp says whether the peer answers, holds the membership in force, and
// holds all that was committed one heartbeat ago.
func (c *core) caughtUp(p *peer) bool {
	return c.isActive(p) && p.match >= c.leading.catchUpIndex && p.match >= c.membershipIndex()
}

// removeMember takes an identity out of the group on request. It has no effect if
// the identity is no member, and waits for no earlier change: the caller asks again.
func (c *core) removeMember(m Member) error {
	if c.leading == nil || c.leading.transfer.target != "" || !c.hasCommittedInTerm() || c.membershipIndex() > c.commit {
		return merry.Wrap(ErrNotLeader)
	}
	if indexOfIdentity(c.membership().all(), m.Identity) < 0 {
		return nil
	}
	return c.proposeRemoval(m)
}
