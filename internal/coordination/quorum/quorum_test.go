package quorum

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// start runs a replica that is its own only seed.
func start(t *testing.T, folder string, firstStart bool) *Quorum {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := message.Address(l.Addr().String())
	q := New(Options{
		Name: "core-1", Address: address, DataFolder: folder, Seeds: []message.Address{address}, FirstStart: firstStart, VoterCount: 1,
		Machine: StateMachine{
			Apply:   func(replog.Entry) any { return nil },
			Capture: func() (func() ([]byte, error), error) { return func() ([]byte, error) { return nil, nil }, nil },
			Restore: func([]byte) error { return nil }, Reset: func() {},
		},
		Clock: clock.System(), Log: zerolog.Nop(), OnRole: func(replog.Role, replog.Term) {},
	})
	server := rpc.NewServer()
	q.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	served, ran := make(chan error, 1), make(chan error, 1)
	go func() { served <- server.Serve(ctx, l) }()
	go func() { ran <- q.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-ran, qt.IsNil)
		qt.Check(t, <-served, qt.IsNil)
	})
	return q
}

// eventually waits for a condition. The limit only ends a test that would hang.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func (q *Quorum) leadsAlone() bool {
	s, ok := q.Status()
	return ok && s.Role == replog.Leader
}

// Guards against a group that is founded anew by a replica whose disk was emptied:
// only a replica in its first start founds a group or joins one that is being founded.
func TestOnlyFirstStartFounds(t *testing.T) {
	q := start(t, t.TempDir(), false)
	eventually(t, "the log is open", func() bool { _, ok := q.Status(); return ok })
	id, err := q.identity(t.Context(), message.IdentityRequest{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, id.Empty, qt.IsTrue)
	qt.Assert(t, id.FirstStart, qt.IsFalse)
	_, err = q.join(t.Context(), message.BootstrapRequest{Members: []message.ReplicaMember{id.Member}})
	qt.Assert(t, rpc.IsCode(err, rpc.CodeRefused), qt.IsTrue)
	s, _ := q.Status()
	qt.Assert(t, s.Voters, qt.HasLen, 0)
}

// Guards against a mesh that cannot be founded because a seed was restarted before.
func TestFirstStartOutlivesARestart(t *testing.T) {
	folder := t.TempDir()
	qt.Assert(t, os.WriteFile(filepath.Join(folder, firstStartMark), nil, 0o600), qt.IsNil)
	q := start(t, folder, false)
	eventually(t, "the group is founded", q.leadsAlone)
}

// Guards against a disk fault that ends the process, and against a replica that stays
// out after the disk has recovered.
func TestDiskFaultIsOutlived(t *testing.T) {
	folder := t.TempDir()
	// A file where the folder of the log should be fails each attempt to open it.
	obstacle := filepath.Join(folder, "log")
	qt.Assert(t, os.WriteFile(obstacle, nil, 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(filepath.Join(folder, firstStartMark), nil, 0o600), qt.IsNil)
	q := start(t, folder, false)
	_, err := q.Propose(t.Context(), []byte("x"))
	qt.Assert(t, rpc.IsCode(err, rpc.CodeUnavailable), qt.IsTrue)
	qt.Assert(t, os.Remove(obstacle), qt.IsNil)
	eventually(t, "the log is open again", q.leadsAlone)
}
