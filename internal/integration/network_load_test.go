package integration

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/integration/history"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	keys = 24
	// parts is the number of chunks of a response.
	parts = 3
	// sends is how often a request is sent until it is complete.
	sends = 4
	// deadline is stated with each request.
	deadline clock.Millis = 3000
	// overdue is the time after its deadline at which an unanswered request
	// counts as hanging; it leaves room for a busy host.
	overdue clock.Millis = 3000
	// pause is the time between two requests of one worker.
	pause clock.Millis = 10
	// keyPause is the time between two requests for one key.
	keyPause clock.Millis = 100
	// poll is how often a wait looks again.
	poll clock.Millis = 20
)

// network is a system behind faulty links, with load and what callers saw.
type network struct {
	*cluster.Cluster
	t      *testing.T
	ctx    context.Context
	folder string
	serial atomic.Int64

	mu        sync.Mutex
	responses []history.Response
	hanging   []string
	complete  map[string][]clock.Millis // by key

	loading context.Context // ends with the load
	stop    context.CancelFunc
	group   sync.WaitGroup
}

// startNetwork starts a system whose targets check nothing, so that the router
// alone keeps the promises, and load through all of its nodes.
func startNetwork(t *testing.T) *network {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	n := &network{t: t, ctx: ctx, folder: t.TempDir(), complete: make(map[string][]clock.Millis)}
	var err error
	n.Cluster, err = cluster.Start(ctx, cluster.Options{
		Gentiansail: gentiansail, Standin: standin, Folder: n.folder, Replicas: 3, Group: "tz", Links: true,
		Services: map[wire.ServiceName]cluster.Service{"catalogue": {
			Targets: 3, Slots: 20, Arguments: []string{"--record", filepath.Join(n.folder, "runs-catalogue.jsonl")},
		}},
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(n.Close)
	n.loading, n.stop = context.WithCancel(ctx)
	qt.Assert(t, n.Bootstrap(ctx), qt.IsNil)
	qt.Assert(t, n.Apply(ctx, config), qt.IsNil)
	qt.Assert(t, n.WaitReady(ctx), qt.IsNil)
	return n
}

// load sends requests through the hosts until check.
func (n *network) load(hosts ...*cluster.Host) {
	for w := range 6 {
		n.group.Go(func() {
			for i := w; n.loading.Err() == nil; i++ {
				n.settle(w%3 == 0, i, hosts)
				_ = clock.System().Sleep(n.loading, pause)
			}
		})
	}
}

// askEachKey asks for each key all the time, until check, so that a key that
// waits for its owner keeps no other from being asked for.
func (n *network) askEachKey(hosts ...*cluster.Host) {
	for k := range keys {
		n.group.Go(func() {
			for i := k; n.loading.Err() == nil; i++ {
				n.send(hosts[i%len(hosts)], n.request(http.MethodGet, key(k), ""))
				_ = clock.System().Sleep(n.loading, keyPause)
			}
		})
	}
}

// check ends the load and compares what callers were told with what ran.
func (n *network) check() {
	n.t.Helper()
	n.stop()
	n.group.Wait()
	runs, err := history.ReadRuns(n.folder)
	qt.Assert(n.t, err, qt.IsNil)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range history.Check(runs, n.responses) {
		n.t.Error(v)
	}
	for _, h := range n.hanging {
		n.t.Error("hangs: " + h)
	}
	outcomes := make(map[wire.Outcome]int)
	for _, r := range n.responses {
		outcomes[r.Outcome]++
	}
	n.t.Logf("%d runs, responses by outcome: %v", len(runs), outcomes)
	qt.Assert(n.t, outcomes[wire.OutcomeComplete] > 0, qt.IsTrue)
	qt.Assert(n.t, len(runs) > 0, qt.IsTrue)
}

func key(i int) string { return fmt.Sprintf("request-%d", i%keys) }

// settle sends a request through one host after the other until it is complete.
// A repeatable request has a path of its own for each attempt, because each may
// run; one that must not repeat has the same path and key.
func (n *network) settle(once bool, i int, hosts []*cluster.Host) {
	if once {
		n.sendOnce(key(i), i, hosts)
		return
	}
	for a := range sends {
		r := n.request(http.MethodGet, key(i), "")
		if n.send(hosts[(i+a)%len(hosts)], r).Outcome == wire.OutcomeComplete {
			return
		}
	}
}

// request returns a request with its own caller and path.
func (n *network) request(method, key, query string) cluster.Request {
	id := n.serial.Add(1)
	r := cluster.Request{
		Method: method, Path: fmt.Sprintf("/catalogue/%s/%d?chunks=%d&delay=1%s", key, id, parts, query),
		Caller: wire.CallerID(fmt.Sprintf("caller-%d", id)), Deadline: deadline,
	}
	if method == http.MethodPost {
		r.Key = wire.OperationKey(uuid.Must(uuid.NewV7()).String())
	}
	return r
}

// send sends a request and records what the caller was told.
func (n *network) send(h *cluster.Host, r cluster.Request) history.Response {
	out := n.ask(h, r)
	n.record(r, out)
	return out
}

// sendOnce sends a request that must not repeat until its outcome is final, and
// records it as not run only if every attempt was.
func (n *network) sendOnce(key string, i int, hosts []*cluster.Host) history.Response {
	r := n.request(http.MethodPost, key, "")
	return n.resend(r, i, hosts)
}

func (n *network) resend(r cluster.Request, i int, hosts []*cluster.Host) history.Response {
	var last history.Response
	mayHaveRun := false
	for a := range sends {
		last = n.ask(hosts[(i+a)%len(hosts)], r)
		if last.Outcome == wire.OutcomeComplete {
			break
		}
		mayHaveRun = mayHaveRun || last.Outcome != wire.OutcomeNotRun
	}
	if last.Outcome == wire.OutcomeNotRun && mayHaveRun {
		last.Outcome = wire.OutcomeUnknown
	}
	n.record(r, last)
	return last
}

func (n *network) record(r cluster.Request, out history.Response) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.responses = append(n.responses, out)
	if out.Outcome == wire.OutcomeComplete && out.Whole {
		k := strings.Split(r.Path, "/")[2]
		n.complete[k] = append(n.complete[k], clock.System().Now())
	}
}

// ask sends a request once. A response that is cut has no known outcome.
func (n *network) ask(h *cluster.Host, r cluster.Request) history.Response {
	ctx, cancel := context.WithTimeout(n.ctx, (r.Deadline + overdue).Duration())
	defer cancel()
	response, err := h.Do(ctx, r)
	path := pathOf(r)
	out := history.Response{Sent: path, IdempotencyKey: string(r.Key), Outcome: response.Outcome, Whole: err == nil && response.BodyErr == nil}
	if ctx.Err() != nil && n.ctx.Err() == nil {
		n.mu.Lock()
		n.hanging = append(n.hanging, fmt.Sprintf("%s %s through %s", r.Method, path, h.Name))
		n.mu.Unlock()
	}
	switch {
	case err != nil:
		out.Error = err.Error()
	case response.BodyErr != nil:
		out.Outcome, out.Error = wire.OutcomeUnknown, response.BodyErr.Error()
	default:
		out.BodyMatches = own(r, response)
	}
	return out
}

// own reports whether a response is the whole one of this request.
func own(r cluster.Request, response cluster.Response) bool {
	e, err := response.Echo()
	end := fmt.Sprintf("chunk %d of %d of %s\n", parts, parts, e.RequestID)
	return err == nil && e.Caller == string(r.Caller) && e.Body == r.Body && strings.HasSuffix(response.Body, end)
}

// longestGap returns the longest time after from in which a key was not served.
// It waits until each key has been served after until.
func (n *network) longestGap(from, until clock.Millis) clock.Millis {
	n.t.Helper()
	var longest clock.Millis
	n.wait("each key is served", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		longest = 0
		for i := range keys {
			last := from
			for _, at := range n.complete[key(i)] {
				if at <= last {
					continue
				}
				longest = max(longest, at-last)
				last = at
			}
			if last <= until {
				return false
			}
		}
		return true
	})
	return longest
}

// wait returns once ok holds.
func (n *network) wait(what string, ok func() bool) {
	n.t.Helper()
	n.waitFor(what, limit, ok)
}

// waitFor fails the test when ok does not hold within the bound of a promise.
func (n *network) waitFor(what string, bound time.Duration, ok func() bool) clock.Millis {
	n.t.Helper()
	began := clock.System().Now()
	ctx, cancel := context.WithTimeout(n.ctx, bound)
	defer cancel()
	for !ok() {
		if clock.System().Sleep(ctx, poll) != nil {
			n.t.Fatalf("not within %s: %s", bound, what)
		}
	}
	return clock.System().Now() - began
}

// hold lets a fault last.
func (n *network) hold(d clock.Millis) { _ = clock.System().Sleep(n.ctx, d) }

func (n *network) metric(a wire.Address, name string) int { return metricOf(n.ctx, a, name) }

// metricOf reads a metric, with its labels if it has any, or returns -1 if the
// process does not answer.
func metricOf(ctx context.Context, a wire.Address, name string) int {
	response, err := (&cluster.Host{Caller: a}).Do(ctx, cluster.Request{Method: http.MethodGet, Path: "/metrics"})
	if err != nil {
		return -1
	}
	for line := range strings.Lines(response.Body) {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			f, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
			if err != nil {
				return -1
			}
			return int(f)
		}
	}
	return -1
}

func (n *network) term(r *cluster.Replica) int {
	return n.metric(r.Metrics, "gentiansail_control_term")
}

func (n *network) revision(h *cluster.Host) int {
	return n.metric(h.Metrics, "gentiansail_node_revision_in_force")
}

// leader returns the leader and the other replicas.
func (n *network) leader() (*cluster.Replica, []*cluster.Replica) {
	n.t.Helper()
	for {
		s, err := n.Operator().FetchStatus(n.ctx)
		qt.Assert(n.t, err, qt.IsNil)
		i := slices.IndexFunc(s.Replicas, func(r wire.ReplicaStatus) bool { return r.Leader })
		if i < 0 {
			continue
		}
		k := slices.IndexFunc(n.Replicas, func(r *cluster.Replica) bool { return r.Name == s.Replicas[i].Name })
		return n.Replicas[k], n.others(n.Replicas[k])
	}
}

func (n *network) others(r *cluster.Replica) []*cluster.Replica {
	return slices.DeleteFunc(slices.Clone(n.Replicas), func(o *cluster.Replica) bool { return o == r })
}

// ends returns all ends that a replica has links to.
func (n *network) around(r *cluster.Replica) []cluster.End {
	var out []cluster.End
	for _, o := range n.others(r) {
		out = append(out, cluster.End(o.Name))
	}
	for _, h := range n.Hosts {
		out = append(out, cluster.End(h.Name))
	}
	return out
}

// cut cuts a replica from all others and from the nodes: what it sends, what it
// gets, or both.
func (n *network) cut(r *cluster.Replica, out, in bool) {
	n.t.Helper()
	for _, e := range n.around(r) {
		if out {
			qt.Assert(n.t, n.CutOneWay(cluster.End(r.Name), e), qt.IsNil)
		}
		if in {
			qt.Assert(n.t, n.CutOneWay(e, cluster.End(r.Name)), qt.IsNil)
		}
	}
}

func (n *network) heal(r *cluster.Replica) {
	for _, e := range n.around(r) {
		n.Heal(n.ctx, cluster.End(r.Name), e)
	}
}

// cutNode cuts a node from all control replicas.
func (n *network) cutNode(h *cluster.Host) {
	n.t.Helper()
	for _, r := range n.Replicas {
		qt.Assert(n.t, n.Cut(cluster.End(h.Name), cluster.End(r.Name)), qt.IsNil)
	}
}

func (n *network) healNode(h *cluster.Host) {
	for _, r := range n.Replicas {
		n.Heal(n.ctx, cluster.End(h.Name), cluster.End(r.Name))
	}
}
