package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Row is a range of keys that an upstream holds, or has released.
type Row struct {
	From, To, Fence int
	Handover        string
}

// Run is one request that an upstream ran.
type Run struct {
	At       time.Time
	Upstream *Upstream
	ID       string
	Method   string
	URI      string
	Body     []byte
	Caller   string
	Key      int
	Status   int
}

// Upstream is a stand-in for an application upstream. It runs beside a sidecar, sends it
// check-ins, and runs a request only if it holds its key.
type Upstream struct {
	ID      string
	Service string
	Born    int64
	Slots   int
	Sharded bool
	Work    time.Duration
	// Handle, if set, writes the response after the request has been accepted. Otherwise the
	// upstream reads the body, works, and responds with 200.
	Handle func(u *Upstream, w http.ResponseWriter, r *http.Request, run *Run)
	// OnRun is called with each request that has run.
	OnRun func(Run)
	// OnRefused is called with each request that was not run, with the status.
	OnRefused func(r *http.Request, status int)
	// OnIncomplete is called with a request whose body did not arrive completely.
	OnIncomplete func(r *http.Request, n int, err error)

	machine  *Process
	server   *http.Server
	listener net.Listener
	stop     chan struct{}
	stopped  sync.WaitGroup
	wake     chan struct{}

	mu       sync.Mutex
	seq      int
	held     []Row
	heldEnd  time.Time
	releases []Row
	// pending are rows that are left out and on which work is still running.
	pending  []Row
	working  map[int]int
	highest  map[int]int // highest fencing token seen, by start of a row
	state    string
	acked    map[string]bool
	handover int
}

// NewUpstream returns an upstream that runs beside a sidecar.
func NewUpstream(machine *Process, id, service string, sharded bool) *Upstream {
	return &Upstream{
		ID: id, Service: service, Sharded: sharded, Slots: 18, Born: time.Now().UnixMilli(), machine: machine, Work: 20 * time.Millisecond,
		stop: make(chan struct{}), wake: make(chan struct{}, 1), working: map[int]int{}, highest: map[int]int{}, state: "ready", acked: map[string]bool{},
	}
}

// Address is the address of the upstream.
func (u *Upstream) Address() string { return Address(u.machine.IP, u.machine.cluster.AppPort) }

// Machine is the sidecar of the machine.
func (u *Upstream) Machine() *Process { return u.machine }

// Start listens and sends check-ins.
func (u *Upstream) Start() error {
	l, err := net.Listen("tcp", u.Address())
	if err != nil {
		return err
	}
	u.listener = l
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	u.stopped.Add(1)
	go u.beat()
	u.machine.cluster.Record.Printf("upstream %s of %s starts at %s, born %d", u.ID, u.Service, u.Address(), u.Born)
	return nil
}

// Crash ends the upstream without notice.
func (u *Upstream) Crash() {
	u.machine.cluster.Record.Printf("upstream %s ends", u.ID)
	close(u.stop)
	_ = u.server.Close()
	u.stopped.Wait()
}

// StopBeats ends the check-ins only.
func (u *Upstream) StopBeats() {
	close(u.stop)
	u.stopped.Wait()
}

// Close ends an upstream whose check-ins have ended.
func (u *Upstream) Close() { _ = u.server.Close() }

// SetState changes the state that the check-ins report, and sends one at once.
func (u *Upstream) SetState(state string) {
	u.mu.Lock()
	u.state = state
	u.mu.Unlock()
	u.Wake()
}

// Wake sends the next check-in at once.
func (u *Upstream) Wake() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// Acked reports whether a check-in with the given state was acknowledged.
func (u *Upstream) Acked(state string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.acked[state]
}

// HeldKeys returns the number of keys that the upstream holds.
func (u *Upstream) HeldKeys() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	if time.Now().Before(u.heldEnd) {
		for _, h := range u.held {
			n += h.To - h.From + 1
		}
	}
	return n
}

// Rows returns what the upstream holds.
func (u *Upstream) Rows() []Row {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !time.Now().Before(u.heldEnd) {
		return nil
	}
	return append([]Row(nil), u.held...)
}

func (u *Upstream) beat() {
	defer u.stopped.Done()
	for {
		interval := time.Duration(u.machine.cluster.HeartbeatMs) * time.Millisecond
		if u.CheckIn() {
			interval = 80 * time.Millisecond
		}
		select {
		case <-u.stop:
			return
		case <-u.wake:
		case <-time.After(interval):
		}
	}
}

// maxAnswer is the length of the longest answer that acknowledges a check-in.
const maxAnswer = 4 << 10

// CheckIn sends one check-in. It returns true if another one is due soon.
func (u *Upstream) CheckIn() (soon bool) {
	u.mu.Lock()
	u.seq++
	sent := time.Now()
	u.settle(sent)
	state := u.state
	holds, released := [][3]any{}, [][3]any{}
	for _, h := range append(append([]Row(nil), u.held...), u.pending...) {
		holds = append(holds, [3]any{h.From, h.To, h.Fence})
	}
	reported := len(u.releases)
	for _, h := range u.releases {
		released = append(released, [3]any{h.From, h.To, h.Handover})
	}
	body := map[string]any{
		"service": u.Service, "address": u.Address(), "zone": u.machine.Settings["FailureDomain"], "version": "v1", "slots": u.Slots,
		"state": state, "coldRemaining": 0, "seq": u.seq, "born": u.Born, "holds": holds, "released": released,
	}
	u.mu.Unlock()
	status, answer := u.call("instances.heartbeat", body)
	if status/100 == 2 && len(answer) > maxAnswer {
		u.machine.cluster.Record.Printf("check-in of %s: the answer has %d bytes and acknowledges nothing", u.ID, len(answer))
	}
	if status/100 != 2 || len(answer) > maxAnswer {
		return false
	}
	var reply struct {
		Holds    *[][4]json.RawMessage `json:"holds"`
		HoldTime int64                 `json:"hold_time"`
	}
	if json.Unmarshal(answer, &reply) != nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.acked[state] {
		u.acked[state] = true
		u.machine.cluster.Record.Printf("check-in of %s with state %s is acknowledged", u.ID, state)
	}
	u.releases = u.releases[reported:]
	if reply.Holds == nil {
		return len(u.releases)+len(u.pending) > 0
	}
	u.renew(*reply.Holds, sent, time.Duration(reply.HoldTime)*time.Millisecond)
	return len(u.releases)+len(u.pending) > 0
}

// call makes one call to the control address of the machine.
func (u *Upstream) call(name string, body map[string]any) (int, []byte) {
	data, _ := json.Marshal(body)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+u.machine.ControlAddress()+"/gentiansail/rpc?call="+name+"&of="+url.QueryEscape(u.ID), "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	defer r.Body.Close()
	answer, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, nil
	}
	return r.StatusCode, answer
}

// Deregister sends the call of an upstream that leaves, until it is confirmed.
func (u *Upstream) Deregister(limit time.Duration) bool {
	return Eventually(limit, func() bool {
		status, _ := u.call("instances.deregister", map[string]any{"born": u.Born})
		u.machine.cluster.Record.Printf("deregister of %s: %d", u.ID, status)
		return status/100 == 2
	})
}

// settle ends the lease, and releases rows on which no work is running any more. The caller
// holds u.mu.
func (u *Upstream) settle(now time.Time) {
	if !now.Before(u.heldEnd) {
		u.held = nil
	}
	var still []Row
	for _, p := range u.pending {
		if u.worksOn(p) {
			still = append(still, p)
			continue
		}
		u.handover++
		p.Handover = fmt.Sprintf("%016x", u.handover)
		u.releases = append(u.releases, p)
	}
	u.pending = still
}

func (u *Upstream) worksOn(row Row) bool {
	for key, n := range u.working {
		if n > 0 && row.From <= key && key <= row.To {
			return true
		}
	}
	return false
}

// renew replaces what the upstream holds. The caller holds u.mu.
func (u *Upstream) renew(rows [][4]json.RawMessage, sent time.Time, duration time.Duration) {
	var next []Row
	for _, raw := range rows {
		var row Row
		if json.Unmarshal(raw[0], &row.From) != nil || json.Unmarshal(raw[1], &row.To) != nil || json.Unmarshal(raw[2], &row.Fence) != nil {
			continue
		}
		accepted := true
		for _, h := range u.held {
			if h.From <= row.To && row.From <= h.To && h.Fence > row.Fence {
				accepted = false
			}
		}
		if accepted {
			next = append(next, row)
		}
	}
	for _, h := range u.held {
		u.pending = append(u.pending, without(h, next)...)
	}
	u.held, u.heldEnd = next, sent.Add(duration)
	u.settle(time.Now())
}

// without returns the parts of a row that are not covered by others.
func without(row Row, others []Row) []Row {
	parts := []Row{row}
	for _, o := range others {
		var rest []Row
		for _, p := range parts {
			if o.To < p.From || o.From > p.To {
				rest = append(rest, p)
				continue
			}
			if p.From < o.From {
				before := p
				before.To = o.From - 1
				rest = append(rest, before)
			}
			if p.To > o.To {
				after := p
				after.From = o.To + 1
				rest = append(rest, after)
			}
		}
		parts = rest
	}
	return parts
}

// begin checks whether the upstream may run a request for a key, and counts it as work.
func (u *Upstream) begin(key int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.Sharded {
		owned := false
		for _, h := range u.held {
			owned = owned || h.From <= key && key <= h.To
		}
		if !owned || !time.Now().Before(u.heldEnd) {
			return false
		}
	}
	u.working[key]++
	return true
}

func (u *Upstream) end(key int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.working[key]--; u.working[key] == 0 {
		delete(u.working, key)
	}
	if len(u.pending) > 0 {
		u.Wake()
	}
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	refuse := func(status int) {
		if u.OnRefused != nil {
			u.OnRefused(r, status)
		}
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", u.ID)
		w.WriteHeader(status)
	}
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != u.ID {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	key := -1
	if u.Sharded {
		var err error
		if key, err = strconv.Atoi(r.Header.Get("X-Shard-Key")); err != nil {
			refuse(http.StatusMisdirectedRequest)
			return
		}
	}
	if !u.begin(key) {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	defer u.end(key)
	run := &Run{At: time.Now(), Upstream: u, ID: id, Method: r.Method, URI: r.RequestURI, Caller: r.Header.Get("X-Caller-Service"), Key: key}
	w.Header().Set("X-Server-Signature", "sig."+u.ID+"."+id)
	if u.Handle != nil {
		u.Handle(u, w, r, run)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		if u.OnIncomplete != nil {
			u.OnIncomplete(r, len(body), err)
		}
		panic(http.ErrAbortHandler)
	}
	run.Body, run.Status = body, http.StatusOK
	if u.OnRun != nil {
		u.OnRun(*run)
	}
	time.Sleep(u.Work)
	answer := "done " + id + " by " + u.ID + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}
