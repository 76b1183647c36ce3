package quorum

import (
	"context"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/pkg/replog"
)

// opening is one opening of the log.
type opening struct {
	machine StateMachine
	// replica is nil until the log is open.
	replica atomic.Pointer[replog.Replica]
}

// Leadership is the leadership of this replica in one term, of one opening of the log. It
// ends for good with the term, or when the log is closed.
type Leadership struct {
	// Term is the term of the log.
	Term replog.Term

	quorum  *Quorum
	opening *opening
	ended   chan struct{}
}

// changeRole ends the leadership of the term before, and begins one if this replica leads
// now. It is called from the event loop of the log.
func (q *Quorum) changeRole(o *opening, role replog.Role, term replog.Term) {
	q.endLeadership()
	var l *Leadership
	if role == replog.Leader {
		l = &Leadership{Term: term, quorum: q, opening: o, ended: make(chan struct{})}
		q.leadership.Store(l)
	}
	q.options.OnRole(role, term, l)
}

// endLeadership ends the current leadership, if there is one.
func (q *Quorum) endLeadership() {
	if l := q.leadership.Swap(nil); l != nil {
		close(l.ended)
	}
}

// Ended returns a channel that is closed when the leadership has ended as far as this
// replica knows.
func (l *Leadership) Ended() <-chan struct{} { return l.ended }

// Err returns nil before Ended is closed, and then an error with the address of the leader.
func (l *Leadership) Err() error {
	select {
	case <-l.ended:
		return l.quorum.notLeader()
	default:
		return nil
	}
}

// State returns the state of the opening. It is never older than what Confirm has confirmed,
// also after the leadership has ended.
func (l *Leadership) State() any { return l.opening.machine.State }

// Confirm confirms, by a round of messages that begins after the call, that this replica
// leads in the term. It returns the index up to which entries are applied, which includes
// all that were acknowledged before the call.
func (l *Leadership) Confirm(ctx context.Context) (replog.Index, error) {
	r := l.opening.replica.Load()
	if r == nil {
		return 0, unavailable(ErrNotOpen)
	}
	term, index, err := r.ReadIndex(ctx)
	if err == nil && term != l.Term {
		err = merry.Wrap(replog.ErrNotLeader, merry.AppendMessagef("term %d has ended", l.Term))
	}
	return index, l.quorum.rpcError(err)
}

// Propose commits a command in the term and returns the result of Apply.
func (l *Leadership) Propose(ctx context.Context, data []byte) (any, error) {
	r := l.opening.replica.Load()
	if r == nil {
		return nil, unavailable(ErrNotOpen)
	}
	out, err := r.ProposeInTerm(ctx, l.Term, data)
	return out, l.quorum.rpcError(err)
}
