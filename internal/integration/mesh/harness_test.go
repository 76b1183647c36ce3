// Package mesh tests the core and the sidecars together, in one process on loopback,
// with stand-in targets that send heartbeats, receive key range grants and can inject
// faults.
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
	RateLimit: "Test-Limit", Leaving: "Test-Leaving",
}

// heartbeatInterval is shorter than that of real targets, to shorten the tests.
const heartbeatInterval = 100 * time.Millisecond

// testMesh is a mesh of core replicas and sidecars that runs in the test process.
type testMesh struct {
	t        *testing.T
	peerPort int
	seeds    []string
	cores    []*core.Core
	// folders are the data folders of the core replicas.
	folders []string
	// stopCore contains a function for each core replica that stops it and waits until
	// it has ended.
	stopCore []func()
	running  sync.WaitGroup
	ctx      context.Context
	// secondCopies are the settings of the hosts that are added.
	secondCopies settings.HostSecondCopies
	// domains are the failure domains of hosts by number, if not a.
	domains map[int]string
	// evacuateBound is the bound for evacuations of hosts that are started from now on.
	evacuateBound clock.Millis
}

// freePort returns a port that is currently free on loopback.
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

// startMesh starts core replicas and applies a configuration with three services:
// catalogue, whose targets get their keys in the responses to heartbeats, byCallService, whose
// targets get them by calls, and pledges, which is not partitioned by key.
func startMesh(t *testing.T, replicas int) *testMesh {
	ctx, cancel := context.WithCancel(context.Background())
	s := &testMesh{t: t, peerPort: freePort(t), ctx: ctx}
	t.Cleanup(func() {
		cancel()
		s.running.Wait()
	})
	control := freePort(t)
	for i := range replicas {
		s.seeds = append(s.seeds, fmt.Sprintf("127.0.2.%d:%d", i+1, control))
	}
	for i := range replicas {
		s.cores = append(s.cores, nil)
		s.stopCore = append(s.stopCore, nil)
		s.folders = append(s.folders, "")
		s.startCore(i, t.TempDir(), true)
	}
	s.applyChange(message.ConfigurationChange{
		Version: 1, Replace: true, Digest: "first",
		Services: []message.ServiceSpec{{Name: "catalogue", Keyed: true, Source: "{}"}, {Name: "pledges", Source: "{}"}, {Name: byCallService, Keyed: true, GrantsByCall: true, Source: "{}"}},
		Routes: []message.Route{
			{Name: "browse", HostName: "mesh.example", Prefix: "/browse/", Repeatable: true, MaxAttempts: 2, TargetLatencyMillis: 500, Splits: []message.Split{{Service: "catalogue", Weight: 1}}, Source: "{}"},
			{Name: "find", HostName: "mesh.example", Prefix: "/find/", Repeatable: true, MaxAttempts: 2, TargetLatencyMillis: 500, Splits: []message.Split{{Service: byCallService, Weight: 1}}, Source: "{}"},
			{Name: "check", HostName: "mesh.example", Prefix: "/check/", Repeatable: true, MaxAttempts: 2, TargetLatencyMillis: 500, Splits: []message.Split{{Service: "pledges", Weight: 1}}, Source: "{}"},
			{Name: "pledge", HostName: "mesh.example", Prefix: "/pledge/", MaxAttempts: 2, TargetLatencyMillis: 500, Splits: []message.Split{{Service: "pledges", Weight: 1}}, Source: "{}"},
		},
	})
	return s
}

// startCore starts core replica i, either for the first time or after it was stopped.
func (s *testMesh) startCore(i int, folder string, firstStart bool) {
	ip := fmt.Sprintf("127.0.2.%d", i+1)
	c := core.New(core.Options{Clock: clock.System(), Log: zerolog.Nop(), Metrics: prometheus.NewRegistry(), Settings: settings.Host{
		Name: fmt.Sprintf("core-%d", i), FailureDomain: "a", IP: ip, PeerPort: s.peerPort, Listen: settings.HostListeners{Control: s.seeds[i]},
		Seeds: s.seeds[:min(3, len(s.seeds))], FirstStart: firstStart, DataFolder: folder, TolerateHosts: (len(s.seeds) - 1) / 2,
	}})
	s.cores[i], s.folders[i] = c, folder
	l := listen(s.t, fmt.Sprintf("%s:%d", ip, s.peerPort))
	ctx, cancel := context.WithCancel(s.ctx)
	ended := make(chan struct{})
	s.stopCore[i] = func() {
		cancel()
		<-ended
	}
	s.running.Go(func() {
		defer close(ended)
		_ = c.Run(ctx, l)
	})
}

// applyChange sends an operator's configuration change until a leader responds.
func (s *testMesh) applyChange(c message.ConfigurationChange) registry.Outcome {
	var out registry.Outcome
	s.eventually("a leader responds", func() bool {
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

// tolerableLosses returns how many replicas can be lost at once, according to the leader;
// -1 if there is none.
func (s *testMesh) tolerableLosses() int {
	losses := -1
	for _, c := range s.cores {
		losses = max(losses, c.TolerableLosses())
	}
	return losses
}

// eventually waits until a condition is met. The limit of 60 s only ends a test that
// would otherwise hang.
func (s *testMesh) eventually(what string, f func() bool) {
	s.t.Helper()
	end := time.Now().Add(60 * time.Second)
	for !f() {
		if time.Now().After(end) {
			s.t.Fatalf("not reached within 60 s: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// host is a sidecar with its target.
type host struct {
	mesh          *testMesh
	sidecar       *sidecar.Sidecar
	callerAddress string
	stopSidecar   context.CancelFunc
	sidecarErr    chan error
	target        *target
}

// target is a stand-in target.
type target struct {
	host              *host
	incarnation       message.Incarnation
	service           message.ServiceName
	address           string
	server            *http.Server
	heartbeatsStopped chan struct{}

	mu       sync.Mutex
	handler  func(w http.ResponseWriter, r *http.Request, t *target)
	runs     []string
	grants   []message.RangeGrant
	leaseEnd time.Time
	released []message.RangeGrant
	draining bool
	sequence int
	// coldUntil is the end of the cold time that the heartbeats state.
	coldUntil time.Time
	crashed   chan struct{}
	// idleLimit is a time.Duration: a connection that was idle for longer is reset by
	// the next bytes that arrive; 0 for no limit.
	idleLimit atomic.Int64
	// byCall is set for a target of byCallService.
	byCall *callTarget
}

// resetIdleAfter makes the target reset a connection when bytes arrive after it was idle
// for longer than d.
func (x *target) resetIdleAfter(d time.Duration) { x.idleLimit.Store(int64(d)) }

// idleListener accepts connections that are reset when bytes arrive after they were idle
// for longer than the target's idleLimit.
type idleListener struct {
	net.Listener
	target *target
}

func (l idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: c, target: l.target}, nil
}

type idleConn struct {
	net.Conn
	target   *target
	lastRead time.Time
}

func (c *idleConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	limit := time.Duration(c.target.idleLimit.Load())
	if n > 0 && limit > 0 && !c.lastRead.IsZero() && time.Since(c.lastRead) > limit {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	c.lastRead = time.Now()
	return n, err
}

// addHost starts a sidecar and its target.
func (s *testMesh) addHost(number int, service message.ServiceName) *host {
	return s.startHost(number, service, 1)
}

// startHost starts a sidecar and a target with the given start time.
func (s *testMesh) startHost(number int, service message.ServiceName, startTime int) *host {
	ip := fmt.Sprintf("127.0.3.%d", number)
	h := &host{mesh: s, sidecarErr: make(chan error, 1)}
	callers := listen(s.t, ip+":0")
	targetListener := listen(s.t, ip+":0")
	h.callerAddress = callers.Addr().String()
	o := settings.Host{
		Name: fmt.Sprintf("host-%d", number), FailureDomain: "a", IP: ip, PeerPort: s.peerPort,
		Listen: settings.HostListeners{Callers: h.callerAddress, Control: ip + ":1"}, Seeds: s.seeds[:min(3, len(s.seeds))],
		Target:       settings.HostTarget{Address: targetListener.Addr().String(), Service: string(service)},
		Bounds:       settings.HostBounds{RetryRatio: 0.2, ExtraRetries: 64, ColdOverage: 1.5, ColdSlack: 8, EvacuateMillis: s.evacuateBound},
		SecondCopies: s.secondCopies,
	}
	if domain := s.domains[number]; domain != "" {
		o.FailureDomain = domain
	}
	h.sidecar = sidecar.New(sidecar.Options{Settings: o, Names: names, Calls: testCalls, Clock: clock.System(), Log: zerolog.Nop(), Metrics: prometheus.NewRegistry()})
	ctx, cancel := context.WithCancel(s.ctx)
	h.stopSidecar = cancel
	l := sidecar.Listeners{Callers: callers, Readiness: listen(s.t, ip+":0"), Control: listen(s.t, ip+":0"), Peers: listen(s.t, fmt.Sprintf("%s:%d", ip, s.peerPort))}
	s.running.Go(func() { h.sidecarErr <- h.sidecar.Run(ctx, l, http.NotFoundHandler(), http.NotFoundHandler()) })
	h.startTarget(targetListener, service, fmt.Sprintf("i-%d", number), startTime)
	s.eventually("the sidecar is ready", h.sidecar.Ready)
	return h
}

func (h *host) startTarget(l net.Listener, service message.ServiceName, id string, startTime int) {
	x := &target{host: h, service: service, address: l.Addr().String(), incarnation: message.Incarnation{ID: message.InstanceID(id), StartTime: message.StartTime(startTime)}, crashed: make(chan struct{}), heartbeatsStopped: make(chan struct{})}
	x.server = &http.Server{Handler: x}
	if service == byCallService {
		x.byCall = newCallTarget(id)
		x.server.Handler = x.byCall.handler(x)
	}
	h.target = x
	h.mesh.running.Go(func() { _ = x.server.Serve(idleListener{l, x}) })
	h.mesh.running.Go(x.sendHeartbeats)
	h.mesh.t.Cleanup(x.crash)
}

// crash stops the target without notice: it closes all connections and sends no more
// heartbeats.
func (x *target) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.crashed:
		return
	default:
	}
	close(x.crashed)
	_ = x.server.Close()
}

// sendHeartbeats sends heartbeats to the sidecar until the target crashes.
func (x *target) sendHeartbeats() {
	defer close(x.heartbeatsStopped)
	for {
		x.sendHeartbeat()
		select {
		case <-x.crashed:
			return
		case <-x.host.mesh.ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (x *target) sendHeartbeat() error {
	sent := time.Now()
	x.mu.Lock()
	x.sequence++
	if sent.After(x.leaseEnd) {
		x.grants = nil
	}
	c := sidecar.Heartbeat{
		Incarnation: x.incarnation, Service: x.service, Address: message.Address(x.address), Slots: 8, Draining: x.draining, Sequence: x.sequence,
		ColdMillis: clock.FromDuration(max(x.coldUntil.Sub(sent), 0)),
		Grants:     append([]message.RangeGrant(nil), x.grants...), Released: append([]message.RangeGrant(nil), x.released...),
	}
	x.mu.Unlock()
	reply, err := x.host.sidecar.HandleHeartbeat(x.host.mesh.ctx, c)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.released = nil
	if reply.Renewed {
		for _, h := range x.grants {
			if !grantsContain(reply.Grants, h.From) {
				h.HandoverToken = "token"
				x.released = append(x.released, h)
			}
		}
		x.grants, x.leaseEnd = reply.Grants, sent.Add(time.Duration(reply.LeaseDurationMillis)*time.Millisecond)
	}
	return nil
}

func grantsContain(grants []message.RangeGrant, k message.Key) bool {
	for _, g := range grants {
		if g.From <= k && k <= g.To {
			return true
		}
	}
	return false
}

// grantedKeys returns the number of keys in the target's grants. A service has
// keyrange.Keys (65536) keys.
func (x *target) grantedKeys() int {
	if x.byCall != nil {
		return x.byCall.count()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, h := range x.grants {
		n += int(h.To-h.From) + 1
	}
	return n
}

// hasGrantIn reports whether the target has a grant for any key of a range.
func (x *target) hasGrantIn(from, to message.Key) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range x.grants {
		if h.From <= to && h.To >= from {
			return true
		}
	}
	return false
}

// drain sends heartbeats that report the target as draining, and returns once one is
// acknowledged.
func (x *target) drain() {
	x.mu.Lock()
	x.draining = true
	x.mu.Unlock()
	x.host.mesh.eventually("the drain is acknowledged", func() bool { return x.sendHeartbeat() == nil })
}

func (x *target) runIDs() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]string(nil), x.runs...)
}

func (x *target) setHandler(f func(w http.ResponseWriter, r *http.Request, t *target)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.handler = f
}

// ServeHTTP runs requests for keys that are granted to the target, and requests without
// a key.
func (x *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	x.mu.Lock()
	if r.Header.Get(names.Instance) != string(x.incarnation.ID) || !x.mayRun(r) {
		x.mu.Unlock()
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.runs = append(x.runs, id)
	f := x.handler
	x.mu.Unlock()
	w.Header().Set(names.Signature, string(x.incarnation.ID)+"/"+id)
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
	if x.byCall != nil {
		return x.byCall.owns(k)
	}
	return time.Now().Before(x.leaseEnd) && grantsContain(x.grants, message.Key(k))
}

// response is what a caller received.
type response struct {
	status int
	body   string
	header http.Header
	err    error
}

// send sends a caller's request to the host. A negative key sends none.
func (h *host) send(method, path, id string, key int, body string) response {
	return h.sendWithin(method, path, id, key, body, 2000)
}

// sendWithin sends a request of a caller that waits for the given time, in milliseconds.
func (h *host) sendWithin(method, path, id string, key int, body string, remainingMillis int) response {
	r, err := http.NewRequest(method, "http://"+h.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	r.Host = "mesh.example"
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.RemainingMillis, strconv.Itoa(remainingMillis))
	if key >= 0 {
		r.Header.Set(names.Key, strconv.Itoa(key))
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	result, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer result.Body.Close()
	data, err := io.ReadAll(result.Body)
	return response{status: result.StatusCode, body: string(data), header: result.Header, err: err}
}
