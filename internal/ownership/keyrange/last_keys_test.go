package keyrange

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
)

// Guards against a slow target with a single busy bucket, which it keeps, that hides the other
// overloaded targets for good.
func TestTargetWithLastKeysDoesNotBlockTheOthers(t *testing.T) {
	a, b, c := incarnation("a"), incarnation("b"), incarnation("c")
	targets, l := equalTargets("a", "b", "c"), &Loads{}
	targets[0].Capacity = 25
	l.add(0, KeysPerBucket-1, 200)
	l.add(KeysPerBucket, 29_999, 600)
	l.add(30_000, Keys-1, 200)
	assignments := []message.Assignment{{From: 0, To: KeysPerBucket - 1, Owner: a}, {From: KeysPerBucket, To: 29_999, Owner: b}, {From: 30_000, To: Keys - 1, Owner: c}}
	assignments, ok := Rebalance(assignments, l, targets)
	qt.Assert(t, ok, qt.IsTrue)
	load, share := loadsAndShares(assignments, l, targets)
	qt.Assert(t, load[b] < 1.2*share[b], qt.IsTrue, qt.Commentf("load %v, share %v", load, share))
	qt.Assert(t, Grants(assignments, a, nil), qt.HasLen, 1)
}
