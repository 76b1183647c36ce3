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

// claim is one target that serves by its node's lease and table. It may outlive
// its node process.
type claim struct {
	incarnation wire.Incarnation
	holder      *lease.Holder
	table       *table.Table
	released    map[wire.Grant]bool
}

// simulatedNode sends heartbeats whose delivery, and that of the responses, the
// test decides.
type simulatedNode struct {
	name              string
	process, sequence int
	vouches           bool
	claim             *claim
	own               []*claim
	sent              []sentBeat
	answered          []answeredBeat
}

type sentBeat struct {
	at      clock.Millis
	claim   *claim
	request wire.HeartbeatRequest
}

type answeredBeat struct {
	sentBeat
	response wire.HeartbeatResponse
}

type simulation struct {
	*rapid.T
	rig    *rig
	nodes  []*simulatedNode
	claims []*claim
	served int
}

func (s *simulation) announce(n *simulatedNode) {
	n.sequence++
	n.claim = &claim{
		incarnation: wire.Incarnation(fmt.Sprintf("%s-%d-%d", n.name, n.process, n.sequence)),
		holder:      lease.NewHolder(s.rig.clock.Clock(), lease.DefaultTerms),
		table:       table.New(), released: make(map[wire.Grant]bool),
	}
	s.claims = append(s.claims, n.claim)
	n.own = append(n.own, n.claim)
}

func (s *simulation) send(n *simulatedNode) {
	h := beat(n.name, fmt.Sprint(n.name, n.process), string(n.claim.incarnation), n.sequence)
	h.Member.EarlierEnded = n.vouches
	h.KnownVersion = n.claim.table.Snapshot().Version()
	for g := range n.claim.released {
		h.Released = append(h.Released, g)
	}
	n.sent = append(n.sent, sentBeat{at: n.claim.holder.Now(), claim: n.claim, request: h})
}

// deliver hands the oldest request to the leader, or the oldest response to the
// node, as long as the process that sent it still runs.
func (s *simulation) deliver(n *simulatedNode) {
	if len(n.sent) > 0 {
		b := n.sent[0]
		n.sent = n.sent[1:]
		if out, err := s.rig.heartbeat(context.Background(), b.request); err == nil {
			n.answered = append(n.answered, answeredBeat{b, out})
		}
	}
	if len(n.answered) == 0 || rapid.Bool().Draw(s.T, "delay response") {
		return
	}
	a := n.answered[0]
	n.answered = n.answered[1:]
	if a.claim == n.claim {
		s.receive(n, a)
	}
}

func (s *simulation) receive(n *simulatedNode, a answeredBeat) {
	if err := n.claim.table.Apply(a.response.Delta); err != nil && !errors.Is(err, table.ErrOld) {
		return
	}
	if !a.response.Granted {
		n.claim.holder.Drop()
		n.vouches = false
		s.announce(n)
		return
	}
	n.claim.holder.Renewed(a.at)
	for _, p := range n.claim.table.Snapshot().Owned(n.claim.incarnation) {
		if p.MovingTo != "" {
			n.claim.released[wire.Grant{Partition: p.Partition, FencingToken: p.FencingToken}] = true
		}
	}
}

// step lets time pass and messages travel; then something may happen.
func (s *simulation) step() {
	s.advance(clock.Millis(rapid.IntRange(1, 250).Draw(s.T, "time")))
	for _, n := range s.nodes {
		if rapid.IntRange(0, 4).Draw(s.T, "silent") > 0 {
			s.send(n)
			s.deliver(n)
		}
	}
	s.disturb(s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.T, "node")])
	s.advance(0)
}

func (s *simulation) advance(d clock.Millis) {
	s.rig.clock.Advance(d)
	s.rig.Tick(context.Background())
	s.requireOneServer()
}

func (s *simulation) disturb(n *simulatedNode) {
	switch rapid.IntRange(0, 24).Draw(s.T, "event") {
	case 0: // The process restarts; its target serves on by the old lease.
		n.process++
		n.sequence, n.sent, n.answered, n.own = 0, nil, nil, nil
		s.announce(n)
	case 1: // A target announces itself anew; the earlier ones may serve on.
		if n.vouches = rapid.Bool().Draw(s.T, "vouches"); n.vouches {
			for _, c := range n.own {
				c.holder.Drop()
			}
		}
		s.announce(n)
	case 2:
		s.rig.SetLeading(false)
		s.rig.SetLeading(true)
	case 3, 4:
		_, _ = s.rig.drain(context.Background(), wire.DrainRequest{Group: "tz", Node: wire.NodeID(n.name), Drain: rapid.Bool().Draw(s.T, "drain")})
	case 5, 6:
		o := wire.Override{Service: "catalogue", KeyHash: partition.FormatHash(1), Present: rapid.Bool().Draw(s.T, "present")}
		_, _ = s.rig.propose(context.Background(), wire.Command{Override: &o})
	case 7: // The service is removed and created again.
		for _, keyed := range []bool{false, true} {
			revision, c := s.rig.Machine.Config()
			c.Services = []wire.ServiceConfig{{Name: "catalogue", Keyed: keyed, Partitions: 3, MoveBudget: 2}}
			_, _ = s.rig.apply(context.Background(), wire.ApplyRequest{Group: "tz", RequestID: wire.RequestID(fmt.Sprint(s.rig.index)), BaseRevision: revision, Configuration: c})
		}
	case 8:
		n.sent = nil
	}
}

// requireOneServer checks the key with hash 1 and one key of each partition.
func (s *simulation) requireOneServer() {
	for hash := range uint64(3) {
		server := wire.Incarnation("")
		for _, c := range s.claims {
			p, ok := c.table.Snapshot().PartitionOfHash("catalogue", hash)
			serves := ok && p.Owner == c.incarnation && c.holder.Remaining() > 0 && !c.released[wire.Grant{Partition: p.Partition, FencingToken: p.FencingToken}]
			if serves && server != "" {
				s.Fatalf("%s and %s both serve %s", server, c.incarnation, p.Partition)
			}
			if serves {
				server = c.incarnation
				s.served++
			}
		}
	}
}

// Guards against two targets that serve the same key at the same time, through
// restarts, late messages, changes of leader, drains, overrides of hot keys and
// services that are removed and created again.
func TestAtMostOneTargetServesAKey(t *testing.T) {
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{T: rt, rig: newRig(t)}
		s.rig.configure(3, 2)
		for i := range 3 {
			n := &simulatedNode{name: fmt.Sprint("n", i)}
			s.nodes = append(s.nodes, n)
			s.announce(n)
		}
		for range rapid.IntRange(20, 60).Draw(rt, "steps") {
			s.step()
		}
		served += s.served
	})
	if served == 0 {
		t.Fatal("no key was ever served; the test shows nothing")
	}
}
