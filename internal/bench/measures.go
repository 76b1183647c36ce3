package bench

import (
	"math"
	"slices"
)

// requestsPerMember is the least mean number of requests of a member in a window
// whose imbalance is reported. Below it, chance decides: at 25 requests per
// member even an ideal random choice shows about 1.3.
const requestsPerMember = 25

// Unavailable is the time during which keys could not be served. A key is
// unavailable from when the first of its requests was due that did not end with
// a complete response, until the next one ended that did.
type Unavailable struct {
	// Sum is the total over all keys, and Worst that of the worst key, in
	// milliseconds.
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

// load is the number of requests of one member and its capacity.
type load struct {
	requests float64
	capacity float64
}

// unavailable expects samples sorted by when they were due. Requests overlap, so
// an interval starts no earlier than the key's previous one ended.
func unavailable(samples []sample) Unavailable {
	since := make(map[int]micros)
	spent := make(map[int]micros)
	last := make(map[int]micros)
	upTo := make(map[int]micros)
	for _, s := range samples {
		start, down := since[s.key]
		last[s.key] = max(last[s.key], s.ended)
		switch {
		case !s.good() && !down:
			since[s.key] = max(s.due, upTo[s.key])
		case s.good() && down:
			spent[s.key] += max(s.ended-start, 0)
			upTo[s.key] = max(s.ended, start)
			delete(since, s.key)
		}
	}
	for k, start := range since {
		spent[k] += max(last[k]-start, 0)
	}
	return sumUnavailable(spent)
}

func sumUnavailable(spent map[int]micros) Unavailable {
	u := Unavailable{Keys: len(spent)}
	for k, m := range spent {
		u.Sum += m.millis()
		worse := m.millis() > u.Worst || (m.millis() == u.Worst && keyName(k) < u.WorstKey)
		if worse || u.WorstKey == "" {
			u.Worst, u.WorstKey = m.millis(), keyName(k)
		}
	}
	return u
}

// loads counts the requests that each member of a service answered.
func loads(o Options, samples []sample, names []string, service string) []load {
	counts := make(map[int]float64)
	for _, s := range samples {
		if s.member >= 0 && o.Routes[s.route].Service == service {
			counts[s.member]++
		}
	}
	var all []load
	for m, n := range counts {
		all = append(all, load{requests: n, capacity: orDefault(o.Capacities[names[m]], 1)})
	}
	return all
}

// imbalance returns the highest load per capacity over the mean. It returns
// false when there are too few requests to tell.
func imbalance(loads []load) (float64, bool) {
	var requests, capacity, highest float64
	for _, l := range loads {
		requests += l.requests
		capacity += l.capacity
		highest = math.Max(highest, l.requests/l.capacity)
	}
	if requests == 0 || requests < requestsPerMember*float64(len(loads)) {
		return 0, false
	}
	return highest / (requests / capacity), true
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
