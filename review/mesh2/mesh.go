// Command mesh2 plays the cases of the second review. It starts processes of the core and sidecars
// with the commands of the deploy file on loopback addresses, and is itself the platform, the
// upstreams, the clients and the operator.
//
// # Usage
//
//	target/review-2/mesh2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 0 if the rule held, 1 if it was broken and 2 if the
// case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sites uzijoto-mesh and wagenrueck-mesh.
const (
	maxHoldMillis = 10000
	drainMillis   = 2000
	graceSeconds  = 6
)

// site is what differs between the two sites: the time between check-ins, the slots of an upstream, and
// how long its work and its clients take.
type site struct {
	beat          time.Duration
	slots         int
	work, maxWork time.Duration
	budget        time.Duration
}

// The sites, with their service that is divided by key.
var (
	uzijoto    = site{870 * time.Millisecond, 10, 60 * time.Millisecond, 450 * time.Millisecond, 800 * time.Millisecond}
	wagenrueck = site{1500 * time.Millisecond, 18, 220 * time.Millisecond, 1600 * time.Millisecond, 2500 * time.Millisecond}
)

// mesh is a small deployment.
type mesh struct {
	site
	folder  string
	prefix  string // the first two numbers of all addresses
	ports   ports
	started time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	version   int
}

// ports are the same on all hosts. Metrics are served at the port after peer.
type ports struct{ callers, ready, control, target, peer int }

// process is a process of the core or a sidecar.
type process struct {
	mesh     *mesh
	role, ip string
	name     string
	settings map[string]any
	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
}

// newMesh returns a mesh without processes, which writes its record to a folder.
func newMesh(recordFolder string) (*mesh, error) {
	folder, err := os.MkdirTemp("", "mesh2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(recordFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	m := &mesh{site: uzijoto, folder: folder, record: record, started: time.Now()}
	for range 100 {
		m.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 15000 + rand.IntN(1500)*10
		m.ports = ports{callers: base, ready: base + 1, control: base + 2, target: base + 3, peer: base + 4}
		if m.portsFree() {
			return m, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (m *mesh) portsFree() bool {
	for host := 1; host <= 20; host++ {
		for port := m.ports.callers; port <= m.ports.peer+1; port++ {
			l, err := net.Listen("tcp", m.address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// ip returns the address of a host.
func (m *mesh) ip(host int) string { return fmt.Sprintf("%s.%d", m.prefix, host) }

func (m *mesh) address(host, port int) string { return fmt.Sprintf("%s:%d", m.ip(host), port) }

// note writes a line to the record, with the seconds since the start.
func (m *mesh) note(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, _ = fmt.Fprintf(m.record, "%8.3f %s\n", time.Since(m.started).Seconds(), fmt.Sprintf(format, args...))
}

// cores is the number of hosts of the core. They have the numbers from 1; the first three are seeds.
const cores = 5

// startCore starts all processes of the core.
func (m *mesh) startCore() {
	for host := 1; host <= cores; host++ {
		m.start("core", host, "")
	}
}

// start starts the process of a host. service is that of the upstream beside a sidecar.
func (m *mesh) start(role string, host int, service string) *process {
	seeds := []string{}
	for seed := 1; seed <= 3; seed++ {
		seeds = append(seeds, m.address(seed, m.ports.control))
	}
	p := &process{mesh: m, role: role, ip: m.ip(host), name: fmt.Sprintf("%s-%d", role, host)}
	p.settings = map[string]any{
		"Name": p.name, "FailureDomain": fmt.Sprintf("zone-%c", 'a'+host%3), "IP": p.ip, "PeerPort": m.ports.peer, "Seeds": seeds, "FirstStart": true,
		"Listen":        map[string]any{"Callers": "", "Readiness": "", "Control": m.address(host, m.ports.control)},
		"DataFolder":    "",
		"Target":        map[string]any{"Address": "", "Service": ""},
		"TolerateHosts": 2, "MemoryMegabytes": 284, "MaxDescriptors": 4096, "LinkMegabits": 1000.0, "HeartbeatMillis": m.beat.Milliseconds(),
		"SecondCopies": map[string]any{"Ratio": 0, "Burst": 0},
		"Bounds": map[string]any{
			"MaxHoldMillis": maxHoldMillis, "DrainMillis": drainMillis, "StopSeconds": graceSeconds, "RetryRatio": 0.2, "ExtraRetries": 64,
			"ColdOverage": 0, "ColdSlack": 0, "EvacuateMillis": 0,
		},
	}
	if role == "core" {
		p.settings["DataFolder"] = filepath.Join(m.folder, p.name)
	} else {
		p.settings["Listen"] = map[string]any{"Callers": m.address(host, m.ports.callers), "Readiness": m.address(host, m.ports.ready), "Control": m.address(host, m.ports.control)}
		p.settings["Target"] = map[string]any{"Address": m.address(host, m.ports.target), "Service": service}
	}
	m.mu.Lock()
	m.processes = append(m.processes, p)
	m.mu.Unlock()
	p.launch()
	return p
}

// launch writes the settings file and starts the program.
func (p *process) launch() {
	data, err := json.MarshalIndent(p.settings, "", "  ")
	file := filepath.Join(p.mesh.folder, p.name+".settings")
	if err == nil {
		err = os.WriteFile(file, data, 0o600)
	}
	must(err)
	log, err := os.OpenFile(filepath.Join(p.mesh.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	command := exec.Command("target/gentiansail", p.role)
	command.Env = []string{"GENTIANSAIL_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	// The process ends with this one, whatever happens.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(command.Start())
	p.mesh.note("start %s", p.name)
	exited := make(chan struct{})
	p.mu.Lock()
	p.command, p.exited = command, exited
	p.settings["FirstStart"] = false
	p.mu.Unlock()
	go func() {
		err := command.Wait()
		p.mesh.note("%s has ended: %v", p.name, err)
		close(exited)
	}()
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mesh.note("send %v to %s", s, p.name)
	_ = p.command.Process.Signal(s)
}

// loseDisk kills the process, as if its machine lost power, and starts it after a time with an empty
// data folder. It is not the first start of the system any more.
func (p *process) loseDisk(down time.Duration) {
	p.signal(syscall.SIGKILL)
	<-p.exited
	must(os.RemoveAll(p.settings["DataFolder"].(string)))
	p.mesh.note("the disk of %s is lost", p.name)
	time.Sleep(down)
	p.launch()
}

// close ends all processes and removes the files, except for the logs if KEEP is set.
func (m *mesh) close() {
	for _, p := range m.processes {
		_ = p.command.Process.Kill()
		<-p.exited
	}
	_ = m.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(m.folder)
	} else {
		fmt.Println("files in", m.folder)
	}
}

// call sends a request of the platform or the operator, follows up to two redirections and
// returns the status and the body; 0 without a response.
func call(address, query string, header http.Header, body []byte, timeout time.Duration) (int, []byte) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/gentiansail/rpc?"+query, bytes.NewReader(body))
	must(err)
	r.Header = header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// route is a route of the desired state.
type route struct{ name, prefix, kind, service string }

// replace sends a whole desired state until it is acknowledged, for 20 s at most.
func (m *mesh) replace(sharded map[string]bool, routes []route) error {
	return m.replaceWithin(20*time.Second, sharded, routes)
}

// replaceWithin is like replace with another limit.
func (m *mesh) replaceWithin(limit time.Duration, sharded map[string]bool, routes []route) error {
	base := m.version
	m.version += 2
	body := map[string]any{"version": m.version, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": 3000, "idleTimeout": 15000}}
	list, services := []any{}, []any{}
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.name, "hostname": "mesh.example", "pathPrefix": r.prefix, "kind": r.kind, "timeout": 5000, "targetLatency": 1000, "priority": 1, "service": r.service, "maxAttempts": 2})
	}
	for name, keyed := range sharded {
		spec := map[string]any{"name": name, "healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false}
		if keyed {
			spec["sharded"], spec["warmup"], spec["grants"] = true, 2.0, "heartbeat"
		}
		services = append(services, spec)
	}
	body["routes"], body["services"] = list, services
	data, err := json.Marshal(body)
	must(err)
	header := http.Header{"If-Match": {fmt.Sprint(base)}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for host := 1; host <= cores; host++ {
			if status, _ := call(m.address(host, m.ports.control), "call=config.replace", header, data, time.Second); status == http.StatusOK {
				m.note("desired state %d is acknowledged", m.version)
				return nil
			}
		}
	}
	return fmt.Errorf("the desired state was not acknowledged")
}

// awaitReady waits until the sidecars of hosts are ready.
func (m *mesh) awaitReady(hosts ...int) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, host := range hosts {
			if response, err := client.Get("http://" + m.address(host, m.ports.ready) + "/gentiansail/readiness"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(hosts) {
			return nil
		}
	}
	return fmt.Errorf("sidecars are not ready")
}

// must ends the program with status 2, since the case cannot run.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "mesh2:", err)
		os.Exit(2)
	}
}
