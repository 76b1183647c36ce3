package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// finder is the service that is divided by key in the cases on owners.
const finder = "finder"

// startFinder starts the core, the sidecars of the given hosts and the first upstream, which gets
// all keys.
func (m *mesh) startFinder(first *upstream, hosts ...int) error {
	m.startCore()
	for _, host := range hosts {
		m.start("sidecar", host, finder)
	}
	if err := m.replace(map[string]bool{finder: true}, []route{{"r-lookup", "/lookup/", "safe", finder}}); err != nil {
		return err
	}
	if err := m.awaitReady(hosts...); err != nil {
		return err
	}
	m.addUpstream(first)
	return m.await("the first upstream holds all keys", func() bool { return first.heldKeys() == keys })
}

// await waits until a condition is met, for 20 s at most.
func (m *mesh) await(what string, condition func() bool) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			m.note("reached: %s", what)
			return nil
		}
	}
	return fmt.Errorf("not reached: %s", what)
}

// lookups returns requests for keys all over the range.
func lookups() (method, path string, key int) { return "GET", "/lookup/trolley", rand.IntN(keys) }

// copyWithout sends a copy of a check-in from another writer, without one field.
func (u *upstream) copyWithout(body map[string]any, field string) {
	forged := maps.Clone(body)
	delete(forged, field)
	data, err := json.Marshal(forged)
	must(err)
	status, answer := u.mesh.sendBeat(u.host, u.id, data)
	u.mesh.note("a copy of check-in %d of %s without %q got %d: %.200q", body["seq"], u.id, field, status, answer)
}

// replacements is how many upstreams are replaced one after the other, each replaceInterval.
const (
	replacements    = 4
	replaceInterval = 8 * time.Second
)

// holdsMissing: upstreams are replaced one after the other. The new one starts first, the old one
// drains. Another writer sends a copy of each check-in without the list of held keys.
func holdsMissing(m *mesh, trouble bool) (int, error) {
	m.site = wagenrueck
	copies := func(u *upstream, body map[string]any) {
		if trouble {
			time.AfterFunc(10*time.Millisecond, func() { u.copyWithout(body, "holds") })
		}
	}
	current := &upstream{host: 12, id: "i-12", service: finder, onBeat: copies}
	if err := m.startFinder(current, 11, 12, 13, 14, 15, 16); err != nil {
		return 0, err
	}
	load := m.load(11, 16, m.budget, lookups)
	all := []*upstream{current}
	for n := range replacements {
		host := 13 + n
		next := m.addUpstream(&upstream{host: host, id: fmt.Sprintf("i-%d", host), service: finder, onBeat: copies})
		all = append(all, next)
		time.Sleep(replaceInterval / 2)
		m.note("%s is draining", current.id)
		current.drain()
		time.Sleep(replaceInterval / 2)
		current = next
	}
	time.Sleep(3 * time.Second)
	load.stop()
	return m.checkOwner(all), nil
}

// bornMissing: for some seconds the check-ins of the first upstream arrive late, and another writer
// sends copies of them in time that lack when the upstream started. A new upstream joins meanwhile.
func bornMissing(m *mesh, trouble bool) (int, error) {
	var late atomic.Bool
	first := &upstream{host: 11, id: "i-first", service: finder}
	first.lateness = func() time.Duration {
		if late.Load() {
			return 3 * time.Second
		}
		return 0
	}
	first.onBeat = func(u *upstream, body map[string]any) {
		if late.Load() {
			go u.copyWithout(body, "born")
		}
	}
	if err := m.startFinder(first, 11, 12, 13); err != nil {
		return 0, err
	}
	load := m.load(13, 12, m.budget, lookups)
	time.Sleep(2 * time.Second)
	late.Store(trouble)
	second := m.addUpstream(&upstream{host: 12, id: "i-second", service: finder})
	time.Sleep(4 * time.Second)
	late.Store(false)
	time.Sleep(15 * time.Second)
	load.stop()
	m.note("keys held at the end: %d and %d; %d check-ins of the first upstream were confirmed", first.heldKeys(), second.heldKeys(), first.acks)
	return m.checkOwner([]*upstream{first, second}), nil
}
