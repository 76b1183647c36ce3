// Package standin implements a target for tests and demonstrations: an HTTP server
// with the target protocol that records each request it runs, and that can be slow,
// cold, overloaded or stalled, or crash.
//
// # Usage
//
//	s := standin.New(standin.Options{Service: "catalogue", Node: "127.0.0.1:7003", Slots: 10, ChecksGrants: true})
//	err := s.Run(ctx, listener)
//
// Requests to paths other than those below and those under /gentiansail/ are the
// target's work. Query parameters change one response: chunks=N streams it in N
// chunks, delay=MILLIS sets the pause before each chunk, work=MILLIS the service
// time and status=N the status; bytes=N adds N bytes to the body. The header field
// Standin-Crash, or a path with the segment "crash", ends the process.
//
//	GET  /standin/runs                 the recorded runs as JSON
//	POST /standin/set?stuck=true       changes Options.Stalled
//	POST /standin/set?sick=true        changes Options.Unhealthy
//	POST /standin/set?work=MILLIS      changes Options.ServiceMillis
//	GET  /health, GET /load            health and load as reported by the target
package standin

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/supervisor"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// ErrStandin is the error of a stand-in target that failed.
var ErrStandin = merry.Sentinel("stand-in target failed")

// stopTimeout bounds, in a planned stop, first the withdrawal from the node and then
// the wait for requests in flight.
const stopTimeout = 30 * time.Second

// Options configure a stand-in target.
type Options struct {
	// Service is the service that the target announces itself for.
	Service wire.ServiceName
	// Node is the address of the local node's target listener. If it is empty, the
	// target is not announced.
	Node wire.Address
	// Advertise is the address that the target announces; empty means the address of
	// its listener.
	Advertise wire.Address
	// Slots is the number of requests that the target works on concurrently.
	Slots int
	// Connections is the number of connections that the target announces.
	Connections int
	// ServiceMillis is the time one request takes.
	ServiceMillis clock.Millis
	// ChecksGrants makes the target reject requests that no grant covers.
	ChecksGrants bool
	// ColdFactor multiplies the service time at the start; it decreases linearly to
	// 1 over ColdMillis.
	ColdFactor float64
	// ColdMillis is the length of the cold start.
	ColdMillis clock.Millis
	// Sheds makes the target reject requests when all slots are taken, instead of
	// queueing them.
	Sheds bool
	// Stalled makes requests wait without a response, while /health reports success.
	Stalled bool
	// Unhealthy makes /health report a failure, while requests are served.
	Unhealthy bool
	// Record, if set, receives each run as lines of JSON: one when it starts and
	// one when it ends.
	Record io.Writer
	// Exit is called to end the process on a request marked with crashHeader or the
	// path segment "crash"; nil ignores the mark.
	Exit func(code int)
}

// Standin is a stand-in target.
type Standin struct {
	options       Options
	instance      string
	clock         clock.Clock
	started       clock.Millis
	address       string
	slots         chan struct{}
	inFlight      atomic.Int64
	stalled       atomic.Bool
	unhealthy     atomic.Bool
	serviceMillis atomic.Int64 // clock.Millis

	grants grantTable
	runs   runLog
}

// New returns a stand-in target.
func New(o Options) *Standin {
	c := clock.System()
	s := &Standin{
		options: o, instance: uuid.NewString(), clock: c, started: c.Now(),
		slots: make(chan struct{}, max(o.Slots, 1)),
	}
	s.runs.file = o.Record
	s.stalled.Store(o.Stalled)
	s.unhealthy.Store(o.Unhealthy)
	s.serviceMillis.Store(int64(o.ServiceMillis))
	return s
}

// Runs returns the recorded runs.
func (s *Standin) Runs() []Run { return s.runs.all() }

// Run serves on l and announces the target until ctx ends. It then withdraws from
// its node, which moves the target's partitions to other targets, waits for the
// requests in flight and returns.
func (s *Standin) Run(ctx context.Context, l net.Listener) error {
	s.address = cmp.Or(string(s.options.Advertise), l.Addr().String())
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	t := supervisor.Start(serveCtx, "standin",
		supervisor.Child{Name: "listener", Run: func(ctx context.Context) error {
			h := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second}
			return process.ServeHTTP(ctx, l, h, stopTimeout)
		}},
	)
	var announcer sync.WaitGroup
	announcer.Go(func() { s.announce(ctx) })
	select {
	case err := <-t.Done():
		return merry.Wrap(ErrStandin, merry.WithCause(errors.Join(err, ctx.Err())))
	case <-ctx.Done():
	}
	announcer.Wait()
	s.withdraw(serveCtx)
	t.Stop()
	return <-t.Done()
}
