package replog

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/ring"
)

// Capacities of the queues of the loop. If inbox is full, messages are dropped, and
// the protocol repeats them. If another queue is full, callers wait.
const (
	inboxCapacity    = 4096
	proposalCapacity = 1024
	readCapacity     = 1024
)

// Replica is one replica of a group. It is safe for concurrent use.
type Replica struct {
	options  Options
	identity Identity

	inbox     *ring.Ring[Message]
	proposals *ring.Ring[*proposal]
	reads     *ring.Ring[*readWaiter]
	requests  chan func(*loop)
	status    atomic.Pointer[publishedStatus]

	// done is the channel that Done returns.
	done chan error
	// stopped is closed when the replica has stopped.
	stopped chan struct{}
}

// proposal is a pending call of Propose or ProposeInTerm.
type proposal struct {
	data []byte
	// term is the only term in which the command may be appended; 0 for any.
	term   Term
	result any
	err    error
	done   chan struct{}
}

func (p *proposal) finish(result any, err error) {
	p.result, p.err = result, err
	close(p.done)
}

// readWaiter is a pending call of ReadIndex.
type readWaiter struct {
	term  Term
	index Index
	err   error
	done  chan struct{}
}

func (w *readWaiter) finish(err error) {
	w.err = err
	close(w.done)
}

// Open opens or creates the data folder and starts the replica. Cancelling ctx
// starts a planned stop, in which a leader first transfers leadership for at most
// one election timeout. Send and Deliver must therefore work until Done yields its
// value. The error is ErrInvalidOptions, ErrStorage, ErrCorrupt or
// ErrInconsistentState.
func Open(ctx context.Context, options Options) (*Replica, error) {
	return open(ctx, options, osFiles())
}

func open(ctx context.Context, options Options, f fileSystem) (*Replica, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	s, l, err := openStore(f, options.Folder, options.Group, func() Identity { return Identity(rand.Text()) })
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options: options, identity: l.identity,
		inbox:     ring.New[Message](inboxCapacity),
		proposals: ring.New[*proposal](proposalCapacity),
		reads:     ring.New[*readWaiter](readCapacity),
		requests:  make(chan func(*loop)),
		done:      make(chan error, 1),
		stopped:   make(chan struct{}),
	}
	self := Member{Name: options.Name, Identity: l.identity, Address: options.Address}
	c := newCore(options.Group, self, l, options.HeartbeatEvery, options.ElectionTimeout, options.Random, options.Clock.Now())
	n := newLoop(r, &engine{core: c, store: s, send: options.Send, chunkReaders: map[Identity]*chunkReader{}})
	if l.snapshot != nil {
		if err := n.applier.restore(l.snapshot); err != nil {
			s.close()
			return nil, err
		}
		n.appliedIndex = l.snapshot.Index
	}
	n.publish()
	r.start(ctx, n)
	return r, nil
}

// start runs the loop, its ticker, the applier and the saver. When all of them have
// returned, it closes the store and sends the loop's error to done. The workers
// outlive ctx, because a planned stop needs them.
func (r *Replica) start(ctx context.Context, n *loop) {
	workerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var workers sync.WaitGroup
	workers.Go(func() { n.applier.run(workerCtx) })
	workers.Go(func() { n.saver.run(workerCtx) })
	workers.Go(func() { n.runTicker(workerCtx) })
	go func() {
		err := n.run(ctx)
		cancel()
		workers.Wait()
		n.engine.store.close()
		n.failRemaining()
		close(r.stopped)
		r.done <- err
	}()
}

// Done returns a channel that yields one value when the replica has stopped: nil
// after a planned stop, otherwise an error, after which the process must exit.
func (r *Replica) Done() <-chan error { return r.done }

// Deliver passes a message from another replica to this one. It does not block. If
// the replica is overloaded, the message is dropped, and the protocol repeats it.
func (r *Replica) Deliver(m Message) { r.inbox.Offer(m) }

// Propose appends a command to the log and returns the result of Options.Apply once
// this replica has applied the command. ErrNotLeader and ErrTooLarge mean that the
// command will never be applied; ErrOutcomeUnknown means that it may or may not be
// applied.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	return r.ProposeInTerm(ctx, 0, data)
}

// ProposeInTerm is Propose for a command that rests on what the leader of a term knows. If
// this replica no longer leads in that term, the error is ErrNotLeader, even if it has been
// elected again since.
func (r *Replica) ProposeInTerm(ctx context.Context, t Term, data []byte) (any, error) {
	if len(data) > MaxEntryBytes {
		return nil, merry.Wrap(ErrTooLarge, merry.AppendMessagef("%d bytes", len(data)))
	}
	if r.isStopped() {
		return nil, merry.Wrap(ErrNotLeader)
	}
	p := &proposal{data: append([]byte(nil), data...), term: t, done: make(chan struct{})}
	if r.proposals.Put(ctx, p) != nil {
		return nil, merry.Wrap(ErrNotLeader, merry.AppendMessage("context ended before the proposal was queued"))
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return nil, merry.Wrap(ErrOutcomeUnknown, merry.WithCause(ctx.Err()))
	case <-r.stopped:
		return p.resultAfterStop()
	}
}

// resultAfterStop returns the result if the proposal completed before the replica
// stopped, and ErrOutcomeUnknown otherwise.
func (p *proposal) resultAfterStop() (any, error) {
	select {
	case <-p.done:
		return p.result, p.err
	default:
		return nil, merry.Wrap(ErrOutcomeUnknown, merry.AppendMessage("replica has stopped"))
	}
}

// ReadIndex makes a following read of the local state linearizable. It confirms by
// a round of messages, started after the call, that this replica is the leader. It
// then waits until the entries up to the returned index are applied here, which
// include every proposal acknowledged before the call. The error is ErrNotLeader or
// the context's error.
func (r *Replica) ReadIndex(ctx context.Context) (Term, Index, error) {
	w := &readWaiter{done: make(chan struct{})}
	if r.isStopped() {
		return 0, 0, merry.Wrap(ErrNotLeader)
	}
	if err := r.reads.Put(ctx, w); err != nil {
		return 0, 0, err
	}
	select {
	case <-w.done:
		return w.term, w.index, w.err
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	case <-r.stopped:
		return 0, 0, merry.Wrap(ErrNotLeader, merry.AppendMessage("replica has stopped"))
	}
}

// Bootstrap creates a new group with the given members, one of which must be this
// replica's Status().Self. It must be called with the same members on each of
// them. Repeating the call has no effect. The error is ErrNotEmpty if the replica
// already has different initial members, ErrInvalidMember if the members are
// invalid, ErrStorage if they could not be stored, and ErrNotLeader if the replica
// has stopped.
func (r *Replica) Bootstrap(members []Member) error {
	result := make(chan error, 1)
	return r.callLoop(context.Background(), result, func(n *loop) { n.bootstrap(members, result) })
}

// Admit makes m a voter. It replaces a member with the same name and a different
// identity, and returns when m has caught up as a voter. It must be called on the
// leader. After an error the call can be repeated; it continues from the steps that
// are already done. The error is ErrNotLeader, ErrMemberResponsive,
// ErrInvalidMember or the context's error.
func (r *Replica) Admit(ctx context.Context, m Member) error {
	result := make(chan error, 1)
	return r.callLoop(ctx, result, func(n *loop) {
		n.admitRequests = append(n.admitRequests, &admitRequest{ctx, m, result})
	})
}

// Remove removes an unresponsive member from the group. It must be called on the
// leader and returns when the membership change is appended to the log. The next
// membership change waits until this one is committed. The error is ErrNotLeader,
// ErrMemberResponsive or the context's error.
func (r *Replica) Remove(ctx context.Context, m Member) error {
	return r.remove(ctx, m, false)
}

// RemoveLeaving is Remove for a member that has said that it is leaving, and is still
// responsive. The leader cannot remove itself; it transfers its leadership first.
func (r *Replica) RemoveLeaving(ctx context.Context, m Member) error {
	return r.remove(ctx, m, true)
}

func (r *Replica) remove(ctx context.Context, m Member, leaving bool) error {
	result := make(chan error, 1)
	return r.callLoop(ctx, result, func(n *loop) { result <- n.engine.core.removeMember(m, leaving) })
}

// TransferLeadership transfers leadership to the responsive voter with the highest
// match index and returns when this replica is no longer the leader. The error is
// ErrNotLeader, ErrTransferFailed or the context's error.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	result := make(chan error, 1)
	return r.callLoop(ctx, result, func(n *loop) { n.transferLeadership(result) })
}

// callLoop runs request in the loop's goroutine and waits for its result.
func (r *Replica) callLoop(ctx context.Context, result <-chan error, request func(*loop)) error {
	select {
	case r.requests <- request:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return merry.Wrap(ErrNotLeader, merry.AppendMessage("replica has stopped"))
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return merry.Wrap(ErrNotLeader, merry.AppendMessage("replica has stopped"))
	}
}

func (r *Replica) isStopped() bool {
	select {
	case <-r.stopped:
		return true
	default:
		return false
	}
}

// ticksPerHeartbeat is the number of ticks per heartbeat interval. It limits the
// delay with which the loop handles an expired timeout.
const ticksPerHeartbeat = 5

func tickInterval(options Options) clock.Millis {
	return max(1, options.HeartbeatEvery/ticksPerHeartbeat)
}
