package replog

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// applier feeds the state machine in its own goroutine, so that a slow machine
// or a large snapshot does not delay heartbeats.
type applier struct {
	o       Options
	store   *store
	input   chan []task
	reports chan report

	applied    Index
	snapshotAt Index
	membership Membership
	initial    []Member
}

// task is work for the state machine, and the proposal that waits for it.
type task struct {
	work
	proposal *proposal
}

// report tells the loop how far the state machine is. Snapshot is set when a new
// one is durable.
type report struct {
	applied  Index
	snapshot *Snapshot
	err      error
}

func newApplier(o Options, s *store) *applier {
	return &applier{o: o, store: s, input: make(chan []task), reports: make(chan report)}
}

// run ends with its context. After an error it reports the error and ends.
func (a *applier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case ts := <-a.input:
			r := a.handle(ts)
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

func (a *applier) handle(ts []task) report {
	for _, t := range ts {
		if t.Restore != nil {
			if err := a.restore(t.Restore); err != nil {
				return report{err: err}
			}
			continue
		}
		a.apply(t)
	}
	s, err := a.snapshot(ts)
	return report{a.applied, s, err}
}

func (a *applier) restore(s *Snapshot) error {
	if err := a.o.Restore(s.Data); err != nil {
		return merry.Wrap(ErrState, merry.WithCause(err), merry.AppendMessagef("restore snapshot %d: %v", s.Index, err))
	}
	a.applied, a.snapshotAt = s.Index, s.Index
	a.membership, a.initial = s.Membership, s.Initial
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
		result := a.o.Apply(n)
		if t.proposal != nil {
			t.proposal.finish(result, nil)
		}
	}
}

// snapshot takes a snapshot if one is due after the tasks.
func (a *applier) snapshot(ts []task) (*Snapshot, error) {
	if a.applied < a.snapshotAt+Index(a.o.SnapshotEvery) {
		return nil, nil
	}
	b, err := a.o.Snapshot()
	if err != nil {
		return nil, merry.Wrap(ErrState, merry.WithCause(err), merry.AppendMessagef("take snapshot: %v", err))
	}
	if len(b) > maxSnapshotBytes {
		return nil, merry.Wrap(ErrState, merry.AppendMessagef("snapshot has %d bytes, at most %d", len(b), maxSnapshotBytes))
	}
	last := ts[len(ts)-1].Entry
	s := &Snapshot{Index: a.applied, Term: last.Term, Membership: a.membership, Initial: a.initial, Data: b}
	if err := a.store.saveSnapshot(s); err != nil {
		return nil, err
	}
	a.snapshotAt = s.Index
	return s, nil
}
