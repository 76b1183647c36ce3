// Package ingress is the caller side of the request path. It finds the route and the target
// of a request, forwards the request to the sidecar of the target's host, and returns to
// the caller either the complete response or the reason why there is none.
//
// A request passes through ServeHTTP, which reads it, makeAttempts, which repeats attempts
// until one has a final result, attempt, which sends the request to one target, and relay,
// which writes the response. The rules for sending a request again are:
//
//   - A request that has not reached a target may be sent to another one at any time.
//   - A request that a target rejected, or a repeatable one without a valid response, may
//     be retried within the maximum number of attempts of its route and the retry budget
//     that all sidecars share.
//   - Any other request is never sent again, and neither is one whose body is too long to be
//     kept, once an attempt has read from the part that is streamed.
//
// # Usage
//
//	in := ingress.New(ingress.Options{...})
//	http.Server{Handler: in}
package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/pipeline"
	"github.com/gentiansail/gentiansail/internal/traffic/placement"
	"github.com/gentiansail/gentiansail/internal/traffic/throttle"
	"github.com/gentiansail/gentiansail/internal/traffic/view"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/retry"
)

const (
	// maxOwnerWait bounds how long a request waits while its key is moved to another owner.
	// A move takes about 100 ms.
	maxOwnerWait clock.Millis = 250
	// ownerPollInterval is the pause before a request is sent again to an owner that has
	// not received the grant for its new keys yet.
	ownerPollInterval clock.Millis = 25
	// ownerRetryAfter is the time after which callers are asked to retry if their key has no
	// owner or the owner cannot be reached. A failed owner is replaced within seconds.
	ownerRetryAfter clock.Millis = 400
	// defaultTimeout applies to requests that state no timeout.
	defaultTimeout clock.Millis = 30_000
	// maxTargetsTried bounds the targets that are tried if they reject the request before
	// it runs.
	maxTargetsTried = 3
	// extraRetriesShare is the fraction of the deployment's extra retries that is divided
	// among the sidecars.
	extraRetriesShare = 0.8
	// retryRatioShare is the fraction of the deployment's retry ratio that a sidecar uses
	// for its own requests. A retried request may repeat calls to other services, and those
	// count as retries there.
	retryRatioShare = 0.7
)

// Options configure an Ingress.
type Options struct {
	Names   hop.HeaderNames
	Service message.ServiceName // of the target on this host
	Host    message.HostName
	Domain  message.FailureDomain
	Clock   clock.Clock
	Views   *view.Store
	// Gate is the gate of the target on this host.
	Gate *gate.Gate
	// PeerAddress is the address of this host for other sidecars.
	PeerAddress message.Address
	Pool        *exchange.Pool
	// RejectDelay is the time from the first response in which a target says that it is
	// leaving until it gets no more requests from this host.
	RejectDelay clock.Millis
	// RetryRatio and ExtraRetries limit the retries of all sidecars of the deployment.
	RetryRatio   float64
	ExtraRetries int
	SecondCopies SecondCopies
	// OfferedBody is the length of a body from which on a request is offered to a target before
	// it is sent; 0 if none is.
	OfferedBody int64
	Log         zerolog.Logger
	LogBudget   *process.LineLimiter
	// ParentID returns the id of the request whose run made the request with the given id, as far
	// as the id tells. If it is nil, no request counts as a call of a run.
	ParentID func(id string) (parent string, ok bool)
	// RecordResult, if set, is called once for each request when it ends.
	RecordResult func(route, service string, reason hop.Reason, status int, duration clock.Millis)
}

// Ingress serves the requests of the callers on one host.
type Ingress struct {
	options  Options
	balancer *placement.Balancer
	throttle *throttle.Limiter
	// departures are the targets that have said that they are leaving.
	departures *departures
	rateLimits *rateLimits
	// copies decides on second copies; nil if none are sent.
	copies  *secondCopies
	returns *returns
	splits  *splitDraws

	// closeConnections is true when callers are asked to close their connections.
	closeConnections atomic.Bool
	// serveUntil is when this process ends, in clock.Millis; 0 if it is not about to stop.
	serveUntil atomic.Int64
	// rejectRequests is true when all requests are rejected.
	rejectRequests atomic.Bool

	mu           sync.Mutex
	retryBudgets map[message.ServiceName]*retry.Budget
}

// New returns an Ingress.
func New(options Options) *Ingress {
	return &Ingress{options: options, copies: newSecondCopies(options), balancer: placement.New(options.Clock, options.Domain, rand.Float64), throttle: throttle.New(options.Clock, rand.Float64), departures: newDepartures(options.Clock, options.RejectDelay), rateLimits: newRateLimits(options.Names, options.Clock), returns: newReturns(options.Clock), splits: newSplitDraws(rand.Float64), retryBudgets: map[message.ServiceName]*retry.Budget{}}
}

// CloseConnections asks callers to close their connections after the next response.
func (in *Ingress) CloseConnections() { in.closeConnections.Store(true) }

// RejectRequests rejects all requests from now on. It must be called before idle
// connections are closed: a request that is read from such a connection at the same moment
// cannot get a response, so it must not reach a target.
func (in *Ingress) RejectRequests() { in.rejectRequests.Store(true) }

// RejectAfter rejects new requests whose callers may wait for longer than until the given
// time, at which this process ends. A request that is passed on could be cut off.
func (in *Ingress) RejectAfter(end clock.Millis) { in.serveUntil.Store(int64(end)) }

// MayRunAhead reports whether a request may run before earlier requests of its connection
// are answered: it may be repeated, and the connection stays open.
func (in *Ingress) MayRunAhead(r *http.Request) bool {
	v := in.options.Views.Current()
	if v == nil || in.closeConnections.Load() || in.rejectRequests.Load() {
		return false
	}
	route := matchRoute(v, r)
	return route != nil && route.Repeatable
}

// ServeHTTP implements http.Handler.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrival := in.options.Clock.Now()
	if at, ok := pipeline.Arrival(r.Context()); ok {
		arrival = at
	}
	if in.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	if in.rejectRequests.Load() {
		in.writeError(w, r, &request{arrival: arrival, id: r.Header.Get(in.options.Names.RequestID)}, gate.Rejection(hop.Stopping, 0))
		return
	}
	v := in.options.Views.Current()
	if v == nil {
		in.writeError(w, r, &request{arrival: arrival}, gate.Rejection(hop.NoConfiguration, ownerRetryAfter))
		return
	}
	if reason := overLimits(v.Limits, r); reason != "" {
		w.Header().Set("Connection", "close")
		in.writeError(w, r, &request{arrival: arrival, id: r.Header.Get(in.options.Names.RequestID), key: hop.NoKey}, gate.Rejection(reason, 0))
		return
	}
	req, reason := in.readRequest(w, r, v, arrival)
	if reason != "" {
		in.writeError(w, r, req, gate.Rejection(reason, 0))
		return
	}
	if reason := in.rejectionReason(req, v); reason != "" {
		in.writeError(w, r, req, gate.Rejection(reason, 0))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), (req.deadline - in.options.Clock.Now()).Duration())
	defer cancel()
	req.stream.Serve(w, func() { in.serve(ctx, w, r, req) })
}

// rejectionReason returns why a request that was read is not sent to any target, or "".
func (in *Ingress) rejectionReason(req *request, v *view.View) hop.Reason {
	if end := clock.Millis(in.serveUntil.Load()); end > 0 && req.deadline > end {
		return hop.Stopping
	}
	if v.Quarantined(req.fingerprint) {
		return hop.Quarantined
	}
	return ""
}

// serve sends the request until there is a response for the caller, and writes that.
func (in *Ingress) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) {
	for {
		result := in.makeAttempts(ctx, r, req)
		if retryable := in.relay(w, r, req, result); !retryable {
			return
		}
		if !in.mayRetry(ctx, req) {
			in.writeError(w, r, req, result)
			return
		}
	}
}

// makeAttempts sends the request until there is a result that can be returned to the
// caller.
func (in *Ingress) makeAttempts(ctx context.Context, r *http.Request, req *request) *gate.Result {
	in.retryBudget(req.service).Deposit()
	tried := map[message.InstanceID]bool{}
	var wait ownerWait
	for targetsTried := 0; ; {
		v := in.options.Views.Current()
		viewChanged := in.options.Views.Changed()
		target, reason := in.chooseTarget(v, req, tried)
		if reason == hop.NoOwner && in.waitForView(ctx, viewChanged, &wait, req, maxOwnerWait) {
			continue
		}
		if reason != "" {
			return gate.Rejection(reason, ownerRetryAfter)
		}
		if rejection := in.rejectEarly(req, target); rejection != nil {
			return rejection
		}
		var result *gate.Result
		result, target = in.attemptWithCopy(ctx, r, req, target)
		req.attempts = append(req.attempts, string(target.Incarnation.ID)+":"+string(result.Reason))
		lostKey := req.keyed && (result.Reason == hop.NotOwner || result.Reason == hop.NoTarget)
		switch {
		case result.Reason == "":
			return result
		case result.MayHaveReachedTarget:
			if !(result.Reason.NotRun() || req.route.Repeatable) || !in.mayRetry(ctx, req) {
				return result
			}
			if !req.keyed {
				// The target is tried again only if there is no other.
				tried[target.Incarnation.ID] = len(tried)+1 < len(v.Available(req.service))
			}
		case !req.endAttempt():
			if lostKey && !in.hasOtherOwner(req, target) {
				result.RetryMillis = ownerRetryAfter
			}
			return result
		case lostKey:
			if in.hasOtherOwner(req, target) && targetsTried < maxTargetsTried {
				targetsTried++ // the key was moved while the request waited at its former owner
				continue
			}
			// The key stays with its evacuated owner if there is no other target.
			stays := v.Evacuated(target.Domain) && len(v.Available(req.service)) == 0
			if stays || !in.waitForView(ctx, viewChanged, &wait, req, ownerPollInterval) {
				result.RetryMillis = ownerRetryAfter
				return result
			}
		case req.keyed:
			if result.Reason == hop.Unreachable {
				result.RetryMillis = ownerRetryAfter
			}
			return result
		case ctx.Err() != nil:
			return result // an attempt that is not made would count as one that could not reach its target
		default:
			tried[target.Incarnation.ID] = true
			if targetsTried++; targetsTried >= maxTargetsTried {
				return result
			}
			if _, noOther := in.chooseTarget(v, req, tried); noOther != "" {
				return result
			}
		}
	}
}

// hasOtherOwner reports whether the key of a request is owned by another target than the
// given one.
func (in *Ingress) hasOtherOwner(req *request, target message.Instance) bool {
	owner, ok := in.options.Views.Current().Owner(req.service, message.Key(req.key))
	return ok && owner.Incarnation != target.Incarnation
}

// rejectEarly rejects a request for a key whose owner could not be reached recently or
// is expected to reject the request. No other target may run it. It returns nil if the
// request should be sent to the owner.
func (in *Ingress) rejectEarly(req *request, owner message.Instance) *gate.Result {
	id := owner.Incarnation.ID
	if rejection := in.earlyRejection(req, owner); rejection != nil {
		req.attempts = append(req.attempts, string(id)+":not-reached-before")
		return rejection
	}
	if !req.hasOwner() {
		return nil
	}
	retryAfter, ok := in.throttle.Allow(id)
	if ok {
		return nil
	}
	in.throttle.CountRejected(req.service, message.Key(req.key), in.balancer.ServiceMillis(id))
	req.attempts = append(req.attempts, string(id)+":throttled")
	return gate.Rejection(hop.Busy, retryAfter)
}

// earlyRejection returns the rejection of a request for a key whose owner could not be reached
// recently, or nil.
func (in *Ingress) earlyRejection(req *request, owner message.Instance) *gate.Result {
	if req.hasOwner() && in.balancer.Unreachable(owner.Incarnation.ID) {
		return gate.Rejection(hop.Unreachable, ownerRetryAfter)
	}
	return nil
}

// TakeRejectedLoads returns the requests for keys that were rejected on this host since the
// last call because the owners of the keys had rejected most requests before them.
func (in *Ingress) TakeRejectedLoads() []message.ServiceLoads {
	return in.throttle.TakeRejectedLoads()
}

// ownerWait limits the total time that a request waits while its key is moved to another
// owner.
type ownerWait struct {
	end clock.Millis // 0 before the first wait
}

// waitForView waits for a newer view, for at most the given time. It returns false if the
// request has no time left to wait. The limit of the total time starts with the first wait
// rather than with the request, because the key may be moved after the request has spent
// time in the queue of the former owner.
func (in *Ingress) waitForView(ctx context.Context, viewChanged <-chan struct{}, wait *ownerWait, req *request, maxWait clock.Millis) bool {
	now := in.options.Clock.Now()
	if wait.end == 0 {
		wait.end = now + min(maxOwnerWait, (req.deadline-now)/2)
	}
	timeout := min(wait.end-now, maxWait)
	if timeout <= 0 || ctx.Err() != nil {
		return false
	}
	waitCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	select {
	case <-viewChanged:
	case <-waitCtx.Done():
	}
	return ctx.Err() == nil
}

// chooseTarget returns the target of the next attempt, or the reason why there is none.
func (in *Ingress) chooseTarget(v *view.View, req *request, tried map[message.InstanceID]bool) (message.Instance, hop.Reason) {
	if req.hasOwner() {
		owner, ok := in.owner(v, req)
		if !ok {
			return message.Instance{}, hop.NoOwner
		}
		return owner, ""
	}
	instances := in.departures.mark(v.Available(req.service))
	if spec, ok := v.Service(req.service); ok && spec.ColdPerSecond > 0 {
		in.balancer.ExpectCold(instances, clock.Millis(spec.ColdMillis))
	}
	target, ok := in.balancer.Choose(instances, tried)
	if !ok {
		return message.Instance{}, hop.NoTarget
	}
	return target, ""
}

// owner returns the target that owns the key of a request. ok is false if there is none, or if
// it may get no more requests.
func (in *Ingress) owner(v *view.View, req *request) (owner message.Instance, ok bool) {
	owner, ok = v.Owner(req.service, message.Key(req.key))
	return owner, ok && !in.departures.hasLeft(owner.Incarnation)
}

// mayRetry reports whether a request that may have reached a target may be sent again. If
// so, it takes one retry from the budget.
func (in *Ingress) mayRetry(ctx context.Context, req *request) bool {
	if ctx.Err() != nil || !req.endAttempt() || req.reachedTargets >= max(req.route.MaxAttempts, 1) {
		return false
	}
	return in.retryBudget(req.service).Withdraw()
}

// retryBudget returns the budget for retries of requests to a service.
func (in *Ingress) retryBudget(service message.ServiceName) *retry.Budget {
	in.mu.Lock()
	defer in.mu.Unlock()
	b := in.retryBudgets[service]
	if b == nil {
		b = in.newRetryBudget()
		in.retryBudgets[service] = b
	}
	return b
}

// newRetryBudget returns this host's part of the retries of a service, unused.
func (in *Ingress) newRetryBudget() *retry.Budget {
	sidecars := max(1, in.options.Views.Current().TargetCount()) // each target has a sidecar
	return retry.NewBudget(retry.Options{
		Ratio:    max(in.options.RetryRatio*retryRatioShare, 0.001),
		Capacity: max(1, int(float64(in.options.ExtraRetries)*extraRetriesShare)/sidecars),
	})
}

// attempt sends a request to a target, either through the gate of this host or through the
// sidecar of the target's host.
func (in *Ingress) attempt(ctx context.Context, r *http.Request, req *request, target message.Instance) *gate.Result {
	targetRequest := &gate.TargetRequest{
		Request: in.hopRequest(req, target),
		ID:      req.id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: req.header.Clone(), Length: req.length,
	}
	if req.stream != nil {
		targetRequest.Body = io.NopCloser(io.MultiReader(bytes.NewReader(req.body), req.stream.Reader()))
	} else if len(req.body) > 0 {
		targetRequest.Body = exchange.Body(req.body)
	}
	in.balancer.RecordSent(target.Incarnation.ID)
	var result *gate.Result
	if target.Peer == in.options.PeerAddress {
		result = in.options.Gate.Do(ctx, targetRequest)
	} else {
		if in.shouldOffer(req, target) {
			result = in.offer(ctx, req, targetRequest, target.Peer)
			targetRequest.Request = in.hopRequest(req, target) // the offer has taken some of the time
		}
		if result == nil {
			result = in.forward(ctx, targetRequest, target.Peer)
		}
	}
	if result.MayHaveReachedTarget {
		req.reachedTargets++
	}
	if gate.IsLeaving(result.Header, in.options.Names) {
		in.departures.record(target.Incarnation)
	}
	in.rateLimits.record(target.Incarnation, result.Header)
	if result.Reason == hop.Unreachable && errors.Is(ctx.Err(), context.Canceled) {
		in.balancer.RecordCancel(target.Incarnation.ID) // it was cancelled during the wait for a connection
	} else {
		in.updateBalancer(target.Incarnation.ID, result)
	}
	if req.keyed {
		in.updateThrottle(target.Incarnation.ID, result)
	}
	return result
}

// hopRequest returns what the sidecar of the target's host is told about a request.
func (in *Ingress) hopRequest(req *request, target message.Instance) hop.Request {
	now := in.options.Clock.Now()
	return hop.Request{
		Service: req.service, Route: req.route.Name, RemainingMillis: req.deadline - now, ObjectiveMillis: req.objective - now,
		Rank: req.route.Rank, Repeatable: req.route.Repeatable, Key: req.key, Fingerprint: req.fingerprint,
		RateLimit: in.rateLimits.limit(target.Incarnation), SecondCopy: req.secondCopy, Call: req.parentRoute != "",
	}
}

// updateThrottle records whether the owner of a key accepted a request. An owner that could
// not be reached, or whose response came too late, counts as one that rejected it, because
// the link to its host may be congested.
func (in *Ingress) updateThrottle(owner message.InstanceID, result *gate.Result) {
	switch result.Reason {
	case "":
		in.throttle.RecordResult(owner, true, 0)
	case hop.Busy:
		in.throttle.RecordResult(owner, false, result.RetryMillis)
	case hop.Unreachable, hop.TooLate, hop.Expired:
		in.throttle.RecordResult(owner, false, 0)
	}
}

// updateBalancer records the result of an attempt. If a response was lost and no load was
// reported, the sidecar of the target did not respond, so the target counts as unreachable.
func (in *Ingress) updateBalancer(target message.InstanceID, result *gate.Result) {
	switch result.Reason {
	case hop.Unreachable, hop.NoTarget, hop.Stopping:
		in.balancer.RecordFailure(target, true)
	case hop.ResponseLost:
		if result.Load == (hop.Load{}) {
			in.balancer.RecordFailure(target, true)
			return
		}
		in.balancer.RecordResponse(target, result.Load, true)
	case hop.Expired:
		in.balancer.RecordFailure(target, false)
	case hop.TooLate:
		if result.Load == (hop.Load{}) {
			in.balancer.RecordFailure(target, false) // an offer was not answered in time
			return
		}
		in.balancer.RecordResponse(target, result.Load, false)
	case hop.CallerDisconnected:
		in.balancer.RecordCancel(target)
	case hop.RejectedByTarget:
		in.balancer.RecordResponse(target, result.Load, true)
	default:
		in.balancer.RecordResponse(target, result.Load, result.Status >= http.StatusInternalServerError)
	}
}

// forward sends a request to the sidecar of the target's host.
func (in *Ingress) forward(ctx context.Context, targetRequest *gate.TargetRequest, peer message.Address) *gate.Result {
	targetRequest.Header.Del(in.options.Names.RemainingMillis)
	targetRequest.Request.SetHeader(targetRequest.Header)
	httpRequest, err := gate.NewHTTPRequest(targetRequest, string(peer))
	if err != nil {
		return gate.Rejection(hop.BadRequest, 0)
	}
	result := &gate.Result{}
	response, err := in.options.Pool.Do(ctx, exchange.Request{
		Address: string(peer), HTTP: httpRequest, RequestID: targetRequest.ID, RequestIDHeader: in.options.Names.RequestID,
		IdleTimeout: gate.BodyFlushDelay, IdleTimeoutBodyOnly: true, OnIdleTimeout: result.HandlePause,
	})
	if err != nil {
		return gate.FailedExchange(ctx, err)
	}
	reply, ok := hop.ParseReply(response.Header)
	if !ok {
		_ = response.Body.Close()
		return &gate.Result{Reply: hop.Reply{Reason: hop.ResponseLost}, MayHaveReachedTarget: true}
	}
	result.Reply, result.Status, result.Header, result.Length, result.Body = reply, response.StatusCode, response.Header, response.ContentLength, response.Body
	result.MayHaveReachedTarget = reply.Reason == "" || !reply.Reason.NotRun() || reply.Reason == hop.RejectedByTarget
	if reply.Reason != "" {
		_ = response.Body.Close()
		result.Body = nil
	}
	return result
}

// Prune removes the state of targets that are not in the view. What they have stated in their
// responses is kept for a while, since they may be listed again.
func (in *Ingress) Prune(v *view.View) {
	known := func(id message.InstanceID) bool {
		_, ok := v.Instance(id)
		return ok
	}
	isCurrent := func(i message.Incarnation) bool {
		instance, ok := v.Instance(i.ID)
		return ok && instance.Incarnation == i
	}
	in.departures.since.forgetUnlisted(isCurrent)
	in.rateLimits.perSecond.forgetUnlisted(isCurrent)
	in.balancer.Retain(known)
	in.throttle.Retain(known)
}
