package sidecar

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Guards against a search for the leader that goes on to replicas that cannot be reached
// soon, although another one is connected, and against one that asks only that one, which
// may be cut off from the leader.
func TestSearchForLeaderPrefersConnectedReplicas(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := rpc.NewServer()
	rpc.Handle(server, "Greet", func(context.Context, struct{}) (struct{}, error) { return struct{}{}, nil })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, l) }()
	defer func() {
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	}()
	connected := message.Address(l.Addr().String())
	seeds := []message.Address{"127.0.0.1:1", "127.0.0.1:2", connected}
	c := newCoreClient(clock.System(), zerolog.Nop(), seeds, func() bool { return false })
	defer c.close()
	// An even number of candidates, so that alternation does not leave out every second one.
	c.setReplicas(append([]message.Address{"127.0.0.1:3", "127.0.0.1:4"}, seeds...))
	_, err = rpc.Call[struct{}](t.Context(), c.client(connected), "Greet", struct{}{})
	qt.Assert(t, err, qt.IsNil)
	chosen := map[message.Address]int{}
	const attempts = 2 * 8 // one round over the replicas and seeds, and as many at the connected one
	for range attempts {
		address, _ := c.chooseReplica()
		chosen[address]++
	}
	qt.Check(t, chosen[connected] >= attempts/2, qt.IsTrue, qt.Commentf("%v", chosen))
	qt.Check(t, chosen, qt.HasLen, 5, qt.Commentf("%v", chosen))
}
