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
// with a disk, a damaged log that is read as a whole one, a status that promises
// more than can be borne, and a replica that goes on after its disk is full.
func TestFaultsDisk(t *testing.T) {
	t.Parallel() // no bound on time
	f := startFaults(t, map[wire.ServiceName]cluster.Service{"catalogue": {Targets: 2, ChecksGrants: true}, "pledges": {Targets: 2}})
	d := &disks{faults: f, revision: 1, epochs: make(map[string]wire.FencingToken)}
	d.emptyThenLoseAnother(f.follower())
	d.emptyThenLoseAnother(f.leader())
	d.tornTail(f.follower())
	d.flippedByte(f.follower())
	d.loseAll()
	d.full(f.leader())
	f.finish(nil)
}

// disks tracks what was acknowledged.
type disks struct {
	*faults
	revision wire.Revision
	epochs   map[string]wire.FencingToken
}

func (f *faults) follower() *cluster.Replica {
	f.t.Helper()
	leader := f.leader()
	i := slices.IndexFunc(f.Replicas, func(r *cluster.Replica) bool { return r != leader })
	return f.Replicas[i]
}

// apply commits a revision, which must be the next one.
func (d *disks) apply() {
	d.t.Helper()
	qt.Assert(d.t, d.Apply(d.ctx, d.config), qt.IsNil)
	d.revision++
	d.await("the next revision", func(s wire.StatusResponse) bool {
		qt.Assert(d.t, s.Revision, qt.Equals, d.revision)
		return true
	})
}

// assignments checks that no epoch has gone back.
func (d *disks) assignments() {
	d.t.Helper()
	for _, k := range []string{faultKey(0), faultKey(1), faultKey(2)} {
		r := command(d.t, d.Cluster, "owner", "catalogue", k, "--output", "json")
		r.assert(d.t, operator.ExitOK, "")
		var o wire.OwnerResponse
		qt.Assert(d.t, json.Unmarshal([]byte(r.out), &o), qt.IsNil)
		qt.Assert(d.t, o.Partition.FencingToken >= max(d.epochs[k], 1), qt.IsTrue, qt.Commentf("%s: epoch %d after %d", k, o.Partition.FencingToken, d.epochs[k]))
		d.epochs[k] = o.Partition.FencingToken
	}
}

// cannotLoseOne waits for the status that warns. A replica counts as heard for
// one election timeout after it has gone.
func (d *disks) cannotLoseOne() {
	d.t.Helper()
	d.await("no further replica can be lost", func(s wire.StatusResponse) bool { return !s.CanLoseOne })
}

// returned starts a replica and waits until the status says that one more can
// be lost.
func (d *disks) returned(r *cluster.Replica) {
	d.t.Helper()
	qt.Assert(d.t, r.Start(d.ctx), qt.IsNil)
	d.await("one more replica can be lost", func(s wire.StatusResponse) bool { return s.CanLoseOne })
}

// emptyThenLoseAnother replaces a disk, and loses a second replica at the moment
// at which the status says that this can be borne.
func (d *disks) emptyThenLoseAnother(r *cluster.Replica) {
	d.t.Helper()
	d.apply()
	d.assignments()
	r.Kill()
	qt.Assert(d.t, os.RemoveAll(r.DataFolder), qt.IsNil)
	d.cannotLoseOne()
	d.returned(r)
	i := slices.IndexFunc(d.Replicas, func(v *cluster.Replica) bool { return v != r })
	second := d.Replicas[i]
	second.Kill()
	d.cannotLoseOne()
	d.apply()
	d.assignments()
	d.returned(second)
}

// segment returns the newest file of a replica's log.
func (d *disks) segment(r *cluster.Replica) (string, []byte) {
	d.t.Helper()
	names, err := filepath.Glob(filepath.Join(r.DataFolder, "*.log"))
	qt.Assert(d.t, err, qt.IsNil)
	qt.Assert(d.t, len(names) > 0, qt.IsTrue)
	data, err := os.ReadFile(slices.Max(names))
	qt.Assert(d.t, err, qt.IsNil)
	return slices.Max(names), data
}

// tornTail leaves the first part of a record at the end of the log, as a crash
// in the middle of a write does.
func (d *disks) tornTail(r *cluster.Replica) {
	d.t.Helper()
	r.Kill()
	name, data := d.segment(r)
	torn := slices.Concat(data, data[:20])
	qt.Assert(d.t, os.WriteFile(name, torn, 0o600), qt.IsNil)
	d.returned(r)
	_, after := d.segment(r)
	qt.Assert(d.t, bytes.HasPrefix(after, data), qt.IsTrue)
	qt.Assert(d.t, bytes.HasPrefix(after, torn), qt.IsFalse)
	d.apply()
	d.assignments()
}

// flippedByte damages a record in the middle of the log: the process must not
// start, and name the place.
func (d *disks) flippedByte(r *cluster.Replica) {
	d.t.Helper()
	r.Kill()
	name, data := d.segment(r)
	damaged := bytes.Clone(data)
	damaged[len(data)/2] ^= 0x55
	qt.Assert(d.t, os.WriteFile(name, damaged, 0o600), qt.IsNil)
	qt.Assert(d.t, r.Start(d.ctx), qt.ErrorMatches, ".*ended at once.*")
	qt.Assert(d.t, d.Logs(), qt.Contains, "data folder is corrupt: "+name+": offset ")
	d.cannotLoseOne()
	d.apply()
	qt.Assert(d.t, os.WriteFile(name, data, 0o600), qt.IsNil)
	d.returned(r)
	d.assignments()
}

// loseAll kills all control replicas at once; what was acknowledged is there
// when they return.
func (d *disks) loseAll() {
	d.t.Helper()
	d.apply()
	for _, r := range d.Replicas {
		r.Kill()
	}
	for _, r := range d.Replicas {
		qt.Assert(d.t, r.Start(d.ctx), qt.IsNil)
	}
	d.ready()
	d.apply()
	d.assignments()
}

const (
	// segmentBytes is the size at which the log starts its next segment.
	segmentBytes = 8 << 20
	// largeBytes of a response are kept with the record of its operation; less
	// than the limit of 32 KiB.
	largeBytes = 30000
	// largeOperations fill a segment: a body takes 4/3 of its size in the log.
	largeOperations = segmentBytes / largeBytes
)

// full lets the disk of a replica be full when it begins its next segment: the
// process must stop, and the others go on with all that was acknowledged.
func (d *disks) full(r *cluster.Replica) {
	d.t.Helper()
	name, _ := d.segment(r)
	next := strings.TrimSuffix(name, "1.log") + "2.log.temporary"
	qt.Assert(d.t, os.Symlink("/dev/full", next), qt.IsNil)
	d.largeOperations()
	select {
	case <-r.Ended():
	case <-d.ctx.Done():
		d.t.Fatal("the replica with the full disk goes on")
	}
	qt.Assert(d.t, d.Logs(), qt.Contains, "storage failed: create segment")
	d.cannotLoseOne()
	d.apply()
	qt.Assert(d.t, os.Remove(next), qt.IsNil)
	d.returned(r)
	d.assignments()
}

func (d *disks) largeOperations() {
	var group sync.WaitGroup
	slots := make(chan struct{}, 8)
	for range largeOperations {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			d.settle(d.ctx, d.request(http.MethodPost, "pledges", fmt.Sprintf("&bytes=%d", largeBytes)))
		})
	}
	group.Wait()
}
