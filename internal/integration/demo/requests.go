package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/integration/cluster"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// keyedService is the service whose keys have one owner each.
const keyedService wire.ServiceName = "catalogue"

const (
	// keyCount is the number of keys in use.
	keyCount = 100
	// chunkCount is the number of chunks in which a target streams a response.
	chunkCount = 3
	// maxInFlight is the maximum number of concurrent requests in a phase.
	maxInFlight = 16
	// maxSends bounds how often an operation is sent until its outcome is final.
	maxSends = 20
	// resendDelay is the time between two attempts of an operation.
	resendDelay clock.Millis = 50
)

// lastCaller is the number in the last caller ID. Each GET request and each operation has
// its own caller ID, so that a response that belongs to another one is detected.
var lastCaller atomic.Int64

func newCaller() wire.CallerID {
	return wire.CallerID(fmt.Sprintf("caller-%d", lastCaller.Add(1)))
}

func keyName(n int) string { return fmt.Sprintf("request-%d", n%keyCount+1) }

// tally counts requests by what their callers received.
type tally struct {
	mu                                                                 sync.Mutex
	requests, complete, failed, notRun, unknown, noResponse, truncated int
	// wrong describes complete responses that are partial or belong to another
	// request.
	wrong []string
}

// add counts a response and reports whether it is complete and correct.
func (t *tally) add(caller wire.CallerID, r cluster.Response, err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	switch {
	case err != nil:
		t.noResponse++
	case r.BodyErr != nil:
		t.truncated++
	case r.Outcome == wire.OutcomeComplete:
		t.complete++
		if w := responseError(caller, r); w != "" {
			t.wrong = append(t.wrong, w)
			return false
		}
		return true
	case r.Outcome == wire.OutcomeNotRun:
		t.notRun++
	case r.Outcome == wire.OutcomeFailed:
		t.failed++
	default:
		t.unknown++
	}
	return false
}

// responseError describes what is wrong with a response with the outcome complete. It
// returns an empty string if the response is correct.
func responseError(caller wire.CallerID, r cluster.Response) string {
	e, err := r.Echo()
	switch {
	case err != nil:
		return fmt.Sprintf("%s: %s", caller, err)
	case e.Caller != string(caller):
		return fmt.Sprintf("%s received the response to %s", caller, e.Caller)
	case !strings.HasSuffix(r.Body, fmt.Sprintf("chunk %d of %d of %s\n", chunkCount, chunkCount, e.RequestID)):
		return fmt.Sprintf("%s received a response that does not end with its last chunk", caller)
	}
	return ""
}

// getKey requests a key and reports whether the response is complete and correct.
func (d *demo) getKey(ctx context.Context, h *cluster.Host, key string) (cluster.Response, bool) {
	caller := newCaller()
	r, err := h.Do(ctx, cluster.Request{Method: http.MethodGet, Path: withChunks("/catalogue/" + key), Caller: caller})
	return r, d.tally.add(caller, r, err)
}

// withChunks adds the query parameters that request a response in chunks.
func withChunks(path string) string {
	separator := "?"
	if strings.Contains(path, "?") {
		separator = "&"
	}
	return fmt.Sprintf("%s%schunks=%d&delay=1", path, separator, chunkCount)
}

// operation is a request that must not run twice, with all its responses.
type operation struct {
	path      string
	caller    wire.CallerID
	key       wire.OperationKey
	responses []cluster.Response
}

func newOperation(path string) *operation {
	return &operation{path: withChunks(path), caller: newCaller(), key: wire.OperationKey(uuid.Must(uuid.NewV7()).String())}
}

// send sends the operation once and reports whether the response is complete and
// correct.
func (o *operation) send(ctx context.Context, d *demo, h *cluster.Host) bool {
	r, err := h.Do(ctx, cluster.Request{
		Method: http.MethodPost, Path: o.path, Body: string(o.key), Caller: o.caller, Key: o.key,
	})
	ok := d.tally.add(o.caller, r, err)
	if err != nil || r.BodyErr != nil {
		r.Outcome = wire.OutcomeUnknown
	}
	o.responses = append(o.responses, r)
	return ok
}

// sendUntilFinal sends the operation through the hosts in turn until its outcome is
// final, at most maxSends times.
func (o *operation) sendUntilFinal(ctx context.Context, d *demo, hosts []*cluster.Host) {
	for n := range maxSends {
		if o.send(ctx, d, hosts[n%len(hosts)]) || o.isFinal() {
			return
		}
		if clock.System().Sleep(ctx, resendDelay) != nil {
			return
		}
	}
}

// isFinal reports whether a resend cannot change the outcome, because the operation is
// recorded as started and its outcome as unknown.
func (o *operation) isFinal() bool {
	last := o.responses[len(o.responses)-1]
	return last.Status == http.StatusConflict && last.Reason == "unknown"
}

// outcome returns complete if any response was complete, not-run if all were not-run,
// and unknown otherwise.
func (o *operation) outcome() wire.Outcome {
	best := wire.OutcomeNotRun
	for _, r := range o.responses {
		switch r.Outcome {
		case wire.OutcomeComplete:
			return r.Outcome
		case wire.OutcomeNotRun:
		default:
			best = wire.OutcomeUnknown
		}
	}
	return best
}

// forEachConcurrently calls f for 0 to n-1, with at most maxInFlight concurrent calls.
func forEachConcurrently(n int, f func(i int)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	for i := range n {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			f(i)
		})
	}
	group.Wait()
}
