package node

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// interimResponseInterval is the interval of interim responses until the response
// starts. Three of them fit into peerIdleTimeout.
const interimResponseInterval clock.Millis = 300

// peerHandler returns the handler for other nodes.
func (n *node) peerHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/relays/{id}", n.relays.serveState)
	r.Delete("/v1/relays/{id}", n.relays.serveCancel)
	r.NotFound(n.servePeer)
	r.MethodNotAllowed(n.servePeer)
	return r
}

// servePeer handles a request from another ingress node on the owner's node.
func (n *node) servePeer(w http.ResponseWriter, r *http.Request) {
	interim := startInterimResponses(w)
	defer interim.stop()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	relayed, removeRelay := n.relays.add(r.Header.Get(relayHeader), cancel)
	defer removeRelay()
	q, reply := n.readPeerRequest(w, r)
	if reply == nil {
		ctx, cancel := context.WithTimeout(ctx, (q.deadline - n.clock.Now()).Duration())
		defer cancel()
		reply = n.handleAsOwner(ctx, q)
	}
	interim.stop()
	reply.writeHeader(w, q)
	if err := reply.writeBody(w, q.deadline-n.clock.Now(), func(c int) { relayed.writtenBytes.Add(int64(c)) }); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// readPeerRequest returns the request of an ingress node, and a reply if it is rejected.
func (n *node) readPeerRequest(w http.ResponseWriter, r *http.Request) (*routedRequest, *nodeReply) {
	h := r.Header
	q := &routedRequest{
		id: requestID(h), method: r.Method, path: r.URL.EscapedPath(), query: r.URL.RawQuery, host: r.Host,
		header: endToEnd(h), caller: wire.CallerID(h.Get(header.Caller)),
		incarnation: wire.Incarnation(h.Get(header.Member)), partition: wire.PartitionID(h.Get(header.Partition)),
	}
	q.header.Del(relayHeader)
	token, _ := strconv.Atoi(h.Get(header.FencingToken))
	q.fencingToken = wire.FencingToken(token)
	q.attempt, _ = strconv.Atoi(h.Get(header.Attempt))
	q.deadline = n.clock.Now() + remainingMillis(h, defaultDeadline)
	snapshot := n.routing.snapshot()
	route, ok := snapshot.RouteByName(wire.RouteName(h.Get(header.Route)))
	if !ok || route.Service != wire.ServiceName(h.Get(header.Service)) {
		return q, unavailable(reasonNotOwner)
	}
	q.route = route.RouteConfig
	if !n.setKey(snapshot, route, r, q) || q.keyed != (q.partition != "") {
		return q, unavailable(reasonNotOwner)
	}
	if reply := q.readBody(w, r, q.deadline-n.clock.Now()); reply != nil {
		return q, reply
	}
	return q, nil
}

// interimResponder sends interim responses until it is stopped.
type interimResponder struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	timer   *time.Timer
	stopped bool
}

func startInterimResponses(w http.ResponseWriter) *interimResponder {
	k := &interimResponder{w: w}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.timer = time.AfterFunc(interimResponseInterval.Duration(), k.send)
	return k
}

func (i *interimResponder) send() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped {
		return
	}
	i.w.WriteHeader(http.StatusProcessing)
	i.timer.Reset(interimResponseInterval.Duration())
}

func (i *interimResponder) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
	i.timer.Stop()
}
