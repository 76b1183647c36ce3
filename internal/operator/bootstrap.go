package operator

import (
	"context"
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// replica is a control replica found at one address.
type replica struct {
	address  wire.Address
	identity wire.IdentityResponse
}

// Bootstrap founds a control group of the replicas at s.Control. Each must
// respond. A replica that belongs to a group already must hold this same
// record, so the command can be sent again after a partial failure and cannot
// turn an emptied replica into a second group.
func (s *Session) Bootstrap(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout().Duration())
	defer cancel()
	replicas, err := s.identify(ctx)
	if err != nil {
		return err
	}
	request := wire.BootstrapRequest{Group: s.Group, Members: members(replicas)}
	// Replicas that hold a record check it before any empty one is written to.
	slices.SortStableFunc(replicas, func(a, b replica) int { return rank(a) - rank(b) })
	for _, r := range replicas {
		if _, err := s.direct(ctx, r.address, wire.MethodReplicaBootstrap, request); err != nil {
			return err
		}
	}
	return s.print(request, func(t *table) {
		t.line("group %s founded with %d replicas", s.Group, len(replicas))
		t.replicaMembers(request.Members)
	})
}

func rank(r replica) int {
	if r.identity.Empty {
		return 1
	}
	return 0
}

func members(replicas []replica) []wire.ReplicaMember {
	out := make([]wire.ReplicaMember, len(replicas))
	for i, r := range replicas {
		out[i] = wire.ReplicaMember{Name: r.identity.Name, Identity: r.identity.Identity, Address: r.address, Voter: true}
	}
	slices.SortFunc(out, func(a, b wire.ReplicaMember) int { return compare(a.Name, b.Name) })
	return out
}

func compare(a, b wire.ReplicaID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// identify asks every address who is there, and checks that these are different
// replicas.
func (s *Session) identify(ctx context.Context) ([]replica, error) {
	var out []replica
	for _, a := range s.Control {
		id, err := directly[wire.IdentityResponse](ctx, a, wire.MethodReplicaIdentity, wire.IdentityRequest{Group: s.Group})
		if err != nil {
			return nil, err
		}
		for _, r := range out {
			if r.identity.Name == id.Name {
				return nil, merry.Wrap(ErrRejected, merry.AppendMessagef("replica %q is at %s and at %s", id.Name, r.address, a))
			}
		}
		out = append(out, replica{address: a, identity: id})
	}
	return out, nil
}

func (s *Session) direct(ctx context.Context, a wire.Address, method string, request any) (wire.Ack, error) {
	return directly[wire.Ack](ctx, a, method, request)
}

// directly calls one replica, without redirects, until it responds.
func directly[Response any](ctx context.Context, a wire.Address, method string, request any) (Response, error) {
	uncertain := false
	for {
		response, err := attempt[Response](ctx, a, method, request)
		if err == nil {
			return response, nil
		}
		var e *rpc.Error
		if errors.As(err, &e) && e.Code != rpc.CodeUnavailable && e.Code != rpc.CodeUnknown {
			return response, merry.Wrap(ErrRejected, merry.AppendMessagef("%s: %s", a, e.Message))
		}
		uncertain = uncertain || errors.Is(err, rpc.ErrLost) || rpc.IsCode(err, rpc.CodeUnknown)
		if clock.System().Sleep(ctx, roundDelay) == nil {
			continue
		}
		sentinel := ErrUnavailable
		if uncertain && changes(method) {
			sentinel = ErrUnknown
		}
		return response, merry.Wrap(sentinel, merry.AppendMessagef("%s: %s", a, err.Error()))
	}
}
