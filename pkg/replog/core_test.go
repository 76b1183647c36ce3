package replog

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// elected returns the leader of term 4 in a group of a, b and c, whose log holds
// the membership and one entry of term 2.
func elected(t *testing.T) (*core, Member) {
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
		n.take()
		n.persisted()
		n.step(Message{Kind: k, Group: "g", From: b, To: a, Term: term, Round: 4})
	}
	reply(KindPreVoteReply, 3)
	reply(KindVoteReply, 4)
	n.take()
	n.persisted()
	qt.Assert(t, n.role, qt.Equals, Leader)
	return n, b
}

// Guards against counting copies of an older term's entry as committed: a later
// leader may still replace it.
func TestCommitNeedsEntryOfOwnTerm(t *testing.T) {
	n, b := elected(t)
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
	n, b := elected(t)
	answer := func(match Index, round uint64) []confirmation {
		n.step(Message{Kind: KindAppendReply, Group: "g", From: b, To: n.self, Term: 4, Match: match, Round: round})
		return n.take().Confirmed
	}
	n.confirm(1)
	qt.Assert(t, n.take().Confirmed, qt.HasLen, 0)
	qt.Assert(t, answer(2, 0), qt.HasLen, 0)
	qt.Assert(t, answer(3, 1), qt.HasLen, 0, qt.Commentf("round 1 has not begun"))
	qt.Assert(t, answer(3, 0), qt.HasLen, 0)
	qt.Assert(t, answer(3, 0), qt.HasLen, 0)
	qt.Assert(t, answer(3, 1), qt.HasLen, 1)
	n.confirm(2)
	qt.Assert(t, n.take().Confirmed, qt.HasLen, 0)
	qt.Assert(t, answer(3, 1), qt.HasLen, 0)
	qt.Assert(t, answer(3, 2), qt.HasLen, 1)
}
