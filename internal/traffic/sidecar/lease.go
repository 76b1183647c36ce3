package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/internal/ownership/delivery"
	"github.com/gentiansail/gentiansail/internal/process"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/link"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// leaseInterval is the pause between two requests for a lease. The lease outlasts three
	// of them that fail.
	leaseInterval clock.Millis = 400
	// leaseAttemptTimeout bounds one request for a lease, and one watch beyond its wait.
	leaseAttemptTimeout clock.Millis = 400
	// leaseWatchWait is how long the core may wait for a change of the target's keys.
	leaseWatchWait clock.Millis = 900
	// targetSilence is the time without a heartbeat after which a target gets no more grants.
	// Its address may then belong to a target of another service.
	targetSilence clock.Millis = 2000
	// deliveryInterval is the pause between two looks at the calls to be made, while some
	// are due, and settledInterval the pause otherwise.
	deliveryInterval clock.Millis = 20
	settledInterval  clock.Millis = 200
	// maxCallConnections bounds the connections to the target for calls, in addition to those
	// for requests. callIdleLimit is how long an unused one is kept; it lasts from one renewal
	// to the next.
	maxCallConnections              = 8
	callIdleLimit      clock.Millis = 1000
)

// TargetCalls translates calls to the protocol of the targets.
type TargetCalls struct {
	// Request returns the request of a call to a target.
	Request func(address string, c delivery.Call) (*http.Request, error)
	// Outcome returns what a response states about its call.
	Outcome func(*http.Response) delivery.Outcome
}

// leaser keeps the target's keys granted by calls: it gets leases from the core, makes the
// calls that a delivery.Ledger decides on, and tells the gate which keys are granted.
type leaser struct {
	sidecar *Sidecar
	calls   TargetCalls
	pool    *exchange.Pool
	metrics *leaseMetrics
	lines   *process.LineLimiter
	started clock.Millis
	// wake makes the deliver loop look for calls, renew the renewal loop ask for a lease.
	wake, renew chan struct{}

	mu          sync.Mutex
	incarnation message.Incarnation
	// ledger is nil before the first heartbeat.
	ledger *delivery.Ledger
	// heardAt is when the last heartbeat arrived. ended is true if the process of the target
	// has ended.
	heardAt clock.Millis
	ended   bool
	// digest is that of the ranges in the ledger.
	digest string
	served []delivery.ServedRange
	// reported is the number of releases and refusals that the core was told about.
	reported int
	// suspended is the time for which the host had been suspended when the lease was asked
	// for.
	suspended clock.Millis
}

func newLeaser(s *Sidecar) *leaser {
	l := &leaser{
		sidecar: s, calls: s.options.Calls, started: s.options.Clock.Now(), lines: process.NewLineLimiter(s.options.Clock, logLinesPerSecond),
		wake: make(chan struct{}, 1), renew: make(chan struct{}, 1),
	}
	l.pool = exchange.NewPool(exchange.Options{MaxPerAddress: maxCallConnections, IdleConnTimeout: callIdleLimit, Clock: s.options.Clock, Dial: dialResetting})
	l.metrics = newLeaseMetrics(s.options.Metrics, l)
	return l
}

// dialResetting connects to a target so that closing the connection resets it. Bytes of a
// call that have not been delivered by then are dropped.
func dialResetting(ctx context.Context, address string) (net.Conn, error) {
	c, err := link.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return c, nil
}

// applies reports whether the target takes its keys by calls.
func (l *leaser) applies() bool {
	v := l.sidecar.views.Current()
	if v == nil {
		return false
	}
	spec, _ := v.Service(message.ServiceName(l.sidecar.options.Settings.Target.Service))
	return spec.Keyed && spec.GrantsByCall
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// errMisdirected means that a new incarnation may have got grants of the one before it.
var errMisdirected = errors.New("grants of the previous incarnation may be in force at the new one")

// heard records a heartbeat. It returns an error if it is the first one of an incarnation
// that may have got grants that were meant for its predecessor at the same address. The
// core must not learn of the incarnation before they have ended, since it gives the keys of
// the predecessor to others.
func (l *leaser) heard(i message.Incarnation, at clock.Millis) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation != i {
		if from := delivery.AnnounceFrom(l.ledger, l.heardAt, l.started, l.otherListed(i)); from > at {
			l.ended = true // the previous incarnation must get no more calls
			l.sidecar.log.Info().Str("Event", "incarnation-waits").Str("Target", string(i.ID)).Str("Before", string(l.incarnation.ID)).Int64("WaitMillis", int64(from-at)).Msg("grants of the previous incarnation may be in force at the new one")
			return errMisdirected
		}
	}
	if l.ledger == nil {
		// An earlier process of this sidecar may have granted keys until just now.
		l.ledger = delivery.NewLedger(l.started + delivery.LeaseDuration)
	}
	if l.incarnation != i {
		if l.incarnation.ID != "" {
			l.ledger = delivery.NewLedger(0) // an incarnation that has just started owns nothing
		}
		l.incarnation, l.ended, l.digest, l.served, l.reported = i, false, "", nil, 0
	}
	l.heardAt, l.ended = at, false
	signal(l.renew)
	return nil
}

// otherListed reports whether the core lists another incarnation of the target on this host.
func (l *leaser) otherListed(i message.Incarnation) bool {
	return slices.ContainsFunc(l.sidecar.views.Current().Instances(message.ServiceName(l.sidecar.options.Settings.Target.Service)), func(x message.Instance) bool {
		return x.Peer == l.sidecar.peerAddress() && x.Incarnation != i
	})
}

// markEnded records that the process of the target has ended.
func (l *leaser) markEnded(i message.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation == i {
		l.ended = true
	}
}

// alive returns the current incarnation if grants may be sent to it.
func (l *leaser) alive(now clock.Millis) (message.Incarnation, bool) {
	return l.incarnation, l.ledger != nil && !l.ended && now-l.heardAt < targetSilence
}

// keyRejected records that the target stated that it does not own a key.
func (l *leaser) keyRejected(i message.Incarnation, key message.Key) {
	if !l.applies() {
		return
	}
	l.mu.Lock()
	if l.ledger != nil && l.incarnation == i {
		l.ledger.Doubt(key)
	}
	l.mu.Unlock()
	l.metrics.doubts.Inc()
	signal(l.wake)
}

// runRenewals asks the core for leases until ctx ends.
func (l *leaser) runRenewals(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := leaseInterval
		if l.applies() && !l.renewOnce(ctx) {
			pause = retryPause
		}
		l.wait(ctx, l.renew, pause)
	}
	return nil
}

// wait waits for a signal or a time.
func (l *leaser) wait(ctx context.Context, c chan struct{}, t clock.Millis) {
	timer := time.NewTimer(t.Duration())
	defer timer.Stop()
	select {
	case <-c:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// renewOnce asks for a lease. It returns false if the core should be asked again soon.
func (l *leaser) renewOnce(ctx context.Context) bool {
	clk := l.sidecar.options.Clock
	l.mu.Lock()
	sent, suspended := clk.Now(), clock.Suspended()
	incarnation, ok := l.alive(sent)
	if !ok {
		l.mu.Unlock()
		return true
	}
	request := message.LeaseRequest{
		Service: message.ServiceName(l.sidecar.options.Settings.Target.Service), Incarnation: incarnation,
		Released: append([]message.LeasedRange{}, l.ledger.Released()...), Refused: append([]message.LeasedRange{}, l.ledger.Refused()...),
	}
	l.mu.Unlock()
	// The lease counts from when the request was sent, so a request that fails is made anew.
	callCtx, cancel := context.WithTimeout(ctx, leaseAttemptTimeout.Duration())
	defer cancel()
	reply, err := call[message.LeaseReply](callCtx, l.sidecar.core, message.MethodLease, request, leaseAttemptTimeout)
	if err != nil {
		l.metrics.leases.WithLabelValues("error").Inc()
		return false
	}
	if !reply.Renewed {
		// The heartbeat that registers the target is on its way.
		l.metrics.leases.WithLabelValues("unknown-target").Inc()
		return false
	}
	l.metrics.leases.WithLabelValues("renewed").Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation != incarnation || clock.Suspended() != suspended {
		return false
	}
	l.ledger.SetLease(reply.Ranges, sent+clock.Millis(reply.DurationMillis))
	l.digest, l.suspended = reply.Digest, suspended
	released := l.ledger.Released()
	l.reported = len(released) + len(l.ledger.Refused())
	if slices.ContainsFunc(released, func(r message.LeasedRange) bool { return !slices.Contains(request.Released, r) }) {
		signal(l.renew) // released while the request was on its way
	}
	signal(l.wake)
	return true
}

// runWatch asks for a new lease as soon as the core changes the keys of the target.
func (l *leaser) runWatch(ctx context.Context) error {
	for ctx.Err() == nil {
		l.mu.Lock()
		incarnation, ok := l.alive(l.sidecar.options.Clock.Now())
		digest := l.digest
		l.mu.Unlock()
		if !ok || digest == "" || !l.applies() {
			_ = l.sidecar.options.Clock.Sleep(ctx, settledInterval)
			continue
		}
		request := message.LeaseWatch{Service: message.ServiceName(l.sidecar.options.Settings.Target.Service), Incarnation: incarnation, Digest: digest, WaitMillis: message.Millis(leaseWatchWait)}
		watchCtx, cancel := context.WithTimeout(ctx, (leaseWatchWait + leaseAttemptTimeout).Duration())
		reply, err := call[message.LeaseReply](watchCtx, l.sidecar.core, message.MethodLeaseWatch, request, leaseWatchWait+leaseAttemptTimeout)
		cancel()
		if err == nil && reply.Digest != digest {
			signal(l.renew)
			// The reply to that request brings the digest for the next watch.
			_ = l.sidecar.options.Clock.Sleep(ctx, deliveryInterval)
		}
	}
	return nil
}

// runDelivery makes the calls to the target until ctx ends, and waits for those in flight.
func (l *leaser) runDelivery(ctx context.Context) error {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for ctx.Err() == nil {
		pause := settledInterval
		if l.applies() {
			var calls []delivery.Call
			var incarnation message.Incarnation
			incarnation, calls, pause = l.step()
			for _, c := range calls {
				inFlight.Go(func() { l.carryOut(ctx, incarnation, c) })
			}
		}
		l.wait(ctx, l.wake, pause)
	}
	return nil
}

// step returns the calls to be made now and when to look again. It tells the gate first
// which keys are granted, so that no request for keys to be released is begun.
func (l *leaser) step() (message.Incarnation, []delivery.Call, clock.Millis) {
	now := l.sidecar.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	incarnation, ok := l.alive(now)
	if !ok {
		return incarnation, nil, settledInterval
	}
	if clock.Suspended() != l.suspended {
		// The lease went on while the clock stood still.
		return incarnation, nil, settledInterval
	}
	calls := l.ledger.Next(now, l.sidecar.gate.WorksOn)
	l.serve(now)
	if n := len(l.ledger.Released()) + len(l.ledger.Refused()); n > l.reported {
		l.reported = n
		signal(l.renew)
	}
	if l.ledger.Settled(now) {
		return incarnation, calls, settledInterval
	}
	return incarnation, calls, deliveryInterval
}

// serve tells the gate which keys are granted, if that has changed. The caller must hold
// l.mu.
func (l *leaser) serve(now clock.Millis) {
	served := l.ledger.Served(now)
	if slices.Equal(served, l.served) {
		return
	}
	l.served = served
	grants := make([]gate.KeyGrant, 0, len(served))
	for _, r := range served {
		grants = append(grants, gate.KeyGrant{From: r.From, To: r.To, Expiry: r.Until})
	}
	l.sidecar.gate.SetGrants(l.incarnation, grants)
}

var errTooLate = errors.New("the call is too old to be sent")

// carryOut makes a call and records its outcome.
func (l *leaser) carryOut(ctx context.Context, incarnation message.Incarnation, c delivery.Call) {
	clk := l.sidecar.options.Clock
	started := clk.Now()
	outcome, err := l.send(ctx, incarnation, c)
	now := clk.Now()
	l.mu.Lock()
	if l.incarnation == incarnation {
		l.ledger.Done(c.ID, outcome, now)
		l.serve(now)
	}
	l.mu.Unlock()
	signal(l.wake)
	l.record(incarnation, c, outcome, now-started, err)
	if errors.Is(err, exchange.ErrConnectionRefused) {
		l.sidecar.checkForCrash(incarnation, nil)
	}
}

// send makes a call over a connection that carries no requests. A release gets a connection
// of its own: its response must not be taken from a late copy of an earlier one.
func (l *leaser) send(ctx context.Context, incarnation message.Incarnation, c delivery.Call) (delivery.Outcome, error) {
	clk := l.sidecar.options.Clock
	address := l.sidecar.options.Settings.Target.Address
	r, err := l.calls.Request(address, c)
	if err != nil {
		return delivery.Outcome{Kind: delivery.NotApplied}, err
	}
	id := uuid.NewString()
	r.Header.Set(l.sidecar.options.Names.RequestID, id)
	r.Header.Set(l.sidecar.options.Names.Instance, string(incarnation.ID))
	ctx, cancel := context.WithTimeout(ctx, (c.EndBy - clk.Now()).Duration())
	defer cancel()
	suspended := l.suspendedNow()
	var writtenAt clock.Millis
	response, err := l.pool.Do(ctx, exchange.Request{
		Address: address, HTTP: r, RequestID: id, RequestIDHeader: l.sidecar.options.Names.RequestID, SkipMismatched: true, NewConnection: c.Kind == delivery.Release,
		BeforeWrite: func() error {
			writtenAt = clk.Now()
			if writtenAt > c.SendBy || clock.Suspended() != suspended || !l.isCurrent(incarnation, writtenAt) {
				return errTooLate
			}
			return nil
		},
	})
	if err != nil {
		if exchange.ProgressOf(err) == exchange.NotSent {
			return delivery.Outcome{Kind: delivery.NotApplied}, err
		}
		return delivery.Outcome{Kind: delivery.Unanswered}, err
	}
	defer response.Body.Close()
	outcome := l.calls.Outcome(response)
	outcome.WrittenAt = writtenAt
	if outcome.Kind != delivery.Applied {
		// The body is not read, which closes the connection. A faulty target may write the
		// refusal once more, and on this connection that would pass for its response to a
		// later grant, which it has applied.
		return outcome, errors.New("status " + strconv.Itoa(response.StatusCode))
	}
	if err := exchange.DiscardBody(response); err != nil {
		return delivery.Outcome{Kind: delivery.Unanswered}, err
	}
	return outcome, nil
}

func (l *leaser) suspendedNow() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspended
}

// isCurrent reports whether calls may be sent to an incarnation.
func (l *leaser) isCurrent(i message.Incarnation, now clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, ok := l.alive(now)
	return ok && current == i
}

// outcomeNames are the outcomes of calls in metrics and log lines.
var outcomeNames = map[delivery.OutcomeKind]string{
	delivery.Applied: "applied", delivery.NotApplied: "not-applied", delivery.Refused: "refused", delivery.Unanswered: "unanswered",
}

// record counts a call, and logs it unless it is a renewal that succeeded.
func (l *leaser) record(incarnation message.Incarnation, c delivery.Call, o delivery.Outcome, took clock.Millis, err error) {
	kind := "grant"
	switch {
	case c.Kind == delivery.Release:
		kind = "release"
		l.metrics.waitedOut.Observe(float64(c.WaitedOut) / 1000)
	case c.Renewal:
		kind = "renewal"
	}
	l.metrics.calls.WithLabelValues(kind, outcomeNames[o.Kind]).Inc()
	if kind == "renewal" && o.Kind == delivery.Applied {
		return
	}
	skipped, ok := l.lines.Allow(kind + outcomeNames[o.Kind])
	if !ok {
		return
	}
	l.sidecar.log.Info().Err(err).Str("Event", "target-call").Str("Kind", kind).Str("Outcome", outcomeNames[o.Kind]).Str("Target", string(incarnation.ID)).
		Int("From", int(c.From)).Int("To", int(c.To)).Int("Token", int(c.FencingToken)).Int64("LeaseMillis", int64(c.HoldMillis)).Bool("Handover", c.HandoverToken != "" || o.HandoverToken != "").
		Int64("TookMillis", int64(took)).Int64("WaitedOutMillis", int64(c.WaitedOut)).Int("Skipped", skipped).Msg("call to the target for its keys")
}
