package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/operator"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// Guards against acknowledged operations, assignments or revisions that are lost
// with a disk, a damaged log that is accepted as intact, a status that reports
// CanLoseOne although the loss of a replica would lose the majority, and a replica
// that keeps running after its disk is full.
func TestFaultsDisk(t *testing.T) {
	t.Parallel() // checks no time limits
	f := startFaults(t, map[wire.ServiceName]cluster.Service{"catalogue": {Targets: 2, ChecksGrants: true}, "pledges": {Targets: 2}})
	d := &diskTest{faults: f, revision: 1, fencingTokens: make(map[string]wire.FencingToken)}
	d.replaceDiskThenLoseAnother(f.follower())
	d.replaceDiskThenLoseAnother(f.leader())
	d.tearTail(f.follower())
	d.corruptRecord(f.follower())
	d.killAllReplicas()
	d.fillDisk(f.leader())
	f.finish(nil)
}

// diskTest tracks the newest acknowledged revision, and the fencing token of each
// key.
type diskTest struct {
	*faults
	revision      wire.Revision
	fencingTokens map[string]wire.FencingToken
}

// follower returns a replica that does not lead.
func (f *faults) follower() *cluster.Replica {
	f.t.Helper()
	leader := f.leader()
	i := slices.IndexFunc(f.Replicas, func(r *cluster.Replica) bool { return r != leader })
	return f.Replicas[i]
}

// apply commits a revision, which must be the next one.
func (d *diskTest) apply() {
	d.t.Helper()
	qt.Assert(d.t, d.Apply(d.ctx, d.config), qt.IsNil)
	d.revision++
	d.await("the next revision", func(s wire.StatusResponse) bool {
		qt.Assert(d.t, s.Revision, qt.Equals, d.revision)
		return true
	})
}

// checkFencingTokens checks that no fencing token has decreased.
func (d *diskTest) checkFencingTokens() {
	d.t.Helper()
	for _, k := range []string{faultKey(0), faultKey(1), faultKey(2)} {
		r := runCommand(d.t, d.Cluster, "owner", "catalogue", k, "--output", "json")
		r.assert(d.t, operator.ExitOK, "")
		var o wire.OwnerResponse
		qt.Assert(d.t, json.Unmarshal([]byte(r.out), &o), qt.IsNil)
		qt.Assert(d.t, o.Partition.FencingToken >= max(d.fencingTokens[k], 1), qt.IsTrue, qt.Commentf("%s: fencing token %d after %d", k, o.Partition.FencingToken, d.fencingTokens[k]))
		d.fencingTokens[k] = o.Partition.FencingToken
	}
}

// awaitCannotLoseOne waits until the status reports that no further replica can be
// lost. A stopped replica counts as reachable for one election timeout.
func (d *diskTest) awaitCannotLoseOne() {
	d.t.Helper()
	d.await("no further replica can be lost", func(s wire.StatusResponse) bool { return !s.CanLoseOne })
}

// startAndAwaitRedundancy starts a replica and waits until the status reports that
// one more can be lost.
func (d *diskTest) startAndAwaitRedundancy(r *cluster.Replica) {
	d.t.Helper()
	qt.Assert(d.t, r.Start(d.ctx), qt.IsNil)
	d.await("one more replica can be lost", func(s wire.StatusResponse) bool { return s.CanLoseOne })
}

// replaceDiskThenLoseAnother replaces the disk of a replica, and kills another
// replica as soon as the status reports that one more can be lost.
func (d *diskTest) replaceDiskThenLoseAnother(r *cluster.Replica) {
	d.t.Helper()
	d.apply()
	d.checkFencingTokens()
	r.Kill()
	qt.Assert(d.t, os.RemoveAll(r.DataFolder), qt.IsNil)
	d.awaitCannotLoseOne()
	d.startAndAwaitRedundancy(r)
	i := slices.IndexFunc(d.Replicas, func(v *cluster.Replica) bool { return v != r })
	second := d.Replicas[i]
	second.Kill()
	d.awaitCannotLoseOne()
	d.apply()
	d.checkFencingTokens()
	d.startAndAwaitRedundancy(second)
}

// newestSegment returns the newest file of a replica's log.
func (d *diskTest) newestSegment(r *cluster.Replica) (string, []byte) {
	d.t.Helper()
	names, err := filepath.Glob(filepath.Join(r.DataFolder, "*.log"))
	qt.Assert(d.t, err, qt.IsNil)
	qt.Assert(d.t, len(names) > 0, qt.IsTrue)
	data, err := os.ReadFile(slices.Max(names))
	qt.Assert(d.t, err, qt.IsNil)
	return slices.Max(names), data
}

// tearTail appends the first part of a record to the log, as a crash during a
// write does. The replica must truncate it and start.
func (d *diskTest) tearTail(r *cluster.Replica) {
	d.t.Helper()
	r.Kill()
	name, data := d.newestSegment(r)
	torn := slices.Concat(data, data[:20])
	qt.Assert(d.t, os.WriteFile(name, torn, 0o600), qt.IsNil)
	d.startAndAwaitRedundancy(r)
	_, after := d.newestSegment(r)
	qt.Assert(d.t, bytes.HasPrefix(after, data), qt.IsTrue)
	qt.Assert(d.t, bytes.HasPrefix(after, torn), qt.IsFalse)
	d.apply()
	d.checkFencingTokens()
}

// corruptRecord damages a record in the middle of the log. The process must fail
// to start and log the file and the offset.
func (d *diskTest) corruptRecord(r *cluster.Replica) {
	d.t.Helper()
	r.Kill()
	name, data := d.newestSegment(r)
	damaged := bytes.Clone(data)
	damaged[len(data)/2] ^= 0x55
	qt.Assert(d.t, os.WriteFile(name, damaged, 0o600), qt.IsNil)
	qt.Assert(d.t, r.Start(d.ctx), qt.ErrorMatches, ".*ended at once.*")
	qt.Assert(d.t, d.Logs(), qt.Contains, "data folder is corrupt: "+name+": offset ")
	d.awaitCannotLoseOne()
	d.apply()
	qt.Assert(d.t, os.WriteFile(name, data, 0o600), qt.IsNil)
	d.startAndAwaitRedundancy(r)
	d.checkFencingTokens()
}

// killAllReplicas kills and restarts all control replicas at once. All acknowledged
// changes must survive.
func (d *diskTest) killAllReplicas() {
	d.t.Helper()
	d.apply()
	for _, r := range d.Replicas {
		r.Kill()
	}
	for _, r := range d.Replicas {
		qt.Assert(d.t, r.Start(d.ctx), qt.IsNil)
	}
	d.awaitReady()
	d.apply()
	d.checkFencingTokens()
}

const (
	// segmentBytes is the size at which the log starts its next segment.
	segmentBytes = 8 << 20
	// largeResponseBytes is the size of a response that is stored with the record
	// of its operation. It is below the limit of 32 KiB.
	largeResponseBytes = 30000
	// largeOperationCount is enough operations to fill a segment: a body takes 4/3
	// of its size in the log.
	largeOperationCount = segmentBytes / largeResponseBytes
)

// fillDisk simulates a full disk when a replica creates its next segment. The
// process must stop, and the other replicas must keep all acknowledged changes.
func (d *diskTest) fillDisk(r *cluster.Replica) {
	d.t.Helper()
	name, _ := d.newestSegment(r)
	next := strings.TrimSuffix(name, "1.log") + "2.log.temporary"
	qt.Assert(d.t, os.Symlink("/dev/full", next), qt.IsNil)
	d.sendLargeOperations()
	select {
	case <-r.Ended():
	case <-d.ctx.Done():
		d.t.Fatal("the replica with the full disk keeps running")
	}
	qt.Assert(d.t, d.Logs(), qt.Contains, "storage failed: create segment")
	d.awaitCannotLoseOne()
	d.apply()
	qt.Assert(d.t, os.Remove(next), qt.IsNil)
	d.startAndAwaitRedundancy(r)
	d.checkFencingTokens()
}

// sendLargeOperations sends enough operations with large responses to fill a log
// segment.
func (d *diskTest) sendLargeOperations() {
	var group sync.WaitGroup
	slots := make(chan struct{}, 8)
	for range largeOperationCount {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			d.sendUntilFinal(d.ctx, d.request(http.MethodPost, "pledges", fmt.Sprintf("&bytes=%d", largeResponseBytes)))
		})
	}
	group.Wait()
}
