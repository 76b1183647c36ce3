package quorum

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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

// Guards against a leader that loses its leadership because heartbeats wait behind an entry
// whose transfer takes longer than the election timeout, and against an entry that is never
// transferred completely.
func TestLargeEntryKeepsLeader(t *testing.T) {
	const size = 2 << 20
	var copies atomic.Int32
	var links []*slowLink
	var listeners []net.Listener
	for range 3 {
		link := &slowLink{Listener: listen(t)}
		link.bytesPerSecond.Store(1 << 30)
		links, listeners = append(links, link), append(listeners, link)
	}
	g := startGroup(t, listeners, func(e replog.Entry) any {
		if len(e.Data) == size {
			copies.Add(1)
		}
		return nil
	})
	leader := g.replicas[g.awaitLeader()]
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
	_, err := leader.propose(ctx, data)
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "all replicas have applied the entry", func() bool { return copies.Load() == 3 })
	after, _ := leader.Status()
	qt.Assert(t, after.Term, qt.Equals, before.Term)
	qt.Assert(t, after.Role, qt.Equals, replog.Leader)
}
