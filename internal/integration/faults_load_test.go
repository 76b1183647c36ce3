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
	// faultKeys is the number of keys of each keyed service in use.
	faultKeys = 40
	// faultWorkers send requests of each kind.
	faultWorkers = 2
	// faultPace is the pause between two requests of a worker.
	faultPace clock.Millis = 20
	// faultSends bounds the resends of one request.
	faultSends = 12
	// faultDeadline is the deadline of one attempt. faultLost after it the caller
	// takes the response for lost.
	faultDeadline clock.Millis = 3000
	faultLost     clock.Millis = 2000
	// faultLimit ends a test that hangs.
	faultLimit = 75 * time.Second
)

// faults is a system under load with a record of all that happened.
type faults struct {
	*cluster.Cluster
	t       *testing.T
	ctx     context.Context
	records string
	config  string
	stop    context.CancelFunc
	workers sync.WaitGroup

	mu sync.Mutex
	// during is the fault in progress, for messages.
	during    string
	next      int
	responses []history.Response
	// answered is the run that a complete response names, by request id.
	answered map[string]faultRun
	// complete are the operations whose outcome was acknowledged.
	complete []*faultRequest
	// cut, unknown and broken describe responses that a planned stop must not
	// cause.
	cut, unknown, broken []string
	refused              int
	resends              int
}

// faultRun is the part of a run that a response states.
type faultRun struct {
	instance string
	epoch    wire.FencingToken
}

// faultRequest is a request of the load with all its attempts.
type faultRequest struct {
	method, path string
	caller       wire.CallerID
	key          wire.OperationKey
	header       http.Header
	// content is the body; the key by default.
	content string
	// deadline is that of each attempt; faultDeadline by default.
	deadline clock.Millis
	ids      []string
	// body is that of the response that was acknowledged.
	body string
}

func startFaults(t *testing.T, services map[wire.ServiceName]cluster.Service) *faults {
	t.Helper()
	return startFaultsWith(t, cluster.Options{Services: services})
}

// startFaultsWith starts the system that the options describe.
func startFaultsWith(t *testing.T, o cluster.Options) *faults {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), faultLimit)
	t.Cleanup(cancel)
	f := &faults{t: t, ctx: ctx, records: t.TempDir(), answered: make(map[string]faultRun)}
	folder := t.TempDir()
	o.Gentiansail, o.Standin, o.Folder, o.Replicas, o.Group, o.Records = gentiansail, standin, folder, 3, "tz", f.records
	c, err := cluster.Start(ctx, o)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(c.Close)
	f.Cluster = c
	// A link would accept connections to a node that is not there, so callers
	// could not tell that nothing was sent.
	for _, h := range c.Hosts {
		h.Caller = h.Node.Addr()
	}
	t.Cleanup(func() { f.warnings(folder) })
	f.config = filepath.Join(folder, "config")
	qt.Assert(t, os.MkdirAll(f.config, 0o700), qt.IsNil)
	qt.Assert(t, os.WriteFile(filepath.Join(f.config, "all.jsonc"), []byte(configOf(o.Services)), 0o600), qt.IsNil)
	qt.Assert(t, c.Bootstrap(ctx), qt.IsNil)
	qt.Assert(t, c.Apply(ctx, f.config), qt.IsNil)
	f.ready()
	f.load()
	return f
}

// warnings prints the warnings of all processes when the test has failed.
func (f *faults) warnings(folder string) {
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

// configOf leaves out the lines of faultConfig about services without targets.
func configOf(services map[wire.ServiceName]cluster.Service) string {
	lines := slices.DeleteFunc(strings.Split(faultConfig, "\n"), func(l string) bool {
		return strings.Contains(l, `"archive"`) && services["archive"].Targets == 0
	})
	return strings.Join(lines, "\n")
}

// ready waits until all hosts serve and one more replica can be lost.
func (f *faults) ready() {
	f.t.Helper()
	err := f.WaitReady(f.ctx)
	qt.Assert(f.t, err, qt.IsNil, qt.Commentf("%s", f.Logs()))
	f.await("the loss of a replica can be borne", func(s wire.StatusResponse) bool { return s.CanLoseOne })
}

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

// of returns the hosts of a service.
func (f *faults) of(s wire.ServiceName) []*cluster.Host {
	var out []*cluster.Host
	for _, h := range f.Hosts {
		if h.Service == s {
			out = append(out, h)
		}
	}
	return out
}

// load runs requests of all kinds until finish.
func (f *faults) load() {
	ctx, stop := context.WithCancel(f.ctx)
	f.stop = stop
	for _, service := range []string{"catalogue", "archive", "pledges"} {
		if len(f.of(wire.ServiceName(service))) == 0 {
			continue
		}
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for range faultWorkers {
				f.workers.Go(func() {
					for clock.System().Sleep(ctx, faultPace) == nil {
						f.settle(ctx, f.request(method, service, ""))
					}
				})
			}
		}
	}
}

// request makes a new request of a service with its own path and caller. The
// query goes to the target; without one it answers at once.
func (f *faults) request(method, service, query string) *faultRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	q := &faultRequest{
		method: method, caller: wire.CallerID(fmt.Sprintf("caller-%d", f.next)),
		path: fmt.Sprintf("/%s/%s/%d?chunks=2%s", service, faultKey(f.next), f.next, cmp.Or(query, "&delay=1")),
	}
	if method == http.MethodPost {
		q.key = wire.OperationKey(uuid.Must(uuid.NewV7()).String())
	}
	return q
}

func faultKey(n int) string { return fmt.Sprintf("request-%d", n%faultKeys) }

// begin names the fault that begins.
func (f *faults) begin(fault string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.during = fault
}

// settle sends a request through one node after the other until its outcome is
// final, and returns the last response.
func (f *faults) settle(ctx context.Context, q *faultRequest) cluster.Response {
	var r cluster.Response
	for n := range faultSends {
		f.mu.Lock()
		h := f.Hosts[(f.next+n)%len(f.Hosts)]
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
	head := q.header.Clone()
	if head == nil {
		head = http.Header{}
	}
	head.Set(header.RequestID, id)
	q.ids = append(q.ids, id)
	// The outcome is recorded even when the load stops in between.
	deadline := cmp.Or(q.deadline, faultDeadline)
	ctx, cancel := context.WithTimeout(f.ctx, (deadline + faultLost).Duration())
	defer cancel()
	r, err := h.Do(ctx, cluster.Request{
		Method: q.method, Path: q.path, Body: cmp.Or(q.content, string(q.key)), Caller: q.caller, Key: q.key, Deadline: deadline, Header: head,
	})
	f.record(h, q, id, r, err)
	return r
}

func (f *faults) record(h *cluster.Host, q *faultRequest, id string, r cluster.Response, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := history.Response{
		Sent: strings.SplitN(q.path, "?", 2)[0], RequestID: id, IdempotencyKey: string(q.key),
		Outcome: r.Outcome, Whole: err == nil && r.BodyErr == nil, Replayed: r.Replayed,
	}
	where := fmt.Sprintf("%s %s through %s during %q, request %s: %d %s %s ", q.method, n.Sent, h.Name, f.during, id, r.Status, r.Outcome, r.Reason)
	where += time.Now().UTC().Format(time.RFC3339Nano) + " "
	if len(q.ids) > 1 {
		f.resends++
	}
	switch {
	case notConnected(err):
		f.refused++
	case err != nil:
		n.Error = err.Error()
		f.broken = append(f.broken, where+err.Error())
	case r.BodyErr != nil:
		f.cut = append(f.cut, where)
	case r.Outcome == wire.OutcomeUnknown:
		f.unknown = append(f.unknown, where)
	case r.Outcome == wire.OutcomeComplete:
		e, wrong := r.Echo()
		n.BodyMatches = wrong == nil && e.Caller == string(q.caller) && slices.Contains(q.ids, e.RequestID) && (r.Replayed || e.RequestID == id) &&
			strings.HasSuffix(r.Body, fmt.Sprintf("chunk 2 of 2 of %s\n", e.RequestID))
		f.answered[id] = faultRun{e.Instance, e.FencingToken}
		if q.key != "" && q.body == "" {
			q.body = r.Body
			f.complete = append(f.complete, q)
		}
	}
	f.responses = append(f.responses, n)
}

// notConnected reports whether no connection came about, so that nothing of the
// request was sent. A listener that closes can also reset a connection that is
// being opened.
func notConnected(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

// finish stops the load, resends every acknowledged operation through another
// node, and checks the whole history.
func (f *faults) finish(allowed func(history.Violation) bool) {
	f.t.Helper()
	f.stop()
	f.workers.Wait()
	f.resendAcknowledged()
	runs, err := history.ReadRuns(f.records)
	qt.Assert(f.t, err, qt.IsNil)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Logf("%d runs, %d attempts, %d operations acknowledged, %d resends, %d not connected, %d lost responses, %d unknown, %d cut",
		len(runs), len(f.responses), len(f.complete), f.resends, f.refused, len(f.broken), len(f.unknown), len(f.cut))
	qt.Assert(f.t, len(f.complete) > 0, qt.IsTrue)
	for _, v := range history.Check(runs, f.responses) {
		if allowed == nil || !allowed(v) {
			f.t.Error(v)
		}
	}
}

// resendAcknowledged checks that each acknowledged operation is still known: a
// resend must get the response of its run.
func (f *faults) resendAcknowledged() {
	f.t.Helper()
	f.mu.Lock()
	operations := slices.Clone(f.complete)
	f.mu.Unlock()
	const parallel = 16
	var group sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, q := range operations {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if r := f.settle(f.ctx, q); r.Body != q.body || !r.Replayed {
				f.t.Errorf("acknowledged operation %s: a resend got %d %s %s, replayed %t", q.path, r.Status, r.Outcome, r.Reason, r.Replayed)
			}
		})
	}
	group.Wait()
}

// servedAgain waits until each key of a service is served by a host that was not
// lost, and returns how long the last one took from the loss.
func (f *faults) servedAgain(what string, service wire.ServiceName, lost time.Time, through *cluster.Host) {
	f.t.Helper()
	ctx, cancel := context.WithDeadline(f.ctx, lost.Add(servedBound))
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
			last = max(last, time.Since(lost))
			if err != nil {
				missing = append(missing, faultKey(k)+": "+err.Error())
			}
		})
	}
	group.Wait()
	f.t.Logf("%s: all keys of %s served again after %d ms, %d missing", what, service, last.Milliseconds(), len(missing))
	qt.Check(f.t, missing, qt.HasLen, 0, qt.Commentf("%s: not served within %s", what, servedBound))
}

// servedBound is the stated target: a key is served again within 2 s of a loss.
const servedBound = 2 * time.Second

// keyAttempt bounds one attempt of awaitKey. A request that a frozen target has
// is answered only when its fate is known; the key is served before that.
const keyAttempt = 300 * time.Millisecond

// awaitKey asks for a key until it is served. The path has a part of its own, so
// that an attempt that is given up does not concern the next one.
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

// held is a request that is at a target, and the channel of its last response.
type held struct {
	request  *faultRequest
	response chan cluster.Response
}

const (
	// heldEach is the number of requests of each service and method that hold
	// keeps in flight.
	heldEach = 2
	// heldDeadline leaves time for the longest work of a held request.
	heldDeadline clock.Millis = 9000
)

// hold sends slow requests to services through all nodes, and returns when all
// of them have reached targets.
func (f *faults) hold(query string, services ...string) []held {
	f.t.Helper()
	var out []held
	for range heldEach {
		for _, s := range services {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				h := held{f.request(method, s, query), make(chan cluster.Response, 1)}
				h.request.deadline = heldDeadline
				go func() { h.response <- f.settle(f.ctx, h.request) }()
				out = append(out, h)
			}
		}
	}
	f.awaitRuns(out)
	return out
}

// awaitRuns waits until targets have had all of the requests.
func (f *faults) awaitRuns(hs []held) {
	f.t.Helper()
	for {
		runs, err := history.ReadRuns(f.records)
		qt.Assert(f.t, err, qt.IsNil)
		callers := make(map[string]bool)
		for _, r := range runs {
			callers[r.Caller] = true
		}
		missing := slices.ContainsFunc(hs, func(h held) bool { return !callers[string(h.request.caller)] })
		if !missing {
			return
		}
		qt.Assert(f.t, clock.System().Sleep(f.ctx, 20), qt.IsNil)
	}
}

// settled waits until the callers of held requests know their outcomes.
func (f *faults) settled(hs []held) {
	for _, h := range hs {
		<-h.response
	}
}

// inForce checks that the accepted configuration is in effect on every host
// within the promised bound.
func (f *faults) inForce(from time.Time) {
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

// inForceBound is the promised bound on a configuration's way to every host.
const inForceBound = 6 * time.Second

// leader returns the control replica that leads.
func (f *faults) leader() *cluster.Replica {
	f.t.Helper()
	var out *cluster.Replica
	f.await("a leader is known", func(s wire.StatusResponse) bool {
		out = f.leaderOf(s)
		return out != nil
	})
	return out
}

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
	most := 0
	f.await("a host owns partitions of "+string(service), func(s wire.StatusResponse) bool {
		for _, n := range s.Nodes {
			if h := f.Host(n.Node); h != nil && h.Service == service && n.Owned > most {
				owner, most = h, n.Owned
			}
		}
		return owner != nil
	})
	for _, h := range f.of(service) {
		if h != owner {
			other = h
		}
	}
	return owner, other
}
