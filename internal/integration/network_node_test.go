package integration

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/integration/history"
	target "github.com/gentiansail/gentiansail/internal/standin"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/lease"
)

// maxStartDelay bounds the time between a node's check of its lease and the start of
// the run that the target records; it allows for late scheduling on a busy host.
const maxStartDelay clock.Millis = 500

// Guards against keys with two owners and false "not run" outcomes: a node that is cut
// off from the control group must not serve keys after its lease has expired and other
// nodes own them. Callers and other nodes still reach it.
func TestNetworkNodeCutFromControl(t *testing.T) {
	n := startNetwork(t)
	h := n.Hosts[0]
	n.startLoad(n.Hosts...)
	// The cut node first waits for the new owners of the keys that it has lost, then
	// rejects requests for them as not run. The other nodes serve them.
	n.startLoadOnEachKey(n.Hosts[1:]...)
	owned := n.keysOf(h)
	before := n.incarnation(h)
	n.waitUntil("the node runs requests", func() bool { return len(n.runs(h)) > 0 })

	cutAt := clock.System().Now()
	n.cutNode(h)
	expiresAt := clock.System().Wall() + clock.UnixMillis(lease.DefaultTerms.MaxDuration())
	n.waitUntil("the keys have other owners", func() bool { return len(n.keysOf(h)) == 0 })
	gap := n.longestGap(cutAt, clock.System().Now())
	t.Logf("%d keys moved; a key was not served for at most %d ms", len(owned), gap)
	qt.Check(t, gap <= maxKeyOutage, qt.IsTrue, qt.Commentf("a key was not served for %d ms", gap))
	// Load continues through the cut node and to it.
	n.sleep(overThreeLeases)
	for _, r := range n.runs(h) {
		if r.Start > expiresAt+clock.UnixMillis(maxStartDelay) {
			t.Errorf("%s began %d ms after the lease had expired", r.Path, r.Start-expiresAt)
		}
	}

	n.healNode(h)
	n.waitUntil("the node has a new incarnation", func() bool {
		now := n.incarnation(h)
		return now != "" && now != before
	})
	n.keyOf(h)
	qt.Assert(t, n.WaitReady(n.ctx), qt.IsNil)
	n.stopAndCheck()
}

// keyOf waits until the host's target owns a key, and returns the key. A target whose
// probes failed has lost its keys, and is assigned some again later.
func (n *network) keyOf(h *cluster.Host) string {
	n.t.Helper()
	var out []string
	n.waitUntil(fmt.Sprintf("%s owns a key", h.Name), func() bool {
		out = n.keysOf(h)
		return len(out) > 0
	})
	return out[0]
}

// keysOf returns the keys that the host's target owns.
func (n *network) keysOf(h *cluster.Host) []string {
	n.t.Helper()
	var out []string
	for i := range keys {
		o, err := n.Operator().FetchOwner(n.ctx, "catalogue", key(i))
		qt.Assert(n.t, err, qt.IsNil)
		if o.Member != nil && o.Member.Node == h.Name {
			out = append(out, key(i))
		}
	}
	return out
}

// incarnation returns the registered incarnation of the host's target, or "".
func (n *network) incarnation(h *cluster.Host) wire.Incarnation {
	n.t.Helper()
	s, err := n.Operator().FetchStatus(n.ctx)
	qt.Assert(n.t, err, qt.IsNil)
	for _, v := range s.Nodes {
		if v.Node == h.Name && v.Member != nil {
			return v.Member.Incarnation
		}
	}
	return ""
}

// runs returns the runs of a host's current target process.
func (n *network) runs(h *cluster.Host) []target.Run {
	n.t.Helper()
	runs, err := h.Runs(n.ctx)
	qt.Assert(n.t, err, qt.IsNil)
	return runs
}

// slowWork makes a request run for 1000 ms, so that it is in flight during a fault.
const slowWork = "&work=1000"

// Guards against open connections that stop passing data for good while new ones
// work: a request must not hang on such a connection, and a repeatable one must be
// sent again.
func TestNetworkSilentConnections(t *testing.T) {
	n := startNetwork(t)
	n.startLoad(n.Hosts...)
	ingress, owner := n.Hosts[0], n.Hosts[1]
	name := cluster.Endpoint(owner.Name)
	var control []*cluster.Link
	for _, h := range n.Hosts {
		for _, r := range n.Replicas {
			control = append(control, n.Link(cluster.Endpoint(h.Name), cluster.Endpoint(r.Name)))
		}
	}
	tests := []struct {
		name  string
		links []*cluster.Link
	}{
		{"node to node", []*cluster.Link{n.Link(cluster.Peers, name)}},
		{"node to control", control},
		{"node to target", []*cluster.Link{n.Link(name, name+"-target")}},
	}
	for _, tt := range tests {
		began := clock.System().Now()
		responses := n.blackholeConnections(ingress, owner, tt.links)
		for r, out := range responses {
			t.Logf("%s: %s: %s after %d ms", tt.name, r.method, out.Outcome, out.latency)
			qt.Check(t, out.Outcome != wire.OutcomeNotRun, qt.IsTrue, qt.Commentf("%s: %s: %s", tt.name, r.method, out.Sent))
			if r.method == http.MethodGet {
				qt.Check(t, out.Outcome, qt.Equals, wire.OutcomeComplete, qt.Commentf("%s: %s", tt.name, out.Error))
			}
		}
		gap := n.longestGap(began, clock.System().Now())
		t.Logf("%s: a key was not served for at most %d ms", tt.name, gap)
		qt.Check(t, gap <= maxKeyOutage, qt.IsTrue, qt.Commentf("%s: a key was not served for %d ms", tt.name, gap))
		for _, l := range tt.links {
			l.Heal(n.ctx)
		}
		qt.Assert(t, n.WaitReady(n.ctx), qt.IsNil)
	}
	n.stopAndCheck()
}

// slowRequestID identifies a slow request by its method and its number.
type slowRequestID struct {
	method string
	number int
}

// timedResponse is a response and the time until it arrived.
type timedResponse struct {
	history.Response
	latency clock.Millis
}

// slowRequests is a set of requests for one key that run for long at its target.
type slowRequests struct {
	paths []string
	done  chan struct{}

	mu        sync.Mutex
	responses map[slowRequestID]timedResponse
}

// startSlow sends two requests of each method through the ingress node.
func (n *network) startSlow(ingress *cluster.Host, k string) *slowRequests {
	s := &slowRequests{done: make(chan struct{}), responses: make(map[slowRequestID]timedResponse)}
	var group sync.WaitGroup
	for i := range 2 {
		for _, m := range []string{http.MethodGet, http.MethodPost} {
			r := n.request(m, k, slowWork)
			r.Deadline = deadline + 1000
			s.paths = append(s.paths, pathOf(r))
			group.Go(func() {
				began := clock.System().Now()
				response := n.send(ingress, r)
				s.mu.Lock()
				defer s.mu.Unlock()
				s.responses[slowRequestID{m, i}] = timedResponse{response, clock.System().Now() - began}
			})
		}
	}
	go func() {
		group.Wait()
		close(s.done)
	}()
	return s
}

// awaitRunning waits until all requests run at the host at the same time, or all have
// ended. It reports whether they run.
func (n *network) awaitRunning(h *cluster.Host, s *slowRequests) bool {
	n.t.Helper()
	running := 0
	n.waitUntil("the requests run or have ended", func() bool {
		running = 0
		for _, r := range n.runs(h) {
			if slices.Contains(s.paths, r.Path) && r.End == 0 {
				running++
			}
		}
		select {
		case <-s.done:
			return true
		default:
			return running == len(s.paths)
		}
	})
	return running == len(s.paths)
}

// maxMoveRetries bounds the attempts that fail because a key moved before its
// requests ran.
const maxMoveRetries = 10

// blackholeConnections stops all data on the open connections of the links while
// requests from ingress run at the target of owner, and returns their responses. If
// the key moves between the lookup of its owner and the requests, as a planned move
// or because of the previous fault, it tries another key.
func (n *network) blackholeConnections(ingress, owner *cluster.Host, links []*cluster.Link) map[slowRequestID]timedResponse {
	n.t.Helper()
	for range maxMoveRetries {
		k := n.keyOf(owner)
		s := n.startSlow(ingress, k)
		if !n.awaitRunning(owner, s) {
			n.t.Logf("not all requests for %s ran at %s at once", k, owner.Name)
			continue
		}
		for _, l := range links {
			qt.Assert(n.t, l.BlackholeOpen(), qt.IsNil)
		}
		<-s.done
		return s.responses
	}
	n.t.Fatalf("requests for %d keys did not run at %s", maxMoveRetries, owner.Name)
	return nil
}

// Guards against a caller whose open connection stops passing data, and who then gets
// no response over a new connection or causes a second run.
func TestNetworkSilentCaller(t *testing.T) {
	n := startNetwork(t)
	h := n.Hosts[0]
	r := n.request(http.MethodPost, n.keyOf(h), slowWork)
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		_, err := h.Do(ctx, r)
		done <- err
	}()
	n.waitUntil("the request runs", func() bool { return len(n.runs(h)) == 1 })
	qt.Assert(t, n.Link(cluster.Callers, cluster.Endpoint(h.Name)).BlackholeOpen(), qt.IsNil)
	n.waitUntil("the request has run", func() bool { return n.runs(h)[0].End != 0 })
	for i := range n.Hosts {
		out := n.resend(r, i, n.Hosts)
		qt.Check(t, out.Outcome, qt.Equals, wire.OutcomeComplete, qt.Commentf("%s", out.Error))
		qt.Check(t, out.BodyMatches, qt.IsTrue)
	}
	cancel()
	qt.Check(t, <-done, qt.ErrorMatches, ".*context canceled.*")
	qt.Assert(t, n.runs(h), qt.HasLen, 1)
	n.stopAndCheck()
}

// pathOf returns the path of a request without its query.
func pathOf(r cluster.Request) string {
	path, _, _ := strings.Cut(r.Path, "?")
	return path
}
