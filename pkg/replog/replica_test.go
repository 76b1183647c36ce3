package replog

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// localNetwork delivers messages between replicas in the same process.
type localNetwork struct {
	mu       sync.Mutex
	replicas map[Identity]*localReplica
	// leaders receives each replica that becomes leader.
	leaders chan *localReplica
	// snapshotEvery is Options.SnapshotEvery of the replicas.
	snapshotEvery int
}

// localReplica is a replica with real files and a state machine.
type localReplica struct {
	*Replica
	machine
	stop context.CancelFunc
}

func newLocalNetwork() *localNetwork {
	return &localNetwork{replicas: map[Identity]*localReplica{}, leaders: make(chan *localReplica, 1024), snapshotEvery: 100}
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

// open starts a replica, and stops it at the end of the test.
func (n *localNetwork) open(tb testing.TB, name, folder string, f fileSystem) *localReplica {
	l := &localReplica{}
	ctx, stop := context.WithCancel(context.Background())
	ready := make(chan struct{})
	o := Options{
		Folder: folder, Group: "g", Name: ReplicaID(name), Clock: clock.System(), Random: rand.New(rand.NewPCG(rand.Uint64(), 0)),
		HeartbeatEvery: 20, ElectionTimeout: 200, SnapshotEvery: n.snapshotEvery,
		Send: n.send, Apply: l.apply, Snapshot: l.snapshot, Restore: l.restore,
		OnRoleChange: func(r Role, _ Term) {
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
	tb.Cleanup(func() { stop(); <-r.stopped })
	return l
}

// machine is a state machine that stores all commands in a list.
type machine struct {
	mu       sync.Mutex
	commands []string
}

func (m *machine) apply(e Entry) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(e.Data))
	return len(m.commands)
}

func (m *machine) snapshot() (func() ([]byte, error), error) {
	commands := m.commands[:len(m.commands):len(m.commands)]
	return func() ([]byte, error) {
		e := encoder{}
		for _, s := range commands {
			e.text(s)
		}
		return e.b, nil
	}, nil
}

func (m *machine) restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	for d := (decoder{b: b}); len(d.b) > 0; {
		m.commands = append(m.commands, d.text())
	}
	return nil
}

func (m *machine) allCommands() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.commands...)
}

// openGroup starts and bootstraps a group and returns its leader and followers.
func (n *localNetwork) openGroup(tb testing.TB, names ...string) (*localReplica, []*localReplica) {
	var members []Member
	var all, followers []*localReplica
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
			followers = append(followers, l)
		}
	}
	return leader, followers
}

// Guards against a group that elects no leader, loses a proposal, applies entries in
// the wrong order, or completes ReadIndex before the entries are applied.
func TestGroupAppliesProposals(t *testing.T) {
	for name, size := range map[string]int{"one voter": 1, "three voters": 3} {
		t.Run(name, func(t *testing.T) {
			n := newLocalNetwork()
			leader, followers := n.openGroup(t, []string{"a", "b", "c"}[:size]...)
			for i := range 250 {
				got, err := leader.Propose(t.Context(), fmt.Appendf(nil, "%d", i))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, got, qt.Equals, i+1)
			}
			term, index, err := leader.ReadIndex(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, term, qt.Equals, leader.Status().Term)
			qt.Assert(t, leader.Status().AppliedIndex >= index, qt.IsTrue)
			for _, l := range followers {
				_, err := l.Propose(t.Context(), []byte("x"))
				qt.Assert(t, errors.Is(err, ErrNotLeader), qt.IsTrue)
			}
		})
	}
}

// Guards against a command that is appended in a later term than the one it was decided in,
// by a replica that has been elected again.
func TestCommandOfEarlierTermIsNotAppended(t *testing.T) {
	n := newLocalNetwork()
	leader, _ := n.openGroup(t, "a", "b", "c")
	term := leader.Status().Term
	_, err := leader.ProposeInTerm(t.Context(), term, []byte("first"))
	qt.Assert(t, err, qt.IsNil)
	for next := leader; next != leader || leader.Status().Term == term; next = <-n.leaders {
		_, _, err := next.ReadIndex(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, next.TransferLeadership(t.Context()), qt.IsNil)
	}
	_, err = leader.ProposeInTerm(t.Context(), term, []byte("late"))
	qt.Assert(t, errors.Is(err, ErrNotLeader), qt.IsTrue)
	_, err = leader.ProposeInTerm(t.Context(), leader.Status().Term, []byte("second"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, leader.allCommands(), qt.DeepEquals, []string{"first", "second"})
}

// Guards against entries that are lost or applied twice when a replica stops and
// restarts from its snapshot and log.
func TestRestartKeepsState(t *testing.T) {
	folder := t.TempDir()
	n := newLocalNetwork()
	first := n.open(t, "a", folder, osFiles())
	qt.Assert(t, first.Bootstrap([]Member{first.Status().Self}), qt.IsNil)
	qt.Assert(t, <-n.leaders, qt.Equals, first)
	for i := range 250 {
		_, err := first.Propose(t.Context(), fmt.Appendf(nil, "%d", i))
		qt.Assert(t, err, qt.IsNil)
	}
	first.stop()
	qt.Assert(t, <-first.Done(), qt.IsNil)
	_, err := first.Propose(t.Context(), []byte("late"))
	qt.Assert(t, errors.Is(err, ErrNotLeader), qt.IsTrue)

	second := n.open(t, "a", folder, osFiles())
	qt.Assert(t, second.Status().SnapshotIndex > 0, qt.IsTrue)
	qt.Assert(t, <-n.leaders, qt.Equals, second)
	got, err := second.Propose(t.Context(), []byte("last"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, 251)
}

// Guards against a leader that stops, or is asked to transfer leadership, without
// another replica taking over immediately.
func TestLeadershipTransfer(t *testing.T) {
	tests := map[string]func(*testing.T, *localReplica){
		"transfer": func(t *testing.T, l *localReplica) {
			qt.Assert(t, l.TransferLeadership(t.Context()), qt.IsNil)
			qt.Assert(t, errors.Is(l.TransferLeadership(t.Context()), ErrNotLeader), qt.IsTrue)
		},
		"planned stop": func(t *testing.T, l *localReplica) {
			l.stop()
			qt.Assert(t, <-l.Done(), qt.IsNil)
		},
	}
	for name, transfer := range tests {
		t.Run(name, func(t *testing.T) {
			n := newLocalNetwork()
			old, _ := n.openGroup(t, "a", "b", "c")
			_, err := old.Propose(t.Context(), []byte("first"))
			qt.Assert(t, err, qt.IsNil)
			term := old.Status().Term
			transfer(t, old)
			next := <-n.leaders
			qt.Assert(t, next != old, qt.IsTrue)
			// An election after a timeout would need a pre-vote, which a replica that
			// still receives messages from the old leader rejects.
			qt.Assert(t, next.Status().Term, qt.Equals, term+1)
			got, err := next.Propose(t.Context(), []byte("second"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, 2)
		})
	}
}

// Guards against a replica that keeps its old identity after its data folder was
// emptied, and against an Admit that returns before the group can lose another
// replica.
func TestReplaceEmptiedReplica(t *testing.T) {
	n := newLocalNetwork()
	leader, followers := n.openGroup(t, "a", "b", "c")
	for i := range 250 {
		_, err := leader.Propose(t.Context(), fmt.Appendf(nil, "%d", i))
		qt.Assert(t, err, qt.IsNil)
	}
	lost := followers[0].Status().Self
	// The replica is disconnected before its planned stop, which looks like a failure
	// to the others.
	n.mu.Lock()
	delete(n.replicas, lost.Identity)
	n.mu.Unlock()
	followers[0].stop()
	<-followers[0].stopped
	replacement := n.open(t, string(lost.Name), t.TempDir(), osFiles())
	self := replacement.Status().Self
	qt.Assert(t, self.Identity != lost.Identity, qt.IsTrue)
	err := leader.Admit(t.Context(), self)
	for errors.Is(err, ErrMemberResponsive) {
		err = leader.Admit(t.Context(), self)
	}
	qt.Assert(t, err, qt.IsNil)

	followers[1].stop()
	<-followers[1].stopped
	_, err = leader.Propose(t.Context(), []byte("after two losses"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, leader.TransferLeadership(t.Context()), qt.IsNil)
	qt.Assert(t, <-n.leaders, qt.Equals, replacement)
	_, _, err = replacement.ReadIndex(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, replacement.allCommands(), qt.DeepEquals, leader.allCommands())
}

// Guards against a second bootstrap with different members.
func TestBootstrapOnlyOnce(t *testing.T) {
	n := newLocalNetwork()
	l := n.open(t, "a", t.TempDir(), osFiles())
	self := []Member{l.Status().Self}
	other := []Member{{Name: "b", Identity: "other"}}
	qt.Assert(t, errors.Is(l.Bootstrap(other), ErrInvalidMember), qt.IsTrue)
	qt.Assert(t, errors.Is(l.Bootstrap(nil), ErrInvalidMember), qt.IsTrue)
	qt.Assert(t, l.Bootstrap(self), qt.IsNil)
	<-n.leaders
	qt.Assert(t, l.Bootstrap(self), qt.IsNil)
	qt.Assert(t, errors.Is(l.Bootstrap(append(other, self...)), ErrNotEmpty), qt.IsTrue)
	qt.Assert(t, l.Status().CanLoseOne, qt.IsFalse)
}

// Guards against acknowledging a proposal after its fsync has failed.
func TestFailedSyncEndsReplica(t *testing.T) {
	var broken atomic.Bool
	n := newLocalNetwork()
	l := n.open(t, "a", t.TempDir(), failingFileSystem("sync", broken.Load))
	qt.Assert(t, l.Bootstrap([]Member{l.Status().Self}), qt.IsNil)
	<-n.leaders
	broken.Store(true)
	_, err := l.Propose(t.Context(), []byte("lost"))
	qt.Assert(t, errors.Is(err, ErrOutcomeUnknown), qt.IsTrue)
	qt.Assert(t, errors.Is(<-l.Done(), ErrStorage), qt.IsTrue)
	broken.Store(false)
	_, _, err = l.ReadIndex(t.Context())
	qt.Assert(t, errors.Is(err, ErrNotLeader), qt.IsTrue)
	qt.Assert(t, l.allCommands(), qt.HasLen, 0)
}

// BenchmarkPropose measures the rate of committed proposals in a group of three
// replicas with real files.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			n := newLocalNetwork()
			// Snapshots are disabled because their size would grow with the number of
			// proposals.
			n.snapshotEvery = math.MaxInt32
			leader, _ := n.openGroup(b, "a", "b", "c")
			data := make([]byte, 128)
			var next atomic.Int64
			var all sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				all.Go(func() {
					for next.Add(1) <= int64(b.N) {
						if _, err := leader.Propose(b.Context(), data); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			all.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}
