// Case 1: half of the upstreams of a sharded service are replaced one after the other, while clients
// send requests with bodies of 150 KB in chunks. The bodies that were run are compared with
// those that were sent.
package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/gentiansail/gentiansail/review/harness"
)

const (
	bodyBytes  = 150 << 10
	perSecond  = 60
	upstreams  = 4
	replaced   = 2 // share 0.5
	settle     = 6 * time.Second
	calmBefore = 6 * time.Second
	perStep    = 7 * time.Second
	calmAfter  = 4 * time.Second
)

func main() { harness.Main(play) }

// results hold what clients have sent and what upstreams have run.
type results struct {
	mu       sync.Mutex
	sent     map[string][]byte
	runs     []harness.Run
	statuses map[int]int
}

func (x *results) prepare(c *harness.Cluster) func(*harness.Upstream) {
	return func(u *harness.Upstream) {
		u.OnRun = func(r harness.Run) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.runs = append(x.runs, r)
		}
		u.OnIncomplete = func(r *http.Request, n int, err error) {
			c.Record.Printf("not run: %s at %s: body ended after %d bytes: %v", r.Header.Get("X-Request-Id"), u.ID, n, err)
		}
	}
}

func play(ctx context.Context, c *harness.Cluster) (int, error) {
	x := &results{sent: map[string][]byte{}, statuses: map[int]int{}}
	routes := []any{harness.Route("r-put", "/put/", "unsafe", "finder", 3000, 800)}
	if err := c.StartWith(routes, []any{harness.Service("finder", true), harness.Service("refunds", false)}); err != nil {
		return 0, err
	}
	var finders []*harness.Upstream
	var clients []*harness.Client
	for n := range 2 {
		u, err := c.AddUpstream(fmt.Sprintf("i-refunds-%d", n), "refunds", false, x.prepare(c))
		if err != nil {
			return 0, err
		}
		clients = append(clients, harness.NewClient(u.Machine()))
	}
	for n := range upstreams {
		u, err := c.AddUpstream(fmt.Sprintf("i-finder-%d", n), "finder", true, x.prepare(c))
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
		return 0, errors.New("not all keys are held")
	}
	harness.Sleep(ctx, settle) // the first shares settle
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	trafficEnded := make(chan struct{})
	go func() {
		defer close(trafficEnded)
		harness.Steady(trafficCtx, perSecond, func(n int) { x.send(c, clients[n%len(clients)], n) })
	}()
	harness.Sleep(ctx, calmBefore)
	for n := range replaced {
		began := time.Now()
		if harness.Trouble() {
			u, err := replace(ctx, c, x, finders[n], upstreams+n)
			if err != nil {
				return 0, err
			}
			finders = append(finders, u)
		}
		harness.Sleep(ctx, perStep-time.Since(began))
	}
	harness.Sleep(ctx, calmAfter)
	stopTraffic()
	<-trafficEnded
	return x.judge(c)
}

// replace starts a new upstream and then drains an old one.
func replace(ctx context.Context, c *harness.Cluster, x *results, old *harness.Upstream, n int) (*harness.Upstream, error) {
	u, err := c.AddUpstream(fmt.Sprintf("i-finder-%d", n), "finder", true, x.prepare(c))
	if err != nil {
		return nil, err
	}
	old.SetState("draining")
	if !harness.Eventually(5*time.Second, func() bool { return old.Acked("draining") }) {
		return nil, fmt.Errorf("%s is draining and gets no confirmation", old.ID)
	}
	harness.Sleep(ctx, 2500*time.Millisecond)
	old.Deregister(3 * time.Second)
	old.Crash()
	old.Machine().Signal(syscall.SIGTERM)
	return u, nil
}

// send sends one request. The keys are spread evenly, so that no upstream is overloaded.
func (x *results) send(c *harness.Cluster, client *harness.Client, n int) {
	body := make([]byte, bodyBytes)
	_, _ = rand.NewChaCha8([32]byte{byte(n), byte(n >> 8), byte(n >> 16)}).Read(body)
	id, key := fmt.Sprintf("c%06d", n), n*40503%65536
	x.mu.Lock()
	x.sent[id] = body
	x.mu.Unlock()
	a := client.Send(harness.Request{ID: id, Method: "POST", Host: "case.example", Path: fmt.Sprintf("/put/%d", n), Body: body, Chunked: true, Key: key, DeadlineMs: 3000})
	x.mu.Lock()
	x.statuses[a.Status]++
	x.mu.Unlock()
	c.Record.Printf("client %s key %d: sent %d bytes, status %d signed %t after %d ms %s", id, key, len(body), a.Status, a.Signature != "", a.Took.Milliseconds(), harness.ErrorText(a.Err))
}

// judge applies the rule: an upstream runs a request with its body changed.
func (x *results) judge(c *harness.Cluster) (int, error) {
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
	summary := fmt.Sprintf("sent %d, run %d, run with another body %d, statuses %v", len(x.sent), len(x.runs), changed, x.statuses)
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
