package replog

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Limits on what the loop takes on.
const (
	// maxInputsPerBatch inputs of each kind share one write and one round of messages.
	maxInputsPerBatch = 1024
	// maxPendingEntries entries may wait for commit or apply before the loop stops
	// taking proposals, which bounds memory while a majority is lost.
	maxPendingEntries = 16384
)

// loop owns core and store and is the only goroutine that touches them.
type loop struct {
	replica *Replica
	engine  *engine
	applier *applier
	saver   *saver
	saves   saveQueue
	ticks   chan struct{}

	proposals      map[Index]pendingProposal
	reads          map[uint64]*readWaiter
	nextReadID     uint64
	confirmedReads []*readWaiter
	admitRequests  []*admitRequest
	transfers      []chan<- error

	tasks   []task
	applied Index
	err     error

	// stopping is set once a planned stop has begun, and leaving if another
	// replica can take over.
	stopping     bool
	transferring bool
	stopDeadline clock.Millis
}

type pendingProposal struct {
	*proposal
	term Term
}

// admitRequest is a caller of Admit.
type admitRequest struct {
	ctx    context.Context
	member Member
	result chan<- error
}

func newLoop(r *Replica, e *engine) *loop {
	return &loop{
		replica: r, engine: e, applier: newApplier(r.options), saver: newSaver(e.store),
		ticks:     make(chan struct{}, 1),
		proposals: map[Index]pendingProposal{},
		reads:     map[uint64]*readWaiter{},
	}
}

// runTicker wakes the loop at regular intervals until its context ends.
func (n *loop) runTicker(ctx context.Context) {
	o := n.replica.options
	for o.Clock.Sleep(ctx, tickInterval(o)) == nil {
		select {
		case n.ticks <- struct{}{}:
		default:
		}
	}
}

// run handles inputs until a planned stop is complete or an error occurs.
func (n *loop) run(stop context.Context) error {
	for {
		n.waitForInput(stop)
		if n.err != nil {
			return n.err
		}
		n.engine.core.now = n.replica.options.Clock.Now()
		n.drainInputs()
		n.engine.core.tick()
		n.advanceAdmissions()
		if err := n.flush(); err != nil {
			return err
		}
		n.finishTransfers()
		n.publish()
		if n.stopComplete(stop) {
			return nil
		}
	}
}

// waitForInput blocks until there is an input, and handles it if it is none that drain
// takes.
func (n *loop) waitForInput(stop context.Context) {
	r := n.replica
	c := n.engine.core
	proposals := r.proposals.Items()
	if !n.acceptsProposals() {
		proposals = nil
	}
	var tasks chan taskBatch
	if len(n.tasks) > 0 {
		tasks = n.applier.input
	}
	if n.saves.next() != nil {
		n.saver.input <- n.saves.start()
	}
	stopRequested := stop.Done()
	if n.stopping {
		stopRequested = nil
	}
	select {
	case <-n.ticks:
	case <-stopRequested:
	case m := <-r.inbox.Items():
		c.now = r.options.Clock.Now()
		c.step(m)
	case p := <-proposals:
		n.propose(p)
	case w := <-r.reads.Items():
		n.readIndex(w)
	case request := <-r.requests:
		c.now = r.options.Clock.Now()
		request(n)
	case tasks <- taskBatch{n.tasks, n.saves.canCapture()}:
		n.tasks = nil
	case err := <-n.saver.reports:
		n.handleSaveResult(err)
	case p := <-n.applier.reports:
		n.handleApplyReport(p)
	}
}

// drainInputs takes the inputs that are already waiting, so that they share one fsync
// and one round.
func (n *loop) drainInputs() {
	r := n.replica
	for range maxInputsPerBatch {
		select {
		case m := <-r.inbox.Items():
			n.engine.core.step(m)
			continue
		default:
		}
		break
	}
	for range maxInputsPerBatch {
		if !n.acceptsProposals() {
			break
		}
		select {
		case p := <-r.proposals.Items():
			n.propose(p)
			continue
		default:
		}
		break
	}
	for range maxInputsPerBatch {
		select {
		case w := <-r.reads.Items():
			n.readIndex(w)
			continue
		default:
		}
		break
	}
}

// acceptsProposals is true on a replica that does not lead, so that its callers
// learn about it at once.
func (n *loop) acceptsProposals() bool {
	c := n.engine.core
	return c.leading == nil || (c.log.last() < c.commit+maxPendingEntries && len(n.tasks) < maxPendingEntries)
}

func (n *loop) propose(p *proposal) {
	i, t, err := n.engine.core.propose(p.data)
	if err != nil {
		p.finish(nil, err)
		return
	}
	n.proposals[i] = pendingProposal{p, t}
}

func (n *loop) readIndex(w *readWaiter) {
	n.nextReadID++
	n.reads[n.nextReadID] = w
	n.engine.core.requestReadIndex(n.nextReadID)
}

func (n *loop) bootstrap(members []Member, result chan<- error) {
	if err := n.engine.core.bootstrap(members); err != nil {
		result <- err
		return
	}
	// The caller may rely on the membership only once it is durable.
	n.err = n.flush()
	n.publish()
	result <- n.err
}

func (n *loop) transferLeadership(result chan<- error) {
	if err := n.engine.core.transferLeadership(); err != nil {
		result <- err
		return
	}
	n.transfers = append(n.transfers, result)
}

// flush makes the core's outputs durable and hands them on.
func (n *loop) flush() error {
	f, err := n.engine.flush()
	if err != nil {
		return err
	}
	for _, w := range f.MachineInputs {
		n.tasks = append(n.tasks, task{w, n.takeProposal(w)})
	}
	if f.Save != nil {
		n.saves.add(f.Save)
	}
	for _, x := range f.ReadResults {
		n.handleReadResult(x)
	}
	n.finishReads()
	n.reportRoleChanges(f.RoleChanges)
	if n.engine.core.leading == nil {
		n.failProposals()
	}
	return nil
}

// reportRoleChanges reports changes of role, after Status shows the last of them.
func (n *loop) reportRoleChanges(roles []roleChange) {
	if len(roles) == 0 || n.replica.options.OnRoleChange == nil {
		return
	}
	n.publish()
	for _, x := range roles {
		n.replica.options.OnRoleChange(x.role, x.term)
	}
}

// takeProposal returns the caller that waits for an entry. An entry of another
// term took the place of the proposed one.
func (n *loop) takeProposal(w machineInput) *proposal {
	p, ok := n.proposals[w.Entry.Index]
	if w.Restore != nil || !ok || p.term != w.Entry.Term {
		return nil
	}
	delete(n.proposals, w.Entry.Index)
	return p.proposal
}

// failProposals answers the callers whose entries are not committed when
// leadership ends.
func (n *loop) failProposals() {
	for i, p := range n.proposals {
		p.finish(nil, merry.Wrap(ErrOutcomeUnknown, merry.AppendMessage("leadership ended before the entry was committed")))
		delete(n.proposals, i)
	}
}

func (n *loop) handleReadResult(x readResult) {
	w := n.reads[x.readID]
	delete(n.reads, x.readID)
	if !x.ok {
		w.finish(merry.Wrap(ErrNotLeader))
		return
	}
	w.term, w.index = x.term, x.index
	n.confirmedReads = append(n.confirmedReads, w)
}

// finishReads answers the confirmed callers whose entries are applied.
func (n *loop) finishReads() {
	var rest []*readWaiter
	for _, w := range n.confirmedReads {
		if w.index > n.applied {
			rest = append(rest, w)
			continue
		}
		w.finish(nil)
	}
	n.confirmedReads = rest
}

func (n *loop) handleApplyReport(p applyReport) {
	if p.err != nil {
		n.err = p.err
		return
	}
	n.applied = p.applied
	n.publish()
	n.finishReads()
	if p.captured != nil {
		n.saves.add(p.captured)
	}
}

// handleSaveResult switches to the snapshot that has been made durable.
func (n *loop) handleSaveResult(err error) {
	j := n.saves.finish()
	if err == nil {
		n.saves.obsolete, err = n.engine.snapshotSaved(j, Index(n.replica.options.SnapshotEvery))
	}
	n.err = err
}

// advanceAdmissions takes the next step of each admission and answers those
// that are complete or refused.
func (n *loop) advanceAdmissions() {
	var rest []*admitRequest
	for _, a := range n.admitRequests {
		if a.ctx.Err() != nil {
			continue
		}
		done, err := n.engine.core.admit(a.member)
		if !done && err == nil {
			rest = append(rest, a)
			continue
		}
		n.publish()
		a.result <- err
	}
	n.admitRequests = rest
}

func (n *loop) finishTransfers() {
	l := n.engine.core.leading
	if l != nil && l.transfer.target != "" {
		return
	}
	var err error
	if l != nil {
		err = merry.Wrap(ErrTransferFailed, merry.AppendMessage("no other replica took over in time"))
	}
	for _, t := range n.transfers {
		t <- err
	}
	n.transfers = nil
}

// stopComplete starts a planned stop when the context has ended, and reports whether
// it is complete: leadership is handed over or nobody can take it, and the state
// machine has taken everything that is committed.
func (n *loop) stopComplete(stop context.Context) bool {
	if stop.Err() == nil {
		return false
	}
	c := n.engine.core
	if !n.stopping {
		n.stopping = true
		n.stopDeadline = c.now + n.replica.options.ElectionTimeout
		n.transferring = c.transferLeadership() == nil
	}
	if c.now >= n.stopDeadline {
		return true
	}
	if c.leading == nil {
		return n.applied >= c.commit
	}
	return !n.transferring && n.applied >= c.log.last()
}

// failRemaining answers every caller that still waits when the replica ends.
func (n *loop) failRemaining() {
	n.failProposals()
	for _, t := range n.tasks {
		if t.proposal != nil {
			t.proposal.finish(nil, merry.Wrap(ErrOutcomeUnknown, merry.AppendMessage("replica ended")))
		}
	}
	for _, w := range n.reads {
		w.finish(merry.Wrap(ErrNotLeader))
	}
	for _, w := range n.confirmedReads {
		w.finish(merry.Wrap(ErrNotLeader))
	}
}
