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

// Capacities of the rings into the loop. A full message ring drops the message,
// which the protocol repeats; callers wait for room in the others.
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

	done    chan error
	stopped chan struct{}
}

// proposal is a caller of Propose.
type proposal struct {
	data   []byte
	result any
	err    error
	done   chan struct{}
}

func (p *proposal) finish(result any, err error) {
	p.result, p.err = result, err
	close(p.done)
}

// readWaiter is a caller of Confirm.
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

// Open opens or creates the replica's files and starts it. The end of ctx is a
// planned stop: a leader hands over leadership first, for at most one election
// timeout, so Send and Deliver must work until Done reports. Errors are ErrInvalidOptions, ErrStorage, ErrCorrupt and ErrInconsistentState.
func Open(ctx context.Context, options Options) (*Replica, error) {
	return open(ctx, options, osFiles())
}

func open(ctx context.Context, options Options, f files) (*Replica, error) {
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
		n.applied = l.snapshot.Index
	}
	n.publish()
	r.start(ctx, n)
	return r, nil
}

// start runs the loop, its ticker, the applier and the saver, and reports on Done when all
// of them have ended.
func (r *Replica) start(stop context.Context, n *loop) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	var workers sync.WaitGroup
	workers.Go(func() { n.applier.run(ctx) })
	workers.Go(func() { n.saver.run(ctx) })
	workers.Go(func() { n.runTicker(ctx) })
	go func() {
		err := n.run(stop)
		cancel()
		workers.Wait()
		n.engine.store.close()
		n.failRemaining()
		close(r.stopped)
		r.done <- err
	}()
}

// Done yields one value when the replica has ended: nil after a planned stop,
// else the error, after which the process must stop.
func (r *Replica) Done() <-chan error { return r.done }

// Deliver hands over a message from another replica. It does not block; when the
// replica is overloaded the message is dropped, and the protocol repeats it.
func (r *Replica) Deliver(m Message) { r.inbox.Offer(m) }

// Propose appends a command to the log and returns Apply's result once the
// command is committed and applied here. ErrNotLeader and ErrTooLarge say that
// it will never be applied; ErrOutcomeUnknown says that it may or may not be.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > MaxEntryBytes {
		return nil, merry.Wrap(ErrTooLarge, merry.AppendMessagef("%d bytes", len(data)))
	}
	if r.isStopped() {
		return nil, merry.Wrap(ErrNotLeader)
	}
	p := &proposal{data: append([]byte(nil), data...), done: make(chan struct{})}
	if r.proposals.Put(ctx, p) != nil {
		return nil, merry.Wrap(ErrNotLeader, merry.AppendMessage("context ended before the proposal was taken"))
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

// resultAfterStop prefers a result that arrived together with the end of the replica.
func (p *proposal) resultAfterStop() (any, error) {
	select {
	case <-p.done:
		return p.result, p.err
	default:
		return nil, merry.Wrap(ErrOutcomeUnknown, merry.AppendMessage("replica ended"))
	}
}

// ReadIndex proves that this replica is the leader by a round of messages begun
// after the call, and returns once every entry up to Index has been applied
// here. Index covers every proposal acknowledged before the call. The error is
// ErrNotLeader, or the context's.
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
		return 0, 0, merry.Wrap(ErrNotLeader, merry.AppendMessage("replica ended"))
	}
}

// Bootstrap makes this replica part of a new group with the given members, which
// include its own Status().Self. Call it with the same members on each of them.
// It returns nil if the replica was started with these members before,
// ErrNotEmpty if it holds another group, and ErrInvalidMember for bad members.
func (r *Replica) Bootstrap(members []Member) error {
	result := make(chan error, 1)
	return r.callLoop(context.Background(), result, func(n *loop) { n.bootstrap(members, result) })
}

// Admit makes m a voter in place of an identity that holds the same name, and
// returns when m holds the whole log as a voter. It is called on the leader, and
// again after an error: what was done so far is kept. Errors are ErrNotLeader,
// ErrMemberResponsive, ErrInvalidMember and the context's.
func (r *Replica) Admit(ctx context.Context, m Member) error {
	result := make(chan error, 1)
	return r.callLoop(ctx, result, func(n *loop) {
		n.admitRequests = append(n.admitRequests, &admitRequest{ctx, m, result})
	})
}

// Remove takes an identity that does not answer out of the group. It is called on
// the leader and returns when the change is in the log; the next change of members
// waits until it is committed. Errors are ErrNotLeader, ErrMemberResponsive and the
// context's.
func (r *Replica) Remove(ctx context.Context, m Member) error {
	result := make(chan error, 1)
	return r.callLoop(ctx, result, func(n *loop) { result <- n.engine.core.removeMember(m) })
}

// TransferLeadership hands leadership to the voter that holds most of the log
// and returns when this replica no longer leads. Errors are ErrNotLeader,
// ErrTransferFailed and the context's.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	result := make(chan error, 1)
	return r.callLoop(ctx, result, func(n *loop) { n.transferLeadership(result) })
}

// callLoop runs a request in the loop and waits for its result.
func (r *Replica) callLoop(ctx context.Context, result <-chan error, request func(*loop)) error {
	select {
	case r.requests <- request:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return merry.Wrap(ErrNotLeader, merry.AppendMessage("replica ended"))
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return merry.Wrap(ErrNotLeader, merry.AppendMessage("replica ended"))
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

// ticksPerHeartbeat bounds how late the loop notices a deadline.
const ticksPerHeartbeat = 5

func tickInterval(options Options) clock.Millis { return max(1, options.HeartbeatEvery/ticksPerHeartbeat) }
