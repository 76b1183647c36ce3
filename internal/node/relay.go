package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/exchange"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// relayField names one response on its way between two nodes.
const relayField = "Gentiansail-Relay"

// relayTimeout bounds the question about a relay.
const relayTimeout clock.Millis = 500

func relayID(*request) string { return uuid.NewString() }

// relays are the responses that this node is sending to ingress nodes. A target
// may pause in the middle of a response for longer than a connection may stay
// silent, and no interim response can be sent any more. The ingress node then
// asks over a new connection how far the response has got.
type relays struct {
	mu  sync.Mutex
	all map[string]*atomic.Int64
}

func newRelays() *relays { return &relays{all: make(map[string]*atomic.Int64)} }

// begin counts the bytes of a response until end is called.
func (r *relays) begin(id string) (count *atomic.Int64, end func()) {
	count = new(atomic.Int64)
	if id == "" {
		return count, func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all[id] = count
	return count, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.all, id)
	}
}

// relayState is the response to GET /v1/relays/{id}.
type relayState struct {
	// Written is the number of body bytes that have been written.
	Written int64
}

func (r *relays) serve(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	v := r.all[chi.URLParam(q, "id")]
	r.mu.Unlock()
	if v == nil {
		http.NotFound(w, q)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(relayState{Written: v.Load()})
}

// relayCheck decides what silence on a connection to the owning node means.
type relayCheck struct {
	node    *node
	address string
	id      string
	ctx     context.Context
}

// waitOn reports whether to wait on. Before the response header, interim
// responses are due and silence means a dead connection. After it, the owning
// node must still be sending, and must not have written more than arrived.
func (c *relayCheck) waitOn(started bool, received int64) bool {
	if !started {
		return false
	}
	written, ok := c.ask()
	return ok && written <= received
}

func (c *relayCheck) ask() (int64, bool) {
	ctx, cancel := context.WithTimeout(c.ctx, relayTimeout.Duration())
	defer cancel()
	r, err := http.NewRequest(http.MethodGet, "http://"+c.address+"/v1/relays/"+c.id, nil)
	if err != nil {
		return 0, false
	}
	response, err := c.node.peerChecks.Do(ctx, exchange.Request{Address: c.address, HTTP: r, Fresh: true})
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProtocolBytes))
	var s relayState
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(data, &s) != nil {
		return 0, false
	}
	return s.Written, true
}
