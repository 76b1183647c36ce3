package replog

import (
	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// leadershipTransfer is a handover of leadership in progress. Proposals are refused
// meanwhile, so that the target can hold the whole log.
type leadershipTransfer struct {
	target         Identity
	deadline       clock.Millis
	timeoutNowSent bool
}

// transferLeadership starts a handover to the voter that holds most of the log.
func (c *core) transferLeadership() error {
	if c.leading == nil {
		return merry.Wrap(ErrNotLeader)
	}
	if c.leading.transfer.target != "" {
		return nil
	}
	var best *peer
	var target Identity
	for _, v := range c.membership().Voters {
		p := c.leading.peers[v.Identity]
		if p != nil && c.isActive(p) && (best == nil || p.match > best.match) {
			best, target = p, v.Identity
		}
	}
	if best == nil {
		return merry.Wrap(ErrTransferFailed, merry.AppendMessage("no other voter answers"))
	}
	c.leading.transfer = leadershipTransfer{target: target, deadline: c.now + c.electionTimeout}
	return nil
}

// advanceTransfer asks the target to start an election once it holds the whole
// log and everything is committed, so that no proposal is left undecided.
func (c *core) advanceTransfer() {
	t := &c.leading.transfer
	p := c.leading.peers[t.target]
	if p == nil || (t.timeoutNowSent && !p.heartbeatDue) {
		return
	}
	if p.match < c.log.last() || c.commit < c.log.last() {
		return
	}
	t.timeoutNowSent = true
	to := c.membership().Voters[indexOfIdentity(c.membership().Voters, t.target)]
	c.send(Message{Kind: KindTimeoutNow, To: to})
}

// expireTransfer gives up a handover whose target did not take over.
func (c *core) expireTransfer() {
	t := &c.leading.transfer
	if t.target != "" && c.now >= t.deadline {
		*t = leadershipTransfer{}
	}
}
