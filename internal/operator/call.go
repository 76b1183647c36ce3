package operator

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// attemptTimeout bounds one attempt, so that time is left for the other replicas
	// when one accepts the call and then hangs.
	attemptTimeout clock.Millis = 3000
	// roundDelay is the pause before the next attempt, once all replicas have been
	// tried.
	roundDelay clock.Millis = 100
	// maxRedirects bounds the redirects followed in a row: during an election,
	// replicas can name each other as the leader.
	maxRedirects = 3
)

// attempts tracks the attempts of one call, and selects the replica for each.
type attempts struct {
	session   *Session
	method    string
	address   wire.Address
	next      int
	redirects int
	// uncertain is true if a failed attempt may have taken effect.
	uncertain bool
	lastErr   error
}

// call sends the request to the leader, following the redirects of other replicas.
// The error is ErrRejected, ErrUnavailable or, for methods that change
// state, ErrUnknown.
func call[Response any](ctx context.Context, s *Session, method string, request any) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout().Duration())
	defer cancel()
	a := &attempts{session: s, method: method, address: s.Control[0]}
	for {
		response, err := attempt[Response](ctx, a.address, method, request)
		if err == nil {
			return response, nil
		}
		if done := a.handleFailure(ctx, err); done != nil {
			return response, done
		}
	}
}

func attempt[Response any](ctx context.Context, address wire.Address, method string, request any) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	c := rpc.NewClient(string(address))
	defer c.Close()
	return rpc.Call[Response](ctx, c, method, request)
}

func (s *Session) timeout() clock.Millis {
	if s.Timeout > 0 {
		return s.Timeout
	}
	return DefaultTimeout
}

// handleFailure records the error of an attempt and selects the next replica. It
// returns the error of the whole call if there is no further attempt.
func (a *attempts) handleFailure(ctx context.Context, err error) error {
	a.lastErr = err
	var e *rpc.Error
	if errors.As(err, &e) {
		switch e.Code {
		case rpc.CodeNotLeader:
			if e.Leader != "" && a.redirects < maxRedirects {
				a.redirects++
				a.address = wire.Address(e.Leader)
				return a.timeoutError(ctx)
			}
		case rpc.CodeUnavailable:
		case rpc.CodeUnknown:
			a.uncertain = true
		default:
			return a.rejectionError(e)
		}
	}
	if errors.Is(err, rpc.ErrLost) {
		a.uncertain = true
	}
	a.advance(ctx)
	return a.timeoutError(ctx)
}

// rejectionError returns the error of a rejected call: ErrUnknown if an earlier
// attempt may have changed state, otherwise ErrRejected. Apply always gets
// ErrRejected, because a request sent again with the same id gets the original
// response.
func (a *attempts) rejectionError(e *rpc.Error) error {
	if a.uncertain && changesState(a.method) && a.method != wire.MethodOperatorApply {
		return merry.Wrap(ErrUnknown, merry.AppendMessagef("an earlier attempt may have taken effect; the last one was refused: %s", e.Message))
	}
	return merry.Wrap(ErrRejected, merry.AppendMessage(e.Message))
}

func (a *attempts) advance(ctx context.Context) {
	a.redirects = 0
	a.next++
	if a.next%len(a.session.Control) == 0 {
		_ = clock.System().Sleep(ctx, roundDelay)
	}
	a.address = a.session.Control[a.next%len(a.session.Control)]
}

// timeoutError returns the error of the call if ctx has ended, otherwise nil.
func (a *attempts) timeoutError(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	sentinel := ErrUnavailable
	if a.uncertain && changesState(a.method) {
		sentinel = ErrUnknown
	}
	return merry.Wrap(sentinel, merry.AppendMessage("last attempt: "+a.lastErr.Error()))
}

// changesState reports whether the method changes the state of the control group
// or of a replica.
func changesState(method string) bool {
	switch method {
	case wire.MethodOperatorApply, wire.MethodOperatorDrain, wire.MethodOperatorEvacuate, wire.MethodOperatorRelease, wire.MethodReplicaBootstrap:
		return true
	}
	return false
}
