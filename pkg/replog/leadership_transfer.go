package replog

import (
	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// leadershipTransfer is a leadership transfer in progress; target is empty if there
// is none. Proposals are rejected during a transfer, so that the target can catch
// up with the whole log.
type leadershipTransfer struct {
	target         Identity
	deadline       clock.Millis
	timeoutNowSent bool
}

// transferLeadership starts a transfer to the responsive voter with the highest
// match index.
func (c *core) transferLeadership() error {
	if c.leading == nil {
		return merry.Wrap(ErrNotLeader)
	}
	if c.leading.transfer.target != "" {
		return nil
	}
	var bestPeer *peer
	var target Identity
	for _, v := range c.membership().Voters {
		p := c.leading.peers[v.Identity]
		if p != nil && c.isActive(p) && (bestPeer == nil || p.match > bestPeer.match) {
			bestPeer, target = p, v.Identity
		}
	}
	if bestPeer == nil {
		return merry.Wrap(ErrTransferFailed, merry.AppendMessage("no other voter is responsive"))
	}
	c.leading.transfer = leadershipTransfer{target: target, deadline: c.now + c.electionTimeout}
	return nil
}

// advanceTransfer asks the target to start an election once the target has stored
// the whole log and all of it is committed. No proposal then ends with an unknown
// outcome. Each heartbeat repeats the message.
func (c *core) advanceTransfer() {
	t := &c.leading.transfer
	peer := c.leading.peers[t.target]
	if peer == nil || (t.timeoutNowSent && !peer.heartbeatDue) {
		return
	}
	if peer.match < c.log.last() || c.commitIndex < c.log.last() {
		return
	}
	t.timeoutNowSent = true
	target := c.membership().Voters[indexOfIdentity(c.membership().Voters, t.target)]
	c.send(Message{Kind: KindTimeoutNow, To: target})
}

// expireTransfer ends a transfer whose target has not become leader in time.
func (c *core) expireTransfer() {
	t := &c.leading.transfer
	if t.target != "" && c.now >= t.deadline {
		*t = leadershipTransfer{}
	}
}
