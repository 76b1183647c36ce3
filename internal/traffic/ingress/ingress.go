// Package ingress is the caller's side of a request: it finds the route and the
// target, forwards the request to the sidecar beside the target, and gives the
// caller its whole answer or says truthfully what became of the request.
//
// The path of a request, from top to bottom: Serve reads it, run makes the attempts,
// attempt sends one of them, and relay passes the answer on. What may be repeated:
//
//   - A request that has not reached a target may go to another one at any time.
//   - One that a target rejected, or a repeatable one without a valid answer, goes
//     out again within the route's attempts and the budget of retries that all
//     sidecars share.
//   - Any other is never sent again.
//
// # Usage
//
//	in := ingress.New(ingress.Options{...})
//	http.Server{Handler: in}
package ingress

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/placement"
	"github.com/gentiansail/gentiansail/internal/traffic/throttle"
	"github.com/gentiansail/gentiansail/internal/traffic/view"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/retry"
)

const (
	// ownerWait bounds how long a request waits for keys that are changing hands, a
	// matter of about 100 ms.
	ownerWait clock.Millis = 250
	// ownerPoll is the pause before a holder is asked again that has not heard of its
	// new keys yet.
	ownerPoll clock.Millis = 25
	// ownerRetry is when a caller may come back whose key nobody holds. A lost holder
	// is replaced within seconds.
	ownerRetry clock.Millis = 400
	// defaultPatience is the time for a request that states none.
	defaultPatience clock.Millis = 30_000
	// maxPlaces bounds the targets that are asked for a free slot.
	maxPlaces = 3
	// extraShare is the part of the deployment's allowance of extra retries that is
	// divided among the sidecars.
	extraShare = 0.8
	// ratioShare is the part of the allowed ratio that this sidecar uses of its own
	// requests. Calls that a repeated request makes again count at another service.
	ratioShare = 0.7
)

// Options configure an Ingress.
type Options struct {
	Names   hop.HeaderNames
	Service message.ServiceName // of the host's own target
	Host    message.HostName
	Domain  message.FailureDomain
	Clock   clock.Clock
	Views   *view.Store
	// Gate is that of the host's own target.
	Gate *gate.Gate
	// PeerAddress is the peer address of this host.
	PeerAddress message.Address
	Pool        *exchange.Pool
	// RetryRatio and ExtraRetries are the deployment's bounds, over all sidecars.
	RetryRatio   float64
	ExtraRetries int
	Log          zerolog.Logger
	LogBudget    *process.LineBudget
	RecordResult func(route, service string, reason hop.Reason, status int, took clock.Millis)
}

// Ingress serves the callers of one host.
type Ingress struct {
	o        Options
	table    *placement.Balancer
	throttle *throttle.Limiter

	// leaving asks callers to use other connections, closed refuses their requests.
	leaving atomic.Bool
	closed  atomic.Bool

	mu      sync.Mutex
	budgets map[message.ServiceName]*retry.Budget
}

// New returns an Ingress.
func New(o Options) *Ingress {
	return &Ingress{o: o, table: placement.New(o.Clock, o.Domain, rand.Float64), throttle: throttle.New(o.Clock, rand.Float64), budgets: map[message.ServiceName]*retry.Budget{}}
}

// CloseConnections asks callers to close their connections after the next answer.
func (g *Ingress) CloseConnections() { g.leaving.Store(true) }

// RejectRequests refuses requests from now on. It is called before connections without a
// request are closed: a request may be read from one of them at the same moment, its
// caller can get no answer, and so it must reach no target.
func (g *Ingress) RejectRequests() { g.closed.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := g.o.Clock.Now()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if g.closed.Load() {
		g.finish(w, r, &request{begun: begun, id: r.Header.Get(g.o.Names.RequestID)}, gate.Rejection(hop.Stopping, 0))
		return
	}
	v := g.o.Views.Current()
	if v == nil {
		g.finish(w, r, &request{begun: begun}, gate.Rejection(hop.NoConfiguration, ownerRetry))
		return
	}
	q, reason := g.read(w, r, v, begun)
	if reason != "" {
		g.finish(w, r, q, gate.Rejection(reason, 0))
		return
	}
	if v.Quarantined(q.print) {
		g.finish(w, r, q, gate.Rejection(hop.Quarantined, 0))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), (q.deadline - g.o.Clock.Now()).Duration())
	defer cancel()
	for {
		a := g.run(ctx, r, q)
		if again := g.relay(w, r, q, a); !again {
			return
		}
		if !g.mayRepeat(ctx, q) {
			g.finish(w, r, q, a)
			return
		}
	}
}

// run makes attempts until there is an answer to pass on.
func (g *Ingress) run(ctx context.Context, r *http.Request, q *request) *gate.Result {
	g.budget(q.service).Deposit()
	tried := map[message.InstanceID]bool{}
	var wait ownerWaiting
	for places := 0; ; {
		v := g.o.Views.Current()
		changed := g.o.Views.Changed()
		i, reason := g.choose(v, q, tried)
		if reason == hop.NoOwner && g.await(ctx, changed, &wait, q, ownerWait) {
			continue
		}
		if reason != "" {
			return gate.Rejection(reason, ownerRetry)
		}
		if a := g.hopeless(q, i); a != nil {
			return a
		}
		a := g.attempt(ctx, r, q, i)
		q.trail = append(q.trail, string(i.Incarnation.ID)+":"+string(a.Reason))
		switch {
		case a.Reason == "":
			return a
		case a.MayHaveReachedTarget:
			if !(a.Reason.NotRun() || q.route.Repeatable) || !g.mayRepeat(ctx, q) {
				return a
			}
			if !q.keyed {
				tried[i.Incarnation.ID] = len(tried)+1 < len(v.Instances(q.service))
			}
		case q.keyed && (a.Reason == hop.NotOwner || a.Reason == hop.NoTarget):
			if j, ok := g.o.Views.Current().Owner(q.service, message.Key(q.key)); ok && j.Incarnation != i.Incarnation && places < maxPlaces {
				places++ // the keys have moved while the request waited there
				continue
			}
			if !g.await(ctx, changed, &wait, q, ownerPoll) {
				a.RetryMillis = ownerRetry
				return a
			}
		case q.keyed || q.stream != nil:
			return a
		default:
			tried[i.Incarnation.ID] = true
			if places++; places >= maxPlaces {
				return a
			}
			if _, left := g.choose(v, q, tried); left != "" {
				return a
			}
		}
	}
}

// hopeless refuses a request for a key whose holder is known to refuse it, or cannot be
// reached; nil means that it is worth a try. No other target may run it.
func (g *Ingress) hopeless(q *request, i message.Instance) *gate.Result {
	if !q.keyed || q.key == hop.NoKey {
		return nil
	}
	id := i.Incarnation.ID
	if g.table.Unreachable(id) {
		q.trail = append(q.trail, string(id)+":not-reached-before")
		return gate.Rejection(hop.Unreachable, ownerRetry)
	}
	retry, ok := g.throttle.Allow(id)
	if ok {
		return nil
	}
	g.throttle.CountRejected(q.service, message.Key(q.key))
	q.trail = append(q.trail, string(id)+":throttled")
	return gate.Rejection(hop.Busy, retry)
}

// TakeRejectedLoads returns the requests for keys that were refused on this host, as their holder
// had refused most of those before them.
func (g *Ingress) TakeRejectedLoads() []message.ServiceLoads { return g.throttle.TakeRejectedLoads() }

// ownerWaiting is how long a request may wait for keys to change hands.
type ownerWaiting struct{ until clock.Millis }

// await waits for a newer view, at most for a while. It returns false when there is
// no time left for waiting. The time counts from the first wait: keys may begin to
// move while the request is in the queue of their holder.
func (g *Ingress) await(ctx context.Context, changed <-chan struct{}, w *ownerWaiting, q *request, most clock.Millis) bool {
	now := g.o.Clock.Now()
	if w.until == 0 {
		w.until = now + min(ownerWait, (q.deadline-now)/2)
	}
	left := min(w.until-now, most)
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	timed, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	select {
	case <-changed:
	case <-timed.Done():
	}
	return ctx.Err() == nil
}

// choose returns the target of the next attempt.
func (g *Ingress) choose(v *view.View, q *request, tried map[message.InstanceID]bool) (message.Instance, hop.Reason) {
	if q.keyed && q.key != hop.NoKey {
		i, ok := v.Owner(q.service, message.Key(q.key))
		if !ok {
			return message.Instance{}, hop.NoOwner
		}
		return i, ""
	}
	i, ok := g.table.Choose(v.Instances(q.service), tried)
	if !ok {
		return message.Instance{}, hop.NoTarget
	}
	return i, ""
}

// mayRepeat reports whether a request that may have reached a target may go out
// again.
func (g *Ingress) mayRepeat(ctx context.Context, q *request) bool {
	if ctx.Err() != nil || q.stream != nil || q.sent >= max(q.route.MaxAttempts, 1) {
		return false
	}
	return g.budget(q.service).Withdraw()
}

func (g *Ingress) budget(name message.ServiceName) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[name]
	if b == nil {
		sidecars := max(1, g.o.Views.Current().TargetCount())
		b = retry.NewBudget(retry.Options{
			Ratio:    max(g.o.RetryRatio*ratioShare, 0.001),
			Capacity: max(1, int(float64(g.o.ExtraRetries)*extraShare)/sidecars),
		})
		g.budgets[name] = b
	}
	return b
}

// attempt sends a request to the sidecar beside a target, or to the host's own.
func (g *Ingress) attempt(ctx context.Context, r *http.Request, q *request, i message.Instance) *gate.Result {
	now := g.o.Clock.Now()
	j := &gate.TargetRequest{
		Request: hop.Request{
			Service: q.service, Route: q.route.Name, RemainingMillis: q.deadline - now, ObjectiveMillis: q.aim - now,
			Rank: q.route.Rank, Repeatable: q.route.Repeatable, Key: q.key, Fingerprint: q.print,
		},
		ID: q.id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: q.header.Clone(), Length: q.length,
	}
	if q.stream != nil {
		j.Body = io.NopCloser(io.MultiReader(strings.NewReader(string(q.body)), q.stream))
	} else if len(q.body) > 0 {
		j.Body = exchange.Body(q.body)
	}
	g.table.RecordSent(i.Incarnation.ID)
	var a *gate.Result
	if i.Peer == g.o.PeerAddress {
		a = g.o.Gate.Do(ctx, j)
	} else {
		a = g.forward(ctx, j, i.Peer)
	}
	if a.MayHaveReachedTarget {
		q.sent++
	}
	g.note(i.Incarnation.ID, a)
	if q.keyed {
		g.noteHolder(i.Incarnation.ID, a)
	}
	return a
}

// noteHolder tells the throttle whether the holder of a key took a request. One that
// could not be reached, or answered too late, may sit behind a link that is full.
func (g *Ingress) noteHolder(id message.InstanceID, a *gate.Result) {
	switch a.Reason {
	case "":
		g.throttle.RecordResult(id, true, 0)
	case hop.Busy:
		g.throttle.RecordResult(id, false, a.RetryMillis)
	case hop.Unreachable, hop.TooLate, hop.Expired:
		g.throttle.RecordResult(id, false, ownerRetry)
	}
}

// note tells the table how an attempt ended.
func (g *Ingress) note(id message.InstanceID, a *gate.Result) {
	switch a.Reason {
	case hop.Unreachable, hop.NoTarget, hop.Stopping:
		g.table.RecordFailure(id, true)
	case hop.ResponseLost:
		if a.Load == (hop.Load{}) {
			g.table.RecordFailure(id, true)
			return
		}
		g.table.RecordResponse(id, a.Load, true)
	case hop.Expired:
		g.table.RecordFailure(id, false)
	case hop.CallerDisconnected:
		g.table.RecordCancel(id)
	case hop.RejectedByTarget:
		g.table.RecordResponse(id, a.Load, true)
	default:
		g.table.RecordResponse(id, a.Load, a.Status >= http.StatusInternalServerError)
	}
}

// forward sends a job to another host.
func (g *Ingress) forward(ctx context.Context, j *gate.TargetRequest, peer message.Address) *gate.Result {
	j.Header.Del(g.o.Names.RemainingMillis)
	j.Request.SetHeader(j.Header)
	r, err := gate.NewHTTPRequest(j, string(peer))
	if err != nil {
		return gate.Rejection(hop.BadRequest, 0)
	}
	a := &gate.Result{}
	response, err := g.o.Pool.Do(ctx, exchange.Request{
		Address: string(peer), HTTP: r, RequestID: j.ID, IDField: g.o.Names.RequestID,
		Silence: gate.BodyFlushDelay, BodySilence: true, OnSilence: a.HandlePause,
	})
	if err != nil {
		return gate.FailedExchange(ctx, err)
	}
	reply, ok := hop.ParseReply(response.Header)
	if !ok {
		_ = response.Body.Close()
		return &gate.Result{Reply: hop.Reply{Reason: hop.ResponseLost}, MayHaveReachedTarget: true}
	}
	a.Reply, a.Status, a.Header, a.Length, a.Body = reply, response.StatusCode, response.Header, response.ContentLength, response.Body
	a.MayHaveReachedTarget = reply.Reason == "" || !reply.Reason.NotRun() || reply.Reason == hop.RejectedByTarget
	if reply.Reason != "" {
		_ = response.Body.Close()
		a.Body = nil
	}
	return a
}

// Prune drops what is known of targets that are not in the view any more.
func (g *Ingress) Prune(v *view.View) {
	known := func(id message.InstanceID) bool {
		_, ok := v.Instance(id)
		return ok
	}
	g.table.Retain(known)
	g.throttle.Retain(known)
}
