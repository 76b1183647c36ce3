package harness

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Main runs a case. The first argument is the file of the record. It ends all processes that
// the case has started and exits with the code of the case.
func Main(play func(context.Context, *Cluster) (int, error)) {
	os.Exit(run(play))
}

// timeLimit ends a case that takes too long, as one that cannot run.
const timeLimit = 117 * time.Second

func run(play func(context.Context, *Cluster) (int, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		return CannotRun
	}
	record, err := OpenRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	cluster, err := NewCluster(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer cluster.Stop()
	record.Printf("disruption is played: %t", Trouble())
	code, err := play(ctx, cluster)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		record.Printf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return CannotRun
	}
	record.Printf("exit code %d", code)
	return code
}

// Sleep waits for a time, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ErrorText is empty for no error.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Route returns a route of a desired state.
func Route(name, prefix, kind, service string, timeoutMs, latencyMs int) map[string]any {
	return map[string]any{
		"name": name, "hostname": "case.example", "pathPrefix": prefix, "kind": kind, "timeout": timeoutMs, "targetLatency": latencyMs,
		"priority": 1, "service": service, "maxAttempts": 2,
	}
}

// Service returns a service of a desired state.
func Service(name string, sharded bool) map[string]any {
	s := map[string]any{"name": name, "healthCheckPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}
	if sharded {
		s["sharded"], s["warmup"], s["grants"] = true, 2.0, "heartbeat"
	}
	return s
}

// DesiredState returns a complete desired state.
func DesiredState(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": 3000, "idleTimeout": 15000},
	}
}

// StartWith starts the core and sends the first desired state.
func (c *Cluster) StartWith(routes, services []any) error {
	if err := c.StartCores(); err != nil {
		return err
	}
	if status, _, err := c.Operate("config.replace", 0, DesiredState(1, routes, services), 20*time.Second); err != nil || status != 200 {
		return fmt.Errorf("first desired state: status %d, %w", status, err)
	}
	return nil
}

// AddUpstream starts a sidecar with an upstream and waits until it is ready and the first
// check-in is acknowledged.
func (c *Cluster) AddUpstream(id, service string, sharded bool, prepare func(*Upstream)) (*Upstream, error) {
	machine, err := c.AddSidecar(service)
	if err != nil {
		return nil, err
	}
	u := NewUpstream(machine, id, service, sharded)
	if prepare != nil {
		prepare(u)
	}
	if err := u.Start(); err != nil {
		return nil, err
	}
	if !Eventually(15*time.Second, machine.Ready) {
		return nil, fmt.Errorf("%s is not ready", machine.Name)
	}
	u.Wake()
	if !Eventually(15*time.Second, func() bool { return u.Acked("ready") }) {
		return nil, fmt.Errorf("no check-in of %s is acknowledged", id)
	}
	return u, nil
}
