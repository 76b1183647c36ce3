package replog

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// blockedSnapshots blocks the fsync of snapshot files. Each fsync is announced on
// syncStarted and then waits for its result on syncResult. No further files are
// blocked once disabled is true.
type blockedSnapshots struct {
	syncStarted chan struct{}
	syncResult  chan error
	disabled    atomic.Bool
}

func (s *blockedSnapshots) files() fileSystem {
	f := osFiles()
	create := f.Create
	f.Create = func(p string) (writableFile, error) {
		w, err := create(p)
		if err != nil || !strings.Contains(p, snapshotSuffix) || s.disabled.Load() {
			return w, err
		}
		sync := w.Sync
		w.Sync = func() error {
			s.syncStarted <- struct{}{}
			return errors.Join(<-s.syncResult, sync())
		}
		return w, nil
	}
	return f
}

// Guards against proposals and read index requests that wait for the fsync of a
// snapshot, against a second snapshot that is written at the same time, against a
// replica that continues after a snapshot could not be written, and against a planned
// stop or a start that fails because of an unfinished snapshot.
func TestSnapshotWriteDoesNotBlock(t *testing.T) {
	tests := map[string]struct {
		err  error
		want error
	}{
		"written":      {nil, nil},
		"write failed": {errDisk, ErrStorage},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			n := newLocalNetwork()
			s := &blockedSnapshots{syncStarted: make(chan struct{}, 100), syncResult: make(chan error)}
			l := n.open(t, "a", folder, s.files())
			qt.Assert(t, l.Bootstrap([]Member{l.Status().Self}), qt.IsNil)
			<-n.leaders
			propose := func() {
				for range 3 * n.snapshotEvery {
					_, err := l.Propose(t.Context(), []byte("x"))
					qt.Assert(t, err, qt.IsNil)
				}
				_, _, err := l.ReadIndex(t.Context())
				qt.Assert(t, err, qt.IsNil)
			}
			propose()
			<-s.syncStarted
			qt.Assert(t, len(s.syncStarted), qt.Equals, 0, qt.Commentf("snapshots written at the same time"))
			qt.Assert(t, l.Status().SnapshotIndex, qt.Equals, Index(0))
			s.syncResult <- x.err
			if x.want != nil {
				qt.Assert(t, errors.Is(<-l.Done(), x.want), qt.IsTrue)
				return
			}
			// A planned stop interrupts the next snapshot.
			propose()
			<-s.syncStarted
			qt.Assert(t, l.Status().SnapshotIndex > 0, qt.IsTrue)
			s.disabled.Store(true)
			l.stop()
			s.syncResult <- nil
			qt.Assert(t, <-l.Done(), qt.IsNil)
			restarted := n.open(t, "a", folder, osFiles())
			qt.Assert(t, <-n.leaders, qt.Equals, restarted)
			_, _, err := restarted.ReadIndex(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, restarted.allCommands(), qt.HasLen, 6*n.snapshotEvery)
		})
	}
}

// Guards against a snapshot that is reported as written although its encoding failed.
func TestFailedEncodingEndsReplica(t *testing.T) {
	j := &saveJob{snapshot: &Snapshot{Index: 1}, encode: func() ([]byte, error) { return nil, errDisk }}
	qt.Assert(t, errors.Is(j.run(context.Background(), nil), ErrInconsistentState), qt.IsTrue)
}

// Guards against two snapshots written at the same time, a queue that grows, and a
// snapshot from the leader that is queued behind a local one.
func TestSaveQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q saveQueue
		var index Index
		var fromLeader, captured *saveJob
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			index++
			switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case kind == 0:
				fromLeader = &saveJob{snapshot: &Snapshot{Index: index}}
				q.add(fromLeader)
			case kind == 1 && q.canCapture():
				captured = &saveJob{snapshot: &Snapshot{Index: index}, encode: func() ([]byte, error) { return nil, nil }}
				q.add(captured)
			case kind == 2 && q.next() != nil:
				want := fromLeader
				if want == nil {
					want = captured
				}
				q.start()
				if q.running != want || q.next() != nil {
					t.Fatalf("writes %+v, expected %+v", q.running, want)
				}
				if want.isLocal() {
					captured = nil
				} else {
					fromLeader = nil
				}
			case kind == 3 && q.running != nil:
				q.finish()
			}
			if q.canCapture() && q.running != nil && q.running.isLocal() {
				t.Fatal("a second local snapshot may be captured while one is written")
			}
		}
	})
}
