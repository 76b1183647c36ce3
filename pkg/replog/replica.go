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
	confirmCapacity  = 1024
)

// Replica is one replica of a group. It is safe for concurrent use.
type Replica struct {
	options        Options
	identity Identity

	inbox     *ring.Ring[Message]
	proposals *ring.Ring[*proposal]
	confirms  *ring.Ring[*confirmWaiter]
	requests  chan func(*loop)
	status    atomic.Pointer[statusRecord]

	done  chan error
	ended chan struct{}
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

// confirmWaiter is a caller of Confirm.
type confirmWaiter struct {
	term  Term
	index Index
	err   error
	done  chan struct{}
}

func (w *confirmWaiter) finish(err error) {
	w.err = err
	close(w.done)
}

// Open opens or creates the replica's files and starts it. The end of ctx is a
// planned stop: a leader hands over leadership first, for at most one election
// timeout, so Send and Deliver must work until Done reports. Errors are ErrInvalidOptions, ErrStorage, ErrCorrupt and ErrInconsistentState.
func Open(ctx context.Context, o Options) (*Replica, error) {
	return open(ctx, o, osFiles())
}

func open(ctx context.Context, o Options, f files) (*Replica, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	s, l, err := openStore(f, o.Folder, o.Group, func() Identity { return Identity(rand.Text()) })
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options: o, identity: l.identity,
		inbox:     ring.New[Message](inboxCapacity),
		proposals: ring.New[*proposal](proposalCapacity),
		confirms:  ring.New[*confirmWaiter](confirmCapacity),
		requests:  make(chan func(*loop)),
		done:      make(chan error, 1),
		ended:     make(chan struct{}),
	}
	self := Member{Name: o.Name, Identity: l.identity, Address: o.Address}
	c := newCore(o.Group, self, l, o.HeartbeatEvery, o.ElectionTimeout, o.Random, o.Clock.Now())
	n := newLoop(r, &engine{core: c, store: s, send: o.Send, readers: map[Identity]*chunkReader{}})
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
	var helpers sync.WaitGroup
	helpers.Go(func() { n.applier.run(ctx) })
	helpers.Go(func() { n.saver.run(ctx) })
	helpers.Go(func() { n.tickEvery(ctx) })
	go func() {
		err := n.run(stop)
		cancel()
		helpers.Wait()
		n.engine.store.close()
		n.abandon()
		close(r.ended)
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
	if r.isEnded() {
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
	case <-r.ended:
		return p.afterEnd()
	}
}

// afterEnd prefers a result that arrived together with the end of the replica.
func (p *proposal) afterEnd() (any, error) {
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
	w := &confirmWaiter{done: make(chan struct{})}
	if r.isEnded() {
		return 0, 0, merry.Wrap(ErrNotLeader)
	}
	if err := r.confirms.Put(ctx, w); err != nil {
		return 0, 0, err
	}
	select {
	case <-w.done:
		return w.term, w.index, w.err
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	case <-r.ended:
		return 0, 0, merry.Wrap(ErrNotLeader, merry.AppendMessage("replica ended"))
	}
}

// Bootstrap makes this replica part of a new group with the given members, which
// include its own Status().Self. Call it with the same members on each of them.
// It returns nil if the replica was started with these members before,
// ErrNotEmpty if it holds another group, and ErrInvalidMember for bad members.
func (r *Replica) Bootstrap(members []Member) error {
	result := make(chan error, 1)
	return r.ask(context.Background(), result, func(n *loop) { n.bootstrap(members, result) })
}

// Admit makes m a voter in place of an identity that holds the same name, and
// returns when m holds the whole log as a voter. It is called on the leader, and
// again after an error: what was done so far is kept. Errors are ErrNotLeader,
// ErrMemberResponsive, ErrInvalidMember and the context's.
func (r *Replica) Admit(ctx context.Context, m Member) error {
	result := make(chan error, 1)
	return r.ask(ctx, result, func(n *loop) {
		n.admitRequests = append(n.admitRequests, &admission{ctx, m, result})
	})
}

// Remove takes an identity that does not answer out of the group. It is called on
// the leader and returns when the change is in the log; the next change of members
// waits until it is committed. Errors are ErrNotLeader, ErrMemberResponsive and the
// context's.
func (r *Replica) Remove(ctx context.Context, m Member) error {
	result := make(chan error, 1)
	return r.ask(ctx, result, func(n *loop) { result <- n.engine.core.removeSilent(m) })
}

// TransferLeadership hands leadership to the voter that holds most of the log
// and returns when this replica no longer leads. Errors are ErrNotLeader,
// ErrTransferFailed and the context's.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	result := make(chan error, 1)
	return r.ask(ctx, result, func(n *loop) { n.transferLeadership(result) })
}

// ask runs a request in the loop and waits for its result.
func (r *Replica) ask(ctx context.Context, result <-chan error, request func(*loop)) error {
	select {
	case r.requests <- request:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ended:
		return merry.Wrap(ErrNotLeader, merry.AppendMessage("replica ended"))
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ended:
		return merry.Wrap(ErrNotLeader, merry.AppendMessage("replica ended"))
	}
}

func (r *Replica) isEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// ticksPerHeartbeat bounds how late the loop notices a deadline.
const ticksPerHeartbeat = 5

func tickLength(o Options) clock.Millis { return max(1, o.HeartbeatEvery/ticksPerHeartbeat) }
