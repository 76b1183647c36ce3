package node

import (
	"math"
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

// latencyPriorRequests is the number of new requests that have the same weight as the
// previous mean, so that a few slow requests in a report hardly change the mean.
const latencyPriorRequests = 100

// targetLatency is the running mean of the time that requests take at a target. From it
// the control group estimates how many keys the target can serve.
type targetLatency struct {
	mu   sync.Mutex
	mean float64 // ms
	// sum (ms) and count cover the requests since the last report.
	sum   float64
	count float64
}

// observe adds the latency of a request that the target finished.
func (l *targetLatency) observe(latency clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum += float64(latency)
	l.count++
}

// observeAtLeast adds a request that failed or was cancelled after the given time. It
// counts only if that is longer than the mean. Without such requests, a target so slow
// that they all end at their deadlines would not be noticed.
func (l *targetLatency) observeAtLeast(latency clock.Millis) {
	l.mu.Lock()
	longer := float64(latency) > l.mean
	l.mu.Unlock()
	if longer {
		l.observe(latency)
	}
}

// report returns the mean in milliseconds, or nil if there were no requests since the
// last report.
func (l *targetLatency) report() *float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count == 0 {
		return nil
	}
	weight := l.count / (l.count + latencyPriorRequests)
	if l.mean == 0 {
		weight = 1
	}
	l.mean += weight * (l.sum/l.count - l.mean)
	l.sum, l.count = 0, 0
	// One decimal place keeps the heartbeat short.
	rounded := math.Round(l.mean*10) / 10
	return &rounded
}

// observeLatency records the latency of a request that was sent to the target. Requests
// that the target shed are not counted, because they did not run.
func (t *targetRequest) observeLatency(r limit.Result) {
	switch {
	case t.sentAt == 0 || r.Shed:
	case r.Failed:
		t.member.latency.observeAtLeast(t.node.clock.Now() - t.sentAt)
	default:
		t.member.latency.observe(r.Latency)
	}
}
