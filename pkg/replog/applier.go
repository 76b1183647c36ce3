package replog

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// applier runs the state machine in its own goroutine, so that a slow state machine
// does not delay heartbeats.
type applier struct {
	options Options
	input   chan taskBatch
	reports chan applyReport

	appliedIndex      Index
	lastSnapshotIndex Index
	// bytesSinceSnapshot is the size of the entries applied since the last snapshot.
	bytesSinceSnapshot int
	membership         Membership
	initialMembers     []Member
}

// task is an input for the state machine and the proposal that waits for its
// result, if any.
type task struct {
	machineInput
	proposal *proposal
}

// taskBatch contains the tasks that the applier handles before its next report.
type taskBatch struct {
	tasks []task
	// canCapture allows the applier to capture a snapshot after the tasks.
	canCapture bool
	// logBytes is the size of entries that makes a snapshot due.
	logBytes int
}

// applyReport is the result of a taskBatch.
type applyReport struct {
	appliedIndex Index
	// captured is nil if no snapshot was captured.
	captured *saveJob
	err      error
}

func newApplier(options Options) *applier {
	return &applier{options: options, input: make(chan taskBatch), reports: make(chan applyReport)}
}

// run handles batches until ctx is cancelled or a batch fails.
func (a *applier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-a.input:
			r := a.handle(b)
			select {
			case a.reports <- r:
			case <-ctx.Done():
				return
			}
			if r.err != nil {
				return
			}
		}
	}
}

func (a *applier) handle(b taskBatch) applyReport {
	for _, t := range b.tasks {
		if t.Restore != nil {
			if err := a.restore(t.Restore); err != nil {
				return applyReport{err: err}
			}
			continue
		}
		a.apply(t)
	}
	if !b.canCapture || !a.isSnapshotDue(b.logBytes) {
		return applyReport{appliedIndex: a.appliedIndex}
	}
	j, err := a.capture(b.tasks[len(b.tasks)-1].Entry.Term)
	return applyReport{a.appliedIndex, j, err}
}

func (a *applier) isSnapshotDue(logBytes int) bool {
	return a.appliedIndex >= a.lastSnapshotIndex+Index(a.options.SnapshotEvery) || a.bytesSinceSnapshot >= logBytes
}

func (a *applier) restore(s *Snapshot) error {
	if err := a.options.Restore(s.Data); err != nil {
		return merry.Wrap(ErrInconsistentState, merry.WithCause(err), merry.AppendMessagef("restore snapshot %d: %v", s.Index, err))
	}
	a.appliedIndex, a.lastSnapshotIndex, a.bytesSinceSnapshot = s.Index, s.Index, 0
	a.membership, a.initialMembers = s.Membership, s.InitialMembers
	return nil
}

func (a *applier) apply(t task) {
	n := t.Entry
	a.appliedIndex = n.Index
	a.bytesSinceSnapshot += len(n.Data)
	switch n.Kind {
	case EntryMembership:
		// The core has already decoded this entry without an error.
		a.membership, _ = decodeMembership(n.Data)
		if n.Index == 1 {
			a.initialMembers = a.membership.Voters
		}
	case EntryCommand:
		result := a.options.Apply(n)
		if t.proposal != nil {
			t.proposal.finish(result, nil)
		}
	}
}

// capture captures a snapshot of the state after the last applied entry, whose term
// is t.
func (a *applier) capture(t Term) (*saveJob, error) {
	encode, err := a.options.Snapshot()
	if err != nil {
		return nil, merry.Wrap(ErrInconsistentState, merry.WithCause(err), merry.AppendMessagef("capture snapshot: %v", err))
	}
	a.lastSnapshotIndex, a.bytesSinceSnapshot = a.appliedIndex, 0
	s := &Snapshot{Index: a.appliedIndex, Term: t, Membership: a.membership, InitialMembers: a.initialMembers}
	return &saveJob{snapshot: s, encode: encode}, nil
}
