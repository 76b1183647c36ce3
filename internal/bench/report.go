package bench

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// highestLatency is the largest latency that a histogram records, in microseconds:
// 10 minutes.
const highestLatency = 600_000_000

// Report is the result of a run. Latencies are in milliseconds, start at the due
// time of the request, and include only complete and correct responses.
type Report struct {
	Requests int
	// RequestsPerSecond is the rate at which requests became due.
	RequestsPerSecond float64
	// GoodputPerSecond is the rate of complete and correct responses.
	GoodputPerSecond float64
	Latency          Quantiles
	// FirstByte is the time from the due time to the first byte of the body.
	FirstByte Quantiles
	// SendDelay is the time from the due time until the tool sent the request.
	// Large values mean that Workers is too small or that the host of the tool is
	// overloaded.
	SendDelay Quantiles
	Outcomes  map[wire.Outcome]int
	// Reasons counts the responses that the system itself generated, by reason.
	Reasons  map[string]int
	Sheds    int
	Retries  int
	Redials  int
	Replayed int
	// Foreign and Incomplete count responses that broke promise P3: they belonged
	// to another request, or were not complete.
	Foreign    int
	Incomplete int
	// RanTwice and RanAlthoughNotRun count requests that broke promises P5 and P4.
	RanTwice          int
	RanAlthoughNotRun int
	Unavailable       Unavailable
	Services          map[string]Imbalance
	// Churn maps keyed services to their churn. It is nil without a control group.
	Churn   map[string]Churn `json:",omitempty"`
	Routes  map[string]RouteReport
	Windows []Window
}

// Quantiles summarizes latencies in milliseconds.
type Quantiles struct {
	P50, P99, P999, Max float64
}

// RouteReport is the result of one route.
type RouteReport struct {
	Requests int
	Complete int
	Latency  Quantiles
}

// Window is the result of the requests that were due in one time window.
type Window struct {
	Start            clock.Millis
	GoodputPerSecond float64
	NotComplete      int
	Latency          Quantiles
	Imbalance        map[string]float64
}

// brokenPromises returns how often a promise was broken.
func (r Report) brokenPromises() int {
	return r.Foreign + r.Incomplete + r.RanTwice + r.RanAlthoughNotRun
}

// summarize sorts samples by due time and computes the report.
func summarize(o Options, samples []sample, names []string) Report {
	slices.SortFunc(samples, func(a, b sample) int { return int(a.due - b.due) })
	r := Report{
		Requests:          len(samples),
		RequestsPerSecond: o.Rate,
		Outcomes:          make(map[wire.Outcome]int),
		Reasons:           make(map[string]int),
		Routes:            make(map[string]RouteReport),
	}
	for _, s := range samples {
		r.count(s)
	}
	good := filter(samples, sample.good)
	r.GoodputPerSecond = float64(len(good)) * 1000 / float64(o.Duration)
	r.Latency = quantiles(good, latency)
	r.FirstByte = quantiles(good, func(s sample) micros { return s.firstByte - s.due })
	r.SendDelay = quantiles(samples, func(s sample) micros { return s.sent - s.due })
	for i, route := range o.Routes {
		r.Routes[route.Name] = summarizeRoute(filter(samples, func(s sample) bool { return s.route == i }))
	}
	r.Unavailable = unavailable(samples, fromMillis(o.ServeWithin))
	r.Services = serviceImbalance(o, samples, names)
	r.Windows = summarizeWindows(o, samples, names)
	return r
}

// count adds one sample to the counters.
func (r *Report) count(s sample) {
	r.Outcomes[s.outcome]++
	if s.reason != "" {
		r.Reasons[s.reason]++
	}
	if s.reason == header.RejectedOverload {
		r.Sheds++
	}
	if s.replayed {
		r.Replayed++
	}
	r.Retries += max(s.attempts-1, 0)
	r.Redials += s.redials
	switch s.problem {
	case problemForeign:
		r.Foreign++
	case problemIncomplete:
		r.Incomplete++
	}
}

func summarizeRoute(samples []sample) RouteReport {
	good := filter(samples, sample.good)
	return RouteReport{Requests: len(samples), Complete: len(good), Latency: quantiles(good, latency)}
}

func summarizeWindows(o Options, samples []sample, names []string) []Window {
	var all []Window
	for _, w := range splitWindows(samples, fromMillis(o.Window)) {
		good := filter(w, sample.good)
		v := Window{
			Start:            clock.Millis(len(all)) * o.Window,
			GoodputPerSecond: float64(len(good)) * 1000 / float64(o.Window),
			NotComplete:      len(w) - len(good),
			Latency:          quantiles(good, latency),
			Imbalance:        make(map[string]float64),
		}
		for _, s := range services(o) {
			if x, ok := imbalance(loads(o, w, names, s)); ok {
				v.Imbalance[s] = x
			}
		}
		all = append(all, v)
	}
	return all
}

// good reports whether the response is complete and correct.
func (s sample) good() bool { return s.outcome == wire.OutcomeComplete && s.problem == "" }

func latency(s sample) micros { return s.ended - s.due }

func quantiles(samples []sample, value func(sample) micros) Quantiles {
	h := hdrhistogram.New(1, highestLatency, 3)
	for _, s := range samples {
		_ = h.RecordValue(int64(min(max(value(s), 0), highestLatency)))
	}
	at := func(p float64) float64 { return micros(h.ValueAtQuantile(p)).millis() }
	return Quantiles{P50: at(50), P99: at(99), P999: at(99.9), Max: micros(h.Max()).millis()}
}

func filter(samples []sample, keep func(sample) bool) []sample {
	var kept []sample
	for _, s := range samples {
		if keep(s) {
			kept = append(kept, s)
		}
	}
	return kept
}

// splitWindows divides samples, which must be sorted by due time, into windows.
func splitWindows(samples []sample, length micros) [][]sample {
	var all [][]sample
	for _, s := range samples {
		for int(s.due/length) >= len(all) {
			all = append(all, nil)
		}
		last := len(all) - 1
		all[last] = append(all[last], s)
	}
	return all
}

func (r Report) json() string {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Sprintf("{%q: %q}\n", "Error", err)
	}
	return string(b) + "\n"
}

func (r Report) text() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	row := func(name string, format string, values ...any) {
		_, _ = fmt.Fprintf(w, "%s\t"+format+"\n", append([]any{name}, values...)...)
	}
	row("requests", "%d at %.6g/s", r.Requests, r.RequestsPerSecond)
	row("goodput", "%.1f/s", r.GoodputPerSecond)
	row("goodput by window", "%s", goodputs(r.Windows))
	row("latency ms", "%s", r.Latency)
	row("first byte ms", "%s", r.FirstByte)
	row("send delay ms", "%s", r.SendDelay)
	for _, o := range outcomes {
		row("outcome "+string(o), "%d", r.Outcomes[o])
	}
	for _, n := range slices.Sorted(maps.Keys(r.Reasons)) {
		row("reason "+n, "%d", r.Reasons[n])
	}
	row("sheds", "%d", r.Sheds)
	row("retries", "%d", r.Retries)
	row("redials", "%d", r.Redials)
	row("replayed", "%d", r.Replayed)
	row("unavailable ms", "sum %.1f  worst key %.1f (%s)  keys %d", r.Unavailable.Sum, r.Unavailable.Worst, r.Unavailable.WorstKey, r.Unavailable.Keys)
	for _, n := range slices.Sorted(maps.Keys(r.Services)) {
		s := r.Services[n]
		row("imbalance "+n, "run %.3f  window median %.3f  window worst %.3f  members %d", s.Run, s.WindowMedian, s.WindowWorst, s.Members)
	}
	for _, n := range slices.Sorted(maps.Keys(r.Churn)) {
		v := r.Churn[n]
		row("churn "+n, "keys moved %d (partitions %d)  required %.1f  ratio %s", v.Keys, v.Partitions, v.Required, v.ratio())
	}
	for _, n := range slices.Sorted(maps.Keys(r.Routes)) {
		v := r.Routes[n]
		row("route "+n, "%d of %d complete  %s", v.Complete, v.Requests, v.Latency)
	}
	row("broken promises", "foreign %d  incomplete %d  ran twice %d  ran although not run %d", r.Foreign, r.Incomplete, r.RanTwice, r.RanAlthoughNotRun)
	_ = w.Flush()
	return b.String()
}

// goodputs lists the goodput of each window in requests per second.
func goodputs(windows []Window) string {
	var b strings.Builder
	for _, w := range windows {
		_, _ = fmt.Fprintf(&b, "%.0f ", w.GoodputPerSecond)
	}
	return strings.TrimSpace(b.String())
}

// String formats the quantiles for the text report.
func (q Quantiles) String() string {
	return fmt.Sprintf("p50 %.2f  p99 %.2f  p99.9 %.2f  max %.2f", q.P50, q.P99, q.P999, q.Max)
}
