package replog

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// applier feeds the state machine in its own goroutine, so that a slow machine
// does not delay heartbeats.
type applier struct {
	options Options
	input   chan taskBatch
	reports chan applyReport

	applied           Index
	lastSnapshotIndex Index
	membership        Membership
	initial           []Member
}

// task is work for the state machine, and the proposal that waits for it.
type task struct {
	machineInput
	proposal *proposal
}

// taskBatch is what the applier handles before it reports.
type taskBatch struct {
	tasks []task
	// canCapture allows a snapshot, if one is due after the tasks.
	canCapture bool
}

// applyReport tells the loop how far the state machine is. Taken is set when a
// snapshot was captured.
type applyReport struct {
	applied  Index
	captured *saveJob
	err      error
}

func newApplier(options Options) *applier {
	return &applier{options: options, input: make(chan taskBatch), reports: make(chan applyReport)}
}

// run ends with its context. After an error it reports the error and ends.
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
	if !b.canCapture || a.applied < a.lastSnapshotIndex+Index(a.options.SnapshotEvery) {
		return applyReport{applied: a.applied}
	}
	j, err := a.capture(b.tasks[len(b.tasks)-1].Entry.Term)
	return applyReport{a.applied, j, err}
}

func (a *applier) restore(s *Snapshot) error {
	if err := a.options.Restore(s.Data); err != nil {
		return merry.Wrap(ErrInconsistentState, merry.WithCause(err), merry.AppendMessagef("restore snapshot %d: %v", s.Index, err))
	}
	a.applied, a.lastSnapshotIndex = s.Index, s.Index
	a.membership, a.initial = s.Membership, s.InitialMembers
	return nil
}

func (a *applier) apply(t task) {
	n := t.Entry
	a.applied = n.Index
	switch n.Kind {
	case EntryMembership:
		// The core has checked the encoding.
		a.membership, _ = decodeMembership(n.Data)
		if n.Index == 1 {
			a.initial = a.membership.Voters
		}
	case EntryCommand:
		result := a.options.Apply(n)
		if t.proposal != nil {
			t.proposal.finish(result, nil)
		}
	}
}

// capture takes the state after the last applied entry, which has the given
// term.
func (a *applier) capture(t Term) (*saveJob, error) {
	encode, err := a.options.Snapshot()
	if err != nil {
		return nil, merry.Wrap(ErrInconsistentState, merry.WithCause(err), merry.AppendMessagef("take snapshot: %v", err))
	}
	a.lastSnapshotIndex = a.applied
	s := &Snapshot{Index: a.applied, Term: t, Membership: a.membership, InitialMembers: a.initial}
	return &saveJob{snapshot: s, encode: encode}, nil
}
