package share

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a member whose part counts as nothing once its only process was forgotten.
func TestForgottenMemberCountsWithFallbackPart(t *testing.T) {
	l := NewLedger(100, DefaultTerms, 0)
	l.SetMembers([]HolderID{"a", "b"})
	l.Answer("a", Request{Process: 1, Number: 1, Part: 25}, 1)
	l.Answer("b", Request{Process: 1, Number: 1, Part: 25}, 1)
	reply := l.Answer("b", Request{Process: 1, Number: 2, Part: 25}, forgetAfter/2)
	qt.Assert(t, reply.Part, qt.Equals, 25)
	reply = l.Answer("b", Request{Process: 1, Number: 3, Part: 25, Asks: []Ask{{Pool: "p", Amount: 64}}}, forgetAfter+2)
	qt.Assert(t, reply.Grants, qt.DeepEquals, []int{(100 - 25 - 50 + 1) / 2})
}
