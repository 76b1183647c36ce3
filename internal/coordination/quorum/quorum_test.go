package quorum

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// start runs a replica whose only seed is itself.
func start(t *testing.T, folder string, firstStart bool) *Quorum {
	l := listen(t)
	return startReplica(t, l, Options{Name: "core-1", DataFolder: folder, Seeds: []message.Address{message.Address(l.Addr().String())}, FirstStart: firstStart, VoterCount: 1}).Quorum
}

// eventually waits until a condition is true. The time limit is not part of the check; it
// only ends a test that would hang.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (q *Quorum) isLeader() bool {
	s, ok := q.Status()
	return ok && s.Role == replog.Leader
}

// Guards against a second group that is bootstrapped by a replica that has lost its data:
// only a replica in its first start may bootstrap a group or take part in a bootstrap.
func TestOnlyFirstStartBootstraps(t *testing.T) {
	q := start(t, t.TempDir(), false)
	eventually(t, "the log is open", func() bool { _, ok := q.Status(); return ok })
	id, err := q.identity(t.Context(), message.IdentityRequest{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, id.Empty, qt.IsTrue)
	qt.Assert(t, id.FirstStart, qt.IsFalse)
	_, err = q.bootstrap(t.Context(), message.BootstrapRequest{Members: []message.ReplicaMember{id.Member}})
	qt.Assert(t, rpc.IsCode(err, rpc.CodeRejected), qt.IsTrue)
	s, _ := q.Status()
	qt.Assert(t, s.Voters, qt.HasLen, 0)
}

// Guards against a group that cannot be bootstrapped because a seed was restarted before
// the bootstrap.
func TestFirstStartLastsThroughRestart(t *testing.T) {
	folder := t.TempDir()
	qt.Assert(t, os.WriteFile(filepath.Join(folder, firstStartFile), nil, 0o600), qt.IsNil)
	q := start(t, folder, false)
	eventually(t, "the group is bootstrapped", q.isLeader)
}

// Guards against a disk fault that ends the process, and against a replica that does not
// rejoin the group after the disk has recovered.
func TestLogIsReopenedAfterDiskFault(t *testing.T) {
	folder := t.TempDir()
	// A file in the place of the log's folder makes each attempt to open the log fail.
	obstacle := filepath.Join(folder, "log")
	qt.Assert(t, os.WriteFile(obstacle, nil, 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(filepath.Join(folder, firstStartFile), nil, 0o600), qt.IsNil)
	q := start(t, folder, false)
	_, err := q.identity(t.Context(), message.IdentityRequest{})
	qt.Assert(t, rpc.IsCode(err, rpc.CodeUnavailable), qt.IsTrue)
	qt.Assert(t, os.Remove(obstacle), qt.IsNil)
	eventually(t, "the log is open again", q.isLeader)
}
