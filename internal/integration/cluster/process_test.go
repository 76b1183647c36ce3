package cluster

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/wire"
)

// listenEnv is the environment variable that makes the test binary act as a process of
// the system: it serves HTTP at the address in the variable until SIGTERM.
const listenEnv = "CLUSTER_TEST_LISTEN"

func TestMain(m *testing.M) {
	if address := os.Getenv(listenEnv); address != "" {
		os.Exit(runChild(address))
	}
	os.Exit(m.Run())
}

func runChild(address string) int {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return 1
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	}()
	<-stop
	return 0
}

func newProcess(t *testing.T, address wire.Address) *Process {
	return &Process{
		Name: "child", program: os.Args[0], address: address,
		env: []string{listenEnv + "=" + string(address)}, outputFile: filepath.Join(t.TempDir(), "log"),
	}
}

// Guards against processes that are left running, cannot be restarted, or cannot be killed
// while paused.
func TestProcessLife(t *testing.T) {
	ports, err := reservePorts(2)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ports[0] == ports[1], qt.IsFalse)
	p := newProcess(t, ports[0])
	qt.Assert(t, p.Running(), qt.IsFalse)
	qt.Assert(t, p.Start(t.Context()), qt.IsNil)
	defer p.Kill()
	h := &Host{Caller: p.Addr()}
	r, err := h.Do(t.Context(), Request{Method: http.MethodGet, Path: "/"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Body, qt.Equals, "ok")

	p.Pause()
	p.Resume()
	qt.Assert(t, p.Stop(t.Context()), qt.IsNil)
	qt.Assert(t, p.Restart(t.Context()), qt.IsNil)
	p.Pause()
	p.Kill()
	qt.Assert(t, p.Running(), qt.IsFalse)
	qt.Assert(t, errors.Is(p.Stop(t.Context()), ErrStop), qt.IsTrue)
	_, err = h.Do(t.Context(), Request{Method: http.MethodGet, Path: "/"})
	qt.Assert(t, errors.Is(err, ErrRequest), qt.IsTrue)
}

// Guards against waiting until the time-out for a process that has already exited, for
// example because its port was taken.
func TestStartReportsEarlyEnd(t *testing.T) {
	p := newProcess(t, "127.0.0.1:99999")
	qt.Assert(t, errors.Is(p.Start(t.Context()), ErrStart), qt.IsTrue)
}

// Guards against a process that cannot listen because an outgoing connection of some
// process on the host uses its reserved port number as its source port.
func TestReservedPortsStayFree(t *testing.T) {
	reserved, err := reservePorts(3)
	qt.Assert(t, err, qt.IsNil)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer peer.Close()
	for _, a := range reserved {
		_, port, err := net.SplitHostPort(string(a))
		qt.Assert(t, err, qt.IsNil)
		local, err := net.ResolveTCPAddr("tcp", net.JoinHostPort("127.0.0.1", port))
		qt.Assert(t, err, qt.IsNil)
		d := net.Dialer{LocalAddr: local}
		conn, err := d.DialContext(t.Context(), "tcp", peer.Addr().String())
		if err == nil {
			defer conn.Close()
		} else {
			// Another connection uses this source port already, which is the same case.
			qt.Assert(t, errors.Is(err, syscall.EADDRINUSE), qt.IsTrue)
		}
		l, err := net.Listen("tcp", string(a))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, l.Close(), qt.IsNil)
	}
}

// Guards against tests that run in parallel and reserve the same port, which is possible
// as long as no process listens on it.
func TestReservedPortsAreGivenOnce(t *testing.T) {
	const systems, ports = 60, 100
	seen := map[wire.Address]bool{}
	for range systems {
		all, err := reservePorts(ports)
		qt.Assert(t, err, qt.IsNil)
		for _, a := range all {
			qt.Assert(t, seen[a], qt.IsFalse, qt.Commentf("%s", a))
			seen[a] = true
		}
	}
}

func TestLoopbackIP(t *testing.T) {
	tests := map[string]struct {
		pid  int
		want string
	}{
		"small":   {pid: 7, want: "127.64.0.7"},
		"usual":   {pid: 32768 + 5, want: "127.64.128.5"},
		"largest": {pid: 1<<22 - 1, want: "127.127.255.255"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, loopbackIP(tt.pid), qt.Equals, tt.want)
		})
	}
}
