package node

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// controlAttemptTimeout is the timeout of one call of the control group, which
	// commits within a few milliseconds. It is shorter than a lease, so that after a
	// call over a dead connection there is time to renew through another replica.
	controlAttemptTimeout clock.Millis = 350
	// controlRetryDelay is the delay between attempts, so that nodes don't retry in a
	// tight loop during an election.
	controlRetryDelay clock.Millis = 25
)

// controlClient calls the leader of the control group. It is safe for concurrent use.
type controlClient struct {
	clock    clock.Clock
	replicas []wire.Address // from settings

	mu          sync.Mutex
	clients     map[wire.Address]*rpc.Client
	leader      wire.Address
	nextReplica int
}

func newControlClient(c clock.Clock, replicas []wire.Address) *controlClient {
	return &controlClient{clock: c, replicas: replicas, clients: make(map[wire.Address]*rpc.Client)}
}

// close closes all connections.
func (c *controlClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}

// newHedgeClient returns a client without connections that calls another replica first
// than the presumed leader.
func (c *controlClient) newHedgeClient() *controlClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := newControlClient(c.clock, c.replicas)
	for i, a := range c.replicas {
		if a != c.leader {
			client.nextReplica = i
		}
	}
	return client
}

// adoptLeader makes other's presumed leader the one of this client.
func (c *controlClient) adoptLeader(other *controlClient) {
	other.mu.Lock()
	leader := other.leader
	other.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

// traffic returns the bytes sent to and received from the control group.
func (c *controlClient) traffic() (sent, received int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		s, r := client.Traffic()
		sent += int64(s)
		received += int64(r)
	}
	return sent, received
}

// current returns the RPC client of the presumed leader.
func (c *controlClient) current() *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		c.leader = c.replicas[c.nextReplica%len(c.replicas)]
	}
	client := c.clients[c.leader]
	if client == nil {
		client = rpc.NewClient(string(c.leader))
		c.clients[c.leader] = client
	}
	return client
}

// updateLeader chooses the replica to call next after a call has failed. The leader that
// an error names is used only if its address is in the settings. The settings have the
// addresses by which this node reaches the replicas, while a replica may name an address
// that only other replicas can reach.
func (c *controlClient) updateLeader(called *rpc.Client, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != wire.Address(called.Address()) {
		return // a concurrent call has already chosen another replica
	}
	var rpcErr *rpc.Error
	if errors.As(err, &rpcErr) && rpcErr.Code == rpc.CodeNotLeader && rpcErr.Leader != called.Address() && slices.Contains(c.replicas, wire.Address(rpcErr.Leader)) {
		c.leader = wire.Address(rpcErr.Leader)
		return
	}
	c.nextReplica++
	c.leader = c.replicas[c.nextReplica%len(c.replicas)]
}

// isFinal reports whether another replica or a retry would return the same error.
func isFinal(err error) bool { return rpc.IsCode(err, rpc.CodeRejected) }

// tryCall makes one attempt. After an error it chooses the replica for the next one.
func tryCall[Response any](ctx context.Context, c *controlClient, method string, request any, timeout clock.Millis) (Response, error) {
	timed, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	client := c.current()
	response, err := rpc.Call[Response](timed, client, method, request)
	if err != nil && !isFinal(err) && ctx.Err() == nil {
		c.updateLeader(client, err)
	}
	return response, err
}

// callControl retries a call until it succeeds, is rejected, or ctx ends. All calls of a
// node can be retried, because they contain the execution or incarnation to which they
// apply. The error wraps errMayTakeEffect if the control group may have received an
// attempt.
func callControl[Response any](ctx context.Context, c *controlClient, method string, request any, timeout clock.Millis) (Response, error) {
	mayHaveTakenEffect := false
	for {
		response, err := tryCall[Response](ctx, c, method, request, timeout)
		if err == nil || isFinal(err) {
			return response, err
		}
		mayHaveTakenEffect = mayHaveTakenEffect || callMayTakeEffect(err)
		if c.clock.Sleep(ctx, controlRetryDelay) != nil {
			if mayHaveTakenEffect {
				err = merry.Wrap(errMayTakeEffect, merry.WithCause(err))
			}
			return response, err
		}
	}
}

// callMayTakeEffect reports whether the control group may have received a failed call.
func callMayTakeEffect(err error) bool {
	return errors.Is(err, rpc.ErrLost) || rpc.IsCode(err, rpc.CodeUnknown)
}
