package replog

import (
	"bytes"
	"context"

	"github.com/ansel1/merry/v2"
)

// saveJob is one snapshot to be made durable under a temporary name: one of this
// replica's own state, or one that arrived from the leader.
type saveJob struct {
	snapshot *Snapshot
	// encode returns the data of an own snapshot.
	encode func() ([]byte, error)
	// chunks are the data of a snapshot that arrived.
	chunks [][]byte
	// obsolete are files of older snapshots to be removed first. Removing a large
	// file takes long, so the loop leaves it to the saver.
	obsolete []string
}

// isLocal says whether the snapshot is one of this replica's own state.
func (j *saveJob) isLocal() bool { return j.encode != nil }

// run removes older files, encodes the data and writes the file. The end of ctx
// cuts it short.
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

func (j *saveJob) encodeData() error {
	if !j.isLocal() {
		j.snapshot.Data, j.chunks = bytes.Join(j.chunks, nil), nil
		return nil
	}
	data, err := j.encode()
	if err != nil {
		return merry.Wrap(ErrInconsistentState, merry.WithCause(err), merry.AppendMessagef("take snapshot: %v", err))
	}
	if len(data) > maxSnapshotBytes {
		return merry.Wrap(ErrInconsistentState, merry.AppendMessagef("snapshot has %d bytes, at most %d", len(data), maxSnapshotBytes))
	}
	j.snapshot.Data = data
	return nil
}

// saveQueue orders the snapshots to be made durable, one at a time. It holds at
// most one of each kind besides the one being written.
type saveQueue struct {
	running    *saveJob
	fromLeader *saveJob
	captured   *saveJob
	// obsolete are files that the next job removes.
	obsolete []string
}

// canCapture says whether the state machine may capture another snapshot.
func (q *saveQueue) canCapture() bool {
	return q.captured == nil && (q.running == nil || !q.running.isLocal())
}

// add replaces a waiting snapshot of the same kind, which is older.
func (q *saveQueue) add(j *saveJob) {
	if j.isLocal() {
		q.captured = j
		return
	}
	q.fromLeader = j
}

// next returns the snapshot to be written now, if none is being written. One
// from the leader is first: this replica cannot go on without it.
func (q *saveQueue) next() *saveJob {
	switch {
	case q.running != nil:
		return nil
	case q.fromLeader != nil:
		return q.fromLeader
	}
	return q.captured
}

// start takes the snapshot returned by next as the one being written.
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

// finish returns the snapshot that was being written.
func (q *saveQueue) finish() *saveJob {
	j := q.running
	q.running = nil
	return j
}

// saver writes snapshots in a goroutine of its own, so that neither heartbeats
// nor the state machine wait for it, whatever their size. The loop owns it: it
// gives it one job at a time and switches to the finished file.
type saver struct {
	store *store
	// input has room for the one job, so that the loop never waits.
	input   chan *saveJob
	reports chan error
}

func newSaver(s *store) *saver {
	return &saver{store: s, input: make(chan *saveJob, 1), reports: make(chan error)}
}

// run ends with its context, which also cuts short what is being written. The
// next start removes the unfinished file.
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
