package replog

import (
	"math/rand/v2"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// core is the protocol without files, sockets, goroutines or clocks. Inputs are
// step, tick and the requests of the leader's clients; take returns the outputs.
type core struct {
	group           GroupID
	self            Member
	heartbeatEvery  clock.Millis
	electionTimeout clock.Millis
	random          *rand.Rand
	now             clock.Millis
	// appendBytes and chunkBytes bound the content of one message.
	appendBytes int
	chunkBytes  uint64

	// state must be durable before any message of the same batch is sent.
	state      hardState
	stateDirty bool
	log        entryLog
	// stable is the last index known to be on disk.
	stable Index
	commit Index
	// delivered is the last index given out in a batch's Committed.
	delivered   Index
	snapshot    *Snapshot
	memberships []indexedMembership
	initial     []Member

	role              Role
	lastRoleChange    roleChange
	leader            Member
	lastLeaderContact clock.Millis
	electionDeadline  clock.Millis
	votes             map[Identity]bool
	leading           *leaderState
	incoming          incomingSnapshot
	// pendingSnapshot is a snapshot from the leader that is complete and being made
	// durable.
	pendingSnapshot *Snapshot

	out   coreOutputs
	fault error
}

// hardState is what a replica must remember besides the log.
type hardState struct {
	Term Term
	Vote Identity
}

// indexedMembership is a membership and the index of the entry that set it.
type indexedMembership struct {
	index      Index
	membership Membership
}

// roleChange is reported to Options.OnRoleChange.
type roleChange struct {
	role Role
	term Term
}

// coreOutputs is what the core wants done, in this order: send Early, make State,
// Install and Entries durable together, send Messages, then the rest. Install is
// a snapshot that was given out as Save before and is durable as a file.
type coreOutputs struct {
	// State is nil when term and vote are unchanged.
	State   *hardState
	Install *Snapshot
	Save    *saveJob
	// Entries replace everything in the log from the first one's index.
	Entries       []Entry
	EarlyMessages []Message
	Messages      []Message
	Committed     []Entry
	ReadResults   []readResult
	RoleChanges   []roleChange
}

func (b *coreOutputs) empty() bool {
	return b.State == nil && b.Install == nil && b.Save == nil && len(b.Entries)+len(b.EarlyMessages)+len(b.Messages)+len(b.Committed)+len(b.ReadResults)+len(b.RoleChanges) == 0
}

// newCore returns a follower with what the store has loaded.
func newCore(group GroupID, self Member, l loaded, heartbeat, timeout clock.Millis, random *rand.Rand, now clock.Millis) *core {
	c := &core{
		group: group, self: self, heartbeatEvery: heartbeat, electionTimeout: timeout,
		random: random, now: now, state: l.state, log: l.log,
		memberships: []indexedMembership{{}}, appendBytes: maxAppendBytes, chunkBytes: snapshotChunkBytes,
	}
	c.stable = c.log.last()
	if s := l.snapshot; s != nil {
		c.snapshot, c.commit, c.delivered, c.initial = s.withoutData(), s.Index, s.Index, s.InitialMembers
		c.memberships = []indexedMembership{{s.Index, s.Membership}}
	}
	for _, n := range c.log.entries {
		c.recordMembership(n)
	}
	c.resetElectionTimer()
	return c
}

// takeOutputs returns the outputs collected since the last call. The caller makes them
// durable and calls persisted before it gives the core anything else.
func (c *core) takeOutputs() coreOutputs {
	if c.leading != nil {
		c.startReadRound()
		c.advanceTransfer()
		c.replicate()
	}
	b := c.out
	c.out = coreOutputs{}
	if c.stateDirty {
		s := c.state
		b.State, c.stateDirty = &s, false
		// A term must be durable before it is used, or a restarted leader could
		// win the same term twice.
		b.Messages, b.EarlyMessages = append(b.EarlyMessages, b.Messages...), nil
	}
	b.Entries = c.log.slice(c.stable, c.log.last())
	if c.delivered < c.commit {
		b.Committed = c.log.slice(c.delivered, c.commit)
		c.delivered = c.commit
	}
	return b
}

// markPersisted says that everything in the last batch is durable.
func (c *core) markPersisted() {
	c.stable = c.log.last()
	if c.leading != nil {
		c.advanceCommit()
		c.advanceReadRound()
	}
}

func (c *core) membership() Membership { return c.memberships[len(c.memberships)-1].membership }

func (c *core) membershipIndex() Index { return c.memberships[len(c.memberships)-1].index }

func (c *core) isVoter() bool { return c.membership().isVoter(c.self.Identity) }

// canVote is true for learners as well. A vote counts only for a candidate whose
// log makes this identity a voter, which a learner cannot know until it receives
// that entry. If it refused until then, a group whose new voter must help to
// elect the only replica that holds the entry would stay without a leader.
func (c *core) canVote() bool {
	return c.isVoter() || c.membership().isLearner(c.self.Identity)
}

func (c *core) recordMembership(n Entry) {
	if n.Kind != EntryMembership {
		return
	}
	m, err := decodeMembership(n.Data)
	if err != nil {
		c.setFault("membership entry %d: %v", n.Index, err)
		return
	}
	if n.Index == 1 {
		c.initial = m.Voters
	}
	c.memberships = append(c.memberships, indexedMembership{n.Index, m})
}

func (c *core) setFault(format string, args ...any) {
	if c.fault == nil {
		c.fault = merry.Wrap(ErrInconsistentState, merry.AppendMessagef(format, args...))
	}
}

// appendEntries adds entries that follow the last one.
func (c *core) appendEntries(es ...Entry) {
	c.log.append(es...)
	for _, n := range es {
		c.recordMembership(n)
	}
}

// truncate removes the entries after i, and with them the memberships they set.
func (c *core) truncate(i Index) {
	if i < c.commit {
		c.setFault("entry %d conflicts with a committed one", i+1)
		return
	}
	c.log.truncate(i)
	c.stable = min(c.stable, i)
	for c.membershipIndex() > i {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// compact records a snapshot of this replica's own state and forgets the entries
// that neither the given number to keep nor another replica calls for.
func (c *core) compact(s *Snapshot, keep Index) {
	if c.snapshot != nil && s.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = s
	c.cancelStaleSnapshotTransfers()
	after := retentionIndex(s.Index, keep, c.neededIndexes())
	if after <= c.log.base {
		return
	}
	c.log.compact(after)
	for len(c.memberships) > 1 && c.memberships[1].index <= c.log.base {
		c.memberships = c.memberships[1:]
	}
}

// maxRetentionFactor bounds the entries that are kept for replicas that are behind, as a
// multiple of those that are kept anyway: memory and disk must not grow for as
// long as one of them is slow.
const maxRetentionFactor = 8

// retentionIndex returns the index after which entries are kept when there is a
// snapshot. Without those that other replicas still need, one that takes longer
// for a snapshot than the log for the entries to keep would never catch up.
func retentionIndex(snapshot, keep Index, needed []Index) Index {
	after := snapshot - min(keep, snapshot)
	for _, i := range needed {
		after = min(after, i)
	}
	return max(after, snapshot-min(maxRetentionFactor*keep, snapshot))
}

// neededIndexes returns where the replicas that answer this leader go on.
func (c *core) neededIndexes() []Index {
	var out []Index
	if c.leading == nil {
		return nil
	}
	for _, p := range c.leading.peers {
		switch {
		case !c.isActive(p):
		case p.snapshotToSend != nil:
			out = append(out, p.snapshotToSend.Index)
		case p.match > 0:
			out = append(out, p.match)
		}
	}
	return out
}

// cancelStaleSnapshotTransfers lets replicas that do not answer begin again with the newest
// snapshot when they return, so that older files are not kept for them.
func (c *core) cancelStaleSnapshotTransfers() {
	if c.leading == nil {
		return
	}
	for _, p := range c.leading.peers {
		if p.snapshotToSend != nil && !c.isActive(p) {
			p.snapshotToSend = nil
		}
	}
}

// bootstrap writes the initial membership to an empty replica. It accepts a
// replica that was started with the same members.
func (c *core) bootstrap(members []Member) error {
	m := Membership{Voters: sortByIdentity(append([]Member(nil), members...))}
	if err := m.validate(); err != nil {
		return err
	}
	if !m.isVoter(c.self.Identity) {
		return merry.Wrap(ErrInvalidMember, merry.AppendMessagef("%s with identity %s is not among the members", c.self.Name, c.self.Identity))
	}
	if c.log.last() > 0 {
		if sameMembers(m.Voters, c.initial) {
			return nil
		}
		return merry.Wrap(ErrNotEmpty, merry.AppendMessagef("log ends at entry %d", c.log.last()))
	}
	c.appendEntries(Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: encodeMembership(m)})
	if c.state.Term == 0 {
		c.enterTerm(1)
		c.setRole(Follower)
	}
	// Leaves time to start the other members before the first election.
	c.resetElectionTimer()
	return nil
}

func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (c *core) send(m Message) {
	c.out.Messages = append(c.out.Messages, c.addSender(m))
}

// addSender fills in the fields that all messages have.
func (c *core) addSender(m Message) Message {
	m.Group, m.From, m.Term = c.group, c.self, c.state.Term
	return m
}

func (c *core) enterTerm(t Term) {
	c.state = hardState{Term: t}
	c.stateDirty = true
}

func (c *core) setRole(r Role) {
	c.role = r
	if n := (roleChange{r, c.state.Term}); n != c.lastRoleChange {
		c.lastRoleChange = n
		c.out.RoleChanges = append(c.out.RoleChanges, n)
	}
}

func randomBelow(r *rand.Rand, m clock.Millis) clock.Millis {
	return clock.Millis(r.Int64N(int64(m)))
}
