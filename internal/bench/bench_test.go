package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// respond writes the response of a stand-in target with the given request id.
func respond(w http.ResponseWriter, r *http.Request, id string, chunks int) {
	w.Header().Set(header.Member, "member-1")
	key := strings.Split(r.URL.Path, "/")[2]
	_ = json.NewEncoder(w).Encode(echo{RequestID: id, Key: key})
	for n := range chunks {
		_, _ = fmt.Fprintf(w, "chunk %d of 2 of %s\n", n+1, id)
	}
}

// runAgainst runs the load against a server with handler h and returns the report.
func runAgainst(t *testing.T, o Options, h http.HandlerFunc) (Report, error) {
	t.Helper()
	s := httptest.NewServer(h)
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	o.Addresses = []string{address}
	if o.Targets != nil {
		o.Targets = []string{address}
	}
	o.Format = JSON
	if o.Routes == nil {
		o.Routes = []Route{{Name: "browse", Service: "catalogue", Method: "GET", Path: "/catalogue/{key}", Weight: 1, Repeatable: true, Chunks: 2}}
	}
	var b bytes.Buffer
	err := Run(t.Context(), o, &b)
	var r Report
	qt.Assert(t, json.Unmarshal(b.Bytes(), &r), qt.IsNil)
	return r, err
}

// Guards against a foreign or incomplete response being counted as good, and
// against a truncated response being counted as a broken promise.
func TestResponsesAreChecked(t *testing.T) {
	tests := map[string]struct {
		handler    http.HandlerFunc
		good       int
		foreign    int
		incomplete int
		cut        int
	}{
		"right":      {good: 20, handler: func(w http.ResponseWriter, r *http.Request) { respond(w, r, r.Header.Get(header.RequestID), 2) }},
		"foreign":    {foreign: 20, handler: func(w http.ResponseWriter, r *http.Request) { respond(w, r, "other", 2) }},
		"incomplete": {incomplete: 20, handler: func(w http.ResponseWriter, r *http.Request) { respond(w, r, r.Header.Get(header.RequestID), 1) }},
		"cut": {cut: 20, handler: func(w http.ResponseWriter, r *http.Request) {
			respond(w, r, r.Header.Get(header.RequestID), 1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := runAgainst(t, Options{Rate: 1000, Duration: 20}, tt.handler)
			qt.Assert(t, err != nil, qt.Equals, tt.foreign+tt.incomplete > 0)
			got := []int{r.Routes["browse"].Complete, r.Foreign, r.Incomplete, r.Outcomes[outcomeCut]}
			qt.Assert(t, got, qt.DeepEquals, []int{tt.good, tt.foreign, tt.incomplete, tt.cut})
		})
	}
}

// Guards against coordinated omission: with one request due per millisecond and a
// target that takes 20 ms for each, the latency must include the growing wait,
// although only one request is sent at a time.
func TestLatencyCountsFromWhenDue(t *testing.T) {
	var now atomic.Int64
	o := Options{Rate: 1000, Duration: 50, Workers: 1}
	o.time = timing{
		now: func() micros { return micros(now.Load()) },
		sleep: func(_ context.Context, until micros) error {
			now.Store(int64(until))
			return nil
		},
	}
	r, err := runAgainst(t, o, func(w http.ResponseWriter, r *http.Request) {
		now.Add(20_000)
		respond(w, r, r.Header.Get(header.RequestID), 2)
	})
	qt.Assert(t, err, qt.IsNil)
	// The last of 50 requests was due at 49 ms and ended at 1,000 ms.
	qt.Assert(t, math.Round(r.Latency.Max), qt.Equals, 951.0)
	qt.Assert(t, math.Round(r.SendDelay.Max), qt.Equals, 931.0)
}

// Guards against the report missing a second run, or a run of a request reported
// as not run.
func TestRecordsOfTargetsAreCompared(t *testing.T) {
	var runs []recordedRun
	rejected := false
	h := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/standin/runs" {
			_ = json.NewEncoder(w).Encode(runs)
			return
		}
		run := recordedRun{RequestID: r.Header.Get(header.RequestID), IdempotencyKey: r.Header.Get(header.IdempotencyKey)}
		runs = append(runs, run)
		if !rejected {
			rejected = true
			w.Header().Set(header.Outcome, string(wire.OutcomeNotRun))
			return
		}
		runs = append(runs, run)
		respond(w, r, run.RequestID, 0)
	}
	route, err := ParseRoute("pledge:pledges:POST:/pledges/{key}:1:once")
	qt.Assert(t, err, qt.IsNil)
	r, err := runAgainst(t, Options{Rate: 1000, Duration: 2, Workers: 1, Targets: []string{""}, Routes: []Route{route}}, h)
	qt.Assert(t, err, qt.ErrorIs, ErrPromise)
	qt.Assert(t, []int{r.RanTwice, r.RanAlthoughNotRun}, qt.DeepEquals, []int{1, 1})
}

// Guards against indexes outside the table and against weights being ignored.
func TestZipfPrefersFirstKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 500).Draw(t, "keys")
		w := zipf(n, rapid.Float64Range(0, 3).Draw(t, "skew"))
		u := rapid.Float64Range(0, 0.9999999).Draw(t, "u")
		if i := w.at(u); i < 0 || i >= n || float64(i) > u*float64(n) {
			t.Fatalf("index %d of %d for %v", i, n, u)
		}
	})
}

// Guards against accepting options that give a meaningless run.
func TestOptionsAreChecked(t *testing.T) {
	route := Route{Method: "GET", Path: "/", Weight: 1}
	tests := map[string]Options{
		"no address":     {Routes: []Route{route}},
		"no route":       {Addresses: []string{"a"}},
		"no weight":      {Addresses: []string{"a"}, Routes: []Route{{Method: "GET", Path: "/"}}},
		"negative rate":  {Addresses: []string{"a"}, Routes: []Route{route}, Rate: -1},
		"unknown format": {Addresses: []string{"a"}, Routes: []Route{route}, Format: "xml"},
	}
	for name, o := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, Run(t.Context(), o, &bytes.Buffer{}), qt.ErrorIs, ErrOptions)
		})
	}
}

// Guards against a plot that is not written or not an SVG document.
func TestPlotIsWritten(t *testing.T) {
	file := filepath.Join(t.TempDir(), "run.svg")
	_, err := runAgainst(t, Options{Rate: 1000, Duration: 60, Window: clock.Millis(30), PlotFile: file}, func(w http.ResponseWriter, r *http.Request) {
		respond(w, r, r.Header.Get(header.RequestID), 2)
	})
	qt.Assert(t, err, qt.IsNil)
	b, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(b), qt.Contains, "</svg>")
	qt.Assert(t, string(b), qt.Contains, "goodput/s")
}
