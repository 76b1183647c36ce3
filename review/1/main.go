// The upstreams of a sharded service are replaced one after the other, while clients send
// requests with bodies of 150 KB in chunks. Each upstream compares nothing; the driver compares
// the body that was run with the one that was sent.
package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/gentiansail/gentiansail/review/harness"
)

const (
	bodyBytes  = 150 << 10
	perSecond  = 60
	upstreams  = 4
	calmBefore = 6 * time.Second
	perStep    = 7 * time.Second
	calmAfter  = 4 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	record, err := harness.OpenRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return harness.CannotRun
	}
	cluster, err := harness.NewCluster(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return harness.CannotRun
	}
	defer cluster.Stop()
	code, err := play(ctx, cluster)
	if err != nil {
		record.Printf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return harness.CannotRun
	}
	return code
}

// sent is what clients have sent, and runs what upstreams have run.
type results struct {
	mu   sync.Mutex
	sent map[string][]byte
	runs []harness.Run
}

func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "r-put", "hostname": "case.example", "pathPrefix": "/put/", "kind": "unsafe", "timeout": 3000, "targetLatency": 800, "priority": 1, "service": "finder", "maxAttempts": 2},
		},
		"services": []any{
			map[string]any{"name": "finder", "healthCheckPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "sharded": true, "warmup": 2.0, "grants": "heartbeat"},
			map[string]any{"name": "refunds", "healthCheckPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": 3000, "idleTimeout": 15000},
	}
}

func play(ctx context.Context, c *harness.Cluster) (int, error) {
	x := &results{sent: map[string][]byte{}}
	if err := c.StartCores(); err != nil {
		return 0, err
	}
	if status, _, err := c.Operate("config.replace", 0, configuration(), 20*time.Second); err != nil || status != 200 {
		return 0, fmt.Errorf("first desired state: status %d, %v", status, err)
	}
	addUpstream := func(service string, n int) (*harness.Upstream, error) {
		machine, err := c.AddSidecar(service)
		if err != nil {
			return nil, err
		}
		u := harness.NewUpstream(machine, fmt.Sprintf("i-%s-%d", service, n), service, service == "finder")
		u.OnRun = func(r harness.Run) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.runs = append(x.runs, r)
		}
		u.OnIncomplete = func(r *http.Request, n int, err error) {
			c.Record.Printf("not run: %s at %s: body ended after %d bytes: %v", r.Header.Get("X-Request-Id"), u.ID, n, err)
		}
		if err := u.Start(); err != nil {
			return nil, err
		}
		if !harness.Eventually(15*time.Second, machine.Ready) {
			return nil, fmt.Errorf("%s is not ready", machine.Name)
		}
		return u, nil
	}
	var finders []*harness.Upstream
	var clients []*harness.Client
	for n := range 2 {
		u, err := addUpstream("refunds", n)
		if err != nil {
			return 0, err
		}
		clients = append(clients, harness.NewClient(u.Machine()))
	}
	for n := range upstreams {
		u, err := addUpstream("finder", n)
		if err != nil {
			return 0, err
		}
		finders = append(finders, u)
	}
	heldByAll := func() bool {
		n := 0
		for _, u := range finders {
			n += u.HeldKeys()
		}
		return n == 65536
	}
	if !harness.Eventually(20*time.Second, heldByAll) {
		return 0, fmt.Errorf("not all keys are held")
	}
	time.Sleep(6 * time.Second) // the first shares settle
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	trafficEnded := make(chan struct{})
	counts := map[int]int{}
	go func() {
		defer close(trafficEnded)
		harness.Steady(trafficCtx, perSecond, func(n int) {
			body := make([]byte, bodyBytes)
			random := rand.NewChaCha8([32]byte{byte(n), byte(n >> 8), byte(n >> 16)})
			_, _ = random.Read(body)
			id := fmt.Sprintf("c%06d", n)
			x.mu.Lock()
			x.sent[id] = body
			x.mu.Unlock()
			a := clients[n%len(clients)].Send(harness.Request{ID: id, Method: "POST", Host: "case.example", Path: fmt.Sprintf("/put/%d", n), Body: body, Chunked: true, Key: n * 40503 % 65536, DeadlineMs: 3000})
			x.mu.Lock()
			counts[a.Status]++
			x.mu.Unlock()
			c.Record.Printf("client %s key %d: sent %d bytes, status %d signed %t after %d ms %v", id, n*40503%65536, len(body), a.Status, a.Signature != "", a.Took.Milliseconds(), errorText(a.Err))
		})
	}()
	sleep(ctx, calmBefore)
	for n := range upstreams {
		if !harness.Trouble() {
			sleep(ctx, perStep)
			continue
		}
		// The new one starts first, the old one drains.
		u, err := addUpstream("finder", upstreams+n)
		if err != nil {
			return 0, err
		}
		finders = append(finders, u)
		old := finders[n]
		began := time.Now()
		old.SetState("draining")
		if !harness.Eventually(5*time.Second, func() bool { return old.Acked("draining") }) {
			return 0, fmt.Errorf("%s is draining and gets no confirmation", old.ID)
		}
		sleep(ctx, 2500*time.Millisecond)
		old.Deregister(3 * time.Second)
		old.Crash()
		old.Machine().Signal(syscall.SIGTERM)
		sleep(ctx, perStep-time.Since(began))
	}
	sleep(ctx, calmAfter)
	stopTraffic()
	<-trafficEnded
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	return x.judge(c, counts)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// judge applies the rule: an upstream runs a request with its body changed.
func (x *results) judge(c *harness.Cluster, counts map[int]int) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	changed := 0
	for _, r := range x.runs {
		want := x.sent[r.ID]
		if bytes.Equal(want, r.Body) {
			continue
		}
		changed++
		prefix := 0
		for prefix < len(want) && prefix < len(r.Body) && want[prefix] == r.Body[prefix] {
			prefix++
		}
		c.Record.Printf("BROKEN: %s ran %s with another body: sent %d bytes (%x), ran %d bytes (%x), the same up to byte %d", r.Upstream.ID, r.ID, len(want), sha256.Sum256(want), len(r.Body), sha256.Sum256(r.Body), prefix)
	}
	summary := fmt.Sprintf("sent %d, run %d, run with another body %d, statuses %v", len(x.sent), len(x.runs), changed, counts)
	c.Record.Printf("%s", summary)
	fmt.Println(summary)
	if len(x.runs) < len(x.sent)/2 {
		return 0, fmt.Errorf("only %d of %d requests ran", len(x.runs), len(x.sent))
	}
	if changed > 0 {
		return harness.Broken, nil
	}
	return harness.Held, nil
}
