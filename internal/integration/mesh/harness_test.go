// Package mesh tests the core and the sidecars together, in one process on
// loopback, with stand-in targets that check in, hold keys and misbehave on request.
package mesh

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/gentiansail/gentiansail/internal/coordination/core"
	"github.com/gentiansail/gentiansail/internal/coordination/message"
	"github.com/gentiansail/gentiansail/internal/coordination/registry"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/traffic/hop"
	"github.com/gentiansail/gentiansail/internal/traffic/sidecar"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

var names = hop.HeaderNames{
	RequestID: "Test-Id", RemainingMillis: "Test-Left", Key: "Test-Key", CallerService: "Test-Caller",
	Instance: "Test-Instance", Signature: "Test-Signature", NotRun: "Test-Not-Run",
}

// checkInEvery is short so that tests do not wait for the rhythm of real targets.
const checkInEvery = 100 * time.Millisecond

// system is a running mesh.
type system struct {
	t        *testing.T
	peerPort int
	seeds    []string
	cores    []*core.Core
	// stops end the core replicas and wait for their ends.
	stops []func()
	all   sync.WaitGroup
	ctx   context.Context
}

// freePort returns a port that the kernel says is free.
func freePort(t *testing.T) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func listen(t *testing.T, address string) net.Listener {
	l, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	return l
}

// start runs a core of the given size with two services: catalogue, which is divided
// by key, and pledges.
func start(t *testing.T, replicas int) *system {
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{t: t, peerPort: freePort(t), ctx: ctx}
	t.Cleanup(func() {
		cancel()
		s.all.Wait()
	})
	control := freePort(t)
	for i := range replicas {
		s.seeds = append(s.seeds, fmt.Sprintf("127.0.2.%d:%d", i+1, control))
	}
	for i := range replicas {
		s.cores = append(s.cores, nil)
		s.stops = append(s.stops, nil)
		s.startCore(i, t.TempDir(), true)
	}
	s.change(message.ConfigurationChange{
		Version: 1, Replace: true, Digest: "first",
		Services: []message.ServiceSpec{{Name: "catalogue", Keyed: true, Source: "{}"}, {Name: "pledges", Source: "{}"}},
		Routes: []message.Route{
			{Name: "browse", HostName: "mesh.example", Prefix: "/browse/", Repeatable: true, MaxAttempts: 2, TargetLatencyMillis: 500, Splits: []message.Split{{Service: "catalogue", Weight: 1}}, Source: "{}"},
			{Name: "check", HostName: "mesh.example", Prefix: "/check/", Repeatable: true, MaxAttempts: 2, TargetLatencyMillis: 500, Splits: []message.Split{{Service: "pledges", Weight: 1}}, Source: "{}"},
			{Name: "pledge", HostName: "mesh.example", Prefix: "/pledge/", MaxAttempts: 2, TargetLatencyMillis: 500, Splits: []message.Split{{Service: "pledges", Weight: 1}}, Source: "{}"},
		},
	})
	return s
}

// startCore starts a core replica, in the place of one that was stopped.
func (s *system) startCore(i int, folder string, firstStart bool) {
	ip := fmt.Sprintf("127.0.2.%d", i+1)
	c := core.New(core.Options{Clock: clock.System(), Log: zerolog.Nop(), Metrics: prometheus.NewRegistry(), Settings: settings.Host{
		Name: fmt.Sprintf("core-%d", i), FailureDomain: "a", IP: ip, PeerPort: s.peerPort, Listen: settings.HostListeners{Control: s.seeds[i]},
		Seeds: s.seeds[:min(3, len(s.seeds))], FirstStart: firstStart, DataFolder: folder, TolerateHosts: (len(s.seeds) - 1) / 2,
	}})
	s.cores[i] = c
	l := listen(s.t, fmt.Sprintf("%s:%d", ip, s.peerPort))
	ctx, cancel := context.WithCancel(s.ctx)
	ended := make(chan struct{})
	s.stops[i] = func() {
		cancel()
		<-ended
	}
	s.all.Go(func() {
		defer close(ended)
		_ = c.Run(ctx, l)
	})
}

// change sends an operator's change until a leader answers it.
func (s *system) change(c message.ConfigurationChange) registry.Outcome {
	var out registry.Outcome
	s.eventually("a leader answers", func() bool {
		for _, x := range s.cores {
			o, err := x.ApplyChange(s.ctx, c)
			if err == nil {
				out = o
				return true
			}
		}
		return false
	})
	return out
}

// eventually waits for a condition. The limit only ends a test that would hang.
func (s *system) eventually(what string, f func() bool) {
	s.t.Helper()
	end := time.Now().Add(60 * time.Second)
	for !f() {
		if time.Now().After(end) {
			s.t.Fatalf("never: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// host is a sidecar with its target.
type host struct {
	system  *system
	sidecar *sidecar.Sidecar
	callers string
	stop    context.CancelFunc
	done    chan error
	target  *target
}

// target is a stand-in for a server.
type target struct {
	host     *host
	lifetime message.Incarnation
	service  message.ServiceName
	address  string
	server   *http.Server
	stopped  chan struct{}

	mu       sync.Mutex
	handler  func(w http.ResponseWriter, r *http.Request, t *target)
	runs     []string
	holds    []message.RangeGrant
	until    time.Time
	released []message.RangeGrant
	draining bool
	sequence int
	quit     chan struct{}
	// forgets is the time after which idle connections are forgotten; 0 for never.
	forgets atomic.Int64
}

// forgetAfter lets the target forget connections that were idle for longer.
func (x *target) forgetAfter(d time.Duration) { x.forgets.Store(int64(d)) }

// forgetful resets a connection with the first bytes that arrive after it was forgotten.
type forgetful struct {
	net.Listener
	target *target
}

func (l forgetful) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &forgotten{Conn: c, target: l.target}, nil
}

type forgotten struct {
	net.Conn
	target *target
	last   time.Time
}

func (c *forgotten) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	after := time.Duration(c.target.forgets.Load())
	if n > 0 && after > 0 && !c.last.IsZero() && time.Since(c.last) > after {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	c.last = time.Now()
	return n, err
}

// addHost starts a sidecar and its target.
func (s *system) addHost(number int, service message.ServiceName) *host {
	ip := fmt.Sprintf("127.0.3.%d", number)
	h := &host{system: s, done: make(chan error, 1)}
	callers := listen(s.t, ip+":0")
	at := listen(s.t, ip+":0")
	h.callers = callers.Addr().String()
	o := settings.Host{
		Name: fmt.Sprintf("host-%d", number), FailureDomain: "a", IP: ip, PeerPort: s.peerPort,
		Listen: settings.HostListeners{Callers: h.callers, Control: ip + ":1"}, Seeds: s.seeds[:min(3, len(s.seeds))],
		Target: settings.HostTarget{Address: at.Addr().String(), Service: string(service)},
		Bounds: settings.HostBounds{RetryRatio: 0.2, ExtraRetries: 64},
	}
	h.sidecar = sidecar.New(sidecar.Options{Settings: o, Names: names, Clock: clock.System(), Log: zerolog.Nop(), Metrics: prometheus.NewRegistry()})
	ctx, cancel := context.WithCancel(s.ctx)
	h.stop = cancel
	l := sidecar.Listeners{Callers: callers, Readiness: listen(s.t, ip+":0"), Control: listen(s.t, ip+":0"), Peers: listen(s.t, fmt.Sprintf("%s:%d", ip, s.peerPort))}
	s.all.Go(func() { h.done <- h.sidecar.Run(ctx, l, http.NotFoundHandler(), http.NotFoundHandler()) })
	h.startTarget(at, service, fmt.Sprintf("i-%d", number), 1)
	s.eventually("the sidecar is ready", h.sidecar.Ready)
	return h
}

func (h *host) startTarget(l net.Listener, service message.ServiceName, id string, born int) {
	x := &target{host: h, service: service, address: l.Addr().String(), lifetime: message.Incarnation{ID: message.InstanceID(id), StartTime: message.StartTime(born)}, quit: make(chan struct{}), stopped: make(chan struct{})}
	x.server = &http.Server{Handler: x}
	h.target = x
	h.system.all.Go(func() { _ = x.server.Serve(forgetful{l, x}) })
	h.system.all.Go(x.checkIns)
	h.system.t.Cleanup(x.crash)
}

// crash ends the target without a word.
func (x *target) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.quit:
		return
	default:
	}
	close(x.quit)
	_ = x.server.Close()
}

// checkIns tells the sidecar about the target until it crashes.
func (x *target) checkIns() {
	defer close(x.stopped)
	for {
		x.checkIn()
		select {
		case <-x.quit:
			return
		case <-x.host.system.ctx.Done():
			return
		case <-time.After(checkInEvery):
		}
	}
}

func (x *target) checkIn() error {
	sent := time.Now()
	x.mu.Lock()
	x.sequence++
	if sent.After(x.until) {
		x.holds = nil
	}
	c := sidecar.Heartbeat{
		Incarnation: x.lifetime, Service: x.service, Address: message.Address(x.address), Slots: 8, Draining: x.draining, Sequence: x.sequence,
		Grants: append([]message.RangeGrant(nil), x.holds...), Released: append([]message.RangeGrant(nil), x.released...),
	}
	x.mu.Unlock()
	reply, err := x.host.sidecar.HandleHeartbeat(x.host.system.ctx, c)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.released = nil
	if reply.Renewed {
		for _, h := range x.holds {
			if !contains(reply.Grants, h.From) {
				h.HandoverToken = "token"
				x.released = append(x.released, h)
			}
		}
		x.holds, x.until = reply.Grants, sent.Add(time.Duration(reply.LeaseDurationMillis)*time.Millisecond)
	}
	return nil
}

func contains(holds []message.RangeGrant, k message.Key) bool {
	for _, h := range holds {
		if h.From <= k && k <= h.To {
			return true
		}
	}
	return false
}

// heldKeys returns the number of keys that the target holds.
func (x *target) heldKeys() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, h := range x.holds {
		n += int(h.To-h.From) + 1
	}
	return n
}

// holdsSome reports whether the target holds any key of a range.
func (x *target) holdsSome(from, to message.Key) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range x.holds {
		if h.From <= to && h.To >= from {
			return true
		}
	}
	return false
}

// drain reports that the target leaves, and returns once that is acknowledged.
func (x *target) drain() {
	x.mu.Lock()
	x.draining = true
	x.mu.Unlock()
	x.host.system.eventually("the drain is acknowledged", func() bool { return x.checkIn() == nil })
}

func (x *target) allRuns() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]string(nil), x.runs...)
}

func (x *target) misbehave(f func(w http.ResponseWriter, r *http.Request, t *target)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.handler = f
}

// ServeHTTP runs requests for keys that the target holds.
func (x *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	x.mu.Lock()
	if r.Header.Get(names.Instance) != string(x.lifetime.ID) || !x.mayRun(r) {
		x.mu.Unlock()
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.runs = append(x.runs, id)
	f := x.handler
	x.mu.Unlock()
	w.Header().Set(names.Signature, string(x.lifetime.ID)+"/"+id)
	if f != nil {
		f(w, r, x)
		return
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

func (x *target) mayRun(r *http.Request) bool {
	k, err := strconv.Atoi(r.Header.Get(names.Key))
	if err != nil {
		return true
	}
	return time.Now().Before(x.until) && contains(x.holds, message.Key(k))
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// ask sends a request to a host.
func (h *host) ask(method, path, id string, key int, body string) answer {
	r, err := http.NewRequest(method, "http://"+h.callers+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = "mesh.example"
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.RemainingMillis, "2000")
	if key >= 0 {
		r.Header.Set(names.Key, strconv.Itoa(key))
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(data), header: response.Header, err: err}
}
