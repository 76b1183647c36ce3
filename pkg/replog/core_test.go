package replog

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// newElectedLeader returns the leader of term 4 in a group of a, b and c, and member b.
// Before the no-op entry of term 4, the leader's log contains the membership and one
// entry of term 2.
func newElectedLeader(t *testing.T) (*core, Member) {
	a, b, c := Member{Name: "a", Identity: "1"}, Member{Name: "b", Identity: "2"}, Member{Name: "c", Identity: "3"}
	l := storedState{state: hardState{Term: 3}}
	l.log.append(
		Entry{1, 1, EntryMembership, encodeMembership(Membership{Voters: []Member{a, b, c}})},
		Entry{2, 2, EntryCommand, nil},
	)
	leader := newCore("g", a, l, 20, 100, rand.New(rand.NewPCG(1, 1)), 0)
	leader.now = 200
	leader.tick()
	reply := func(k MessageKind, term Term) {
		leader.takeOutputs()
		leader.markPersisted()
		leader.step(Message{Kind: k, Group: "g", From: b, To: a, Term: term, Round: 4})
	}
	reply(KindPreVoteReply, 3)
	reply(KindVoteReply, 4)
	leader.takeOutputs()
	leader.markPersisted()
	qt.Assert(t, leader.role, qt.Equals, Leader)
	return leader, b
}

// Guards against committing an entry of an earlier term because a majority has stored
// it: a later leader may still replace it.
func TestCommitNeedsEntryOfOwnTerm(t *testing.T) {
	leader, b := newElectedLeader(t)
	commitAfterMatch := func(i Index) Index {
		leader.step(Message{Kind: KindAppendReply, Group: "g", From: b, To: leader.self, Term: 4, Match: i})
		return leader.commitIndex
	}
	qt.Assert(t, commitAfterMatch(2), qt.Equals, Index(0))
	qt.Assert(t, commitAfterMatch(3), qt.Equals, Index(3))
}

// Guards against completing a read index request with replies to messages sent before
// the request, or before an entry of the leader's term is committed.
func TestReadIndexNeedsNewRound(t *testing.T) {
	leader, b := newElectedLeader(t)
	reply := func(match Index, round uint64) []readResult {
		leader.step(Message{Kind: KindAppendReply, Group: "g", From: b, To: leader.self, Term: 4, Match: match, Round: round})
		return leader.takeOutputs().ReadResults
	}
	leader.requestReadIndex(1)
	qt.Assert(t, leader.takeOutputs().ReadResults, qt.HasLen, 0)
	qt.Assert(t, reply(2, 0), qt.HasLen, 0)
	qt.Assert(t, reply(3, 1), qt.HasLen, 0, qt.Commentf("round 1 has not begun"))
	qt.Assert(t, reply(3, 0), qt.HasLen, 0)
	qt.Assert(t, reply(3, 0), qt.HasLen, 0)
	qt.Assert(t, reply(3, 1), qt.HasLen, 1)
	leader.requestReadIndex(2)
	qt.Assert(t, leader.takeOutputs().ReadResults, qt.HasLen, 0)
	qt.Assert(t, reply(3, 1), qt.HasLen, 0)
	qt.Assert(t, reply(3, 2), qt.HasLen, 1)
}

// Guards against a follower that discards acknowledged entries when a delayed snapshot
// arrives, or keeps a membership whose entry was replaced.
func TestFollowerKeepsMatchingEntries(t *testing.T) {
	leader, b := newElectedLeader(t)
	initial := leader.membership()
	leader.proposeMembership(initial.without("3"))
	qt.Assert(t, leader.membership().Voters, qt.HasLen, 2)
	leader.takeOutputs()
	leader.markPersisted()
	snapshot := Message{Kind: KindSnapshot, Group: "g", From: b, To: leader.self, Term: 5, Index: 2, LogTerm: 2, Membership: initial}
	leader.step(snapshot)
	qt.Assert(t, leader.role, qt.Equals, Follower)
	qt.Assert(t, leader.commitIndex, qt.Equals, Index(2))
	qt.Assert(t, leader.log.last(), qt.Equals, Index(4))
	noop := Entry{3, 5, EntryNoop, nil}
	leader.step(Message{Kind: KindAppend, Group: "g", From: b, To: leader.self, Term: 5, Index: 2, LogTerm: 2, Entries: []Entry{noop}})
	qt.Assert(t, leader.log.last(), qt.Equals, Index(3))
	qt.Assert(t, leader.membership(), qt.DeepEquals, initial)
	qt.Assert(t, leader.takeOutputs().Entries, qt.DeepEquals, []Entry{noop})
}

// Guards against a membership change before the leader knows that the previous one is
// committed, and against votes by a replica that is not a member of any group.
func TestMembershipLimits(t *testing.T) {
	leader, b := newElectedLeader(t)
	leader.commitIndex = 2 // learned from the previous leader
	d := Member{Name: "d", Identity: "id of d"}
	admit := func(name ReplicaID) []Member {
		_, err := leader.admit(Member{Name: name, Identity: "id of " + Identity(name)})
		qt.Assert(t, err, qt.IsNil)
		return leader.membership().Learners
	}
	qt.Assert(t, admit("d"), qt.HasLen, 0)
	leader.step(Message{Kind: KindAppendReply, Group: "g", From: b, To: leader.self, Term: 4, Match: 3})
	qt.Assert(t, admit("d"), qt.DeepEquals, []Member{d})
	qt.Assert(t, admit("e"), qt.DeepEquals, []Member{d})

	outsider := newCore("g", d, storedState{}, 20, 100, rand.New(rand.NewPCG(1, 1)), 0)
	outsider.now = 1000
	outsider.tick()
	for _, k := range []MessageKind{KindPreVote, KindVote, KindTimeoutNow} {
		outsider.step(Message{Kind: k, Group: "g", From: b, To: d, Term: 0, Round: 9, Index: 9, LogTerm: 9, Transfer: true})
	}
	out := outsider.takeOutputs()
	qt.Assert(t, out.empty(), qt.IsTrue)
}

// Guards against messages of a new term before the term is durable: after a crash the
// replica could use the same term again.
func TestSingleVoterSavesTermFirst(t *testing.T) {
	a, b := Member{Name: "a", Identity: "1"}, Member{Name: "b", Identity: "2"}
	l := storedState{state: hardState{Term: 1}}
	l.log.append(Entry{1, 1, EntryMembership, encodeMembership(Membership{Voters: []Member{a}, Learners: []Member{b}})})
	leader := newCore("g", a, l, 20, 100, rand.New(rand.NewPCG(1, 1)), 0)
	leader.now = 200
	leader.tick()
	out := leader.takeOutputs()
	qt.Assert(t, out.State, qt.DeepEquals, &hardState{Term: 2, Vote: "1"})
	qt.Assert(t, out.EarlyMessages, qt.HasLen, 0)
	qt.Assert(t, out.Messages, qt.HasLen, 1)
}

// Guards against a log that grows without limit for a slow replica, and against
// discarding the entries that a replica needs after it has installed a snapshot.
func TestRetentionIndex(t *testing.T) {
	tests := map[string]struct {
		snapshot, keep Index
		needed         []Index
		want           Index
	}{
		"no replica is behind":       {1000, 100, []Index{1000, 950}, 900},
		"no other replica":           {1000, 100, nil, 900},
		"one receives a snapshot":    {1000, 100, []Index{1000, 600}, 600},
		"one is very far behind":     {1000, 100, []Index{20}, 200},
		"log is shorter than limit":  {300, 100, []Index{20}, 20},
		"log is shorter than keep":   {50, 100, nil, 0},
		"everything is still needed": {50, 100, []Index{0}, 0},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, retentionIndex(x.snapshot, x.keep, x.needed), qt.Equals, x.want)
		})
	}
}

// Guards against a leader that discards the entries after a snapshot while it sends
// that snapshot, and against one that keeps them for an unresponsive replica.
func TestEntriesAfterSentSnapshotAreKept(t *testing.T) {
	leader, b := newElectedLeader(t)
	p := leader.leading.peers[b.Identity]
	leader.step(Message{Kind: KindAppendReply, Group: "g", From: b, To: leader.self, Term: 4, Match: 3})
	for range 20 {
		_, _, err := leader.propose(nil)
		qt.Assert(t, err, qt.IsNil)
	}
	leader.step(Message{Kind: KindAppendReply, Group: "g", From: b, To: leader.self, Term: 4, Match: 23})
	leader.takeOutputs()
	leader.markPersisted()
	p.snapshotToSend = &Snapshot{Index: 10, Term: 4}
	leader.compact(&Snapshot{Index: 20, Term: 4}, 4)
	qt.Assert(t, leader.log.base, qt.Equals, Index(10))
	qt.Assert(t, leader.snapshotsInTransfer(), qt.DeepEquals, []Index{10})
	leader.now += leader.electionTimeout
	leader.compact(&Snapshot{Index: 22, Term: 4}, 4)
	qt.Assert(t, leader.log.base, qt.Equals, Index(18))
	qt.Assert(t, leader.snapshotsInTransfer(), qt.HasLen, 0)
}

// Guards against a new member that is removed as silent before it could reply, because its
// silence counts from the begin of an old term.
func TestSilenceCountsFromAdmission(t *testing.T) {
	c, _ := newElectedLeader(t)
	c.now += 60_000
	c.proposeMembership(c.membership().withLearner(Member{Name: "d", Identity: "id-d"}))
	c.now += 300
	qt.Assert(t, newPublishedStatus(c, 0).statusAt(c.now).Learners[0].Silence, qt.Equals, clock.Millis(300))
}
