// Package crowd checks that callers that do not keep to the limits neither end a process of
// the mesh nor make it exceed its memory or its descriptors, and that it serves ordinary
// requests afterwards. The processes are real, and the settings allow them little.
//
// # Usage
//
//	go test ./internal/integration/crowd -run TestCrowdsAtDoors/route
//	go test ./internal/integration/crowd -crowd.memory=184 -crowd.descriptors=4100 -crowd.connections=1000
//
// The program is the one of the build target; -crowd.program names another one.
package crowd

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/wire"
)

var (
	program = flag.String("crowd.program", "../../../bin/gentiansail", "the program")
	// memoryMegabytes and maxDescriptors are what the settings allow each process, and the
	// bounds of the tests.
	memoryMegabytes = flag.Int("crowd.memory", 64, "memory of each process in megabytes")
	maxDescriptors  = flag.Int("crowd.descriptors", 256, "descriptors of each process")
	connections     = flag.Int("crowd.connections", 300, "size of a crowd")
	during          = flag.Bool("crowd.during", false, "log whether an ordinary request is served while the crowd presses")
)

const (
	// startTimeout and answerTimeout only end tests that would otherwise hang.
	startTimeout  = 60 * time.Second
	answerTimeout = 20 * time.Second
)

const (
	callerPort = 22080 + iota
	readyPort
	controlPort
	targetPort
	peerPort
	metricsPort // always the port after peerPort
)

const (
	configuration = `{"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":3000,"idleTimeout":15000},
"routes":[{"name":"r-1","hostname":"h.example","pathPrefix":"/a/","kind":"safe","timeout":4000,"targetLatency":500,"priority":1,"service":"s1","maxAttempts":2}],
"services":[{"name":"s1","maxConnections":110}]}`
	// largePath is where the target sends a response of largeResponse bytes.
	largePath     = "/a/large"
	largeResponse = 4 << 20
)

// system is one core replica, one sidecar, and a stand-in target in the test process.
type system struct {
	t             *testing.T
	core, sidecar *cluster.Process
	coreIP, ip    string
	// ran is the number of requests that the target has begun to run.
	ran atomic.Int64
}

func startSystem(t *testing.T) *system {
	pid := os.Getpid()
	s := &system{t: t, coreIP: fmt.Sprintf("127.%d.%d.%d", 160, pid>>8&255, pid&255), ip: fmt.Sprintf("127.%d.%d.%d", 161, pid>>8&255, pid&255)}
	s.core, s.sidecar = s.start("core", s.coreIP), s.start("sidecar", s.ip)
	target := &http.Server{Handler: http.HandlerFunc(s.serveTarget), ReadHeaderTimeout: startTimeout}
	l, err := net.Listen("tcp", address(s.ip, targetPort))
	qt.Assert(t, err, qt.IsNil)
	served, stop, stopped := make(chan error, 1), make(chan struct{}), make(chan struct{})
	go func() { served <- target.Serve(l) }()
	go s.heartbeats(stop, stopped)
	t.Cleanup(func() {
		close(stop)
		<-stopped
		_ = target.Close()
		<-served
	})
	s.eventually("the configuration is accepted", func() error {
		_, err := s.call(s.coreIP, "config.replace", http.Header{"If-Match": {"0"}}, configuration)
		return err
	})
	s.eventually("a request is served", func() error { return s.ordinary(s.ip, callerPort, http.MethodGet, "/a/x", http.StatusOK) })
	return s
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// start starts a process whose log is shown if the test fails.
func (s *system) start(role, ip string) *cluster.Process {
	folder := s.t.TempDir()
	h := settings.Host{
		Name: role + "-0", FailureDomain: "a", IP: ip, PeerPort: peerPort, Seeds: []string{address(s.coreIP, controlPort)}, FirstStart: true,
		MemoryMegabytes: *memoryMegabytes, MaxDescriptors: *maxDescriptors, DataFolder: filepath.Join(folder, "data"), HeartbeatMillis: 870,
		Listen: settings.HostListeners{Callers: address(ip, callerPort), Readiness: address(ip, readyPort), Control: address(ip, controlPort)},
		Target: settings.HostTarget{Address: address(ip, targetPort), Service: "s1"},
		Bounds: settings.HostBounds{MaxLeaseMillis: 6000, DrainMillis: 1200, StopSeconds: 5, RetryRatio: 0.2, ExtraRetries: 64},
	}
	data, err := json.Marshal(h)
	qt.Assert(s.t, err, qt.IsNil)
	file := filepath.Join(folder, "settings.json")
	qt.Assert(s.t, os.WriteFile(file, data, 0o600), qt.IsNil)
	path, err := filepath.Abs(*program)
	qt.Assert(s.t, err, qt.IsNil)
	log, err := os.Create(filepath.Join(folder, "log"))
	qt.Assert(s.t, err, qt.IsNil)
	p := cluster.NewProcess(cluster.ProcessOptions{Name: h.Name, Program: path, Arguments: []string{role}, Environment: []string{"GENTIANSAIL_BOOT=" + file, "GOMAXPROCS=1"}, Address: wire.Address(address(ip, peerPort)), Output: log})
	s.t.Cleanup(func() {
		p.Kill()
		_ = log.Close()
		if data, err := os.ReadFile(log.Name()); err == nil && s.t.Failed() {
			s.t.Logf("end of the log of %s:\n%s", h.Name, data[max(0, len(data)-4000):])
		}
	})
	qt.Assert(s.t, p.Start(s.t.Context()), qt.IsNil)
	return p
}

// eventually calls f until it returns no error.
func (s *system) eventually(what string, f func() error) {
	s.t.Helper()
	for end := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		err := f()
		if err == nil {
			return
		}
		qt.Assert(s.t, time.Now().Before(end), qt.IsTrue, qt.Commentf("%s: %v", what, err))
	}
}

// serveTarget answers once it has read the body.
func (s *system) serveTarget(w http.ResponseWriter, r *http.Request) {
	s.ran.Add(1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Signature", "signature")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if r.URL.Path == largePath {
		w.Header().Set("Content-Length", strconv.Itoa(largeResponse))
		_, _ = w.Write(bytes.Repeat([]byte("x"), largeResponse))
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// heartbeats sends those of the target until stop is closed.
func (s *system) heartbeats(stop <-chan struct{}, stopped chan<- struct{}) {
	defer close(stopped)
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"service":"s1","address":%q,"zone":"a","version":"v1","slots":8,"state":"ready","coldRemaining":0,"seq":%d,"born":%d,"holds":[],"released":[]}`, address(s.ip, targetPort), sequence, born)
		// A heartbeat without a response is followed by the next one.
		_, _ = s.call(s.ip, "instances.heartbeat&of=i-1", nil, body)
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// call sends a call of an operator or a target over a connection of its own.
func (s *system) call(ip, call string, header http.Header, body string) ([]byte, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address(ip, controlPort)+"/gentiansail/rpc?call="+call, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Close = true
	r.Header.Set("Content-Type", "application/json")
	for name, values := range header {
		r.Header[name] = values
	}
	response, err := (&http.Client{Timeout: 2 * time.Second}).Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, data)
	}
	return data, err
}

// ordinary sends one ordinary request over a connection of its own.
func (s *system) ordinary(ip string, port int, method, path string, want int) error {
	r, err := http.NewRequest(method, "http://"+address(ip, port)+path, http.NoBody)
	if err != nil {
		return err
	}
	r.Host, r.Close = "h.example", true
	r.Header.Set("X-Request-Id", "ordinary-"+strconv.FormatInt(time.Now().UnixNano(), 36))
	response, err := (&http.Client{Timeout: 2 * time.Second}).Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != want {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// peakMegabytes returns the peak of the resident memory of a process.
func peakMegabytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kilobytes float64
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kilobytes); n == 1 {
			return kilobytes / 1024, nil
		}
	}
	return 0, errors.New("no VmHWM")
}

// descriptors returns the number of open descriptors of a process.
func descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
