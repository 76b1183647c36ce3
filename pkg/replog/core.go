package replog

import (
	"math/rand/v2"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// core implements the protocol as a deterministic state machine without file or
// network access, goroutines or clocks. Its inputs are step, tick and client
// requests; takeOutputs returns its outputs.
type core struct {
	group           GroupID
	self            Member
	heartbeatEvery  clock.Millis
	electionTimeout clock.Millis
	random          *rand.Rand
	now             clock.Millis
	// appendBytes and chunkBytes limit the entries or the chunk in one message.
	appendBytes int
	chunkBytes  uint64
	// longAppendBytes is the size of entries from which a message counts as long.
	longAppendBytes int
	// minLogBytes is the least value of logBytes.
	minLogBytes int

	// state must be durable before any message of the same outputs is sent.
	state      hardState
	stateDirty bool
	log        entryLog
	// stableIndex is the last index known to be on disk.
	stableIndex Index
	commitIndex Index
	// deliveredIndex is the last index that takeOutputs has returned in Committed.
	deliveredIndex Index
	// snapshot is the newest snapshot, without its data.
	snapshot       *Snapshot
	memberships    []indexedMembership
	initialMembers []Member

	role Role
	// lastRoleChange is the last one in RoleChanges.
	lastRoleChange roleChange
	// leader is empty while the leader of the term is not known.
	leader            Member
	lastLeaderContact clock.Millis
	electionDeadline  clock.Millis
	// votes are the votes or pre-votes granted to this replica.
	votes map[Identity]bool
	// leading is nil unless this replica is the leader.
	leading  *leaderState
	incoming incomingSnapshot
	// pendingSnapshot is a completely received snapshot from the leader that is
	// being made durable.
	pendingSnapshot *Snapshot

	out coreOutputs
	// fault is the first violation of the protocol. It stops the replica.
	fault error
}

// hardState is the state besides the log that must survive a restart.
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

// coreOutputs are the actions that the core requests, to be carried out in this
// order: send EarlyMessages; make State, Install and Entries durable together;
// send Messages; pass the other outputs, and Install, to the state machine, the saver
// and the clients.
type coreOutputs struct {
	// State is nil when term and vote are unchanged.
	State *hardState
	// Install is a snapshot that replaces the log and the state machine. Its file is
	// already durable, from an earlier Save; the change of the log is not.
	Install *Snapshot
	// Save is a snapshot from the leader that must be made durable as a file outside
	// the loop.
	Save *saveJob
	// Entries replace all log entries from the index of the first one.
	Entries       []Entry
	EarlyMessages []Message
	Messages      []Message
	Committed     []Entry
	ReadResults   []readResult
	RoleChanges   []roleChange
}

func (o *coreOutputs) empty() bool {
	return o.State == nil && o.Install == nil && o.Save == nil && len(o.Entries)+len(o.EarlyMessages)+len(o.Messages)+len(o.Committed)+len(o.ReadResults)+len(o.RoleChanges) == 0
}

// newCore returns a follower with the state loaded from the store.
func newCore(group GroupID, self Member, l storedState, heartbeat, timeout clock.Millis, random *rand.Rand, now clock.Millis) *core {
	c := &core{
		group: group, self: self, heartbeatEvery: heartbeat, electionTimeout: timeout,
		random: random, now: now, state: l.state, log: l.log,
		memberships: []indexedMembership{{}}, appendBytes: maxAppendBytes, chunkBytes: snapshotChunkBytes, longAppendBytes: longAppendBytes, minLogBytes: minLogBytes,
	}
	c.stableIndex = c.log.last()
	if s := l.snapshot; s != nil {
		c.snapshot, c.commitIndex, c.deliveredIndex, c.initialMembers = s.withoutData(), s.Index, s.Index, s.InitialMembers
		c.memberships = []indexedMembership{{s.Index, s.Membership}}
	}
	for _, n := range c.log.entries {
		c.recordMembership(n)
	}
	c.resetElectionTimer()
	return c
}

// takeOutputs returns the outputs collected since the last call. The caller must
// make them durable and call markPersisted before the next input.
func (c *core) takeOutputs() coreOutputs {
	if c.leading != nil {
		c.startReadRound()
		c.advanceTransfer()
		c.replicate()
	}
	out := c.out
	c.out = coreOutputs{}
	if c.stateDirty {
		s := c.state
		out.State, c.stateDirty = &s, false
		// The new term must be durable before any message with it is sent.
		// Otherwise a leader could restart and win an election in the same term
		// again.
		out.Messages, out.EarlyMessages = append(out.EarlyMessages, out.Messages...), nil
	}
	out.Entries = c.log.slice(c.stableIndex, c.log.last())
	if c.deliveredIndex < c.commitIndex {
		out.Committed = c.log.slice(c.deliveredIndex, c.commitIndex)
		c.deliveredIndex = c.commitIndex
	}
	return out
}

// markPersisted tells the core that all outputs taken so far are durable.
func (c *core) markPersisted() {
	c.stableIndex = c.log.last()
	if c.leading != nil {
		c.advanceCommit()
		c.advanceReadRound()
	}
}

// membership returns the current membership, which may not be committed yet.
func (c *core) membership() Membership { return c.memberships[len(c.memberships)-1].membership }

func (c *core) membershipIndex() Index { return c.memberships[len(c.memberships)-1].index }

func (c *core) isVoter() bool { return c.membership().isVoter(c.self.Identity) }

// canVote reports whether this replica may grant votes. Learners may do so too: the
// candidate's log may already contain the entry that promotes this learner to
// voter, and the learner does not know that until it receives the entry. If only
// one replica has that entry and needs the new voter's vote, the group could not
// elect a leader unless the learner votes. A candidate whose membership does not
// list this replica as a voter ignores its vote.
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
		c.initialMembers = m.Voters
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

// truncate removes the entries after i and the memberships that they set.
func (c *core) truncate(i Index) {
	if i < c.commitIndex {
		c.setFault("entry %d conflicts with a committed one", i+1)
		return
	}
	c.log.truncate(i)
	c.stableIndex = min(c.stableIndex, i)
	for c.membershipIndex() > i {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// minLogBytes is the size of entries that a log may have even if the state is small.
const minLogBytes = 8 << 20

// logBytes returns the size of applied entries that makes a snapshot due. It grows with the
// snapshot, so that no more is written for snapshots than for entries.
func (c *core) logBytes() int {
	if c.snapshot == nil {
		return c.minLogBytes
	}
	return max(c.minLogBytes, int(c.snapshot.fileInfo.dataSize))
}

// maxRetainedLogs limits the entries before a snapshot that stay in the log, as a multiple
// of logBytes. They take memory, and a restart reads them again.
const maxRetainedLogs = 4

// compact records a local snapshot and discards log entries that it covers. The
// last keep entries before the snapshot stay in the log, and more if other
// replicas need them, within maxRetainedLogs.
func (c *core) compact(s *Snapshot, keep Index) {
	if c.snapshot != nil && s.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = s
	c.cancelStaleSnapshotTransfers()
	after := max(retentionIndex(s.Index, keep, c.neededIndexes()), c.log.firstWithin(s.Index, maxRetainedLogs*c.logBytes()))
	if after <= c.log.base {
		return
	}
	c.log.compact(after)
	for len(c.memberships) > 1 && c.memberships[1].index <= c.log.base {
		c.memberships = c.memberships[1:]
	}
}

// maxRetentionFactor limits the entries kept for replicas that are behind, as a
// multiple of the entries that are always kept. Without a limit, a slow replica
// would make memory and disk usage grow.
const maxRetentionFactor = 8

// retentionIndex returns the index after which a compaction keeps entries. needed
// are the indexes after which other replicas still need entries. If those entries
// were discarded, a replica that installs a snapshot more slowly than the log
// grows by keep entries would never catch up.
func retentionIndex(snapshot, keep Index, needed []Index) Index {
	after := snapshot - min(keep, snapshot)
	for _, i := range needed {
		after = min(after, i)
	}
	return max(after, snapshot-min(maxRetentionFactor*keep, snapshot))
}

// neededIndexes returns, for each responsive replica, the index after which it
// still needs entries.
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

// cancelStaleSnapshotTransfers stops sending snapshots to unresponsive replicas, so
// that old snapshot files are not kept for them. They start again with the newest
// snapshot when they respond.
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

// bootstrap appends the initial membership to an empty log. It does nothing if the
// replica was bootstrapped with the same members before.
func (c *core) bootstrap(members []Member) error {
	m := Membership{Voters: sortByIdentity(append([]Member(nil), members...))}
	if err := m.validate(); err != nil {
		return err
	}
	if !m.isVoter(c.self.Identity) {
		return merry.Wrap(ErrInvalidMember, merry.AppendMessagef("%s with identity %s is not among the members", c.self.Name, c.self.Identity))
	}
	if c.log.last() > 0 {
		if sameMembers(m.Voters, c.initialMembers) {
			return nil
		}
		return merry.Wrap(ErrNotEmpty, merry.AppendMessagef("log ends at entry %d", c.log.last()))
	}
	c.appendEntries(Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: encodeMembership(m)})
	if c.state.Term == 0 {
		c.enterTerm(1)
		c.setRole(Follower)
	}
	// The first election should not start before the other members are running.
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

// addSender sets the fields that describe the sender.
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
