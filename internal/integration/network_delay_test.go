package integration

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	target "github.com/gentiansail/gentiansail/internal/standin"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// frozen describes the only fault that leaves the node's connections open.
const frozen = "frozen"

// Guards against keys with two owners, false "not run" outcomes and second runs of
// operations when a request is delayed between the owning node's last check of its
// lease and its arrival at the target: the bytes of written requests are held back
// until another owner has served the key.
//
// A target that checks grants must reject them. A target that does not check grants
// runs them, and no caller may get the response of such a run as complete.
func TestNetworkDelayedRequests(t *testing.T) {
	f := startFaultsWith(t, cluster.Options{Services: mixedServices(), Links: true})
	for _, service := range []wire.ServiceName{"catalogue", "archive"} {
		f.testDelay(service, frozen, func(h *cluster.Host) { h.Node.Pause() }, func(h *cluster.Host) { h.Node.Resume() })
		f.testDelay(service, "cut from control", f.cutFromControl, f.healControl)
	}
	f.finish(f.allowUncheckedStaleRun)
}

// testDelay holds back requests that the owning node has written to its target until
// the node has lost its lease and other hosts own its partitions. lose causes the
// loss of the lease and restore ends it.
func (f *faults) testDelay(service wire.ServiceName, how string, lose, restore func(*cluster.Host)) {
	f.t.Helper()
	f.awaitReady()
	owner, through := f.owner(service)
	what := fmt.Sprintf("bytes to %s held, node %s", owner.Target.Name, how)
	f.setCurrentFault(what)
	key := f.keyOf(service, owner)
	name := cluster.Endpoint(owner.Name)
	link := f.Link(name, name+"-target")
	responses, err := link.Record(cluster.Responses)
	qt.Assert(f.t, err, qt.IsNil)
	heldBytes, err := link.Hold(cluster.Requests)
	qt.Assert(f.t, err, qt.IsNil)
	requests := f.sendEachMethod(service, key, owner, through)
	f.waitUntil("the requests are written", func() bool {
		return !slices.ContainsFunc(requests, func(h inFlightRequest) bool { return heldBytes.Count(h.request.path) == 0 })
	})
	lostAt := time.Now()
	lose(owner)
	f.checkKeysServed(what, service, lostAt, through)
	f.await("the node owns no partitions", func(s wire.StatusResponse) bool {
		i := slices.IndexFunc(s.Nodes, func(n wire.NodeStatus) bool { return n.Node == owner.Name })
		return i < 0 || s.Nodes[i].Owned == 0
	})
	qt.Assert(f.t, heldBytes.Stop(f.ctx), qt.IsNil)
	f.awaitArrival(service, owner, requests, responses, how == frozen)
	restore(owner)
	link.Heal(f.ctx)
	f.awaitResponses(requests)
	f.awaitReady()
}

// awaitArrival waits until the target has rejected or run the delayed requests. It
// does not wait for rejections if the node was running when its lease ended: such a
// node closes the connections, so that rejections do not come back. The check of
// the history decides whether a request was allowed to run.
func (f *faults) awaitArrival(service wire.ServiceName, owner *cluster.Host, requests []inFlightRequest, responses *cluster.Recording, connected bool) {
	f.t.Helper()
	if service == "catalogue" && !connected {
		return
	}
	f.waitUntil("the delayed requests have arrived", func() bool {
		runs := f.runsOf(owner)
		arrived := responses.Count(header.Rejected + ": " + header.RejectedGrant)
		for _, h := range requests {
			if slices.ContainsFunc(runs, func(r target.Run) bool { return r.Caller == string(h.request.caller) && r.End != 0 }) {
				arrived++
			}
		}
		return arrived >= len(requests)
	})
}

// cutFromControl cuts a node from all control replicas.
func (f *faults) cutFromControl(h *cluster.Host) {
	f.t.Helper()
	for _, r := range f.Replicas {
		qt.Assert(f.t, f.Cut(cluster.Endpoint(h.Name), cluster.Endpoint(r.Name)), qt.IsNil)
	}
}

// healControl reverts cutFromControl.
func (f *faults) healControl(h *cluster.Host) {
	for _, r := range f.Replicas {
		f.Heal(f.ctx, cluster.Endpoint(h.Name), cluster.Endpoint(r.Name))
	}
}

// sendEachMethod sends requests of each method for a key through each of the hosts.
func (f *faults) sendEachMethod(service wire.ServiceName, key string, hosts ...*cluster.Host) []inFlightRequest {
	var out []inFlightRequest
	for _, h := range hosts {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for range inFlightPerKind {
				q := f.request(method, string(service), "")
				q.path = fmt.Sprintf("/%s/%s/%s?chunks=2&delay=1", service, key, q.caller)
				q.deadline = inFlightDeadline
				request := inFlightRequest{q, make(chan cluster.Response, 1)}
				out = append(out, request)
				go func() {
					r := f.send(h, q)
					if r.Outcome != wire.OutcomeComplete || r.BodyErr != nil {
						r = f.sendUntilFinal(f.ctx, q)
					}
					request.response <- r
				}()
			}
		}
	}
	return out
}

// keyOf waits until the host owns a key, and returns the key.
func (f *faults) keyOf(service wire.ServiceName, h *cluster.Host) string {
	f.t.Helper()
	found := ""
	f.waitUntil(fmt.Sprintf("%s owns a key", h.Name), func() bool {
		for k := range faultKeys {
			o, err := f.Operator().FetchOwner(f.ctx, service, faultKey(k))
			qt.Assert(f.t, err, qt.IsNil)
			if o.Member != nil && o.Member.Node == h.Name {
				found = faultKey(k)
			}
		}
		return found != ""
	})
	return found
}

// waitUntil waits until ok returns true.
func (f *faults) waitUntil(what string, ok func() bool) {
	f.t.Helper()
	for !ok() {
		qt.Assert(f.t, clock.System().Sleep(f.ctx, poll), qt.IsNil, qt.Commentf("not yet: %s", what))
	}
}
