package policies

import (
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

const (
	// callerCount is the number of callers besides a flooding one.
	callerCount = 100
	// callerRate is the limit of each caller in requests per second, about seven
	// times what the other callers of the trace send.
	callerRate = 100.0
	// flooder is the caller that sends far more than the others.
	flooder = -1
	// reportEvery is the interval of heartbeats and regularEvery that of regular
	// reports; the numbers of callers are those of internal/node.
	reportEvery    millis = 200
	regularEvery   millis = 2000
	urgentCallers         = 8
	regularCallers        = 32
)

// callerPolicy admits requests by caller at one ingress node. Functions may be
// nil.
type callerPolicy struct {
	allow  func(caller string, c limit.Class) bool
	budget *limit.CallerBudget
}

func (p callerPolicy) admits(caller int, c limit.Class) bool {
	return p.allow == nil || p.allow("caller-"+strconv.Itoa(caller), c)
}

// sharedBucket admits a node's part of the whole capacity, whoever sends.
func sharedBucket(c clock.Clock) func() bool {
	perNode := fullRate(mixed()) / ingressNodes
	l := rate.NewLimiter(rate.Limit(perNode), int(perNode/10))
	return func() bool { return l.AllowN(time.UnixMilli(int64(c.Now())), 1) }
}

func sharedOnly(c clock.Clock) callerPolicy {
	shared := sharedBucket(c)
	return callerPolicy{allow: func(string, limit.Class) bool { return shared() }}
}

func perCaller(c clock.Clock) callerPolicy {
	b := limit.NewCallerBudget(limit.BudgetOptions{Clock: c, RequestsPerSecond: limit.PerClass{callerRate, callerRate, callerRate}})
	b.SetNodes(ingressNodes)
	return callerPolicy{allow: b.Allow, budget: b}
}

// twoLevel admits what both the caller's bucket and the shared one admit.
func twoLevel(c clock.Clock) callerPolicy {
	p := perCaller(c)
	shared := sharedBucket(c)
	p.allow = func(caller string, class limit.Class) bool { return p.budget.Allow(caller, class) && shared() }
	return p
}

// demandKey names a caller's use of one class.
type demandKey struct {
	caller string
	class  limit.Class
}

// exchangeDemand divides the rate of each caller among the nodes by the demand
// that they reported last, as the leader does with heartbeats. The model has no
// lost responses, and a share that is lowered at one node may be raised at another
// before the next heartbeat.
func (m *model) exchangeDemand() {
	regular := int(m.events.now)%int(regularEvery) == 0
	for i, g := range m.nodes {
		if g.callers.budget == nil {
			return
		}
		m.answerReport(i, g.callers.budget, regular)
	}
	if m.events.now < m.trace.duration {
		m.events.after(reportEvery, m.exchangeDemand)
	}
}

func (m *model) answerReport(node int, b *limit.CallerBudget, regular bool) {
	most := urgentCallers
	if regular {
		most = regularCallers
	}
	r := b.NextReport(regular, most)
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

func callers() []policy {
	return []policy{
		{name: "no caller limit", chooser: picker, limiter: learnedLimit, retry: budgetRetry},
		{name: "shared bucket", chooser: picker, limiter: learnedLimit, retry: budgetRetry, callers: sharedOnly},
		{name: "**bucket for each caller**", chooser: picker, limiter: learnedLimit, retry: budgetRetry, callers: perCaller},
		{name: "caller's bucket within shared", chooser: picker, limiter: learnedLimit, retry: budgetRetry, callers: twoLevel},
	}
}

// flood is the part of requests that the flooding caller sends.
func flood(now millis) float64 {
	if now < traceMillis/3 || now > 2*traceMillis/3 {
		return 0
	}
	return 2.0 / 3
}

// floodRate is half of the capacity for the other callers, and the flooding
// caller's requests on top.
func floodRate(h []host) func(millis) float64 {
	full := fullRate(h)
	return func(now millis) float64 { return full / 2 / (1 - flood(now)) }
}
