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

// BodyFlushDelay is the time without a byte of the body after which what has arrived
// is passed on: short answers are passed on whole, so that one that breaks off can
// still be replaced, and long ones in pieces.
const BodyFlushDelay clock.Millis = 60

// MaxBufferedBody is the longest body that is read before a request is sent, and kept for
// another attempt. Longer ones are streamed and sent once.
const MaxBufferedBody = 64 << 10

// hopMargin is left of a request's time when it is refused after a wait, for the way
// back: the caller's host could not tell otherwise that the request has not run.
const hopMargin clock.Millis = 30

// Options configure a Gate.
type Options struct {
	Names hop.HeaderNames
	Clock clock.Clock
	Pool  *exchange.Pool
	// OnConnectionLost is told the fingerprints of the requests that the target ran when it
	// refused connections after losing one.
	OnConnectionLost func(message.Incarnation, []string)
}

// Target is what is known of the target.
type Target struct {
	Incarnation message.Incarnation
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
	running  map[*TargetRequest]string
	buckets  keyrange.LoadCounter
}

// New returns a gate without a target.
func New(o Options) *Gate {
	return &Gate{o: o, queue: admission.New(o.Clock), running: map[*TargetRequest]string{}, buckets: keyrange.LoadCounter{}}
}

// SetTarget notes a check-in of the target. A new lifetime holds no keys.
func (g *Gate) SetTarget(t Target) {
	g.mu.Lock()
	if t.Incarnation != g.target.Incarnation {
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

// RejectFrom lets the target of a lifetime get no new work from a time on. An earlier
// time that was set before holds.
func (g *Gate) RejectFrom(l message.Incarnation, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target.Incarnation == l && (g.closeAt == 0 || at < g.closeAt) {
		g.closeAt = at
	}
}

// Stop refuses new work because this process is about to stop.
func (g *Gate) Stop() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	g.queue.RemoveIf(func(int) bool { return true })
}

// SetGrants notes the keys that the target holds until a time.
func (g *Gate) SetGrants(l message.Incarnation, holds []message.RangeGrant, until clock.Millis) {
	g.mu.Lock()
	if g.target.Incarnation == l {
		g.holds, g.until = holds, until
	}
	g.mu.Unlock()
	g.queue.RemoveIf(func(key int) bool {
		return key != hop.NoKey && !slices.ContainsFunc(holds, func(h message.RangeGrant) bool {
			return message.Key(key) >= h.From && message.Key(key) <= h.To
		})
	})
}

// TakeKeyLoads returns the requests by bucket of keys since the last call.
func (g *Gate) TakeKeyLoads() []message.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buckets.Flush()
}

// Load returns how busy the target is.
func (g *Gate) Load() hop.Load {
	running, waiting, slots, mean := g.queue.Load()
	return hop.Load{Running: running, Waiting: waiting, Slots: slots, ServiceMillis: mean}
}

// TargetRequest is a request for the target.
type TargetRequest struct {
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

// Result is what became of a job.
type Result struct {
	hop.Reply
	// MayHaveReachedTarget is true if the job may have reached a target, even one that rejected
	// it.
	MayHaveReachedTarget bool
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
func (a *Result) OnPause(f func()) { a.pause.Store(&f) }

// HandlePause is told that a connection is silent, and calls what OnPause set once the body
// has begun. It never gives the connection up.
func (a *Result) HandlePause(started bool, _ int64) bool {
	if f := a.pause.Load(); started && f != nil {
		(*f)()
	}
	return true
}

// Close ends the answer.
func (a *Result) Close() {
	if a.Body != nil {
		_ = a.Body.Close()
	}
}

// Rejection returns an answer of the system's own.
func Rejection(r hop.Reason, retry clock.Millis) *Result {
	return &Result{Reply: hop.Reply{Reason: r, RetryMillis: retry}}
}

// Do runs a job at the target, or says why not.
func (g *Gate) Do(ctx context.Context, j *TargetRequest) *Result {
	a := g.do(ctx, j)
	a.Load = g.Load()
	return a
}

func (g *Gate) do(ctx context.Context, j *TargetRequest) *Result {
	start := g.o.Clock.Now()
	if reason := g.check(j, start); reason != "" {
		return Rejection(reason, 0)
	}
	g.count(j)
	t := &admission.Ticket{Route: j.Route, Rank: j.Rank, Key: j.Key, Deadline: start + j.RemainingMillis, Objective: start + j.ObjectiveMillis}
	if a := g.admit(ctx, t); a != nil {
		return a
	}
	now := g.o.Clock.Now()
	if reason := g.check(j, now); reason != "" {
		g.queue.Release(t, 0)
		return Rejection(reason, 0)
	}
	j.RemainingMillis -= now - start
	return g.send(ctx, j, t)
}

// check returns why the target may not run a job at present.
func (g *Gate) check(j *TargetRequest, now clock.Millis) hop.Reason {
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

func (g *Gate) count(j *TargetRequest) {
	if j.Key == hop.NoKey {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.buckets.Add(message.Key(j.Key))
}

// admit waits for a slot; nil means that the job has one.
func (g *Gate) admit(ctx context.Context, t *admission.Ticket) *Result {
	v := g.queue.Admit(t)
	if v == admission.Queued {
		timed, cancel := context.WithTimeout(ctx, (t.LatestStart() - hopMargin - g.o.Clock.Now()).Duration())
		defer cancel()
		select {
		case <-t.Decided():
		case <-timed.Done():
			if g.queue.Cancel(t) {
				return Rejection(hop.TooLate, 0)
			}
			<-t.Decided()
		}
		v = t.Decision()
	}
	switch v {
	case admission.Admitted:
		if ctx.Err() != nil {
			g.queue.Release(t, 0)
			return Rejection(hop.TooLate, 0)
		}
		return nil
	case admission.TooLate:
		return Rejection(hop.TooLate, 0)
	case admission.Removed:
		return Rejection(g.whyMoved(), 0)
	}
	return Rejection(hop.Busy, g.queue.RetryAfter())
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
func (g *Gate) send(ctx context.Context, j *TargetRequest, t *admission.Ticket) *Result {
	target, _ := g.Target()
	h := j.Header
	h.Set(g.o.Names.RemainingMillis, strconv.Itoa(int(max(j.RemainingMillis, 1))))
	h.Set(g.o.Names.Instance, string(target.Incarnation.ID))
	r, err := NewHTTPRequest(j, target.Address)
	if err != nil {
		g.queue.Release(t, 0)
		return Rejection(hop.BadRequest, 0)
	}
	begun := g.o.Clock.Now()
	a := &Result{}
	g.begin(j)
	response, err := g.o.Pool.Do(ctx, exchange.Request{
		Address: target.Address, HTTP: r, RequestID: j.ID, IDField: g.o.Names.RequestID, EchoRequired: true,
		EchoOptional: g.declined, SkipForeign: true, AllowUnframed: true,
		BeforeWrite: func() error { return g.stillAllowed(j) },
		Silence:     BodyFlushDelay, BodySilence: true, OnSilence: a.HandlePause,
	})
	if err != nil {
		g.end(j, err)
		g.queue.Release(t, 0)
		return FailedExchange(ctx, err)
	}
	return g.judge(j, t, a, response, begun)
}

var errNoLonger = errors.New("the target may not run the request any more")

func (g *Gate) stillAllowed(j *TargetRequest) error {
	if g.check(j, g.o.Clock.Now()) != "" {
		return errNoLonger
	}
	return nil
}

// declined reports whether a target says that it did not run the request.
func (g *Gate) declined(r *http.Response) bool {
	return r.Header.Get(g.o.Names.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
}

// FailedExchange returns what an exchange without a response says of its job.
func FailedExchange(ctx context.Context, err error) *Result {
	switch {
	case exchange.ProgressOf(err) == exchange.NotSent && errors.Is(err, exchange.ErrBefore):
		return Rejection(hop.NoTarget, 0)
	case exchange.ProgressOf(err) == exchange.NotSent:
		return Rejection(hop.Unreachable, 0)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Result{Reply: hop.Reply{Reason: hop.Expired}, MayHaveReachedTarget: true}
	case ctx.Err() != nil:
		return &Result{Reply: hop.Reply{Reason: hop.CallerDisconnected}, MayHaveReachedTarget: true}
	}
	return &Result{Reply: hop.Reply{Reason: hop.ResponseLost}, MayHaveReachedTarget: true}
}

// judge decides whether a response is the target's whole and own one.
func (g *Gate) judge(j *TargetRequest, t *admission.Ticket, a *Result, response *http.Response, begun clock.Millis) *Result {
	a.MayHaveReachedTarget = true
	done := sync.OnceFunc(func() {
		_ = response.Body.Close()
		took := g.o.Clock.Now() - begun
		if g.declined(response) {
			took = 0
		}
		g.end(j, nil)
		g.queue.Release(t, took)
	})
	if g.declined(response) {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDeclined))
		done()
		a.Reason, a.RetryMillis = hop.RejectedByTarget, g.queue.RetryAfter()
		return a
	}
	if response.StatusCode < 300 && response.Header.Get(g.o.Names.Signature) == "" {
		done()
		a.Reason = hop.ResponseLost
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

func (g *Gate) begin(j *TargetRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[j] = j.Fingerprint
}

// end takes a job out of those that run. A connection that was lost may be the
// first sign of a crash: if nothing listens at the target's address any more, the
// jobs that ran are reported.
func (g *Gate) end(j *TargetRequest, err error) {
	g.mu.Lock()
	var all []string
	for _, f := range g.running {
		all = append(all, f)
	}
	delete(g.running, j)
	t := g.target
	g.mu.Unlock()
	if err == nil || exchange.ProgressOf(err) != exchange.Unknown || g.o.OnConnectionLost == nil || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	g.o.OnConnectionLost(t.Incarnation, all)
}

// NewHTTPRequest returns the request that goes over a connection.
func NewHTTPRequest(j *TargetRequest, address string) (*http.Request, error) {
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
