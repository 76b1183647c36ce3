package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// readyLimit bounds the start of a mesh.
const readyLimit = 20 * time.Second

// contact and inForce are the bounds "contact" and "config" of the site uzijoto-mesh.
const (
	contact = 3 * time.Second
	inForce = 2 * time.Second
)

// deploy starts a mesh with its upstreams and its first desired state.
func deploy(r *record, places []place, work time.Duration, first map[string]any) (*mesh, []*upstream, error) {
	m, err := newMesh(r, places)
	if err != nil {
		return nil, nil, err
	}
	if err := m.start(); err != nil {
		return m, nil, err
	}
	var upstreams []*upstream
	for _, x := range m.sidecars {
		u := newUpstream(x, r, work)
		if err := u.start(); err != nil {
			return m, nil, err
		}
		upstreams = append(upstreams, u)
	}
	if err := m.operator(0, first); err != nil {
		return m, nil, err
	}
	if err := m.awaitReady(readyLimit); err != nil {
		return m, nil, err
	}
	time.Sleep(contact + heartbeat) // all machines are in touch, and know all upstreams
	return m, upstreams, nil
}

// clientsOf returns a client of each machine whose upstream is of the given service.
func (m *mesh) clientsOf(service string) []client {
	var out []client
	for _, x := range m.sidecars {
		if x.service == service {
			out = append(out, client{m.record, x})
		}
	}
	return out
}

// lossTime is how long answers are lost.
const lossTime = 4 * time.Second

// playTwice sends unsafe requests whose path has a slash in one of its segments, encoded as %2F.
// The disruption is that three of five upstreams lose two of five answers for some seconds.
func playTwice(r *record, trouble bool) (bool, error) {
	services := []string{"front", "ledger"}
	first := state(1, services,
		route("r-pledge", "/pledge/", "unsafe", "ledger", 2*time.Second),
		route("r-status", "/pledge/status/", "safe", "ledger", 2*time.Second))
	places := []place{{"front", "zone-a"}, {"ledger", "zone-a"}, {"ledger", "zone-a"}, {"ledger", "zone-b"}, {"ledger", "zone-b"}, {"ledger", "zone-c"}}
	m, upstreams, err := deploy(r, places, 40*time.Millisecond, first)
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		for _, u := range upstreams[1:4] {
			u.loses.Store(true)
			r.add("two of five answers of %s are lost", u.id)
			time.AfterFunc(lossTime, func() {
				u.loses.Store(false)
				r.add("answers of %s are lost no longer", u.id)
			})
		}
	}
	c := m.clientsOf("front")[0]
	const each = 60
	var pending sync.WaitGroup
	for i := range each {
		time.Sleep(60 * time.Millisecond)
		pending.Go(func() {
			// The batch has the name "status/" and its number, in one segment of the path.
			c.do(fmt.Sprintf("batch-%05d", i), http.MethodPost, fmt.Sprintf("/pledge/status%%2F%d", i), "one batch", time.Second)
		})
		pending.Go(func() {
			c.do(fmt.Sprintf("plain-%05d", i), http.MethodPost, fmt.Sprintf("/pledge/%d", i), "one batch", time.Second)
		})
	}
	pending.Wait()
	twice := map[string]int{}
	for id, list := range r.runsByID() {
		if len(list) > 1 {
			r.add("%s has run %d times", id, len(list))
			twice[id[:len("batch")]]++
		}
	}
	r.add("unsafe requests that ran more than once: %d of %d POST /pledge/status%%2FN, %d of %d POST /pledge/N", twice["batch"], each, twice["plain"], each)
	return twice["batch"]+twice["plain"] > 0, nil
}

// basePath is the path of the requests on the first route, laterPath that of those on the route
// that is added later.
const (
	basePath  = "/base/list"
	laterPath = "/later/list"
)

// steady is how long requests are compared after the last disturbance.
const steady = 12 * time.Second

// compare counts the requests on both routes in steady state, and reports whether those on the
// later route are served less than a quarter as often.
func compare(r *record) bool {
	time.Sleep(contact + inForce)
	begin := time.Now()
	r.add("steady state begins")
	time.Sleep(steady)
	baseSent, baseServed := r.served(basePath, begin)
	laterSent, laterServed := r.served(laterPath, begin)
	r.add("steady state: %d of %d requests on the first route are served, %d of %d on the route that was added later", baseServed, baseSent, laterServed, laterSent)
	if laterSent < 20 || baseServed == 0 {
		return false
	}
	return float64(laterServed)/float64(laterSent) < float64(baseServed)/float64(baseSent)/4
}

// sendBoth sends so many requests a second on the first and on the later route, until the returned
// function is called.
func sendBoth(m *mesh, base, later int, budget time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	clients := m.clientsOf("front")
	running.Go(func() { traffic(ctx, clients, base, http.MethodGet, basePath, "base", budget) })
	if later > 0 {
		running.Go(func() { traffic(ctx, clients, later, http.MethodGet, laterPath, "later", budget) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// later deploys services "front", "base" and "later", and adds the route to the last one after the
// first desired state.
func later(r *record, places []place, work, timeout time.Duration) (*mesh, []*upstream, error) {
	services := []string{"front", "base", "later"}
	base := route("r-base", "/base/", "safe", "base", timeout)
	m, upstreams, err := deploy(r, places, work, state(1, services, base))
	if err == nil {
		err = m.operator(1, state(2, services, base, route("r-later", "/later/", "safe", "later", timeout)))
		time.Sleep(inForce)
	}
	return m, upstreams, err
}

// playStale lets the operator lower the timeout of a route. The disruption is that the upstreams of
// its service are slow for some seconds around that.
func playStale(r *record, trouble bool) (bool, error) {
	const (
		work    = 150 * time.Millisecond
		budget  = 3 * time.Second
		timeout = 2500 * time.Millisecond
		lowered = 500 * time.Millisecond
		slowBy  = 8
	)
	places := []place{{"front", "zone-a"}, {"front", "zone-b"}, {"base", "zone-a"}, {"base", "zone-b"}, {"later", "zone-a"}, {"later", "zone-b"}, {"later", "zone-c"}}
	m, upstreams, err := later(r, places, work, timeout)
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return false, err
	}
	stop := sendBoth(m, 20, 20, budget)
	defer stop()
	time.Sleep(2 * time.Second)
	takes := func(factor int64) {
		for _, u := range upstreams {
			if trouble && u.machine.service == "later" {
				u.work.Store(factor * int64(work))
				r.add("work at %s takes %d times as long as usual", u.id, factor)
			}
		}
	}
	takes(slowBy)
	time.Sleep(6 * time.Second)
	services := []string{"front", "base", "later"}
	lower := state(3, services, route("r-base", "/base/", "safe", "base", timeout), route("r-later", "/later/", "safe", "later", lowered))
	if err := m.operator(2, lower); err != nil {
		return false, err
	}
	time.Sleep(inForce)
	takes(1)
	return compare(r), nil
}

// recovery is the bound "recovery" of the site uzijoto-mesh.
const recovery = 15 * time.Second

// rounds is how often playFrozen freezes each sidecar. A sidecar that wakes may or may not count the
// time for which it was frozen to the requests that were at its upstream.
const rounds = 3

// playFrozen freezes the sidecars beside the upstreams of a service one after the other, and wakes
// each of them again. With and without that, the day ends with a final fault: two machines of the core
// lose their disks after a desired state was confirmed.
func playFrozen(r *record, trouble bool) (bool, error) {
	const (
		work   = 120 * time.Millisecond
		budget = 600 * time.Millisecond
		frozen = 4800 * time.Millisecond
		pause  = time.Second
		calm   = 12 * time.Second
		rate   = 120 // each upstream works on 5 of its 10 slots
	)
	services := []string{"front", "base"}
	base := route("r-base", "/base/", "safe", "base", budget)
	// One of nine sidecars is a share of 0.111; the site has 0.122.
	places := []place{
		{"front", "zone-a"}, {"front", "zone-a"}, {"front", "zone-b"}, {"front", "zone-b"}, {"front", "zone-c"}, {"front", "zone-c"},
		{"base", "zone-a"}, {"base", "zone-b"}, {"base", "zone-c"},
	}
	m, _, err := deploy(r, places, work, state(1, services, base))
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return false, err
	}
	begin := time.Now()
	stop := sendBoth(m, rate, 0, budget)
	defer stop()
	time.Sleep(calm)
	for i := range rounds * len(m.sidecars) {
		if x := m.sidecars[i%len(m.sidecars)]; x.service == "base" {
			if err := x.freeze(r, trouble, frozen); err != nil {
				return false, err
			}
			time.Sleep(pause)
		}
	}
	if err := m.operator(1, state(2, services, base, route("r-idle", "/idle/", "safe", "base", budget))); err != nil {
		return false, err
	}
	sentBefore, servedBefore := r.served(basePath, begin)
	if err := m.loseDisks(m.cores[:2]); err != nil {
		return false, err
	}
	time.Sleep(recovery)
	begin = time.Now()
	r.add("%v after the machines were back", recovery)
	time.Sleep(steady)
	sent, served := r.served(basePath, begin)
	r.add("%d of %d requests were served before the final fault, %d of %d later than %v after it", servedBefore, sentBefore, served, sent, recovery)
	return 4*servedBefore >= sentBefore && 4*served < sent, nil
}

// playInnocent sends equal requests, none of which harms an upstream. The disruption is that the
// upstreams of one zone crash at the same moment.
func playInnocent(r *record, trouble bool) (bool, error) {
	const (
		work    = 300 * time.Millisecond
		budget  = 1500 * time.Millisecond
		timeout = time.Second
	)
	places := []place{
		{"front", "zone-a"}, {"front", "zone-b"}, {"base", "zone-a"}, {"base", "zone-b"},
		{"later", "zone-a"}, {"later", "zone-a"}, {"later", "zone-a"}, {"later", "zone-b"}, {"later", "zone-c"},
	}
	m, upstreams, err := later(r, places, work, timeout)
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return false, err
	}
	stop := sendBoth(m, 60, 60, budget)
	defer stop()
	time.Sleep(3 * time.Second)
	var crashed []*upstream
	for _, u := range upstreams {
		if trouble && u.machine.service == "later" && u.machine.zone == "zone-a" {
			u.crash()
			crashed = append(crashed, u)
		}
	}
	time.Sleep(4 * time.Second)
	for _, u := range crashed {
		if err := u.start(); err != nil {
			return false, err
		}
	}
	return compare(r), nil
}

// playBlank sends requests on a route that was added to the desired state, to the service that the
// first route leads to as well. The disruption is that the name of the added route has a blank.
func playBlank(r *record, trouble bool) (bool, error) {
	const (
		work    = 50 * time.Millisecond
		budget  = 1500 * time.Millisecond
		timeout = time.Second
	)
	name := "later-list"
	if trouble {
		name = "later list"
	}
	services := []string{"front", "base"}
	base := route("r-base", "/base/", "safe", "base", timeout)
	places := []place{{"front", "zone-a"}, {"front", "zone-b"}, {"base", "zone-a"}, {"base", "zone-b"}}
	m, _, err := deploy(r, places, work, state(1, services, base))
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return false, err
	}
	if err := m.operator(1, state(2, services, base, route(name, "/later/", "safe", "base", timeout))); err != nil {
		return false, err
	}
	time.Sleep(inForce)
	stop := sendBoth(m, 20, 20, budget)
	defer stop()
	return compare(r), nil
}
