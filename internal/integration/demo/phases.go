package main

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// servedAgain is the time within which the keys of a lost host are to be
	// served by others.
	servedAgain clock.Millis = 2000
	// lossTimeout ends the wait for a lost key.
	lossTimeout clock.Millis = 15_000
	// probeDelay is the time between two requests for one lost key.
	probeDelay clock.Millis = 10
	// operationsDuringLoss are sent from before the loss until after it.
	operationsDuringLoss = 300
	// workMillis is the time that a target works on each of them.
	workMillis = 30
	// underWay is the time from the first of them to the loss.
	underWay clock.Millis = 250
	// stopRounds is how often every key is asked for at least while a host stops.
	stopRounds = 3
)

// loss is what was seen when a host was lost.
type loss struct {
	host *cluster.Host
	keys []string
	// servedAfter is the time from the loss to the first complete response of
	// each lost key; absent keys were not served again.
	servedAfter map[string]clock.Millis
}

// planned is what was seen during a planned stop.
type planned struct {
	host          *cluster.Host
	requests      int
	notRun        int
	interruptions []string
	stopErr       error
}

// browse sends every key through every node.
func (d *demo) browse(ctx context.Context) error {
	hosts := d.cluster.Hosts
	failed := make([]int, len(hosts))
	each(len(hosts), func(i int) {
		for k := range keyCount {
			if _, ok := d.get(ctx, hosts[i], keyName(k)); !ok {
				failed[i]++
			}
		}
	})
	for i, n := range failed {
		if n > 0 {
			return fmt.Errorf("%d of %d requests through %s were not complete: %s", n, keyCount, hosts[i].Name, d.tally.text())
		}
	}
	return nil
}

// pledge sends operations through every node, then each again through the next.
func (d *demo) pledge(ctx context.Context) error {
	hosts := d.cluster.Hosts
	paths := []string{"/pledges", "/pickups", "/catalogue/" + keyName(1)}
	operations := make([]*operation, len(hosts)*len(paths))
	each(len(operations), func(i int) {
		o := newOperation(paths[i%len(paths)])
		operations[i] = o
		o.settle(ctx, d, []*cluster.Host{hosts[i%len(hosts)]})
		o.send(ctx, d, hosts[(i+1)%len(hosts)])
	})
	d.operations = append(d.operations, operations...)
	return nil
}

// lose takes a host away and measures until its keys are served by others.
func (d *demo) lose(ctx context.Context) error {
	if err := d.chooseLost(ctx); err != nil {
		return err
	}
	survivors := d.without(d.loss.host)
	var group sync.WaitGroup
	group.Go(func() { d.operate(ctx, survivors) })
	// Operations are in flight at the host when it is lost.
	if err := clock.System().Sleep(ctx, underWay); err != nil {
		return err
	}
	lost := clock.System().Now()
	d.loss.host.Target.Pause()
	d.loss.host.Node.Kill()
	group.Go(func() { d.probe(ctx, survivors, lost) })
	group.Wait()
	return d.waitOwned(ctx)
}

// chooseLost picks the owner of the first key and finds all keys that it owns.
func (d *demo) chooseLost(ctx context.Context) error {
	for k := range keyCount {
		owner, err := d.cluster.Operator().FetchOwner(ctx, keyedService, keyName(k))
		if err != nil {
			return err
		}
		if owner.Member == nil {
			return fmt.Errorf("key %s has no owner", keyName(k))
		}
		if k == 0 {
			d.loss.host = d.cluster.Host(owner.Member.Node)
		}
		if owner.Member.Node == d.loss.host.Name {
			d.loss.keys = append(d.loss.keys, keyName(k))
		}
	}
	return nil
}

func (d *demo) without(lost ...*cluster.Host) []*cluster.Host {
	var out []*cluster.Host
	for _, h := range d.cluster.Hosts {
		gone := false
		for _, l := range lost {
			gone = gone || h == l
		}
		if !gone {
			out = append(out, h)
		}
	}
	return out
}

// probe asks for each lost key until it is served.
func (d *demo) probe(ctx context.Context, hosts []*cluster.Host, lost clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, lossTimeout.Duration())
	defer cancel()
	var mu sync.Mutex
	d.loss.servedAfter = make(map[string]clock.Millis)
	each(len(d.loss.keys), func(i int) {
		for n := 0; ctx.Err() == nil; n++ {
			if _, ok := d.get(ctx, hosts[(i+n)%len(hosts)], d.loss.keys[i]); ok {
				mu.Lock()
				d.loss.servedAfter[d.loss.keys[i]] = clock.System().Now() - lost
				mu.Unlock()
				return
			}
			_ = clock.System().Sleep(ctx, probeDelay)
		}
	})
}

// operate sends operations on all keys while the host is lost.
func (d *demo) operate(ctx context.Context, hosts []*cluster.Host) {
	operations := make([]*operation, operationsDuringLoss)
	each(len(operations), func(i int) {
		operations[i] = newOperation(fmt.Sprintf("/catalogue/%s?work=%d", keyName(i), workMillis))
		operations[i].settle(ctx, d, hosts[i%len(hosts):])
	})
	d.operations = append(d.operations, operations...)
}

// waitOwned returns once every partition has an owner again.
func (d *demo) waitOwned(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return d.cluster.WaitStatus(ctx, func(s wire.StatusResponse) error {
		for _, v := range s.Services {
			if v.Unowned > 0 {
				return fmt.Errorf("%d partitions of service %s have no owner", v.Unowned, v.Service)
			}
		}
		return nil
	})
}

// stop stops another host of the keyed service, target first, while keys are
// asked for through the others.
func (d *demo) stop(ctx context.Context) error {
	d.planned.host = d.otherKeyed()
	hosts := d.without(d.loss.host, d.planned.host)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.planned.stopErr = d.stopHost(ctx)
	}()
	var mu sync.Mutex
	for round := 0; round < stopRounds || !closed(stopped); round++ {
		each(keyCount, func(i int) {
			r, ok := d.get(ctx, hosts[(i+round)%len(hosts)], keyName(i))
			mu.Lock()
			defer mu.Unlock()
			d.planned.count(r, ok, keyName(i))
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

func (p *planned) count(r cluster.Response, ok bool, key string) {
	p.requests++
	switch {
	case ok:
	case r.Outcome == wire.OutcomeNotRun:
		p.notRun++
	default:
		p.interruptions = append(p.interruptions, fmt.Sprintf("%s: status %d, outcome %q, reason %q, cut %v", key, r.Status, r.Outcome, r.Reason, r.BodyErr))
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (d *demo) otherKeyed() *cluster.Host {
	for _, h := range d.without(d.loss.host) {
		if h.Service == keyedService {
			return h
		}
	}
	return nil
}

func (d *demo) stopHost(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	h := d.planned.host
	if err := d.cluster.Operator().Drain(ctx, h.Name, clock.FromDuration(readyTimeout)); err != nil {
		return err
	}
	// The record ends with the process. Once drained the target runs nothing more.
	runs, err := h.Runs(ctx)
	if err != nil {
		return err
	}
	d.audit.add(h, runs)
	return errors.Join(h.Target.Stop(ctx), h.Node.Stop(ctx))
}
