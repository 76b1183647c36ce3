package quorum

import (
	"context"
	"net"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// testReplica is a replica that runs with a server of its own.
type testReplica struct {
	*Quorum
	cancel context.CancelFunc
	ended  chan error
}

// restart runs a replica again that was stopped, on its address and data folder.
func (r *testReplica) restart(t *testing.T) *testReplica {
	l, err := net.Listen("tcp", string(r.options.Address))
	qt.Assert(t, err, qt.IsNil)
	options := r.options
	options.FirstStart = false
	return startReplica(t, l, options)
}

// stateless returns state machines without state, which apply entries by the given function,
// if there is one.
func stateless(apply func(replog.Entry) any) func() StateMachine {
	if apply == nil {
		apply = func(replog.Entry) any { return nil }
	}
	return func() StateMachine {
		return StateMachine{
			Apply:   apply,
			Capture: func() (func() ([]byte, error), error) { return func() ([]byte, error) { return nil, nil }, nil },
			Restore: func([]byte) error { return nil },
		}
	}
}

// propose commits a command in the current leadership.
func (q *Quorum) propose(ctx context.Context, data []byte) (any, error) {
	l := q.leadership.Load()
	if l == nil {
		return nil, q.notLeader()
	}
	return l.Propose(ctx, data)
}

// startReplica runs a replica until it is stopped or the test ends. By default, its state
// machine does nothing.
func startReplica(t *testing.T, l net.Listener, options Options) *testReplica {
	options.Address = message.Address(l.Addr().String())
	if options.NewMachine == nil {
		options.NewMachine = stateless(nil)
	}
	options.Clock, options.Log, options.OnRole = clock.System(), zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Str("Name", options.Name).Logger(), func(replog.Role, replog.Term, *Leadership) {}
	r := &testReplica{Quorum: New(options), ended: make(chan error, 1)}
	server := rpc.NewServer()
	r.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	// As in the core, the server ends after the log.
	serverCtx, stopServer := context.WithCancel(context.Background())
	serverDone := make(chan error, 1)
	go func() { serverDone <- server.Serve(serverCtx, l) }()
	go func() {
		err := r.Run(ctx)
		stopServer()
		qt.Check(t, <-serverDone, qt.IsNil)
		r.ended <- err
	}()
	r.cancel = cancel
	t.Cleanup(func() { r.stop(t) })
	return r
}

// stop stops the replica and waits until it has ended.
func (r *testReplica) stop(t *testing.T) {
	r.cancel()
	if err, running := <-r.ended; running {
		qt.Check(t, err, qt.IsNil)
		close(r.ended)
	}
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return l
}

// testGroup is a group of replicas with the names a, b and so on.
type testGroup struct {
	t        *testing.T
	seeds    []message.Address
	voters   int
	replicas map[replog.ReplicaID]*testReplica
}

// startGroup runs one replica for each listener and returns once all are caught-up voters.
func startGroup(t *testing.T, listeners []net.Listener, apply func(replog.Entry) any) *testGroup {
	g := &testGroup{t: t, voters: len(listeners), replicas: map[replog.ReplicaID]*testReplica{}}
	for _, l := range listeners {
		g.seeds = append(g.seeds, message.Address(l.Addr().String()))
	}
	for i, l := range listeners {
		name := replog.ReplicaID(rune('a' + i))
		g.replicas[name] = startReplica(t, l, Options{
			Name: string(name), DataFolder: t.TempDir(), Seeds: g.seeds, FirstStart: true, VoterCount: g.voters, NewMachine: stateless(apply),
		})
	}
	eventually(t, "all replicas are caught-up voters", func() bool { return len(g.caughtUp()) == g.voters })
	return g
}

// add starts a replica that is not in its first start.
func (g *testGroup) add(name replog.ReplicaID) {
	g.replicas[name] = startReplica(g.t, listen(g.t), Options{Name: string(name), DataFolder: g.t.TempDir(), Seeds: g.seeds, VoterCount: g.voters})
}

// stop stops a replica for good.
func (g *testGroup) stop(name replog.ReplicaID) {
	g.replicas[name].stop(g.t)
	delete(g.replicas, name)
}

// leader returns the name of the leader; empty if there is none.
func (g *testGroup) leader() replog.ReplicaID {
	for name, r := range g.replicas {
		if r.isLeader() {
			return name
		}
	}
	return ""
}

// awaitLeader returns the leader once there is one.
func (g *testGroup) awaitLeader() replog.ReplicaID {
	eventually(g.t, "there is a leader", func() bool { return g.leader() != "" })
	return g.leader()
}

// status returns the state of the log at the leader.
func (g *testGroup) status() replog.Status {
	if r := g.replicas[g.leader()]; r != nil {
		s, _ := r.Status()
		return s
	}
	return replog.Status{}
}

// voterNames returns the names of the voters according to the leader, in order.
func (g *testGroup) voterNames() []replog.ReplicaID {
	var out []replog.ReplicaID
	for _, m := range g.status().Voters {
		out = append(out, m.Name)
	}
	slices.Sort(out)
	return out
}

// caughtUp returns the names of the voters that have caught up according to the leader.
func (g *testGroup) caughtUp() []replog.ReplicaID {
	var out []replog.ReplicaID
	for _, m := range g.status().Voters {
		if m.CaughtUp {
			out = append(out, m.Name)
		}
	}
	slices.Sort(out)
	return out
}
