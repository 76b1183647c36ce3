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
	// attemptTimeout bounds one call of the control group, which commits in a
	// few milliseconds. It is shorter than a lease, so that a silent connection
	// to one replica leaves time to renew through another.
	controlAttemptTimeout clock.Millis = 350
	// callPause is the wait between attempts, so that an election is not met
	// with a tight loop.
	controlRetryDelay clock.Millis = 25
)

// controlClient calls the leader of the control group.
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

// close ends all connections.
func (c *controlClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}

// other returns a client without connections that begins at another replica than
// the one taken for the leader.
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

// follow takes over which replica leads.
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

// current returns a client of the replica that is taken for the leader.
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

// learn decides from an error which replica is asked next. A leader is followed
// only to an address of the settings: they say how this node reaches a replica,
// while a replica knows only how it is reached itself, which may be an address
// that this node cannot use.
func (c *controlClient) updateLeader(called *rpc.Client, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != wire.Address(called.Address()) {
		return // another call has moved on already
	}
	var rpcErr *rpc.Error
	if errors.As(err, &rpcErr) && rpcErr.Code == rpc.CodeNotLeader && rpcErr.Leader != called.Address() && slices.Contains(c.replicas, wire.Address(rpcErr.Leader)) {
		c.leader = wire.Address(rpcErr.Leader)
		return
	}
	c.nextReplica++
	c.leader = c.replicas[c.nextReplica%len(c.replicas)]
}

// definite reports whether another replica, or another try, would answer the
// same.
func isFinal(err error) bool { return rpc.IsCode(err, rpc.CodeRefused) }

// tryCall makes one attempt, and after an error chooses another replica for the
// next one.
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

// callControl repeats a call until it is answered, refused, or ctx ends. All
// calls of a node may be repeated: they carry the execution or incarnation that
// they are about. The error wraps errMayTakeEffect when an attempt may have
// arrived.
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

func callMayTakeEffect(err error) bool {
	return errors.Is(err, rpc.ErrLost) || rpc.IsCode(err, rpc.CodeUnknown)
}
