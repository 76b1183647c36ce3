package bench

import (
	"slices"

	"github.com/gentiansail/gentiansail/internal/bench/measure"
)

// requestsPerMember is the least mean number of requests of a member in a window
// whose imbalance is reported. Below it, chance decides: at 25 requests per
// member even an ideal random choice shows about 1.3.
const requestsPerMember = 25

// Unavailable is the time during which keys could not be served, in milliseconds;
// see measure.Unavailable.
type Unavailable struct {
	// Sum is the total over all keys, and Worst that of the worst key.
	Sum, Worst float64
	WorstKey   string
	// Keys is the number of keys that were unavailable at some time.
	Keys int
}

// Imbalance is the highest load per capacity of a service's members over the
// mean. 1 is even.
type Imbalance struct {
	// Run is the imbalance over the whole run.
	Run float64
	// WindowMedian and WindowWorst are over the windows with enough requests.
	WindowMedian, WindowWorst float64
	Members                   int
}

// unavailable expects samples sorted by when they were due.
func unavailable(samples []sample, within micros) Unavailable {
	requests := make([]measure.Request, len(samples))
	for i, s := range samples {
		requests[i] = measure.Request{Key: s.key, Due: measure.Millis(s.due.millis()), Ended: measure.Millis(s.ended.millis()), Good: s.good(), Late: latency(s) > within}
	}
	u := measure.UnavailableTime(requests)
	if u.Keys == 0 {
		return Unavailable{}
	}
	return Unavailable{Sum: float64(u.Sum), Worst: float64(u.Worst), WorstKey: keyName(u.WorstKey), Keys: u.Keys}
}

// loads counts the requests that each member of a service answered.
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

// imbalance returns false when there are too few requests to tell.
func imbalance(loads []measure.Load) (float64, bool) {
	var requests float64
	for _, l := range loads {
		requests += l.Requests
	}
	enough := requests >= requestsPerMember*float64(len(loads)) && requests > 0
	return measure.Imbalance(loads), enough
}

func services(o Options) []string {
	var all []string
	for _, r := range o.Routes {
		if !slices.Contains(all, r.Service) {
			all = append(all, r.Service)
		}
	}
	return all
}

func serviceImbalance(o Options, samples []sample, names []string) map[string]Imbalance {
	all := make(map[string]Imbalance)
	windows := split(samples, fromMillis(o.Window))
	for _, s := range services(o) {
		run := loads(o, samples, names, s)
		if len(run) == 0 {
			continue
		}
		i := Imbalance{Members: len(run)}
		i.Run, _ = imbalance(run)
		i.WindowMedian, i.WindowWorst = windowImbalance(o, windows, names, s)
		all[s] = i
	}
	return all
}

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
