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

// relayHeader is the header field with the ID of a relayed request, which the ingress
// node chooses.
const relayHeader = "Gentiansail-Relay"

// relayTimeout is the timeout of a call about a relayed request.
const relayTimeout clock.Millis = 500

// relayRegistry holds the relayed requests that this node is serving as owner. A target
// may pause in the middle of a response for longer than the idle timeout of connections
// between nodes, and interim responses can only be sent before the response header. The
// ingress node then asks over a new connection how many bytes of the response body this
// node has written. If it has received as many, the target is pausing and the ingress
// node keeps waiting. If it has received fewer, or this node does not answer or does not
// serve the request any more, the old connection is dead.
//
// An ingress node that gives up a connection cancels the request over a new one,
// because this node would otherwise not notice that before the deadline.
type relayRegistry struct {
	mu   sync.Mutex
	byID map[string]*relayedRequest
}

// relayedRequest is a request that was received from an ingress node.
type relayedRequest struct {
	// writtenBytes is the number of response body bytes written so far.
	writtenBytes atomic.Int64
	cancel       context.CancelFunc
}

func newRelayRegistry() *relayRegistry { return &relayRegistry{byID: make(map[string]*relayedRequest)} }

// add adds a request and returns a function that removes it. A request without an ID is
// not added.
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

func (r *relayRegistry) find(httpRequest *http.Request) *relayedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[chi.URLParam(httpRequest, "id")]
}

func (r *relayRegistry) serveCancel(w http.ResponseWriter, httpRequest *http.Request) {
	if relayed := r.find(httpRequest); relayed != nil {
		relayed.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// relayState is the response to GET /v1/relays/{id}.
type relayState struct {
	// Written is the number of response body bytes written so far.
	Written int64
}

func (r *relayRegistry) serveState(w http.ResponseWriter, httpRequest *http.Request) {
	relayed := r.find(httpRequest)
	if relayed == nil {
		http.NotFound(w, httpRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(relayState{Written: relayed.writtenBytes.Load()})
}

// relayCheck decides whether an idle connection to the owning node is dead.
type relayCheck struct {
	node    *node
	address string
	id      string
	ctx     context.Context
	// repeatable is set if the request may be cancelled, because a further attempt
	// does not need the result of this one.
	repeatable bool
}

// keepWaiting reports whether to keep waiting on an idle connection. Before the response
// header the owning node sends interim responses, so an idle connection is dead. After
// it, the connection is alive if the owning node still serves the request and has not
// written more body bytes than were received.
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
	request, err := http.NewRequest(method, "http://"+c.address+"/v1/relays/"+c.id, nil)
	if err != nil {
		return nil, err
	}
	return c.node.peerCheckPool.Do(ctx, exchange.Request{Address: c.address, HTTP: request, NewConnection: true})
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
