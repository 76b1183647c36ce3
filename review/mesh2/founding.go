package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// startSpread is within which all machines start, and lossAfter when one of them loses its disk.
	startSpread = 300 * time.Millisecond
	lossAfter   = 200 * time.Millisecond
	// lostFor is how long that machine is down, as in the sites.
	lostFor = 1500 * time.Millisecond
	// foundingTime is for how long the operator goes on sending the first desired state.
	foundingTime = 60 * time.Second
	// contact is for how long the operator reads at the end, and how long the upstream is up before a
	// client asks for it.
	contact = 3 * time.Second
)

// seedWiped: at the first start, a machine of the core, which is one of the seeds, loses its disk while
// the last of the seeds is about to start.
func seedWiped(m *mesh, trouble bool) (int, error) {
	var second *process
	for host := 1; host <= cores; host++ {
		if host == 3 {
			continue
		}
		p := m.start("core", host, "")
		if host == 2 {
			second = p
		}
	}
	m.start("sidecar", 11, finder)
	back := make(chan struct{})
	go func() {
		defer close(back)
		time.Sleep(lossAfter)
		if trouble {
			second.loseDisk(lostFor)
		}
	}()
	time.Sleep(startSpread)
	m.start("core", 3, "")
	<-back
	err := m.replaceWithin(foundingTime, map[string]bool{finder: true}, []route{{"r-lookup", "/lookup/", "safe", finder}})
	if err != nil {
		m.note("the first desired state: %v", err)
	}
	m.addUpstream(&upstream{host: 11, id: "i-first", service: finder})
	time.Sleep(contact)
	for i := range 5 {
		m.send(11, "GET", "/lookup/trolley", fmt.Sprintf("after-%d", i), 7, time.Second)
	}
	for end := time.Now().Add(contact); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for host := 1; host <= cores; host++ {
			status, body := call(m.address(host, m.ports.control), "call=config.describe", http.Header{}, nil, time.Second)
			var state struct {
				Version int `json:"version"`
			}
			if status == http.StatusOK && json.Unmarshal(body, &state) == nil {
				m.note("core-%d reads version %d", host, state.Version)
				return 0, nil
			}
			m.note("core-%d is asked for the desired state: %d %.80q", host, status, body)
		}
	}
	m.note("BROKEN: the desired state doesn't come")
	return 1, nil
}
