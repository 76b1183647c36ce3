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
	// probeInterval is the time between the starts of two probes.
	probeInterval clock.Millis = 150
	// probeTimeout is how long a probe waits for its response. A target that responds
	// to no probe in this time is dead. Together with probeInterval this ends the
	// incarnation of a frozen target after about 0.5 s. Its lease lasts up to 0.9 s
	// longer, and its keys are to be served again within 2 s.
	probeTimeout clock.Millis = 450
)

const (
	// maxProbeFailures is the number of consecutive probes with errors after which a
	// target is dead.
	maxProbeFailures = 3
	// maxConcurrentProbes is the number of probes that may run at once. Probes overlap
	// because a busy host may schedule processes so late that a response takes longer
	// than probeInterval.
	maxConcurrentProbes = 3
)

// probeState distributes the results of probes to the requests that wait for them.
type probeState struct {
	mu             sync.Mutex
	next           *pendingProbe // the probe that starts next
	requested      chan struct{} // makes it start without delay
	lastResponseAt atomic.Int64  // when the last response to a probe arrived
}

// pendingProbe is a probe that requests can wait for.
type pendingProbe struct {
	done      chan struct{}
	succeeded bool // valid after done is closed
}

func newPendingProbe() *pendingProbe { return &pendingProbe{done: make(chan struct{})} }

func newProbeState() *probeState {
	return &probeState{next: newPendingProbe(), requested: make(chan struct{}, 1)}
}

// request makes a probe start without delay, and returns one that starts after this
// call.
func (p *probeState) request() *pendingProbe {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.requested <- struct{}{}:
	default:
	}
	return p.next
}

// respondedRecently reports whether the target has responded to a probe within two
// probe intervals.
func (p *probeState) respondedRecently(now clock.Millis) bool {
	return now-clock.Millis(p.lastResponseAt.Load()) <= 2*probeInterval
}

// begin returns the probe that starts now. Calls of request from here on return the probe
// that starts after this one, because their result must come from a probe that starts
// after the call.
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

// finish stores the result of a probe and wakes up the requests that wait for it.
func (p *probeState) finish(probe *pendingProbe, result probeResult) {
	if result.err == nil {
		p.lastResponseAt.Store(int64(result.end))
	}
	probe.succeeded = result.err == nil
	close(probe.done)
}

// probeResult is the result of one probe.
type probeResult struct {
	start, end clock.Millis
	// clockReading is the time of the target's clock, 0 if the target has none.
	clockReading clock.Millis
	err          error
}

// runProbes probes the target until ctx ends or the target is dead, and then calls
// onDead. The target is dead if its address refuses connections, if maxProbeFailures
// consecutive probes fail, or if a probe gets no response within probeTimeout. The
// target's own health endpoint is not used, because such endpoints lag and mislead.
// sendProbe sends one probe.
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

// evaluateProbes evaluates the results of probes until the next probe is due or
// requested. It returns the number of probes that ended, and the cause if the target is
// dead.
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
			requested = nil // failures count only if the probes are probeInterval apart
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

// probeHistory summarises the results of earlier probes.
type probeHistory struct {
	failures int // consecutive ones
	// lastResponseAt is when the last response arrived.
	lastResponseAt   clock.Millis
	lastClockReading clock.Millis
}

// evaluate adds a result. It returns the cause if the target is dead, else one with an
// empty reason. Probes overlap: if one started before the last response arrived, its
// failure does not show that the target has become unresponsive since, and its reading
// of the clock may be older than the last one.
func (h *probeHistory) evaluate(result probeResult) endCause {
	newer := result.start >= h.lastResponseAt
	switch {
	case errors.Is(result.err, exchange.ErrConnectionRefused):
		return endCause{reason: "connection refused", crashed: true}
	case result.err != nil && !newer:
	case result.err != nil:
		h.failures++
		if h.failures >= maxProbeFailures || result.end-result.start >= probeTimeout {
			return endCause{reason: "no response to probes", crashed: true, mayStillRun: true}
		}
	case newer && result.clockReading > 0 && result.clockReading < h.lastClockReading:
		// The target was restarted at the same address between two probes.
		return endCause{reason: "clock of the target went back", crashed: true}
	default:
		h.failures = 0
		h.lastResponseAt = max(h.lastResponseAt, result.end)
		h.lastClockReading = max(h.lastClockReading, result.clockReading)
	}
	return endCause{}
}

// sendProbe sends one request over a new connection. Any response shows that the target
// is alive. It returns the time of the target's clock, 0 if the target has none.
func (m *member) sendProbe(ctx context.Context) (clock.Millis, error) {
	timed, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	request, err := http.NewRequest(http.MethodGet, "http://"+string(m.target.Address)+"/gentiansail/clock", nil)
	if err != nil {
		return 0, err
	}
	request.Close = true
	response, err := m.protocolPool.Do(timed, exchange.Request{Address: string(m.target.Address), HTTP: request, NewConnection: true})
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
