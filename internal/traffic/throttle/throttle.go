// Package throttle refuses on the caller's host what the holder of a key would refuse.
//
// The load it answers: one key, or a few neighbours, get several times the requests that
// their holder can do. All sidecars send them to that one host, and a slow link there
// fills with requests and refusals until its control calls fail as well. Each sidecar
// therefore keeps count of what it sent to a holder and what that took, and sends at most
// a fixed multiple of the latter. Refused callers get their answer at once.
//
// What was refused here still counts as load of its keys, so that the core moves them:
// Refused returns it.
//
// # Usage
//
//	t := throttle.New(clock.System(), rand.Float64)
//	if retry, ok := t.Allow(holder); !ok {
//		t.Refuse(service, key)
//		return busy(retry)
//	}
//	t.Ended(holder, accepted, retry)
package throttle

import (
	"math"
	"sync"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// multiple is how many requests are sent for each one that was taken lately. It
	// leaves room to find out that a holder takes more again.
	multiple = 1.8
	// grace is the number of requests of which nothing is concluded.
	grace = 4
	// halfLife is how fast old requests stop to count.
	halfLife clock.Millis = 1000
)

// Limiter holds what one sidecar knows of the holders of keys.
type Limiter struct {
	clock  clock.Clock
	random func() float64

	mu      sync.Mutex
	holders map[message.InstanceID]*counts
	refused map[message.ServiceName]keyrange.LoadCounter
}

type counts struct {
	at              clock.Millis
	asked, accepted float64
	retry           clock.Millis
}

// New returns a table that knows nothing. Random returns numbers in [0, 1).
func New(k clock.Clock, random func() float64) *Limiter {
	return &Limiter{clock: k, random: random, holders: map[message.InstanceID]*counts{}, refused: map[message.ServiceName]keyrange.LoadCounter{}}
}

func (t *Limiter) of(id message.InstanceID) *counts {
	now := t.clock.Now()
	c := t.holders[id]
	if c == nil {
		c = &counts{at: now}
		t.holders[id] = c
	}
	f := math.Exp2(-float64(now-c.at) / float64(halfLife))
	c.asked, c.accepted, c.at = c.asked*f, c.accepted*f, now
	return c
}

// Allow reports whether a request may be sent to a holder, and if not, when its caller
// may come back.
func (t *Limiter) Allow(id message.InstanceID) (retry clock.Millis, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.of(id)
	if t.random() >= (c.asked-multiple*c.accepted)/(c.asked+grace) {
		return 0, true
	}
	c.asked++
	return c.retry, false
}

// RecordResult notes what became of a request that was sent: whether the holder took it, and
// when it asked a refused one to come back.
func (t *Limiter) RecordResult(id message.InstanceID, accepted bool, retry clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.of(id)
	c.asked++
	if accepted {
		c.accepted++
		return
	}
	c.retry = retry
}

// CountRejected counts a request that was refused here as load of its key.
func (t *Limiter) CountRejected(name message.ServiceName, key message.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refused[name] == nil {
		t.refused[name] = keyrange.LoadCounter{}
	}
	t.refused[name].Add(key)
}

// TakeRejectedLoads returns the requests refused here since the last call, by service and bucket of
// keys.
func (t *Limiter) TakeRejectedLoads() []message.ServiceLoads {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []message.ServiceLoads
	for name, counts := range t.refused {
		out = append(out, message.ServiceLoads{Service: name, Loads: counts.Flush()})
	}
	clear(t.refused)
	return out
}

// Retain forgets all holders but those given.
func (t *Limiter) Retain(known func(message.InstanceID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.holders {
		if !known(id) {
			delete(t.holders, id)
		}
	}
}
