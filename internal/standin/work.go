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
	// keySegment is the index of the path segment that the echo reports as the key;
	// the empty segment before the first slash has index 0.
	keySegment = 2
)

// Echo is the first line of each response to a request that ran, as JSON.
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

// serve runs one request. It rejects the request if no slot can be acquired, or if
// the target checks grants and none covers it.
func (s *Standin) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	if !s.acquireSlot(r.Context()) {
		s.reject(w, header.RejectedOverload, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	partition, token := grantOf(r)
	// The grant is checked last before the run: during a pause between the check
	// and the run, the grant could expire.
	if s.options.ChecksGrants && !s.grants.allow(partition, token, s.clock.Now()) {
		s.reject(w, header.RejectedGrant, http.StatusConflict)
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	n := s.runs.start(Run{
		RequestID: r.Header.Get(header.RequestID), IdempotencyKey: r.Header.Get(header.IdempotencyKey),
		Method: r.Method, Path: r.URL.Path, Caller: r.Header.Get(header.Caller),
		Partition: partition, FencingToken: token, Instance: s.instance, Start: s.clock.Wall(),
	})
	defer func() { s.runs.end(n, s.clock.Wall()) }()
	s.crashIfMarked(r)
	s.respond(w, r, partition, token)
}

// acquireSlot takes a slot and reports whether it succeeded. Unless the target sheds
// load, it waits for a free slot until ctx ends.
func (s *Standin) acquireSlot(ctx context.Context) bool {
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

func (s *Standin) reject(w http.ResponseWriter, reason string, status int) {
	w.Header().Set(header.Rejected, reason)
	http.Error(w, reason, status)
}

func grantOf(r *http.Request) (wire.PartitionID, wire.FencingToken) {
	token, _ := strconv.Atoi(r.Header.Get(header.FencingToken))
	return wire.PartitionID(r.Header.Get(header.Partition)), wire.FencingToken(token)
}

// crashIfMarked ends the process if the request is marked for a crash.
func (s *Standin) crashIfMarked(r *http.Request) {
	marked := r.Header.Get(crashHeader) != "" || strings.Contains(r.URL.Path+"/", "/crash/")
	if marked && s.options.Exit != nil {
		s.options.Exit(crashStatus)
	}
}

// respond waits for the service time and streams the response. It stops early when
// the request is cancelled.
func (s *Standin) respond(w http.ResponseWriter, r *http.Request, p wire.PartitionID, token wire.FencingToken) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.stalled.Load() {
		<-r.Context().Done()
		return
	}
	if s.clock.Sleep(r.Context(), s.serviceTime(q)) != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(int(queryNumber(q, "status", http.StatusOK)))
	_ = json.NewEncoder(w).Encode(Echo{
		RequestID: r.Header.Get(header.RequestID), Key: keyOf(r.URL.Path), Caller: r.Header.Get(header.Caller),
		Partition: p, FencingToken: token, Instance: s.instance, Body: string(body),
	})
	_, _ = io.WriteString(w, strings.Repeat("x", int(queryNumber(q, "bytes", 0))))
	s.stream(w, r, q)
}

// stream writes the chunks that the request's query parameters ask for.
func (s *Standin) stream(w http.ResponseWriter, r *http.Request, q url.Values) {
	chunks := queryNumber(q, "chunks", 0)
	delay := clock.Millis(queryNumber(q, "delay", 0))
	for n := range chunks {
		_ = http.NewResponseController(w).Flush()
		if s.clock.Sleep(r.Context(), delay) != nil {
			// Abort the connection, so that the partial response does not appear
			// complete.
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

// queryNumber returns the query parameter as a number, or defaultValue if it is
// missing, invalid or negative.
func queryNumber(q url.Values, name string, defaultValue int64) int64 {
	n, err := strconv.ParseInt(q.Get(name), 10, 64)
	if err != nil || n < 0 {
		return defaultValue
	}
	return n
}

func (s *Standin) serviceTime(q url.Values) clock.Millis {
	serviceMillis := float64(queryNumber(q, "work", s.serviceMillis.Load()))
	return clock.Millis(serviceMillis * s.coldFactor())
}

// coldFactor returns the current factor of the service time, which decreases
// linearly from ColdFactor to 1 over ColdMillis.
func (s *Standin) coldFactor() float64 {
	uptime := s.clock.Now() - s.started
	if s.options.ColdFactor <= 1 || uptime >= s.options.ColdMillis {
		return 1
	}
	remaining := 1 - float64(uptime)/float64(s.options.ColdMillis)
	return 1 + (s.options.ColdFactor-1)*remaining
}
