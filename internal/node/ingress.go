package node

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/gentiansail/gentiansail/internal/header"
	"github.com/gentiansail/gentiansail/internal/table"
	"github.com/gentiansail/gentiansail/internal/wire"
	"github.com/gentiansail/gentiansail/pkg/clock"
	"github.com/gentiansail/gentiansail/pkg/partition"
)

// callerHandler returns the handler for callers. All paths have the same handler,
// because the routes come from the configuration.
func (n *node) callerHandler() http.Handler {
	r := chi.NewRouter()
	r.NotFound(n.serveCaller)
	r.MethodNotAllowed(n.serveCaller)
	return r
}

// serveCaller handles a caller's request on the ingress node.
func (n *node) serveCaller(w http.ResponseWriter, r *http.Request) {
	n.ingressRequests.Add(1)
	defer n.ingressRequests.Add(-1)
	q, reply := n.readCallerRequest(w, r)
	if reply != nil {
		n.deliver(w, q, reply)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), (q.deadline - n.clock.Now()).Duration())
	defer cancel()
	n.deliver(w, q, n.sendWithRetries(ctx, q))
}

// readCallerRequest returns the request of a caller, and a reply if it is rejected.
func (n *node) readCallerRequest(w http.ResponseWriter, r *http.Request) (*routedRequest, *nodeReply) {
	q := &routedRequest{
		id: requestID(r.Header), method: r.Method, path: r.URL.EscapedPath(), query: r.URL.RawQuery, host: r.Host,
		header: endToEnd(r.Header), caller: wire.CallerID(r.Header.Get(header.Caller)), attempt: 1,
	}
	if !n.awaitTable(r.Context()) {
		return q, unavailable(reasonStaleTable)
	}
	snapshot := n.routing.snapshot()
	route, ok := snapshot.Route(r.Method, r.URL.Path)
	if !ok {
		return q, reject(http.StatusNotFound, reasonNoRoute)
	}
	q.route = route.RouteConfig
	q.deadline = n.clock.Now() + remainingMillis(r.Header, clock.Millis(q.route.DeadlineMillis))
	if !n.callerBudget.Allow(string(q.caller), classOf(q.route.Class)) {
		return q, reject(http.StatusTooManyRequests, reasonCallerLimit)
	}
	if !n.setKey(snapshot, route, r, q) {
		return q, reject(http.StatusBadRequest, reasonNoKey)
	}
	if reply := q.readBody(w, r, q.deadline-n.clock.Now()); reply != nil {
		return q, reply
	}
	return q, nil
}

// awaitTable waits until the routing table is fresh, for example after a start of the
// node. It returns false after moveTimeout.
func (n *node) awaitTable(ctx context.Context) bool {
	deadline := n.clock.Now() + moveTimeout
	for {
		changed := n.routing.changed()
		if n.routing.fresh() {
			return true
		}
		if n.awaitTableChange(ctx, changed, deadline, reasonStaleTable) != nil {
			return false
		}
	}
}

// setKey sets the request's key. It returns false if the service is keyed but the
// request has no key.
func (n *node) setKey(snapshot *table.Snapshot, route *table.Route, r *http.Request, q *routedRequest) bool {
	service, ok := snapshot.Service(route.Service)
	if !ok || !service.Keyed {
		return true
	}
	key, ok := route.Key(r)
	if !ok {
		return false
	}
	q.keyed = true
	q.key = partition.Hash(key)
	return true
}

// readBody reads the part of the body that must be in memory before the request is sent:
// the whole body if the request must run at most once. Reading fails at the deadline, in
// case the sender stalls.
func (q *routedRequest) readBody(w http.ResponseWriter, r *http.Request, remaining clock.Millis) *nodeReply {
	limit := int64(bufferedBodyBytes)
	if !q.route.Repeatable {
		if _, ok := operationKey(q.header); !ok {
			return reject(http.StatusBadRequest, reasonNoOperation)
		}
		limit = maxOperationBodyBytes
	}
	var err error
	if r.Body != nil && r.Body != http.NoBody {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(remaining.Duration()))
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	q.body, err = prefetchBody(r, limit)
	if err != nil {
		return reject(http.StatusBadRequest, reasonBadRequest)
	}
	if !q.route.Repeatable && !q.body.buffered() {
		return reject(http.StatusRequestEntityTooLarge, reasonTooLarge)
	}
	return nil
}

func requestID(h http.Header) string {
	if id := h.Get(header.RequestID); validRequestID(id) {
		return id
	}
	return uuid.NewString()
}

// deliver sends a reply to the caller. If the response cannot be completed, it aborts the
// connection, so that the caller does not take the response for complete.
func (n *node) deliver(w http.ResponseWriter, q *routedRequest, reply *nodeReply) {
	n.metrics.requests.WithLabelValues(string(reply.outcome), string(reply.reason)).Inc()
	reply.header.Del(header.InFlight)
	reply.header.Del(header.Limit)
	// Set here and not in reply.header, which may be recorded as an operation's result.
	if reply.ranNow() {
		w.Header().Set(header.Member, string(q.incarnation))
	}
	reply.writeHeader(w, q)
	if err := reply.writeBody(w, q.deadline-n.clock.Now(), func(int) {}); err != nil {
		n.metrics.aborted.Inc()
		panic(http.ErrAbortHandler)
	}
}
