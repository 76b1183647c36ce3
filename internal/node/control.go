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
	attemptTimeout clock.Millis = 350
	// callPause is the wait between attempts, so that an election is not met
	// with a tight loop.
	callPause clock.Millis = 25
)

// controlClient calls the leader of the control group.
type controlClient struct {
	clock clock.Clock
	known []wire.Address // from settings

	mu      sync.Mutex
	clients map[wire.Address]*rpc.Client
	leader  wire.Address
	next    int
}

func newControlClient(c clock.Clock, known []wire.Address) *controlClient {
	return &controlClient{clock: c, known: known, clients: make(map[wire.Address]*rpc.Client)}
}

// close ends all connections.
func (c *controlClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.clients {
		v.Close()
	}
}

// traffic returns the bytes sent to and received from the control group.
func (c *controlClient) traffic() (sent, received int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.clients {
		s, r := v.Traffic()
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
		c.leader = c.known[c.next%len(c.known)]
	}
	v := c.clients[c.leader]
	if v == nil {
		v = rpc.NewClient(string(c.leader))
		c.clients[c.leader] = v
	}
	return v
}

// learn decides from an error which replica is asked next. A leader is followed
// only to an address of the settings: they say how this node reaches a replica,
// while a replica knows only how it is reached itself, which may be an address
// that this node cannot use.
func (c *controlClient) learn(asked *rpc.Client, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != wire.Address(asked.Address()) {
		return // another call has moved on already
	}
	var e *rpc.Error
	if errors.As(err, &e) && e.Code == rpc.CodeNotLeader && e.Leader != asked.Address() && slices.Contains(c.known, wire.Address(e.Leader)) {
		c.leader = wire.Address(e.Leader)
		return
	}
	c.next++
	c.leader = c.known[c.next%len(c.known)]
}

// definite reports whether another replica, or another try, would answer the
// same.
func definite(err error) bool { return rpc.IsCode(err, rpc.CodeRefused) }

// tryCall makes one attempt, and after an error chooses another replica for the
// next one.
func tryCall[Response any](ctx context.Context, c *controlClient, method string, request any, timeout clock.Millis) (Response, error) {
	timed, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	v := c.current()
	out, err := rpc.Call[Response](timed, v, method, request)
	if err != nil && !definite(err) && ctx.Err() == nil {
		c.learn(v, err)
	}
	return out, err
}

// callControl repeats a call until it is answered, refused, or ctx ends. All
// calls of a node may be repeated: they carry the execution or incarnation that
// they are about. The error wraps errMayTakeEffect when an attempt may have
// arrived.
func callControl[Response any](ctx context.Context, c *controlClient, method string, request any, timeout clock.Millis) (Response, error) {
	uncertain := false
	for {
		out, err := tryCall[Response](ctx, c, method, request, timeout)
		if err == nil || definite(err) {
			return out, err
		}
		uncertain = uncertain || mayTakeEffect(err)
		if c.clock.Sleep(ctx, callPause) != nil {
			if uncertain {
				err = merry.Wrap(errMayTakeEffect, merry.WithCause(err))
			}
			return out, err
		}
	}
}

func mayTakeEffect(err error) bool {
	return errors.Is(err, rpc.ErrLost) || rpc.IsCode(err, rpc.CodeUnknown)
}
