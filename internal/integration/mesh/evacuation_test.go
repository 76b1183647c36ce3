package mesh

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/ownership/keyrange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// evacuate sends an order until the leader acknowledges it.
func (s *testMesh) evacuate(domain message.FailureDomain, active bool) {
	s.eventually("the order is acknowledged", func() bool {
		for _, c := range s.cores {
			if out, err := c.Evacuate(s.ctx, domain, active); err == nil {
				qt.Assert(s.t, out.Status, qt.Equals, registry.Done)
				return true
			}
		}
		return false
	})
}

// evacuateBound is shorter than on real deployments, as heartbeats are, to shorten the tests.
const evacuateBound clock.Millis = 2500

var evacuationServices = []struct {
	service message.ServiceName
	path    string
	keyed   bool
}{{"catalogue", "/browse/", true}, {byCallService, "/find/", true}, {"pledges", "/check/", false}}

// startDomains starts a host for each service in failure domain a and then one in b.
func startDomains(t *testing.T, replicas int) (s *testMesh, a, b []*host) {
	s = startMesh(t, replicas)
	s.evacuateBound = evacuateBound
	s.domains = map[int]string{4: "b", 5: "b", 6: "b", 7: "b"}
	for n, x := range evacuationServices {
		a = append(a, s.addHost(n+1, x.service))
		b = append(b, s.addHost(n+4, x.service))
	}
	s.eventually("all keys have an owner and both domains serve", func() bool {
		for n, x := range evacuationServices {
			if x.keyed && (b[n].target.grantedKeys() == 0 || a[n].target.grantedKeys()+b[n].target.grantedKeys() != keyrange.Keys) {
				return false
			}
		}
		return true
	})
	return s, a, b
}

// startCallers lets callers send requests for all services and keys from all hosts until stop is called, and
// counts the requests that are not served.
func (s *testMesh) startCallers(hosts []*host) (failed *atomic.Int64, stop func()) {
	failed = &atomic.Int64{}
	done := make(chan struct{})
	var running sync.WaitGroup
	for h, x := range hosts {
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				y, key := evacuationServices[n%len(evacuationServices)], -1
				if y.keyed {
					key = n * 1013 % keyrange.Keys
				}
				id := fmt.Sprintf("h%d-%d-%d", h, n, time.Now().UnixNano())
				if x.send(http.MethodGet, y.path+id, id, key, "").status != http.StatusOK {
					failed.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return failed, func() {
		close(done)
		running.Wait()
	}
}

func runCount(hosts []*host) int {
	n := 0
	for _, h := range hosts {
		n += len(h.target.runIDs())
	}
	return n
}

// Guards against requests that reach an evacuated failure domain after the bound, from any
// host and also after restarts of its sidecars, its targets and the core; against callers that
// are not served although other targets have room; and against a domain that gets no requests
// after the evacuation has ended.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	s, a, b := startDomains(t, 3)
	failed, stop := s.startCallers(append(append([]*host{}, a...), b[:2]...))
	defer stop()
	s.eventually("the domain runs requests", func() bool { return runCount(b) > 30 })
	s.evacuate("b", true)
	time.Sleep(evacuateBound.Duration())
	ran, served, ranFirst := runCount(b), runCount(a), runCount(b[:2])
	s.eventually("the keys have left the domain", func() bool {
		return a[0].target.grantedKeys() == keyrange.Keys && a[1].target.grantedKeys() == keyrange.Keys && b[0].target.grantedKeys()+b[1].target.grantedKeys() == 0
	})
	failed.Store(0)
	time.Sleep(time.Second)
	qt.Check(t, runCount(b), qt.Equals, ran)
	qt.Check(t, runCount(a) > served+100, qt.IsTrue)
	qt.Check(t, failed.Load(), qt.Equals, int64(0))

	// A restart of a sidecar and its target, and of the whole core.
	b[2].target.crash()
	b[2].stopSidecar()
	qt.Assert(t, <-b[2].sidecarErr, qt.IsNil)
	for i := range s.cores {
		s.stopCore[i]()
	}
	for i, folder := range s.folders {
		s.startCore(i, folder, false)
	}
	b[2] = s.startHost(6, "pledges", 2)
	joined := s.addHost(7, "pledges")
	time.Sleep(time.Second)
	qt.Check(t, runCount(b[:2]), qt.Equals, ranFirst)
	qt.Check(t, runCount([]*host{b[2], joined}), qt.Equals, 0)

	s.evacuate("b", false)
	s.eventually("the domain gets requests and keys again", func() bool {
		return len(b[2].target.runIDs()) > 0 && b[0].target.grantedKeys() > 0 && b[1].target.grantedKeys() > 0
	})
}

// Guards against callers that wait in vain, or are told that their request may have run, if a
// service has targets in an evacuated failure domain only.
func TestNoTargetLeftOutsideEvacuatedDomain(t *testing.T) {
	s := startMesh(t, 1)
	s.evacuateBound, s.domains = evacuateBound, map[int]string{2: "b", 3: "b"}
	near, keyed, other := s.addHost(1, byCallService), s.addHost(2, "catalogue"), s.addHost(3, "pledges")
	s.eventually("the keys have an owner", func() bool { return keyed.target.grantedKeys() == keyrange.Keys })
	s.evacuate("b", true)
	time.Sleep(evacuateBound.Duration())
	ran := runCount([]*host{keyed, other})
	for name, h := range map[string]*host{"from another domain": near, "from the evacuated domain": other} {
		for path, key := range map[string]int{"/browse/": 7, "/check/": -1} {
			start := time.Now()
			x := h.send(http.MethodGet, path+"1", fmt.Sprint(name, path), key, "")
			qt.Check(t, x.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s %s", name, path))
			qt.Check(t, x.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			// Nobody waits for a move of the key.
			qt.Check(t, time.Since(start) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%s %s took %v", name, path, time.Since(start)))
		}
	}
	qt.Check(t, runCount([]*host{keyed, other}), qt.Equals, ran)
	s.evacuate("b", false)
	s.eventually("both services are served again", func() bool {
		id := fmt.Sprint(time.Now().UnixNano())
		return near.send(http.MethodGet, "/browse/"+id, id, 7, "").status == 200 && near.send(http.MethodGet, "/check/"+id, id+"c", -1, "").status == 200
	})
}
