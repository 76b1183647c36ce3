package core

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/replog"
)

// startLeader runs a core of one replica and returns it once it leads.
func startLeader(t *testing.T, log zerolog.Logger) *Core {
	c, l := newSingleCore(t, log, settings.HostBounds{})
	c.runLeader(t, l)
	return c
}

// newSingleCore returns a core of one replica that is not running yet, and its listener.
func newSingleCore(t *testing.T, log zerolog.Logger, bounds settings.HostBounds) (*Core, net.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := l.Addr().String()
	return New(Options{Clock: clock.System(), Log: log, Metrics: prometheus.NewRegistry(), Settings: settings.Host{
		Name: "core-1", IP: "127.0.0.1", PeerPort: l.Addr().(*net.TCPAddr).Port, Listen: settings.HostListeners{Control: address},
		Seeds: []string{address}, FirstStart: true, DataFolder: t.TempDir(), Bounds: bounds,
	}}), l
}

// runLeader runs a core until the test ends, and returns once it leads.
func (c *Core) runLeader(t *testing.T, l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
	eventually(t, "the replica leads", c.isLeader)
}

// lastIndex returns the index of the last entry that the replica has applied.
func (c *Core) lastIndex(t *testing.T) replog.Index {
	_, err := c.current.Load().Confirm(t.Context())
	qt.Assert(t, err, qt.IsNil)
	s, ok := c.quorum.Status()
	qt.Assert(t, ok, qt.IsTrue)
	return s.AppliedIndex
}

func changeWithRoutes(version, base, routes int) message.ConfigurationChange {
	c := message.ConfigurationChange{Version: version, BaseVersion: base, Replace: true, Digest: fmt.Sprint(version, base), Services: []message.ServiceSpec{{Name: "pledges", Source: "{}"}}}
	for i := range routes {
		c.Routes = append(c.Routes, message.Route{Name: fmt.Sprint("route", i), HostName: "mesh.example", Prefix: fmt.Sprintf("/%d/", i), Splits: []message.Split{{Service: "pledges", Weight: 1}}, Source: strings.Repeat("x", 300)})
	}
	return c
}

// Guards against a leader that replicates a change again each time its sender resends it.
// An operator resends a large change while its first entry is still being committed, and
// each copy would delay the acknowledgement further.
func TestResentChangeIsNotReplicatedAgain(t *testing.T) {
	c := startLeader(t, zerolog.Nop())
	apply := func(change message.ConfigurationChange) {
		out, err := c.ApplyChange(t.Context(), change)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, out, qt.Equals, registry.Outcome{Status: registry.Done})
	}
	first := changeWithRoutes(3, 0, 2000)
	before := c.lastIndex(t)
	var senders sync.WaitGroup
	for range 8 {
		senders.Go(func() { apply(first) })
	}
	senders.Wait()
	apply(first)
	qt.Assert(t, c.lastIndex(t), qt.Equals, before+1)
	second := changeWithRoutes(5, 3, 1)
	apply(second)
	apply(first)
	qt.Assert(t, c.lastIndex(t), qt.Equals, before+2)
	// A change that was rejected is decided again, because another one may be in force.
	late := changeWithRoutes(9, 3, 1)
	for range 2 {
		out, err := c.ApplyChange(t.Context(), late)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, out.Status, qt.Equals, registry.Conflict)
	}
}

// Guards against operators' calls that leave no trace in the log of the replica that
// answered them.
func TestEachChangeIsLogged(t *testing.T) {
	var lines lineWriter
	c := startLeader(t, zerolog.New(&lines))
	_, err := c.ApplyChange(t.Context(), changeWithRoutes(3, 0, 2))
	qt.Assert(t, err, qt.IsNil)
	_, err = c.ApplyChange(t.Context(), changeWithRoutes(4, 0, 2))
	qt.Assert(t, err, qt.IsNil)
	c.current.Store(nil) // as on a replica that does not lead
	_, err = c.ApplyChange(t.Context(), changeWithRoutes(5, 3, 2))
	qt.Assert(t, err, qt.Not(qt.IsNil))
	for _, want := range []string{
		`"Event":"change","Version":3,[^\n]*"Status":0,"Reason":""`,
		`"Event":"change","Version":4,[^\n]*"Status":1,"Reason":"the change builds on version 0[^\n]*`,
		`"error":"another replica leads[^\n]*"Event":"change","Version":5,[^\n]*`,
	} {
		qt.Check(t, lines.String(), qt.Matches, `(?s).*`+want+`,"Routes":2,"TookMillis":\d+,.*`)
	}
}

// lineWriter keeps what is logged.
type lineWriter struct {
	mu sync.Mutex
	b  strings.Builder
}

func (w *lineWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func (w *lineWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.String()
}
