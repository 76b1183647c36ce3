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
	// probeEvery is the time between the starts of two probes.
	probeInterval clock.Millis = 150
	// probeSilence is how long a probe waits for its response. A target that answers no
	// probe in this time is dead. Together with probeEvery it ends the incarnation of a
	// frozen target after about half a second; its lease lasts up to 0.9 s more, and its
	// keys are to be served again within 2 s.
	probeTimeout clock.Millis = 450
)

const (
	// probeFailures is how many probes in a row must fail with an error.
	maxProbeFailures = 3
	// maxProbes is how many probes may be out at once. They overlap, so that a host that
	// is slow to schedule a process may take longer than probeEvery for a response.
	maxConcurrentProbes = 3
)

// probes tells waiting requests what the latest probe found.
type probeState struct {
	mu             sync.Mutex
	next           *pendingProbe
	requested      chan struct{}
	lastResponseAt atomic.Int64 // when the latest response arrived
}

// probeTurn is one probe that others wait for.
type pendingProbe struct {
	done      chan struct{}
	succeeded bool // valid once done is closed
}

func newPendingProbe() *pendingProbe { return &pendingProbe{done: make(chan struct{})} }

func newProbes() *probeState {
	return &probeState{next: newPendingProbe(), requested: make(chan struct{}, 1)}
}

// now asks for a probe at once and returns one that begins after the call.
func (p *probeState) request() *pendingProbe {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.requested <- struct{}{}:
	default:
	}
	return p.next
}

// healthy reports whether a probe was answered lately.
func (p *probeState) respondedRecently(now clock.Millis) bool {
	return now-clock.Millis(p.lastResponseAt.Load()) <= 2*probeInterval
}

// begin returns the turn of a probe that begins. Those who ask while it runs wait for
// the next one.
func (p *probeState) begin() *pendingProbe {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.requested:
	default:
	}
	probe := p.next
	p.next = newPendingProbe()
	return probe
}

// end tells those who wait what a probe found.
func (p *probeState) finish(probe *pendingProbe, result probeResult) {
	if result.err == nil {
		p.lastResponseAt.Store(int64(result.end))
	}
	probe.succeeded = result.err == nil
	close(probe.done)
}

// finding is what one probe found.
type probeResult struct {
	start, end clock.Millis
	// reading is that of the target's clock; 0 if it has none.
	clockReading clock.Millis
	err          error
}

// probe looks after the target's liveness until ctx ends. The target is dead
// when its address refuses connections, after probeFailures probes that fail, or after
// probeSilence without a response. What the target says of its own health does not
// count: health endpoints lag and mislead. Once sends one probe.
func (m *member) runProbes(ctx context.Context, sendProbe func(context.Context) (clock.Millis, error), onDead func(cause endCause)) error {
	ctx, cancel := context.WithCancel(ctx)
	var history probeHistory
	results := make(chan probeResult)
	running := 0
	defer func() {
		cancel()
		for ; running > 0; running-- {
			<-results
		}
	}()
	for ctx.Err() == nil {
		next := m.clock.Now() + probeInterval
		if running < maxConcurrentProbes {
			running++
			go func(probe *pendingProbe) {
				result := probeResult{start: m.clock.Now()}
				result.clockReading, result.err = sendProbe(ctx)
				result.end = m.clock.Now()
				m.probes.finish(probe, result)
				results <- result
			}(m.probes.begin())
		}
		ended, cause := m.evaluateProbes(ctx, next, &history, results, running)
		running -= ended
		if cause.reason != "" && ctx.Err() == nil {
			onDead(cause)
			return nil
		}
	}
	return nil
}

// awaitProbes judges what probes find until the next one is due or asked for. It returns
// how many ended.
func (m *member) evaluateProbes(ctx context.Context, next clock.Millis, history *probeHistory, results <-chan probeResult, running int) (ended int, cause endCause) {
	timed, cancel := context.WithCancel(ctx)
	defer cancel()
	due := make(chan struct{})
	go func() {
		_ = m.clock.Sleep(timed, next-m.clock.Now())
		close(due)
	}()
	for {
		requested := m.probes.requested
		if history.failures > 0 || running-ended >= maxConcurrentProbes {
			requested = nil // errors count only at their distance
		}
		select {
		case <-due:
			return ended, endCause{}
		case <-requested:
			return ended, endCause{}
		case result := <-results:
			ended++
			if cause := history.evaluate(result); cause.reason != "" {
				return ended, cause
			}
		}
	}
}

// health is what earlier probes found.
type probeHistory struct {
	failures int
	// answered is when the latest response arrived.
	lastResponseAt   clock.Millis
	lastClockReading clock.Millis
}

// judge returns how the incarnation ended, with an empty reason when it did not. Probes
// overlap: one that began before the latest response arrived says nothing new of the
// target's silence, and its reading of the clock may be the earlier one.
func (h *probeHistory) evaluate(result probeResult) endCause {
	newer := result.start >= h.lastResponseAt
	switch {
	case errors.Is(result.err, exchange.ErrRefusedConnection):
		return endCause{reason: "connection refused", crashed: true}
	case result.err != nil && !newer:
	case result.err != nil:
		h.failures++
		if h.failures >= maxProbeFailures || result.end-result.start >= probeTimeout {
			return endCause{reason: "no response to probes", crashed: true, mayStillRun: true}
		}
	case newer && result.clockReading > 0 && result.clockReading < h.lastClockReading:
		// A target that restarts between two probes, at the same address, died all
		// the same.
		return endCause{reason: "clock of the target went back", crashed: true}
	default:
		h.failures = 0
		h.lastResponseAt = max(h.lastResponseAt, result.end)
		h.lastClockReading = max(h.lastClockReading, result.clockReading)
	}
	return endCause{}
}

// probeOnce sends one request over a new connection; any response to it is a
// sign of life. It returns the reading of the target's clock, 0 when there is
// none.
func (m *member) sendProbe(ctx context.Context) (clock.Millis, error) {
	timed, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	r, err := http.NewRequest(http.MethodGet, "http://"+string(m.target.Address)+"/gentiansail/clock", nil)
	if err != nil {
		return 0, err
	}
	r.Close = true
	response, err := m.protocolPool.Do(timed, exchange.Request{Address: string(m.target.Address), HTTP: r, Fresh: true})
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
