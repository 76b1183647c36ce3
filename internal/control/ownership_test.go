package control

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// simulatedTarget is one target that serves according to its node's lease and
// table. It may outlive its node process.
type simulatedTarget struct {
	incarnation wire.Incarnation
	lease       *lease.Holder
	table       *table.Table
	released    map[wire.Grant]bool
}

// simulatedNode is a node whose heartbeats and responses are delivered by the
// test.
type simulatedNode struct {
	name              string
	process, sequence int
	// earlierEnded is set while the node states that its earlier targets have
	// ended.
	earlierEnded bool
	target       *simulatedTarget
	// processTargets are all targets of the current process.
	processTargets []*simulatedTarget
	requests       []sentHeartbeat
	responses      []answeredHeartbeat
}

type sentHeartbeat struct {
	sentAt  clock.Millis
	target  *simulatedTarget
	request wire.HeartbeatRequest
}

type answeredHeartbeat struct {
	sentHeartbeat
	response wire.HeartbeatResponse
}

type simulation struct {
	*rapid.T
	replica      *testReplica
	nodes        []*simulatedNode
	targets      []*simulatedTarget
	servedChecks int
}

// announce gives a node a new target.
func (s *simulation) announce(n *simulatedNode) {
	n.sequence++
	n.target = &simulatedTarget{
		incarnation: wire.Incarnation(fmt.Sprintf("%s-%d-%d", n.name, n.process, n.sequence)),
		lease:       lease.NewHolder(s.replica.clock.Clock(), lease.DefaultTerms),
		table:       table.New(), released: make(map[wire.Grant]bool),
	}
	s.targets = append(s.targets, n.target)
	n.processTargets = append(n.processTargets, n.target)
}

func (s *simulation) send(n *simulatedNode) {
	h := newHeartbeat(n.name, fmt.Sprint(n.name, n.process), string(n.target.incarnation), n.sequence)
	h.Member.EarlierIncarnationsEnded = n.earlierEnded
	h.KnownVersion = n.target.table.Snapshot().Version()
	for g := range n.target.released {
		h.Released = append(h.Released, g)
	}
	n.requests = append(n.requests, sentHeartbeat{sentAt: n.target.lease.Now(), target: n.target, request: h})
}

// deliver delivers the oldest request to the leader, and possibly the oldest
// response to the node. A response for an earlier target is dropped.
func (s *simulation) deliver(n *simulatedNode) {
	if len(n.requests) > 0 {
		heartbeat := n.requests[0]
		n.requests = n.requests[1:]
		if out, err := s.replica.heartbeat(context.Background(), heartbeat.request); err == nil {
			n.responses = append(n.responses, answeredHeartbeat{heartbeat, out})
		}
	}
	if len(n.responses) == 0 || rapid.Bool().Draw(s.T, "delay response") {
		return
	}
	answered := n.responses[0]
	n.responses = n.responses[1:]
	if answered.target == n.target {
		s.receive(n, answered)
	}
}

func (s *simulation) receive(n *simulatedNode, answered answeredHeartbeat) {
	if err := n.target.table.Apply(answered.response.Delta); err != nil && !errors.Is(err, table.ErrOldDelta) {
		return
	}
	if !answered.response.Granted {
		n.target.lease.Drop()
		n.earlierEnded = false
		s.announce(n)
		return
	}
	n.target.lease.Renewed(answered.sentAt)
	for _, p := range n.target.table.Snapshot().PartitionsOwnedBy(n.target.incarnation) {
		if p.MovingTo != "" {
			n.target.released[wire.Grant{Partition: p.Partition, FencingToken: p.FencingToken}] = true
		}
	}
}

// step advances the clock, sends and delivers messages, and may inject an
// event.
func (s *simulation) step() {
	s.advance(clock.Millis(rapid.IntRange(1, 250).Draw(s.T, "time")))
	for _, n := range s.nodes {
		if rapid.IntRange(0, 4).Draw(s.T, "send") > 0 {
			s.send(n)
			s.deliver(n)
		}
	}
	s.injectEvent(s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.T, "node")])
	s.advance(0)
}

func (s *simulation) advance(d clock.Millis) {
	s.replica.clock.Advance(d)
	s.replica.Tick(context.Background())
	s.requireSingleOwner()
}

func (s *simulation) injectEvent(n *simulatedNode) {
	switch rapid.IntRange(0, 24).Draw(s.T, "event") {
	case 0: // The process restarts. Its target continues to serve under the old lease.
		n.process++
		n.sequence, n.requests, n.responses, n.processTargets = 0, nil, nil, nil
		s.announce(n)
	case 1: // A new target is announced. The earlier ones may continue to serve.
		if n.earlierEnded = rapid.Bool().Draw(s.T, "earlier ended"); n.earlierEnded {
			for _, target := range n.processTargets {
				target.lease.Drop()
			}
		}
		s.announce(n)
	case 2: // Leadership is lost, and a new leadership term begins.
		s.replica.SetLeading(false)
		s.replica.SetLeading(true)
	case 3, 4:
		_, _ = s.replica.drain(context.Background(), wire.DrainRequest{Group: "tz", Node: wire.NodeID(n.name), Drain: rapid.Bool().Draw(s.T, "drain")})
	case 5, 6:
		override := wire.Override{Service: "catalogue", KeyHash: partition.FormatHash(1), Isolated: rapid.Bool().Draw(s.T, "present")}
		_, _ = s.replica.propose(context.Background(), wire.Command{Override: &override})
	case 7: // The service is removed and created again.
		for _, keyed := range []bool{false, true} {
			revision, config := s.replica.Machine.Config()
			config.Services = []wire.ServiceConfig{{Name: "catalogue", Keyed: keyed, Partitions: 3, MoveBudget: 2}}
			_, _ = s.replica.apply(context.Background(), wire.ApplyRequest{Group: "tz", RequestID: wire.RequestID(fmt.Sprint(s.replica.index)), BaseRevision: revision, Configuration: config})
		}
	case 8: // The requests in transit are lost.
		n.requests = nil
	}
}

// requireSingleOwner requires that at most one target serves each of the keys
// with the hashes 0, 1 and 2. These are one key of each partition, and include
// the key whose override is set and ended.
func (s *simulation) requireSingleOwner() {
	for hash := range uint64(3) {
		serving := wire.Incarnation("")
		for _, target := range s.targets {
			p, ok := target.table.Snapshot().PartitionOfHash("catalogue", hash)
			serves := ok && p.Owner == target.incarnation && target.lease.Remaining() > 0 && !target.released[wire.Grant{Partition: p.Partition, FencingToken: p.FencingToken}]
			if serves && serving != "" {
				s.Fatalf("%s and %s both serve %s", serving, target.incarnation, p.Partition)
			}
			if serves {
				serving = target.incarnation
				s.servedChecks++
			}
		}
	}
}

// Guards against two targets that serve the same key at the same time, while
// processes restart, messages are late or lost, the leader changes, nodes
// drain, hot keys get overrides, and services are removed and created again.
func TestAtMostOneTargetServesAKey(t *testing.T) {
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{T: rt, replica: newTestReplica(t)}
		s.replica.configure(3, 2)
		for i := range 3 {
			n := &simulatedNode{name: fmt.Sprint("n", i)}
			s.nodes = append(s.nodes, n)
			s.announce(n)
		}
		for range rapid.IntRange(20, 60).Draw(rt, "steps") {
			s.step()
		}
		served += s.servedChecks
	})
	if served == 0 {
		t.Fatal("no target ever served a key, so the test checked nothing")
	}
}
