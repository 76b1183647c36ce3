// Case 4: the clock of one machine jumps ahead and back again while its upstream starts, crashes
// and starts again under its id. The new lifetime is born before the former one, as its machine
// tells the time. Later it leaves: its `draining` is confirmed and has no effect.
package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gentiansail/gentiansail/review/harness"
)

const (
	stepMs    = 2400
	alive     = 1000 * time.Millisecond // of the first lifetime
	down      = 1000 * time.Millisecond
	calm      = 6 * time.Second
	drain     = 2 * time.Second
	leaving   = 7 * time.Second // how long the upstream still serves after the confirmation
	perSecond = 60
)

func main() { harness.Main(play) }

type results struct {
	mu       sync.Mutex
	runs     []harness.Run
	statuses map[int]int
}

func play(ctx context.Context, c *harness.Cluster) (int, error) {
	x := &results{statuses: map[int]int{}}
	prepare := func(u *harness.Upstream) {
		u.OnRun = func(r harness.Run) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.runs = append(x.runs, r)
			c.Record.Printf("%s (born %d) runs %s", u.ID, u.Born, r.ID)
		}
	}
	routes := []any{harness.Route("r-refund", "/refund/", "unsafe", "refunds", 1500, 800)}
	if err := c.StartWith(routes, []any{harness.Service("refunds", false), harness.Service("dispatch", false)}); err != nil {
		return 0, err
	}
	caller, err := c.AddUpstream("i-dispatch-0", "dispatch", false, prepare)
	if err != nil {
		return 0, err
	}
	client := harness.NewClient(caller.Machine())
	for n := range 2 {
		if _, err := c.AddUpstream(fmt.Sprintf("i-refunds-%d", n), "refunds", false, prepare); err != nil {
			return 0, err
		}
	}
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	trafficEnded := make(chan struct{})
	go func() {
		defer close(trafficEnded)
		harness.Steady(trafficCtx, perSecond, func(n int) { x.send(c, client, n) })
	}()
	harness.Sleep(ctx, 2*time.Second)
	second, err := startTwice(ctx, c, prepare)
	if err != nil {
		return 0, err
	}
	harness.Sleep(ctx, calm)
	second.SetState("draining")
	if !harness.Eventually(6*time.Second, func() bool { return second.Acked("draining") }) {
		return 0, errors.New("no confirmation of the drain")
	}
	confirmed := time.Now()
	harness.Sleep(ctx, leaving)
	second.Deregister(3 * time.Second)
	second.Crash()
	stopTraffic()
	<-trafficEnded
	return x.judge(c, second, confirmed)
}

// startTwice starts an upstream that crashes and starts again under its id. With the
// disruption, the clock of its machine is ahead at the first start and right at the second.
func startTwice(ctx context.Context, c *harness.Cluster, prepare func(*harness.Upstream)) (*harness.Upstream, error) {
	machine, err := c.AddSidecar("refunds")
	if err != nil {
		return nil, err
	}
	if !harness.Eventually(15*time.Second, machine.Ready) {
		return nil, fmt.Errorf("%s is not ready", machine.Name)
	}
	first := harness.NewUpstream(machine, "i-refunds-2", "refunds", false)
	prepare(first)
	if harness.Trouble() {
		first.Born += stepMs
	}
	if err := first.Start(); err != nil {
		return nil, err
	}
	if !harness.Eventually(alive, func() bool { return first.Acked("ready") }) {
		return nil, errors.New("the first check-in is not acknowledged")
	}
	harness.Sleep(ctx, time.Until(time.UnixMilli(first.Born-trouble(stepMs)).Add(alive)))
	first.Crash()
	harness.Sleep(ctx, down)
	second := harness.NewUpstream(machine, "i-refunds-2", "refunds", false)
	prepare(second)
	if err := second.Start(); err != nil {
		return nil, err
	}
	if !harness.Eventually(6*time.Second, func() bool { return second.Acked("ready") }) {
		return nil, errors.New("the check-in of the second lifetime is not acknowledged")
	}
	return second, nil
}

func trouble(ms int64) int64 {
	if harness.Trouble() {
		return ms
	}
	return 0
}

func (x *results) send(c *harness.Cluster, client *harness.Client, n int) {
	a := client.Send(harness.Request{ID: fmt.Sprintf("c%06d", n), Method: "POST", Host: "case.example", Path: fmt.Sprintf("/refund/%d", n), Body: []byte("refund"), Key: -1, DeadlineMs: 1500})
	c.Record.Printf("client c%06d: status %d signed %t after %d ms %s", n, a.Status, a.Signature != "", a.Took.Milliseconds(), harness.ErrorText(a.Err))
	x.mu.Lock()
	defer x.mu.Unlock()
	x.statuses[a.Status]++
}

// judge applies the rule: a request reaches an upstream later than `drain` after a machine
// acknowledged that the upstream is draining.
func (x *results) judge(c *harness.Cluster, second *harness.Upstream, confirmed time.Time) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	before, late := 0, 0
	for _, r := range x.runs {
		if r.Upstream != second {
			continue
		}
		if r.At.Before(confirmed) {
			before++
		}
		if r.At.After(confirmed.Add(drain)) {
			late++
			c.Record.Printf("BROKEN: %s reached %s %d ms after its drain was confirmed", r.ID, r.Upstream.ID, r.At.Sub(confirmed).Milliseconds())
		}
	}
	summary := fmt.Sprintf("second lifetime ran %d requests before its drain was confirmed, %d later than %v after it; statuses %v", before, late, drain, x.statuses)
	c.Record.Printf("%s", summary)
	fmt.Println(summary)
	if len(x.runs) == 0 {
		return 0, errors.New("no request was run")
	}
	if late > 0 {
		return harness.Broken, nil
	}
	return harness.Held, nil
}
