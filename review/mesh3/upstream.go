package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval of check-ins, as in the pages.
const heartbeat = 870 * time.Millisecond

// slots is how many requests an upstream works on at a time, and queue how many wait.
const (
	slots = 10
	queue = 40
)

// upstream is a stand-in for the upstream beside a sidecar.
type upstream struct {
	machine *machine
	record  *record
	// work is how long one request takes.
	work atomic.Int64
	// loses is true while the answers of two of five requests that it runs are lost.
	loses atomic.Bool

	mu       sync.Mutex
	lives    int
	id       string
	listener net.Listener
	conns    map[net.Conn]bool
	server   *http.Server
	stop     context.CancelFunc
	slots    chan struct{}
	queued   atomic.Int64
	answers  atomic.Int64
}

func newUpstream(x *machine, r *record, work time.Duration) *upstream {
	u := &upstream{machine: x, record: r}
	u.work.Store(int64(work))
	return u
}

// start begins a new lifetime.
func (u *upstream) start() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	l, err := net.Listen("tcp", u.machine.address(targetPort))
	if err != nil {
		return err
	}
	u.lives++
	u.id, u.listener, u.conns = fmt.Sprintf("i-%s-%d", u.machine.name, u.lives), l, map[net.Conn]bool{}
	u.slots = make(chan struct{}, slots)
	ctx, cancel := context.WithCancel(context.Background())
	u.stop = cancel
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), IdleTimeout: 10 * time.Second, ConnState: u.follow}
	go func(s *http.Server) { _ = s.Serve(l) }(u.server)
	go u.checkIn(ctx, u.id, time.Now().UnixMilli())
	u.record.add("upstream %s of %s starts", u.id, u.machine.service)
	return nil
}

// follow keeps the open connections.
func (u *upstream) follow(c net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(u.conns, c)
	} else {
		u.conns[c] = true
	}
}

// crash ends the lifetime as the end of its process does: it says nothing more, and its port
// and its connections are gone.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stop()
	_ = u.listener.Close()
	for c := range u.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	u.record.add("upstream %s of %s crashes", u.id, u.machine.service)
}

// checkIn sends a check-in every heartbeat until the lifetime ends.
func (u *upstream) checkIn(ctx context.Context, id string, born int64) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, err := json.Marshal(map[string]any{
			"service": u.machine.service, "address": u.machine.address(targetPort), "zone": u.machine.zone, "version": "v1",
			"slots": slots, "state": "ready", "coldRemaining": 0, "seq": sequence, "born": born,
		})
		if err != nil {
			return
		}
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		url := "http://" + u.machine.address(controlPort) + "/gentiansail/rpc?call=instances.heartbeat&of=" + id
		_, _, _ = send(callCtx, http.MethodPost, url, http.Header{"Content-Type": {"application/json"}}, body)
		cancel()
		select {
		case <-time.After(time.Until(sent.Add(heartbeat))):
		case <-ctx.Done():
		}
	}
}

// serve runs one request, or rejects it and says so.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	own, places := u.id, u.slots
	u.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	if wanted := r.Header.Get("X-Target-Instance"); wanted != "" && wanted != own {
		w.Header().Set("X-Instance-Id", own)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Request-Id", id)
	budget, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		budget = 30_000
	}
	end := time.NewTimer(time.Until(arrival.Add(time.Duration(budget) * time.Millisecond)))
	defer end.Stop()
	if u.queued.Add(1) > slots+queue {
		u.queued.Add(-1)
		u.reject(w)
		return
	}
	defer u.queued.Add(-1)
	select {
	case places <- struct{}{}:
		defer func() { <-places }()
	case <-end.C:
		u.reject(w)
		return
	case <-r.Context().Done():
		return
	}
	u.record.run(run{id: id, method: r.Method, uri: r.RequestURI, body: string(body), service: u.machine.service, upstream: own, at: time.Now()})
	work := time.NewTimer(time.Duration(u.work.Load()))
	defer work.Stop()
	status := http.StatusOK
	select {
	case <-work.C:
	case <-end.C:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		return
	}
	if status == http.StatusOK && u.loses.Load() && u.answers.Add(1)%5 < 2 {
		u.record.add("upstream %s has run %s, and its answer is lost", own, id)
		loseConnection(w)
		return
	}
	text := bytes.Repeat([]byte(id+" "), 20)
	w.Header().Set("X-Server-Signature", own+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// reject says that a request has not run.
func (u *upstream) reject(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// loseConnection resets the connection of a request.
func loseConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
