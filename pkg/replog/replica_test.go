package replog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// localNetwork delivers messages between the replicas of one process.
type localNetwork struct {
	mu       sync.Mutex
	replicas map[Identity]*localReplica
	leaders  chan *localReplica
}

// localReplica is a replica on real files whose machine keeps all commands.
type localReplica struct {
	*Replica
	stop    context.CancelFunc
	mu      sync.Mutex
	applied []string
}

func newLocalNetwork() *localNetwork {
	return &localNetwork{replicas: map[Identity]*localReplica{}, leaders: make(chan *localReplica, 1024)}
}

func (n *localNetwork) send(m Message) {
	n.mu.Lock()
	r := n.replicas[m.To.Identity]
	n.mu.Unlock()
	if r == nil {
		return
	}
	d, err := DecodeMessage(m.Encode())
	if err != nil {
		panic(err)
	}
	r.Deliver(d)
}

// open starts a replica; its end is checked when the test ends.
func (n *localNetwork) open(tb testing.TB, name, folder string, f files) *localReplica {
	l := &localReplica{}
	ctx, stop := context.WithCancel(context.Background())
	ready := make(chan struct{})
	o := Options{
		Folder: folder, Group: "g", Name: ReplicaID(name), Clock: clock.System(), Random: rand.New(rand.NewPCG(rand.Uint64(), 0)),
		HeartbeatEvery: 20, ElectionTimeout: 200, SnapshotEvery: 100,
		Send: n.send, Apply: l.apply, Snapshot: l.snapshot, Restore: l.restore,
		OnRole: func(r Role, _ Term) {
			if <-ready; r == Leader {
				n.leaders <- l
			}
		},
	}
	r, err := open(ctx, o, f)
	qt.Assert(tb, err, qt.IsNil)
	l.Replica, l.stop = r, stop
	n.mu.Lock()
	n.replicas[r.identity] = l
	n.mu.Unlock()
	close(ready)
	tb.Cleanup(func() { stop(); <-r.ended })
	return l
}

func (l *localReplica) apply(e Entry) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applied = append(l.applied, string(e.Data))
	return len(l.applied)
}

func (l *localReplica) snapshot() ([]byte, error) {
	e := encoder{}
	for _, s := range l.applied {
		e.text(s)
	}
	return e.b, nil
}

func (l *localReplica) restore(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applied = nil
	for d := (decoder{b: b}); len(d.b) > 0; {
		l.applied = append(l.applied, d.text())
	}
	return nil
}

// openGroup starts and bootstraps a group and returns its leader and the rest.
func (n *localNetwork) openGroup(tb testing.TB, names ...string) (*localReplica, []*localReplica) {
	var members []Member
	var all, rest []*localReplica
	for _, s := range names {
		l := n.open(tb, s, tb.TempDir(), osFiles())
		all = append(all, l)
		members = append(members, l.Status().Self)
	}
	for _, l := range all {
		qt.Assert(tb, l.Bootstrap(members), qt.IsNil)
	}
	leader := <-n.leaders
	for _, l := range all {
		if l != leader {
			rest = append(rest, l)
		}
	}
	return leader, rest
}

// Guards against a group that elects nobody, loses a proposal, applies in
// another order, or confirms without having applied.
func TestGroupAppliesProposals(t *testing.T) {
	for name, size := range map[string]int{"one voter": 1, "three voters": 3} {
		t.Run(name, func(t *testing.T) {
			n := newLocalNetwork()
			leader, rest := n.openGroup(t, []string{"a", "b", "c"}[:size]...)
			for i := range 250 {
				got, err := leader.Propose(t.Context(), fmt.Appendf(nil, "%d", i))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, got, qt.Equals, i+1)
			}
			term, index, err := leader.Confirm(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, term, qt.Equals, leader.Status().Term)
			qt.Assert(t, leader.Status().Applied >= index, qt.IsTrue)
			for _, l := range rest {
				_, err := l.Propose(t.Context(), []byte("x"))
				qt.Assert(t, errors.Is(err, ErrNotLeader), qt.IsTrue)
			}
		})
	}
}
