// Package standin is a target for tests and demonstrations: an HTTP server that
// speaks the target protocol, can be slow, cold, overloaded, stuck or crash, and
// records each request that it ran.
//
// # Usage
//
//	s := standin.New(standin.Options{Service: "catalogue", Node: "127.0.0.1:7003", Slots: 10, ChecksGrants: true})
//	err := s.Run(ctx, listener)
//
// Requests outside /gentiansail/ and /standin/ are the target's work. Query
// parameters change one response: chunks=N and delay=MILLIS stream it in N
// chunks, work=MILLIS sets its service time, status=N its status, bytes=N adds a
// body of that length. The header field Standin-Crash, or a path with the
// segment "crash", ends the process.
//
//	GET  /standin/runs                 the record of runs as JSON
//	POST /standin/set?stuck=true       changes Options.Stalled
//	POST /standin/set?sick=true        changes Options.Unhealthy
//	POST /standin/set?work=MILLIS      changes Options.ServiceMillis
//	GET  /health, GET /load            what the target says of itself
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

// stopTimeout bounds how long a planned stop waits for requests in flight.
const stopTimeout = 30 * time.Second

// Options configure a stand-in target.
type Options struct {
	// Service is the service that the target announces itself for.
	Service wire.ServiceName
	// Node is the target listener of the node beside it. Empty: no announcement.
	Node wire.Address
	// Advertise is the address that the target announces; empty: its listener's.
	Advertise wire.Address
	// Slots is the number of requests it works on at a time.
	Slots int
	// Connections is the number of connections that it announces.
	Connections int
	// ServiceMillis is the time one request takes.
	ServiceMillis clock.Millis
	// ChecksGrants refuses requests that no grant covers.
	ChecksGrants bool
	// ColdFactor multiplies the service time at the start; it falls to 1 over
	// ColdMillis.
	ColdFactor float64
	// ColdMillis is the length of the cold start.
	ColdMillis clock.Millis
	// Sheds refuses requests when all slots are taken; otherwise they queue.
	Sheds bool
	// Stalled lets requests wait without a response while /health is well.
	Stalled bool
	// Unhealthy lets /health report a failure while requests are served.
	Unhealthy bool
	// Record, if set, receives each run as lines of JSON: one when it starts and
	// one when it ends.
	Record io.Writer
	// Exit ends the process on a request with the crash marker.
	Exit func(code int)
}

// Standin is one stand-in target.
type Standin struct {
	options  Options
	instance string
	clock    clock.Clock
	started  clock.Millis
	address  string
	slots    chan struct{}
	inFlight atomic.Int64
	stuck    atomic.Bool
	sick     atomic.Bool
	work     atomic.Int64 // clock.Millis

	grants grants
	runs   record
}

// New returns a stand-in target.
func New(o Options) *Standin {
	c := clock.System()
	s := &Standin{
		options: o, instance: uuid.NewString(), clock: c, started: c.Now(),
		slots: make(chan struct{}, max(o.Slots, 1)),
	}
	s.runs.file = o.Record
	s.stuck.Store(o.Stalled)
	s.sick.Store(o.Unhealthy)
	s.work.Store(int64(o.ServiceMillis))
	return s
}

// Runs returns the record of runs.
func (s *Standin) Runs() []Run { return s.runs.all() }

// Run serves on l and announces the target until ctx ends. Then it withdraws
// from its node, which moves the target's partitions away, finishes the
// requests in flight and returns.
func (s *Standin) Run(ctx context.Context, l net.Listener) error {
	s.address = cmp.Or(string(s.options.Advertise), l.Addr().String())
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	t := supervisor.Start(serving, "standin",
		supervisor.Child{Name: "listener", Run: func(ctx context.Context) error {
			h := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second}
			return process.ServeHTTP(ctx, l, h, stopTimeout)
		}},
	)
	var announcing sync.WaitGroup
	announcing.Go(func() { s.announce(ctx) })
	select {
	case err := <-t.Done():
		return merry.Wrap(ErrStandin, merry.WithCause(errors.Join(err, ctx.Err())))
	case <-ctx.Done():
	}
	announcing.Wait()
	s.withdraw(serving)
	t.Stop()
	return <-t.Done()
}
