package integration

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2/toxics"
	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Flags of TestSoak, after the package: go test ./internal/integration -run TestSoak -soak.seeds 50
var (
	soakFirst  = flag.Uint64("soak.first", 1, "first seed")
	soakSeeds  = flag.Int("soak.seeds", 2, "number of seeds")
	soakFaults = flag.Int("soak.faults", 12, "faults for each seed")
	soakScale  = flag.Int("soak.scale", 1, "multiplies the targets of each service")
)

// Guards against promises that are broken only when faults overlap: processes are paused,
// killed and stopped, links are cut, delayed and silenced, and the configuration is changed,
// at random times under load. At the end all faults end, and the history of runs and
// responses is checked.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			services := maps.Clone(mixedServices())
			for name, s := range services {
				s.Targets *= *soakScale
				services[name] = s
			}
			s := &soak{faults: startFaultsWith(t, cluster.Options{Services: services, Links: true}), random: rand.New(rand.NewPCG(seed, 0)), disturbed: map[string]bool{}, revision: 1}
			for range *soakFaults {
				s.begin()
				_ = clock.System().Sleep(s.ctx, s.between(0, 1200))
			}
			s.active.Wait()
			s.awaitReady()
			s.await("acknowledged revisions are kept", func(r wire.StatusResponse) bool { return r.Revision >= s.revision })
			s.finish(s.allowUncheckedStaleRun)
		})
	}
}

// soak disturbs a running system at random.
type soak struct {
	*faults
	random *rand.Rand
	active sync.WaitGroup

	mu sync.Mutex
	// disturbed are the processes and links with a fault in progress.
	disturbed map[string]bool
	// revision is the newest revision that was seen after its change had been acknowledged.
	// Only one change is in progress at a time.
	revision wire.Revision
}

// soakFault is a fault of a process, or of one or more links.
type soakFault struct {
	name       string
	what       []string
	begin, end func() error
}

// between returns a random duration from low to high.
func (s *soak) between(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(s.random.Int64N(int64(high-low+1)))
}

// begin begins a random fault, which ends by itself. It does nothing if its process or one
// of its links has a fault already: the proxy library panics when a link that one of two
// faults has closed gets a third (seed 15 of the schedule without this check).
func (s *soak) begin() {
	all := append(s.processFaults(), s.linkFaults()...)
	// Leases and elections take up to 2 s, so that many faults outlast them.
	x, duration := all[s.random.IntN(len(all))], s.between(200, 5000)
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(x.what, func(name string) bool { return s.disturbed[name] }) {
		return
	}
	for _, name := range x.what {
		s.disturbed[name] = true
	}
	s.t.Logf("%s: %s of %s for %d ms", time.Now().Format("15:04:05.000"), x.name, strings.Join(x.what, ", "), duration)
	s.active.Go(func() {
		qt.Check(s.t, x.begin(), qt.IsNil, qt.Commentf("begin of %s of %s", x.name, x.what))
		_ = clock.System().Sleep(s.ctx, duration)
		qt.Check(s.t, x.end(), qt.IsNil, qt.Commentf("end of %s of %s", x.name, x.what))
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, name := range x.what {
			delete(s.disturbed, name)
		}
	})
}

// processFaults returns the faults of one random process.
func (s *soak) processFaults() []soakFault {
	h := s.Hosts[s.random.IntN(len(s.Hosts))]
	processes := []*cluster.Process{h.Node, h.Target, s.Replicas[s.random.IntN(len(s.Replicas))].Process}
	p := processes[s.random.IntN(len(processes))]
	start := func() error { return p.Start(s.ctx) }
	return []soakFault{
		{"pause", []string{p.Name}, func() error { p.Pause(); return nil }, func() error { p.Resume(); return nil }},
		{"kill", []string{p.Name}, func() error { p.Kill(); return nil }, start},
		{"stop", []string{p.Name}, func() error { return p.Stop(s.ctx) }, start},
	}
}

// linkFaults returns the faults of random links of one node, and a change of the
// configuration.
func (s *soak) linkFaults() []soakFault {
	h := s.Hosts[s.random.IntN(len(s.Hosts))]
	node := cluster.Endpoint(h.Name)
	replica := cluster.Endpoint(s.Replicas[s.random.IntN(len(s.Replicas))].Name)
	target, other := node+"-target", cluster.Endpoint(s.Hosts[s.random.IntN(len(s.Hosts))].Name)
	toControl, toTarget := []string{string(node + " to " + replica)}, []string{string(node + " to " + target)}
	var toAllOfControl []string
	for _, r := range s.Replicas {
		toAllOfControl = append(toAllOfControl, string(node+" to "+cluster.Endpoint(r.Name)))
	}
	betweenNodes := []string{string(min(node, other) + " to " + max(node, other))}
	heal := func(a, b cluster.Endpoint) func() error {
		return func() error { s.Heal(s.ctx, a, b); return nil }
	}
	latency := &toxics.LatencyToxic{Latency: int64(s.between(20, 400)), Jitter: 20}
	delayed := s.Link(node, target)
	return []soakFault{
		{"cut", toAllOfControl, func() error { s.cutFromControl(h); return nil }, func() error { s.healControl(h); return nil }},
		{"cut", toControl, func() error { return s.Cut(node, replica) }, heal(node, replica)},
		{"cut one way", toControl, func() error { return s.CutOneWay(replica, node) }, heal(node, replica)},
		{"silence of open connections", toControl, s.Link(node, replica).BlackholeOpen, heal(node, replica)},
		{"silence of open connections", toTarget, delayed.BlackholeOpen, heal(node, target)},
		{"delay", toTarget, func() error { return delayed.Add(cluster.Responses, "latency", latency) }, heal(node, target)},
		{"cut", betweenNodes, func() error { return s.cutPeers(node, other) }, heal(node, other)},
		{"change", []string{"configuration"}, s.change, func() error { return nil }},
	}
}

// cutPeers cuts two nodes from each other.
func (s *soak) cutPeers(a, b cluster.Endpoint) error {
	if a == b || s.Link(a, b) == nil && s.Link(b, a) == nil {
		return nil
	}
	return s.Cut(a, b)
}

// change applies the configuration once more, as a new revision. It may fail while the
// control group has no leader.
func (s *soak) change() error {
	ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
	defer cancel()
	if err := s.Apply(ctx, s.config); err != nil {
		s.t.Logf("change not accepted: %v", err)
		return nil
	}
	s.await("the accepted change is in the status", func(r wire.StatusResponse) bool {
		if r.Revision <= s.revision {
			return false
		}
		s.revision = r.Revision
		return true
	})
	return nil
}
