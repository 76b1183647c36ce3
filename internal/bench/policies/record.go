package policies

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"github.com/gentiansail/gentiansail/internal/bench/measure"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/limit"
)

func clockMillis(m millis) clock.Millis { return clock.Millis(m) }

// serveWithin is the maximum latency of a request. If a request takes longer, its key
// counts as unavailable while the caller waited. The load tool has the same default.
const serveWithin millis = 500

// recorder collects the measures of one run.
type recorder struct {
	duration   millis
	requests   []measure.Request
	latencies  []float64
	critical   [2]float64 // numbers of all and of good critical requests
	imbalances []float64
	sheds      int
	retries    int
	// flooded counts the requests of the flooding caller. They are not part of any
	// other measure.
	flooded int
}

// addRequest records a request that ended now with the given result.
func (r *recorder) addRequest(now millis, q *request, result requestResult) {
	if q.caller == floodingCaller {
		r.flooded++
		return
	}
	good := result == resultComplete && now <= q.deadline
	r.requests = append(r.requests, measure.Request{Key: q.key, Due: q.due, Ended: now, Good: good, Late: now-q.due > serveWithin})
	if q.class == limit.Critical {
		r.critical[0]++
	}
	if !good {
		return
	}
	r.latencies = append(r.latencies, float64(now-q.due))
	if q.class == limit.Critical {
		r.critical[1]++
	}
}

// addWindow records the imbalance since the last call and resets the served counts.
func (r *recorder) addWindow(targets []*target) {
	var loads []measure.Load
	for _, t := range targets {
		loads = append(loads, measure.Load{Requests: t.served, Capacity: t.capacity()})
		t.served = 0
	}
	if i := measure.Imbalance(loads); i > 0 {
		r.imbalances = append(r.imbalances, i)
	}
}

// result holds the measures of one run, or the means over several runs.
type result struct {
	imbalance, worstImbalance float64
	churn                     float64
	unavailable, worstKey     float64 // milliseconds, the sum over all keys and the worst key
	p50, p99                  float64 // milliseconds
	goodput                   float64 // per second
	good, criticalGood        float64 // fractions of all requests and of critical requests
	sheds, retries            float64
}

// result computes the measures of the run.
func (r *recorder) result(churn float64) result {
	slices.SortFunc(r.requests, func(a, b measure.Request) int {
		switch {
		case a.Due < b.Due:
			return -1
		case a.Due > b.Due:
			return 1
		}
		return 0
	})
	u := measure.UnavailableTime(r.requests)
	sort.Float64s(r.latencies)
	return result{
		imbalance: mean(r.imbalances), worstImbalance: slices.Max(append(r.imbalances, 0)), churn: churn,
		unavailable: float64(u.Sum), worstKey: float64(u.Worst),
		p50: quantile(r.latencies, 0.5), p99: quantile(r.latencies, 0.99),
		goodput: float64(len(r.latencies)) * 1000 / float64(r.duration),
		good:    float64(len(r.latencies)) / math.Max(float64(len(r.requests)), 1),

		criticalGood: r.critical[1] / math.Max(r.critical[0], 1),
		sheds:        float64(r.sheds), retries: float64(r.retries),
	}
}

func mean(values []float64) float64 {
	var sum float64
	for _, v := range values {
		sum += v
	}
	return sum / math.Max(float64(len(values)), 1)
}

// quantile returns the q-quantile of sorted values, or NaN if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// fields returns pointers to all measures, for element-wise arithmetic.
func (r *result) fields() []*float64 {
	return []*float64{
		&r.imbalance, &r.worstImbalance, &r.churn, &r.unavailable, &r.worstKey, &r.p50, &r.p99,
		&r.goodput, &r.good, &r.criticalGood, &r.sheds, &r.retries,
	}
}

func (r result) add(v result) result {
	for i, f := range r.fields() {
		*f += *v.fields()[i]
	}
	return r
}

func (r result) dividedBy(n float64) result {
	for _, f := range r.fields() {
		*f /= n
	}
	return r
}

const tableHead = `| policy | imbalance | worst window | churn | unavailable s | worst key s | p50 ms | p99 ms | goodput/s | good % | critical good % | sheds | retries |
|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// row formats r as a row of the Markdown table.
func row(name string, r result) string {
	churn := "–"
	if !math.IsNaN(r.churn) {
		churn = fmt.Sprintf("%.2f", r.churn)
	}
	return fmt.Sprintf("| %s | %.2f | %.2f | %s | %.1f | %.2f | %.1f | %.1f | %.0f | %.2f | %.2f | %.0f | %.0f |\n",
		name, r.imbalance, r.worstImbalance, churn, r.unavailable/1000, r.worstKey/1000, r.p50, r.p99,
		r.goodput, 100*r.good, 100*r.criticalGood, r.sheds, r.retries)
}
