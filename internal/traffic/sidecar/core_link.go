package sidecar

import (
	"context"
	"errors"
	"sync"

	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// retryPause is the pause before the next replica of the core is asked.
const retryPause clock.Millis = 50

// coreLink calls the leader of the core. It learns the replicas from the seeds and
// from what the core publishes, and the leader from the replicas.
type coreLink struct {
	clock clock.Clock
	log   zerolog.Logger
	seeds []message.Address

	mu      sync.Mutex
	clients map[message.Address]*rpc.Client
	known   []message.Address
	leader  message.Address
	next    int
	lost    bool
}

func newCoreLink(k clock.Clock, log zerolog.Logger, seeds []message.Address) *coreLink {
	return &coreLink{clock: k, log: log, seeds: seeds, clients: map[message.Address]*rpc.Client{}}
}

func (c *coreLink) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.clients {
		x.Close()
	}
}

// setKnown notes the replicas of the core.
func (c *coreLink) setKnown(all []message.Address) {
	if len(all) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = all
}

// pick returns the client of the leader, or of the next replica in turn.
func (c *coreLink) pick() (message.Address, *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.leader
	if a == "" {
		// Seeds stay in the turn: all replicas known before may have been replaced.
		all := append(append([]message.Address{}, c.known...), c.seeds...)
		a = all[c.next%len(all)]
		c.next++
	}
	x := c.clients[a]
	if x == nil {
		x = rpc.NewClient(string(a))
		c.clients[a] = x
	}
	return a, x
}

// note records how a call to a replica ended.
func (c *coreLink) note(a message.Address, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var e *rpc.Error
	switch {
	case err == nil:
		if c.leader != a || c.lost {
			c.log.Info().Str("Event", "core-found").Str("Leader", string(a)).Msg("leader answers")
		}
		c.leader, c.lost = a, false
		return
	case errors.As(err, &e) && e.Code == rpc.CodeNotLeader && e.Leader != "" && e.Leader != string(a):
		c.leader = message.Address(e.Leader)
		return
	case errors.As(err, &e) && e.Code == rpc.CodeRefused:
		return
	}
	if !c.lost {
		c.log.Warn().Err(err).Str("Event", "core-lost").Str("Asked", string(a)).Msg("leader does not answer")
	}
	if c.leader == a {
		c.leader = ""
	}
	c.lost = true
}

// call asks the leader, and goes on to other replicas until the context ends or a
// replica refuses for good. Each call may reach the core more than once.
func call[Response any](ctx context.Context, c *coreLink, method string, request any, each clock.Millis) (Response, error) {
	for {
		a, client := c.pick()
		one, cancel := context.WithTimeout(ctx, each.Duration())
		out, err := rpc.Call[Response](one, client, method, request)
		cancel()
		if ctx.Err() == nil || err == nil {
			c.note(a, err)
		}
		if err == nil || rpc.IsCode(err, rpc.CodeRefused) || ctx.Err() != nil {
			return out, err
		}
		if c.clock.Sleep(ctx, retryPause) != nil {
			return out, err
		}
	}
}
