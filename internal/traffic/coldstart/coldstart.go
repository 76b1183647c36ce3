// Package coldstart limits the requests to a cold target.
//
// A target is cold for some seconds after its start, and may become cold again at any time.
// Meanwhile it tolerates a low rate of requests and crashes at one well above that. All
// requests to a target pass through the sidecar on its host, so one Limiter there suffices,
// and hosts need no agreement about their shares.
//
// Two rules hold while the target is cold:
//
//   - No second has more requests than the deployment allows. The limiter remembers when each
//     request of the last window was sent, also while the target is warm, so a target that
//     turns cold in the middle of traffic is covered from the first heartbeat that says so.
//   - Requests begin at an even pace, halfway between the rate that the target tolerates and
//     the one that the deployment allows. A burst of half the slack may begin at once.
//
// A request is counted twice: Begin reserves its place when it gets a slot, and Send moves
// the reservation to the time at which the request is written. The wait for a connection can
// therefore not gather the requests of several seconds in one.
//
// # Usage
//
//	l := coldstart.New()
//	l.SetBounds(coldstart.Bounds{PerSecond: 12, Overage: 1.5, Slack: 8, Lasts: 4000}, now)
//	l.Report(remaining, first, now)
//	if l.Wait(now, 0) == 0 {
//		l.Begin(now)
//		...
//		sent := l.Send(begun, now)
//	}
package coldstart

import (
	"math"
	"slices"
	"sync"

	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// window is the time in which requests are counted. It is longer than the second of the
	// bound, since requests may take 0.2 s longer on their way than those that follow them.
	window clock.Millis = 1200
	// margin is kept free below the bound.
	margin = 2
	// minPerSecond is the lowest rate. A target that got no requests could not warm up.
	minPerSecond = 0.5
)

// Bounds state what a cold target takes.
type Bounds struct {
	// PerSecond is the rate that a cold target tolerates; 0 if the target is never cold.
	PerSecond float64
	// Overage and Slack limit the requests in any second to PerSecond times Overage, plus
	// Slack. An Overage of 0 stands for 1.
	Overage, Slack float64
	// Lasts is how long a target may be cold without a report that says so: the length of a
	// cold start and the time between two reports.
	Lasts clock.Millis
	// Silence is the time without a report after which the target may have started again, or
	// the reports are still to be read because this process was frozen; 0 for no limit.
	Silence clock.Millis
}

// perWindow returns how many requests may be sent in one window.
func (b Bounds) perWindow() int {
	overage := b.Overage
	if overage <= 0 {
		overage = 1
	}
	return max(int(min(b.PerSecond*overage+max(b.Slack, 0), math.MaxInt32))-margin, 1)
}

// Limiter limits the requests to one target. It is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	bounds Bounds
	// interval is the time between two requests in milliseconds, and burst how far requests
	// may be ahead of an even pace.
	interval, burst float64
	// next is when the next request begins at an even pace.
	next float64
	// blockedUntil is when the limiter knows of all requests in the window before. What an
	// earlier process of the host has sent is not known.
	blockedUntil clock.Millis
	// reportedUntil is the end of the cold time by the newest report, and presumedUntil that
	// of the time for which the target may be cold whatever it reports.
	reportedUntil, presumedUntil clock.Millis
	// down is true while the target may have ended, and so will be cold when it is back.
	// Reports of the same incarnation end this from trustedFrom on.
	down        bool
	trustedFrom clock.Millis
	// reportedAt is when the newest report arrived.
	reportedAt clock.Millis
	// times holds when the requests of the last window began or were sent, in order.
	times []clock.Millis
}

// New returns a limiter without bounds, which limits nothing.
func New() *Limiter { return &Limiter{} }

// pace returns the rate at which requests to a cold target begin.
func (b Bounds) pace() float64 {
	return max(b.PerSecond*(1+max(b.Overage-1, 0)/2), minPerSecond)
}

// SetBounds sets the bounds. A target that had none gets no request for one window while it
// is cold, because requests were not counted before.
func (l *Limiter) SetBounds(b Bounds, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b == l.bounds {
		return
	}
	if l.bounds.PerSecond <= 0 {
		l.blockedUntil = now + window
	}
	l.bounds = b
	l.interval = 1000 / b.pace()
	l.burst = min(max(b.Slack, 0)/2*l.interval, 1000)
}

// Report records that the target says that it is cold for the remaining time, or is not if
// that is 0. first is true for the first report of an incarnation.
func (l *Limiter) Report(remaining clock.Millis, first bool, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedAt, l.reportedUntil = now, now+max(remaining, 0)
	if first || now >= l.trustedFrom {
		l.down = false
	}
}

// Presume makes the target count as cold for the time that a cold start lasts, whatever it
// reports meanwhile: reports that arrive may have been sent before it turned cold.
func (l *Limiter) Presume(now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.presumedUntil = max(l.presumedUntil, now+l.bounds.Lasts)
}

// PresumeDown makes the target count as cold until a report shows that it runs: the first one
// of another incarnation, or one of the same that is too late to have been sent before.
func (l *Limiter) PresumeDown(now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.trustedFrom = true, now+l.bounds.Lasts
}

// Cold reports whether the target is or may be cold.
func (l *Limiter) Cold(now clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold(now)
}

func (l *Limiter) cold(now clock.Millis) bool {
	return l.bounds.PerSecond > 0 && now < l.coldUntil(now)
}

// coldUntil returns the end of the cold time as far as it is known.
func (l *Limiter) coldUntil(now clock.Millis) clock.Millis {
	if l.down || l.bounds.Silence > 0 && now-l.reportedAt > l.bounds.Silence {
		return math.MaxInt64
	}
	return max(l.reportedUntil, l.presumedUntil)
}

// Rate returns the rate of a cold target and for how long it is expected to be cold; 0 if it
// is not cold.
func (l *Limiter) Rate(now clock.Millis) (perSecond float64, remaining clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cold(now) {
		return 0, 0
	}
	return max(l.bounds.PerSecond, minPerSecond), min(l.coldUntil(now)-now, max(l.bounds.Lasts, l.reportedUntil-now))
}

// Wait returns the time until a request may begin behind the given number of others; 0 if
// the target is not cold.
func (l *Limiter) Wait(now clock.Millis, before int) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cold(now) {
		return 0
	}
	l.trim(now)
	first := float64(max(now, l.blockedUntil))
	begin := max(first, max(l.next, first)+float64(before)*l.interval-l.burst)
	// All but limit-1 of the requests that go before must have left the window. Those that
	// have not begun yet are spread by the even pace.
	if excess := len(l.times) + before - l.bounds.perWindow(); excess >= 0 && len(l.times) > 0 {
		begin = max(begin, float64(l.times[min(excess, len(l.times)-1)]+window))
	}
	return min(max(clock.Millis(math.Ceil(begin))-now, 0), l.coldUntil(now)-now)
}

// Begin reserves a place for a request that gets a slot.
func (l *Limiter) Begin(now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bounds.PerSecond <= 0 {
		return
	}
	l.trim(now)
	l.times = append(l.times, now)
	if l.cold(now) {
		l.next = max(l.next, float64(now)) + l.interval
	} else {
		// A target that turns cold gets no burst, since these requests are still there.
		l.next = float64(now) + l.burst
	}
}

// Send moves the reservation of a request that began at the given time to now, when it is
// about to be written. It returns false if the request must not be written.
func (l *Limiter) Send(begun, now clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bounds.PerSecond <= 0 {
		return true
	}
	l.trim(now)
	l.remove(begun)
	if l.cold(now) && (now < l.blockedUntil || len(l.times) >= l.bounds.perWindow()) {
		return false
	}
	l.times = append(l.times, now)
	return true
}

// Cancel takes back a request that was counted at the given time: it was not sent, or does
// not count.
func (l *Limiter) Cancel(at clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(at)
	l.next -= l.interval
}

func (l *Limiter) remove(at clock.Millis) {
	if i, ok := slices.BinarySearch(l.times, at); ok {
		l.times = slices.Delete(l.times, i, i+1)
	}
}

// trim removes the requests that began before the window.
func (l *Limiter) trim(now clock.Millis) {
	n := 0
	for n < len(l.times) && l.times[n] <= now-window {
		n++
	}
	l.times = append(l.times[:0], l.times[n:]...)
}
