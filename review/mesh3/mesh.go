package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Ports of all machines of a mesh. Each machine has a loopback address of its own.
const (
	controlPort  = 8620
	readyPort    = 8625
	targetPort   = 8628
	outboundPort = 8629
	peerPort     = 7600
)

// coreMachines is the number of machines with a disk, as in the small installations.
const coreMachines = 5

// machine is one machine with one process of the project.
type machine struct {
	name, zone, role, ip string
	// service is that of the upstream beside a sidecar.
	service string
	// again is true from the second start on.
	again   bool
	command *exec.Cmd
	ended   chan struct{}
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// mesh is a small deployment on loopback addresses.
type mesh struct {
	record   *record
	folder   string
	network  string // the first three parts of all addresses
	cores    []*machine
	sidecars []*machine
}

// zones are those of the machines, in turn unless a place names another one.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// place is a sidecar and the upstream beside it.
type place struct{ service, zone string }

// newMesh prepares a mesh with a sidecar for each place.
func newMesh(r *record, places []place) (*mesh, error) {
	folder, err := os.MkdirTemp("", "mesh3-")
	if err != nil {
		return nil, err
	}
	m := &mesh{record: r, folder: folder}
	if m.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	for i := range coreMachines {
		m.cores = append(m.cores, &machine{name: fmt.Sprintf("core-%d", i+1), zone: zones[i%len(zones)], role: "core", ip: fmt.Sprintf("%s.%d", m.network, 10+i)})
	}
	for i, p := range places {
		m.sidecars = append(m.sidecars, &machine{name: fmt.Sprintf("sidecar-%d", i+1), zone: p.zone, role: "sidecar", ip: fmt.Sprintf("%s.%d", m.network, 100+i), service: p.service})
	}
	return m, nil
}

// freeNetwork returns the beginning of loopback addresses whose ports nobody uses.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", net.JoinHostPort(network+".10", strconv.Itoa(peerPort)))
		if err != nil {
			continue
		}
		return network, l.Close()
	}
	return "", errors.New("no free loopback addresses")
}

// start starts all processes at the same time.
func (m *mesh) start() error {
	for _, x := range append(append([]*machine{}, m.cores...), m.sidecars...) {
		if err := m.startMachine(x); err != nil {
			return err
		}
	}
	return nil
}

// startMachine starts the process of a machine with the command of the deploy file.
func (m *mesh) startMachine(x *machine) error {
	var seeds []string
	for _, c := range m.cores[:3] {
		seeds = append(seeds, c.address(controlPort))
	}
	// As deploy/settings.template, with the bounds of the site uzijoto-mesh.
	settings := map[string]any{
		"Name": x.name, "FailureDomain": x.zone, "IP": x.ip, "PeerPort": peerPort, "Seeds": seeds, "FirstStart": !x.again,
		"Listen": map[string]any{"Callers": "", "Readiness": "", "Control": x.address(controlPort)},
		"Target": map[string]any{"Address": "", "Service": ""}, "DataFolder": "",
		"TolerateHosts": 2, "MemoryMegabytes": 284, "MaxDescriptors": 4100, "LinkMegabits": 1000, "HeartbeatMillis": heartbeat.Milliseconds(),
		"SecondCopies": map[string]any{"Ratio": 0, "Burst": 0},
		"Bounds": map[string]any{
			"MaxHoldMillis": 10000, "DrainMillis": 2000, "StopSeconds": 6, "RetryRatio": 0.2, "ExtraRetries": 64,
			"ColdOverage": 0, "ColdSlack": 0, "EvacuateMillis": 0,
		},
	}
	if x.role == "core" {
		settings["DataFolder"] = filepath.Join(m.folder, x.name)
		if err := os.MkdirAll(settings["DataFolder"].(string), 0o750); err != nil {
			return err
		}
	} else {
		settings["Listen"] = map[string]any{"Callers": x.address(outboundPort), "Readiness": x.address(readyPort), "Control": x.address(controlPort)}
		settings["Target"] = map[string]any{"Address": x.address(targetPort), "Service": x.service}
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(m.folder, x.name+".settings")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	x.command = exec.Command("target/gentiansail", x.role)
	x.command.Env = append(os.Environ(), "GENTIANSAIL_BOOT="+file)
	x.command.Stdout, x.command.Stderr = log, log
	// The processes end with this one, however it ends.
	x.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := x.command.Start(); err != nil {
		return err
	}
	x.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(x.command, x.ended)
	return nil
}

// freeze stops the process of a machine for a time, if trouble is true, and waits as long if not.
func (m *machine) freeze(r *record, trouble bool, d time.Duration) error {
	if !trouble {
		time.Sleep(d)
		return nil
	}
	r.add("%s is frozen", m.name)
	if err := m.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	r.add("%s wakes", m.name)
	return m.command.Process.Signal(syscall.SIGCONT)
}

// loseDisks kills the processes of machines of the core at the same moment, and starts them again
// with empty disks.
func (m *mesh) loseDisks(machines []*machine) error {
	for _, x := range machines {
		if err := x.command.Process.Kill(); err != nil {
			return err
		}
	}
	for _, x := range machines {
		<-x.ended
		if err := os.RemoveAll(filepath.Join(m.folder, x.name)); err != nil {
			return err
		}
		m.record.add("%s has lost its disk", x.name)
	}
	time.Sleep(time.Second)
	for _, x := range machines {
		x.again = true
		if err := m.startMachine(x); err != nil {
			return err
		}
		m.record.add("%s is back", x.name)
	}
	return nil
}

// stop ends all processes and removes their files.
func (m *mesh) stop() {
	for _, x := range append(append([]*machine{}, m.cores...), m.sidecars...) {
		if x.command != nil && x.command.Process != nil {
			_ = x.command.Process.Kill()
			<-x.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(m.folder)
	}
}

// awaitReady waits until all sidecars say that they are ready.
func (m *mesh) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, x := range m.sidecars {
		for !m.isReady(x) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", x.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (m *mesh) isReady(x *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, _, err := send(ctx, http.MethodGet, "http://"+x.address(readyPort)+"/gentiansail/readiness", nil, nil)
	return err == nil && status == http.StatusOK
}

// operator sends a whole desired state until it is confirmed, as an operator does.
func (m *mesh) operator(base int, state map[string]any) error {
	body, err := json.Marshal(state)
	if err != nil {
		return err
	}
	end := time.Now().Add(20 * time.Second)
	for try := 0; time.Now().Before(end); try++ {
		url := "http://" + m.cores[try%len(m.cores)].address(controlPort) + "/gentiansail/rpc?call=config.replace"
		status := 0
		for hop := 0; hop < 3 && url != ""; hop++ {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			header := http.Header{"If-Match": {strconv.Itoa(base)}, "Content-Type": {"application/json"}}
			var location string
			status, location, err = send(ctx, http.MethodPost, url, header, body)
			cancel()
			url = location
		}
		if err == nil && status == http.StatusOK {
			m.record.add("operator: version %v is confirmed", state["version"])
			return nil
		}
		if status == http.StatusBadRequest || status == http.StatusPreconditionFailed {
			return fmt.Errorf("version %v gets %d", state["version"], status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("version %v is not confirmed", state["version"])
}

// plain sends each request on a connection of its own and follows no redirect.
var plain = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// send sends one call and returns the status and the place that the response names.
func send(ctx context.Context, method, url string, header http.Header, body []byte) (status int, location string, err error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if header != nil {
		r.Header = header
	}
	response, err := plain.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, "", err
	}
	return response.StatusCode, response.Header.Get("Location"), nil
}

// route returns a route of a desired state.
func route(name, prefix, kind, service string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "hostname": hostName, "pathPrefix": prefix, "kind": kind, "service": service,
		"timeout": timeout.Milliseconds(), "targetLatency": 400, "priority": 1, "maxAttempts": 2,
	}
}

// state returns a desired state.
func state(version int, services []string, routes ...map[string]any) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": 3000, "idleTimeout": 15000},
	}
}
