package replog

import (
	"bytes"
	"context"

	"github.com/ansel1/merry/v2"
)

// saveJob is a snapshot to be made durable under a temporary name. It was either
// captured from the local state machine or received from the leader.
type saveJob struct {
	snapshot *Snapshot
	// encode returns the data of a local snapshot.
	encode func() ([]byte, error)
	// chunks are the data of a snapshot from the leader.
	chunks [][]byte
	// obsolete are files of older snapshots to be removed first. The saver removes
	// them because the removal of a large file would block the loop.
	obsolete []string
}

// isLocal reports whether the snapshot was captured from the local state machine.
func (j *saveJob) isLocal() bool { return j.encode != nil }

// run removes the obsolete files, then encodes and writes the snapshot. It returns
// early if ctx is cancelled during the write.
func (j *saveJob) run(ctx context.Context, s *store) error {
	for _, n := range j.obsolete {
		if err := s.files.Remove(s.path(n)); err != nil {
			return storageError("remove snapshot", err)
		}
	}
	if err := j.encodeData(); err != nil {
		return err
	}
	return s.writeSnapshot(ctx, j.snapshot)
}

// encodeData sets the snapshot's Data.
func (j *saveJob) encodeData() error {
	if !j.isLocal() {
		j.snapshot.Data, j.chunks = bytes.Join(j.chunks, nil), nil
		return nil
	}
	data, err := j.encode()
	if err != nil {
		return merry.Wrap(ErrInconsistentState, merry.WithCause(err), merry.AppendMessagef("encode snapshot: %v", err))
	}
	if len(data) > maxSnapshotBytes {
		return merry.Wrap(ErrInconsistentState, merry.AppendMessagef("snapshot too large: %d bytes, maximum %d", len(data), maxSnapshotBytes))
	}
	j.snapshot.Data = data
	return nil
}

// saveQueue contains the snapshots to be made durable, which are written one at a
// time.
type saveQueue struct {
	// running is being written.
	running *saveJob
	// fromLeader and captured are the queued snapshots, at most one of each kind.
	fromLeader *saveJob
	captured   *saveJob
	// obsolete are files that the next job removes.
	obsolete []string
}

// canCapture reports whether the state machine may capture another snapshot.
func (q *saveQueue) canCapture() bool {
	return q.captured == nil && (q.running == nil || !q.running.isLocal())
}

// add queues a snapshot. It replaces a queued one of the same kind, which is older.
func (q *saveQueue) add(j *saveJob) {
	if j.isLocal() {
		q.captured = j
		return
	}
	q.fromLeader = j
}

// next returns the snapshot to write next, or nil if there is none or if one is
// being written. A snapshot from the leader comes first, because this replica
// cannot continue without it.
func (q *saveQueue) next() *saveJob {
	switch {
	case q.running != nil:
		return nil
	case q.fromLeader != nil:
		return q.fromLeader
	}
	return q.captured
}

// start marks the snapshot returned by next as running and returns it.
func (q *saveQueue) start() *saveJob {
	j := q.next()
	q.running = j
	j.obsolete, q.obsolete = q.obsolete, nil
	if j == q.fromLeader {
		q.fromLeader = nil
	} else {
		q.captured = nil
	}
	return j
}

// finish removes the running snapshot and returns it.
func (q *saveQueue) finish() *saveJob {
	j := q.running
	q.running = nil
	return j
}

// saver writes snapshots in its own goroutine, so that large snapshots delay neither
// heartbeats nor the state machine. The loop sends it one job at a time and
// switches to the finished file.
type saver struct {
	store *store
	// input has capacity for one job, so that the loop never blocks.
	input   chan *saveJob
	reports chan error
}

func newSaver(s *store) *saver {
	return &saver{store: s, input: make(chan *saveJob, 1), reports: make(chan error)}
}

// run handles jobs until ctx is cancelled, which also stops a write in progress. The
// next start of the replica removes the unfinished file.
func (v *saver) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-v.input:
			select {
			case v.reports <- j.run(ctx, v.store):
			case <-ctx.Done():
				return
			}
		}
	}
}
