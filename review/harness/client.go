package harness

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	ID        string
	Sent      time.Time
	Took      time.Duration
	Status    int
	Signature string
	Body      []byte
	Err       error
}

// Client sends requests from the machine of a sidecar on kept connections.
type Client struct {
	Machine *Process
	http    http.Client
}

// NewClient returns a client on the machine of a sidecar.
func NewClient(machine *Process) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second, DisableCompression: true,
	}
	return &Client{Machine: machine, http: http.Client{Transport: transport}}
}

// Request is one attempt of a client.
type Request struct {
	ID     string
	Method string
	Host   string
	Path   string
	Body   []byte
	// Chunked sends the body without its length.
	Chunked bool
	// Key is below 0 for a request without a key.
	Key        int
	DeadlineMs int
	// LeaveAfterMs, if positive, is when the client leaves, before its time budget ends.
	LeaveAfterMs int
}

// onlyReader hides the length of a body.
type onlyReader struct{ io.Reader }

// Send sends a request once and reads the whole answer.
func (c *Client) Send(q Request) Answer {
	a := Answer{ID: q.ID, Sent: time.Now()}
	patience := q.DeadlineMs
	if q.LeaveAfterMs > 0 {
		patience = q.LeaveAfterMs
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(patience)*time.Millisecond)
	defer cancel()
	var body io.Reader
	if len(q.Body) > 0 {
		body = bytes.NewReader(q.Body)
		if q.Chunked {
			body = onlyReader{body}
		}
	}
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+c.Machine.CallersAddress()+q.Path, body)
	if err != nil {
		a.Err = err
		return a
	}
	r.GetBody = nil // the client does not repeat a request on its own
	r.Host = q.Host
	r.Header.Set("X-Request-Id", q.ID)
	r.Header.Set("X-Deadline-Ms", strconv.Itoa(q.DeadlineMs))
	if q.Key >= 0 {
		r.Header.Set("X-Shard-Key", strconv.Itoa(q.Key))
	}
	answer, err := c.http.Do(r)
	if err != nil {
		a.Err, a.Took = err, time.Since(a.Sent)
		return a
	}
	defer answer.Body.Close()
	a.Status, a.Signature = answer.StatusCode, answer.Header.Get("X-Server-Signature")
	a.Body, a.Err = io.ReadAll(answer.Body)
	a.Took = time.Since(a.Sent)
	return a
}

// Steady calls f at a steady rate until the context ends, each call in a goroutine of its own,
// and waits for all calls.
func Steady(ctx context.Context, perSecond float64, f func(n int)) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			calls.Wait()
			return
		case <-ticker.C:
			calls.Add(1)
			go func() {
				defer calls.Done()
				f(n)
			}()
		}
	}
}

// Drain reads the body of a request and returns its length.
func Drain(r *http.Request) (int64, error) { return io.Copy(io.Discard, r.Body) }
