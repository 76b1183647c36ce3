// Package bench is the load tool: it sends requests to nodes at a fixed rate,
// checks each response, and reports latency, imbalance, unavailable time and churn.
//
// The load is open-loop. Request number i is due at i/Rate after the start,
// whether or not earlier ones have ended, and its latency counts from its due
// time. The latency therefore includes the whole of a stall, also for requests
// that could not be sent during the stall.
//
// Each response must echo the id of its request and its key, and must be
// complete. Targets are expected to respond as internal/standin does: a first
// line of JSON with RequestID, Key and Body, and the requested number of chunk
// lines that repeat the request id.
//
// # Usage
//
//	o := bench.Options{
//		Addresses: []string{"127.0.0.1:7001", "127.0.0.1:7002"},
//		Routes:    []bench.Route{{Name: "browse", Service: "catalogue", Method: "GET", Path: "/catalogue/{key}", Weight: 1, Repeatable: true}},
//		Rate:      500, Duration: 10_000, Keys: 1000, Skew: 1.1,
//	}
//	err := bench.Run(ctx, o, os.Stdout)
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Errors of this package.
var (
	// ErrOptions means that the options are invalid.
	ErrOptions = merry.Sentinel("invalid load options")
	// ErrPromise means that the run ended and its report shows a broken promise:
	// a response belonged to another request or was incomplete although it ended
	// without an error, or a request ran twice or despite outcome not run.
	ErrPromise = merry.Sentinel("a response broke a promise")
	// ErrOutput means that the report could not be written.
	ErrOutput = merry.Sentinel("cannot write report")
	// ErrTarget means that the record of a stand-in target could not be read.
	ErrTarget = merry.Sentinel("cannot read target record")
	// ErrControl means that the configuration or audit trail could not be read.
	ErrControl = merry.Sentinel("cannot read control group")
)

// Defaults of Options.
const (
	defaultRate                     = 100
	defaultKeys                     = 1000
	defaultCallers                  = 100
	defaultWorkers                  = 512
	defaultDuration    clock.Millis = 10_000
	defaultWindow      clock.Millis = 1000
	defaultDeadline    clock.Millis = 10_000
	defaultServeWithin clock.Millis = 500
)

// keyPlaceholder stands for the key in a route's path.
const keyPlaceholder = "{key}"

// Format is the format of the report.
type Format string

// Formats.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Options describes one load run.
type Options struct {
	// Addresses are the caller listeners of the nodes. Requests use them in turn;
	// if a connection cannot be established, the next address is tried.
	Addresses []string
	// Routes are the mix of requests.
	Routes []Route
	// Rate is the number of requests per second. Zero means 100.
	Rate float64
	// Duration is the period in which requests become due. Zero means 10 s.
	Duration clock.Millis
	// Keys is the number of different keys. Zero means 1,000.
	Keys int
	// Skew is the exponent of the Zipf distribution of keys: the frequency of the
	// k-th key is proportional to 1/k^Skew. Zero means that all are equally frequent.
	Skew float64
	// Callers is the number of different callers. Zero means 100.
	Callers int
	// Workers is the maximum number of requests in flight. Zero means 512. A
	// request that is due while all workers are busy is sent later, and its
	// latency includes that wait.
	Workers int
	// Seed makes the choice of routes, keys and callers repeatable.
	Seed uint64
	// Window is the length of the time windows of the report. Zero means 1 s.
	Window clock.Millis
	// ServeWithin is the maximum latency of a complete response. If a response
	// takes longer, its key counts as unavailable while the caller waited. Zero
	// means 500 ms.
	ServeWithin clock.Millis
	// Capacities maps the name in the response field Gentiansail-Member to the
	// capacity of that member. Responses without the field, such as those of a
	// target that is measured directly, count for the instance that a stand-in
	// target states. Missing members have capacity 1, so leave it empty if all
	// members have the same capacity.
	Capacities map[string]float64
	// Targets are addresses of stand-in targets. Their records are read after the
	// run to find requests that ran twice, or ran although reported as not run.
	Targets []string
	// Group and Control name the control group and addresses of its replicas.
	// If Control is set, the audit trail is read before and after the run to
	// report how many keys moved.
	Group   wire.GroupID
	Control []wire.Address
	// Format is Text or JSON. Empty means Text.
	Format Format
	// PlotFile, if set, is the SVG file to write.
	PlotFile string

	time timing
}

// Route is one kind of request.
type Route struct {
	Name    string
	Service string
	Method  string
	// Path is the path and query. "{key}" stands for the key.
	Path string
	// Weight is the route's share of the requests, relative to the other routes.
	Weight float64
	// Repeatable means that requests are sent without an idempotency key.
	Repeatable bool
	// Body is the request body.
	Body string
	// Chunks is the number of chunk lines to ask for and to expect.
	Chunks int
	// Deadline is the time limit that is sent with each request. The tool cancels
	// the request 500 ms after it. Zero means 10 s.
	Deadline clock.Millis
}

// ParseRoute reads a route from "name:service:method:path:weight", followed by
// ":once" if the request must not be repeated.
func ParseRoute(text string) (Route, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 5 && (len(parts) != 6 || parts[5] != "once") {
		return Route{}, merry.Wrap(ErrOptions, merry.AppendMessagef("route %q is not name:service:method:path:weight[:once]", text))
	}
	weight, err := strconv.ParseFloat(parts[4], 64)
	if err != nil {
		return Route{}, merry.Wrap(ErrOptions, merry.WithCause(err), merry.AppendMessagef("invalid weight in route %q", text))
	}
	return Route{
		Name: parts[0], Service: parts[1], Method: parts[2], Path: parts[3],
		Weight: weight, Repeatable: len(parts) == 5,
	}, nil
}

// Run sends the load, then writes the report to w. It returns ErrPromise, after
// the report, if a promise was broken. When ctx ends, Run stops sending and
// reports the requests sent so far.
func Run(ctx context.Context, o Options, w io.Writer) error {
	o, err := o.withDefaults()
	if err != nil {
		return err
	}
	indexBefore, err := lastIndex(ctx, o)
	if err != nil {
		return err
	}
	samples, names := generate(ctx, o)
	report := summarize(o, samples, names)
	if err := audit(context.WithoutCancel(ctx), o, samples, &report); err != nil {
		return err
	}
	churnByService, churnErr := churn(context.WithoutCancel(ctx), o, indexBefore)
	report.Churn = churnByService
	if err := writeReport(o, report, w); err != nil {
		return err
	}
	if n := report.brokenPromises(); n > 0 {
		return merry.Wrap(ErrPromise, merry.AppendMessagef("%d times", n))
	}
	return churnErr
}

// withDefaults returns o with defaults for zero fields, or an error if o is invalid.
func (o Options) withDefaults() (Options, error) {
	o.Rate = orDefault(o.Rate, defaultRate)
	o.Duration = orDefault(o.Duration, defaultDuration)
	o.Keys = orDefault(o.Keys, defaultKeys)
	o.Callers = orDefault(o.Callers, defaultCallers)
	o.Workers = orDefault(o.Workers, defaultWorkers)
	o.Window = orDefault(o.Window, defaultWindow)
	o.ServeWithin = orDefault(o.ServeWithin, defaultServeWithin)
	o.Format = orDefault(o.Format, Text)
	if o.time.now == nil {
		o.time = systemTiming()
	}
	switch {
	case len(o.Addresses) == 0:
		return o, merry.Wrap(ErrOptions, merry.AppendMessage("no address"))
	case len(o.Routes) == 0:
		return o, merry.Wrap(ErrOptions, merry.AppendMessage("no route"))
	case o.Format != Text && o.Format != JSON:
		return o, merry.Wrap(ErrOptions, merry.AppendMessagef("unknown format %q", o.Format))
	case o.Rate < 0 || o.Duration < 0 || o.Keys < 0 || o.Callers < 0 || o.Workers < 0 || o.Window < 0 || o.Skew < 0:
		return o, merry.Wrap(ErrOptions, merry.AppendMessage("numbers must not be negative"))
	}
	return o, o.checkRoutes()
}

func (o Options) checkRoutes() error {
	var sum float64
	for i, r := range o.Routes {
		if !(r.Weight >= 0) || r.Method == "" || !strings.HasPrefix(r.Path, "/") {
			return merry.Wrap(ErrOptions, merry.AppendMessagef("route %d (%s): invalid method, path or weight", i, r.Name))
		}
		sum += r.Weight
	}
	if sum <= 0 {
		return merry.Wrap(ErrOptions, merry.AppendMessage("the weights of the routes add up to 0"))
	}
	return nil
}

// writeReport writes the report to w, and the plot to o.PlotFile if it is set.
func writeReport(o Options, r Report, w io.Writer) error {
	text := r.text
	if o.Format == JSON {
		text = r.json
	}
	if _, err := io.WriteString(w, text()); err != nil {
		return merry.Wrap(ErrOutput, merry.WithCause(err))
	}
	if o.PlotFile == "" {
		return nil
	}
	if err := os.WriteFile(o.PlotFile, []byte(plotReport(r)), 0o644); err != nil {
		return merry.Wrap(ErrOutput, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return nil
}

func orDefault[T comparable](v, defaultValue T) T {
	var zero T
	if v == zero {
		return defaultValue
	}
	return v
}

func keyName(k int) string { return fmt.Sprintf("key-%d", k) }

// outcomes lists the outcomes in the order of reports. The last two are assigned
// by the tool, when there is no whole response.
var outcomes = []wire.Outcome{wire.OutcomeComplete, wire.OutcomeFailed, wire.OutcomeNotRun, wire.OutcomeUnknown, outcomeCut, outcomeUnreachable}

const (
	// outcomeCut means that the response was truncated or never began.
	outcomeCut wire.Outcome = "cut"
	// outcomeUnreachable means that no address accepted a connection.
	outcomeUnreachable wire.Outcome = "unreachable"
)
