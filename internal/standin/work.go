package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

const (
	// crashHeader marks a request that ends the process.
	crashHeader = "Standin-Crash"
	// crashStatus is the exit status of a crash.
	crashStatus = 2
	// keySegment is the path segment that the echo takes for the key.
	keySegment = 2
)

// Echo is the first line of each response.
type Echo struct {
	RequestID    string
	Key          string
	Caller       string
	Partition    wire.PartitionID
	FencingToken wire.FencingToken `json:"Epoch"`
	Instance     string
	// Body is the request's body.
	Body string
}

// serve works on one request, unless no grant covers it or all slots are taken.
func (s *Standin) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	if !s.enter(r.Context()) {
		s.refuse(w, header.RejectedOverload, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	partition, epoch := grantOf(r)
	// The check is the last step before the run, so that a pause before it
	// cannot let an outdated grant pass.
	if s.options.ChecksGrants && !s.grants.allow(partition, epoch, s.clock.Now()) {
		s.refuse(w, header.RejectedGrant, http.StatusConflict)
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	n := s.runs.start(Run{
		RequestID: r.Header.Get(header.RequestID), IdempotencyKey: r.Header.Get(header.IdempotencyKey),
		Method: r.Method, Path: r.URL.Path, Caller: r.Header.Get(header.Caller),
		Partition: partition, FencingToken: epoch, Instance: s.instance, Start: s.clock.Wall(),
	})
	defer func() { s.runs.end(n, s.clock.Wall()) }()
	s.crash(r)
	s.respond(w, r, partition, epoch)
}

// enter takes a slot.
func (s *Standin) enter(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if s.options.Sheds {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Standin) refuse(w http.ResponseWriter, reason string, status int) {
	w.Header().Set(header.Rejected, reason)
	http.Error(w, reason, status)
}

func grantOf(r *http.Request) (wire.PartitionID, wire.FencingToken) {
	epoch, _ := strconv.Atoi(r.Header.Get(header.FencingToken))
	return wire.PartitionID(r.Header.Get(header.Partition)), wire.FencingToken(epoch)
}

func (s *Standin) crash(r *http.Request) {
	marked := r.Header.Get(crashHeader) != "" || strings.Contains(r.URL.Path+"/", "/crash/")
	if marked && s.options.Exit != nil {
		s.options.Exit(crashStatus)
	}
}

// respond waits for the service time and streams the response. It stops when
// the request is cancelled.
func (s *Standin) respond(w http.ResponseWriter, r *http.Request, p wire.PartitionID, e wire.FencingToken) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.stuck.Load() {
		<-r.Context().Done()
		return
	}
	if s.clock.Sleep(r.Context(), s.serviceTime(q)) != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(int(number(q, "status", http.StatusOK)))
	_ = json.NewEncoder(w).Encode(Echo{
		RequestID: r.Header.Get(header.RequestID), Key: keyOf(r.URL.Path), Caller: r.Header.Get(header.Caller),
		Partition: p, FencingToken: e, Instance: s.instance, Body: string(body),
	})
	_, _ = io.WriteString(w, strings.Repeat("x", int(number(q, "bytes", 0))))
	s.stream(w, r, q)
}

func (s *Standin) stream(w http.ResponseWriter, r *http.Request, q url.Values) {
	chunks := number(q, "chunks", 0)
	delay := clock.Millis(number(q, "delay", 0))
	for n := range chunks {
		_ = http.NewResponseController(w).Flush()
		if s.clock.Sleep(r.Context(), delay) != nil {
			// The response must not look complete.
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "chunk %d of %d of %s\n", n+1, chunks, r.Header.Get(header.RequestID))
	}
}

func keyOf(path string) string {
	parts := strings.Split(path, "/")
	if len(parts) <= keySegment {
		return ""
	}
	return parts[keySegment]
}

func number(q url.Values, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(q.Get(name), 10, 64)
	if err != nil || n < 0 {
		return otherwise
	}
	return n
}

func (s *Standin) serviceTime(q url.Values) clock.Millis {
	work := float64(number(q, "work", s.work.Load()))
	return clock.Millis(work * s.coldFactor())
}

// coldFactor falls from ColdFactor to 1 over ColdMillis.
func (s *Standin) coldFactor() float64 {
	age := s.clock.Now() - s.started
	if s.options.ColdFactor <= 1 || age >= s.options.ColdMillis {
		return 1
	}
	left := 1 - float64(age)/float64(s.options.ColdMillis)
	return 1 + (s.options.ColdFactor-1)*left
}
