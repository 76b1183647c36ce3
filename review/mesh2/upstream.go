package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// releaseInterval is the pause between two check-ins while keys are being released, and
	// beatTimeout the time after which a response is no confirmation.
	releaseInterval = 50 * time.Millisecond
	beatTimeout     = time.Second
	// maxBeatReply is the length up to which a response confirms a check-in.
	maxBeatReply = 4 << 10
	keys         = 65536
)

// row is a range of keys with its fencing token.
type row struct{ from, to, fence int }

func (r row) has(key int) bool { return r.from <= key && key <= r.to }

// span is a time for which an upstream held a row. end is zero while it does. fresh is true if
// the upstream did not have the row's fencing token before.
type span struct {
	row
	begin, end time.Time
	fresh      bool
}

// work is a request that an upstream runs or has run.
type work struct {
	id         string
	key        int
	begin, end time.Time
	// holdEnd is when the hold of the key runs out, as of its last renewal.
	holdEnd time.Time
}

// upstream is a sound server beside a sidecar, as the pages describe it.
type upstream struct {
	mesh        *mesh
	host        int
	id, service string
	born        int64
	// onBeat, if set, gets each check-in before it is sent, and lateness says how late it arrives.
	onBeat   func(u *upstream, body map[string]any)
	lateness func() time.Duration

	mu       sync.Mutex
	sequence int
	state    string
	held     []row
	leaseEnd time.Time
	seen     [keys]int // the highest fencing token by key
	// leaving are rows that a response left out and that are not released yet. released are
	// those that were, as in the next check-in.
	leaving  []row
	released [][3]any
	running  map[*work]bool
	runs     []work
	spans    []span
	acks     int
}

// addUpstream starts an upstream beside the sidecar of a host.
func (m *mesh) addUpstream(u *upstream) *upstream {
	u.mesh, u.born, u.state, u.running = m, time.Now().UnixMilli(), "ready", map[*work]bool{}
	l, err := net.Listen("tcp", m.address(u.host, m.ports.target))
	must(err)
	go func() { _ = http.Serve(l, u) }()
	go u.sendBeats()
	go u.watchLease()
	m.note("%s of %s starts", u.id, u.service)
	return u
}

// ServeHTTP runs a request, or says that it did not.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if err != nil {
		key = -1
	}
	job := &work{id: id, key: key, begin: time.Now()}
	u.mu.Lock()
	if r.Header.Get("X-Target-Instance") != u.id || key >= 0 && !u.holds(key) {
		u.mu.Unlock()
		u.mesh.note("%s does not run %s for key %d", u.id, id, key)
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	job.holdEnd = u.leaseEnd
	u.running[job] = true
	u.mu.Unlock()
	u.mesh.note("%s begins %s for key %d", u.id, id, key)
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(u.mesh.drawWork()):
	case <-r.Context().Done():
	}
	u.mu.Lock()
	delete(u.running, job)
	job.end = time.Now()
	u.runs = append(u.runs, *job)
	outlasted := key >= 0 && job.end.After(job.holdEnd)
	u.mu.Unlock()
	u.mesh.note("%s ends %s for key %d", u.id, id, key)
	w.Header().Set("X-Server-Signature", u.id+"."+id)
	if outlasted {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "%s ran %s\n", u.id, id)
}

// holds reports whether a key is held. u.mu must be held.
func (u *upstream) holds(key int) bool {
	for _, r := range u.held {
		if r.has(key) && time.Now().Before(u.leaseEnd) {
			return true
		}
	}
	return false
}

// worksOn reports whether a request for a key of a row runs. u.mu must be held.
func (u *upstream) worksOn(r row) bool {
	for job := range u.running {
		if r.has(job.key) {
			return true
		}
	}
	return false
}

// sendBeats sends check-ins until the program ends.
func (u *upstream) sendBeats() {
	for {
		sent := time.Now()
		u.sendBeat()
		u.mu.Lock()
		pause := u.mesh.beat
		if len(u.leaving)+len(u.released) > 0 {
			pause = releaseInterval
		}
		u.mu.Unlock()
		time.Sleep(max(pause-time.Since(sent), releaseInterval))
	}
}

// beat returns the next check-in, and how many rows it reports as released.
func (u *upstream) beat() (body map[string]any, released int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	kept := u.leaving[:0]
	for _, r := range u.leaving {
		if u.worksOn(r) {
			kept = append(kept, r)
			continue
		}
		token := make([]byte, 8)
		_, _ = rand.Read(token)
		u.released = append(u.released, [3]any{r.from, r.to, hex.EncodeToString(token)})
	}
	u.leaving = kept
	holds := [][3]int{}
	for _, r := range append(append([]row{}, u.held...), u.leaving...) {
		holds = append(holds, [3]int{r.from, r.to, r.fence})
	}
	return map[string]any{
		"service": u.service, "address": u.mesh.address(u.host, u.mesh.ports.target), "zone": "zone-a", "version": "v1", "slots": u.mesh.slots, "state": u.state,
		"coldRemaining": 0, "seq": u.sequence, "born": u.born, "holds": holds, "released": append([][3]any{}, u.released...),
	}, len(u.released)
}

// sendBeat sends one check-in and takes the response if it is a confirmation.
func (u *upstream) sendBeat() {
	sent := time.Now()
	body, released := u.beat()
	if u.onBeat != nil {
		u.onBeat(u, body)
	}
	data, err := json.Marshal(body)
	must(err)
	late := time.Duration(0)
	if u.lateness != nil {
		late = u.lateness()
	}
	reply := make(chan []byte, 1)
	go func() {
		time.Sleep(late)
		status, answer := u.mesh.sendBeat(u.host, u.id, data)
		if late > 0 {
			u.mesh.note("check-in %d of %s arrived %v late and got %d", body["seq"], u.id, late, status)
		}
		if status/100 != 2 || len(answer) > maxBeatReply {
			u.mesh.note("check-in %d of %s got %d after %d ms: %.80q", body["seq"], u.id, status, time.Since(sent).Milliseconds(), answer)
			answer = nil
		}
		reply <- answer
	}()
	select {
	case answer := <-reply:
		if answer != nil {
			u.take(answer, sent, released)
		}
	case <-time.After(beatTimeout):
	}
}

// sendBeat sends a check-in to the control address beside a host.
func (m *mesh) sendBeat(host int, id string, data []byte) (int, []byte) {
	return call(m.address(host, m.ports.control), "call=instances.heartbeat&of="+id, nil, data, 5*time.Second)
}

// take takes a response to a check-in.
func (u *upstream) take(answer []byte, sent time.Time, released int) {
	var reply struct {
		Holds *[][4]any `json:"holds"`
		Hold  int       `json:"hold_time"`
	}
	must(json.Unmarshal(answer, &reply))
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.acks++
	u.released = u.released[released:]
	if reply.Holds == nil {
		return
	}
	u.expire(now)
	var next []row
	for _, h := range *reply.Holds {
		r := row{int(h[0].(float64)), int(h[1].(float64)), int(h[2].(float64))}
		accepted := true
		for key := r.from; key <= r.to; key++ {
			accepted = accepted && u.seen[key] <= r.fence
		}
		if !accepted {
			u.mesh.note("%s does not take %v", u.id, r)
			continue
		}
		for key := r.from; key <= r.to; key++ {
			u.seen[key] = r.fence
		}
		next = append(next, r)
	}
	for _, r := range u.held {
		u.leaving = append(u.leaving, leftOut(r, next)...)
	}
	u.replaceHeld(next, now, now.Sub(sent))
	u.leaseEnd = sent.Add(time.Duration(reply.Hold) * time.Millisecond)
	for job := range u.running {
		if u.holds(job.key) {
			job.holdEnd = u.leaseEnd
		}
	}
}

// leftOut returns the parts of a row that no row of a list covers.
func leftOut(r row, list []row) []row {
	var out []row
	begin := -1
	for key := r.from; key <= r.to+1; key++ {
		covered := key > r.to
		for _, x := range list {
			covered = covered || x.has(key)
		}
		switch {
		case !covered && begin < 0:
			begin = key
		case covered && begin >= 0:
			out = append(out, row{begin, key - 1, r.fence})
			begin = -1
		}
	}
	return out
}

// replaceHeld replaces the rows that are held and records the spans. u.mu must be held.
func (u *upstream) replaceHeld(next []row, now time.Time, took time.Duration) {
	for _, r := range u.held {
		if !contains(next, r) {
			u.endSpan(r, now)
			u.mesh.note("%s no longer holds %d-%d under %d", u.id, r.from, r.to, r.fence)
		}
	}
	for _, r := range next {
		if contains(u.held, r) {
			continue
		}
		fresh := true
		for _, x := range u.held {
			fresh = fresh && x.fence != r.fence
		}
		u.spans = append(u.spans, span{row: r, begin: now, fresh: fresh})
		u.mesh.note("%s holds %d-%d under %d, %d ms after it sent the check-in", u.id, r.from, r.to, r.fence, took.Milliseconds())
	}
	u.held = next
}

func contains(list []row, r row) bool {
	for _, x := range list {
		if x == r {
			return true
		}
	}
	return false
}

func (u *upstream) endSpan(r row, at time.Time) {
	for i := range u.spans {
		if u.spans[i].row == r && u.spans[i].end.IsZero() {
			u.spans[i].end = at
		}
	}
}

// expire drops the rows whose hold has run out. u.mu must be held.
func (u *upstream) expire(now time.Time) {
	if len(u.held) == 0 || now.Before(u.leaseEnd) {
		return
	}
	for _, r := range u.held {
		u.endSpan(r, u.leaseEnd)
	}
	u.mesh.note("the hold of %s has run out", u.id)
	u.held, u.leaving, u.released = nil, nil, nil
}

func (u *upstream) watchLease() {
	for {
		u.mu.Lock()
		u.expire(time.Now())
		u.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// drain makes the following check-ins report that the upstream is draining.
func (u *upstream) drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = "draining"
}

// heldKeys returns how many keys are held.
func (u *upstream) heldKeys() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, r := range u.held {
		n += r.to - r.from + 1
	}
	return n
}

// history returns what the upstream has held and run until now.
func (u *upstream) history(now time.Time) ([]span, []work) {
	u.mu.Lock()
	defer u.mu.Unlock()
	spans, runs := append([]span{}, u.spans...), append([]work{}, u.runs...)
	for i := range spans {
		if spans[i].end.IsZero() {
			spans[i].end = now
		}
	}
	for job := range u.running {
		unfinished := *job
		unfinished.end = now
		runs = append(runs, unfinished)
	}
	return spans, runs
}

// maxShared is how long two upstreams may hold the same keys without requests.
const maxShared = 500 * time.Millisecond

// checkOwner checks the rule OWNER and returns how often it was broken.
func (m *mesh) checkOwner(upstreams []*upstream) int {
	now, broken := time.Now(), 0
	for _, a := range upstreams {
		spansA, runsA := a.history(now)
		for _, b := range upstreams {
			if a == b {
				continue
			}
			spansB, runsB := b.history(now)
			for _, y := range spansB {
				broken += m.checkGiven(a, b, y, runsA)
				for _, x := range spansA {
					if a.host < b.host {
						broken += m.checkShared(a, b, x, y, runsA, runsB)
					}
				}
			}
		}
	}
	return broken
}

// checkGiven checks that b was not given a key on which a was still at work, before the hold of a
// would have run out.
func (m *mesh) checkGiven(a, b *upstream, given span, runs []work) int {
	broken := 0
	for _, job := range runs {
		if given.fresh && given.has(job.key) && job.begin.Before(given.begin) && given.begin.Before(job.end) && given.begin.Before(job.holdEnd) {
			m.note("BROKEN: %s was given %d-%d under %d at %.3f, and %s worked on %s for key %d from %.3f to %.3f, with a hold until %.3f",
				b.id, given.from, given.to, given.fence, m.at(given.begin), a.id, job.id, job.key, m.at(job.begin), m.at(job.end), m.at(job.holdEnd))
			broken++
		}
	}
	return broken
}

// checkShared checks that a and b did not hold the same keys for long, and did not both begin
// requests for such keys meanwhile.
func (m *mesh) checkShared(a, b *upstream, x, y span, runsA, runsB []work) int {
	from, to := max(x.from, y.from), min(x.to, y.to)
	begin, end := x.begin, x.end
	if y.begin.After(begin) {
		begin = y.begin
	}
	if y.end.Before(end) {
		end = y.end
	}
	if from > to || !begin.Before(end) {
		return 0
	}
	begun := func(runs []work) int {
		n := 0
		for _, job := range runs {
			if from <= job.key && job.key <= to && !job.begin.Before(begin) && job.begin.Before(end) {
				n++
			}
		}
		return n
	}
	both := begun(runsA) > 0 && begun(runsB) > 0
	if end.Sub(begin) <= maxShared && !both {
		return 0
	}
	m.note("BROKEN: %s (under %d) and %s (under %d) both held %d-%d from %.3f to %.3f; requests begun for these keys meanwhile: %d and %d",
		a.id, x.fence, b.id, y.fence, from, to, m.at(begin), m.at(end), begun(runsA), begun(runsB))
	return 1
}

// at returns a moment as in the record.
func (m *mesh) at(t time.Time) float64 { return t.Sub(m.started).Seconds() }
