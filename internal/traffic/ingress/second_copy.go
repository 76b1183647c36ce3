package ingress

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/traffic/gate"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/copies"
)

// SecondCopies configures the second copies of slow requests.
type SecondCopies struct {
	// Ratio is the number of second copies as a fraction of a service's requests; 0 turns
	// second copies off. Burst is the number in addition, over all hosts.
	Ratio, Burst float64
	// CallsPerRun holds, by name of route, how many requests to other services a run makes.
	CallsPerRun map[string]int
	// RecordOutcome, if set, is called for each request that was slow enough for a second
	// copy.
	RecordOutcome func(service, outcome string)
}

// Outcomes of requests that were slow enough for a second copy. The first three mean that
// it was sent, the others why it was not.
const (
	copyFirstWon  = "first-won"
	copySecondWon = "second-won"
	copyNoneWon   = "none-won"
	// copyLimit and copyRetryBudget mean that the operator's limit or the retry budget is
	// used up.
	copyLimit       = "limit"
	copyRetryBudget = "retry-budget"
	// copyBusy means that the targets of the service have too few free slots.
	copyBusy = "busy"
	// copyNoTarget means that no other target is known to have room.
	copyNoTarget = "no-target"
	// copyLate means that the remaining time is shorter than most requests take.
	copyLate = "late"
)

var sentOutcomes = map[copies.Outcome]string{copies.FirstWon: copyFirstWon, copies.SecondWon: copySecondWon, copies.NoneWon: copyNoneWon}

// maxCopyCandidates bounds the targets that are considered for a second copy.
const maxCopyCandidates = 4

// secondCopies holds the state that decides on second copies.
type secondCopies struct {
	options SecondCopies
	// delays measures the time from sending first copies to the headers of their responses.
	delays *copies.Delays
	// cancelled are the copies that have lost and whose end is awaited.
	cancelled sync.WaitGroup

	mu     sync.Mutex
	limits map[message.ServiceName]*copies.Limit
}

// newSecondCopies returns nil if second copies are off.
func newSecondCopies(options Options) *secondCopies {
	if options.SecondCopies.Ratio <= 0 {
		return nil
	}
	return &secondCopies{options: options.SecondCopies, delays: copies.NewDelays(options.Clock), limits: map[message.ServiceName]*copies.Limit{}}
}

// limit returns the limit for a service.
func (s *secondCopies) limit(service message.ServiceName, hosts int) *copies.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limits[service]
	if l == nil {
		maxCost := 1
		for _, calls := range s.options.CallsPerRun {
			maxCost = max(maxCost, 1+calls)
		}
		l = copies.NewLimit(copies.LimitOptions{Ratio: s.options.Ratio, Burst: s.options.Burst, Senders: hosts, MaxCost: maxCost})
		s.limits[service] = l
	}
	return l
}

// AwaitCopies waits until the copies that were cancelled have ended. No request may be
// served meanwhile.
func (in *Ingress) AwaitCopies() {
	if in.copies != nil {
		in.copies.cancelled.Wait()
	}
}

// attemptWithCopy sends a request to a target, and a second copy to another one if the
// response takes longer than those of most requests of this route. It returns the result and
// the target that it comes from. Only the first attempt of a request gets a second copy.
func (in *Ingress) attemptWithCopy(ctx context.Context, r *http.Request, req *request, target message.Instance) (*gate.Result, message.Instance) {
	if in.copies == nil || !req.route.Repeatable || req.hasOwner() || req.stream != nil || len(req.attempts) > 0 {
		return in.attempt(ctx, r, req, target), target
	}
	limit := in.copies.limit(req.service, in.options.Views.Current().TargetCount())
	limit.Deposit()
	kind := req.route.Name + " " + string(req.service)
	// The slowest requests, a share of Ratio, are those for which the limit has copies.
	delay, known := in.copies.delays.Quantile(kind, 1-in.copies.options.Ratio)
	if !known || req.reachedTargets+2 > req.route.MaxAttempts {
		start := in.options.Clock.Now()
		result := in.attempt(ctx, r, req, target)
		in.copies.observe(kind, in.options.Clock.Now()-start, result)
		return result, target
	}
	// A first copy that waits in a queue is served in its turn. It is slow if it takes long
	// after that.
	delay += in.balancer.ExpectedWait(target)
	race := &copyRace{ingress: in, request: req, httpRequest: r, limit: limit, kind: kind, delay: delay, targets: [2]message.Instance{target}, start: in.options.Clock.Now()}
	return race.run(ctx)
}

// observe records the latency of a first copy that was not cancelled.
func (s *secondCopies) observe(kind string, latency clock.Millis, result *gate.Result) {
	if result.Reason == "" || result.Reason == hop.Expired {
		s.delays.Observe(kind, latency)
	}
}

// copyRace is one request that may get a second copy.
type copyRace struct {
	ingress     *Ingress
	request     *request
	httpRequest *http.Request
	limit       *copies.Limit
	kind        string
	delay       clock.Millis
	start       clock.Millis
	// caller is the context of the request, without those of its copies.
	caller context.Context
	// targets are those of the first and the second copy.
	targets [2]message.Instance
	// started counts the copies. unreached counts those that ended without reaching a target.
	started   int
	unreached atomic.Int32
	// refusal is why there was no second copy; "" if one was sent or none was due.
	refusal string
}

// copyResult is the result of one copy.
type copyResult struct {
	*gate.Result
	target message.Instance
}

func (c *copyRace) run(ctx context.Context) (*gate.Result, message.Instance) {
	in := c.ingress
	c.caller = ctx
	winner, outcome := copies.Race[copyResult]{
		Delay:        c.delay,
		Decide:       func() (bool, clock.Millis) { return c.decide(ctx), 0 },
		Start:        c.startCopy,
		Wins:         func(r copyResult) bool { return r.Reason == "" && r.Status < http.StatusInternalServerError },
		PrefersLater: prefersLater,
		Discard:      func(r copyResult) { r.Close() },
		Background:   in.copies.cancelled.Go,
	}.Run(ctx)
	// A copy that has lost counts as one that reached its target until the opposite is known.
	c.request.reachedTargets += c.started - int(c.unreached.Load())
	if outcome == copies.OnlyFirst {
		if c.refusal != "" {
			in.copies.record(c.request.service, c.refusal)
		}
		return winner.Result, winner.target
	}
	if outcome == copies.SecondWon {
		// The time until the first copy was cancelled is a lower bound of its latency.
		in.copies.delays.Observe(c.kind, in.options.Clock.Now()-c.start)
	}
	in.copies.record(c.request.service, sentOutcomes[outcome])
	c.log(sentOutcomes[outcome], winner)
	other := c.targets[0]
	if winner.target.Incarnation == other.Incarnation {
		other = c.targets[1]
	}
	c.request.attempts = append(c.request.attempts, string(other.Incarnation.ID)+":copy")
	return winner.Result, winner.target
}

// startCopy prepares the first or the second copy. Each has its own copy of the request's
// state, since the one that loses may end after the request.
func (c *copyRace) startCopy(ctx context.Context, second bool) func() copyResult {
	c.started++
	req, target := *c.request, c.targets[0]
	if second {
		req.secondCopy, target = true, c.targets[1]
	}
	return func() copyResult {
		start := c.ingress.options.Clock.Now()
		result := c.ingress.attempt(ctx, c.httpRequest, &req, target)
		if !result.MayHaveReachedTarget {
			c.unreached.Add(1)
		}
		if !second && ctx.Err() != nil && c.caller.Err() == nil {
			c.ingress.balancer.RecordSlow(target.Incarnation.ID)
		} else if !second {
			c.ingress.copies.observe(c.kind, c.ingress.options.Clock.Now()-start, result)
		}
		return copyResult{Result: result, target: target}
	}
}

// decide reports whether the second copy is sent now, and chooses its target.
func (c *copyRace) decide(ctx context.Context) bool {
	in, req := c.ingress, c.request
	if ctx.Err() != nil {
		return false
	}
	c.refusal = c.refuse()
	if c.refusal != "" {
		return false
	}
	cost := 1 + in.copies.options.CallsPerRun[req.route.Name]
	if !c.limit.Withdraw(cost) {
		c.refusal = copyLimit
		return false
	}
	// Further arrivals count as retries at the service.
	if !in.retryBudget(req.service).WithdrawN(cost) {
		c.limit.Return(cost)
		c.refusal = copyRetryBudget
		return false
	}
	return true
}

// refuse chooses the target of the second copy, or returns why there is none.
func (c *copyRace) refuse() string {
	in, req, v := c.ingress, c.request, c.ingress.options.Views.Current()
	median, known := in.copies.delays.Quantile(c.kind, 0.5)
	if !known || in.options.Clock.Now()+median > req.deadline {
		return copyLate
	}
	instances := v.Available(req.service)
	if utilization, known := in.balancer.Utilization(instances); !known || utilization >= copies.MaxUtilization {
		return copyBusy
	}
	tried := map[message.InstanceID]bool{c.targets[0].Incarnation.ID: true}
	for range maxCopyCandidates {
		candidate, reason := in.chooseTarget(v, req, tried)
		if reason != "" {
			return copyNoTarget
		}
		if candidate.Peer != c.targets[0].Peer && in.balancer.HasRoom(candidate, instances) {
			c.targets[1] = candidate
			return ""
		}
		tried[candidate.Incarnation.ID] = true
	}
	return copyNoTarget
}

// prefersLater chooses between two copies without a success. A complete response goes before
// a failure, and a copy that may have run before one that has not run.
func prefersLater(earlier, later copyResult) bool {
	if earlier.Reason == "" || later.Reason == "" {
		return earlier.Reason != ""
	}
	return earlier.Reason.NotRun()
}

func (s *secondCopies) record(service message.ServiceName, outcome string) {
	if s.options.RecordOutcome != nil {
		s.options.RecordOutcome(string(service), outcome)
	}
}

// log writes a line about a second copy that was sent.
func (c *copyRace) log(outcome string, winner copyResult) {
	in, req := c.ingress, c.request
	skipped, ok := in.options.LogBudget.Allow("second-copy")
	if !ok {
		return
	}
	in.options.Log.Info().Str("Event", "second-copy").Str("Request", req.id).Str("Route", req.route.Name).Str("Service", string(req.service)).
		Str("First", string(c.targets[0].Incarnation.ID)).Str("Second", string(c.targets[1].Incarnation.ID)).Str("Outcome", outcome).Str("Reason", string(winner.Reason)).
		Int64("DelayMillis", int64(c.delay)).Int64("TookMillis", int64(in.options.Clock.Now()-c.start)).Int("Skipped", skipped).Msg("slow request was sent a second time")
}
