package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// hostName is that of all routes.
const hostName = "shop.example"

// run is a request that an upstream began to work on.
type run struct {
	id, method, uri, body, service, upstream string
	at                                       time.Time
}

// attempt is one attempt of a client and its answer. A status of 0 stands for none.
type attempt struct {
	id, method, path, machine string
	sent                      time.Time
	status                    int
	signed                    bool
	text                      string
	took                      time.Duration
}

func (a attempt) served() bool { return a.status == http.StatusOK && a.signed }

// record holds what clients, upstreams and the operator saw.
type record struct {
	begin time.Time

	mu       sync.Mutex
	lines    []string
	runs     []run
	attempts []attempt
}

func newRecord() *record { return &record{begin: time.Now()} }

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(time.Now(), format, args...)
}

// addLocked adds a line of the given time. r.mu must be held.
func (r *record) addLocked(at time.Time, format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%9.3f s  ", at.Sub(r.begin).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) run(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
	r.addLocked(x.at, "run    %s  %s %s by %s of %s", x.id, x.method, x.uri, x.upstream, x.service)
}

func (r *record) attempt(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
	r.addLocked(a.sent, "sent   %s  %s %s to %s, after %d ms %d, signed %t, %s", a.id, a.method, a.path, a.machine, a.took.Milliseconds(), a.status, a.signed, a.text)
}

// runsByID returns the runs of each request.
func (r *record) runsByID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]run{}
	for _, x := range r.runs {
		out[x.id] = append(out[x.id], x)
	}
	return out
}

// served returns how many of the attempts with a path since a time were made and served.
func (r *record) served(path string, since time.Time) (sent, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		if a.path == path && !a.sent.Before(since) {
			sent++
			if a.served() {
				served++
			}
		}
	}
	return sent, served
}

// write writes all lines to a file, in the order of their times.
func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i][:11] < r.lines[j][:11] })
	return os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// client sends requests to the sidecar of one machine. It never repeats one.
type client struct {
	record  *record
	machine *machine
}

// do sends one request and waits for its answer for as long as its time budget says.
func (c client) do(id, method, path, body string, budget time.Duration) {
	a := attempt{id: id, method: method, path: path, machine: c.machine.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	a.text = "no answer"
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.machine.address(outboundPort)+path, strings.NewReader(body))
	if err == nil {
		r.Host = hostName
		r.Header = http.Header{"X-Request-Id": {id}, "X-Deadline-Ms": {strconv.FormatInt(budget.Milliseconds(), 10)}}
		var response *http.Response
		if response, err = plain.Do(r); err == nil {
			data, readErr := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if readErr == nil {
				a.status, a.signed = response.StatusCode, response.Header.Get("X-Server-Signature") != ""
				a.text = strings.TrimSpace(string(data[:min(len(data), 40)]))
			}
		}
	}
	a.took = time.Since(a.sent)
	c.record.attempt(a)
}

// traffic sends requests at a steady rate to machines in turn until ctx ends, and waits for
// their answers.
func traffic(ctx context.Context, clients []client, perSecond int, method, path, name string, budget time.Duration) {
	var pending sync.WaitGroup
	defer pending.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c, id := clients[n%len(clients)], fmt.Sprintf("%s-%05d", name, n)
		pending.Go(func() { c.do(id, method, path, "", budget) })
	}
}
