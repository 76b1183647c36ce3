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

	"github.com/gentiansail/gentiansail/pkg/clock"
)

// ErrServe means that the listener failed.
var ErrServe = merry.Sentinel("cannot accept connections")

const (
	// maxCallsPerConnection bounds the goroutines that one peer can occupy.
	maxCallsPerConnection = 512
	// stopTimeout bounds how long a stop waits for calls in progress.
	stopTimeout clock.Millis = 5000
)

// quiet drops the library's own log lines; callers see errors as values.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

type method func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers calls. Register handlers before Serve.
type Server struct {
	methods map[string]method

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
	// calls is the number of calls in progress. stopped is closed when it
	// reaches zero after stopping was set.
	calls    int
	stopping bool
	stopped  chan struct{}
}

// NewServer returns a server without methods.
func NewServer() *Server {
	s := &Server{methods: make(map[string]method), conns: make(map[*jsonrpc2.Conn]struct{}), stopped: make(chan struct{})}
	Handle(s, methodPing, func(context.Context, struct{}) (struct{}, error) { return struct{}{}, nil })
	return s
}

// Handle registers the handler of a method. Calls run concurrently;
// notifications run one after the other in the order of their connection, and
// their handler must not block.
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
	stopped := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stopped()
	// Handlers keep running during a graceful stop.
	handling, cancel := context.WithCancel(context.WithoutCancel(ctx))
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
		s.add(handling, raw)
	}
}

func (s *Server) add(ctx context.Context, raw net.Conn) {
	stream := jsonrpc2.NewBufferedStream(&liveConn{Conn: raw, silence: serverSilence}, frameCodec{})
	h := &connHandler{server: s, slots: make(chan struct{}, maxCallsPerConnection)}
	conn := jsonrpc2.NewConn(ctx, stream, h, quiet)
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

func (s *Server) stop() {
	s.mu.Lock()
	s.stopping = true
	s.closeIfIdle()
	s.mu.Unlock()
	timeout, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
	defer cancel()
	select {
	case <-s.stopped:
	case <-timeout.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// begin counts a call in. It returns false during a stop: calls on connections
// that are still open are then refused, so that the stop comes to an end.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.calls++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	s.closeIfIdle()
}

// closeIfIdle is called with the mutex held. Calls cannot begin once stopping is
// set, so the count reaches zero once.
func (s *Server) closeIfIdle() {
	if s.stopping && s.calls == 0 {
		close(s.stopped)
	}
}

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
		_ = conn.ReplyWithError(ctx, r.ID, toWire(&Error{Code: CodeUnavailable, Message: "too many calls on this connection"}))
		return
	}
	if !h.server.begin() {
		<-h.slots
		_ = conn.ReplyWithError(ctx, r.ID, toWire(&Error{Code: CodeUnavailable, Message: "server is stopping"}))
		return
	}
	go func() {
		defer h.server.end()
		defer func() { <-h.slots }()
		h.reply(ctx, conn, r.ID, m, params)
	}()
}

func (h *connHandler) reply(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, m method, params json.RawMessage) {
	result, err := m(ctx, params)
	if err != nil {
		_ = conn.ReplyWithError(ctx, id, toWire(err))
		return
	}
	_ = conn.Reply(ctx, id, result)
}
