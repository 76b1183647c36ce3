package replog

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Limits on what the loop takes on.
const (
	// maxDrain inputs of each kind share one write and one round of messages.
	maxDrain = 1024
	// maxUndecided entries may wait for commit or apply before the loop stops
	// taking proposals, which bounds memory while a majority is lost.
	maxUndecided = 16384
)

// loop owns core and store and is the only goroutine that touches them.
type loop struct {
	replica *Replica
	engine  *engine
	applier *applier
	saver   *saver
	saves   saveQueue
	ticks   chan struct{}

	proposals  map[Index]pendingProposal
	confirms   map[uint64]*confirmWaiter
	nextToken  uint64
	confirmed  []*confirmWaiter
	admitRequests []*admission
	transfers  []chan<- error

	tasks   []task
	applied Index
	err     error

	// stopping is set once a planned stop has begun, and leaving if another
	// replica can take over.
	stopping bool
	leaving  bool
	stopBy   clock.Millis
}

type pendingProposal struct {
	*proposal
	term Term
}

// admission is a caller of Admit.
type admission struct {
	ctx    context.Context
	member Member
	result chan<- error
}

func newLoop(r *Replica, e *engine) *loop {
	return &loop{
		replica: r, engine: e, applier: newApplier(r.options), saver: newSaver(e.store),
		ticks:     make(chan struct{}, 1),
		proposals: map[Index]pendingProposal{},
		confirms:  map[uint64]*confirmWaiter{},
	}
}

// tickEvery wakes the loop at regular intervals until its context ends.
func (n *loop) tickEvery(ctx context.Context) {
	o := n.replica.options
	for o.Clock.Sleep(ctx, tickLength(o)) == nil {
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
		n.drain()
		n.engine.core.tick()
		n.continueAdmissions()
		if err := n.flush(); err != nil {
			return err
		}
		n.continueTransfers()
		n.publish()
		if n.stopped(stop) {
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
	if !n.takesProposals() {
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
	case w := <-r.confirms.Items():
		n.readIndex(w)
	case request := <-r.requests:
		c.now = r.options.Clock.Now()
		request(n)
	case tasks <- taskBatch{n.tasks, n.saves.mayTake()}:
		n.tasks = nil
	case err := <-n.saver.reports:
		n.noteSaved(err)
	case p := <-n.applier.reports:
		n.noteReport(p)
	}
}

// drain takes the inputs that are already waiting, so that they share one fsync
// and one round.
func (n *loop) drain() {
	r := n.replica
	for range maxDrain {
		select {
		case m := <-r.inbox.Items():
			n.engine.core.step(m)
			continue
		default:
		}
		break
	}
	for range maxDrain {
		if !n.takesProposals() {
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
	for range maxDrain {
		select {
		case w := <-r.confirms.Items():
			n.readIndex(w)
			continue
		default:
		}
		break
	}
}

// takesProposals is true on a replica that does not lead, so that its callers
// learn about it at once.
func (n *loop) takesProposals() bool {
	c := n.engine.core
	return c.lead == nil || (c.log.last() < c.commit+maxUndecided && len(n.tasks) < maxUndecided)
}

func (n *loop) propose(p *proposal) {
	i, t, err := n.engine.core.propose(p.data)
	if err != nil {
		p.finish(nil, err)
		return
	}
	n.proposals[i] = pendingProposal{p, t}
}

func (n *loop) readIndex(w *confirmWaiter) {
	n.nextToken++
	n.confirms[n.nextToken] = w
	n.engine.core.requestReadIndex(n.nextToken)
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
	for _, w := range f.Work {
		n.tasks = append(n.tasks, task{w, n.proposalFor(w)})
	}
	if f.Save != nil {
		n.saves.add(f.Save)
	}
	for _, x := range f.Confirmed {
		n.noteConfirmation(x)
	}
	n.finishConfirmed()
	n.announce(f.Roles)
	if n.engine.core.lead == nil {
		n.dropProposals()
	}
	return nil
}

// announce reports changes of role, after Status shows the last of them.
func (n *loop) announce(roles []roleChange) {
	if len(roles) == 0 || n.replica.options.OnRoleChange == nil {
		return
	}
	n.publish()
	for _, x := range roles {
		n.replica.options.OnRoleChange(x.role, x.term)
	}
}

// proposalFor returns the caller that waits for an entry. An entry of another
// term took the place of the proposed one.
func (n *loop) proposalFor(w machineInput) *proposal {
	p, ok := n.proposals[w.Entry.Index]
	if w.Restore != nil || !ok || p.term != w.Entry.Term {
		return nil
	}
	delete(n.proposals, w.Entry.Index)
	return p.proposal
}

// dropProposals answers the callers whose entries are not committed when
// leadership ends.
func (n *loop) dropProposals() {
	for i, p := range n.proposals {
		p.finish(nil, merry.Wrap(ErrOutcomeUnknown, merry.AppendMessage("leadership ended before the entry was committed")))
		delete(n.proposals, i)
	}
}

func (n *loop) noteConfirmation(x confirmation) {
	w := n.confirms[x.token]
	delete(n.confirms, x.token)
	if !x.ok {
		w.finish(merry.Wrap(ErrNotLeader))
		return
	}
	w.term, w.index = x.term, x.index
	n.confirmed = append(n.confirmed, w)
}

// finishConfirmed answers the confirmed callers whose entries are applied.
func (n *loop) finishConfirmed() {
	var rest []*confirmWaiter
	for _, w := range n.confirmed {
		if w.index > n.applied {
			rest = append(rest, w)
			continue
		}
		w.finish(nil)
	}
	n.confirmed = rest
}

func (n *loop) noteReport(p applyReport) {
	if p.err != nil {
		n.err = p.err
		return
	}
	n.applied = p.applied
	n.publish()
	n.finishConfirmed()
	if p.taken != nil {
		n.saves.add(p.taken)
	}
}

// noteSaved switches to the snapshot that has been made durable.
func (n *loop) noteSaved(err error) {
	j := n.saves.finish()
	if err == nil {
		n.saves.obsolete, err = n.engine.snapshotSaved(j, Index(n.replica.options.SnapshotEvery))
	}
	n.err = err
}

// continueAdmissions takes the next step of each admission and answers those
// that are complete or refused.
func (n *loop) continueAdmissions() {
	var rest []*admission
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

func (n *loop) continueTransfers() {
	l := n.engine.core.lead
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

// stopped starts a planned stop when the context has ended, and reports whether
// it is complete: leadership is handed over or nobody can take it, and the state
// machine has taken everything that is committed.
func (n *loop) stopped(stop context.Context) bool {
	if stop.Err() == nil {
		return false
	}
	c := n.engine.core
	if !n.stopping {
		n.stopping = true
		n.stopBy = c.now + n.replica.options.ElectionTimeout
		n.leaving = c.transferLeadership() == nil
	}
	if c.now >= n.stopBy {
		return true
	}
	if c.lead == nil {
		return n.applied >= c.commit
	}
	return !n.leaving && n.applied >= c.log.last()
}

// abandon answers every caller that still waits when the replica ends.
func (n *loop) abandon() {
	n.dropProposals()
	for _, t := range n.tasks {
		if t.proposal != nil {
			t.proposal.finish(nil, merry.Wrap(ErrOutcomeUnknown, merry.AppendMessage("replica ended")))
		}
	}
	for _, w := range n.confirms {
		w.finish(merry.Wrap(ErrNotLeader))
	}
	for _, w := range n.confirmed {
		w.finish(merry.Wrap(ErrNotLeader))
	}
}
