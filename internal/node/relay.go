package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// relayField names one response on its way between two nodes.
const relayHeader = "Gentiansail-Relay"

// relayTimeout bounds the question about a relay.
const relayTimeout clock.Millis = 500

// relays are the responses that this node is sending to ingress nodes. A target
// may pause in the middle of a response for longer than a connection may stay
// silent, and no interim response can be sent any more. The ingress node then
// asks over a new connection how far the response has got.
//
// An ingress node that gives up such a connection says so over a new one,
// because this node would otherwise not notice before the deadline.
type relayRegistry struct {
	mu   sync.Mutex
	byID map[string]*relayedRequest
}

// relay is one request that came through an ingress node.
type relayedRequest struct {
	// written is the number of body bytes of the response that were written.
	written atomic.Int64
	cancel  context.CancelFunc
}

func newRelays() *relayRegistry { return &relayRegistry{byID: make(map[string]*relayedRequest)} }

// begin makes a request known until end is called.
func (r *relayRegistry) add(id string, cancel context.CancelFunc) (relayed *relayedRequest, remove func()) {
	relayed = &relayedRequest{cancel: cancel}
	if id == "" {
		return relayed, func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = relayed
	return relayed, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.byID, id)
	}
}

func (r *relayRegistry) find(q *http.Request) *relayedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[chi.URLParam(q, "id")]
}

func (r *relayRegistry) serveCancel(w http.ResponseWriter, q *http.Request) {
	if relayed := r.find(q); relayed != nil {
		relayed.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// relayState is the response to GET /v1/relays/{id}.
type relayState struct {
	// Written is the number of body bytes that have been written.
	Written int64
}

func (r *relayRegistry) serveState(w http.ResponseWriter, q *http.Request) {
	relayed := r.find(q)
	if relayed == nil {
		http.NotFound(w, q)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(relayState{Written: relayed.written.Load()})
}

// relayCheck decides what silence on a connection to the owning node means.
type relayCheck struct {
	node    *node
	address string
	id      string
	ctx     context.Context
	// repeatable allows the request to be cancelled: another attempt does not
	// ask for this one's outcome.
	repeatable bool
}

// waitOn reports whether to wait on. Before the response header, interim
// responses are due and silence means a dead connection. After it, the owning
// node must still be sending, and must not have written more than arrived.
func (c *relayCheck) keepWaiting(headerReceived bool, receivedBytes int64) bool {
	if headerReceived {
		written, ok := c.bytesWritten()
		if ok && written <= receivedBytes {
			return true
		}
	}
	if c.repeatable {
		c.node.background.Go(c.cancelRequest)
	}
	return false
}

func (c *relayCheck) cancelRequest() {
	ctx, stop := context.WithTimeout(c.node.processCtx, relayTimeout.Duration())
	defer stop()
	response, err := c.call(ctx, http.MethodDelete)
	if err == nil {
		_ = response.Body.Close()
	}
}

func (c *relayCheck) call(ctx context.Context, method string) (*http.Response, error) {
	r, err := http.NewRequest(method, "http://"+c.address+"/v1/relays/"+c.id, nil)
	if err != nil {
		return nil, err
	}
	return c.node.peerCheckPool.Do(ctx, exchange.Request{Address: c.address, HTTP: r, Fresh: true})
}

func (c *relayCheck) bytesWritten() (int64, bool) {
	ctx, cancel := context.WithTimeout(c.ctx, relayTimeout.Duration())
	defer cancel()
	response, err := c.call(ctx, http.MethodGet)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProtocolBytes))
	var state relayState
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(data, &state) != nil {
		return 0, false
	}
	return state.Written, true
}
