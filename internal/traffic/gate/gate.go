// Package gate is the target side of the request path. A Gate makes the last check
// before a target runs a request, and all requests reach the target through it.
//
// A gate learns the state of its target from the target's heartbeats: the current
// incarnation, whether it accepts requests, its key range grants and when they expire.
// It checks this state immediately before it writes a request. Each call of Do writes its
// request to the target at most once. Once the first byte is written, a failure is reported
// with an unknown outcome, unless the target itself states that it did not run the request.
//
// # Usage
//
//	g := gate.New(gate.Options{...})
//	g.SetTarget(gate.Target{...})
//	result := g.Do(ctx, request)
//	defer result.Close()
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
	"github.com/gentiansail/gentiansail/internal/traffic/coldstart"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// BodyFlushDelay is the time without a byte of a response body after which the bytes
// received so far are passed on. A short response is otherwise buffered until it is
// complete, so that a retry can still replace it if it is cut off. Longer responses are
// streamed.
const BodyFlushDelay clock.Millis = 60

// MaxBufferedBody bounds the request bodies that are read into memory before the request
// is sent, and kept for a retry. Longer bodies are streamed and sent once.
const MaxBufferedBody = 64 << 10

// responseMargin is the part of a request's time that is reserved for returning a
// rejection after a wait in the queue. If the rejection came too late, the caller's host
// could not know that the request has not run.
const responseMargin clock.Millis = 30

// Options configure a Gate.
type Options struct {
	Names hop.HeaderNames
	Clock clock.Clock
	Pool  *exchange.Pool
	// OnConnectionLost, if set, is called when a connection to the target is lost during
	// an exchange, with the fingerprints of all requests that the target was running.
	OnConnectionLost func(message.Incarnation, []string)
	// OnLeaving, if set, is called with each response in which the target says that it is
	// leaving.
	OnLeaving func(message.Incarnation)
	// OnRateLimit, if set, is called when the limit that a target names changes; 0 means no
	// limit.
	OnRateLimit func(incarnation message.Incarnation, before, now float64)
	// OnKeyRejected, if set, is called when the target states that it does not own the key
	// of a request although it has a grant.
	OnKeyRejected func(message.Incarnation, message.Key)
	// OnCold, if set, is called when the target turns cold or is cold no longer.
	OnCold func(incarnation message.Incarnation, cold bool, cause ColdCause)
	// OnColdRequest, if set, is called with each request that waits, or is rejected, because
	// the target is cold.
	OnColdRequest func(ColdOutcome)
}

// Target describes the target of a gate, as of its last heartbeat.
type Target struct {
	Incarnation message.Incarnation
	Service     message.ServiceName
	Address     string
	Slots       int
	// Keyed is true if the target may run a request only for a key that it owns.
	Keyed bool
	// ColdMillis is how much longer the target says that it is cold; 0 if it is not. Cold
	// states what it takes meanwhile.
	ColdMillis clock.Millis
	Cold       coldstart.Bounds
}

// Gate controls all requests to one target. It is safe for concurrent use.
type Gate struct {
	options Options
	queue   *admission.Queue

	mu     sync.Mutex
	target Target
	// hasTarget is true from the first heartbeat on.
	hasTarget bool
	// rejectFrom is when the target stops accepting requests; 0 if it is not stopping.
	rejectFrom clock.Millis
	// evacuated is true while the failure domain of this host is evacuated. Requests are then
	// rejected from evacuatedFrom on.
	evacuated     bool
	evacuatedFrom clock.Millis
	// stopping is true when this process is about to stop.
	stopping bool
	grants   []KeyGrant
	// rateLimit is the limit that the target names in its responses.
	rateLimit rateLimit
	// knownCold is whether the target was cold when that was last reported to OnCold.
	knownCold bool
	// running maps the requests at the target to their fingerprints.
	running  map[*TargetRequest]string
	keyLoads keyrange.LoadCounter
}

// New returns a gate without a target.
func New(options Options) *Gate {
	return &Gate{options: options, queue: admission.New(options.Clock), running: map[*TargetRequest]string{}, keyLoads: keyrange.LoadCounter{}}
}

// SetTarget records a heartbeat of the target. A new incarnation starts without grants.
func (g *Gate) SetTarget(t Target) {
	now := g.options.Clock.Now()
	g.mu.Lock()
	begins := t.Incarnation != g.target.Incarnation
	if begins {
		g.grants, g.rejectFrom, g.rateLimit = nil, 0, rateLimit{}
		g.queue.SetRate(0)
		g.queue.ForgetSlowdown()
	}
	g.target, g.hasTarget = t, true
	g.queue.Cold().SetBounds(t.Cold, now)
	g.queue.Cold().Report(t.ColdMillis, begins, now)
	g.mu.Unlock()
	g.noteCold(ColdReported)
	g.queue.SetSlots(t.Slots)
}

// Target returns the target. ok is false before the first heartbeat.
func (g *Gate) Target() (t Target, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target, g.hasTarget
}

// RejectFrom makes the gate reject requests to an incarnation of the target from the
// given time on. It has no effect if an earlier time is set already.
func (g *Gate) RejectFrom(incarnation message.Incarnation, at clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target.Incarnation == incarnation && (g.rejectFrom == 0 || at < g.rejectFrom) {
		g.rejectFrom = at
	}
}

// Stop rejects all queued and new requests because this process is about to stop.
func (g *Gate) Stop() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	g.queue.RemoveIf(func(int) bool { return true })
}

// KeyGrant is a range of keys for which the target may begin requests until it expires.
type KeyGrant struct {
	From, To message.Key
	Expiry   clock.Millis
}

// SetGrants replaces the key range grants of the target. Queued requests for other keys are
// removed from the queue.
func (g *Gate) SetGrants(incarnation message.Incarnation, grants []KeyGrant) {
	g.mu.Lock()
	if g.target.Incarnation == incarnation {
		g.grants = grants
	}
	g.mu.Unlock()
	g.queue.RemoveIf(func(key int) bool {
		return key != hop.NoKey && !slices.ContainsFunc(grants, func(grant KeyGrant) bool {
			return message.Key(key) >= grant.From && message.Key(key) <= grant.To
		})
	})
}

// WorksOn reports whether the target works on a request for a key of a range.
func (g *Gate) WorksOn(from, to message.Key) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for request := range g.running {
		if request.Key != hop.NoKey && from <= message.Key(request.Key) && message.Key(request.Key) <= to {
			return true
		}
	}
	return false
}

// TakeKeyLoads returns the work of the requests per bucket of keys since the last call.
func (g *Gate) TakeKeyLoads() []message.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keyLoads.Flush()
}

// Load returns the current load of the target.
func (g *Gate) Load() hop.Load {
	g.mu.Lock()
	limit := g.rateLimit
	g.mu.Unlock()
	running, waiting, slots, mean := g.queue.Load()
	now := g.options.Clock.Now()
	return g.limitColdSpeed(limit.limitSpeed(hop.Load{Running: running, Waiting: waiting, Slots: slots, ServiceMillis: mean}, now), now)
}

// Capacity returns the work that the target can do in a second, in the unit of TakeKeyLoads: that
// of its slots, or less if its rate is limited.
func (g *Gate) Capacity() float64 {
	load := g.Load()
	capacity := float64(load.Slots) * keyrange.WorkPerSlot
	if mean := g.queue.MeanDuration(); load.ServiceMillis > mean {
		capacity *= float64(mean) / float64(load.ServiceMillis)
	}
	return capacity
}

// RunningRoute returns the route of a request that the target runs, or "" if it runs no request
// with this id.
func (g *Gate) RunningRoute(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for request := range g.running {
		if request.ID == id {
			return request.Route
		}
	}
	return ""
}

// CallShare returns the share of the slots that calls have lately asked for.
func (g *Gate) CallShare() float64 { return g.queue.CallShare() }

// TargetRequest is a request to be run by a target.
type TargetRequest struct {
	hop.Request
	ID     string
	Method string
	// URI is the path and query as the caller sent them.
	URI  string
	Host string
	// Header holds the end-to-end fields as they are sent to the target.
	Header http.Header
	// Body is nil for a request without a body. Length is -1 if it is unknown.
	Body   io.ReadCloser
	Length int64
}

// Result is the outcome of a TargetRequest: either a response of the target or the
// reason why there is none.
type Result struct {
	hop.Reply
	// MayHaveReachedTarget is true if the request may have reached a target, including
	// one that rejected it.
	MayHaveReachedTarget bool
	Status               int
	Header               http.Header
	// Body is nil for a response without a body. Length is -1 if it is unknown.
	Body   io.ReadCloser
	Length int64
	// onPause is the function set by OnPause.
	onPause atomic.Pointer[func()]
}

// OnPause sets a function that is called when the body pauses, by the goroutine that
// reads the body.
func (r *Result) OnPause(f func()) { r.onPause.Store(&f) }

// HandlePause is called when no byte has arrived on the connection for BodyFlushDelay.
// If the body has started, it calls the function set by OnPause. It always returns true,
// so that the exchange continues.
func (r *Result) HandlePause(bodyStarted bool, _ int64) bool {
	if f := r.onPause.Load(); bodyStarted && f != nil {
		(*f)()
	}
	return true
}

// Close closes the body, if there is one.
func (r *Result) Close() {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}

// Rejection returns the result of a request that has not run.
func Rejection(reason hop.Reason, retryAfter clock.Millis) *Result {
	return &Result{Reply: hop.Reply{Reason: reason, RetryMillis: retryAfter}}
}

// Do runs a request at the target, or returns the reason why it cannot.
func (g *Gate) Do(ctx context.Context, request *TargetRequest) *Result {
	result := g.do(ctx, request)
	result.Load = g.Load()
	return result
}

func (g *Gate) do(ctx context.Context, request *TargetRequest) *Result {
	start := g.options.Clock.Now()
	if reason := g.rejectionReason(request, start); reason != "" {
		return Rejection(reason, 0)
	}
	g.countKey(request)
	g.adoptRateLimit(request.RateLimit)
	ticket := newTicket(request, start)
	if rejection := g.admit(ctx, request, ticket); rejection != nil {
		return rejection
	}
	now := g.options.Clock.Now()
	if reason := g.rejectionReason(request, now); reason != "" {
		g.releaseUnsent(ticket)
		return Rejection(reason, 0)
	}
	request.RemainingMillis -= now - start
	return g.send(ctx, request, ticket)
}

// newTicket returns the ticket of a request that arrives now.
func newTicket(request *TargetRequest, now clock.Millis) *admission.Ticket {
	return &admission.Ticket{
		Route: request.Route, Rank: request.Rank, Key: request.Key,
		Deadline: now + request.RemainingMillis, Objective: now + request.ObjectiveMillis, Call: request.Call,
	}
}

// rejectionReason returns why the target may not run a request at the moment, or "" if
// it may.
func (g *Gate) rejectionReason(request *TargetRequest, now clock.Millis) hop.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.stopping:
		return hop.Stopping
	case !g.hasTarget || g.rejectFrom > 0 && now >= g.rejectFrom || g.closedByEvacuation(now) || g.target.Service != request.Service:
		return hop.NoTarget
	case g.target.Keyed && request.Key != hop.NoKey && !g.ownsKey(message.Key(request.Key), now):
		return hop.NotOwner
	}
	return ""
}

// ownsKey reports whether the target has an unexpired grant for a key. The caller must
// hold g.mu.
func (g *Gate) ownsKey(key message.Key, now clock.Millis) bool { return g.ownedFor(key, now) > 0 }

// ownedFor returns how long the grant of a key lasts, 0 if there is none. The caller must hold
// g.mu.
func (g *Gate) ownedFor(key message.Key, now clock.Millis) clock.Millis {
	for _, grant := range g.grants {
		if key >= grant.From && key <= grant.To && now < grant.Expiry {
			return grant.Expiry - now
		}
	}
	return 0
}

func (g *Gate) countKey(request *TargetRequest) {
	if request.Key == hop.NoKey {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keyLoads.Add(message.Key(request.Key), g.queue.ExpectedDuration(request.Route))
}

// waitForSlot waits until the target has a free slot for the request. It returns nil if
// the request got one, and a rejection otherwise.
func (g *Gate) waitForSlot(ctx context.Context, ticket *admission.Ticket) (rejection *Result) {
	decision := g.queue.Admit(ticket)
	defer func(first admission.Decision) { g.countCold(first, ticket, rejection) }(decision)
	if decision == admission.Queued {
		waitCtx, cancel := context.WithTimeout(ctx, (ticket.LatestStart() - responseMargin - g.options.Clock.Now()).Duration())
		defer cancel()
		select {
		case <-ticket.Decided():
		case <-waitCtx.Done():
			if expiry, ok := g.queue.Expire(ticket); ok {
				if ctx.Err() != nil || expiry == admission.TooLate {
					return Rejection(hop.TooLate, 0)
				}
				return Rejection(hop.Busy, g.queue.BookReturn(ticket))
			}
			<-ticket.Decided()
		}
		decision = ticket.Decision()
	}
	switch decision {
	case admission.Admitted:
		if ctx.Err() != nil {
			g.releaseUnsent(ticket)
			return Rejection(hop.TooLate, 0)
		}
		return nil
	case admission.TooLate:
		return Rejection(hop.TooLate, 0)
	case admission.Removed:
		return Rejection(g.removalReason(), 0)
	}
	return Rejection(hop.Busy, g.queue.BookReturn(ticket))
}

// removalReason returns why a queued request was removed from the queue.
func (g *Gate) removalReason() hop.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return hop.Stopping
	}
	if g.closedByEvacuation(g.options.Clock.Now()) {
		return hop.NoTarget
	}
	return hop.NotOwner
}

// send writes the request to the target, once.
func (g *Gate) send(ctx context.Context, request *TargetRequest, ticket *admission.Ticket) *Result {
	target, _ := g.Target()
	header := request.Header
	header.Set(g.options.Names.RemainingMillis, strconv.Itoa(int(max(request.RemainingMillis, 1))))
	header.Set(g.options.Names.Instance, string(target.Incarnation.ID))
	httpRequest, err := NewHTTPRequest(request, target.Address)
	if err != nil {
		g.releaseUnsent(ticket)
		return Rejection(hop.BadRequest, 0)
	}
	start := g.options.Clock.Now()
	result, count := &Result{}, &coldCount{limiter: g.queue.Cold(), at: ticket.Begun()}
	g.addRunning(request)
	response, err := g.options.Pool.Do(ctx, exchange.Request{
		Address: target.Address, HTTP: httpRequest, RequestID: request.ID, RequestIDHeader: g.options.Names.RequestID, RequireRequestID: true,
		MayOmitRequestID: g.rejectedByTarget, SkipMismatched: true, AllowCloseDelimited: true,
		BeforeWrite: func() error { return g.checkBeforeWrite(request, count) },
		IdleTimeout: BodyFlushDelay, IdleTimeoutBodyOnly: true, OnIdleTimeout: result.HandlePause,
	})
	if err != nil {
		g.removeRunning(request, err)
		count.cancelUnsent()
		g.presumeCold(ctx, err)
		g.queue.Release(ticket, 0)
		if errors.Is(err, errCold) {
			g.countColdOutcome(ColdRejected)
			return Rejection(hop.Busy, g.queue.RetryAfter())
		}
		return FailedExchange(ctx, err)
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		count.cancel()
	}
	return g.readResponse(request, ticket, target.Incarnation, result, response, start)
}

var errNotAllowed = errors.New("target may no longer run the request")

// checkBeforeWrite repeats the checks of the request when the connection is ready, since
// the state of the target may have changed during the wait for it.
func (g *Gate) checkBeforeWrite(request *TargetRequest, count *coldCount) error {
	now := g.options.Clock.Now()
	if g.rejectionReason(request, now) != "" {
		return errNotAllowed
	}
	if !count.send(now) {
		return errCold
	}
	return nil
}

// rejectedByTarget reports whether a response states that the target did not run the
// request.
func (g *Gate) rejectedByTarget(r *http.Response) bool {
	return r.Header.Get(g.options.Names.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
}

// IsLeaving reports whether a response says that its target is leaving.
func IsLeaving(h http.Header, names hop.HeaderNames) bool { return h.Get(names.Leaving) == "1" }

// FailedExchange returns the result of a request whose exchange failed before a response
// header arrived.
func FailedExchange(ctx context.Context, err error) *Result {
	switch {
	case exchange.ProgressOf(err) == exchange.NotSent && errors.Is(err, exchange.ErrBeforeWrite):
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

// readResponse completes the result from a response. A response with a status below 300
// must carry the signature of the target; without it, it is treated as lost.
func (g *Gate) readResponse(request *TargetRequest, ticket *admission.Ticket, incarnation message.Incarnation, result *Result, response *http.Response, start clock.Millis) *Result {
	result.MayHaveReachedTarget = true
	g.observeRateLimit(incarnation, response.Header, start)
	g.observeSlowdown(incarnation, response.Header)
	if g.options.OnLeaving != nil && IsLeaving(response.Header, g.options.Names) {
		g.options.OnLeaving(incarnation)
	}
	release := sync.OnceFunc(func() {
		_ = response.Body.Close()
		duration := g.options.Clock.Now() - start
		if g.rejectedByTarget(response) {
			duration = 0
		}
		g.removeRunning(request, nil)
		g.queue.Release(ticket, duration)
	})
	if g.rejectedByTarget(response) {
		// Closes the connection. A faulty target may write the rejection once more, and on
		// this connection that would pass for its response to a later request.
		release()
		if response.StatusCode == http.StatusMisdirectedRequest && request.Key != hop.NoKey && g.options.OnKeyRejected != nil {
			g.options.OnKeyRejected(incarnation, message.Key(request.Key))
		}
		result.Reason, result.RetryMillis = hop.RejectedByTarget, g.queue.RetryAfter()
		return result
	}
	if response.StatusCode < 300 && response.Header.Get(g.options.Names.Signature) == "" {
		release()
		result.Reason = hop.ResponseLost
		return result
	}
	result.Status, result.Header, result.Length = response.StatusCode, response.Header, response.ContentLength
	result.Body = &releasingBody{ReadCloser: response.Body, release: release}
	return result
}

// releasingBody is a response body that releases the slot of its request when it ends.
type releasingBody struct {
	io.ReadCloser
	release func()
}

// Read implements io.Reader.
func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.release()
	}
	return n, err
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	b.release()
	return nil
}

func (g *Gate) addRunning(request *TargetRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[request] = request.Fingerprint
}

// removeRunning removes a request from those that the target runs. A lost connection may
// be the first sign of a crash, so it is reported together with all requests that were
// running; OnConnectionLost finds out whether the target still accepts connections.
func (g *Gate) removeRunning(request *TargetRequest, err error) {
	g.mu.Lock()
	var fingerprints []string
	for _, fingerprint := range g.running {
		fingerprints = append(fingerprints, fingerprint)
	}
	delete(g.running, request)
	target := g.target
	g.mu.Unlock()
	if err == nil || exchange.ProgressOf(err) != exchange.Unknown || g.options.OnConnectionLost == nil || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	g.options.OnConnectionLost(target.Incarnation, fingerprints)
}

// NewHTTPRequest returns the HTTP request that is written to a connection.
func NewHTTPRequest(request *TargetRequest, address string) (*http.Request, error) {
	r, err := http.NewRequest(request.Method, "http://"+address+request.URI, nil)
	if err != nil {
		return nil, err
	}
	r.Host, r.Header = request.Host, request.Header
	if _, set := r.Header["User-Agent"]; !set {
		r.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	r.Body, r.ContentLength = request.Body, request.Length
	if request.Body == nil {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	if r.ContentLength < 0 {
		r.ContentLength, r.TransferEncoding = -1, []string{"chunked"}
	}
	return r, nil
}
