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
	// keys is the number of keys in use.
	keys = 24
	// parts is the number of chunks of a response.
	parts = 3
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// deadline is the deadline of each attempt.
	deadline clock.Millis = 3000
	// overdue is the time after its deadline at which a request without a response
	// counts as hanging; it allows for a busy host.
	overdue clock.Millis = 3000
	// pause is the time between two requests of one worker.
	pause clock.Millis = 10
	// keyPause is the time between two requests for one key.
	keyPause clock.Millis = 100
	// poll is the interval at which a wait checks its condition.
	poll clock.Millis = 20
)

// network is a running system behind links with injected faults, with load on it
// and a record of all responses.
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

// startNetwork starts a system whose targets do not check grants, so that the router
// alone must keep the guarantees. It starts no load.
func startNetwork(t *testing.T) *network {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
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

// startLoad sends requests through the hosts until stopAndCheck.
func (n *network) startLoad(hosts ...*cluster.Host) {
	for w := range 6 {
		n.group.Go(func() {
			for i := w; n.loading.Err() == nil; i++ {
				n.sendUntilComplete(w%3 == 0, i, hosts)
				_ = clock.System().Sleep(n.loading, pause)
			}
		})
	}
}

// startLoadOnEachKey sends requests for each key from a worker of its own until
// stopAndCheck, so that a key that waits for its owner does not delay the others.
func (n *network) startLoadOnEachKey(hosts ...*cluster.Host) {
	for k := range keys {
		n.group.Go(func() {
			for i := k; n.loading.Err() == nil; i++ {
				n.send(hosts[i%len(hosts)], n.request(http.MethodGet, key(k), ""))
				_ = clock.System().Sleep(n.loading, keyPause)
			}
		})
	}
}

// stopAndCheck ends the load and checks the responses against the recorded runs.
func (n *network) stopAndCheck() {
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
		n.t.Error("no response in time: " + h)
	}
	outcomes := make(map[wire.Outcome]int)
	for _, r := range n.responses {
		outcomes[r.Outcome]++
	}
	n.t.Logf("%d runs, responses by outcome: %v", len(runs), outcomes)
	qt.Assert(n.t, outcomes[wire.OutcomeComplete] > 0, qt.IsTrue)
	qt.Assert(n.t, len(runs) > 0, qt.IsTrue)
}

// key returns the key with the number i modulo keys.
func key(i int) string { return fmt.Sprintf("request-%d", i%keys) }

// sendUntilComplete sends a request through one host after the other until it is
// complete or maxAttempts is reached. Each attempt of a repeatable request has its own
// path, because each may run; the attempts of a request that must not repeat share
// path and idempotency key.
func (n *network) sendUntilComplete(mustNotRepeat bool, i int, hosts []*cluster.Host) {
	if mustNotRepeat {
		n.sendOnce(key(i), i, hosts)
		return
	}
	for a := range maxAttempts {
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

// send sends a request once and records the response.
func (n *network) send(h *cluster.Host, r cluster.Request) history.Response {
	out := n.sendAttempt(h, r)
	n.record(r, out)
	return out
}

// sendOnce sends a request that must not repeat until it is complete or maxAttempts
// is reached. It records the request as not run only if every attempt was not run.
func (n *network) sendOnce(key string, i int, hosts []*cluster.Host) history.Response {
	r := n.request(http.MethodPost, key, "")
	return n.resend(r, i, hosts)
}

// resend sends a request that must not repeat as sendOnce does, starting with the
// host with the number i.
func (n *network) resend(r cluster.Request, i int, hosts []*cluster.Host) history.Response {
	var last history.Response
	mayHaveRun := false
	for a := range maxAttempts {
		last = n.sendAttempt(hosts[(i+a)%len(hosts)], r)
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

// record records the response to a request.
func (n *network) record(r cluster.Request, out history.Response) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.responses = append(n.responses, out)
	if out.Outcome == wire.OutcomeComplete && out.Whole {
		k := strings.Split(r.Path, "/")[2]
		n.complete[k] = append(n.complete[k], clock.System().Now())
	}
}

// sendAttempt sends a request once. The outcome of a truncated response is unknown.
func (n *network) sendAttempt(h *cluster.Host, r cluster.Request) history.Response {
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
		out.BodyMatches = isOwnResponse(r, response)
	}
	return out
}

// isOwnResponse reports whether a response is complete and belongs to the request.
func isOwnResponse(r cluster.Request, response cluster.Response) bool {
	e, err := response.Echo()
	end := fmt.Sprintf("chunk %d of %d of %s\n", parts, parts, e.RequestID)
	return err == nil && e.Caller == string(r.Caller) && e.Body == r.Body && strings.HasSuffix(response.Body, end)
}

// longestGap waits until each key has been served after the time until. It returns
// the longest time after from in which a key was not served.
func (n *network) longestGap(from, until clock.Millis) clock.Millis {
	n.t.Helper()
	var longest clock.Millis
	n.waitUntil("each key is served", func() bool {
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

// waitUntil waits until ok returns true.
func (n *network) waitUntil(what string, ok func() bool) {
	n.t.Helper()
	n.waitWithin(what, testTimeout, ok)
}

// waitWithin waits until ok returns true, and returns the time that this took. It
// fails the test if that exceeds the bound.
func (n *network) waitWithin(what string, bound time.Duration, ok func() bool) clock.Millis {
	n.t.Helper()
	began := clock.System().Now()
	ctx, cancel := context.WithTimeout(n.ctx, bound)
	defer cancel()
	for !ok() {
		if clock.System().Sleep(ctx, poll) != nil {
			n.t.Fatalf("not reached within %s: %s", bound, what)
		}
	}
	return clock.System().Now() - began
}

// sleep waits for d, or until the test ends.
func (n *network) sleep(d clock.Millis) { _ = clock.System().Sleep(n.ctx, d) }

func (n *network) metric(a wire.Address, name string) int { return metricOf(n.ctx, a, name) }

// metricOf returns the value of a metric, whose name includes its labels. It returns
// -1 if the process does not respond or has no such metric.
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

// term returns the current term of a replica.
func (n *network) term(r *cluster.Replica) int {
	return n.metric(r.Metrics, "gentiansail_control_term")
}

// revision returns the revision in force on a host's node.
func (n *network) revision(h *cluster.Host) int {
	return n.metric(h.Metrics, "gentiansail_node_revision_in_force")
}

// leader waits until there is a leader. It returns the leader and the other replicas.
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

// others returns all replicas but r.
func (n *network) others(r *cluster.Replica) []*cluster.Replica {
	return slices.DeleteFunc(slices.Clone(n.Replicas), func(o *cluster.Replica) bool { return o == r })
}

// linkedEnds returns the ends of all links of a replica.
func (n *network) linkedEnds(r *cluster.Replica) []cluster.Endpoint {
	var out []cluster.Endpoint
	for _, o := range n.others(r) {
		out = append(out, cluster.Endpoint(o.Name))
	}
	for _, h := range n.Hosts {
		out = append(out, cluster.Endpoint(h.Name))
	}
	return out
}

// cut drops the traffic between a replica and all other replicas and nodes: what the
// replica sends if out is set, what it receives if in is set.
func (n *network) cut(r *cluster.Replica, out, in bool) {
	n.t.Helper()
	for _, e := range n.linkedEnds(r) {
		if out {
			qt.Assert(n.t, n.CutOneWay(cluster.Endpoint(r.Name), e), qt.IsNil)
		}
		if in {
			qt.Assert(n.t, n.CutOneWay(e, cluster.Endpoint(r.Name)), qt.IsNil)
		}
	}
}

// heal reverts cut.
func (n *network) heal(r *cluster.Replica) {
	for _, e := range n.linkedEnds(r) {
		n.Heal(n.ctx, cluster.Endpoint(r.Name), e)
	}
}

// cutNode cuts a node from all control replicas.
func (n *network) cutNode(h *cluster.Host) {
	n.t.Helper()
	for _, r := range n.Replicas {
		qt.Assert(n.t, n.Cut(cluster.Endpoint(h.Name), cluster.Endpoint(r.Name)), qt.IsNil)
	}
}

// healNode reverts cutNode.
func (n *network) healNode(h *cluster.Host) {
	for _, r := range n.Replicas {
		n.Heal(n.ctx, cluster.Endpoint(h.Name), cluster.Endpoint(r.Name))
	}
}
