package replog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// benchRecordBytes is the size of one record of package internal/state in a snapshot.
const benchRecordBytes = 500

// sizedMachine is a state machine whose snapshot has a given size.
type sizedMachine struct{ state []byte }

// encode copies the state in chunks, as a real state machine does. The runtime cannot
// preempt a single large copy, which would delay a stop-the-world phase and with it
// all goroutines.
func (s *sizedMachine) encode() ([]byte, error) {
	out := make([]byte, 0, len(s.state))
	for piece := range slices.Chunk(s.state, 64<<10) {
		out = append(out, piece...)
	}
	return out, nil
}

// sendGaps records the longest interval between two messages of each sender.
type sendGaps struct {
	mu      sync.Mutex
	last    map[Identity]time.Time
	longest map[Identity]time.Duration
}

func (g *sendGaps) record(m Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if last, ok := g.last[m.From.Identity]; ok {
		g.longest[m.From.Identity] = max(g.longest[m.From.Identity], now.Sub(last))
	}
	g.last[m.From.Identity] = now
}

func (g *sendGaps) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last, g.longest = map[Identity]time.Time{}, map[Identity]time.Duration{}
}

func (g *sendGaps) longestGap(id Identity) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longest[id]
}

// openBenchReplica starts a replica whose state has the given size.
func openBenchReplica(b *testing.B, n *localNetwork, g *sendGaps, name string, size int) *localReplica {
	l := &localReplica{}
	s := &sizedMachine{state: make([]byte, size)}
	ctx, stop := context.WithCancel(context.Background())
	ready := make(chan struct{})
	o := Options{
		Folder: b.TempDir(), Group: "g", Name: ReplicaID(name), Clock: clock.System(), Random: rand.New(rand.NewPCG(rand.Uint64(), 0)),
		HeartbeatEvery: 50, ElectionTimeout: 250, SnapshotEvery: 200,
		Send: func(m Message) { g.record(m); n.send(m) }, Apply: func(Entry) any { return nil },
		Snapshot: benchSnapshot(s), Restore: func(data []byte) error { s.state = data; return nil },
		OnRoleChange: func(r Role, _ Term) {
			if <-ready; r == Leader {
				n.leaders <- l
			}
		},
	}
	r, err := Open(ctx, o)
	qt.Assert(b, err, qt.IsNil)
	l.Replica, l.stop = r, stop
	n.mu.Lock()
	n.replicas[r.identity] = l
	n.mu.Unlock()
	close(ready)
	b.Cleanup(func() { stop(); <-r.stopped })
	return l
}

// BenchmarkSnapshotBlocks measures the slowest proposal and read index request in a
// group of one while snapshots are written. It then measures the longest interval
// between messages of the leader and of a new replica while the new replica receives
// the state in a snapshot.
func BenchmarkSnapshotBlocks(b *testing.B) {
	for _, records := range []int{100_000, 300_000, 1_000_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			size := records * benchRecordBytes
			n, g := newLocalNetwork(), &sendGaps{}
			g.reset()
			leader := openBenchReplica(b, n, g, "a", size)
			qt.Assert(b, leader.Bootstrap([]Member{leader.Status().Self}), qt.IsNil)
			<-n.leaders
			var propose, readIndex time.Duration
			term := leader.Status().Term
			for range b.N {
				for start := leader.Status().SnapshotIndex; leader.Status().SnapshotIndex < start+400; {
					callStart := time.Now()
					_, err := leader.Propose(b.Context(), make([]byte, 300))
					qt.Assert(b, err, qt.IsNil)
					propose = max(propose, time.Since(callStart))
					callStart = time.Now()
					_, _, err = leader.ReadIndex(b.Context())
					qt.Assert(b, err, qt.IsNil)
					readIndex = max(readIndex, time.Since(callStart))
				}
			}
			g.reset()
			newReplica := openBenchReplica(b, n, g, "b", 0)
			admitStart := time.Now()
			err := leader.Admit(b.Context(), newReplica.Status().Self)
			for errors.Is(err, ErrMemberResponsive) {
				err = leader.Admit(b.Context(), newReplica.Status().Self)
			}
			qt.Assert(b, err, qt.IsNil)
			milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
			b.ReportMetric(milliseconds(propose), "slowest-propose-ms")
			b.ReportMetric(milliseconds(readIndex), "slowest-confirm-ms")
			b.ReportMetric(milliseconds(time.Since(admitStart)), "admit-ms")
			b.ReportMetric(milliseconds(g.longestGap(leader.identity)), "leader-silent-ms")
			b.ReportMetric(milliseconds(g.longestGap(newReplica.identity)), "follower-silent-ms")
			b.ReportMetric(float64(leader.Status().Term-term), "elections")
		})
	}
}

// benchSnapshot returns the Options.Snapshot function of a sizedMachine.
func benchSnapshot(s *sizedMachine) func() (func() ([]byte, error), error) {
	return func() (func() ([]byte, error), error) { return s.encode, nil }
}
