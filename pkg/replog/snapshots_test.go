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

// blockedSnapshots lets file operations on snapshots wait, and then fail if it says so.
type blockedSnapshots struct {
	reached  chan struct{}
	release  chan error
	disabled atomic.Bool
}

func (s *blockedSnapshots) files() files {
	f := osFiles()
	create := f.Create
	f.Create = func(p string) (file, error) {
		w, err := create(p)
		if err != nil || !strings.Contains(p, snapshotSuffix) || s.disabled.Load() {
			return w, err
		}
		sync := w.Sync
		w.Sync = func() error {
			s.reached <- struct{}{}
			return errors.Join(<-s.release, sync())
		}
		return w, nil
	}
	return f
}

// Guards against entries, confirmations or a second snapshot that wait for the
// fsync of a snapshot, against a replica that goes on after a snapshot could not
// be written, and against a planned stop or a start that trips over an
// unfinished one.
func TestSnapshotIsWrittenBeside(t *testing.T) {
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
			s := &blockedSnapshots{reached: make(chan struct{}, 100), release: make(chan error)}
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
			<-s.reached
			qt.Assert(t, len(s.reached), qt.Equals, 0, qt.Commentf("snapshots written at the same time"))
			qt.Assert(t, l.Status().SnapshotIndex, qt.Equals, Index(0))
			s.release <- x.err
			if x.want != nil {
				qt.Assert(t, errors.Is(<-l.Done(), x.want), qt.IsTrue)
				return
			}
			// The next one is cut short by a planned stop.
			propose()
			<-s.reached
			qt.Assert(t, l.Status().SnapshotIndex > 0, qt.IsTrue)
			s.disabled.Store(true)
			l.stop()
			s.release <- nil
			qt.Assert(t, <-l.Done(), qt.IsNil)
			again := n.open(t, "a", folder, osFiles())
			qt.Assert(t, <-n.leaders, qt.Equals, again)
			_, _, err := again.ReadIndex(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again.allCommands(), qt.HasLen, 6*n.snapshotEvery)
		})
	}
}

// Guards against a snapshot that cannot be encoded and is taken for written.
func TestFailedEncodingEndsReplica(t *testing.T) {
	j := &saveJob{snapshot: &Snapshot{Index: 1}, encode: func() ([]byte, error) { return nil, errDisk }}
	qt.Assert(t, errors.Is(j.run(context.Background(), nil), ErrInconsistentState), qt.IsTrue)
}

// Guards against two snapshots at a time, a queue that grows, and one from the
// leader that waits for one of this replica's own.
func TestSaveQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q saveQueue
		var index Index
		var install, captured *saveJob
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			index++
			switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case kind == 0:
				install = &saveJob{snapshot: &Snapshot{Index: index}}
				q.add(install)
			case kind == 1 && q.canCapture():
				captured = &saveJob{snapshot: &Snapshot{Index: index}, encode: func() ([]byte, error) { return nil, nil }}
				q.add(captured)
			case kind == 2 && q.next() != nil:
				want := install
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
					install = nil
				}
			case kind == 3 && q.running != nil:
				q.finish()
			}
			if q.canCapture() && q.running != nil && q.running.isLocal() {
				t.Fatal("captures a second snapshot")
			}
		}
	})
}
