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
	// chunks is the number of parts in which a target streams a response.
	chunks = 3
	// parallel is the number of requests in flight in a phase.
	parallel = 16
	// sendLimit is how often an operation is sent until its outcome is final.
	sendLimit = 20
	// resendDelay is the time between two attempts.
	resendDelay clock.Millis = 50
)

// callers numbers the requests: each states a caller of its own, so that a
// response that belongs to another request is recognised.
var callers atomic.Int64

func newCaller() wire.CallerID {
	return wire.CallerID(fmt.Sprintf("caller-%d", callers.Add(1)))
}

func keyName(n int) string { return fmt.Sprintf("request-%d", n%keyCount+1) }

// tally counts what callers saw.
type tally struct {
	mu                                                           sync.Mutex
	requests, complete, failed, notRun, unknown, noResponse, cut int
	// wrong are complete responses that are not those of their request.
	wrong []string
}

// add counts a response and returns whether it is complete and right.
func (t *tally) add(caller wire.CallerID, r cluster.Response, err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	switch {
	case err != nil:
		t.noResponse++
	case r.BodyErr != nil:
		t.cut++
	case r.Outcome == wire.OutcomeComplete:
		t.complete++
		if w := mistake(caller, r); w != "" {
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

// mistake says what is wrong with a response that ended as complete.
func mistake(caller wire.CallerID, r cluster.Response) string {
	e, err := r.Echo()
	switch {
	case err != nil:
		return fmt.Sprintf("%s: %s", caller, err)
	case e.Caller != string(caller):
		return fmt.Sprintf("%s received the response to %s", caller, e.Caller)
	case !strings.HasSuffix(r.Body, fmt.Sprintf("chunk %d of %d of %s\n", chunks, chunks, e.RequestID)):
		return fmt.Sprintf("%s received a part of the response", caller)
	}
	return ""
}

// get asks for a key.
func (d *demo) get(ctx context.Context, h *cluster.Host, key string) (cluster.Response, bool) {
	caller := newCaller()
	r, err := h.Do(ctx, cluster.Request{Method: http.MethodGet, Path: withChunks("/catalogue/" + key), Caller: caller})
	return r, d.tally.add(caller, r, err)
}

// withChunks asks for a response in chunks.
func withChunks(path string) string {
	separator := "?"
	if strings.Contains(path, "?") {
		separator = "&"
	}
	return fmt.Sprintf("%s%schunks=%d&delay=1", path, separator, chunks)
}

// operation is a request that must not repeat, with all its responses.
type operation struct {
	path      string
	caller    wire.CallerID
	key       wire.OperationKey
	responses []cluster.Response
}

func newOperation(path string) *operation {
	return &operation{path: withChunks(path), caller: newCaller(), key: wire.OperationKey(uuid.Must(uuid.NewV7()).String())}
}

// send sends the operation once.
func (o *operation) send(ctx context.Context, d *demo, h *cluster.Host) bool {
	r, err := h.Do(ctx, cluster.Request{
		Method: http.MethodPost, Path: o.path, Body: string(o.key), Caller: o.caller, Key: o.key,
	})
	right := d.tally.add(o.caller, r, err)
	if err != nil || r.BodyErr != nil {
		r.Outcome = wire.OutcomeUnknown
	}
	o.responses = append(o.responses, r)
	return right
}

// settle sends the operation again through one host after the other until its
// outcome is final.
func (o *operation) settle(ctx context.Context, d *demo, hosts []*cluster.Host) {
	for n := range sendLimit {
		if o.send(ctx, d, hosts[n%len(hosts)]) || o.final() {
			return
		}
		if clock.System().Sleep(ctx, resendDelay) != nil {
			return
		}
	}
}

// final reports whether a resend could not change the outcome: the record says
// that the run began and was lost.
func (o *operation) final() bool {
	last := o.responses[len(o.responses)-1]
	return last.Status == http.StatusConflict && last.Reason == "unknown"
}

// outcome is the best that any response said.
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

// each runs f for 0 to n-1, several at a time.
func each(n int, f func(i int)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i := range n {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			f(i)
		})
	}
	group.Wait()
}
