// Package harness starts the project's own programs as processes on loopback, with
// stand-ins for upstreams, clients and the operator that follow the users' pages.
package harness

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord creates a record file.
func OpenRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf writes one line with the seconds since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Process is one process of the system.
type Process struct {
	Name     string
	IP       string
	Role     string
	Settings map[string]any

	cluster *Cluster
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	starts  int
}

// Cluster is a small deployment.
type Cluster struct {
	Folder      string
	Record      *Record
	ControlPort int
	CallersPort int
	ReadyPort   int
	PeerPort    int
	AppPort     int
	HeartbeatMs int
	// Seeds are the control addresses of three core machines.
	Seeds     []string
	Cores     []*Process
	Sidecars  []*Process
	network   string
	processes []*Process
	// FirstStart is the initialBootstrap of the settings that are written from now on.
	FirstStart bool
}

// NewCluster chooses free loopback addresses and ports and a temporary folder.
func NewCluster(record *Record) (*Cluster, error) {
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Folder: folder, Record: record, HeartbeatMs: 1500, FirstStart: true}
	for n := 0; n < 200 && c.network == ""; n++ {
		c.tryNetwork(fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+n)%200, 1+(os.Getpid()/200+n*7)%250))
	}
	if c.network == "" {
		return nil, errors.New("no free loopback addresses")
	}
	return c, nil
}

// tryNetwork takes a network if the ports are free at its first addresses.
func (c *Cluster) tryNetwork(network string) {
	var ports []int
	for len(ports) < 5 {
		l, err := net.Listen("tcp", network+"1:0")
		if err != nil {
			return
		}
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		defer l.Close()
		m, err := net.Listen("tcp", net.JoinHostPort(network+"1", strconv.Itoa(ports[len(ports)-1]+1)))
		if err != nil {
			return // the metrics use the port after the one for peers
		}
		defer m.Close()
	}
	c.network = network
	c.ControlPort, c.CallersPort, c.ReadyPort, c.PeerPort, c.AppPort = ports[0], ports[1], ports[2], ports[3], ports[4]
}

// IP returns an address of the cluster.
func (c *Cluster) IP(n int) string { return c.network + strconv.Itoa(n) }

// Address joins an address of the cluster and a port.
func Address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (c *Cluster) settings(name, zone, ip string) map[string]any {
	return map[string]any{
		"Name": name, "FailureDomain": zone, "IP": ip, "PeerPort": c.PeerPort,
		"Listen":     map[string]any{"Callers": "", "Readiness": "", "Control": Address(ip, c.ControlPort)},
		"Seeds":      c.Seeds,
		"FirstStart": c.FirstStart,
		"DataFolder": "", "Target": map[string]any{"Address": "", "Service": ""},
		"TolerateHosts": 2, "MemoryMegabytes": 280, "HeartbeatMillis": c.HeartbeatMs,
		"Bounds": map[string]any{"MaxHoldMillis": 10000, "DrainMillis": 2000, "StopSeconds": 6, "RetryRatio": 0.2, "ExtraRetries": 58},
	}
}

var zones = []string{"ch-nord-a", "ch-nord-b", "ch-nord-c"}

// StartCores starts five core processes, of which the first three are the seeds.
func (c *Cluster) StartCores() error {
	c.PlanCores()
	for _, p := range c.Cores {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// PlanCores prepares five core processes without starting them.
func (c *Cluster) PlanCores() {
	for i := range 3 {
		c.Seeds = append(c.Seeds, Address(c.IP(1+i), c.ControlPort))
	}
	for i := range 5 {
		name := fmt.Sprintf("core-%d", i+1)
		p := &Process{Name: name, IP: c.IP(1 + i), Role: "core", cluster: c}
		p.Settings = c.settings(name, zones[i%3], p.IP)
		p.Settings["DataFolder"] = filepath.Join(c.Folder, name)
		c.Cores = append(c.Cores, p)
		c.processes = append(c.processes, p)
	}
}

// AddSidecar starts the sidecar of one more machine, whose upstream is of the given service.
func (c *Cluster) AddSidecar(service string) (*Process, error) {
	n := len(c.Sidecars)
	name := fmt.Sprintf("sidecar-%d", n+1)
	p := &Process{Name: name, IP: c.IP(11 + n), Role: "sidecar", cluster: c}
	p.Settings = c.settings(name, zones[n%3], p.IP)
	p.Settings["Listen"] = map[string]any{"Callers": Address(p.IP, c.CallersPort), "Readiness": Address(p.IP, c.ReadyPort), "Control": Address(p.IP, c.ControlPort)}
	p.Settings["Target"] = map[string]any{"Address": Address(p.IP, c.AppPort), "Service": service}
	c.Sidecars = append(c.Sidecars, p)
	c.processes = append(c.processes, p)
	return p, p.Start()
}

// Start starts the process with the command of the deploy file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	file := filepath.Join(p.cluster.Folder, p.Name+".settings")
	data, err := json.Marshal(p.Settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.cluster.Folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/gentiansail", p.Role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GENTIANSAIL_BOOT=" + file}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	p.starts++
	p.cluster.Record.Printf("start %s pid %d", p.Name, command.Process.Pid)
	go func() {
		err := command.Wait()
		p.cluster.Record.Printf("end %s pid %d: %v", p.Name, command.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.cluster.Record.Printf("signal %s: %v", p.Name, s)
		_ = p.command.Process.Signal(s)
	}
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Ended()
}

// Log returns what the process has written.
func (p *Process) Log() []byte {
	b, _ := os.ReadFile(filepath.Join(p.cluster.Folder, p.Name+".log"))
	return b
}

// CallersAddress is where clients on the machine of a sidecar send their requests.
func (p *Process) CallersAddress() string { return Address(p.IP, p.cluster.CallersPort) }

// ControlAddress is where upstreams or operators call the process.
func (p *Process) ControlAddress() string { return Address(p.IP, p.cluster.ControlPort) }

// Stop ends all processes and removes the folder.
func (c *Cluster) Stop() {
	for _, p := range c.processes {
		p.mu.Lock()
		command, ended := p.command, p.ended
		p.mu.Unlock()
		if command != nil {
			_ = command.Process.Signal(syscall.SIGCONT)
			_ = command.Process.Kill()
			<-ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.Folder)
	}
}

// Ready asks a sidecar once whether it is ready.
func (p *Process) Ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + Address(p.IP, p.cluster.ReadyPort) + "/gentiansail/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Eventually waits until a condition is met.
func Eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// Operate makes one call of the operator, and follows redirects twice. It tries the given
// core machine first and then the others until there is a clear response.
func (c *Cluster) Operate(call string, ifMatch int, body any, limit time.Duration) (status int, response []byte, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	return c.OperateRaw(call, ifMatch, data, limit)
}

// OperateRaw is Operate with an encoded body.
func (c *Cluster) OperateRaw(call string, ifMatch int, data []byte, limit time.Duration) (status int, response []byte, err error) {
	client := http.Client{Timeout: time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("more than two redirects")
		}
		return nil
	}}
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		var r *http.Request
		r, err = http.NewRequest(http.MethodPost, "http://"+c.Cores[n%len(c.Cores)].ControlAddress()+"/gentiansail/rpc?call="+call, bytes.NewReader(data))
		if err != nil {
			return 0, nil, err
		}
		r.Header.Set("Content-Type", "application/json")
		if ifMatch >= 0 {
			r.Header.Set("If-Match", strconv.Itoa(ifMatch))
		}
		var answer *http.Response
		answer, err = client.Do(r)
		if err == nil {
			response, err = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			status = answer.StatusCode
		}
		if err == nil && status < 500 && status != 408 && status != 429 && status != 307 {
			c.Record.Printf("operator %s If-Match %d via %s: %d", call, ifMatch, c.Cores[n%len(c.Cores)].Name, status)
			return status, response, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, response, fmt.Errorf("no clear response to %s: status %d, %v", call, status, err)
}

// LastLines returns the last lines of a log.
func LastLines(log []byte, n int) string {
	lines := bytes.Split(bytes.TrimSpace(log), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-n):], []byte("\n")))
}
