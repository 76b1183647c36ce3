package bench

import (
	"slices"

	"github.com/gentiansail/gentiansail/internal/bench/measure"
)

// minRequestsPerMember is the minimum mean number of requests per member for
// which a window's imbalance is reported. With fewer, random variation dominates:
// at 25 requests per member an ideal random choice already shows about 1.3.
const minRequestsPerMember = 25

// Unavailable is the time during which keys could not be served, in milliseconds;
// see measure.Unavailable.
type Unavailable struct {
	// Sum is the total over all keys, and Worst the time of WorstKey, the key that
	// was unavailable longest.
	Sum, Worst float64
	WorstKey   string
	// Keys is the number of keys that were unavailable at some time.
	Keys int
}

// Imbalance is the highest load per capacity among a service's members, divided
// by the mean. A value of 1 is an even load.
type Imbalance struct {
	// Run is the imbalance over the whole run.
	Run float64
	// WindowMedian and WindowWorst are the median and maximum over the windows
	// with at least minRequestsPerMember requests per member.
	WindowMedian, WindowWorst float64
	Members                   int
}

// unavailable computes the unavailable time of samples, which must be sorted by
// due time. Complete responses slower than lateAfter count as late.
func unavailable(samples []sample, lateAfter micros) Unavailable {
	requests := make([]measure.Request, len(samples))
	for i, s := range samples {
		requests[i] = measure.Request{Key: s.key, Due: measure.Millis(s.due.millis()), Ended: measure.Millis(s.ended.millis()), Good: s.good(), Late: latency(s) > lateAfter}
	}
	u := measure.UnavailableTime(requests)
	if u.Keys == 0 {
		return Unavailable{}
	}
	return Unavailable{Sum: float64(u.Sum), Worst: float64(u.Worst), WorstKey: keyName(u.WorstKey), Keys: u.Keys}
}

// loads counts the requests of a service per member that responded.
func loads(o Options, samples []sample, names []string, service string) []measure.Load {
	counts := make(map[int]float64)
	for _, s := range samples {
		if s.member >= 0 && o.Routes[s.route].Service == service {
			counts[s.member]++
		}
	}
	var all []measure.Load
	for m, n := range counts {
		all = append(all, measure.Load{Requests: n, Capacity: orDefault(o.Capacities[names[m]], 1)})
	}
	return all
}

// imbalance returns the imbalance of loads, and false if they have fewer than
// minRequestsPerMember requests per member.
func imbalance(loads []measure.Load) (float64, bool) {
	var requests float64
	for _, l := range loads {
		requests += l.Requests
	}
	enough := requests >= minRequestsPerMember*float64(len(loads)) && requests > 0
	return measure.Imbalance(loads), enough
}

// services returns the names of the services in o.Routes without duplicates.
func services(o Options) []string {
	var all []string
	for _, r := range o.Routes {
		if !slices.Contains(all, r.Service) {
			all = append(all, r.Service)
		}
	}
	return all
}

// serviceImbalance returns the imbalance of each service that has responses.
func serviceImbalance(o Options, samples []sample, names []string) map[string]Imbalance {
	all := make(map[string]Imbalance)
	windows := splitWindows(samples, fromMillis(o.Window))
	for _, s := range services(o) {
		runLoads := loads(o, samples, names, s)
		if len(runLoads) == 0 {
			continue
		}
		i := Imbalance{Members: len(runLoads)}
		i.Run, _ = imbalance(runLoads)
		i.WindowMedian, i.WindowWorst = windowImbalance(o, windows, names, s)
		all[s] = i
	}
	return all
}

// windowImbalance returns the median and maximum imbalance over the windows with
// enough requests, or zeros if there are none.
func windowImbalance(o Options, windows [][]sample, names []string, service string) (median, worst float64) {
	var values []float64
	for _, w := range windows {
		if x, ok := imbalance(loads(o, w, names, service)); ok {
			values = append(values, x)
		}
	}
	if len(values) == 0 {
		return 0, 0
	}
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}
