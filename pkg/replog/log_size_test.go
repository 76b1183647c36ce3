package replog

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// maxFolderBytes is a quarter of the smallest disk of a core host, which has 256 MB.
const maxFolderBytes = 64 << 20

// Guards against replicas that all run out of disk or memory, and again after each restart,
// because the log keeps a number of entries whatever their size.
func TestLargeEntriesAreCompacted(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "log")
	ctx, stop := context.WithCancel(context.Background())
	r, err := Open(ctx, Options{
		Folder: folder, Group: "g", Name: "a", Clock: clock.System(), Random: rand.New(rand.NewPCG(1, 0)),
		HeartbeatEvery: 20, ElectionTimeout: 200, SnapshotEvery: 1000,
		Send: func(Message) {}, Apply: func(Entry) any { return nil }, OnRoleChange: func(Role, Term) {},
		Snapshot: func() (func() ([]byte, error), error) { return func() ([]byte, error) { return nil, nil }, nil },
		Restore:  func([]byte) error { return nil },
	})
	qt.Assert(t, err, qt.IsNil)
	defer func() { stop(); <-r.Done() }()
	qt.Assert(t, r.Bootstrap([]Member{r.Status().Self}), qt.IsNil)
	for r.Status().Role != Leader {
		qt.Assert(t, clock.System().Sleep(t.Context(), 10), qt.IsNil)
	}
	largest := int64(0)
	for range 400 {
		_, err := r.Propose(t.Context(), make([]byte, 256<<10))
		qt.Assert(t, err, qt.IsNil)
		largest = max(largest, folderBytes(t, folder))
	}
	qt.Assert(t, largest <= maxFolderBytes, qt.IsTrue, qt.Commentf("%d MiB", largest>>20))
}

func folderBytes(t *testing.T, folder string) (sum int64) {
	files, err := os.ReadDir(folder)
	qt.Assert(t, err, qt.IsNil)
	for _, f := range files {
		if info, err := f.Info(); err == nil { // otherwise it has just been removed
			sum += info.Size()
		}
	}
	return sum
}
