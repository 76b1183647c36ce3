package sidecar

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// retryPause is the pause between two attempts of a call to the core.
const retryPause clock.Millis = 50

// coreClient calls the leader of the core. It gets the addresses of the replicas from the
// settings and from replies of the core, and the address of the leader from the replicas.
type coreClient struct {
	clock clock.Clock
	log   zerolog.Logger
	seeds []message.Address
	// linkBusy reports whether the link of this host is congested.
	linkBusy func() bool

	mu       sync.Mutex
	clients  map[message.Address]*rpc.Client
	replicas []message.Address
	// leader is empty if it is unknown.
	leader message.Address
	// nextReplica counts the attempts while the leader is unknown.
	nextReplica int
	// preferConnected alternates with these attempts.
	preferConnected bool
	// unavailable is set from a failed attempt until the next successful one, so that only
	// the first failure is logged. The fields after it describe the attempts since then.
	unavailable    bool
	unavailableAt  clock.Millis
	failedAttempts int
	lastFailure    string
}

func newCoreClient(clk clock.Clock, log zerolog.Logger, seeds []message.Address, linkBusy func() bool) *coreClient {
	return &coreClient{clock: clk, log: log, seeds: seeds, linkBusy: linkBusy, clients: map[message.Address]*rpc.Client{}}
}

// maxBusySilence is how long a replica may be silent while the link of this host is congested. Its
// responses are late then, and a new connection would be later still.
const maxBusySilence clock.Millis = 1300

// mayBeSilent reports whether to keep a connection after the given time without a byte.
func (c *coreClient) mayBeSilent(silent clock.Millis) bool {
	return silent < maxBusySilence && c.linkBusy()
}

func (c *coreClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}

// setReplicas sets the addresses of the core replicas. An empty list is ignored.
func (c *coreClient) setReplicas(addresses []message.Address) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas = addresses
}

// chooseReplica returns the leader, or while it is unknown, each replica in turn. Every
// second attempt then goes to a replica with an open connection, if there is one: on a
// congested link connecting takes long, and any replica may know the leader.
func (c *coreClient) chooseReplica() (message.Address, *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader, c.client(c.leader)
	}
	// The seeds are always included, because all known replicas may have been replaced.
	candidates := slices.Concat(c.replicas, c.seeds)
	c.preferConnected = !c.preferConnected
	if c.preferConnected {
		for i := range candidates {
			if x := candidates[(c.nextReplica+i)%len(candidates)]; c.client(x).Connected() {
				return x, c.client(x)
			}
		}
	}
	address := candidates[c.nextReplica%len(candidates)]
	c.nextReplica++
	return address, c.client(address)
}

// client returns the client of a replica. The caller must hold c.mu.
func (c *coreClient) client(address message.Address) *rpc.Client {
	client := c.clients[address]
	if client == nil {
		client = rpc.NewClient(string(address))
		client.KeepSilent(c.mayBeSilent)
		c.clients[address] = client
	}
	return client
}

// recordResult updates the leader after a call to a replica.
func (c *coreClient) recordResult(address message.Address, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rpcErr *rpc.Error
	switch {
	case err == nil:
		if c.leader != address || c.unavailable {
			line := c.log.Info().Str("Event", "core-found").Str("Leader", string(address))
			if c.unavailable {
				line = line.Int64("SilentMillis", int64(c.clock.Now()-c.unavailableAt)).Int("Failed", c.failedAttempts).Str("LastFailure", c.lastFailure)
			}
			line.Msg("leader of the core responds")
		}
		c.leader, c.unavailable = address, false
		return
	case errors.As(err, &rpcErr) && rpcErr.Code == rpc.CodeNotLeader && rpcErr.Leader != "" && rpcErr.Leader != string(address):
		c.leader = message.Address(rpcErr.Leader)
		return
	case errors.As(err, &rpcErr) && rpcErr.Code == rpc.CodeRejected:
		return
	}
	if !c.unavailable {
		c.unavailableAt, c.failedAttempts = c.clock.Now(), 0
		c.log.Warn().Err(err).Str("Event", "core-lost").Str("Asked", string(address)).Msg("call to the core failed")
	}
	if c.leader == address {
		c.leader = ""
	}
	c.unavailable = true
	c.failedAttempts++
	c.lastFailure = string(address) + ": " + err.Error()
}

// call calls the leader of the core. It retries, at other replicas if needed, until a call
// succeeds, the context ends or a replica rejects the call for good. The core may
// therefore receive the call more than once. Each attempt ends after attemptTimeout, or later
// while the link of this host is congested.
func call[Response any](ctx context.Context, c *coreClient, method string, request any, attemptTimeout clock.Millis) (Response, error) {
	for {
		address, client := c.chooseReplica()
		timeout := attemptTimeout
		if c.linkBusy() {
			timeout = max(timeout, maxBusySilence)
		}
		attemptCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
		response, err := rpc.Call[Response](attemptCtx, client, method, request)
		cancel()
		if ctx.Err() == nil || err == nil {
			c.recordResult(address, err)
		}
		if err == nil || rpc.IsCode(err, rpc.CodeRejected) || ctx.Err() != nil {
			return response, err
		}
		if c.clock.Sleep(ctx, retryPause) != nil {
			return response, err
		}
	}
}
