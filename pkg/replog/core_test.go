package replog

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// newElectedLeader returns the leader of term 4 in a group of a, b and c, whose log holds
// the membership and one entry of term 2.
func newElectedLeader(t *testing.T) (*core, Member) {
	a, b, c := Member{Name: "a", Identity: "1"}, Member{Name: "b", Identity: "2"}, Member{Name: "c", Identity: "3"}
	l := loaded{state: hardState{Term: 3}}
	l.log.append(
		Entry{1, 1, EntryMembership, encodeMembership(Membership{Voters: []Member{a, b, c}})},
		Entry{2, 2, EntryCommand, nil},
	)
	n := newCore("g", a, l, 20, 100, rand.New(rand.NewPCG(1, 1)), 0)
	n.now = 200
	n.tick()
	reply := func(k MessageKind, term Term) {
		n.takeOutputs()
		n.markPersisted()
		n.step(Message{Kind: k, Group: "g", From: b, To: a, Term: term, Round: 4})
	}
	reply(KindPreVoteReply, 3)
	reply(KindVoteReply, 4)
	n.takeOutputs()
	n.markPersisted()
	qt.Assert(t, n.role, qt.Equals, Leader)
	return n, b
}

// Guards against counting copies of an older term's entry as committed: a later
// leader may still replace it.
func TestCommitNeedsEntryOfOwnTerm(t *testing.T) {
	n, b := newElectedLeader(t)
	held := func(i Index) Index {
		n.step(Message{Kind: KindAppendReply, Group: "g", From: b, To: n.self, Term: 4, Match: i})
		return n.commit
	}
	qt.Assert(t, held(2), qt.Equals, Index(0))
	qt.Assert(t, held(3), qt.Equals, Index(3))
}

// Guards against a confirmation by answers to messages sent before the request,
// or before an entry of the leader's own term is committed.
func TestConfirmNeedsNewRound(t *testing.T) {
	n, b := newElectedLeader(t)
	answer := func(match Index, round uint64) []readResult {
		n.step(Message{Kind: KindAppendReply, Group: "g", From: b, To: n.self, Term: 4, Match: match, Round: round})
		return n.takeOutputs().ReadResults
	}
	n.requestReadIndex(1)
	qt.Assert(t, n.takeOutputs().ReadResults, qt.HasLen, 0)
	qt.Assert(t, answer(2, 0), qt.HasLen, 0)
	qt.Assert(t, answer(3, 1), qt.HasLen, 0, qt.Commentf("round 1 has not begun"))
	qt.Assert(t, answer(3, 0), qt.HasLen, 0)
	qt.Assert(t, answer(3, 0), qt.HasLen, 0)
	qt.Assert(t, answer(3, 1), qt.HasLen, 1)
	n.requestReadIndex(2)
	qt.Assert(t, n.takeOutputs().ReadResults, qt.HasLen, 0)
	qt.Assert(t, answer(3, 1), qt.HasLen, 0)
	qt.Assert(t, answer(3, 2), qt.HasLen, 1)
}

// Guards against a follower that forgets acknowledged entries when a snapshot
// arrives late, or keeps a membership whose entry was replaced.
func TestFollowerKeepsWhatMatches(t *testing.T) {
	n, b := newElectedLeader(t)
	both := n.membership()
	n.proposeMembership(both.without("3"))
	qt.Assert(t, n.membership().Voters, qt.HasLen, 2)
	n.takeOutputs()
	n.markPersisted()
	late := Message{Kind: KindSnapshot, Group: "g", From: b, To: n.self, Term: 5, Index: 2, LogTerm: 2, Membership: both}
	n.step(late)
	qt.Assert(t, n.role, qt.Equals, Follower)
	qt.Assert(t, n.commit, qt.Equals, Index(2))
	qt.Assert(t, n.log.last(), qt.Equals, Index(4))
	noop := Entry{3, 5, EntryNoop, nil}
	n.step(Message{Kind: KindAppend, Group: "g", From: b, To: n.self, Term: 5, Index: 2, LogTerm: 2, Entries: []Entry{noop}})
	qt.Assert(t, n.log.last(), qt.Equals, Index(3))
	qt.Assert(t, n.membership(), qt.DeepEquals, both)
	qt.Assert(t, n.takeOutputs().Entries, qt.DeepEquals, []Entry{noop})
}

// Guards against a membership change before the leader knows that the last one
// is committed, and against votes of a replica that is in no group.
func TestMembershipLimits(t *testing.T) {
	n, b := newElectedLeader(t)
	n.commit = 2 // as the leader before told it
	d := Member{Name: "d", Identity: "id of d"}
	admit := func(name ReplicaID) []Member {
		_, err := n.admit(Member{Name: name, Identity: "id of " + Identity(name)})
		qt.Assert(t, err, qt.IsNil)
		return n.membership().Learners
	}
	qt.Assert(t, admit("d"), qt.HasLen, 0)
	n.step(Message{Kind: KindAppendReply, Group: "g", From: b, To: n.self, Term: 4, Match: 3})
	qt.Assert(t, admit("d"), qt.DeepEquals, []Member{d})
	qt.Assert(t, admit("e"), qt.DeepEquals, []Member{d})

	empty := newCore("g", d, loaded{}, 20, 100, rand.New(rand.NewPCG(1, 1)), 0)
	empty.now = 1000
	empty.tick()
	for _, k := range []MessageKind{KindPreVote, KindVote, KindTimeoutNow} {
		empty.step(Message{Kind: k, Group: "g", From: b, To: d, Term: 0, Round: 9, Index: 9, LogTerm: 9, Transfer: true})
	}
	out := empty.takeOutputs()
	qt.Assert(t, out.empty(), qt.IsTrue)
}

// Guards against messages of a term that a crash could make this replica forget.
func TestSingleVoterSavesTermFirst(t *testing.T) {
	a, b := Member{Name: "a", Identity: "1"}, Member{Name: "b", Identity: "2"}
	l := loaded{state: hardState{Term: 1}}
	l.log.append(Entry{1, 1, EntryMembership, encodeMembership(Membership{Voters: []Member{a}, Learners: []Member{b}})})
	n := newCore("g", a, l, 20, 100, rand.New(rand.NewPCG(1, 1)), 0)
	n.now = 200
	n.tick()
	out := n.takeOutputs()
	qt.Assert(t, out.State, qt.DeepEquals, &hardState{Term: 2, Vote: "1"})
	qt.Assert(t, out.EarlyMessages, qt.HasLen, 0)
	qt.Assert(t, out.Messages, qt.HasLen, 1)
}

// Guards against a log that grows without a bound for a slow replica, and against
// one that forgets what a replica needs after the snapshot that it is being sent.
func TestKeepAfter(t *testing.T) {
	tests := map[string]struct {
		snapshot, keep Index
		needed         []Index
		want           Index
	}{
		"nobody is behind":           {1000, 100, []Index{1000, 950}, 900},
		"no other replica":           {1000, 100, nil, 900},
		"one takes a snapshot":       {1000, 100, []Index{1000, 600}, 600},
		"one is very far behind":     {1000, 100, []Index{20}, 200},
		"log is shorter than that":   {300, 100, []Index{20}, 20},
		"log is shorter than keep":   {50, 100, nil, 0},
		"everything is still needed": {50, 100, []Index{0}, 0},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, retentionIndex(x.snapshot, x.keep, x.needed), qt.Equals, x.want)
		})
	}
}

// Guards against a leader that forgets the entries after a snapshot while it sends
// it, and against one that keeps them for a replica that does not answer.
func TestEntriesAfterSentSnapshotAreKept(t *testing.T) {
	n, b := newElectedLeader(t)
	p := n.leading.peers[b.Identity]
	n.step(Message{Kind: KindAppendReply, Group: "g", From: b, To: n.self, Term: 4, Match: 3})
	for range 20 {
		_, _, err := n.propose(nil)
		qt.Assert(t, err, qt.IsNil)
	}
	n.step(Message{Kind: KindAppendReply, Group: "g", From: b, To: n.self, Term: 4, Match: 23})
	n.takeOutputs()
	n.markPersisted()
	p.snapshotToSend = &Snapshot{Index: 10, Term: 4}
	n.compact(&Snapshot{Index: 20, Term: 4}, 4)
	qt.Assert(t, n.log.base, qt.Equals, Index(10))
	qt.Assert(t, n.snapshotsInTransfer(), qt.DeepEquals, []Index{10})
	n.now += n.electionTimeout
	n.compact(&Snapshot{Index: 22, Term: 4}, 4)
	qt.Assert(t, n.log.base, qt.Equals, Index(18))
	qt.Assert(t, n.snapshotsInTransfer(), qt.HasLen, 0)
}
