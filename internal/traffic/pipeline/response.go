package pipeline

import (
	"context"
	"net/http"
	"sync"
)

// response is the response to a request that runs ahead. It is kept until its turn and then
// passed on as it arrives.
type response struct {
	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	ctx     context.Context
	header  http.Header
	status  int
	body    []byte
	// flushes counts the calls of Flush, ended is true when the handler has returned.
	flushes int
	ended   bool
	aborted bool
}

func newResponse() *response {
	return &response{changed: make(chan struct{}), header: http.Header{}}
}

// run runs the handler.
func (x *response) run(h http.Handler, r *http.Request) {
	x.ctx = r.Context()
	defer func() {
		// As in net/http, a panic aborts the response. The one of this handler states only
		// that.
		aborted := recover() != nil
		x.mu.Lock()
		defer x.mu.Unlock()
		x.ended, x.aborted = true, aborted
		if x.status == 0 {
			x.status = http.StatusOK
		}
		x.wake()
	}()
	h.ServeHTTP(x, r)
}

func (x *response) wake() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// Header implements http.ResponseWriter.
func (x *response) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *response) WriteHeader(status int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.status == 0 {
		x.status = status
		x.wake()
	}
}

// Write implements http.ResponseWriter. It waits for the turn of the response when too much
// of it is buffered.
func (x *response) Write(b []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	for {
		x.mu.Lock()
		full, changed := len(x.body) > 0 && len(x.body)+len(b) > maxBufferedResponse, x.changed
		if !full {
			x.body = append(x.body, b...)
			x.wake()
			x.mu.Unlock()
			return len(b), nil
		}
		x.mu.Unlock()
		select {
		case <-changed:
		case <-x.ctx.Done():
			return 0, x.ctx.Err()
		}
	}
}

// FlushError flushes what has been written once it is the turn of the response.
func (x *response) FlushError() error {
	x.WriteHeader(http.StatusOK)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flushes++
	x.wake()
	return x.ctx.Err()
}

// writeTo passes the response on to w until it is complete. It panics if the handler did,
// so that the response does not look complete.
func (x *response) writeTo(ctx context.Context, w http.ResponseWriter) {
	flushed, started := 0, false
	for {
		x.mu.Lock()
		status, body, flushes, ended, aborted, changed := x.status, x.body, x.flushes, x.ended, x.aborted, x.changed
		x.body = nil
		if len(body) > 0 {
			x.wake()
		}
		x.mu.Unlock()
		if status != 0 && !started && !(ended && aborted && len(body) == 0) {
			started = true
			for name, values := range x.header {
				w.Header()[name] = values
			}
			w.WriteHeader(status)
		}
		if len(body) > 0 {
			if _, err := w.Write(body); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if flushes > flushed {
			flushed = flushes
			if err := http.NewResponseController(w).Flush(); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if ended && aborted {
			panic(http.ErrAbortHandler)
		}
		if ended {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}
