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
	// recoveryGoal is the time within which other hosts are expected to serve the
	// keys of a lost host.
	recoveryGoal clock.Millis = 2000
	// probeTimeout bounds the wait until all lost keys are served.
	probeTimeout clock.Millis = 15_000
	// probeDelay is the time between two requests for a lost key.
	probeDelay clock.Millis = 10
	// operationsDuringLoss is the number of operations whose sending starts before the
	// loss and continues after it.
	operationsDuringLoss = 300
	// operationWorkMillis is the time for which a target processes each of them.
	operationWorkMillis = 30
	// loadBeforeLoss is the time from the start of sending them to the loss.
	loadBeforeLoss clock.Millis = 250
	// minStopRounds is the minimum number of times that every key is requested while
	// a host stops.
	minStopRounds = 3
)

// loss contains the observations from the loss of a host.
type loss struct {
	host *cluster.Host
	keys []string
	// servedAfter is the time from the loss to the first complete response of
	// each lost key; keys that were not served again are absent.
	servedAfter map[string]clock.Millis
}

// plannedStop contains the observations from a planned stop.
type plannedStop struct {
	host          *cluster.Host
	requests      int
	notRun        int
	interruptions []string
	stopErr       error
}

// requestAllKeys requests every key through every node.
func (d *demo) requestAllKeys(ctx context.Context) error {
	hosts := d.cluster.Hosts
	failed := make([]int, len(hosts))
	forEachConcurrently(len(hosts), func(i int) {
		for k := range keyCount {
			if _, ok := d.getKey(ctx, hosts[i], keyName(k)); !ok {
				failed[i]++
			}
		}
	})
	for i, n := range failed {
		if n > 0 {
			return fmt.Errorf("%d of %d requests through %s were not complete: %s", n, keyCount, hosts[i].Name, d.tally.summary())
		}
	}
	return nil
}

// sendOperations sends operations through every node and resends each through the next
// node.
func (d *demo) sendOperations(ctx context.Context) error {
	hosts := d.cluster.Hosts
	paths := []string{"/pledges", "/pickups", "/catalogue/" + keyName(1)}
	operations := make([]*operation, len(hosts)*len(paths))
	forEachConcurrently(len(operations), func(i int) {
		o := newOperation(paths[i%len(paths)])
		operations[i] = o
		o.sendUntilFinal(ctx, d, []*cluster.Host{hosts[i%len(hosts)]})
		o.send(ctx, d, hosts[(i+1)%len(hosts)])
	})
	d.operations = append(d.operations, operations...)
	return nil
}

// loseHost simulates the loss of a host under load and measures the time until other
// hosts serve its keys.
func (d *demo) loseHost(ctx context.Context) error {
	if err := d.chooseHostToLose(ctx); err != nil {
		return err
	}
	survivors := d.hostsExcept(d.loss.host)
	var group sync.WaitGroup
	group.Go(func() { d.sendOperationsDuringLoss(ctx, survivors) })
	// Wait until operations are in flight at the host.
	if err := clock.System().Sleep(ctx, loadBeforeLoss); err != nil {
		return err
	}
	lost := clock.System().Now()
	d.loss.host.Target.Pause()
	d.loss.host.Node.Kill()
	group.Go(func() { d.probeLostKeys(ctx, survivors, lost) })
	group.Wait()
	return d.waitAllOwned(ctx)
}

// chooseHostToLose selects the owner of the first key and collects all keys that it
// owns.
func (d *demo) chooseHostToLose(ctx context.Context) error {
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

// hostsExcept returns all hosts but the excluded ones.
func (d *demo) hostsExcept(excluded ...*cluster.Host) []*cluster.Host {
	var out []*cluster.Host
	for _, h := range d.cluster.Hosts {
		skip := false
		for _, e := range excluded {
			skip = skip || h == e
		}
		if !skip {
			out = append(out, h)
		}
	}
	return out
}

// probeLostKeys requests each lost key until it is served.
func (d *demo) probeLostKeys(ctx context.Context, hosts []*cluster.Host, lost clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	var mu sync.Mutex
	d.loss.servedAfter = make(map[string]clock.Millis)
	forEachConcurrently(len(d.loss.keys), func(i int) {
		for n := 0; ctx.Err() == nil; n++ {
			if _, ok := d.getKey(ctx, hosts[(i+n)%len(hosts)], d.loss.keys[i]); ok {
				mu.Lock()
				d.loss.servedAfter[d.loss.keys[i]] = clock.System().Now() - lost
				mu.Unlock()
				return
			}
			_ = clock.System().Sleep(ctx, probeDelay)
		}
	})
}

// sendOperationsDuringLoss sends operations on all keys before, during and after the
// loss of the host.
func (d *demo) sendOperationsDuringLoss(ctx context.Context, hosts []*cluster.Host) {
	operations := make([]*operation, operationsDuringLoss)
	forEachConcurrently(len(operations), func(i int) {
		operations[i] = newOperation(fmt.Sprintf("/catalogue/%s?work=%d", keyName(i), operationWorkMillis))
		operations[i].sendUntilFinal(ctx, d, hosts[i%len(hosts):])
	})
	d.operations = append(d.operations, operations...)
}

// waitAllOwned returns once every partition has an owner again.
func (d *demo) waitAllOwned(ctx context.Context) error {
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

// stopUnderLoad stops another host of the keyed service while keys are requested
// through the remaining hosts.
func (d *demo) stopUnderLoad(ctx context.Context) error {
	d.planned.host = d.otherKeyedHost()
	hosts := d.hostsExcept(d.loss.host, d.planned.host)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.planned.stopErr = d.drainAndStop(ctx)
	}()
	var mu sync.Mutex
	for round := 0; round < minStopRounds || !isClosed(stopped); round++ {
		forEachConcurrently(keyCount, func(i int) {
			r, ok := d.getKey(ctx, hosts[(i+round)%len(hosts)], keyName(i))
			mu.Lock()
			defer mu.Unlock()
			d.planned.countResponse(r, ok, keyName(i))
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

func (p *plannedStop) countResponse(r cluster.Response, ok bool, key string) {
	p.requests++
	switch {
	case ok:
	case r.Outcome == wire.OutcomeNotRun:
		p.notRun++
	default:
		p.interruptions = append(p.interruptions, fmt.Sprintf("%s: status %d, outcome %q, reason %q, cut %v", key, r.Status, r.Outcome, r.Reason, r.BodyErr))
	}
}

// isClosed reports whether c is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// otherKeyedHost returns a host of the keyed service that is not the lost one, or nil.
func (d *demo) otherKeyedHost() *cluster.Host {
	for _, h := range d.hostsExcept(d.loss.host) {
		if h.Service == keyedService {
			return h
		}
	}
	return nil
}

// drainAndStop drains the host, reads the recorded runs of its target, and stops the
// target, then the node.
func (d *demo) drainAndStop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	h := d.planned.host
	if err := d.cluster.Operator().Drain(ctx, h.Name, clock.FromDuration(readyTimeout)); err != nil {
		return err
	}
	// The process loses its recorded runs when it stops. After the drain, the target
	// runs no further requests.
	runs, err := h.Runs(ctx)
	if err != nil {
		return err
	}
	d.audit.add(h, runs)
	return errors.Join(h.Target.Stop(ctx), h.Node.Stop(ctx))
}
