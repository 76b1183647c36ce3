package replog

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Limits on the inputs of the loop.
const (
	// maxInputsPerBatch is the maximum number of inputs of each kind that share one
	// write to the log and one round of messages.
	maxInputsPerBatch = 1024
	// maxPendingEntries limits the entries that wait for commit or apply. At the
	// limit the leader accepts no proposals, which limits memory while a majority
	// is unavailable.
	maxPendingEntries = 16384
)

// loop runs the core and the store. Only its goroutine accesses them.
type loop struct {
	replica *Replica
	engine  *engine
	applier *applier
	saver   *saver
	saves   saveQueue
	ticks   chan struct{}

	// proposals are the uncommitted proposals by the index of their entry.
	proposals map[Index]pendingProposal
	// reads are the ReadIndex calls that wait for a read round, by read ID.
	reads      map[uint64]*readWaiter
	nextReadID uint64
	// confirmedReads wait until their read index is applied.
	confirmedReads []*readWaiter
	admitRequests  []*admitRequest
	// transfers are the results of the pending TransferLeadership calls.
	transfers []chan<- error

	// tasks are committed but not yet passed to the applier.
	tasks        []task
	appliedIndex Index
	// err stops the loop.
	err error

	// stopping is true once a planned stop has begun, transferring if it has started
	// a leadership transfer.
	stopping     bool
	transferring bool
	stopDeadline clock.Millis
}

// pendingProposal is a proposal whose entry was appended in the given term.
type pendingProposal struct {
	*proposal
	term Term
}

// admitRequest is a pending call of Admit.
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

// runTicker wakes the loop at regular intervals until ctx is cancelled.
func (n *loop) runTicker(ctx context.Context) {
	o := n.replica.options
	for o.Clock.Sleep(ctx, tickInterval(o)) == nil {
		select {
		case n.ticks <- struct{}{}:
		default:
		}
	}
}

// run handles inputs until an error occurs, or until ctx is cancelled and the planned
// stop is complete.
func (n *loop) run(ctx context.Context) error {
	for {
		n.waitForInput(ctx)
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
		if n.continueStop(ctx) {
			return nil
		}
	}
}

// waitForInput blocks until there is an input and handles it.
func (n *loop) waitForInput(ctx context.Context) {
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
	stopRequested := ctx.Done()
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
	case tasks <- taskBatch{n.tasks, n.saves.canCapture(), n.engine.core.logBytes()}:
		n.tasks = nil
	case err := <-n.saver.reports:
		n.handleSaveResult(err)
	case p := <-n.applier.reports:
		n.handleApplyReport(p)
	}
}

// drainInputs handles the messages, proposals and reads that are already queued, so
// that they share one fsync and one round of messages.
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

// acceptsProposals reports whether the loop receives proposals. A replica that is
// not the leader does, in order to reject them immediately.
func (n *loop) acceptsProposals() bool {
	c := n.engine.core
	return c.leading == nil || (c.log.last() < c.commitIndex+maxPendingEntries && len(n.tasks) < maxPendingEntries)
}

func (n *loop) propose(p *proposal) {
	if p.term != 0 && p.term != n.engine.core.state.Term {
		p.finish(nil, merry.Wrap(ErrNotLeader, merry.AppendMessagef("term %d has ended", p.term)))
		return
	}
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

// flush makes the core's outputs durable and passes them to the state machine, the
// saver and the callers.
func (n *loop) flush() error {
	out, err := n.engine.flush()
	if err != nil {
		return err
	}
	for _, input := range out.MachineInputs {
		n.tasks = append(n.tasks, task{input, n.takeProposal(input)})
	}
	if out.Save != nil {
		n.saves.add(out.Save)
	}
	for _, x := range out.ReadResults {
		n.handleReadResult(x)
	}
	n.finishReads()
	n.reportRoleChanges(out.RoleChanges)
	if n.engine.core.leading == nil {
		n.failProposals()
	}
	return nil
}

// reportRoleChanges calls OnRoleChange for each change of role. It first publishes
// the status, so that the callback sees the new role there.
func (n *loop) reportRoleChanges(changes []roleChange) {
	if len(changes) == 0 || n.replica.options.OnRoleChange == nil {
		return
	}
	n.publish()
	for _, x := range changes {
		n.replica.options.OnRoleChange(x.role, x.term)
	}
}

// takeProposal removes and returns the pending proposal of a committed entry. It
// returns nil if there is none, or if an entry of another term has replaced the
// proposed one.
func (n *loop) takeProposal(input machineInput) *proposal {
	p, ok := n.proposals[input.Entry.Index]
	if input.Restore != nil || !ok || p.term != input.Entry.Term {
		return nil
	}
	delete(n.proposals, input.Entry.Index)
	return p.proposal
}

// failProposals fails the proposals that are not committed when the leadership ends.
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

// finishReads completes the confirmed reads whose read index has been applied.
func (n *loop) finishReads() {
	var rest []*readWaiter
	for _, w := range n.confirmedReads {
		if w.index > n.appliedIndex {
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
	n.appliedIndex = p.appliedIndex
	n.publish()
	n.finishReads()
	if p.captured != nil {
		n.saves.add(p.captured)
	}
}

// handleSaveResult switches to the snapshot that the saver has made durable.
func (n *loop) handleSaveResult(err error) {
	j := n.saves.finish()
	if err == nil {
		n.saves.obsolete, err = n.engine.snapshotSaved(j, Index(n.replica.options.SnapshotEvery))
	}
	n.err = err
}

// advanceAdmissions performs the next step of each pending Admit call and returns
// from those that are complete or have failed.
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

// finishTransfers returns from the pending TransferLeadership calls once the
// transfer has succeeded or expired.
func (n *loop) finishTransfers() {
	l := n.engine.core.leading
	if l != nil && l.transfer.target != "" {
		return
	}
	var err error
	if l != nil {
		err = merry.Wrap(ErrTransferFailed, merry.AppendMessage("no other replica became leader in time"))
	}
	for _, t := range n.transfers {
		t <- err
	}
	n.transfers = nil
}

// continueStop starts a planned stop after ctx is cancelled and reports whether it
// is complete. A stop is complete when the leadership has been transferred, or no
// other replica can take it, and all committed entries are applied, but no later
// than one election timeout after it began.
func (n *loop) continueStop(ctx context.Context) bool {
	if ctx.Err() == nil {
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
		return n.appliedIndex >= c.commitIndex
	}
	return !n.transferring && n.appliedIndex >= c.log.last()
}

// failRemaining fails all pending calls when the replica stops.
func (n *loop) failRemaining() {
	n.failProposals()
	for _, t := range n.tasks {
		if t.proposal != nil {
			t.proposal.finish(nil, merry.Wrap(ErrOutcomeUnknown, merry.AppendMessage("replica has stopped")))
		}
	}
	for _, w := range n.reads {
		w.finish(merry.Wrap(ErrNotLeader))
	}
	for _, w := range n.confirmedReads {
		w.finish(merry.Wrap(ErrNotLeader))
	}
}
