package policies

import (
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

const (
	// callerCount is the number of callers without the flooding caller.
	callerCount = 100
	// callerRate is the limit of each caller in requests per second, about seven
	// times what the other callers of the trace send.
	callerRate = 100.0
	// floodingCaller is the number of the caller that sends far more than the others.
	floodingCaller = -1
	// reportInterval is the interval between heartbeats, and regularInterval the
	// interval between regular reports. They, and the maximum numbers of callers in
	// a report, correspond to internal/node.
	reportInterval    millis = 200
	regularInterval   millis = 2000
	maxUrgentCallers         = 8
	maxRegularCallers        = 32
)

// callerPolicy decides per caller which requests one ingress node admits. Without
// allow all requests are admitted; budget is nil for policies without caller shares.
type callerPolicy struct {
	allow  func(caller string, c limit.Class) bool
	budget *limit.CallerBudget
}

func (p callerPolicy) admits(caller int, c limit.Class) bool {
	return p.allow == nil || p.allow("caller-"+strconv.Itoa(caller), c)
}

// sharedBucket admits requests of all callers up to the node's share of the total
// capacity.
func sharedBucket(c clock.Clock) func() bool {
	perNode := fullRate(mixed()) / ingressNodes
	l := rate.NewLimiter(rate.Limit(perNode), int(perNode/10))
	return func() bool { return l.AllowN(time.UnixMilli(int64(c.Now())), 1) }
}

func sharedBucketOnly(c clock.Clock) callerPolicy {
	shared := sharedBucket(c)
	return callerPolicy{allow: func(string, limit.Class) bool { return shared() }}
}

func bucketPerCaller(c clock.Clock) callerPolicy {
	b := limit.NewCallerBudget(limit.BudgetOptions{Clock: c, RequestsPerSecond: limit.PerClass{callerRate, callerRate, callerRate}})
	b.SetNodes(ingressNodes)
	return callerPolicy{allow: b.Allow, budget: b}
}

// twoLevel admits requests that both the caller's bucket and the shared bucket admit.
func twoLevel(c clock.Clock) callerPolicy {
	p := bucketPerCaller(c)
	shared := sharedBucket(c)
	p.allow = func(caller string, class limit.Class) bool { return p.budget.Allow(caller, class) && shared() }
	return p
}

// demandKey identifies the requests of one caller in one class.
type demandKey struct {
	caller string
	class  limit.Class
}

// exchangeDemand divides the rate of each caller among the nodes in proportion to
// their last reported demand, as the leader does with heartbeats. In the model no
// response is lost, and a share that is lowered at one node may be raised at another
// before the next heartbeat.
func (m *model) exchangeDemand() {
	regular := int(m.events.now)%int(regularInterval) == 0
	for i, g := range m.nodes {
		if g.callers.budget == nil {
			return
		}
		m.processReport(i, g.callers.budget, regular)
	}
	if m.events.now < m.trace.duration {
		m.events.scheduleAfter(reportInterval, m.exchangeDemand)
	}
}

// processReport records the demand that the node reports and sets the node's shares.
func (m *model) processReport(node int, b *limit.CallerBudget, regular bool) {
	maxCallers := maxUrgentCallers
	if regular {
		maxCallers = maxRegularCallers
	}
	r := b.NextReport(regular, maxCallers)
	for _, d := range r.Demands {
		k := demandKey{d.Caller, d.Class}
		if m.demand[k] == nil {
			m.demand[k] = make([]float64, len(m.nodes))
		}
		m.demand[k][node] = d.RequestsPerSecond
		if d.RequestsPerSecond > 0 {
			share := limit.SharesByDemand(m.demand[k])[node]
			b.SetShare(d.Caller, d.Class, share, r.Number, clock.Millis(m.events.now)+limit.ShareDuration)
		}
	}
}

func callerPolicies() []policy {
	return []policy{
		{name: "no caller limit", chooser: balancePicker, limiter: learnedLimit, retry: budgetRetry},
		{name: "shared bucket", chooser: balancePicker, limiter: learnedLimit, retry: budgetRetry, callers: sharedBucketOnly},
		{name: "**bucket for each caller**", chooser: balancePicker, limiter: learnedLimit, retry: budgetRetry, callers: bucketPerCaller},
		{name: "caller's bucket within shared", chooser: balancePicker, limiter: learnedLimit, retry: budgetRetry, callers: twoLevel},
	}
}

// floodFraction returns the fraction of requests that the flooding caller sends.
func floodFraction(now millis) float64 {
	if now < traceMillis/3 || now > 2*traceMillis/3 {
		return 0
	}
	return 2.0 / 3
}

// floodRate returns a rate at which the other callers send half of the capacity, in
// addition to the requests of the flooding caller.
func floodRate(h []host) func(millis) float64 {
	full := fullRate(h)
	return func(now millis) float64 { return full / 2 / (1 - floodFraction(now)) }
}
