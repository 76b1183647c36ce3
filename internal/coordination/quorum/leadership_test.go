package quorum

import (
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// counter returns state machines that count the commands.
func counter() StateMachine {
	n := new(atomic.Int64)
	return StateMachine{
		Apply: func(replog.Entry) any { return n.Add(1) },
		Capture: func() (func() ([]byte, error), error) {
			data := []byte(strconv.FormatInt(n.Load(), 10))
			return func() ([]byte, error) { return data, nil }, nil
		},
		Restore: func(data []byte) error {
			restored, err := strconv.ParseInt(string(data), 10, 64)
			n.Store(restored)
			return err
		},
		State: n,
	}
}

// Guards against calls that go on, after the log was closed and opened again, with an older
// state than they have confirmed, or with a decision of the term before.
func TestLeadershipEndsWithTheLog(t *testing.T) {
	folder, l := t.TempDir(), listen(t)
	q := startReplica(t, l, Options{Name: "core-1", DataFolder: folder, Seeds: []message.Address{message.Address(l.Addr().String())}, FirstStart: true, VoterCount: 1, NewMachine: counter}).Quorum
	eventually(t, "the replica leads", q.isLeader)
	before := q.leadership.Load()
	log := filepath.Join(folder, "log")
	const commands = snapshotInterval - 20
	for range commands {
		_, err := before.Propose(t.Context(), []byte("x"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, os.Rename(log, log+".aside"), qt.IsNil)
	for range 2 * snapshotInterval { // until a snapshot is due, which cannot be written
		if _, err := before.Propose(t.Context(), []byte("x")); err != nil {
			break
		}
	}
	eventually(t, "the log is closed", func() bool { return before.Err() != nil })
	applied := before.State().(*atomic.Int64).Load()
	qt.Assert(t, applied >= commands, qt.IsTrue)
	qt.Assert(t, os.RemoveAll(log), qt.IsNil)
	qt.Assert(t, os.Rename(log+".aside", log), qt.IsNil)
	eventually(t, "the replica leads again", func() bool { return q.isLeader() && q.leadership.Load() != nil })
	after := q.leadership.Load()
	qt.Check(t, after.Term > before.Term, qt.IsTrue)
	_, err := after.Confirm(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, before.State().(*atomic.Int64).Load(), qt.Equals, applied)
	_, err = before.Propose(t.Context(), []byte("x"))
	qt.Check(t, err, qt.IsNotNil)
	_, err = before.Confirm(t.Context())
	qt.Check(t, err, qt.IsNotNil)
	// The same opening of the log, in another term.
	other := *after
	other.Term--
	_, err = other.Propose(t.Context(), []byte("x"))
	qt.Check(t, err, qt.IsNotNil)
	_, err = other.Confirm(t.Context())
	qt.Check(t, err, qt.IsNotNil)
}
