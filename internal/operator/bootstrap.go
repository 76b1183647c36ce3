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

// replica is a control replica with the address at which it responded.
type replica struct {
	address  wire.Address
	identity wire.IdentityResponse
}

// Bootstrap creates a control group from the replicas at s.Control, all of which
// must respond. A replica that already belongs to a group accepts only the
// membership record that it has stored. The command can therefore be repeated
// after a partial failure, and cannot start a second group from a replica that has
// lost its data.
func (s *Session) Bootstrap(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout().Duration())
	defer cancel()
	replicas, err := s.identify(ctx)
	if err != nil {
		return err
	}
	request := wire.BootstrapRequest{Group: s.Group, Members: members(replicas)}
	// Replicas with a stored record come first, so that they can reject the request
	// before any empty replica is written to.
	slices.SortStableFunc(replicas, func(a, b replica) int { return bootstrapOrder(a) - bootstrapOrder(b) })
	for _, r := range replicas {
		if _, err := s.sendToReplica(ctx, r.address, wire.MethodReplicaBootstrap, request); err != nil {
			return err
		}
	}
	return s.print(request, func(t *table) {
		t.line("group %s founded with %d replicas", s.Group, len(replicas))
		t.replicaMembers(request.Members)
	})
}

func bootstrapOrder(r replica) int {
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
	slices.SortFunc(out, func(a, b wire.ReplicaMember) int { return compareReplicaIDs(a.Name, b.Name) })
	return out
}

func compareReplicaIDs(a, b wire.ReplicaID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// identify requests the identity of the replica at each address, and rejects two
// addresses of the same replica.
func (s *Session) identify(ctx context.Context) ([]replica, error) {
	var out []replica
	for _, a := range s.Control {
		id, err := callReplica[wire.IdentityResponse](ctx, a, wire.MethodReplicaIdentity, wire.IdentityRequest{Group: s.Group})
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

func (s *Session) sendToReplica(ctx context.Context, a wire.Address, method string, request any) (wire.Ack, error) {
	return callReplica[wire.Ack](ctx, a, method, request)
}

// callReplica calls the replica at a, without following redirects, and retries
// until it responds or ctx ends. The errors are those of call.
func callReplica[Response any](ctx context.Context, a wire.Address, method string, request any) (Response, error) {
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
		if uncertain && changesState(method) {
			sentinel = ErrUnknown
		}
		return response, merry.Wrap(sentinel, merry.AppendMessagef("%s: %s", a, err.Error()))
	}
}
