// Package cluster runs a complete system as real processes on loopback: control
// replicas, nodes, and a stand-in target for each node. The demonstration and the
// integration tests use it.
//
// # Usage
//
//	c, err := cluster.Start(ctx, cluster.Options{
//		Gentiansail: "bin/gentiansail", Standin: "bin/standin", Folder: t.TempDir(), Replicas: 3,
//		Services: map[wire.ServiceName]cluster.Service{"catalogue": {Targets: 5, ChecksGrants: true}},
//	})
//	defer c.Close()
//	err = c.Bootstrap(ctx)
//	err = c.Apply(ctx, "examples/donation-mesh/config")
//	err = c.WaitReady(ctx)
//	response, err := c.Hosts[0].Do(ctx, cluster.Request{Method: "GET", Path: "/catalogue/request-1"})
//
// Start writes the settings and the output of each process into Folder.
package cluster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/operator"
	"github.com/gentiansail/gentiansail/internal/settings"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// Errors of this package.
var (
	// ErrStart means that a process, proxy or file it needs could not be set up, or
	// that a started process did not listen in time.
	ErrStart = merry.Sentinel("cannot start process")
	// ErrStop means that a process did not exit in time, or exited with an error.
	ErrStop = merry.Sentinel("process did not stop cleanly")
	// ErrReady means that the system did not reach the expected state in time.
	ErrReady = merry.Sentinel("system is not ready")
	// ErrRequest means that no response was received.
	ErrRequest = merry.Sentinel("no response")
)

const (
	// startAttempts is more than one because another process can take a port
	// between its reservation and the start.
	startAttempts = 3
	// portsPerHost counts the ports of a node for callers, peers, its target and
	// metrics, and the port of the target itself.
	portsPerHost = 5
	// portsPerReplica counts the ports for calls and metrics.
	portsPerReplica = 2
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval clock.Millis = 20
	// operatorTimeout bounds one operator command.
	operatorTimeout clock.Millis = 20_000
)

// Service describes the stand-in targets of a service.
type Service struct {
	Targets      int
	Slots        int
	ChecksGrants bool
	// Arguments are additional arguments for cmd/standin.
	Arguments []string
}

// Options describe a system.
type Options struct {
	// Gentiansail and Standin are the paths of the programs.
	Gentiansail, Standin string
	// Folder receives the settings, data folders and output of the processes.
	Folder string
	// Replicas is the number of control replicas.
	Replicas int
	Services map[wire.ServiceName]Service
	// Domains are the failure domains, assigned to hosts in rotation; three by
	// default.
	Domains []wire.FailureDomain
	// Group is "demo" by default.
	Group wire.GroupID
	// Records, if set, is the folder in which each target records its runs, for
	// history.ReadRuns.
	Records string
	// Environment is added to the environment of each process.
	Environment []string
	// Links puts a proxy on each link between processes, so that faults can be
	// injected; see Cut and Link. Operator commands bypass the proxies.
	Links bool
}

// Host is a host that runs a target and its node.
type Host struct {
	Name    wire.NodeID
	Domain  wire.FailureDomain
	Service wire.ServiceName
	// Caller is the node's address for callers.
	Caller wire.Address
	// Peer is the node's address for other nodes.
	Peer wire.Address
	// Metrics is the node's address for /metrics and /healthz.
	Metrics wire.Address
	Node    *Process
	Target  *Process
}

// Replica is a control replica.
type Replica struct {
	*Process
	Name    wire.ReplicaID
	Metrics wire.Address
	// Operators is the address for clients that use the link from the endpoint
	// Operators.
	Operators  wire.Address
	DataFolder string
}

// Cluster is a running system.
type Cluster struct {
	Replicas []*Replica
	Hosts    []*Host

	options Options
	links   *links // nil without the option Links
}

// Start starts all processes and returns once each of them listens. The control
// group is not bootstrapped yet.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if len(o.Domains) == 0 {
		o.Domains = []wire.FailureDomain{"dsm-a", "dsm-b", "dsm-c"}
	}
	o.Group = cmp.Or(o.Group, "demo")
	var err error
	for n := range startAttempts {
		c := &Cluster{options: o}
		c.options.Folder = filepath.Join(o.Folder, fmt.Sprintf("start-%d", n+1))
		if err = c.start(ctx); err == nil {
			return c, nil
		}
		c.Close()
	}
	return nil, err
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.prepare(); err != nil {
		return err
	}
	for _, p := range c.processes() {
		if err := p.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// prepare reserves ports, writes the settings files, and starts the proxies.
func (c *Cluster) prepare() error {
	linked := c.options.linkPorts(c.targetCount())
	ports, err := reservePorts(c.options.Replicas*portsPerReplica + c.targetCount()*portsPerHost + linked)
	if err != nil {
		return err
	}
	if c.options.Links {
		c.links = newLinks(ports[len(ports)-linked:])
	}
	replicas := make(map[wire.ReplicaID]wire.Address)
	for i := range c.options.Replicas {
		c.Replicas = append(c.Replicas, c.newReplica(i, ports[:portsPerReplica]))
		replicas[c.Replicas[i].Name] = c.Replicas[i].Addr()
		ports = ports[portsPerReplica:]
	}
	for i, r := range c.Replicas {
		if err := c.writeReplicaSettings(i, r, replicas); err != nil {
			return err
		}
	}
	for _, s := range slices.Sorted(maps.Keys(c.options.Services)) {
		for k := range c.options.Services[s].Targets {
			if err := c.addHost(s, k, ports[:portsPerHost]); err != nil {
				return err
			}
			ports = ports[portsPerHost:]
		}
	}
	return nil
}

func (c *Cluster) targetCount() int {
	n := 0
	for _, s := range c.options.Services {
		n += s.Targets
	}
	return n
}

func (c *Cluster) domain(i int) wire.FailureDomain {
	return c.options.Domains[i%len(c.options.Domains)]
}

func (c *Cluster) newReplica(i int, ports []wire.Address) *Replica {
	name := wire.ReplicaID(fmt.Sprintf("control-%d", i+1))
	return &Replica{
		Name: name, Metrics: ports[1], DataFolder: filepath.Join(c.options.Folder, string(name)+"-data"),
		Process: c.process(string(name), c.options.Gentiansail, ports[0], "control", "--settings", c.settingsFile(string(name))),
	}
}

func (c *Cluster) writeReplicaSettings(i int, r *Replica, replicas map[wire.ReplicaID]wire.Address) error {
	var err error
	if r.Operators, err = c.dialAddress(Operators, Endpoint(r.Name), r.Addr()); err != nil {
		return err
	}
	dial := make(map[wire.ReplicaID]wire.Address)
	for n, a := range replicas {
		dial[n] = a
		if n == r.Name {
			continue
		}
		if dial[n], err = c.dialAddress(Endpoint(r.Name), Endpoint(n), a); err != nil {
			return err
		}
	}
	return writeSettings(c.settingsFile(string(r.Name)), settings.Control{
		Group: c.options.Group, Name: r.Name, Listen: r.Addr(), MetricsListen: r.Metrics,
		DataFolder: r.DataFolder, FailureDomain: c.domain(i), Replicas: dial,
	})
}

func (c *Cluster) addHost(service wire.ServiceName, k int, ports []wire.Address) error {
	name := fmt.Sprintf("%s-%d", service, k+1)
	r, err := c.dialAddresses(Endpoint(name), ports)
	if err != nil {
		return err
	}
	h := &Host{
		Name: wire.NodeID(name), Domain: c.domain(len(c.Hosts)), Service: service,
		Caller: r.callers, Peer: ports[1], Metrics: ports[3],
		Node:   c.process(name+"-node", c.options.Gentiansail, ports[0], "node", "--settings", c.settingsFile(name)),
		Target: c.process(name+"-target", c.options.Standin, ports[4], c.targetArguments(service, name, ports[4], r)...),
	}
	c.Hosts = append(c.Hosts, h)
	return writeSettings(c.settingsFile(name), settings.Node{
		Group: c.options.Group, Name: h.Name, CallerListen: ports[0], PeerListen: h.Peer, TargetListen: ports[2],
		MetricsListen: h.Metrics, Advertise: r.peers, FailureDomain: h.Domain, Control: r.control,
	})
}

// hostAddresses holds the addresses to dial: those of a host's node and target, and
// those of the control replicas as the host dials them. With the option Links they
// are the addresses of proxies.
type hostAddresses struct {
	callers, peers, node, target wire.Address
	control                      []wire.Address
}

func (c *Cluster) dialAddresses(name Endpoint, ports []wire.Address) (hostAddresses, error) {
	r := hostAddresses{control: make([]wire.Address, len(c.Replicas))}
	type link struct {
		from, to Endpoint
		listen   wire.Address
		dial     *wire.Address
	}
	target := name + "-target"
	all := []link{
		{Callers, name, ports[0], &r.callers},
		{Peers, name, ports[1], &r.peers},
		{target, name, ports[2], &r.node},
		{name, target, ports[4], &r.target},
	}
	for i, v := range c.Replicas {
		all = append(all, link{name, Endpoint(v.Name), v.Addr(), &r.control[i]})
	}
	for _, l := range all {
		var err error
		if *l.dial, err = c.dialAddress(l.from, l.to, l.listen); err != nil {
			return r, err
		}
	}
	return r, nil
}

func (c *Cluster) targetArguments(service wire.ServiceName, name string, listen wire.Address, r hostAddresses) []string {
	s := c.options.Services[service]
	args := []string{"--listen", string(listen), "--node", string(r.node), "--service", string(service)}
	if c.options.Links {
		args = append(args, "--advertise", string(r.target))
	}
	if s.Slots > 0 {
		args = append(args, "--slots", fmt.Sprint(s.Slots))
	}
	if s.ChecksGrants {
		args = append(args, "--checks-grants")
	}
	if c.options.Records != "" {
		args = append(args, "--record", filepath.Join(c.options.Records, "runs-"+name+".jsonl"))
	}
	return append(args, s.Arguments...)
}

func (c *Cluster) process(name, program string, address wire.Address, args ...string) *Process {
	return &Process{
		Name: name, program: program, args: args, address: address,
		env: c.options.Environment, outputFile: filepath.Join(c.options.Folder, name+".log"),
	}
}

func (c *Cluster) settingsFile(name string) string {
	return filepath.Join(c.options.Folder, name+".jsonc")
}

func (c *Cluster) processes() []*Process {
	var out []*Process
	for _, r := range c.Replicas {
		out = append(out, r.Process)
	}
	for _, h := range c.Hosts {
		out = append(out, h.Node, h.Target)
	}
	return out
}

// Close kills every process that still runs, by its process id, and stops the
// proxies.
func (c *Cluster) Close() {
	for _, p := range c.processes() {
		p.Kill()
	}
	c.links.close()
}

// Control returns the listen addresses of the control replicas.
func (c *Cluster) Control() []wire.Address {
	var out []wire.Address
	for _, r := range c.Replicas {
		out = append(out, r.Addr())
	}
	return out
}

// Operator returns a session for operator commands that discards their output.
func (c *Cluster) Operator() *operator.Session {
	return &operator.Session{
		Group: c.options.Group, Operator: "cluster", Control: c.Control(),
		Timeout: operatorTimeout, Out: io.Discard, Err: io.Discard,
	}
}

// Bootstrap bootstraps the control group.
func (c *Cluster) Bootstrap(ctx context.Context) error { return c.Operator().Bootstrap(ctx) }

// Apply applies the configuration in the folder, replacing the current revision.
func (c *Cluster) Apply(ctx context.Context, folder string) error {
	return c.Operator().Apply(ctx, operator.ApplyOptions{Folder: folder, Base: operator.CurrentRevision})
}

// WaitReady returns once every node and target is registered, every node has the
// current configuration in force, and every partition has an owner and is not moving.
func (c *Cluster) WaitReady(ctx context.Context) error {
	return c.WaitStatus(ctx, func(s wire.StatusResponse) error { return c.checkReady(s) })
}

// WaitStatus polls the status of the control group until ok returns nil for it. If ctx
// ends first, the error carries the last failure of ok or of fetching the status.
func (c *Cluster) WaitStatus(ctx context.Context, ok func(wire.StatusResponse) error) error {
	var last error
	for {
		status, err := c.Operator().FetchStatus(ctx)
		if err == nil {
			err = ok(status)
		}
		if err == nil {
			return nil
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		if clock.System().Sleep(ctx, pollInterval) != nil {
			return merry.Wrap(ErrReady, merry.AppendMessage(last.Error()))
		}
	}
}

func (c *Cluster) checkReady(s wire.StatusResponse) error {
	for _, h := range c.Hosts {
		i := slices.IndexFunc(s.Nodes, func(n wire.NodeStatus) bool { return n.Node == h.Name })
		switch {
		case i < 0:
			return fmt.Errorf("node %s has not registered", h.Name)
		case s.Nodes[i].Member == nil:
			return fmt.Errorf("the target of node %s has not registered", h.Name)
		case s.Revision == 0 || s.Nodes[i].RevisionInForce < s.Revision:
			return fmt.Errorf("node %s has revision %d in force", h.Name, s.Nodes[i].RevisionInForce)
		}
	}
	for _, v := range s.Services {
		if v.Unowned > 0 || v.Moving > 0 {
			return fmt.Errorf("service %s: %d partitions unowned, %d moving", v.Service, v.Unowned, v.Moving)
		}
	}
	return nil
}

// Host returns the host of the node, or nil.
func (c *Cluster) Host(n wire.NodeID) *Host {
	for _, h := range c.Hosts {
		if h.Name == n {
			return h
		}
	}
	return nil
}

// loopbackIP returns a loopback address that only the process with this id uses. Outgoing
// loopback connections get the source address 127.0.0.1 from the kernel, so they cannot
// occupy a port reserved at another address, neither before a process first listens on it
// nor while the process restarts.
func loopbackIP(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

// reserved contains the addresses that reservePorts has issued in this process. Tests run
// in parallel, and the kernel can return the same port again while no process listens on it.
var reserved = struct {
	sync.Mutex
	issued map[wire.Address]bool
}{issued: map[wire.Address]bool{}}

// reservePorts returns n free loopback addresses that it has not returned before. Its
// listeners stay open until it has enough, so that the kernel returns different ports.
func reservePorts(n int) ([]wire.Address, error) {
	reserved.Lock()
	defer reserved.Unlock()
	var out []wire.Address
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for len(out) < n {
		l, err := net.Listen("tcp", net.JoinHostPort(loopbackIP(os.Getpid()), "0"))
		if err != nil {
			return nil, merry.Wrap(ErrStart, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
		open = append(open, l)
		if a := wire.Address(l.Addr().String()); !reserved.issued[a] {
			reserved.issued[a] = true
			out = append(out, a)
		}
	}
	return out, nil
}

// Logs returns the end of the output of each process that is not running, for use
// in failure reports.
func (c *Cluster) Logs() string {
	var out []byte
	for _, p := range c.processes() {
		if p.Running() {
			continue
		}
		data, err := os.ReadFile(p.outputFile)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		const tailBytes = 2000
		out = fmt.Appendf(out, "--- %s\n%s\n", p.Name, data[max(0, len(data)-tailBytes):])
	}
	return string(out)
}

// listenTimeout bounds the time from the start of a process until it listens.
const listenTimeout = 10 * time.Second
