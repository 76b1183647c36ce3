package rpc

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/gentiansail/gentiansail/internal/transport/inbound"
	"github.com/gentiansail/gentiansail/pkg/clock"
)

// ErrServe means that the listener failed.
var ErrServe = merry.Sentinel("cannot accept connections")

const (
	// maxCallsPerConnection bounds the goroutines that one peer can start.
	maxCallsPerConnection = 512
	// stopTimeout bounds how long Serve waits for calls in progress before it returns.
	stopTimeout clock.Millis = 5000
)

// discardLog turns off the log of the jsonrpc2 library, because errors are returned
// to callers.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

type method func(ctx context.Context, params json.RawMessage) (any, error)

// Server serves calls. All handlers must be registered before Serve is called.
type Server struct {
	methods map[string]method

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
	// calls is the number of calls in progress.
	calls int
	// stopping is set when Serve starts to stop. stopped is closed when calls is then
	// zero.
	stopping bool
	stopped  chan struct{}
}

// NewServer returns a server that handles only pings.
func NewServer() *Server {
	s := &Server{methods: make(map[string]method), conns: make(map[*jsonrpc2.Conn]struct{}), stopped: make(chan struct{})}
	Handle(s, methodPing, func(context.Context, struct{}) (struct{}, error) { return struct{}{}, nil })
	return s
}

// Handle registers the handler of a method. Calls run concurrently. Notifications
// of one connection run one after the other in the order in which they were sent,
// so the handler of a notification must not block.
func Handle[Request, Response any](s *Server, name string, f func(context.Context, Request) (Response, error)) {
	s.methods[name] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var r Request
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, &Error{Code: CodeRejected, Message: "invalid parameters: " + err.Error()}
		}
		return f(ctx, r)
	}
}

// Serve accepts connections until ctx ends, then waits for calls in progress
// and closes all connections.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stopClosing := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stopClosing()
	// Handlers continue during a graceful stop.
	handlerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for {
		raw, err := l.Accept()
		if ctx.Err() != nil {
			s.stop()
			return nil
		}
		if err != nil {
			return merry.Wrap(ErrServe, merry.WithCause(err), merry.AppendMessage(err.Error()))
		}
		s.add(handlerCtx, raw)
	}
}

func (s *Server) add(ctx context.Context, raw net.Conn) {
	stream := jsonrpc2.NewBufferedStream(&timeoutConn{Conn: raw, idleTimeout: serverIdleTimeout}, frameCodec{account: inbound.AccountOf(raw)})
	h := &connHandler{server: s, slots: make(chan struct{}, maxCallsPerConnection)}
	conn := jsonrpc2.NewConn(ctx, stream, h, discardLog)
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	go func() {
		<-conn.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
}

// stop waits until no call is in progress, at most stopTimeout, and closes all
// connections.
func (s *Server) stop() {
	s.mu.Lock()
	s.stopping = true
	s.signalIfIdle()
	s.mu.Unlock()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
	defer cancel()
	select {
	case <-s.stopped:
	case <-stopCtx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// beginCall counts a call as in progress. During a stop it returns false, and the
// call must be rejected. Otherwise new calls on open connections could delay the
// stop without end.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.calls++
	return true
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	s.signalIfIdle()
}

// signalIfIdle closes s.stopped if a stop is in progress and no call is. s.mu must
// be held. No call begins after stopping was set, so the channel is closed only
// once.
func (s *Server) signalIfIdle() {
	if s.stopping && s.calls == 0 {
		close(s.stopped)
	}
}

// connHandler handles the calls of one connection.
type connHandler struct {
	server *Server
	slots  chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (h *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	m, ok := h.server.methods[r.Method]
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	if r.Notif {
		if ok {
			_, _ = m(ctx, params)
		}
		return
	}
	if !ok {
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method})
		return
	}
	select {
	case h.slots <- struct{}{}:
	default:
		_ = conn.ReplyWithError(ctx, r.ID, errorToWire(&Error{Code: CodeUnavailable, Message: "too many calls on this connection"}))
		return
	}
	if !h.server.beginCall() {
		<-h.slots
		_ = conn.ReplyWithError(ctx, r.ID, errorToWire(&Error{Code: CodeUnavailable, Message: "server is stopping"}))
		return
	}
	go func() {
		defer h.server.endCall()
		defer func() { <-h.slots }()
		h.reply(ctx, conn, r.ID, m, params)
	}()
}

func (h *connHandler) reply(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, m method, params json.RawMessage) {
	result, err := m(ctx, params)
	if err != nil {
		_ = conn.ReplyWithError(ctx, id, errorToWire(err))
		return
	}
	_ = conn.Reply(ctx, id, result)
}
