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
	// attemptTimeout bounds one call, so that a replica that accepts the call and
	// then hangs leaves time for the others.
	attemptTimeout clock.Millis = 3000
	// roundDelay is the pause after every replica has been tried.
	roundDelay clock.Millis = 100
	// maxRedirects bounds a chain of replicas that each name another leader, as
	// can happen during an election.
	maxRedirects = 3
)

// attempts goes through the replicas until one responds.
type attempts struct {
	session   *Session
	method    string
	address   wire.Address
	next      int
	redirects int
	// uncertain is set once an attempt may have taken effect.
	uncertain bool
	last      error
}

// call sends the request to the leader, which it finds by the redirects of the
// replicas. The error is ErrRefused, ErrUnavailable or, for methods that change
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
		if done := a.failed(ctx, err); done != nil {
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

// failed takes the error of an attempt and chooses the next replica. It returns
// the error of the whole call when there is no further attempt.
func (a *attempts) failed(ctx context.Context, err error) error {
	a.last = err
	var e *rpc.Error
	if errors.As(err, &e) {
		switch e.Code {
		case rpc.CodeNotLeader:
			if e.Leader != "" && a.redirects < maxRedirects {
				a.redirects++
				a.address = wire.Address(e.Leader)
				return a.ended(ctx)
			}
		case rpc.CodeUnavailable:
		case rpc.CodeUnknown:
			a.uncertain = true
		default:
			return a.refused(e)
		}
	}
	if errors.Is(err, rpc.ErrLost) {
		a.uncertain = true
	}
	a.advance(ctx)
	return a.ended(ctx)
}

// refused reports a refusal. After an uncertain attempt it does not prove that
// there was no effect, except for apply: a resend with the same request id gets
// the original response.
func (a *attempts) refused(e *rpc.Error) error {
	if a.uncertain && changes(a.method) && a.method != wire.MethodOperatorApply {
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

// ended returns the error of the call once its time is over.
func (a *attempts) ended(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	sentinel := ErrUnavailable
	if a.uncertain && changes(a.method) {
		sentinel = ErrUnknown
	}
	return merry.Wrap(sentinel, merry.AppendMessage("last attempt: "+a.last.Error()))
}

func changes(method string) bool {
	switch method {
	case wire.MethodOperatorApply, wire.MethodOperatorDrain, wire.MethodOperatorRelease, wire.MethodReplicaBootstrap:
		return true
	}
	return false
}
