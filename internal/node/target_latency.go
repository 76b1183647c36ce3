package node

import (
	"math"
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

// latencyPrior is how many requests weigh as much as the mean so far. With
// fewer requests in a report, a single slow one hardly changes the mean.
const latencyPriorRequests = 100

// targetLatency is the running mean of the time that requests spend at a
// target. The control group plans with it how many keys the target can serve.
type targetLatency struct {
	mu   sync.Mutex
	mean float64
	// sum and count are of the requests since the last report.
	sum   float64
	count float64
}

// observe adds a request that the target finished.
func (l *targetLatency) observe(latency clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum += float64(latency)
	l.count++
}

// observeAtLeast adds a request that was given up after d. It counts only where
// it shows that the target is slower than the mean: requests that all end at
// their deadline would otherwise leave a very slow target unnoticed.
func (l *targetLatency) observeAtLeast(latency clock.Millis) {
	l.mu.Lock()
	longer := float64(latency) > l.mean
	l.mu.Unlock()
	if longer {
		l.observe(latency)
	}
}

// report returns the mean in milliseconds, or nil without a request since the
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
	// One decimal place keeps the report short.
	rounded := math.Round(l.mean*10) / 10
	return &rounded
}

// observeLatency counts the time of a request that was forwarded to the target.
// A shed request says nothing about the time that a request needs.
func (t *targetRequest) observeLatency(r limit.Result) {
	switch {
	case t.sentAt == 0 || r.Shed:
	case r.Failed:
		t.member.latency.observeAtLeast(t.node.clock.Now() - t.sentAt)
	default:
		t.member.latency.observe(r.Latency)
	}
}
