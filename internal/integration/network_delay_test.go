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

// frozen names the loss that leaves the node's connections open.
const frozen = "frozen"

// Guards P1, P4 and P5 against a delay between the owning node's last look at its
// lease and the arrival of the request at the target: the bytes of requests that
// have been written are held until the key has another owner that has served it.
//
// A target that checks grants must refuse them. One that does not runs them, and
// no caller may get the response of such a run as complete.
func TestNetworkDelayedRequests(t *testing.T) {
	f := startFaultsWith(t, cluster.Options{Services: mixed(), Links: true})
	for _, service := range []wire.ServiceName{"catalogue", "archive"} {
		f.delay(service, frozen, func(h *cluster.Host) { h.Node.Pause() }, func(h *cluster.Host) { h.Node.Resume() })
		f.delay(service, "cut from control", f.cutFromControl, f.healControl)
	}
	f.finish(f.unfenced)
}

// delay holds what the owning node has written to its target, until the key has
// another owner because the node lost its lease.
func (f *faults) delay(service wire.ServiceName, how string, lose, restore func(*cluster.Host)) {
	f.t.Helper()
	f.ready()
	owner, through := f.owner(service)
	what := fmt.Sprintf("bytes to %s held, node %s", owner.Target.Name, how)
	f.begin(what)
	key := f.keyOf(service, owner)
	name := cluster.End(owner.Name)
	link := f.Link(name, name+"-target")
	answers, err := link.Record(cluster.Responses)
	qt.Assert(f.t, err, qt.IsNil)
	bytes, err := link.Hold(cluster.Requests)
	qt.Assert(f.t, err, qt.IsNil)
	requests := f.sendEach(service, key, owner, through)
	f.until("the requests are written", func() bool {
		return !slices.ContainsFunc(requests, func(h held) bool { return bytes.Count(h.request.path) == 0 })
	})
	lost := time.Now()
	lose(owner)
	f.servedAgain(what, service, lost, through)
	f.await("its node owns nothing", func(s wire.StatusResponse) bool {
		i := slices.IndexFunc(s.Nodes, func(n wire.NodeStatus) bool { return n.Node == owner.Name })
		return i < 0 || s.Nodes[i].Owned == 0
	})
	qt.Assert(f.t, bytes.End(f.ctx), qt.IsNil)
	f.arrived(service, owner, requests, answers, how == frozen)
	restore(owner)
	link.Heal(f.ctx)
	f.settled(requests)
	f.ready()
}

// arrived waits until the target has refused or run the delayed requests. A node
// that runs has closed their connections when its lease ended, so that refusals
// do not come back. Whether a request could run is for the history to decide.
func (f *faults) arrived(service wire.ServiceName, owner *cluster.Host, requests []held, answers *cluster.Recording, connected bool) {
	f.t.Helper()
	if service == "catalogue" && !connected {
		return
	}
	f.until("the delayed requests have arrived", func() bool {
		runs := f.runsOf(owner)
		arrived := answers.Count(header.Rejected + ": " + header.RejectedGrant)
		for _, h := range requests {
			if slices.ContainsFunc(runs, func(r target.Run) bool { return r.Caller == string(h.request.caller) && r.End != 0 }) {
				arrived++
			}
		}
		return arrived >= len(requests)
	})
}

func (f *faults) cutFromControl(h *cluster.Host) {
	f.t.Helper()
	for _, r := range f.Replicas {
		qt.Assert(f.t, f.Cut(cluster.End(h.Name), cluster.End(r.Name)), qt.IsNil)
	}
}

func (f *faults) healControl(h *cluster.Host) {
	for _, r := range f.Replicas {
		f.Heal(f.ctx, cluster.End(h.Name), cluster.End(r.Name))
	}
}

// sendEach sends requests of each method for a key through each of the hosts.
func (f *faults) sendEach(service wire.ServiceName, key string, hosts ...*cluster.Host) []held {
	var out []held
	for _, h := range hosts {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for range heldEach {
				q := f.request(method, string(service), "")
				q.path = fmt.Sprintf("/%s/%s/%s?chunks=2&delay=1", service, key, q.caller)
				q.deadline = heldDeadline
				v := held{q, make(chan cluster.Response, 1)}
				out = append(out, v)
				go func() {
					r := f.send(h, q)
					if r.Outcome != wire.OutcomeComplete || r.BodyErr != nil {
						r = f.settle(f.ctx, q)
					}
					v.response <- r
				}()
			}
		}
	}
	return out
}

// keyOf returns a key that the host owns.
func (f *faults) keyOf(service wire.ServiceName, h *cluster.Host) string {
	f.t.Helper()
	found := ""
	f.until(fmt.Sprintf("%s owns a key", h.Name), func() bool {
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

// until returns once ok holds.
func (f *faults) until(what string, ok func() bool) {
	f.t.Helper()
	for !ok() {
		qt.Assert(f.t, clock.System().Sleep(f.ctx, poll), qt.IsNil, qt.Commentf("not yet: %s", what))
	}
}
