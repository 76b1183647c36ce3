// Package gate is the owner's side of a request: the last decision before a target
// runs it, and the only place from which requests reach that target.
//
// A gate knows its target from the target's own check-ins: which lifetime runs,
// whether it takes work, which keys it holds and until when. It checks them
// immediately before a request is written. A request that may not repeat is written
// at most once; whatever follows the first byte is reported as unknown, unless the
// target itself says that it did not run the request.
//
// # Usage
//
//	g := gate.New(gate.Options{...})
//	g.SetTarget(gate.Target{...})
//	a := g.Do(ctx, job)
//	defer a.Close()
package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/internal/traffic/admission"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// BodySilence is the time without a byte of the body after which what has arrived
// is passed on: short answers are passed on whole, so that one that breaks off can
// still be replaced, and long ones in pieces.
const BodySilence clock.Millis = 60

// MemoryBody is the longest body that is read before a request is sent, and kept for
// another attempt. Longer ones are streamed and sent once.
const MemoryBody = 64 << 10

// hopMargin is left of a request's time when it is refused after a wait, for the way
// back: the caller's host could not tell otherwise that the request has not run.
const hopMargin clock.Millis = 30

// Options configure a Gate.
type Options struct {
	Names hop.Names
	Clock clock.Clock
	Pool  *exchange.Pool
	// OnCrash is told the fingerprints of the requests that the target ran when it
	// refused connections after losing one.
	OnCrash func(message.Incarnation, []string)
}

// Target is what is known of the target.
type Target struct {
	Lifetime message.Incarnation
	Service  message.ServiceName
	Address  string
	Slots    int
	// Keyed targets run a request only for a key that they hold.
	Keyed bool
}

// Gate guards one target.
type Gate struct {
	o     Options
	queue *admission.Queue

	mu      sync.Mutex
	target  Target
	present bool
	// closeAt is when the target stops to take new work; 0 while it is not leaving.
	closeAt  clock.Millis
	stopping bool
	holds    []message.RangeGrant
	until    clock.Millis
	running  map[*Job]string
	buckets  keyrange.LoadCounter
}

// New returns a gate without a target.
func New(o Options) *Gate {
	return &Gate{o: o, queue: admission.New(o.Clock), running: map[*Job]string{}, buckets: keyrange.LoadCounter{}}
}

// SetTarget notes a check-in of the target. A new lifetime holds no keys.
func (g *Gate) SetTarget(t Target) {
	g.mu.Lock()
	if t.Lifetime != g.target.Lifetime {
		g.holds, g.closeAt = nil, 0
	}
	g.target, g.present = t, true
	g.mu.Unlock()
	g.queue.SetSlots(t.Slots)
}

// Target returns the target; ok is false before its first check-in.
func (g *Gate) Target() (t Target, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target, g.present
}

// CloseAt lets the target of a lifetime get no new work from a time on. An earlier
// time that was set before holds.
func (g *Gate) CloseAt(l message.Incarnation, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target.Lifetime == l && (g.closeAt == 0 || at < g.closeAt) {
		g.closeAt = at
	}
}

// Stop refuses new work because this process is about to stop.
func (g *Gate) Stop() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	g.queue.Remove(func(int) bool { return true })
}

// SetHolds notes the keys that the target holds until a time.
func (g *Gate) SetHolds(l message.Incarnation, holds []message.RangeGrant, until clock.Millis) {
	g.mu.Lock()
	if g.target.Lifetime == l {
		g.holds, g.until = holds, until
	}
	g.mu.Unlock()
	g.queue.Remove(func(key int) bool {
		return key != hop.NoKey && !slices.ContainsFunc(holds, func(h message.RangeGrant) bool {
			return message.Key(key) >= h.From && message.Key(key) <= h.To
		})
	})
}

// Loads returns the requests by bucket of keys since the last call.
func (g *Gate) Loads() []message.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buckets.Flush()
}

// Load returns how busy the target is.
func (g *Gate) Load() hop.Load {
	running, waiting, slots, mean := g.queue.Load()
	return hop.Load{Running: running, Waiting: waiting, Slots: slots, ServiceMillis: mean}
}

// Job is a request for the target.
type Job struct {
	hop.Request
	ID     string
	Method string
	// URI is the path with the query as the caller sent them.
	URI  string
	Host string
	// Header holds the end-to-end fields as they go to the target.
	Header http.Header
	// Body is nil for a request without one. Length is -1 if it is not known.
	Body   io.ReadCloser
	Length int64
}

// Answer is what became of a job.
type Answer struct {
	hop.Reply
	// Arrived is true if the job may have reached a target, even one that rejected
	// it.
	Arrived bool
	Status  int
	Header  http.Header
	// Body is nil for an answer without one. Length is -1 if it is not known.
	Body   io.ReadCloser
	Length int64
	// Pause, if the relay sets it, is called when the body has paused, by the
	// goroutine that reads it.
	pause atomic.Pointer[func()]
}

// OnPause sets what is called when the body has paused, by the goroutine that reads
// it.
func (a *Answer) OnPause(f func()) { a.pause.Store(&f) }

// Silent is told that a connection is silent, and calls what OnPause set once the body
// has begun. It never gives the connection up.
func (a *Answer) Silent(started bool, _ int64) bool {
	if f := a.pause.Load(); started && f != nil {
		(*f)()
	}
	return true
}

// Close ends the answer.
func (a *Answer) Close() {
	if a.Body != nil {
		_ = a.Body.Close()
	}
}

// Refuse returns an answer of the system's own.
func Refuse(r hop.Reason, retry clock.Millis) *Answer {
	return &Answer{Reply: hop.Reply{Reason: r, RetryMillis: retry}}
}

// Do runs a job at the target, or says why not.
func (g *Gate) Do(ctx context.Context, j *Job) *Answer {
	a := g.do(ctx, j)
	a.Load = g.Load()
	return a
}

func (g *Gate) do(ctx context.Context, j *Job) *Answer {
	start := g.o.Clock.Now()
	if reason := g.check(j, start); reason != "" {
		return Refuse(reason, 0)
	}
	g.count(j)
	t := &admission.Ticket{Route: j.Route, Rank: j.Rank, Key: j.Key, Deadline: start + j.LeftMillis, Aim: start + j.AimMillis}
	if a := g.admit(ctx, t); a != nil {
		return a
	}
	now := g.o.Clock.Now()
	if reason := g.check(j, now); reason != "" {
		g.queue.Leave(t, 0)
		return Refuse(reason, 0)
	}
	j.LeftMillis -= now - start
	return g.send(ctx, j, t)
}

// check returns why the target may not run a job at present.
func (g *Gate) check(j *Job, now clock.Millis) hop.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.stopping:
		return hop.Stopping
	case !g.present || g.closeAt > 0 && now >= g.closeAt || g.target.Service != j.Service:
		return hop.NoTarget
	case g.target.Keyed && j.Key != hop.NoKey && !g.held(message.Key(j.Key), now):
		return hop.NotOwner
	}
	return ""
}

func (g *Gate) held(k message.Key, now clock.Millis) bool {
	if now >= g.until {
		return false
	}
	for _, h := range g.holds {
		if k >= h.From && k <= h.To {
			return true
		}
	}
	return false
}

func (g *Gate) count(j *Job) {
	if j.Key == hop.NoKey {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.buckets.Add(message.Key(j.Key))
}

// admit waits for a slot; nil means that the job has one.
func (g *Gate) admit(ctx context.Context, t *admission.Ticket) *Answer {
	v := g.queue.Enter(t)
	if v == admission.Wait {
		timed, cancel := context.WithTimeout(ctx, (t.Latest() - hopMargin - g.o.Clock.Now()).Duration())
		defer cancel()
		select {
		case <-t.Decided():
		case <-timed.Done():
			if g.queue.Abandon(t) {
				return Refuse(hop.Late, 0)
			}
			<-t.Decided()
		}
		v = t.Verdict()
	}
	switch v {
	case admission.Run:
		if ctx.Err() != nil {
			g.queue.Leave(t, 0)
			return Refuse(hop.Late, 0)
		}
		return nil
	case admission.TooLate:
		return Refuse(hop.Late, 0)
	case admission.Moved:
		return Refuse(g.whyMoved(), 0)
	}
	return Refuse(hop.Busy, g.queue.RetryAfter())
}

func (g *Gate) whyMoved() hop.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return hop.Stopping
	}
	return hop.NotOwner
}

// send writes the job to the target once.
func (g *Gate) send(ctx context.Context, j *Job, t *admission.Ticket) *Answer {
	target, _ := g.Target()
	h := j.Header
	h.Set(g.o.Names.LeftMillis, strconv.Itoa(int(max(j.LeftMillis, 1))))
	h.Set(g.o.Names.Instance, string(target.Lifetime.ID))
	r, err := NewRequest(j, target.Address)
	if err != nil {
		g.queue.Leave(t, 0)
		return Refuse(hop.BadRequest, 0)
	}
	begun := g.o.Clock.Now()
	a := &Answer{}
	g.begin(j)
	response, err := g.o.Pool.Do(ctx, exchange.Request{
		Address: target.Address, HTTP: r, RequestID: j.ID, IDField: g.o.Names.RequestID, EchoRequired: true,
		EchoOptional: g.declined, SkipForeign: true, AllowUnframed: true,
		BeforeWrite: func() error { return g.stillAllowed(j) },
		Silence:     BodySilence, BodySilence: true, OnSilence: a.Silent,
	})
	if err != nil {
		g.end(j, err)
		g.queue.Leave(t, 0)
		return Failed(ctx, err)
	}
	return g.judge(j, t, a, response, begun)
}

var errNoLonger = errors.New("the target may not run the request any more")

func (g *Gate) stillAllowed(j *Job) error {
	if g.check(j, g.o.Clock.Now()) != "" {
		return errNoLonger
	}
	return nil
}

// declined reports whether a target says that it did not run the request.
func (g *Gate) declined(r *http.Response) bool {
	return r.Header.Get(g.o.Names.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
}

// Failed returns what an exchange without a response says of its job.
func Failed(ctx context.Context, err error) *Answer {
	switch {
	case exchange.ProgressOf(err) == exchange.NotSent && errors.Is(err, exchange.ErrBefore):
		return Refuse(hop.NoTarget, 0)
	case exchange.ProgressOf(err) == exchange.NotSent:
		return Refuse(hop.Unreachable, 0)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Answer{Reply: hop.Reply{Reason: hop.Expired}, Arrived: true}
	case ctx.Err() != nil:
		return &Answer{Reply: hop.Reply{Reason: hop.CallerLeft}, Arrived: true}
	}
	return &Answer{Reply: hop.Reply{Reason: hop.Lost}, Arrived: true}
}

// judge decides whether a response is the target's whole and own one.
func (g *Gate) judge(j *Job, t *admission.Ticket, a *Answer, response *http.Response, begun clock.Millis) *Answer {
	a.Arrived = true
	done := sync.OnceFunc(func() {
		_ = response.Body.Close()
		took := g.o.Clock.Now() - begun
		if g.declined(response) {
			took = 0
		}
		g.end(j, nil)
		g.queue.Leave(t, took)
	})
	if g.declined(response) {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDeclined))
		done()
		a.Reason, a.RetryMillis = hop.Rejected, g.queue.RetryAfter()
		return a
	}
	if response.StatusCode < 300 && response.Header.Get(g.o.Names.Signature) == "" {
		done()
		a.Reason = hop.Lost
		return a
	}
	a.Status, a.Header, a.Length = response.StatusCode, response.Header, response.ContentLength
	a.Body = &watchedBody{ReadCloser: response.Body, done: done}
	return a
}

// maxDeclined bounds the body of an answer of a target that declines.
const maxDeclined = 64 << 10

// watchedBody gives the slot back when the body ends.
type watchedBody struct {
	io.ReadCloser
	done func()
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.done()
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.done()
	return nil
}

func (g *Gate) begin(j *Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[j] = j.Fingerprint
}

// end takes a job out of those that run. A connection that was lost may be the
// first sign of a crash: if nothing listens at the target's address any more, the
// jobs that ran are reported.
func (g *Gate) end(j *Job, err error) {
	g.mu.Lock()
	var all []string
	for _, f := range g.running {
		all = append(all, f)
	}
	delete(g.running, j)
	t := g.target
	g.mu.Unlock()
	if err == nil || exchange.ProgressOf(err) != exchange.Unknown || g.o.OnCrash == nil || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	g.o.OnCrash(t.Lifetime, all)
}

// NewRequest returns the request that goes over a connection.
func NewRequest(j *Job, address string) (*http.Request, error) {
	r, err := http.NewRequest(j.Method, "http://"+address+j.URI, nil)
	if err != nil {
		return nil, err
	}
	r.Host, r.Header = j.Host, j.Header
	if _, set := r.Header["User-Agent"]; !set {
		r.Header["User-Agent"] = nil // the codec would add one of its own
	}
	r.Body, r.ContentLength = j.Body, j.Length
	if j.Body == nil {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	if r.ContentLength < 0 {
		r.ContentLength, r.TransferEncoding = -1, []string{"chunked"}
	}
	return r, nil
}
