package node

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// probeEvery is the time between the starts of two probes. Together with
	// probeFailures it ends the incarnation of a frozen target after about half a
	// second; its lease lasts up to 0.9 s more, and its keys are to be served
	// again within 2 s.
	probeEvery clock.Millis = 150
	// probeTimeout bounds one probe.
	probeTimeout clock.Millis = 150
)

// probeFailures is how many probes in a row must fail.
const probeFailures = 3

// probes tells waiting requests what the latest probe found.
type probes struct {
	mu   sync.Mutex
	done chan struct{} // closes with the next probe
	kick chan struct{}
	well atomic.Bool // what the latest probe found
}

func newProbes() *probes {
	return &probes{done: make(chan struct{}), kick: make(chan struct{}, 1)}
}

// now asks for a probe at once and returns a channel that closes when a probe
// that began after the call has ended.
func (p *probes) now() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.kick <- struct{}{}:
	default:
	}
	return p.done
}

// healthy reports whether the latest probe got a response.
func (p *probes) healthy() bool { return p.well.Load() }

// begin returns the function that ends a probe. Those who ask while it runs
// wait for the next one.
func (p *probes) begin() func(well bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.kick:
	default:
	}
	done := p.done
	p.done = make(chan struct{})
	return func(well bool) {
		p.well.Store(well)
		close(done)
	}
}

// probe looks after the target's liveness until ctx ends. The target is dead
// when its address refuses connections, or after probeFailures probes without a
// response. What the target says of its own health does not count: health
// endpoints lag and mislead.
func (m *member) probe(ctx context.Context, dead func(e ending)) error {
	var h health
	for ctx.Err() == nil {
		next := m.clock.Now() + probeEvery
		done := m.probes.begin()
		reading, err := m.probeOnce(ctx)
		e := h.judge(reading, err)
		if e.why != "" && ctx.Err() == nil {
			dead(e)
			done(false)
			return nil
		}
		done(err == nil)
		m.waitProbe(ctx, next, err != nil)
	}
	return nil
}

// health is what earlier probes found.
type health struct {
	failures int
	reading  clock.Millis
}

// judge returns how the incarnation ended, with an empty reason when it did not.
func (h *health) judge(reading clock.Millis, err error) ending {
	switch {
	case errors.Is(err, exchange.ErrRefusedConnection):
		return ending{why: "connection refused", crashed: true}
	case err != nil:
		h.failures++
	case reading > 0 && reading < h.reading:
		// A target that restarts between two probes, at the same address, died all
		// the same.
		return ending{why: "clock of the target went back", crashed: true}
	default:
		h.failures = 0
		h.reading = max(h.reading, reading)
	}
	if h.failures >= probeFailures {
		return ending{why: "no response to probes", crashed: true, mayStillRun: true}
	}
	return ending{}
}

// waitProbe waits until the next probe is due or asked for.
func (m *member) waitProbe(ctx context.Context, next clock.Millis, failing bool) {
	timed, cancel := context.WithCancel(ctx)
	defer cancel()
	due := make(chan struct{})
	go func() {
		_ = m.clock.Sleep(timed, next-m.clock.Now())
		close(due)
	}()
	kick := m.probes.kick
	if failing {
		kick = nil // failures count only at their distance
	}
	select {
	case <-due:
	case <-kick:
	}
}

// probeOnce sends one request over a new connection; any response to it is a
// sign of life. It returns the reading of the target's clock, 0 when there is
// none.
func (m *member) probeOnce(ctx context.Context) (clock.Millis, error) {
	timed, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	r, err := http.NewRequest(http.MethodGet, "http://"+string(m.target.Address)+"/gentiansail/clock", nil)
	if err != nil {
		return 0, err
	}
	r.Close = true
	response, err := m.protocol.Do(timed, exchange.Request{Address: string(m.target.Address), HTTP: r, Fresh: true})
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var c clockResponse
	if response.StatusCode == http.StatusOK {
		_ = json.NewDecoder(io.LimitReader(response.Body, maxProtocolBytes)).Decode(&c)
	}
	return c.ClockMillis, nil
}
