package integration

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/integration/history"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// faultConfig has a keyed service whose targets check grants, one whose targets
// do not, and one without keys.
const faultConfig = `{
  "Regions": [{"Name": "tz-coast", "FailureDomains": ["dsm-a", "dsm-b", "dsm-c"]}],
  "Services": [
    {"Name": "catalogue", "Keyed": true, "Partitions": 24, "MoveBudget": 4},
    {"Name": "archive", "Keyed": true, "Partitions": 24, "MoveBudget": 4},
    {"Name": "pledges", "Keyed": false}
  ],
  "Routes": [
    {"Name": "browse", "Service": "catalogue", "Methods": ["GET"], "Path": "/catalogue/", "Key": {"From": "PathSegment", "Segment": 2}, "Repeatable": true, "Class": "normal", "DeadlineMillis": 10000},
    {"Name": "reserve", "Service": "catalogue", "Methods": ["POST"], "Path": "/catalogue/", "Key": {"From": "PathSegment", "Segment": 2}, "Repeatable": false, "Class": "critical", "DeadlineMillis": 10000},
    {"Name": "look-up", "Service": "archive", "Methods": ["GET"], "Path": "/archive/", "Key": {"From": "PathSegment", "Segment": 2}, "Repeatable": true, "Class": "normal", "DeadlineMillis": 10000},
    {"Name": "file", "Service": "archive", "Methods": ["POST"], "Path": "/archive/", "Key": {"From": "PathSegment", "Segment": 2}, "Repeatable": false, "Class": "critical", "DeadlineMillis": 10000},
    {"Name": "pledge-state", "Service": "pledges", "Methods": ["GET"], "Path": "/pledges", "Repeatable": true, "Class": "normal", "DeadlineMillis": 10000},
    {"Name": "pledge", "Service": "pledges", "Methods": ["POST"], "Path": "/pledges", "Repeatable": false, "Class": "critical", "DeadlineMillis": 10000}
  ]
}`

const (
	// faultKeys is the number of keys in use of each keyed service.
	faultKeys = 40
	// faultWorkers is the number of workers for each service and method.
	faultWorkers = 2
	// faultPause is the pause between two requests of a worker.
	faultPause clock.Millis = 20
	// maxFaultAttempts bounds the attempts of one request.
	maxFaultAttempts = 12
	// faultDeadline is the deadline of one attempt. If no response has arrived
	// faultResponseGrace after it, the caller treats the response as lost.
	faultDeadline      clock.Millis = 3000
	faultResponseGrace clock.Millis = 2000
	// faultTestTimeout bounds the run time of a test.
	faultTestTimeout = 75 * time.Second
)

// faults is a running system under load, with a record of all responses.
type faults struct {
	*cluster.Cluster
	t             *testing.T
	ctx           context.Context
	recordsFolder string
	config        string
	stop          context.CancelFunc
	workers       sync.WaitGroup

	mu sync.Mutex
	// currentFault describes the fault in progress, for messages.
	currentFault string
	requestCount int
	responses    []history.Response
	// completedRuns holds the run that a complete response names, by request ID.
	completedRuns map[string]faultRun
	// acknowledged holds the operations that got a complete response.
	acknowledged []*faultRequest
	// truncated, unknownOutcomes and lostResponses describe failures that a
	// planned stop must not cause.
	truncated, unknownOutcomes, lostResponses []string
	notConnected                              int
	resends                                   int
}

// faultRun identifies the target process and the fencing token of a run, as a
// response states them.
type faultRun struct {
	instance     string
	fencingToken wire.FencingToken
}

// faultRequest is a request of the load with all its attempts.
type faultRequest struct {
	method, path string
	caller       wire.CallerID
	key          wire.OperationKey
	header       http.Header
	// content is the body; the key by default.
	content string
	// deadline is the deadline of each attempt; faultDeadline by default.
	deadline clock.Millis
	ids      []string
	// body is the body of the first complete response.
	body string
}

// startFaults starts a system with the services, and load on it.
func startFaults(t *testing.T, services map[wire.ServiceName]cluster.Service) *faults {
	t.Helper()
	return startFaultsWith(t, cluster.Options{Services: services})
}

// startFaultsWith starts a system with further options, and load on it.
func startFaultsWith(t *testing.T, o cluster.Options) *faults {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), faultTestTimeout)
	t.Cleanup(cancel)
	f := &faults{t: t, ctx: ctx, recordsFolder: t.TempDir(), completedRuns: make(map[string]faultRun)}
	folder := t.TempDir()
	o.Gentiansail, o.Standin, o.Folder, o.Replicas, o.Group, o.Records = gentiansail, standin, folder, 3, "tz", f.recordsFolder
	c, err := cluster.Start(ctx, o)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(c.Close)
	f.Cluster = c
	// Callers bypass the links: a link accepts connections even when its node is
	// stopped, so that a caller could not tell that nothing was sent.
	for _, h := range c.Hosts {
		h.Caller = h.Node.Addr()
	}
	t.Cleanup(func() { f.logWarnings(folder) })
	f.config = filepath.Join(folder, "config")
	qt.Assert(t, os.MkdirAll(f.config, 0o700), qt.IsNil)
	qt.Assert(t, os.WriteFile(filepath.Join(f.config, "all.jsonc"), []byte(configOf(o.Services)), 0o600), qt.IsNil)
	qt.Assert(t, c.Bootstrap(ctx), qt.IsNil)
	qt.Assert(t, c.Apply(ctx, f.config), qt.IsNil)
	f.awaitReady()
	f.startLoad()
	return f
}

// logWarnings prints the warnings and errors that all processes logged if the test
// has failed.
func (f *faults) logWarnings(folder string) {
	if !f.t.Failed() {
		return
	}
	logs, err := filepath.Glob(filepath.Join(folder, "start-*", "*.log"))
	qt.Check(f.t, err, qt.IsNil)
	for _, l := range logs {
		data, err := os.ReadFile(l)
		qt.Check(f.t, err, qt.IsNil)
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, `"level":"warn"`) || strings.Contains(line, `"level":"error"`) {
				f.t.Log(line)
			}
		}
	}
}

// configOf returns faultConfig, without the archive service if it has no targets.
func configOf(services map[wire.ServiceName]cluster.Service) string {
	lines := slices.DeleteFunc(strings.Split(faultConfig, "\n"), func(l string) bool {
		return strings.Contains(l, `"archive"`) && services["archive"].Targets == 0
	})
	return strings.Join(lines, "\n")
}

// awaitReady waits until all hosts serve and one more replica can be lost.
func (f *faults) awaitReady() {
	f.t.Helper()
	err := f.WaitReady(f.ctx)
	qt.Assert(f.t, err, qt.IsNil, qt.Commentf("%s", f.Logs()))
	f.await("one replica can be lost", func(s wire.StatusResponse) bool { return s.CanLoseOne })
}

// await waits until the status meets a condition.
func (f *faults) await(what string, ok func(wire.StatusResponse) bool) {
	f.t.Helper()
	err := f.WaitStatus(f.ctx, func(s wire.StatusResponse) error {
		if ok(s) {
			return nil
		}
		return fmt.Errorf("not yet: %s: %+v", what, s.Nodes)
	})
	qt.Assert(f.t, err, qt.IsNil, qt.Commentf("%s", f.Logs()))
}

// hostsOf returns the hosts of a service.
func (f *faults) hostsOf(s wire.ServiceName) []*cluster.Host {
	var out []*cluster.Host
	for _, h := range f.Hosts {
		if h.Service == s {
			out = append(out, h)
		}
	}
	return out
}

// startLoad runs requests of all kinds until finish.
func (f *faults) startLoad() {
	ctx, stop := context.WithCancel(f.ctx)
	f.stop = stop
	for _, service := range []string{"catalogue", "archive", "pledges"} {
		if len(f.hostsOf(wire.ServiceName(service))) == 0 {
			continue
		}
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for range faultWorkers {
				f.workers.Go(func() {
					for clock.System().Sleep(ctx, faultPause) == nil {
						f.sendUntilFinal(ctx, f.request(method, service, ""))
					}
				})
			}
		}
	}
}

// request returns a new request for a service with its own path and caller. The
// target takes its instructions from the query; without one it responds after 1 ms.
func (f *faults) request(method, service, query string) *faultRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestCount++
	q := &faultRequest{
		method: method, caller: wire.CallerID(fmt.Sprintf("caller-%d", f.requestCount)),
		path: fmt.Sprintf("/%s/%s/%d?chunks=2%s", service, faultKey(f.requestCount), f.requestCount, cmp.Or(query, "&delay=1")),
	}
	if method == http.MethodPost {
		q.key = wire.OperationKey(uuid.Must(uuid.NewV7()).String())
	}
	return q
}

// faultKey returns the key with the number n modulo faultKeys.
func faultKey(n int) string { return fmt.Sprintf("request-%d", n%faultKeys) }

// setCurrentFault sets the fault that messages name from now on.
func (f *faults) setCurrentFault(fault string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentFault = fault
}

// sendUntilFinal sends a request through one node after the other until its outcome
// is final or maxFaultAttempts is reached, and returns the last response.
func (f *faults) sendUntilFinal(ctx context.Context, q *faultRequest) cluster.Response {
	var r cluster.Response
	for n := range maxFaultAttempts {
		f.mu.Lock()
		h := f.Hosts[(f.requestCount+n)%len(f.Hosts)]
		f.mu.Unlock()
		r = f.send(h, q)
		final := r.Outcome == wire.OutcomeComplete && r.BodyErr == nil || r.Reason == "unknown" || r.Reason == "quarantined"
		if final || clock.System().Sleep(ctx, 20) != nil {
			break
		}
	}
	return r
}

// send sends one attempt through a host and records what the caller saw.
func (f *faults) send(h *cluster.Host, q *faultRequest) cluster.Response {
	id := uuid.NewString()
	headers := q.header.Clone()
	if headers == nil {
		headers = http.Header{}
	}
	headers.Set(header.RequestID, id)
	q.ids = append(q.ids, id)
	// The attempt does not end with the load, so that its outcome is recorded.
	deadline := cmp.Or(q.deadline, faultDeadline)
	ctx, cancel := context.WithTimeout(f.ctx, (deadline + faultResponseGrace).Duration())
	defer cancel()
	r, err := h.Do(ctx, cluster.Request{
		Method: q.method, Path: q.path, Body: cmp.Or(q.content, string(q.key)), Caller: q.caller, Key: q.key, Deadline: deadline, Header: headers,
	})
	f.record(h, q, id, r, err)
	return r
}

// record records the result of an attempt.
func (f *faults) record(h *cluster.Host, q *faultRequest, id string, r cluster.Response, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := history.Response{
		Sent: strings.SplitN(q.path, "?", 2)[0], RequestID: id, IdempotencyKey: string(q.key),
		Outcome: r.Outcome, Whole: err == nil && r.BodyErr == nil, Replayed: r.Replayed,
	}
	description := fmt.Sprintf("%s %s through %s during %q, request %s: %d %s %s ", q.method, n.Sent, h.Name, f.currentFault, id, r.Status, r.Outcome, r.Reason)
	description += time.Now().UTC().Format(time.RFC3339Nano) + " "
	if len(q.ids) > 1 {
		f.resends++
	}
	switch {
	case notConnected(err):
		f.notConnected++
	case err != nil:
		n.Error = err.Error()
		f.lostResponses = append(f.lostResponses, description+err.Error())
	case r.BodyErr != nil:
		f.truncated = append(f.truncated, description)
	case r.Outcome == wire.OutcomeUnknown:
		f.unknownOutcomes = append(f.unknownOutcomes, description)
	case r.Outcome == wire.OutcomeComplete:
		e, echoErr := r.Echo()
		n.BodyMatches = echoErr == nil && e.Caller == string(q.caller) && slices.Contains(q.ids, e.RequestID) && (r.Replayed || e.RequestID == id) &&
			strings.HasSuffix(r.Body, fmt.Sprintf("chunk 2 of 2 of %s\n", e.RequestID))
		f.completedRuns[id] = faultRun{e.Instance, e.FencingToken}
		if q.key != "" && q.body == "" {
			q.body = r.Body
			f.acknowledged = append(f.acknowledged, q)
		}
	}
	f.responses = append(f.responses, n)
}

// notConnected reports whether the connection could not be opened, so that nothing
// of the request was sent. Besides refused connections this includes those that a
// closing listener resets.
func notConnected(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

// finish stops the load, resends every acknowledged operation, and checks the
// history of runs and responses. It ignores violations that allowed accepts.
func (f *faults) finish(allowed func(history.Violation) bool) {
	f.t.Helper()
	f.stop()
	f.workers.Wait()
	f.resendAcknowledged()
	runs, err := history.ReadRuns(f.recordsFolder)
	qt.Assert(f.t, err, qt.IsNil)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Logf("%d runs, %d attempts, %d operations acknowledged, %d resends, %d not connected, %d lost responses, %d unknown, %d truncated",
		len(runs), len(f.responses), len(f.acknowledged), f.resends, f.notConnected, len(f.lostResponses), len(f.unknownOutcomes), len(f.truncated))
	qt.Assert(f.t, len(f.acknowledged) > 0, qt.IsTrue)
	for _, v := range history.Check(runs, f.responses) {
		if allowed == nil || !allowed(v) {
			f.t.Error(v)
		}
	}
}

// resendAcknowledged checks that each acknowledged operation is still stored: a
// resend must get the original response, marked as replayed.
func (f *faults) resendAcknowledged() {
	f.t.Helper()
	f.mu.Lock()
	operations := slices.Clone(f.acknowledged)
	f.mu.Unlock()
	const parallel = 16
	var group sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, q := range operations {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if r := f.sendUntilFinal(f.ctx, q); r.Body != q.body || !r.Replayed {
				f.t.Errorf("acknowledged operation %s: a resend got %d %s %s, replayed %t", q.path, r.Status, r.Outcome, r.Reason, r.Replayed)
			}
		})
	}
	group.Wait()
}

// checkKeysServed checks that each key of a service is served within recoveryBound
// of the loss of a host, and logs the time that this took.
func (f *faults) checkKeysServed(what string, service wire.ServiceName, lostAt time.Time, through *cluster.Host) {
	f.t.Helper()
	ctx, cancel := context.WithDeadline(f.ctx, lostAt.Add(recoveryBound))
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	var last time.Duration
	var missing []string
	for k := range faultKeys {
		group.Go(func() {
			err := f.awaitKey(ctx, through, fmt.Sprintf("/%s/%s", service, faultKey(k)))
			mu.Lock()
			defer mu.Unlock()
			last = max(last, time.Since(lostAt))
			if err != nil {
				missing = append(missing, faultKey(k)+": "+err.Error())
			}
		})
	}
	group.Wait()
	f.t.Logf("%s: all keys of %s served again after %d ms, %d missing", what, service, last.Milliseconds(), len(missing))
	qt.Check(f.t, missing, qt.HasLen, 0, qt.Commentf("%s: not served within %s", what, recoveryBound))
}

// recoveryBound is the stated bound on the time from the loss of a host until its
// keys are served.
const recoveryBound = 2 * time.Second

// keyAttempt bounds one attempt of awaitKey. A request that was sent to a frozen
// target gets its response only when its outcome is known, which is later than the
// key is served by its new owner.
const keyAttempt = 300 * time.Millisecond

// awaitKey sends requests for a key until one is complete. Each attempt has its own
// path, so that an abandoned attempt does not affect the next one.
func (f *faults) awaitKey(ctx context.Context, h *cluster.Host, path string) error {
	for {
		attempt, cancel := context.WithTimeout(ctx, keyAttempt)
		r, err := h.Do(attempt, cluster.Request{Method: http.MethodGet, Path: path + "/" + uuid.NewString()})
		cancel()
		if err == nil && r.Outcome == wire.OutcomeComplete && r.BodyErr == nil {
			return nil
		}
		if err == nil {
			err = fmt.Errorf("%d %s %s", r.Status, r.Outcome, r.Reason)
		}
		if clock.System().Sleep(ctx, 10) != nil {
			return err
		}
	}
}

// inFlightRequest is a request that a target runs, and the channel of its last
// response.
type inFlightRequest struct {
	request  *faultRequest
	response chan cluster.Response
}

const (
	// inFlightPerKind is the number of requests that startInFlight sends for each
	// service and method.
	inFlightPerKind = 2
	// inFlightDeadline is longer than the longest run of a request in flight.
	inFlightDeadline clock.Millis = 9000
)

// startInFlight sends slow requests to services through all nodes, and returns when all
// of them have reached targets.
func (f *faults) startInFlight(query string, services ...string) []inFlightRequest {
	f.t.Helper()
	var out []inFlightRequest
	for range inFlightPerKind {
		for _, s := range services {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				h := inFlightRequest{f.request(method, s, query), make(chan cluster.Response, 1)}
				h.request.deadline = inFlightDeadline
				go func() { h.response <- f.sendUntilFinal(f.ctx, h.request) }()
				out = append(out, h)
			}
		}
	}
	f.awaitRuns(out)
	return out
}

// awaitRuns waits until targets have started to run all of the requests.
func (f *faults) awaitRuns(requests []inFlightRequest) {
	f.t.Helper()
	for {
		runs, err := history.ReadRuns(f.recordsFolder)
		qt.Assert(f.t, err, qt.IsNil)
		callers := make(map[string]bool)
		for _, r := range runs {
			callers[r.Caller] = true
		}
		missing := slices.ContainsFunc(requests, func(h inFlightRequest) bool { return !callers[string(h.request.caller)] })
		if !missing {
			return
		}
		qt.Assert(f.t, clock.System().Sleep(f.ctx, 20), qt.IsNil)
	}
}

// awaitResponses waits for the last responses to requests in flight.
func (f *faults) awaitResponses(requests []inFlightRequest) {
	for _, h := range requests {
		<-h.response
	}
}

// checkInForce checks that the accepted configuration is in force on every node
// within inForceBound.
func (f *faults) checkInForce(from time.Time) {
	f.t.Helper()
	ctx, cancel := context.WithDeadline(f.ctx, from.Add(inForceBound))
	defer cancel()
	err := f.WaitStatus(ctx, func(s wire.StatusResponse) error {
		for _, n := range s.Nodes {
			if n.RevisionInForce < s.Revision {
				return fmt.Errorf("node %s has revision %d of %d", n.Node, n.RevisionInForce, s.Revision)
			}
		}
		return nil
	})
	qt.Check(f.t, err, qt.IsNil)
	f.t.Logf("configuration in force on every node after %d ms", time.Since(from).Milliseconds())
}

// inForceBound is the promised bound on the time from the acceptance of a
// configuration until it is in force on every node.
const inForceBound = 6 * time.Second

// leader waits until the control group has a leader, and returns it.
func (f *faults) leader() *cluster.Replica {
	f.t.Helper()
	var leader *cluster.Replica
	f.await("a leader is known", func(s wire.StatusResponse) bool {
		leader = f.leaderOf(s)
		return leader != nil
	})
	return leader
}

// leaderOf returns the leader according to a status, or nil.
func (f *faults) leaderOf(s wire.StatusResponse) *cluster.Replica {
	for _, r := range s.Replicas {
		for _, c := range f.Replicas {
			if r.Leader && r.Name == c.Name {
				return c
			}
		}
	}
	return nil
}

// owner returns the host that owns the most partitions of a service, and
// another one of that service.
func (f *faults) owner(service wire.ServiceName) (owner, other *cluster.Host) {
	f.t.Helper()
	maxOwned := 0
	f.await("a host owns partitions of "+string(service), func(s wire.StatusResponse) bool {
		for _, n := range s.Nodes {
			if h := f.Host(n.Node); h != nil && h.Service == service && n.Owned > maxOwned {
				owner, maxOwned = h, n.Owned
			}
		}
		return owner != nil
	})
	for _, h := range f.hostsOf(service) {
		if h != owner {
			other = h
		}
	}
	return owner, other
}
