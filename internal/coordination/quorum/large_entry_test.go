package quorum

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/rpc"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// slowLink limits what all connections to one replica receive together.
type slowLink struct {
	net.Listener
	bytesPerSecond atomic.Int64
	// next is when the next read may return, in nanoseconds of the Unix time.
	next atomic.Int64
}

// slowConn has a small receive buffer, so that the sender notices the limit.
type slowConn struct {
	net.Conn
	link *slowLink
}

func (l *slowLink) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := c.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		return nil, err
	}
	return &slowConn{c, l}, nil
}

// Read delays the bytes by the time that the link needs for them.
func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), 8<<10)])
	now, duration := time.Now().UnixNano(), int64(n)*int64(time.Second)/c.link.bytesPerSecond.Load()
	for {
		next := c.link.next.Load()
		until := max(next, now) + duration
		if c.link.next.CompareAndSwap(next, until) {
			time.Sleep(time.Duration(until - now))
			return n, err
		}
	}
}

// startGroup runs a group of three replicas over slow links and returns them once all are
// voters.
func startGroup(t *testing.T, applied func(replog.Entry)) (replicas []*Quorum, links []*slowLink) {
	var seeds []message.Address
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		link := &slowLink{Listener: l}
		link.bytesPerSecond.Store(1 << 30)
		links = append(links, link)
		seeds = append(seeds, message.Address(l.Addr().String()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 6)
	for i, link := range links {
		q := New(Options{
			Name: string(rune('a' + i)), Address: seeds[i], DataFolder: t.TempDir(), Seeds: seeds, FirstStart: true, VoterCount: 3,
			Machine: StateMachine{
				Apply:   func(e replog.Entry) any { applied(e); return nil },
				Capture: func() (func() ([]byte, error), error) { return func() ([]byte, error) { return nil, nil }, nil },
				Restore: func([]byte) error { return nil }, Reset: func() {},
			},
			Clock: clock.System(), Log: zerolog.Nop(), OnRole: func(replog.Role, replog.Term) {},
		})
		server := rpc.NewServer()
		q.Register(server)
		go func() { ended <- server.Serve(ctx, link) }()
		go func() { ended <- q.Run(ctx) }()
		replicas = append(replicas, q)
	}
	t.Cleanup(func() {
		cancel()
		for range cap(ended) {
			qt.Check(t, <-ended, qt.IsNil)
		}
	})
	eventually(t, "all replicas are caught-up voters", func() bool {
		i := slices.IndexFunc(replicas, (*Quorum).isLeader)
		if i < 0 {
			return false
		}
		s, _ := replicas[i].Status()
		return len(s.Voters) == 3 && !slices.ContainsFunc(s.Voters, func(m replog.MemberStatus) bool { return !m.CaughtUp })
	})
	return replicas, links
}

// Guards against a leader that loses its leadership because heartbeats wait behind an entry
// whose transfer takes longer than the election timeout, and against an entry that is never
// transferred completely.
func TestLargeEntryKeepsLeader(t *testing.T) {
	const size = 2 << 20
	var copies atomic.Int32
	replicas, links := startGroup(t, func(e replog.Entry) {
		if len(e.Data) == size {
			copies.Add(1)
		}
	})
	leader := replicas[slices.IndexFunc(replicas, (*Quorum).isLeader)]
	before, _ := leader.Status()
	for _, l := range links {
		// The entry takes two seconds to each follower, four times the election timeout.
		l.bytesPerSecond.Store(size * 2 / 3)
	}
	data := make([]byte, size)
	random := rand.NewChaCha8([32]byte{})
	_, _ = random.Read(data)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	_, err := leader.Propose(ctx, data)
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "all replicas have applied the entry", func() bool { return copies.Load() == 3 })
	after, _ := leader.Status()
	qt.Assert(t, after.Term, qt.Equals, before.Term)
	qt.Assert(t, after.Role, qt.Equals, replog.Leader)
}
