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

// processingEvery is the interval of interim responses while the target works:
// three fit into the silence that the other node allows.
const processingEvery clock.Millis = 300

// peerHandler serves other nodes.
func (n *node) peerHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/relays/{id}", n.relays.serve)
	r.Delete("/v1/relays/{id}", n.relays.serveCancel)
	r.NotFound(n.servePeer)
	r.MethodNotAllowed(n.servePeer)
	return r
}

// servePeer is the owner's part of a request that came through another node.
func (n *node) servePeer(w http.ResponseWriter, r *http.Request) {
	alive := keepAlive(w)
	defer alive.stop()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	relay, end := n.relays.begin(r.Header.Get(relayField), cancel)
	defer end()
	q, p := n.acceptPeer(w, r)
	if p == nil {
		ctx, cancel := context.WithTimeout(ctx, (q.deadline - n.clock.Now()).Duration())
		defer cancel()
		p = n.own(ctx, q)
	}
	alive.stop()
	p.writeHeader(w, q)
	if err := p.writeBody(w, q.deadline-n.clock.Now(), func(c int) { relay.written.Add(int64(c)) }); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// acceptPeer reads what the ingress node asks for.
func (n *node) acceptPeer(w http.ResponseWriter, r *http.Request) (*request, *reply) {
	h := r.Header
	q := &request{
		id: requestID(h), method: r.Method, path: r.URL.EscapedPath(), query: r.URL.RawQuery, host: r.Host,
		header: endToEnd(h), caller: wire.CallerID(h.Get(header.Caller)),
		member: wire.Incarnation(h.Get(header.Member)), partition: wire.PartitionID(h.Get(header.Partition)),
	}
	q.header.Del(relayField)
	epoch, _ := strconv.Atoi(h.Get(header.Epoch))
	q.epoch = wire.FencingToken(epoch)
	q.attempt, _ = strconv.Atoi(h.Get(header.Attempt))
	q.deadline = n.clock.Now() + remainingMillis(h, defaultDeadline)
	s := n.routing.snapshot()
	route, ok := s.RouteByName(wire.RouteName(h.Get(header.Route)))
	if !ok || route.Service != wire.ServiceName(h.Get(header.Service)) {
		return q, unavailable(reasonNotOwner)
	}
	q.route = route.RouteConfig
	if !n.keyOf(s, route, r, q) || q.keyed != (q.partition != "") {
		return q, unavailable(reasonNotOwner)
	}
	if p := q.read(w, r, q.deadline-n.clock.Now()); p != nil {
		return q, p
	}
	return q, nil
}

// keepAliver sends interim responses until the final one begins.
type keepAliver struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	timer   *time.Timer
	stopped bool
}

func keepAlive(w http.ResponseWriter) *keepAliver {
	k := &keepAliver{w: w}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.timer = time.AfterFunc(processingEvery.Duration(), k.send)
	return k
}

func (k *keepAliver) send() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return
	}
	k.w.WriteHeader(http.StatusProcessing)
	k.timer.Reset(processingEvery.Duration())
}

func (k *keepAliver) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	k.timer.Stop()
}
